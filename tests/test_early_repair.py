"""Tests which staged chunks a starting process replaces before trio is imported.

The replica, the store, the origin and one entry are fakes on loopback in this process; the early
repair uses its real clients in its own thread.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import trio
from headcross_base.addresses import Address, parse_address
from headcross_base.hashing import digest_of
from headcross_platform.adapter import make_early_adapter
from headcross_renewal.earlyrepair import MAX_REPLACED_CHUNKS, EarlyRepair
from headcross_wire.peermessages import AskDigests, AskPlan, KnownDigests, KnownPlan, WeightsPlan
from headcross_wire.peernode import IncomingMessage, PeerNode

from testing.machinelayout import CHUNK_BYTES, MODEL, ORIGIN, PEERS, STORE
from testing.machines import ListedReplica, Machines, running_machines
from testing.platformreplica import DaemonCall, FakeReplica
from tests.test_beside_replica import corrupt_chunk

CHECKED_SECONDS = 10.0


@dataclass
class FakeEntry:
    """An entry that answers questions for the plan and, if it has them, for digests."""

    plan: WeightsPlan | None
    digests: dict[str, list[str]] = field(default_factory=dict)
    answers: bool = True

    def handle(self, incoming: IncomingMessage) -> None:
        """Answer one message."""
        message = incoming.message
        if not self.answers:
            return
        if isinstance(message, AskPlan) and self.plan is not None:
            incoming.reply(KnownPlan(self.plan), None)
        if isinstance(message, AskDigests) and message.weights in self.digests:
            digests = self.digests[message.weights]
            incoming.reply(KnownDigests(message.weights, CHUNK_BYTES, digests), None)


@dataclass
class Beside:
    """A replica that holds version 1, with version 2 staged and named, and what is around it."""

    site: Machines
    listed: ListedReplica
    entry: FakeEntry
    seeds: list[Address]
    puts: list[DaemonCall] = field(default_factory=list)

    @property
    def replica(self) -> FakeReplica:
        """The replica."""
        return self.listed.replica

    def chunks(self, version: int) -> dict[int, bytes]:
        """Return the chunks of a version."""
        return dict(enumerate(self.site.origin.versions[version]))

    async def note_put(self, call: DaemonCall) -> bool:
        """Record a put; all calls are answered."""
        if call.puts_chunk:
            self.puts.append(call)
        return False

    @asynccontextmanager
    async def repairing(self) -> AsyncIterator[EarlyRepair]:
        """Run the early repair, and yield it after its first check."""
        source_ip = self.listed.ip
        adapter = make_early_adapter(self.site.address(STORE), self.listed.address, source_ip)
        repair = EarlyRepair(adapter, self.seeds, source_ip)
        repair.start()
        try:
            await trio.to_thread.run_sync(repair.wait_checked, CHECKED_SECONDS)
            yield repair
        finally:
            with trio.CancelScope(shield=True):
                await trio.to_thread.run_sync(repair.stop)

    async def repair_once(self) -> EarlyRepair:
        """Run the early repair until its first check; return it after it was stopped."""
        async with self.repairing() as repair:
            pass
        return repair


@pytest.fixture
async def beside(tmp_path: Path) -> AsyncIterator[Beside]:
    """Version 2 is staged whole at a replica that holds version 1, and is named."""
    async with running_machines(tmp_path) as site, trio.open_nursery() as nursery:
        for version in (1, 2, 3):
            site.name_version(version)
        site.name_version(2)
        listed = await site.add_replica("lm", "z0", version=1)
        plan = WeightsPlan(1, {"lm": MODEL}, str(site.address(ORIGIN)))
        entry = FakeEntry(plan)
        node = PeerNode(parse_address(f"{site.new_ip()}:{PEERS}"), entry.handle)
        nursery.start_soon(node.run)
        beside = Beside(site, listed, entry, [node.address])
        for version in (2, 3):
            digests = [digest_of(chunk) for chunk in beside.chunks(version).values()]
            entry.digests[f"{MODEL}@{version}"] = digests
        listed.replica.staged = beside.chunks(2)
        listed.replica.drops_call = beside.note_put
        yield beside
        nursery.cancel_scope.cancel()


async def test_a_bad_chunk_is_replaced(beside: Beside) -> None:
    corrupt_chunk(beside.replica, 3)
    await beside.repair_once()
    assert beside.replica.staged == beside.chunks(2)
    assert [put.number for put in beside.puts] == [3]


async def test_an_intact_copy_is_left_alone(beside: Beside) -> None:
    await beside.repair_once()
    assert not beside.puts


async def test_a_chunk_that_turns_bad_between_two_checks_is_replaced(beside: Beside) -> None:
    async with beside.repairing():
        corrupt_chunk(beside.replica, 0)
        with trio.fail_after(CHECKED_SECONDS):
            while beside.replica.staged != beside.chunks(2):
                await trio.sleep(0.02)


async def test_digests_come_from_the_origin_if_no_entry_has_them(beside: Beside) -> None:
    """An answer of the origin that is corrupt is not used."""
    corrupt_chunk(beside.replica, 3)
    beside.entry.digests.clear()
    beside.site.origin.corrupt_digests = 1
    async with beside.repairing():
        with trio.fail_after(CHECKED_SECONDS):
            while beside.replica.staged != beside.chunks(2):
                await trio.sleep(0.02)


def stage_another_version(beside: Beside) -> None:
    """Stage one chunk of version 3 among those of version 2, with both newer than the loaded."""
    beside.replica.staged[5] = beside.chunks(3)[5]
    beside.site.name_version(3)


def leave_out_a_chunk(beside: Beside) -> None:
    """Remove a staged chunk."""
    del beside.replica.staged[5]


def stage_partly(beside: Beside) -> None:
    """Stage chunks of the loaded version in place of more chunks than may turn bad at once."""
    older = beside.chunks(1)
    beside.replica.staged |= {index: older[index] for index in range(MAX_REPLACED_CHUNKS + 1)}


def forget_digests(beside: Beside) -> None:
    """Leave the digests of one of two versions unknown that the earlier process may have staged.

    The versions share a chunk, so the staged chunks do not tell them apart.
    """
    newer = beside.site.origin.versions[3]
    newer[7] = beside.site.origin.versions[2][7]
    beside.replica.staged = dict(enumerate(newer))
    beside.site.name_version(3)
    del beside.entry.digests[f"{MODEL}@3"]


def begin_load(beside: Beside) -> None:
    """Have the replica load."""
    beside.replica.loading = True
    beside.replica.load_due = trio.current_time() + 60


def hold_the_version(beside: Beside) -> None:
    """Have the replica hold the version that is staged."""
    beside.replica.version = 2


def corrupt_the_origin(beside: Beside) -> None:
    """Have the origin serve other bytes than its digests tell."""
    chunks = beside.site.origin.versions[2]
    beside.site.origin.versions[2] = [bytes(len(chunk)) for chunk in chunks]


NO_ORDER_CASES: list[Callable[[Beside], None]] = [
    stage_another_version,
    leave_out_a_chunk,
    stage_partly,
    forget_digests,
    begin_load,
    hold_the_version,
    corrupt_the_origin,
]


@pytest.mark.parametrize("prepare", NO_ORDER_CASES)
async def test_nothing_is_staged(beside: Beside, prepare: Callable[[Beside], None]) -> None:
    """Where no order can be in doubt, or no verified chunk is to be had, the copy stays."""
    corrupt_chunk(beside.replica, 3)
    prepare(beside)
    staged = dict(beside.replica.staged)
    await beside.repair_once()
    assert not beside.puts and beside.replica.staged == staged


@pytest.mark.parametrize("change", ["order", "start"])
async def test_it_ends_with_the_next_load_or_incarnation(beside: Beside, change: str) -> None:
    async with beside.repairing():
        if change == "order":
            beside.replica.orders += 1
        else:
            beside.replica.started_ms += 1
        await trio.sleep(1.0)
        corrupt_chunk(beside.replica, 0)
        await trio.sleep(1.0)
        assert not beside.puts


async def test_an_unanswered_put_is_remembered(beside: Beside) -> None:
    corrupt_chunk(beside.replica, 3)

    async def drop_put(call: DaemonCall) -> bool:
        return call.puts_chunk

    beside.replica.drops_call = drop_put
    repair = await beside.repair_once()
    assert [goal.version for goal in repair.results.unanswered_puts] == [2]


async def test_a_chunk_replaced_after_its_load_began_is_put_back(beside: Beside) -> None:
    """The staged chunk is the only sign that the load was bad."""
    corrupt_chunk(beside.replica, 3)
    bad = beside.replica.staged[3]

    async def load_before_put(call: DaemonCall) -> bool:
        if call.puts_chunk and not beside.replica.orders:
            beside.replica.orders = 1
        return await beside.note_put(call)

    beside.replica.drops_call = load_before_put
    await beside.repair_once()
    assert [put.number for put in beside.puts] == [3, 3]
    assert beside.replica.staged[3] == bad


async def test_without_an_entry_nothing_is_done_and_the_thread_ends(beside: Beside) -> None:
    corrupt_chunk(beside.replica, 3)
    beside.entry.answers = False
    source_ip = beside.listed.ip
    adapter = make_early_adapter(beside.site.address(STORE), beside.listed.address, source_ip)
    repair = EarlyRepair(adapter, beside.seeds, source_ip)
    repair.start()
    await trio.to_thread.run_sync(repair.wait_checked, 1.0)
    await trio.to_thread.run_sync(repair.stop)
    assert not beside.puts
