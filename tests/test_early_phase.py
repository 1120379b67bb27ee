"""Tests a daemon's process before its role runs, as one of real processes.

Other processes of the same daemon, signals and lost dependencies must do no harm then, and the
repair must neither delay the start nor hide a bad load.
"""

import signal
from collections.abc import Callable
from pathlib import Path

import pytest
import trio
from headcross_base.addresses import Address

from testing.machinelayout import CHUNKS, STORE
from testing.machines import Machines, small_site
from testing.platformreplica import DaemonCall, FakeReplica
from tests.test_beside_replica import corrupt_chunk, kill_with_order_in_doubt, model_replica
from tests.test_machine_weights import LOADED_SECONDS, check_loads, wait_offered
from tests.test_recovery_moments import wait_started

# The longest time for which a chunk may be bad when it is loaded.
BAD_SECONDS = 3.0
# A start without lost dependencies takes under 1 s; a call without an answer ends after 1 s.
START_SECONDS = 5.0


async def kill_while_staging(site: Machines) -> FakeReplica:
    """Kill the daemon when 3 chunks of version 2 are staged over those of version 1."""
    replica = model_replica(site).replica
    puts = 0

    async def drop_fourth_put(call: DaemonCall) -> bool:
        nonlocal puts
        puts += call.puts_chunk
        return call.puts_chunk and puts > 3

    replica.drops_call = drop_fourth_put
    site.name_version(2)
    with trio.fail_after(LOADED_SECONDS):
        while puts < 4:
            await trio.sleep(0.005)
    site.signal("daemon0", signal.SIGKILL)
    await site.wait_exit("daemon0")
    replica.drops_call = None
    return replica


@pytest.mark.parametrize("seconds_per_chunk", [0.0, 30.0])
async def test_chunks_of_a_partly_staged_version_are_left_to_the_role(
    tmp_path: Path, seconds_per_chunk: float
) -> None:
    """No order is in doubt then; a slow origin must not delay the start either."""
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        await kill_while_staging(site)
        await trio.sleep(1)
        site.origin.sent.clear()
        site.origin.seconds_per_chunk = seconds_per_chunk
        began = trio.current_time()
        site.start("daemon0")
        await wait_started(site, 2)
        assert trio.current_time() - began < START_SECONDS
        assert site.origin.sent_chunks <= CHUNKS // 4


async def test_a_second_process_of_a_daemon_puts_nothing(tmp_path: Path) -> None:
    """The first process is stopped meanwhile, and orders the next version when it goes on."""
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        replica = model_replica(site).replica
        replica.orders_to_hold = 1
        site.name_version(2)
        with trio.fail_after(LOADED_SECONDS):
            while not replica.held_orders:
                await trio.sleep(0.005)
        site.signal("daemon0", signal.SIGSTOP)
        corrupt_chunk(replica, 0)
        puts: list[DaemonCall] = []

        async def drop_put(call: DaemonCall) -> bool:
            if call.puts_chunk:
                puts.append(call)
            return call.puts_chunk

        replica.drops_call = drop_put
        first = site.machines["daemon0"].process
        site.start("daemon0")
        assert await site.wait_exit("daemon0") == 3
        site.machines["daemon0"].process = first
        assert not puts


async def test_a_process_stopped_before_its_role_puts_nothing_beside_a_later_one(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        replica = await kill_with_order_in_doubt(site)
        corrupt_chunk(replica, 0)
        looked = trio.Event()

        async def stop_at_first_chunk(call: DaemonCall) -> bool:
            if call.reads_chunk and not looked.is_set():
                site.signal("daemon0", signal.SIGSTOP)
                looked.set()
            return False

        replica.drops_call = stop_at_first_chunk
        site.start("daemon0")
        with trio.fail_after(LOADED_SECONDS):
            await looked.wait()
        stopped = site.machines["daemon0"].process
        assert stopped is not None
        replica.drops_call = None
        site.start("daemon0")
        # The address belongs to the stopped process, so the later one must not act beside it.
        assert await site.wait_exit("daemon0") == 3
        stopped.send_signal(signal.SIGCONT)
        with trio.fail_after(LOADED_SECONDS):
            while replica.staged != dict(enumerate(site.origin.versions[2])):
                await trio.sleep(0.02)
        site.machines["daemon0"].process = stopped


async def test_a_load_of_a_bad_chunk_is_not_confirmed_after_an_early_repair(
    tmp_path: Path,
) -> None:
    """The order is accepted right before the early put, so the read-back finds no bad chunk."""
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        replica = await kill_with_order_in_doubt(site)
        corrupt_chunk(replica, 0)

        async def accept_before_put(call: DaemonCall) -> bool:
            if call.puts_chunk and replica.held_orders:
                replica.take_held_orders()
            return False

        replica.drops_call = accept_before_put
        site.start("daemon0")
        await wait_started(site, 2)
        with trio.fail_after(LOADED_SECONDS):
            while not any(line["message"] == "load read back" for line in site.log("daemon0")):
                await trio.sleep(0.02)
        assert replica.loads[0][0] == 2
        assert (await site.state("daemon0"))["load"] != "confirmed"


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
async def test_a_signal_before_the_role_runs_is_handled_by_it(
    tmp_path: Path, number: signal.Signals
) -> None:
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        replica = await kill_with_order_in_doubt(site)
        called = trio.Event()

        async def note_call(call: DaemonCall) -> bool:
            called.set()
            return False

        replica.drops_call = note_call
        site.start("daemon0")
        with trio.fail_after(LOADED_SECONDS):
            await called.wait()
        site.signal("daemon0", number)
        if number == signal.SIGTERM:
            assert await site.wait_exit("daemon0") == 0
            return
        await wait_started(site, 2)
        with trio.fail_after(LOADED_SECONDS):
            while not any(line["message"] == "settings read" for line in site.log("daemon0")):
                await trio.sleep(0.02)


def silence_replica(site: Machines) -> None:
    """Have the replica answer no call."""

    async def withhold_answer(call: DaemonCall) -> bool:
        return True

    model_replica(site).replica.drops_call = withhold_answer


def move_store(site: Machines) -> None:
    """Have the next process look for the store where nothing listens."""
    address = site.address

    def moved(port: int) -> Address:
        return address(port + 100 if port == STORE else port)

    site.address = moved  # type: ignore[method-assign]


@pytest.mark.parametrize("lose", [silence_replica, move_store])
async def test_a_start_does_not_wait_for_a_lost_dependency(
    tmp_path: Path, lose: Callable[[Machines], None]
) -> None:
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        site.signal("daemon0", signal.SIGKILL)
        await site.wait_exit("daemon0")
        lose(site)
        began = trio.current_time()
        site.start("daemon0")
        await wait_started(site, 2)
        assert trio.current_time() - began < START_SECONDS


@pytest.mark.parametrize("with_entry", [True, False])
async def test_a_bad_chunk_is_repaired_after_all_processes_were_killed(
    tmp_path: Path, with_entry: bool
) -> None:
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        replica = await kill_with_order_in_doubt(site)
        site.signal("entry0", signal.SIGKILL)
        await site.wait_exit("entry0")
        corrupt_chunk(replica, 0)
        began = trio.current_time()
        if with_entry:
            site.start("entry0")
        site.start("daemon0")
        with trio.fail_after(LOADED_SECONDS):
            while replica.staged != dict(enumerate(site.origin.versions[2])):
                await trio.sleep(0.01)
        assert trio.current_time() - began < BAD_SECONDS
        replica.take_held_orders()
        check_loads(site)
