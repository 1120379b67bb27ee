"""Tests that a daemon that starts slowly repairs a chunk before an earlier order is accepted.

On a host with many more busy processes than cores, a starting process gets a small share of a
core. Each test gives the restarted daemon such a share, or stops it at one point of its start, by
SIGSTOP and SIGCONT. All other processes run freely, so the machine need not be loaded. The order
of events is that of `test_beside_replica`: a daemon is killed while its order for version 2 is in
doubt, a staged chunk turns bad, version 3 is named, and the daemon is started again.
"""

import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Final

import pytest
import trio
from headcross_platform import names

from testing.machines import Machines, small_site
from testing.platformreplica import DaemonCall, FakeReplica
from tests.test_beside_replica import STALL_SECONDS, corrupt_chunk, kill_with_order_in_doubt
from tests.test_machine_weights import check_loads, wait_loaded, wait_offered

DAEMON: Final = "daemon0"
# Length of one cycle of running and being stopped.
PERIOD_SECONDS: Final = 0.03
# Processor time that a process may have left from earlier periods, in which it waited.
MAX_CREDIT_SECONDS: Final = 0.02
# Shares of a core of the restarted daemon. With 48 sites at once on 8 cores, a site gets 1/6.
SHARES: Final = (1 / 3, 1 / 6)
# Duration of a stop. A start takes well under the rest of `STALL_SECONDS` on a machine at rest.
FREEZE_SECONDS: Final = 2.0


class Point(Enum):
    """A point of the start of a process that is visible from outside."""

    SPAWNED = "spawned"
    STARTED = "started"  # the line that the process logs once its objects exist
    REPORT_CALLED = "report called"
    CHUNK_CALLED = "chunk called"
    DIGESTS_CALLED = "digests called"  # those of version 2, at the origin
    CHUNK_PUT = "chunk put"


@dataclass
class Start:
    """The start of a process: when it reached each point, in seconds since its begin."""

    begun_at: float = 0.0  # trio clock
    reached: dict[Point, float] = field(default_factory=dict)
    at_point: dict[Point, Callable[[], None]] = field(default_factory=dict)

    def note(self, point: Point) -> None:
        """Record that the process has reached a point, if it is the first time."""
        if point not in self.reached:
            self.reached[point] = trio.current_time() - self.begun_at
            if point in self.at_point:
                self.at_point[point]()


class WatchedVersions(dict[int, list[bytes]]):
    """The versions at the origin; a read of version 2 is a point of a start."""

    start: Start

    def __getitem__(self, version: int) -> list[bytes]:
        """Return the chunks of a version."""
        if version == 2:
            self.start.note(Point.DIGESTS_CALLED)
        return super().__getitem__(version)


def processor_seconds(pid: int) -> float:
    """Return the processor time that the running threads of a process have used."""
    used = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        used += int((task / "schedstat").read_text().split()[0])
    return used / 1e9


def pid_of(site: Machines) -> int:
    """Return the process id of the site's daemon."""
    process = site.machines[DAEMON].process
    assert process is not None
    return process.pid


async def limit_share(site: Machines, share: float) -> None:
    """Let the daemon use a share of a core, until cancelled.

    In each period it runs until it has used its share. What it missed, because this process was
    late, is made up for in the following periods.
    """
    pid = pid_of(site)
    begun_at = trio.current_time()
    allowed = 0.0
    try:
        for number in range(1, 10**9):
            allowed += share * PERIOD_SECONDS
            used = processor_seconds(pid)
            allowed = min(allowed, used + MAX_CREDIT_SECONDS)
            if allowed > used:
                site.signal(DAEMON, signal.SIGCONT)
                await trio.sleep(allowed - used)
            site.signal(DAEMON, signal.SIGSTOP)
            await trio.sleep_until(begun_at + number * PERIOD_SECONDS)
    finally:
        site.signal(DAEMON, signal.SIGCONT)


def watch_calls(site: Machines, replica: FakeReplica, start: Start) -> None:
    """Record the calls of a starting process to its replica and to the origin."""

    async def note_call(call: DaemonCall) -> bool:
        if call.reads_chunk:
            start.note(Point.CHUNK_CALLED)
        elif call.puts_chunk:
            start.note(Point.CHUNK_PUT)
        elif call.path == names.REPORT_PATH:
            start.note(Point.REPORT_CALLED)
        return False

    replica.drops_call = note_call
    versions = WatchedVersions(site.origin.versions)
    versions.start = start
    site.origin.versions = versions


async def watch_log(site: Machines, start: Start) -> None:
    """Record when the restarted process logs its start."""
    while sum(line["message"] == "started" for line in site.log(DAEMON)) < 2:
        await trio.sleep(0.005)
    start.note(Point.STARTED)


@asynccontextmanager
async def restarted_site(
    directory: Path, slow: Callable[[Machines, Start], Awaitable[None]]
) -> AsyncIterator[tuple[Machines, Start]]:
    """Run the events up to the held order's acceptance, with a slow start of the daemon."""
    async with small_site(directory, models=1, daemons=True) as site:
        await wait_offered(site)
        replica = await kill_with_order_in_doubt(site)
        start = Start()
        corrupt_chunk(replica, 0)
        site.name_version(3)
        watch_calls(site, replica, start)
        start.begun_at = trio.current_time()
        site.start(DAEMON)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_log, site, start)
            nursery.start_soon(slow, site, start)
            await trio.sleep_until(start.begun_at + STALL_SECONDS)
            replica.take_held_orders()
            nursery.cancel_scope.cancel()
        yield site, start
        await wait_loaded([replica], 3)
        check_loads(site)


async def freeze(site: Machines, start: Start, point: Point, seconds: float) -> None:
    """Stop the daemon for some seconds once it has reached a point of its start."""
    reached = trio.Event()

    def stop() -> None:
        site.signal(DAEMON, signal.SIGSTOP)
        reached.set()

    start.at_point[point] = stop
    if point is Point.SPAWNED or point in start.reached:
        stop()
    try:
        await reached.wait()
        await trio.sleep(seconds)
    finally:
        site.signal(DAEMON, signal.SIGCONT)


def report(site: Machines, start: Start, what: str) -> None:
    """Print the processor time that the daemon has used, and when it reached which point."""
    used = processor_seconds(pid_of(site))
    points = {point.value: round(at, 3) for point, at in start.reached.items()}
    print(f"{what}: {used:.3f} s of a core used in {STALL_SECONDS} s; {points}")


@pytest.mark.parametrize("share", SHARES)
async def test_a_chunk_is_repaired_by_a_process_with_a_share_of_a_core(
    tmp_path: Path, share: float
) -> None:
    """The daemon gets a share of a core from its start to the acceptance of the order."""

    async def slow(site: Machines, start: Start) -> None:
        await limit_share(site, share)

    async with restarted_site(tmp_path, slow) as (site, start):
        report(site, start, f"share {share:.3f}")


@pytest.mark.parametrize("point", [point for point in Point if point is not Point.CHUNK_PUT])
async def test_a_chunk_is_repaired_by_a_process_that_is_stopped_at_a_point_of_its_start(
    tmp_path: Path, point: Point
) -> None:
    """The daemon runs freely but for one stop."""

    async def slow(site: Machines, start: Start) -> None:
        await freeze(site, start, point, FREEZE_SECONDS)

    async with restarted_site(tmp_path, slow) as (site, start):
        report(site, start, f"stopped at {point.value}")
