"""Measures the propagation of configuration changes in large fleets, and the load on the service.

    python -m bench.following [DAEMONS ...]

Runs upstream daemons and two entries in three regions and seven zones. Times are read from the
daemons' logs. One change is published while all daemons run, and one right after every reader of a
zone was killed.
"""

import json
import sys
import tempfile
import time
from datetime import datetime
from functools import partial
from pathlib import Path
from typing import Any

import trio
from headcross_base.errors import Ok
from headcross_fleet.topology import readers_of
from headcross_native.hostlist import parse_host_list

from bench.probe import measure_rates
from testing.fleet import Fleet, Spec, running_fleet, wait_for

ZONES = [f"z{index}" for index in range(7)]
IDLE_SECONDS = 10.0
FLEET_FILE = "[services.s]\ndrain_seconds = {number}\n"
START_BATCH_SIZE = 16


async def run(daemons: int, directory: Path) -> dict[str, Any]:
    """Measure one fleet size and return its results."""
    specs = [Spec(f"entry{i}", "entry", ZONES[i], f"r{i % 3}") for i in range(2)]
    specs += [
        Spec(f"host{i}", "upstream", ZONES[i % 7], f"r{i % 7 % 3}", "s")
        for i in range(daemons - 2)
    ]
    async with running_fleet(directory, specs) as fleet:
        fleet.publish_fleet(FLEET_FILE.format(number=1))
        for index, name in enumerate(fleet.nodes):
            fleet.start(name)
            if index % START_BATCH_SIZE == START_BATCH_SIZE - 1:
                await wait_for(partial(fleet.state, name), f"{name} up")
        await fleet.wait_settled()
        await trio.sleep(5)
        reads = fleet.config.reads
        rates = await measure_rates(fleet, ["host0", "host1", "host2"], IDLE_SECONDS)
        entry = await measure_rates(fleet, ["entry0"], IDLE_SECONDS)
        reads_per_second = (fleet.config.reads - reads) / (2 * IDLE_SECONDS)
        alive = list(fleet.nodes)
        all_alive = await _time_change(fleet, alive, 2)
        killed = _kill_readers(fleet, "z3")
        alive = [name for name in alive if name not in killed]
        readers_dead = await _time_change(fleet, alive, 3)
        return {
            "daemons": daemons,
            "reads_per_second": round(reads_per_second, 1),
            "seconds_all_alive": all_alive,
            "seconds_readers_dead": readers_dead,
            "readers_killed": len(killed),
            "upstream": _rounded(rates),
            "entry": _rounded(entry),
        }


def _rounded(rates: dict[str, float]) -> dict[str, float]:
    return {
        "rss_mib": round(rates["rss_bytes"] / 2**20, 1),
        "private_mib": round(rates["private_bytes"] / 2**20, 1),
        "control_bytes_per_second": round(rates["control_bytes_per_second"]),
        "core_percent": round(100 * rates["core_share"], 2),
    }


def _kill_readers(fleet: Fleet, zone: str) -> list[str]:
    """Kill the daemons that read a document for their zone; return their names."""
    hosts = parse_host_list(fleet.config.documents["hosts"][1])
    assert isinstance(hosts, Ok)
    names = set(readers_of(hosts.value, zone, "fleet")) | set(
        readers_of(hosts.value, zone, "hosts")
    )
    for name in names:
        fleet.kill(name)
    return sorted(names)


async def _time_change(fleet: Fleet, alive: list[str], number: int) -> dict[str, float]:
    """Publish a change; return the median and maximum seconds until it is in force."""
    published_at = time.time()
    revision = fleet.publish_fleet(FLEET_FILE.format(number=number))
    times: dict[str, float] = {}

    async def in_force_everywhere() -> bool:
        for name in alive:
            at = _in_force_at(fleet.directory / f"{name}.log", revision)
            if name not in times and at is not None:
                times[name] = at - published_at
        return len(times) == len(alive)

    await wait_for(in_force_everywhere, "in force everywhere", 60, poll=0.5)
    ordered = sorted(times.values())
    return {"median": round(ordered[len(ordered) // 2], 3), "slowest": round(ordered[-1], 3)}


def _in_force_at(log: Path, revision: int) -> float | None:
    """Return the Unix time at which a fleet file came into force by a log; None if it did not."""
    for line in log.read_text().splitlines():
        if '"document in force"' not in line:
            continue
        entry = json.loads(line)
        if entry["document"] == "fleet" and entry["revision"] == revision:
            return datetime.fromisoformat(entry["at"]).timestamp()
    return None


def main() -> None:
    """Measure the fleet sizes in the arguments and print one JSON line for each."""
    for daemons in [int(n) for n in sys.argv[1:]] or [50, 200]:
        with tempfile.TemporaryDirectory(prefix="headcross-bench-") as directory:
            print(json.dumps(trio.run(run, daemons, Path(directory))), flush=True)


if __name__ == "__main__":
    main()
