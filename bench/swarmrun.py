"""Runs one swarm distribution: N upstream daemons fetch one version.

Link rates are those of the target deployment: within the burst window the origin's link carries
four copies and a host's link two, so the lower bound of the time is half the window for any N,
plus the load time of the engine.
"""

import random
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio

from testing.fleet import Fleet, Spec, running_fleet, wait_for

LOAD_SECONDS = 0.2
ZONES_PER_REGION = 2
FLEET_FILE = """
[models.m.versions.v1]
digest = "{digest}"
weights = "m-v1"
[pools.p]
model = "m"
version = "v1"
replicas = {replicas}
zones = [{zones}]
origin_copies = {copies}
max_unavailable = {replicas}
"""


@dataclass(frozen=True)
class Setup:
    """The size of one run."""

    hosts: int
    origin_copies: int
    weights_bytes: int
    window_seconds: float
    chunks: int = 128
    regions: int = 3

    @property
    def host_rate(self) -> float:
        """The rate of a host's link in bytes per second."""
        return 2 * self.weights_bytes / self.window_seconds

    @property
    def floor_seconds(self) -> float:
        """The lower bound: the time of one copy over a host's link plus the engine's load time."""
        return self.window_seconds / 2 + LOAD_SECONDS

    def zones(self) -> list[tuple[str, str]]:
        """Return the (region, zone) pairs, at most one for each host."""
        pairs = [
            (f"r{r}", f"r{r}-{z}") for z in range(ZONES_PER_REGION) for r in range(self.regions)
        ]
        return pairs[: max(1, min(len(pairs), self.hosts))]


async def run_swarm(setup: Setup, directory: Path) -> dict[str, Any]:
    """Run one distribution and return its results."""
    zones = setup.zones()
    specs = [Spec("entry0", "entry", zones[0][1], zones[0][0])]
    for index in range(setup.hosts):
        region, zone = zones[index % len(zones)]
        specs.append(Spec(f"host{index}", "upstream", zone, region))
    rate = setup.host_rate
    async with running_fleet(
        directory, specs, uplink=rate, downlink=rate, origin_rate=2 * rate
    ) as fleet:
        for engine in fleet.engines().values():
            engine.verifies_chunks, engine.load_seconds = False, LOAD_SECONDS
        for name in fleet.nodes:
            fleet.start(name)
        data = random.randbytes(setup.weights_bytes)
        digest = fleet.origin.add("m-v1", data, setup.weights_bytes // setup.chunks)
        # Publish an empty fleet file first, so that every daemon is running when the burst begins.
        fleet.publish_fleet("")
        await fleet.wait_revision(1)
        before = await _sum_resource_use(fleet)
        names = ", ".join(f'"{zone}"' for _, zone in zones)
        started = time.monotonic()
        fleet.publish_fleet(
            FLEET_FILE.format(
                digest=digest, replicas=setup.hosts, zones=names, copies=setup.origin_copies
            )
        )
        times: dict[str, float] = {}

        async def all_loaded() -> bool:
            for name, engine in fleet.engines().items():
                if engine.loaded and name not in times:
                    times[name] = time.monotonic() - started
            return len(times) == setup.hosts

        await wait_for(all_loaded, "all loaded", 20 * setup.window_seconds, poll=0.02)
        after = await _sum_resource_use(fleet)
        return await _collect_results(fleet, setup, sorted(times.values()), after - before)


async def _collect_results(
    fleet: Fleet, setup: Setup, times: list[float], resource_use: Counter[str]
) -> dict[str, Any]:
    """Return the results; `times` are the sorted seconds until each engine had loaded."""
    size = setup.weights_bytes
    counts: Counter[str] = Counter()
    zone_of = {name: node.spec.zone for name, node in fleet.nodes.items()}
    region_of = {name: node.spec.region for name, node in fleet.nodes.items()}
    for name in fleet.names("upstream"):
        swarm = (await fleet.state(name))["swarm"]
        for key, value in swarm["counts"].items():
            if not key.startswith("peer_bytes_from "):
                counts[key] += value
                continue
            source = key.removeprefix("peer_bytes_from ")
            counts["cross_zone"] += value * (zone_of[source] != zone_of[name])
            counts["cross_region"] += value * (region_of[source] != region_of[name])
    return {
        "hosts": setup.hosts,
        "origin_copies_asked": setup.origin_copies,
        "seconds": round(times[-1], 2),
        "floor_ratio": round(times[-1] / setup.floor_seconds, 3),
        "median_ratio": round(times[len(times) // 2] / setup.floor_seconds, 3),
        "origin_copies": round(fleet.origin.sent_bytes / size, 3),
        "cross_zone_copies": round(counts["cross_zone"] / size, 2),
        "cross_region_copies": round(counts["cross_region"] / size, 2),
        "duplicate_copies": round(counts["duplicate_bytes"] / size, 3),
        "takeovers": counts["takeovers"],
        "stalled": counts["stalled"],
        "refused": counts["refused"],
        "control_bytes_per_host": round(resource_use["bytes"] / setup.hosts),
        "swarm_overhead_bytes_per_host": round(
            (resource_use["swarm_bytes"] - counts["peer_bytes"]) / setup.hosts
        ),
        "cpu_seconds_per_host": round(resource_use["cpu_ms"] / 1000 / setup.hosts, 3),
    }


async def _sum_resource_use(fleet: Fleet) -> Counter[str]:
    """Return the total bytes and processor time of all upstream daemons so far."""
    total: Counter[str] = Counter()

    async def add_state(name: str) -> None:
        state = await fleet.state(name)
        total["bytes"] += state["control"]["sent_bytes"] + state["control"]["received_bytes"]
        # Only received bytes are summed, so that every frame is counted once.
        total["swarm_bytes"] += state["swarm"]["node"]["received_bytes"]
        process = fleet.nodes[name].process
        assert process is not None
        total["cpu_ms"] += round(1000 * cpu_seconds(process.pid))

    async with trio.open_nursery() as nursery:
        for name in fleet.names("upstream"):
            nursery.start_soon(add_state, name)
    return total


def cpu_seconds(pid: int) -> float:
    """Return the user and system processor time of a process so far."""
    # The times in /proc are in clock ticks, 100 a second.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100
