"""Demo: six upstreams in three zones move from v1 to v2 under load.

It prints one JSON line to standard output and exits with 0 only if all replicas serve v2 and no
request was lost, run twice or answered from mixed weights.
"""

import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import trio

from testing.caller import check_tokens, generate
from testing.fleet import HTTP, Fleet, Spec, running_fleet

MIB = 1024 * 1024
WEIGHTS_BYTES = 64 * MIB
CHUNK_BYTES = MIB // 4
REPLICAS = 6
# Within the burst window the origin's link carries four copies of the weights, a host's link two.
WINDOW_SECONDS = 16.0
HOST_RATE = 2 * WEIGHTS_BYTES / WINDOW_SECONDS  # bytes per second
ORIGIN_RATE = 4 * WEIGHTS_BYTES / WINDOW_SECONDS
ZONES = [("honam", "honam-a"), ("yeongnam", "yeongnam-a"), ("jeju", "jeju-a")]
TOKENS = 6
REQUEST_EVERY_SECONDS = 0.05

FLEET_FILE = """
[models.dialect.versions.v1]
digest = "{v1}"
weights = "dialect-v1"
[models.dialect.versions.v2]
digest = "{v2}"
weights = "dialect-v2"
[pools.transcribe]
model = "dialect"
version = "{version}"
replicas = 6
zones = ["honam-a", "yeongnam-a", "jeju-a"]
origin_copies = 1
max_unavailable = 2
[teams.archive]
requests_per_second = 500
burst = 200
[[routes]]
path = "/v1/transcribe"
pool = "transcribe"
"""


class LoadGenerator:
    """Sends requests at a constant rate and checks every answer."""

    def __init__(self, fleet: Fleet, digests: list[str]) -> None:
        self.fleet = fleet
        self.digests = digests
        self.requests = 0
        self.served_by: Counter[str] = Counter()
        self.lost: list[str] = []
        self.mixed = 0
        self.prompts: list[str] = []
        self.stopped = False

    async def run(self) -> None:
        """Send requests, none of them repeatable, until `stopped` is set."""
        async with trio.open_nursery() as nursery:
            while not self.stopped:
                nursery.start_soon(self._ask)
                await trio.sleep(REQUEST_EVERY_SECONDS)

    async def _ask(self) -> None:
        self.requests += 1
        entry = random.choice(self.fleet.names("entry"))
        address = self.fleet.nodes[entry].address(HTTP)
        reply, prompt = await generate(address, "/v1/transcribe", tokens=TOKENS)
        self.prompts.append(prompt)
        digest = check_tokens(reply, prompt, TOKENS, self.digests)
        if digest == "mixed":
            self.mixed += 1
        elif not digest:
            self.lost.append(f"{reply.status} {reply.code} {reply.error}")
        else:
            self.served_by[digest[:8]] += 1

    def doubled(self) -> int:
        """Return how many prompts were run more than once."""
        runs = Counter(
            run.prompt for engine in self.fleet.engines().values() for run in engine.runs
        )
        return sum(count > 1 for count in runs.values())


def print_progress(text: str) -> None:
    """Print a progress message to standard error."""
    print(text, file=sys.stderr, flush=True)


async def demo(directory: Path) -> dict[str, object]:
    """Run the demo and return its figures."""
    specs = [Spec(f"entry{i}", "entry", ZONES[i][1], ZONES[i][0]) for i in range(2)]
    specs += [
        Spec(f"host{i}", "upstream", ZONES[i % 3][1], ZONES[i % 3][0]) for i in range(REPLICAS)
    ]
    async with running_fleet(
        directory, specs, uplink=HOST_RATE, downlink=HOST_RATE, origin_rate=ORIGIN_RATE
    ) as fleet:
        v1 = fleet.origin.add("dialect-v1", random.randbytes(WEIGHTS_BYTES), CHUNK_BYTES)
        v2 = fleet.origin.add("dialect-v2", random.randbytes(WEIGHTS_BYTES), CHUNK_BYTES)
        fleet.publish_fleet(FLEET_FILE.format(v1=v1, v2=v2, version="v1"))
        for name in fleet.nodes:
            fleet.start(name)
        print_progress(f"started {len(specs)} daemons; filling the fleet with v1")
        started = time.monotonic()
        await fleet.wait_serving(v1, REPLICAS)
        print_progress(
            f"all serve v1 after {time.monotonic() - started:.1f} s; now v2 under requests"
        )
        load_generator = LoadGenerator(fleet, [v1, v2])
        sent_before = fleet.origin.sent_bytes
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load_generator.run)
            await trio.sleep(1)
            fleet.publish_fleet(FLEET_FILE.format(v1=v1, v2=v2, version="v2"))
            published_at = time.monotonic()
            await fleet.wait_serving(v2, REPLICAS)
            rollout_seconds = time.monotonic() - published_at
            await trio.sleep(1)
            load_generator.stopped = True
        serving = sum(
            [w.digest for w in engine.loaded] == [v2] for engine in fleet.engines().values()
        )
        for line in load_generator.lost[:5]:
            print_progress(f"lost: {line}")
        return {
            "replicas": REPLICAS,
            "serving": serving,
            "time_to_n_seconds": round(rollout_seconds, 2),
            "floor_seconds": WEIGHTS_BYTES / HOST_RATE,
            "origin_copies": round((fleet.origin.sent_bytes - sent_before) / WEIGHTS_BYTES, 3),
            "requests": load_generator.requests,
            "lost": len(load_generator.lost),
            "doubled": load_generator.doubled(),
            "mixed": load_generator.mixed,
            "served_by": dict(load_generator.served_by),
        }


def main() -> int:
    """Run the demo; return the exit code."""
    with tempfile.TemporaryDirectory(prefix="headcross-demo-") as directory:
        result = trio.run(demo, Path(directory))
    print(json.dumps(result))
    whole = result["serving"] == result["replicas"]
    return 0 if whole and not any(result[k] for k in ("lost", "doubled", "mixed")) else 1


if __name__ == "__main__":
    sys.exit(main())
