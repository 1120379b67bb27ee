"""Tests replicas whose list entries lapse in a store outage: used while they answer, then not."""

from pathlib import Path

import pytest
import trio
from headcross_base.addresses import Address
from headcross_base.monotonic import monotonic
from headcross_facts.facts import Facts
from headcross_facts.replicalist import LAPSE_SECONDS
from headcross_gateway.directory import LAPSED_USE_SHARE, Directory
from headcross_gateway.replicastate import ReplicaState
from headcross_platform import names
from headcross_platform.store import MetadataStore
from headcross_ports.published import Changes, Item, Listing, LoadedModel, Replica, Topic
from headcross_wire.peermessages import ReplicaLoad

from testing.machinecaller import ask
from testing.machinelayout import PLAIN_SERVICE
from testing.machines import replicas_of, small_site
from testing.platformstore import StoreCondition

LEAVING_SECONDS = 2.0
MODEL_REPLICA = Replica(
    "i-model", "lm", Address("127.0.0.1", 1), "z", 8, False, (LoadedModel("m", 1),)
)
PLAIN_REPLICA = Replica("i-plain", "api", Address("127.0.0.1", 2), "z", 8, False)


class Clock:
    """Replaces the clock of the modules under test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = monotonic()
        for module in (
            "facts.replicalist",
            "facts.topicstate",
            "gateway.directory",
            "gateway.health",
        ):
            monkeypatch.setattr(f"headcross_{module}.monotonic", lambda: self.now)
        monkeypatch.setattr("headcross_gateway.replicastate.monotonic", lambda: self.now)


def report_load(directory: Directory, *, reachable: bool = True) -> None:
    """Record a load report for the model replica."""
    address = str(MODEL_REPLICA.address)
    directory.record_report(ReplicaLoad(address, 1, reachable, False, {"m": 1}, 0, 0, 0.0, 1.0, 1))


def directory_listing(*replicas: Replica) -> tuple[Facts, Directory]:
    """Return the facts and directory of an entry that has received a list of replicas."""
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
    """Remove the list entry of a replica."""
    removal = Item(f"{names.REPLICA_PREFIX}{replica.id}", 2, None)
    facts.take_changes(Topic.REPLICAS, Changes((removal,), 2))
    directory.update()


def state_of(directory: Directory) -> ReplicaState | None:
    """Return the only known replica, None if there is none."""
    return next(iter(directory.states()), None)


def test_a_lapsed_replica_that_its_daemon_reaches_is_used_for_a_limited_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = Clock(monkeypatch)
    facts, directory = directory_listing(MODEL_REPLICA)
    facts.note_failure(Topic.REPLICAS)
    lapse(facts, directory, MODEL_REPLICA)
    state = state_of(directory)
    assert state is not None and state.is_gone()  # no report says that it is reachable
    report_load(directory)
    assert not state.is_gone()
    report_load(directory, reachable=False)
    assert state.is_gone()
    clock.now += LAPSED_USE_SHARE * LEAVING_SECONDS
    report_load(directory)
    assert state.is_gone()
    directory.update()
    assert state_of(directory) is None


def test_a_lapsed_replica_that_answered_requests_is_used_until_one_fails(
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


def test_a_lapsed_replica_that_is_listed_again_is_used_normally(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = Clock(monkeypatch)
    facts, directory = directory_listing(MODEL_REPLICA)
    facts.note_failure(Topic.REPLICAS)
    lapse(facts, directory, MODEL_REPLICA)
    facts.replicas[MODEL_REPLICA.id] = MODEL_REPLICA
    directory.update()
    clock.now += 10 * LEAVING_SECONDS
    state = state_of(directory)
    assert state is not None and not state.is_gone()


def test_a_replica_unlisted_while_the_store_serves_gets_no_more_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Some replicas leave unannounced: their entry is removed while they still serve."""
    clock = Clock(monkeypatch)
    facts, directory = directory_listing(MODEL_REPLICA)
    facts.note_failure(Topic.REPLICAS)
    clock.now += LAPSE_SECONDS
    report_load(directory)
    lapse(facts, directory, MODEL_REPLICA)
    assert state_of(directory) is None


def test_a_draining_replica_is_not_kept_when_its_entry_lapses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    Clock(monkeypatch)
    draining = Replica("i-model", "lm", Address("127.0.0.1", 1), "z", 8, draining=True)
    facts, directory = directory_listing(draining)
    facts.note_failure(Topic.REPLICAS)
    report_load(directory)
    lapse(facts, directory, draining)
    assert state_of(directory) is None


async def test_requests_are_served_while_lapsed_entries_are_listed_again(tmp_path: Path) -> None:
    """Guards against refusals from the store's return until lapsed entries are listed again."""
    async with small_site(tmp_path, models=0) as site:
        entry = site.callers("entry0")
        for _ in range(4):
            assert (await ask(entry, "/again/x")).status == 200
        site.store.set_condition(StoreCondition.BUSY)
        with trio.fail_after(15):
            while (await site.state("entry0"))["topics"]["replicas"]["failing"] < 2:
                assert (await ask(entry, "/again/x")).status == 200
        for replica in replicas_of(site, PLAIN_SERVICE):
            site.unlist(site.replicas[replica.id])
        site.store.set_condition(StoreCondition.WELL)
        # Wait for the state rather than a log line, which rate limiting may suppress.
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
