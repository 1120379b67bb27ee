"""Measures how long replicas with intact loads take no requests after processes start again.

Usage:
  restarts [--case=NAME]...

Each case runs on a site of its own, with one entry and two replicas that have loaded version 2.
Prints one JSON line for each: the seconds from the start of the processes to the first request
that each replica runs on version 2 or newer (null if there is none within 20 s), the version that
it ran on, the number of loads since, and the chunks that the origin has sent since.
"""

import json
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from signal import Signals
from typing import Final

import trio
from docopt import docopt

from testing.machinelayout import MODEL_SERVICE
from testing.machines import Machines, replicas_of, small_site
from testing.platformstore import StoreCondition
from tests.test_beside_replica import corrupt_chunk
from tests.test_confirmed_loads import steady_requests
from tests.test_machine_weights import wait_loaded, wait_offered

AWAY_SECONDS: Final = 1.0
# How long the store or the origin stays away after the processes have started.
OUTAGE_SECONDS: Final = 5.0
WATCHED_SECONDS: Final = 20.0
JUDGED_SECONDS: Final = 3.0

Disturb = Callable[[Machines], Awaitable[None]]


async def do_nothing(site: Machines) -> None:
    """Leave the site as it is."""


async def stage_next(site: Machines) -> None:
    """Name the next version and wait until the replicas have some of its chunks."""
    replicas = replicas_of(site, MODEL_SERVICE)
    site.name_version(3)
    while not all(replica.staged[0] == site.origin.versions[3][0] for replica in replicas):
        await trio.sleep(0.005)


async def spoil_chunks(site: Machines) -> None:
    """Let a chunk of each loaded version turn bad."""
    for replica in replicas_of(site, MODEL_SERVICE):
        corrupt_chunk(replica, 0)


async def end_origin(site: Machines) -> None:
    """Take the origin away for some seconds."""
    site.origin.down = True

    async def bring_back() -> None:
        await trio.sleep(OUTAGE_SECONDS + AWAY_SECONDS)
        site.origin.down = False

    site.nursery.start_soon(bring_back)


async def end_store(site: Machines) -> None:
    """Take the store away for some seconds."""
    site.store.set_condition(StoreCondition.SILENT)

    async def bring_back() -> None:
        await trio.sleep(OUTAGE_SECONDS + AWAY_SECONDS)
        site.store.set_condition(StoreCondition.WELL)

    site.nursery.start_soon(bring_back)


CASES: Final[dict[str, tuple[tuple[str, ...], Disturb]]] = {
    "entry": (("entry0",), do_nothing),
    "daemon": (("daemon0",), do_nothing),
    "daemons": (("daemon0", "daemon1"), do_nothing),
    "all": (("entry0", "daemon0", "daemon1"), do_nothing),
    "all, next version partly staged": (("entry0", "daemon0", "daemon1"), stage_next),
    "all, a chunk bad since the load": (("entry0", "daemon0", "daemon1"), spoil_chunks),
    "all, origin away for 5 s": (("entry0", "daemon0", "daemon1"), end_origin),
    "all, store away for 5 s": (("entry0", "daemon0", "daemon1"), end_store),
}


async def measure(name: str) -> dict[str, object]:
    """Run one case; return what is printed of it."""
    processes, disturb = CASES[name]
    with tempfile.TemporaryDirectory() as directory:
        async with small_site(Path(directory), models=2, plain=0, daemons=True) as site:
            await wait_offered(site)
            replicas = replicas_of(site, MODEL_SERVICE)
            async with steady_requests(site):
                site.name_version(2)
                await wait_loaded(replicas, 2)
                await trio.sleep(JUDGED_SECONDS)
                await disturb(site)
                for process in processes:
                    site.signal(process, Signals.SIGKILL)
                for process in processes:
                    await site.wait_exit(process)
                loads = [len(replica.loads) for replica in replicas]
                sent = site.origin.sent_chunks
                await trio.sleep(AWAY_SECONDS)
                started_at = trio.current_time()
                for replica in replicas:
                    replica.runs.clear()
                for process in processes:
                    site.start(process)
                with trio.move_on_after(WATCHED_SECONDS):
                    while not all(replica.runs for replica in replicas):
                        await trio.sleep(0.005)
            first = [replica.runs[0] if replica.runs else None for replica in replicas]
            return {
                "case": name,
                "seconds": [round(run.began_at - started_at, 2) if run else None for run in first],
                "versions": [run.version if run else None for run in first],
                "loads": sum(len(r.loads) for r in replicas) - sum(loads),
                "origin_chunks": site.origin.sent_chunks - sent,
            }


def main(arguments: list[str]) -> int:
    """Run the cases; return the exit code."""
    options = docopt(__doc__ or "", arguments)
    for name in options["--case"] or CASES:
        if name not in CASES:
            print(f"no case {name!r}; one of: {', '.join(CASES)}", file=sys.stderr)
            return 2
        print(json.dumps(trio.run(measure, name)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
