"""Demo of the platform gateway: six replicas in three zones load new weights under load.

It runs real processes with the link rates of the hosts, and a fake platform. It prints one JSON
line to standard output and exits with 0 only if every replica serves the new version and no
request was lost or run twice.
"""

import json
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Final

import trio

from testing.machinecaller import Reply, ask
from testing.machinelayout import MODEL_SERVICE
from testing.machines import Machines, replicas_of, small_site

ZONES: Final = ("honam", "yeongnam", "jeju")
REPLICAS: Final = 6
CHUNKS: Final = 64
CHUNK_BYTES: Final = 32 * 1024
LINK_MBITS: Final = 3.8
ORIGIN_MBITS: Final = 9.9
REQUEST_EVERY_SECONDS: Final = 0.05
ROLLOUT_TIMEOUT_SECONDS: Final = 60.0


class LoadGenerator:
    """Sends requests at a constant rate; a request refused with 503 is repeated once."""

    def __init__(self, site: Machines) -> None:
        self.replies: list[Reply] = []
        self.lost: list[str] = []
        self.stopped = False
        self._site = site

    async def run(self) -> None:
        """Send requests until `stopped` is set."""
        entries = [
            name for name, machine in self._site.machines.items() if machine.role == "entry"
        ]
        async with trio.open_nursery() as nursery:
            while not self.stopped:
                nursery.start_soon(self._ask, random.choice(entries))
                await trio.sleep(REQUEST_EVERY_SECONDS)

    async def _ask(self, entry: str) -> None:
        reply = await ask(self._site.callers(entry), "/stream/x")
        if reply.status == 503:
            await trio.sleep(float(reply.headers.get("retry-after", "1")))
            reply = await ask(self._site.callers(entry), "/stream/x")
        self.replies.append(reply)
        if reply.status != 200 or not reply.whole or reply.events != [0, 1, 2, 3]:
            self.lost.append(f"{reply.id} {reply.status} {reply.body[:80]!r}")


async def run_demo(directory: Path) -> bool:
    """Run the demo; return whether no request was lost or run twice."""
    async with small_site(
        directory,
        models=REPLICAS,
        plain=0,
        entries=len(ZONES),
        zones=ZONES,
        daemons=True,
        link_mbits=LINK_MBITS,
    ) as site:
        site.origin.chunk_bytes = CHUNK_BYTES
        site.origin.seconds_per_chunk = CHUNK_BYTES * 8 / (ORIGIN_MBITS * 1e6)
        engine = site.configuration["services"][0]["engine"]
        engine |= {"chunks": CHUNKS, "chunk_bytes": CHUNK_BYTES}
        site.change()
        site.origin.versions[2] = [random.randbytes(CHUNK_BYTES) for _ in range(CHUNKS)]
        replicas = replicas_of(site, MODEL_SERVICE)
        for replica in replicas:
            replica.event_seconds = 0.02
            replica.load_seconds = 0.3
        load_generator = LoadGenerator(site)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load_generator.run)
            await trio.sleep(1.0)
            named_at = trio.current_time()
            site.name_version(2)
            update_seconds: list[float] = []
            with trio.fail_after(ROLLOUT_TIMEOUT_SECONDS):
                while len(update_seconds) < REPLICAS:
                    updated = sum(replica.version == 2 for replica in replicas)
                    update_seconds += [trio.current_time() - named_at] * (
                        updated - len(update_seconds)
                    )
                    await trio.sleep(0.01)
            await trio.sleep(1.0)
            load_generator.stopped = True
        return report(site, load_generator, update_seconds)


def report(site: Machines, load_generator: LoadGenerator, update_seconds: list[float]) -> bool:
    """Print the figures; return whether no request was lost or run twice.

    `update_seconds` are the times from the naming of the version until each replica served it.
    """
    runs: Counter[tuple[str, str | None]] = Counter()
    for replica in replicas_of(site, MODEL_SERVICE):
        runs.update((run.id, run.headers.get("last-event-id")) for run in replica.runs)
    doubled = sum(count > 1 for count in runs.values())
    for lost in load_generator.lost:
        print(f"lost: {lost}", file=sys.stderr)
    line = {
        "replicas": len(update_seconds),
        "first_seconds": round(update_seconds[0], 1),
        "half_seconds": round(update_seconds[len(update_seconds) // 2 - 1], 1),
        "last_seconds": round(update_seconds[-1], 1),
        "floor_seconds": round(CHUNKS * CHUNK_BYTES * 8 / (LINK_MBITS * 1e6), 1),
        "origin_copies": round(site.origin.sent_chunks / CHUNKS, 2),
        "requests": len(load_generator.replies),
        "lost": len(load_generator.lost),
        "doubled": doubled,
    }
    print(json.dumps(line))
    return not load_generator.lost and not doubled


def main() -> int:
    """Run the demo; return the exit code."""
    with tempfile.TemporaryDirectory() as directory:
        return 0 if trio.run(run_demo, Path(directory)) else 1


if __name__ == "__main__":
    sys.exit(main())
