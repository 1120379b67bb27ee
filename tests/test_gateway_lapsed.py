"""Replicas whose entries lapse while the store is away: used while they answer, then given up."""

from pathlib import Path

import pytest
import trio
from headcross_base.addresses import Address
from headcross_base.clocks import monotonic
from headcross_facts.facts import LAPSE_SECONDS, Facts
from headcross_gateway.directory import LAPSED_USE_SHARE, Directory
from headcross_gateway.replicastate import ReplicaState
from headcross_platform import names
from headcross_platform.store import MetadataStore
from headcross_ports.published import Changes, Item, Listing, LoadedModel, Replica, Topic
from headcross_wire.peermessages import ReplicaLoad

from testing.machinecaller import ask
from testing.machinelayout import PLAIN_SERVICE
from testing.machines import replicas_of, small_site
from testing.platformstore import Mood

LEAVING_SECONDS = 2.0
MODEL_REPLICA = Replica(
    "i-model", "lm", Address("127.0.0.1", 1), "z", 8, False, (LoadedModel("m", 1),)
)
PLAIN_REPLICA = Replica("i-plain", "api", Address("127.0.0.1", 2), "z", 8, False)


class Clock:
    """The clock of all modules that matter here."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = monotonic()
        for module in ("facts.facts", "facts.topicstate", "gateway.directory", "gateway.health"):
            monkeypatch.setattr(f"headcross_{module}.monotonic", lambda: self.now)
        monkeypatch.setattr("headcross_gateway.replicastate.monotonic", lambda: self.now)


def report_load(directory: Directory, *, reachable: bool = True) -> None:
    """Let the daemon beside the model replica speak."""
    address = str(MODEL_REPLICA.address)
    directory.record_report(ReplicaLoad(address, 1, reachable, False, {"m": 1}, 0, 0, 0.0, 1.0, 1))


def directory_listing(*replicas: Replica) -> tuple[Facts, Directory]:
    """Return what an entry knows once a list of replicas is there."""
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    facts.take_listing(Topic.REPLICAS, Listing((), 1), 0.0, "store")
    facts.replicas.update({replica.id: replica for replica in replicas})
    for replica in replicas:
        key = f"{names.REPLICA_PREFIX}{replica.id}"
        facts.topics[Topic.REPLICAS].items[key] = Item(key, 1, b"")
    directory = Directory(facts, leaving_seconds=LEAVING_SECONDS)
    directory.update()
    return facts, directory


def lapse(facts: Facts, directory: Directory, replica: Replica) -> None:
    """Let the entry of a replica be gone."""
    gone = Item(f"{names.REPLICA_PREFIX}{replica.id}", 2, None)
    facts.take_changes(Topic.REPLICAS, Changes((gone,), 2))
    directory.update()


def state_of(directory: Directory) -> ReplicaState | None:
    """Return the one replica that is known."""
    return next(iter(directory.states()), None)


def test_one_whose_daemon_says_that_it_answers_is_used_until_it_should_be_listed_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = Clock(monkeypatch)
    facts, directory = directory_listing(MODEL_REPLICA)
    facts.note_failure(Topic.REPLICAS)
    lapse(facts, directory, MODEL_REPLICA)
    state = state_of(directory)
    assert state is not None and state.is_gone()  # nobody says that it lives
    report_load(directory)
    assert not state.is_gone()
    report_load(directory, reachable=False)
    assert state.is_gone()
    clock.now += LAPSED_USE_SHARE * LEAVING_SECONDS
    report_load(directory)
    assert state.is_gone()
    directory.update()
    assert state_of(directory) is None


def test_one_that_answered_requests_is_used_until_one_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    Clock(monkeypatch)
    facts, directory = directory_listing(PLAIN_REPLICA)
    facts.note_failure(Topic.REPLICAS)
    lapse(facts, directory, PLAIN_REPLICA)
    state = state_of(directory)
    assert state is not None and state.is_gone()
    state.health.note_success()
    assert not state.is_gone()
    state.health.note_failure(certain=False)
    assert state.is_gone()


def test_one_that_is_listed_again_is_one_like_any_other(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock(monkeypatch)
    facts, directory = directory_listing(MODEL_REPLICA)
    facts.note_failure(Topic.REPLICAS)
    lapse(facts, directory, MODEL_REPLICA)
    facts.replicas[MODEL_REPLICA.id] = MODEL_REPLICA
    directory.update()
    clock.now += 10 * LEAVING_SECONDS
    state = state_of(directory)
    assert state is not None and not state.is_gone()


def test_one_that_goes_while_the_store_serves_gets_nothing_more_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Some replicas never say that they leave: their entry goes, and they serve on for a while."""
    clock = Clock(monkeypatch)
    facts, directory = directory_listing(MODEL_REPLICA)
    facts.note_failure(Topic.REPLICAS)
    clock.now += LAPSE_SECONDS
    report_load(directory)
    lapse(facts, directory, MODEL_REPLICA)
    assert state_of(directory) is None


def test_one_that_said_it_leaves_is_not_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    Clock(monkeypatch)
    draining = Replica("i-model", "lm", Address("127.0.0.1", 1), "z", 8, draining=True)
    facts, directory = directory_listing(draining)
    facts.note_failure(Topic.REPLICAS)
    report_load(directory)
    lapse(facts, directory, draining)
    assert state_of(directory) is None


async def test_requests_are_served_while_entries_that_lapsed_come_back(tmp_path: Path) -> None:
    """All entries had lapsed: nobody was served from the store's return until they were back."""
    async with small_site(tmp_path, models=0) as site:
        entry = site.callers("entry0")
        for _ in range(4):
            assert (await ask(entry, "/again/x")).status == 200
        site.store.set_mood(Mood.BUSY)
        with trio.fail_after(15):
            while (await site.state("entry0"))["topics"]["replicas"]["failing"] < 2:
                assert (await ask(entry, "/again/x")).status == 200
        for replica in replicas_of(site, PLAIN_SERVICE):
            site.unlist(site.replicas[replica.id])
        site.store.set_mood(Mood.WELL)
        # The state tells when the news are here; the log line may be one too many in its second.
        with trio.fail_after(15):
            while (await site.state("entry0"))["replicas"]:
                assert (await ask(entry, "/again/x")).status == 200
        assert (await ask(entry, "/again/x")).status == 200
        with trio.fail_after(15):
            while (await ask(entry, "/again/x")).status == 200:
                await trio.sleep(0.02)
        for replica in replicas_of(site, PLAIN_SERVICE):
            site.list_replica(site.replicas[replica.id])
        with trio.fail_after(15):
            while (await ask(entry, "/again/x")).status != 200:
                await trio.sleep(0.02)
