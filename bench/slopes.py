"""make slopes: measures the cost of each daemon per peer, change, chunk, request and token.

Each slope is fitted to three sizes measured in one run; the residual is the largest distance of a
point from its line as a share of the mean. docs/CAPACITY.md extrapolates the slopes to the size of
the target deployment.
"""

import json
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from functools import partial
from pathlib import Path
from typing import Any

import trio
from headcross_fleet.membership import heartbeat_period

from bench.probe import Line, fit, measure_rates, take_sample
from bench.swarmrun import Setup, run_swarm
from testing.caller import generate
from testing.fleet import HTTP, Fleet, Spec, running_fleet
from testing.small import POOL_PATH, small_fleet

Points = dict[str, list[tuple[float, float]]]
PEERS = (6, 14, 40)
CHANGES = (5, 10, 20)
CHUNKS = (64, 128, 256)
TOKENS = (4, 32, 96)
REQUESTS = (100, 200, 400)
IDLE_SECONDS = 10.0
MIB = 1024 * 1024
MAX_CONCURRENT = 8


async def measure_peers(directory: Path, points: Points) -> None:
    """Measure memory, control bytes and processor time of idle daemons by number of peers."""
    for peers in PEERS:
        specs = [Spec("entry0", "entry", "z0", "r0"), Spec("entry1", "entry", "z1", "r0")]
        specs += [Spec(f"host{i}", "upstream", f"z{i % 3}", "r0", "s") for i in range(peers)]
        async with running_fleet(directory, specs) as fleet:
            fleet.publish_fleet("[services.s]\n")
            for name in fleet.nodes:
                fleet.start(name)
            await fleet.wait_settled()
            await trio.sleep(4)
            for role, names in (("entry", ["entry0"]), ("upstream", ["host0", "host1"])):
                rates = await measure_rates(fleet, names, IDLE_SECONDS)
                for figure, value in rates.items():
                    # An entry's traffic is proportional to its heartbeats, whose period grows with
                    # the fleet.
                    per_heartbeat = role == "entry" and figure in (
                        "control_bytes_per_second",
                        "core_share",
                    )
                    unit = "heartbeat a second" if per_heartbeat else "upstream daemon"
                    size = peers / heartbeat_period(peers) if per_heartbeat else peers
                    points.setdefault(f"{role} {figure} per {unit}", []).append((size, value))


async def measure_changes(directory: Path, points: Points) -> None:
    """Measure control bytes and processor time of one daemon by the number of changes."""
    async with small_fleet(directory, hosts=6) as small:
        for changes in CHANGES:
            before = await take_sample(small.fleet, "host0")
            for _ in range(changes):
                revision = small.fleet.publish_fleet(f"{small.text}\n# {small.fleet.config.reads}")
                await small.fleet.wait_revision(revision)
            after = await take_sample(small.fleet, "host0")
            spent = after.cpu_seconds - before.cpu_seconds
            sent = after.control_bytes - before.control_bytes
            points.setdefault("upstream cpu_seconds per change", []).append((changes, spent))
            points.setdefault("upstream control_bytes per change", []).append((changes, sent))


async def measure_chunks(directory: Path, points: Points) -> None:
    """Measure processor time and swarm overhead of a transfer by the number of chunks."""
    for chunks in CHUNKS:
        setup = Setup(8, 1, 8 * MIB, 8.0, chunks=chunks, regions=2)
        figures = await run_swarm(setup, directory)
        cpu = figures["cpu_seconds_per_host"]
        points.setdefault("upstream cpu_seconds per chunk", []).append((chunks, cpu))
        overhead = figures["swarm_overhead_bytes_per_host"]
        points.setdefault("upstream swarm_overhead_bytes per chunk", []).append((chunks, overhead))


async def measure_requests(directory: Path, points: Points) -> None:
    """Measure processor time of entry and upstream daemon by requests, and by tokens."""
    async with small_fleet(directory, hosts=1, zones=1) as small:
        for engine in small.fleet.engines().values():
            engine.token_seconds = 0
        for requests in REQUESTS:
            await _measure_cpu(
                small.fleet,
                points,
                "request",
                requests,
                partial(_send_requests, small.fleet, requests, 1),
            )
        for tokens in TOKENS:
            await _measure_cpu(
                small.fleet,
                points,
                "token",
                tokens * 100,
                partial(_send_requests, small.fleet, 100, tokens),
            )


async def _measure_cpu(
    fleet: Fleet,
    points: Points,
    unit: str,
    count: int,
    run_load: Callable[[], Awaitable[None]],
) -> None:
    names = {"entry": "entry0", "upstream": "host0"}
    before = {role: await take_sample(fleet, name) for role, name in names.items()}
    await run_load()
    for role, name in names.items():
        after = await take_sample(fleet, name)
        spent = after.cpu_seconds - before[role].cpu_seconds
        points.setdefault(f"{role} cpu_seconds per {unit}", []).append((count, spent))


async def _send_requests(fleet: Fleet, requests: int, tokens: int) -> None:
    address = fleet.nodes["entry0"].address(HTTP)
    limit = trio.CapacityLimiter(MAX_CONCURRENT)

    async def send_one() -> None:
        async with limit:
            reply, _ = await generate(address, POOL_PATH, tokens=tokens)
            assert reply.status == 200, reply

    async with trio.open_nursery() as nursery:
        for _ in range(requests):
            nursery.start_soon(send_one)


async def measure_all(directory: Path) -> dict[str, Any]:
    """Measure all slopes; return the points and the fitted line of each."""
    points: Points = {}
    for measure in (measure_peers, measure_changes, measure_chunks, measure_requests):
        await measure(directory, points)
        print(f"{measure.__name__} done", file=sys.stderr)
    lines: dict[str, Line] = {name: fit(measured) for name, measured in points.items()}
    return {name: {**asdict(lines[name]), "points": points[name]} for name in points}


def main() -> None:
    """Measure and print one JSON line for each slope."""
    with tempfile.TemporaryDirectory(prefix="headcross-slopes-") as directory:
        for name, line in trio.run(measure_all, Path(directory)).items():
            print(json.dumps({"name": name, **line}))


if __name__ == "__main__":
    main()
