"""Tests that no state of an incarnation applies to a later one of the same replica id."""

import hashlib
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
from msgspec.structs import replace

from testing.machinecaller import ask
from testing.machinelayout import MODEL_SERVICE
from testing.machines import ListedReplica, Machines, small_site
from testing.platformreplica import FakeReplica
from testing.platformstore import StoreCondition
from tests.test_machine_weights import wait_loaded, wait_offered

WAIT_SECONDS = 20.0
FIRST = Replica(
    "i-1", "lm", Address("127.0.0.1", 1), "z", 8, False, (LoadedModel("m", 3),), started_ms=2000
)
# The clock was set back, so the later incarnation reports an earlier start.
SECOND = replace(FIRST, loaded=(), started_ms=1000)


def make_directory(replica: Replica) -> tuple[Facts, Directory]:
    """Return the facts and the directory of an entry that has one replica in its list."""
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    facts.take_listing(Topic.REPLICAS, Listing((), 1), 0.0, "store")
    facts.replicas[replica.id] = replica
    directory = Directory(facts)
    directory.update()
    return facts, directory


def only_state(directory: Directory) -> ReplicaState:
    """Return the state of the only replica in the directory."""
    (state,) = directory.states()
    return state


def load_of(replica: Replica, **versions: int) -> ReplicaLoad:
    """Return the load report of a replica's daemon."""
    address = str(replica.address)
    started_ms = replica.started_ms
    return ReplicaLoad(address, 1, True, False, versions, 0, 0, 0.0, 1.0, 1, started_ms=started_ms)


def test_the_start_time_is_read_from_list_entries_that_have_one() -> None:
    entry = (
        b'{"service":"lm","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":8,'
        b'"state":"ready","cold_left_ms":0,"seq":4%s}'
    )
    with_start = decode(Item("servers/i-1", 1, entry % b',"born":1764720000000'))
    without_start = decode(Item("servers/i-1", 1, entry % b""))
    assert isinstance(with_start, Ok) and isinstance(with_start.value, Replica)
    assert isinstance(without_start, Ok) and isinstance(without_start.value, Replica)
    assert with_start.value.started_ms == 1764720000000 and without_start.value.started_ms is None


def test_a_later_incarnation_gets_a_new_state() -> None:
    facts, directory = make_directory(FIRST)
    directory.record_report(load_of(FIRST, m=3))
    before = only_state(directory)
    before.record_outcome(
        DidNotRun(NOT_SERVING, "", arrived=True, elsewhere=True), version_required=False
    )
    before.reserve_slot()
    before.health.note_failure(certain=True)
    before.waits._note(9.0)
    facts.replicas[FIRST.id] = SECOND
    assert directory.update() == [FIRST.address]
    after = only_state(directory)
    assert before.replaced_or_unlisted and not after.replaced_or_unlisted
    assert (after.in_flight, after.last_report, after.health.failures) == (0, None, 0)
    assert after.waits.expected() == 0 and after.version_of("m") is None
    assert directory.update() == []


def test_without_a_start_time_only_the_ids_are_compared() -> None:
    facts, directory = make_directory(FIRST)
    before = only_state(directory)
    facts.replicas[FIRST.id] = replace(FIRST, started_ms=None)
    assert directory.update() == [] and only_state(directory) is before


@pytest.mark.parametrize("daemon_first", [True, False])
def test_no_requests_are_sent_while_list_and_daemon_report_different_incarnations(
    daemon_first: bool,
) -> None:
    """Guards against requests to an incarnation without weights.

    The list still showed version 3 as loaded, which only the earlier incarnation had.
    """
    facts, directory = make_directory(FIRST)
    directory.record_report(load_of(FIRST, m=3))
    assert not only_state(directory).is_unavailable()
    if daemon_first:
        directory.record_report(load_of(SECOND))
    else:
        facts.replicas[FIRST.id] = replace(SECOND, loaded=FIRST.loaded)
        directory.update()
        directory.record_report(load_of(FIRST, m=3))  # sent before the restart, received late
    assert only_state(directory).is_unavailable()
    facts.replicas[FIRST.id] = replace(SECOND, loaded=FIRST.loaded)
    directory.update()
    directory.record_report(load_of(SECOND, m=3))
    assert not only_state(directory).is_unavailable()


def test_a_draining_incarnation_does_not_exclude_the_later_one() -> None:
    facts, directory = make_directory(replace(FIRST, draining=True))
    assert directory.serving("lm") == []
    facts.replicas[FIRST.id] = replace(SECOND, loaded=FIRST.loaded)
    directory.update()
    assert [state.replica.id for state in directory.serving("lm")] == [FIRST.id]


async def send_order(
    local_replica: LocalReplica, expected: ReplicaReport
) -> Ok[OrderTaken | OrderRefused] | Failure:
    """Order a replica to load version 2; return the outcome."""
    connection = await local_replica.open_line()
    assert isinstance(connection, Ok)
    outcome = await connection.value.start("m", 2, expected, break_off=False)
    await connection.value.close()
    return outcome


async def test_an_order_for_one_incarnation_is_not_accepted_by_the_next() -> None:
    """Neither has accepted an order, and no chunks are staged at the later one."""
    replica = FakeReplica("i-1", model="m")
    report = ReplicaReport((), False, 0, 0, 0, 0, 0, 1.0, started_ms=replica.started_ms)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, replica.serve_connection, listeners)
        local_replica = LocalReplica(Address("127.0.0.1", listeners[0].socket.getsockname()[1]))
        replica.start_again()
        outcome = await send_order(local_replica, report)
        assert isinstance(outcome, Ok) and isinstance(outcome.value, OrderRefused)
        assert replica.orders == 0
        later_report = replace(report, started_ms=replica.started_ms)
        outcome = await send_order(local_replica, later_report)
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
async def test_a_restarted_replica_is_loaded_again_and_serves(tmp_path: Path, when: str) -> None:
    async with small_site(tmp_path, models=3, daemons=True) as site:
        await wait_offered(site)
        site.name_version(2)
        first, *others = listed_models(site)
        await wait_loaded([listed.replica for listed in listed_models(site)], 2)
        if when == "store away":
            site.store.set_condition(StoreCondition.BUSY)
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
                    while not first.replica.active:  # other replicas may be picked first
                        nursery.start_soon(call)
                        await trio.sleep(0.05)
            await site.restart_replica(first, -2000 if when == "clock set back" else 0)
            if when == "twice":
                await site.restart_replica(first)
            site.store.set_condition(StoreCondition.WELL)
            newest = max(site.origin.versions)
            await wait_loaded([first.replica], newest)
        # Each load got the complete weights of one version, also in the later incarnation.
        for version, digests in first.replica.loads:
            assert digests == digests_of(site, version)
        assert all(reply.status == 200 for reply in replies)
        # The replica is used again once the others are draining.
        for other in others:
            other.replica.draining = True
        with trio.fail_after(WAIT_SECONDS):
            while True:
                reply = await ask(site.callers("entry0"), "/stream/x")
                if reply.status == 200 and first.replica.runs[-1].id == reply.id:
                    break
                await trio.sleep(0.05)
        assert first.replica.runs[-1].version == newest


async def test_no_request_reaches_a_later_incarnation_for_weights_that_only_the_earlier_one_had(
    tmp_path: Path,
) -> None:
    """The list entry does not change, as when a restart is too short to miss a heartbeat."""
    async with small_site(tmp_path, models=2, daemons=True) as site:
        await wait_offered(site)
        first, second = listed_models(site)
        first.writes_entry = False
        await site.restart_replica(first)
        await wait_conflicting_incarnations(site, first, True)
        before = first.replica.arrivals
        # The other replica gets up to six between two reports of its daemon; the rest are refused.
        replies = [await ask(site.callers("entry0"), "/stream/x") for _ in range(12)]
        assert {reply.status for reply in replies} <= {200, 503}
        assert second.replica.arrivals and first.replica.arrivals == before
        first.writes_entry = True
        await wait_conflicting_incarnations(site, first, False)


async def wait_conflicting_incarnations(
    site: Machines, listed: ListedReplica, expected: bool
) -> None:
    """Wait until the entry does, or does not, see different incarnations in list and reports."""
    with trio.fail_after(WAIT_SECONDS):
        while True:
            states = (await site.state("entry0"))["replica_states"]
            conflicts = [s["between_lives"] for s in states if s["id"] == listed.replica.id]
            if conflicts == [expected]:
                return
            await trio.sleep(0.02)
