"""Tests that a replica gets requests only once its load is confirmed to be complete.

Guards against answers from weights with a corrupt chunk. A replica may carry out an order seconds
after it was sent, when a chunk has become corrupt; nobody can prevent that while the replica
answers nothing or its daemon is dead. Replicas do not verify their loads, so the versions in the
list and in a replica's report do not show it. An entry that relied on them, at one request every
0.1 s, sent all but the first few to the bad load until another version was loaded.
"""

import hashlib
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from testing.machinecaller import Reply, ask
from testing.machinelayout import MODEL_SERVICE
from testing.machines import Machines, replicas_of, small_site
from testing.platformreplica import FakeReplica
from tests.test_beside_replica import (
    STALL_SECONDS,
    corrupt_chunk,
    kill_with_order_in_doubt,
    model_replica,
)
from tests.test_machine_weights import LOADED_SECONDS, check_loads, wait_loaded, wait_offered

REQUEST_INTERVAL_SECONDS = 0.1
WATCHED_SECONDS = 3.0
# Time within which a complete load must take requests again.
SERVED_SECONDS = 10.0


@asynccontextmanager
async def steady_requests(site: Machines, entry: str = "entry0") -> AsyncIterator[list[Reply]]:
    """Send requests to the model continuously; yield the list that collects the replies."""
    replies: list[Reply] = []

    async def send_requests() -> None:
        while True:
            replies.append(await ask(site.callers(entry), "/stream/x"))
            await trio.sleep(REQUEST_INTERVAL_SECONDS)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_requests)
        yield replies
        nursery.cancel_scope.cancel()


def is_complete(site: Machines, load: tuple[int, list[str]]) -> bool:
    """Return whether a load has exactly the chunks of its version."""
    version, digests = load
    return digests == [
        hashlib.sha256(chunk).hexdigest() for chunk in site.origin.versions[version]
    ]


def check_answers(site: Machines) -> None:
    """Check that no request ran on an incomplete or corrupt load."""
    for replica in replicas_of(site, MODEL_SERVICE):
        bad = {n for n, load in enumerate(replica.loads, start=1) if not is_complete(site, load)}
        ran = [run.id for run in replica.runs if run.load in bad]
        assert not ran, f"{len(ran)} of {len(replica.runs)} requests ran on loads {bad}"


def check_some_load_was_bad(site: Machines) -> None:
    """Check that the test produced its fault: at least one load was incomplete or corrupt."""
    loads = [load for r in replicas_of(site, MODEL_SERVICE) for load in r.loads]
    assert not all(is_complete(site, load) for load in loads)


async def wait_runs(replica: FakeReplica, version: int) -> None:
    """Wait until a request runs on a version."""
    with trio.fail_after(SERVED_SECONDS):
        while not any(run.version == version for run in replica.runs):
            await trio.sleep(0.02)


async def wait_order_held_back(site: Machines) -> FakeReplica:
    """Name version 2 and wait until the replica holds its order back; return the replica."""
    replica = model_replica(site).replica
    replica.orders_to_hold = 1
    site.name_version(2)
    with trio.fail_after(LOADED_SECONDS):
        while not replica.held_orders:
            await trio.sleep(0.005)
    return replica


async def carry_out_orders_after_silence(replica: FakeReplica) -> None:
    """Have a replica answer no call of its daemon for a while, then carry out the held orders."""
    silent = True

    async def answer_no_call(call: object) -> bool:
        return silent

    replica.drops_call = answer_no_call
    await trio.sleep(STALL_SECONDS)
    replica.take_held_orders()
    silent = False


async def test_a_bad_load_takes_no_requests_while_its_daemon_is_gone(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        async with steady_requests(site):
            replica = await kill_with_order_in_doubt(site)
            corrupt_chunk(replica, 0)
            await trio.sleep(STALL_SECONDS)
            replica.take_held_orders()
            await trio.sleep(WATCHED_SECONDS)
        check_some_load_was_bad(site)
        check_answers(site)


async def test_a_bad_load_takes_no_requests_once_its_daemon_is_back(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        async with steady_requests(site):
            replica = await kill_with_order_in_doubt(site)
            corrupt_chunk(replica, 0)
            await trio.sleep(STALL_SECONDS)
            replica.take_held_orders()
            site.start("daemon0")
            await trio.sleep(WATCHED_SECONDS)
            site.name_version(3)
            await wait_loaded([replica], 3)
            await wait_runs(replica, 3)
        check_some_load_was_bad(site)
        check_answers(site)


async def test_a_bad_load_of_a_silent_replica_takes_no_requests(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        async with steady_requests(site):
            replica = await wait_order_held_back(site)
            corrupt_chunk(replica, 0)
            await carry_out_orders_after_silence(replica)
            await trio.sleep(WATCHED_SECONDS)
            site.name_version(3)
            await wait_loaded([replica], 3)
            await wait_runs(replica, 3)
        check_some_load_was_bad(site)
        check_answers(site)


async def test_a_complete_load_of_an_order_accepted_late_takes_requests(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        async with steady_requests(site):
            replica = await wait_order_held_back(site)
            await carry_out_orders_after_silence(replica)
            await wait_runs(replica, 2)
        check_loads(site)


async def test_a_complete_load_takes_requests_after_its_daemon_was_killed(tmp_path: Path) -> None:
    """The daemon confirmed the load before it was killed, which remains valid."""
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        replica = model_replica(site).replica
        async with steady_requests(site) as replies:
            site.name_version(2)
            await wait_runs(replica, 2)
            site.signal("daemon0", signal.SIGKILL)
            await site.wait_exit("daemon0")
            await trio.sleep(WATCHED_SECONDS)
            since = len(replies)
            await trio.sleep(WATCHED_SECONDS)
            assert replies[since:] and all(reply.status == 200 for reply in replies[since:])
        check_answers(site)


async def test_complete_loads_take_requests_after_all_processes_were_killed(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=2, daemons=True) as site:
        await wait_offered(site)
        replicas = replicas_of(site, MODEL_SERVICE)
        site.name_version(2)
        await wait_loaded(replicas, 2)
        for name in site.machines:
            site.signal(name, signal.SIGKILL)
        for name in site.machines:
            await site.wait_exit(name)
        for name in site.machines:
            site.start(name)
        with trio.fail_after(SERVED_SECONDS):
            while (await ask(site.callers("entry0"), "/stream/x")).status != 200:
                await trio.sleep(0.1)
        check_answers(site)
