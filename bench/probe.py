"""Measures a daemon's memory, processor time and control traffic from outside the process."""

from dataclasses import dataclass
from pathlib import Path
from statistics import linear_regression, mean
from typing import Any

import trio

from bench.swarmrun import cpu_seconds
from testing.fleet import Fleet

KIB = 1024


@dataclass(frozen=True)
class Memory:
    """Resident memory of one process."""

    rss_bytes: int  # with shared pages counted in full
    private_bytes: int  # pages not shared with any other process


@dataclass(frozen=True)
class Sample:
    """Resource use of one process at one time."""

    rss_bytes: int  # resident set, with shared pages counted in full
    private_bytes: int  # resident pages not shared with any other process
    cpu_seconds: float
    control_bytes: int  # ZeroMQ payload sent and received on the control channel


@dataclass(frozen=True)
class Line:
    """A line fitted to points and its largest residual."""

    slope: float
    intercept: float
    residual: float  # largest vertical distance of a point from the line, as a share of the mean


def fit(points: list[tuple[float, float]]) -> Line:
    """Fit a line to points by least squares.

    >>> fit([(1, 3), (2, 5), (3, 7)])
    Line(slope=2.0, intercept=1.0, residual=0.0)
    """
    xs, ys = [x for x, _ in points], [y for _, y in points]
    slope, intercept = linear_regression(xs, ys)
    worst = max(abs(y - slope * x - intercept) for x, y in points)
    return Line(slope, intercept, round(worst / (mean(ys) or 1.0), 4))


async def take_sample(fleet: Fleet, name: str) -> Sample:
    """Sample the resource use of one daemon."""
    process = fleet.nodes[name].process
    assert process is not None
    memory = read_memory(process.pid)
    state: dict[str, Any] = await fleet.state(name)
    control = state["control"]
    return Sample(
        memory.rss_bytes,
        memory.private_bytes,
        cpu_seconds(process.pid),
        control["sent_bytes"] + control["received_bytes"],
    )


async def measure_rates(fleet: Fleet, names: list[str], seconds: float) -> dict[str, float]:
    """Return the means over some daemons: memory, and control bytes and CPU time per second."""
    before = {name: await take_sample(fleet, name) for name in names}
    started = trio.current_time()
    await trio.sleep(seconds)
    after = {name: await take_sample(fleet, name) for name in names}
    elapsed = trio.current_time() - started
    return {
        "rss_bytes": mean(s.rss_bytes for s in after.values()),
        "private_bytes": mean(s.private_bytes for s in after.values()),
        "control_bytes_per_second": mean(
            (after[n].control_bytes - before[n].control_bytes) / elapsed for n in names
        ),
        "core_share": mean(
            (after[n].cpu_seconds - before[n].cpu_seconds) / elapsed for n in names
        ),
    }


def read_memory(pid: int) -> Memory:
    """Return the resident memory of a process."""
    sizes = _read_sizes(Path(f"/proc/{pid}/smaps_rollup"))
    return Memory(sizes["Rss"], sizes["Private_Clean"] + sizes["Private_Dirty"])


def run_seconds(pid: int) -> float:
    """Return the processor time of all threads of a process so far, to the nanosecond."""
    times = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[0]) for path in times) / 1e9


def _read_sizes(path: Path) -> dict[str, int]:
    """Return the sizes in a smaps_rollup file, in bytes by field."""
    lines = (line.split() for line in path.read_text().splitlines()[1:])
    return {fields[0].rstrip(":"): int(fields[1]) * KIB for fields in lines}
