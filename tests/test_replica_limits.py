"""Tests of replicas that limit the requests per second of all entries together.

A replica names its limit in its answers. Entries run as real processes before a few replicas.
Requests arrive at a constant rate, at every entry in turn.
"""

import itertools
import math
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import pytest
import trio

from testing.machinecaller import Reply, ask
from testing.machinelayout import MODEL_SERVICE, PLAIN_SERVICE, WAIT_SECONDS
from testing.machines import Machines, replicas_of, small_site
from testing.platformreplica import FakeReplica

SERVICES: Final = {
    "/stream/x": MODEL_SERVICE,
    "/again/x": PLAIN_SERVICE,
    "/once/x": PLAIN_SERVICE,
}
REPLICAS: Final = 4
REQUEST_SECONDS: Final = 1 / 60
UNLIMITED_SECONDS: Final = 1.0
LIMITED_SECONDS: Final = 11.0
# The requirement: from PROPAGATION_SECONDS after the limit was first named on, the number of
# requests in each window of WINDOW_SECONDS is bounded; see allowed_in_window.
PROPAGATION_SECONDS: Final = 3.0
WINDOW_SECONDS: Final = 4.0
ALLOWED_FACTOR: Final = 1.5
ALLOWED_EXTRA: Final = 5
# The fraction of an allowed rate that must be used if enough requests arrive.
MIN_USED_FRACTION: Final = 0.7
# The time within which a limit or its end, as learned by one entry, reaches all connected entries.
NEWS_SECONDS: Final = 5.0
# The time after which a replica without a limit must have its full share again.
FULL_SHARE_SECONDS: Final = 4.0
# How long an entry is suspended, and how long it runs before the next kill or suspension.
SUSPENDED_SECONDS: Final = 2.0
RUNNING_SECONDS: Final = 1.5

Fault = Callable[[Machines, str], Awaitable[None]]


@dataclass
class LoadResult:
    """When a limit applied during one load, and the replies to callers."""

    limited_at: float = 0.0  # trio's clock
    ended_at: float = 0.0  # trio's clock
    replies: list[Reply] = field(default_factory=list)

    def served(self) -> int:
        """Return how many requests were answered completely."""
        return sum(reply.status == 200 and reply.whole for reply in self.replies)

    def max_in_window(self, replica: FakeReplica) -> int:
        """Return the most requests that a replica got in any window, once the limit must hold."""
        first = self.limited_at + PROPAGATION_SECONDS
        arrival_times = [r.at for r in replica.arrived if first <= r.at < self.ended_at]
        return max(
            (
                sum(start <= at < start + WINDOW_SECONDS for at in arrival_times)
                for start in arrival_times
            ),
            default=0,
        )

    def rate(self, replica: FakeReplica) -> float:
        """Return the requests per second that a replica got, once the limit must hold."""
        first = self.limited_at + PROPAGATION_SECONDS
        arrived = sum(first <= r.at < self.ended_at for r in replica.arrived)
        return arrived / (self.ended_at - first)


def allowed_in_window(limit: float) -> int:
    """Return how many requests a replica may get in one window."""
    return math.floor(ALLOWED_FACTOR * WINDOW_SECONDS * limit + ALLOWED_EXTRA)


@asynccontextmanager
async def limited_site(
    directory: Path, service: str, entries: int = 2, daemons: bool = False
) -> AsyncIterator[Machines]:
    """Run entries before four replicas of a service."""
    models, plain = (REPLICAS, 1) if service == MODEL_SERVICE else (1, REPLICAS)
    async with small_site(
        directory, models=models, plain=plain, entries=entries, daemons=daemons
    ) as site:
        yield site


async def keep_asking(site: Machines, path: str, replies: list[Reply], stop: trio.Event) -> None:
    """Send requests to every entry in turn until `stop` is set, and wait for all answers."""
    entries = sum(machine.role == "entry" for machine in site.machines.values())

    async def call(entry: str) -> None:
        replies.append(await ask(site.callers(entry), path))

    async with trio.open_nursery() as calls:
        for number in itertools.takewhile(lambda _: not stop.is_set(), itertools.count()):
            calls.start_soon(call, f"entry{number % entries}")
            await trio.sleep(REQUEST_SECONDS)


async def run_load(
    site: Machines, path: str, limited: Sequence[FakeReplica], limit: str
) -> LoadResult:
    """Send requests while some replicas name a limit."""
    result = LoadResult()
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_asking, site, path, result.replies, stop)
        await trio.sleep(UNLIMITED_SECONDS)
        for replica in limited:
            replica.limit = limit
        result.limited_at = trio.current_time()
        await trio.sleep(LIMITED_SECONDS)
        result.ended_at = trio.current_time()
        stop.set()
    return result


@pytest.mark.parametrize("path", list(SERVICES))
async def test_entries_together_keep_the_limit_that_one_replica_names(
    tmp_path: Path, path: str
) -> None:
    async with limited_site(tmp_path, SERVICES[path]) as site:
        limited, *_ = replicas_of(site, SERVICES[path])
        result = await run_load(site, path, [limited], "2.0")
    print(result.max_in_window(limited), result.rate(limited), result.served())
    assert result.max_in_window(limited) <= allowed_in_window(2.0)
    assert result.rate(limited) >= MIN_USED_FRACTION * 2.0
    assert result.served() == len(result.replies)


@pytest.mark.parametrize("path", list(SERVICES))
async def test_entries_together_keep_the_limits_that_all_replicas_name(
    tmp_path: Path, path: str
) -> None:
    async with limited_site(tmp_path, SERVICES[path]) as site:
        limited = replicas_of(site, SERVICES[path])
        result = await run_load(site, path, limited, "2.0")
    print([(result.max_in_window(r), result.rate(r)) for r in limited], result.served())
    for replica in limited:
        assert result.max_in_window(replica) <= allowed_in_window(2.0)
        assert result.rate(replica) >= MIN_USED_FRACTION * 2.0


@pytest.mark.parametrize("limit", ["1.4", "20"])
async def test_five_entries_together_keep_the_limit_that_replicas_name(
    tmp_path: Path, limit: str
) -> None:
    async with limited_site(tmp_path, MODEL_SERVICE, entries=5, daemons=True) as site:
        limited = replicas_of(site, MODEL_SERVICE)[:2]
        result = await run_load(site, "/stream/x", limited, limit)
    print([(result.max_in_window(r), result.rate(r)) for r in limited], result.served())
    for replica in limited:
        assert result.max_in_window(replica) <= allowed_in_window(float(limit))
    assert result.served() == len(result.replies)


async def kill_repeatedly(site: Machines, entry: str) -> None:
    """Kill and restart an entry until cancelled."""
    while True:
        site.signal(entry, signal.SIGKILL)
        await site.wait_exit(entry)
        site.start(entry)
        await site.wait_ready(entry)
        await trio.sleep(RUNNING_SECONDS)


async def suspend_repeatedly(site: Machines, entry: str) -> None:
    """Suspend and resume an entry until cancelled."""
    while True:
        site.signal(entry, signal.SIGSTOP)
        await trio.sleep(SUSPENDED_SECONDS)
        site.signal(entry, signal.SIGCONT)
        await trio.sleep(RUNNING_SECONDS)


@pytest.mark.parametrize("fault", [kill_repeatedly, suspend_repeatedly])
async def test_entries_keep_a_limit_while_one_of_them_is_killed_or_suspended(
    tmp_path: Path, fault: Fault
) -> None:
    async with limited_site(tmp_path, MODEL_SERVICE, entries=3, daemons=True) as site:
        limited = replicas_of(site, MODEL_SERVICE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fault, site, "entry2")
            result = await run_load(site, "/stream/x", limited, "2.0")
            nursery.cancel_scope.cancel()
        site.signal("entry2", signal.SIGCONT)
    print([(result.max_in_window(r), result.rate(r)) for r in limited], result.served())
    for replica in limited:
        assert result.max_in_window(replica) <= allowed_in_window(2.0)


@pytest.mark.parametrize("path", list(SERVICES))
async def test_a_replica_that_names_no_limit_any_more_has_its_share_again(
    tmp_path: Path, path: str
) -> None:
    async with limited_site(tmp_path, SERVICES[path]) as site:
        limited, *others = replicas_of(site, SERVICES[path])
        limited.limit = "0.2"
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_asking, site, path, [], stop)
            await trio.sleep(PROPAGATION_SECONDS)
            limited.limit = None
            await trio.sleep(FULL_SHARE_SECONDS)
            before = [replica.arrivals for replica in (limited, *others)]
            await trio.sleep(WINDOW_SECONDS)
            own, *theirs = (
                replica.arrivals - count
                for replica, count in zip((limited, *others), before, strict=True)
            )
            stop.set()
    print(own, theirs)
    assert own >= 0.5 * sum(theirs) / len(theirs)


async def applied_limits(site: Machines, entry: str) -> list[float]:
    """Return the limits of the model's replicas that an entry applies."""
    states = (await site.state(entry)).get("replica_states", [])
    return [state["limit"] for state in states if state["limit"] is not None]


async def wait_limits(site: Machines, entry: str, expected: list[float]) -> None:
    """Wait until an entry applies exactly these limits."""
    with trio.fail_after(NEWS_SECONDS):
        while await applied_limits(site, entry) != expected:
            await trio.sleep(0.05)


async def ask_until_limits(site: Machines, entry: str, expected: list[float]) -> None:
    """Send requests to an entry until it applies exactly these limits."""
    with trio.fail_after(WAIT_SECONDS):
        while await applied_limits(site, entry) != expected:
            await ask(site.callers(entry), "/stream/x")
            await trio.sleep(0.02)


async def test_an_entry_learns_from_another_that_a_replica_names_a_limit_and_its_end(
    tmp_path: Path,
) -> None:
    async with limited_site(tmp_path, MODEL_SERVICE) as site:
        limited, *_ = replicas_of(site, MODEL_SERVICE)
        limited.limit = "2.5"
        await ask_until_limits(site, "entry0", [2.5])
        await wait_limits(site, "entry1", [2.5])
        limited.limit = None
        await ask_until_limits(site, "entry1", [])
        await wait_limits(site, "entry0", [])


async def test_an_entry_that_starts_learns_that_a_replica_names_a_limit(tmp_path: Path) -> None:
    async with limited_site(tmp_path, MODEL_SERVICE) as site:
        limited, *_ = replicas_of(site, MODEL_SERVICE)
        limited.limit = "2.5"
        await ask_until_limits(site, "entry0", [2.5])
        site.signal("entry1", signal.SIGKILL)
        await site.wait_exit("entry1")
        site.start("entry1")
        await site.wait_ready("entry1")
        await wait_limits(site, "entry1", [2.5])


async def test_a_restarted_replica_does_not_keep_its_earlier_limit(tmp_path: Path) -> None:
    async with limited_site(tmp_path, MODEL_SERVICE) as site:
        limited, *_ = replicas_of(site, MODEL_SERVICE)
        limited.limit = "2.5"
        await ask_until_limits(site, "entry0", [2.5])
        limited.limit = None
        listed = site.replicas[limited.id]
        await site.restart_replica(listed)
        await wait_limits(site, "entry0", [])
        await wait_limits(site, "entry1", [])
