"""make faults: injects seeded faults during rolling updates with requests in flight.

    python -m bench.faults SEED ROUNDS

Each round updates a proxied fleet to another version while one or two faults, selected by the
seed, begin at random times and end again. Afterwards the guarantees are checked against what the
fake engines recorded. Prints one JSON line; the exit code is 1 if any guarantee was violated.
"""

import json
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from testing.caller import check_tokens, generate
from testing.engine import FakeEngine
from testing.fleet import HTTP, wait_for
from testing.small import POOL_PATH, SmallFleet, small_fleet

HOSTS, ZONES, ENTRIES = 4, 2, 2
TOKENS = 20
REQUEST_INTERVAL_SECONDS = 0.04
FAULT_DURATION_RANGE_SECONDS = (0.5, 3.0)
CONVERGENCE_TIMEOUT_SECONDS = 60.0


class Campaign:
    """Runs rounds of updates with faults on one fleet and counts violations."""

    # Violated guarantees, by name.
    violations: Counter[str]
    # Faults injected, by kind.
    faults: Counter[str]
    # Requests, by the outcome that their callers saw.
    outcomes: Counter[str]

    def __init__(self, small: SmallFleet, rng: random.Random) -> None:
        self.small = small
        self.fleet = small.fleet
        self.rng = rng
        self.violations = Counter()
        self.faults = Counter()
        self.outcomes = Counter()
        self.not_run: list[str] = []
        self.kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "daemon-killed": self.kill_daemon,
            "entry-killed": self.kill_entry,
            "daemon-paused": self.pause_daemon,
            "zone-cut": self.cut_zone,
            "link-stalled": self.stall_link,
            "peer-corrupts": self.corrupt_peer,
            "service-down": self.service_down,
            "service-stale": self.service_stale,
            "origin-corrupts": self.origin_corrupts,
            "engine-breaks-streams": self.break_streams,
        }

    async def run_rounds(self, rounds: int) -> None:
        """Run all rounds with requests in flight throughout, then check the engines' records."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_requests)
            nursery.start_soon(self.watch_availability)
            for number in range(rounds):
                await self.run_round(["v2", "v3", "v1"][number % 3])
            nursery.cancel_scope.cancel()
        self.check_engine_records()

    async def run_round(self, version: str) -> None:
        """Update to a version during one or two faults and wait until the fleet converges."""
        kinds = self.rng.sample(sorted(self.kinds), self.rng.choice([1, 2]))
        print(f"to {version} through {', '.join(kinds)}", file=sys.stderr)
        async with trio.open_nursery() as nursery:
            for kind in kinds:
                self.faults[kind] += 1
                nursery.start_soon(self.kinds[kind])
            await trio.sleep(self.rng.uniform(0, 1))
            digest = await self.small.move_to(version)
        try:
            await wait_for(lambda: self.converged(digest), version, CONVERGENCE_TIMEOUT_SECONDS)
        except AssertionError:
            self.violations["not-converged"] += 1

    async def converged(self, digest: str) -> bool:
        """Return whether every engine has loaded exactly the weights of a digest."""
        engines = self.fleet.engines().values()
        return all([w.digest for w in engine.loaded] == [digest] for engine in engines)

    # Faults. Each one ends by itself.

    async def wait_fault_duration(self) -> None:
        """Sleep for the random duration of a fault."""
        await trio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_SECONDS))

    async def restart(self, name: str) -> None:
        """Kill a daemon and restart it after the duration of a fault."""
        self.fleet.kill(name)
        await self.fleet.wait_exit(name)
        await self.wait_fault_duration()
        self.fleet.start(name)

    async def kill_daemon(self) -> None:
        """Kill and restart an upstream daemon."""
        await self.restart(f"host{self.rng.randrange(HOSTS)}")

    async def kill_entry(self) -> None:
        """Kill and restart an entry."""
        await self.restart(f"entry{self.rng.randrange(ENTRIES)}")

    async def pause_daemon(self) -> None:
        """Suspend an upstream daemon with SIGSTOP and resume it."""
        name = f"host{self.rng.randrange(HOSTS)}"
        process = self.fleet.nodes[name].process
        self.fleet.kill(name, signal.SIGSTOP)
        await self.wait_fault_duration()
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def cut_zone(self) -> None:
        """Cut the connections between the two zones."""
        cut = {n.ip for n in self.fleet.nodes.values() if n.spec.zone == "z1"}
        self.fleet.fault_of = lambda source, target: (
            "cut" if (source in cut) != (target in cut) else "pass"
        )
        await self.wait_fault_duration()
        self.fleet.fault_of = lambda source, target: "pass"

    async def stall_link(self) -> None:
        """Stall all traffic to one host without closing connections."""
        ip = self.fleet.nodes[f"host{self.rng.randrange(HOSTS)}"].ip
        self.fleet.fault_of = lambda source, target: "stall" if target == ip else "pass"
        await self.wait_fault_duration()
        self.fleet.fault_of = lambda source, target: "pass"

    async def corrupt_peer(self) -> None:
        """Corrupt large pieces on the swarm channel of one host."""
        ip = self.fleet.nodes[f"host{self.rng.randrange(HOSTS)}"].ip
        hosts = {node.ip for node in self.fleet.nodes.values() if node.spec.role == "upstream"}
        self.fleet.fault_of = lambda source, target: (
            "corrupt" if target == ip and source in hosts else "pass"
        )
        await self.wait_fault_duration()
        self.fleet.fault_of = lambda source, target: "pass"

    async def service_down(self) -> None:
        """Make the configuration service unavailable."""
        self.fleet.config.down = True
        await self.wait_fault_duration()
        self.fleet.config.down = False

    async def service_stale(self) -> None:
        """Make the configuration service return its present documents while newer ones exist."""
        self.fleet.config.stale = dict(self.fleet.config.documents)
        await self.wait_fault_duration()
        self.fleet.config.stale = None

    async def origin_corrupts(self) -> None:
        """Corrupt the next three ranges that the origin serves."""
        self.fleet.origin.corrupt_next = 3

    async def break_streams(self) -> None:
        """Break off one stream of each engine after a random number of tokens."""
        for engine in self.fleet.engines().values():
            engine.break_after = self.rng.randrange(1, TOKENS)

    # Requests and checks.

    async def send_requests(self) -> None:
        """Send requests until cancelled; about half of them are not repeatable."""
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self.send_request, self.rng.random() < 0.5)
                await trio.sleep(REQUEST_INTERVAL_SECONDS)

    async def send_request(self, repeatable: bool) -> None:
        """Send one request and check the reply."""
        entry = self.fleet.nodes[f"entry{self.rng.randrange(ENTRIES)}"].address(HTTP)
        headers = [("headcross-repeatable", "yes" if repeatable else "no")]
        kind = "r" if repeatable else "n"
        prompt = f"{kind}{self.rng.getrandbits(64):x}"
        reply, _ = await generate(entry, POOL_PATH, prompt, TOKENS, headers=headers, seconds=30)
        digest = check_tokens(reply, prompt, TOKENS, list(self.small.text.digests.values()))
        if digest == "mixed":
            self.violations["mixed-answer"] += 1
        is_complete = bool(digest)
        if reply.status == 200 and reply.whole and not is_complete:
            self.violations["cut-answer-called-whole"] += 1
        if reply.verdict == "not-run":
            self.not_run.append(prompt)
        self.outcomes["whole" if is_complete else reply.code or "broken"] += 1

    async def watch_availability(self) -> None:
        """Check until cancelled that at most one engine at a time is without weights."""
        while True:
            empty = sum(not engine.loaded for engine in self.fleet.engines().values())
            if empty > 1:
                self.violations["availability"] += 1
                await trio.sleep(1)
            await trio.sleep(0.01)

    def check_engine_records(self) -> None:
        """Compare the replies with the runs and orders that the engines recorded."""
        runs = Counter(r.prompt for e in self.fleet.engines().values() for r in e.runs)
        self.violations["ran-twice"] += sum(
            count > 1 for prompt, count in runs.items() if prompt.startswith("n")
        )
        self.violations["not-run-but-ran"] += sum(prompt in runs for prompt in self.not_run)
        for engine in self.fleet.engines().values():
            self.violations["went-back"] += _count_older_revisions(engine)


def _count_older_revisions(engine: FakeEngine) -> int:
    """Count orders based on an older revision of the fleet file than the previous order."""
    revisions = [order.fence.revision for order in engine.orders]
    return sum(b < a for a, b in zip(revisions, revisions[1:], strict=False))


async def campaign(seed: int, rounds: int, directory: Path) -> dict[str, object]:
    """Run a fault campaign and return its report."""
    async with small_fleet(
        directory, hosts=HOSTS, zones=ZONES, entries=ENTRIES, proxied=True
    ) as small:
        fault_campaign = Campaign(small, random.Random(seed))
        await fault_campaign.run_rounds(rounds)
        return {
            "seed": seed,
            "rounds": rounds,
            "faults": dict(fault_campaign.faults),
            "requests": sum(fault_campaign.outcomes.values()),
            "told": dict(fault_campaign.outcomes),
            "violations": {
                name: count for name, count in fault_campaign.violations.items() if count
            },
        }


def main() -> int:
    """Run the campaign for the seed and rounds in the arguments; return the exit code."""
    seed, rounds = int(sys.argv[1]), int(sys.argv[2])
    with tempfile.TemporaryDirectory(prefix="headcross-faults-") as directory:
        report = trio.run(campaign, seed, rounds, Path(directory))
    print(json.dumps(report))
    return 1 if report["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
