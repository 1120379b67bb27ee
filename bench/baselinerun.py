"""Runs a baseline: every host fetches weights from the origin, or from the previous host."""

import random
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, Literal

import trio
from headcross_base.addresses import Address

from bench.swarmrun import LOAD_SECONDS, Setup
from testing.fleet import HTTP, running_fleet

Kind = Literal["origin", "chain"]


async def run_baseline(setup: Setup, kind: Kind, directory: Path) -> dict[str, Any]:
    """Run one baseline and return its results."""
    chunk_bytes = setup.weights_bytes // setup.chunks
    rate = setup.host_rate
    async with running_fleet(directory, [], origin_rate=2 * rate) as fleet:
        fleet.origin.add("m-v1", random.randbytes(setup.weights_bytes), chunk_bytes)
        origin = fleet.platform(7101)
        addresses = [Address(f"127.{fleet.block}.{i + 2}", HTTP) for i in range(setup.hosts)]
        processes: list[subprocess.Popen[bytes]] = []
        started = time.monotonic()
        for index, address in enumerate(addresses):
            source = origin if kind == "origin" or index == 0 else addresses[index - 1]
            arguments = [str(source), str(address), setup.chunks, chunk_bytes, rate]
            command = [sys.executable, "-m", "bench.baselinehost", *map(str, arguments)]
            processes.append(subprocess.Popen(command, stdout=subprocess.PIPE))
        times: list[float] = []
        try:
            async with trio.open_nursery() as nursery:
                for process in processes:
                    nursery.start_soon(_record_completion, process, started, times)
        finally:
            for process in processes:
                process.kill()
                process.wait()
        times.sort()
        loaded = [seconds + LOAD_SECONDS for seconds in times]
        return {
            "hosts": setup.hosts,
            "seconds": round(loaded[-1], 2),
            "floor_ratio": round(loaded[-1] / setup.floor_seconds, 3),
            "median_ratio": round(loaded[len(loaded) // 2] / setup.floor_seconds, 3),
            "origin_copies": round(fleet.origin.sent_bytes / setup.weights_bytes, 3),
        }


async def _record_completion(
    process: subprocess.Popen[bytes], started: float, times: list[float]
) -> None:
    """Append the seconds from `started` until a host prints that it holds all chunks."""
    assert process.stdout is not None
    await trio.lowlevel.wait_readable(process.stdout)
    times.append(time.monotonic() - started)
