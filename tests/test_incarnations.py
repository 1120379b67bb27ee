"""A replica that starts again under its id: nothing of the life before holds for the later one."""

import hashlib
from dataclasses import replace
from pathlib import Path

import pytest
import trio
import trio.lowlevel
from headcross_base.addresses import Address
from headcross_base.errorcodes import NOT_SERVING
from headcross_base.errors import Failure, Ok
from headcross_facts.facts import Facts
from headcross_gateway.directory import Directory
from headcross_gateway.outcomes import DidNotRun
from headcross_gateway.replicastate import ReplicaState
from headcross_platform.documents import decode
from headcross_platform.replica import LocalReplica
from headcross_platform.store import MetadataStore
from headcross_ports.published import Item, Listing, LoadedModel, Replica, Topic
from headcross_ports.replicas import OrderRefused, OrderTaken, ReplicaReport
from headcross_wire.peermessages import ReplicaLoad

from testing.machinecaller import ask
from testing.machinelayout import MODEL_SERVICE
from testing.machines import ListedReplica, Machines, small_site
from testing.platformreplica import FakeReplica
from testing.platformstore import Mood
from tests.test_machine_weights import wait_loaded, wait_offered

WAIT_SECONDS = 20.0
FIRST = Replica(
    "i-1", "lm", Address("127.0.0.1", 1), "z", 8, False, (LoadedModel("m", 3),), started_ms=2000
)
# Its clock was set back: the later life tells an earlier start.
SECOND = replace(FIRST, loaded=(), started_ms=1000)


def known(replica: Replica) -> tuple[Facts, Directory]:
    """Return what an entry knows of one replica."""
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    facts.take_listing(Topic.REPLICAS, Listing((), 1), 0.0, "store")
    facts.replicas[replica.id] = replica
    directory = Directory(facts)
    directory.update()
    return facts, directory


def state_in(directory: Directory) -> ReplicaState:
    """Return the one replica that is known."""
    (state,) = directory.states()
    return state


def load_of(replica: Replica, **versions: int) -> ReplicaLoad:
    """Return the word of the daemon beside a replica."""
    address = str(replica.address)
    started_ms = replica.started_ms
    return ReplicaLoad(address, 1, True, False, versions, 0, 0, 0.0, 1.0, 1, started_ms=started_ms)


def test_the_start_of_a_life_is_read_from_entries_that_tell_it() -> None:
    entry = (
        b'{"service":"lm","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":8,'
        b'"state":"ready","cold_left_ms":0,"seq":4%s}'
    )
    told = decode(Item("servers/i-1", 1, entry % b',"born":1764720000000'))
    untold = decode(Item("servers/i-1", 1, entry % b""))
    assert isinstance(told, Ok) and isinstance(told.value, Replica)
    assert isinstance(untold, Ok) and isinstance(untold.value, Replica)
    assert told.value.started_ms == 1764720000000 and untold.value.started_ms is None


def test_nothing_that_was_known_of_the_earlier_life_holds_for_the_later_one() -> None:
    facts, directory = known(FIRST)
    directory.record_report(load_of(FIRST, m=3))
    before = state_in(directory)
    before.record_outcome(DidNotRun(NOT_SERVING, "", arrived=True, elsewhere=True), bound=False)
    before.reserve_slot()
    before.health.note_failure(certain=True)
    before.waits._note(9.0)
    facts.replicas[FIRST.id] = SECOND
    assert directory.update() == [FIRST.address]
    after = state_in(directory)
    assert before.gone and not after.gone
    assert (after.in_flight, after.last_report, after.health.failures) == (0, None, 0)
    assert after.waits.expected() == 0 and after.version_of("m") is None
    assert directory.update() == []


def test_where_no_start_is_told_the_id_alone_counts() -> None:
    facts, directory = known(FIRST)
    before = state_in(directory)
    facts.replicas[FIRST.id] = replace(FIRST, started_ms=None)
    assert directory.update() == [] and state_in(directory) is before


@pytest.mark.parametrize("daemon_first", [True, False])
def test_nothing_is_sent_while_the_list_and_the_daemon_speak_of_different_lives(
    daemon_first: bool,
) -> None:
    """The list said that version 3 is loaded, while the later life had nothing."""
    facts, directory = known(FIRST)
    directory.record_report(load_of(FIRST, m=3))
    assert not state_in(directory).is_unavailable()
    if daemon_first:
        directory.record_report(load_of(SECOND))
    else:
        facts.replicas[FIRST.id] = replace(SECOND, loaded=FIRST.loaded)
        directory.update()
        directory.record_report(load_of(FIRST, m=3))  # on its way since before
    assert state_in(directory).is_unavailable()
    facts.replicas[FIRST.id] = replace(SECOND, loaded=FIRST.loaded)
    directory.update()
    directory.record_report(load_of(SECOND, m=3))
    assert not state_in(directory).is_unavailable()


def test_an_earlier_life_that_was_leaving_does_not_keep_the_later_one_out() -> None:
    facts, directory = known(replace(FIRST, draining=True))
    assert directory.serving("lm") == []
    facts.replicas[FIRST.id] = replace(SECOND, loaded=FIRST.loaded)
    directory.update()
    assert [state.replica.id for state in directory.serving("lm")] == [FIRST.id]


async def order(
    near: LocalReplica, expected: ReplicaReport
) -> Ok[OrderTaken | OrderRefused] | Failure:
    """Order a replica to load version 2."""
    line = await near.open_line()
    assert isinstance(line, Ok)
    outcome = await line.value.start("m", 2, expected, break_off=False)
    await line.value.close()
    return outcome


async def test_an_order_for_one_life_is_not_taken_by_the_next() -> None:
    """Both have taken no orders, and beside the later one lies nothing."""
    replica = FakeReplica("i-1", model="m")
    report = ReplicaReport((), False, 0, 0, 0, 0, 0, 1.0, started_ms=replica.started_ms)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, replica.serve_connection, listeners)
        near = LocalReplica(Address("127.0.0.1", listeners[0].socket.getsockname()[1]))
        replica.start_again()
        outcome = await order(near, report)
        assert isinstance(outcome, Ok) and isinstance(outcome.value, OrderRefused)
        assert replica.orders == 0
        now = replace(report, started_ms=replica.started_ms)
        outcome = await order(near, now)
        assert isinstance(outcome, Ok) and not isinstance(outcome.value, OrderRefused)
        assert replica.orders == 1
        nursery.cancel_scope.cancel()


def listed_models(site: Machines) -> list[ListedReplica]:
    """Return the model replicas, in the order of their start."""
    return [listed for listed in site.replicas.values() if listed.service == MODEL_SERVICE]


def digests_of(site: Machines, version: int) -> list[str]:
    """Return the digests of a version's chunks."""
    return [hashlib.sha256(chunk).hexdigest() for chunk in site.origin.versions[version]]


@pytest.mark.parametrize(
    "when", ["idle", "twice", "clock set back", "store away", "loading", "stream under way"]
)
async def test_a_replica_that_started_again_is_filled_again_and_serves(
    tmp_path: Path, when: str
) -> None:
    async with small_site(tmp_path, models=3, daemons=True) as site:
        await wait_offered(site)
        site.name_version(2)
        first, *others = listed_models(site)
        await wait_loaded([listed.replica for listed in listed_models(site)], 2)
        if when == "store away":
            site.store.set_mood(Mood.BUSY)
        if when == "loading":
            site.name_version(3)
            with trio.fail_after(WAIT_SECONDS):
                while not first.replica.loading:
                    await trio.lowlevel.checkpoint()
        if when == "stream under way":
            first.replica.event_seconds = 0.2
        async with trio.open_nursery() as nursery:
            replies = []

            async def call() -> None:
                replies.append(await ask(site.callers("entry0"), "/stream/x"))

            if when == "stream under way":
                with trio.fail_after(WAIT_SECONDS):
                    while not first.replica.active:  # others may be chosen first
                        nursery.start_soon(call)
                        await trio.sleep(0.05)
            await site.restart_replica(first, -2000 if when == "clock set back" else 0)
            if when == "twice":
                await site.restart_replica(first)
            site.store.set_mood(Mood.WELL)
            newest = max(site.origin.versions)
            await wait_loaded([first.replica], newest)
        # Every load took whole weights of one version, also the later life's.
        for version, digests in first.replica.loads:
            assert digests == digests_of(site, version)
        assert all(reply.status == 200 for reply in replies)
        # It is used again: the others leave.
        for other in others:
            other.replica.draining = True
        with trio.fail_after(WAIT_SECONDS):
            while True:
                reply = await ask(site.callers("entry0"), "/stream/x")
                if reply.status == 200 and first.replica.runs[-1].id == reply.id:
                    break
                await trio.sleep(0.05)
        assert first.replica.runs[-1].version == newest


async def test_no_request_reaches_a_later_life_for_weights_that_only_the_earlier_one_held(
    tmp_path: Path,
) -> None:
    """Its entry in the list stays as it was, as where it never misses a heartbeat."""
    async with small_site(tmp_path, models=2, daemons=True) as site:
        await wait_offered(site)
        first, second = listed_models(site)
        first.writes_entry = False
        await site.restart_replica(first)
        await wait_between_lives(site, first, True)
        before = first.replica.arrivals
        # The other replica takes six between two words of its daemon, and the rest is refused.
        replies = [await ask(site.callers("entry0"), "/stream/x") for _ in range(12)]
        assert {reply.status for reply in replies} <= {200, 503}
        assert second.replica.arrivals and first.replica.arrivals == before
        first.writes_entry = True
        await wait_between_lives(site, first, False)


async def wait_between_lives(site: Machines, listed: ListedReplica, expected: bool) -> None:
    """Wait until the entry hears different lives from the list and the daemon, or one again."""
    with trio.fail_after(WAIT_SECONDS):
        while True:
            states = (await site.state("entry0"))["replica_states"]
            found = [s["between_lives"] for s in states if s["id"] == listed.replica.id]
            if found == [expected]:
                return
            await trio.sleep(0.02)
