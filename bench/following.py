"""Following the configuration at size: how long a change takes, what the service is asked.

    python -m bench.following [DAEMONS ...]

Plain upstream daemons and two entries over three regions and seven zones. Times are read from the
daemons' own logs. One change with all alive, then one with every reader of one zone just killed.
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
QUIET_SECONDS = 10.0
FILE = "[services.s]\ndrain_seconds = {number}\n"
START_AT_ONCE = 16


async def run(daemons: int, directory: Path) -> dict[str, Any]:
    """Measure one size."""
    specs = [Spec(f"entry{i}", "entry", ZONES[i], f"r{i % 3}") for i in range(2)]
    specs += [
        Spec(f"host{i}", "upstream", ZONES[i % 7], f"r{i % 7 % 3}", "s")
        for i in range(daemons - 2)
    ]
    async with running_fleet(directory, specs) as fleet:
        fleet.publish_fleet(FILE.format(number=1))
        for index, name in enumerate(fleet.nodes):
            fleet.start(name)
            if index % START_AT_ONCE == START_AT_ONCE - 1:
                await wait_for(partial(fleet.state, name), f"{name} up")
        await fleet.wait_settled()
        await trio.sleep(5)
        reads = fleet.config.reads
        rates = await measure_rates(fleet, ["host0", "host1", "host2"], QUIET_SECONDS)
        entry = await measure_rates(fleet, ["entry0"], QUIET_SECONDS)
        reads_per_second = (fleet.config.reads - reads) / (2 * QUIET_SECONDS)
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
    hosts = parse_host_list(fleet.config.documents["hosts"][1])
    assert isinstance(hosts, Ok)
    names = set(readers_of(hosts.value, zone, "fleet")) | set(
        readers_of(hosts.value, zone, "hosts")
    )
    for name in names:
        fleet.kill(name)
    return sorted(names)


async def _time_change(fleet: Fleet, alive: list[str], number: int) -> dict[str, float]:
    """Publish a change; return the median and the slowest time to force, in seconds."""
    published = time.time()
    revision = fleet.publish_fleet(FILE.format(number=number))
    times: dict[str, float] = {}

    async def everyone() -> bool:
        for name in alive:
            at = _in_force_at(fleet.directory / f"{name}.log", revision)
            if name not in times and at is not None:
                times[name] = at - published
        return len(times) == len(alive)

    await wait_for(everyone, "in force everywhere", 60, poll=0.5)
    ordered = sorted(times.values())
    return {"median": round(ordered[len(ordered) // 2], 3), "slowest": round(ordered[-1], 3)}


def _in_force_at(log: Path, revision: int) -> float | None:
    for line in log.read_text().splitlines():
        if '"document in force"' not in line:
            continue
        entry = json.loads(line)
        if entry["document"] == "fleet" and entry["revision"] == revision:
            return datetime.fromisoformat(entry["at"]).timestamp()
    return None


def main() -> None:
    """Measure the sizes given."""
    for daemons in [int(n) for n in sys.argv[1:]] or [50, 200]:
        with tempfile.TemporaryDirectory(prefix="headcross-bench-") as directory:
            print(json.dumps(trio.run(run, daemons, Path(directory))), flush=True)


if __name__ == "__main__":
    main()
