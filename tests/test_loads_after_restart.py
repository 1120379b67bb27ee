"""Tests which loads take requests after the processes that knew of them have started again.

A replica does not verify what it loads, and a bad chunk may be replaced after the load, so neither
its report nor its staged chunks alone show what it has loaded.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from signal import Signals

import pytest
import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure
from headcross_wire.httpclient import call

from testing.machinelayout import METRICS, MODEL_SERVICE
from testing.machines import Machines, replicas_of, small_site
from testing.platformreplica import DaemonCall, FakeReplica
from tests.test_beside_replica import STALL_SECONDS, corrupt_chunk
from tests.test_confirmed_loads import (
    check_answers,
    check_some_load_was_bad,
    steady_requests,
    wait_runs,
)
from tests.test_machine_weights import LOADED_SECONDS, check_loads, wait_loaded, wait_offered

RESTART_SECONDS = 1.0
WATCHED_SECONDS = 4.0
# Time within which a replica with an intact load must take requests again.
SERVED_SECONDS = 10.0
# Time within which a daemon must replace a chunk that turned bad after its load.
UPKEEP_SECONDS = 40.0
AT_THE_LOAD, JUDGED = 0.0, 4.0  # seconds from the load to the end of the processes
ALL = ("entry0", "daemon0", "daemon1")


@dataclass(frozen=True)
class Restart:
    """Processes that end and start again, or stay away."""

    names: tuple[str, ...]
    after_load: float = JUDGED
    signal: Signals = Signals.SIGKILL
    stay_away: tuple[str, ...] = ()
    times: int = 1

    async def run(self, site: Machines) -> None:
        """End the processes, and start those again that do not stay away."""
        for _ in range(self.times):
            for name in self.names:
                site.signal(name, self.signal)
            for name in self.names:
                await site.wait_exit(name)
            await trio.sleep(RESTART_SECONDS)
            for name in self.names:
                if name not in self.stay_away:
                    site.start(name)
        if "entry0" in self.names:
            await site.wait_ready("entry0")

    def __str__(self) -> str:
        parts = ["+".join(self.names), self.signal.name, f"{self.after_load:g}s"]
        if self.stay_away:
            parts.append(f"without {'+'.join(self.stay_away)}")
        if self.times > 1:
            parts.append(f"{self.times} times")
        return " ".join(parts)


RESTARTS = [
    Restart(ALL),
    Restart(ALL, AT_THE_LOAD),
    Restart(ALL, 1.0),
    Restart(ALL, signal=Signals.SIGTERM),
    Restart(ALL, times=2),
    Restart(("daemon0", "daemon1")),
    Restart(("daemon0",)),
    Restart(("daemon0",), AT_THE_LOAD),
    Restart(("daemon0",), signal=Signals.SIGTERM),
    Restart(("daemon0",), times=2),
    Restart(("daemon0", "daemon1"), AT_THE_LOAD),
    Restart(("daemon0", "daemon1"), signal=Signals.SIGTERM),
    Restart(("entry0", "daemon0")),
    Restart(("entry0", "daemon0"), AT_THE_LOAD),
    Restart(("entry0", "daemon0"), signal=Signals.SIGTERM),
    Restart(("entry0",)),
    Restart(("entry0",), AT_THE_LOAD),
    Restart(("entry0",), signal=Signals.SIGTERM),
    Restart(("entry0", "daemon0"), stay_away=("daemon0",)),
    Restart(("entry0", "daemon0"), AT_THE_LOAD, stay_away=("daemon0",)),
]


@asynccontextmanager
async def host_frozen_with_its_order(
    site: Machines, replica: FakeReplica, daemon: str, seconds: float
) -> AsyncIterator[None]:
    """Freeze a replica and its daemon as the next order arrives, for `seconds`.

    One staged chunk turns bad as the freeze begins. On exit the replica has taken the order.
    """
    thaw = trio.Event()
    thaw.set()
    orders = 0
    async with trio.open_nursery() as nursery:

        async def freeze() -> None:
            site.signal(daemon, Signals.SIGSTOP)
            corrupt_chunk(replica, 0)
            await trio.sleep(seconds)
            thaw.set()
            site.signal(daemon, Signals.SIGCONT)

        async def stand_still(call: DaemonCall) -> bool:
            nonlocal orders, thaw
            if call.orders:
                orders += 1
                if orders == 1:
                    thaw = trio.Event()
                    nursery.start_soon(freeze)
            await thaw.wait()
            return False

        replica.drops_call = stand_still
        yield
        with trio.fail_after(LOADED_SECONDS):
            while not replica.loads:
                await trio.sleep(0.005)
        replica.drops_call = None


async def load_bad_chunk(site: Machines) -> FakeReplica:
    """Have the first replica load version 2 with a chunk that has been bad for over 3 s."""
    replica = replicas_of(site, MODEL_SERVICE)[0]
    async with host_frozen_with_its_order(site, replica, "daemon0", STALL_SECONDS):
        site.name_version(2)
    check_some_load_was_bad(site)
    return replica


@pytest.mark.parametrize("restart", RESTARTS, ids=str)
async def test_a_bad_load_takes_no_requests_after_a_restart(
    tmp_path: Path, restart: Restart
) -> None:
    async with small_site(tmp_path, models=2, daemons=True) as site:
        await wait_offered(site)
        async with steady_requests(site):
            await load_bad_chunk(site)
            await trio.sleep(restart.after_load)
            await restart.run(site)
            await trio.sleep(WATCHED_SECONDS)
        check_answers(site)


async def wait_all_run(site: Machines, version: int) -> None:
    """Wait until each replica of the model runs a request on a version from now on."""
    for replica in replicas_of(site, MODEL_SERVICE):
        replica.runs.clear()
    async with trio.open_nursery() as nursery:
        for replica in replicas_of(site, MODEL_SERVICE):
            nursery.start_soon(wait_runs, replica, version)


@pytest.mark.parametrize("restart", [r for r in RESTARTS if not r.stay_away], ids=str)
async def test_an_intact_load_takes_requests_again_after_a_restart(
    tmp_path: Path, restart: Restart
) -> None:
    async with small_site(tmp_path, models=2, daemons=True) as site:
        await wait_offered(site)
        replicas = replicas_of(site, MODEL_SERVICE)
        async with steady_requests(site):
            site.name_version(2)
            await wait_loaded(replicas, 2)
            await trio.sleep(restart.after_load)
            sent = site.origin.sent_chunks
            await restart.run(site)
            await wait_all_run(site, 2)
        check_loads(site)
        assert [len(replica.loads) for replica in replicas] == [1, 1]
        assert site.origin.sent_chunks == sent


async def test_intact_loads_take_requests_while_each_process_restarts_in_turn(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=2, entries=2, daemons=True) as site:
        await wait_offered(site)
        replicas = replicas_of(site, MODEL_SERVICE)
        async with steady_requests(site), steady_requests(site, "entry1"):
            site.name_version(2)
            await wait_loaded(replicas, 2)
            sent = site.origin.sent_chunks
            for name in site.machines:
                await Restart((name,), signal=Signals.SIGTERM).run(site)
                await wait_all_run(site, 2)
        check_loads(site)
        assert [len(replica.loads) for replica in replicas] == [1, 1]
        assert site.origin.sent_chunks == sent


async def test_an_intact_load_takes_requests_after_a_restart_though_a_staged_chunk_turned_bad(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=2, daemons=True) as site:
        await wait_offered(site)
        replicas = replicas_of(site, MODEL_SERVICE)
        async with steady_requests(site):
            site.name_version(2)
            await wait_loaded(replicas, 2)
            await wait_offered(site)
            good = replicas[0].staged[0]
            corrupt_chunk(replicas[0], 0)
            with trio.fail_after(UPKEEP_SECONDS):
                while replicas[0].staged[0] != good:
                    await trio.sleep(0.05)
            await Restart(ALL).run(site)
            await wait_all_run(site, 2)


async def put_chunk_right_as_its_load_begins(site: Machines) -> FakeReplica:
    """Have a replica accept an order between its daemon's report and the put of a good chunk."""
    replica = replicas_of(site, MODEL_SERVICE)[0]
    replica.orders_to_hold = 1
    site.name_version(2)
    with trio.fail_after(LOADED_SECONDS):
        while not replica.held_orders:
            await trio.sleep(0.005)
    orders_before_put = replica.held_orders[:]

    async def accept_order_before_put(call: DaemonCall) -> bool:
        if call.orders and not replica.loads:
            return True
        if call.puts_chunk and not replica.loads:
            replica.held_orders = orders_before_put
            replica.take_held_orders()
        return False

    replica.drops_call = accept_order_before_put
    corrupt_chunk(replica, 0)
    with trio.fail_after(LOADED_SECONDS):
        while not replica.loads:
            await trio.sleep(0.005)
    replica.drops_call = None
    check_some_load_was_bad(site)
    return replica


async def test_a_bad_chunk_that_was_replaced_as_its_load_began_takes_no_requests_after_a_restart(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=2, daemons=True) as site:
        await wait_offered(site)
        async with steady_requests(site):
            await put_chunk_right_as_its_load_begins(site)
            await trio.sleep(JUDGED)
            await Restart(ALL).run(site)
            await trio.sleep(WATCHED_SECONDS)
        check_answers(site)


@pytest.mark.parametrize("bad", [True, False])
async def test_an_entry_that_joins_goes_by_what_another_knows_while_a_daemon_is_away(
    tmp_path: Path, bad: bool
) -> None:
    async with small_site(tmp_path, models=2, entries=2, daemons=True) as site:
        await wait_offered(site)
        replicas = replicas_of(site, MODEL_SERVICE)
        if bad:
            await load_bad_chunk(site)
        else:
            site.name_version(2)
        await wait_loaded(replicas, 2)
        await trio.sleep(JUDGED)
        for name in ("daemon0", "entry1"):
            site.signal(name, Signals.SIGKILL)
            await site.wait_exit(name)
        site.start("entry1")
        await site.wait_ready("entry1")
        async with steady_requests(site, "entry1"):
            if bad:
                await trio.sleep(WATCHED_SECONDS)
            else:
                await wait_all_run(site, 2)
        check_answers(site)


async def test_a_replica_kept_from_service_is_logged_and_counted(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=2, daemons=True) as site:
        await wait_offered(site)
        replica = await load_bad_chunk(site)
        with trio.fail_after(SERVED_SECONDS):
            while not any(
                line["message"] == "replica kept from service"
                and line["replica"] == replica.id
                and line["loads"] == {"m@2": "suspect"}
                for line in site.log("entry0")
            ):
                await trio.sleep(0.05)
        metrics = await call(
            Address(site.machines["entry0"].ip, METRICS),
            "GET",
            "/metrics",
            seconds=2,
            max_bytes=1 << 20,
        )
        assert not isinstance(metrics, Failure)
        assert b'headcross_replicas_kept_from_service{load="suspect"} 1.0' in metrics.value.body


async def test_a_bad_load_takes_no_requests_at_an_entry_that_was_frozen_meanwhile(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=2, entries=2, daemons=True) as site:
        await wait_offered(site)
        async with steady_requests(site, "entry1"):
            site.signal("entry1", Signals.SIGSTOP)
            await load_bad_chunk(site)
            site.signal("daemon0", Signals.SIGKILL)
            await site.wait_exit("daemon0")
            site.signal("entry0", Signals.SIGKILL)
            await site.wait_exit("entry0")
            site.signal("entry1", Signals.SIGCONT)
            await trio.sleep(WATCHED_SECONDS)
        check_answers(site)
