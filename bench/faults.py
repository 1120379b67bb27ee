"""make faults: a seeded campaign of faults over rolling migrations with requests in flight.

    python -m bench.faults SEED ROUNDS

Each round moves a proxied fleet to another version while one or two faults, drawn by the seed,
come at random moments and heal again. Afterwards the promises are checked against the ledgers of
the stand-ins. Prints one JSON line; the exit code is 1 if any promise was broken.
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
ASK_SECONDS = 0.04
FAULT_SECONDS = (0.5, 3.0)
CONVERGE_SECONDS = 60.0


class Campaign:
    """One fleet, many rounds."""

    # Broken promises, by name.
    violations: Counter[str]
    # Faults injected, by kind.
    faults: Counter[str]
    # Requests by what their callers were told.
    told: Counter[str]

    def __init__(self, small: SmallFleet, rng: random.Random) -> None:
        self.small = small
        self.fleet = small.fleet
        self.rng = rng
        self.violations = Counter()
        self.faults = Counter()
        self.told = Counter()
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

    async def play(self, rounds: int) -> None:
        """Play all rounds with requests in flight throughout."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.ask_for_ever)
            nursery.start_soon(self.watch_availability)
            for number in range(rounds):
                await self.play_round(["v2", "v3", "v1"][number % 3])
            nursery.cancel_scope.cancel()
        self.check_ledgers()

    async def play_round(self, version: str) -> None:
        """Move to a version through one or two faults, then converge."""
        kinds = self.rng.sample(sorted(self.kinds), self.rng.choice([1, 2]))
        print(f"to {version} through {', '.join(kinds)}", file=sys.stderr)
        async with trio.open_nursery() as nursery:
            for kind in kinds:
                self.faults[kind] += 1
                nursery.start_soon(self.kinds[kind])
            await trio.sleep(self.rng.uniform(0, 1))
            digest = await self.small.move_to(version)
        try:
            await wait_for(lambda: self.converged(digest), version, CONVERGE_SECONDS)
        except AssertionError:
            self.violations["not-converged"] += 1

    async def converged(self, digest: str) -> bool:
        """Tell whether every engine holds a digest."""
        engines = self.fleet.engines().values()
        return all([w.digest for w in engine.loaded] == [digest] for engine in engines)

    # Faults. Each heals itself.

    async def hold(self) -> None:
        """Wait as long as a fault lasts."""
        await trio.sleep(self.rng.uniform(*FAULT_SECONDS))

    async def restart(self, name: str) -> None:
        """Kill a daemon and start it again a little later."""
        self.fleet.kill(name)
        await self.fleet.wait_exit(name)
        await self.hold()
        self.fleet.start(name)

    async def kill_daemon(self) -> None:
        """Kill an upstream daemon."""
        await self.restart(f"host{self.rng.randrange(HOSTS)}")

    async def kill_entry(self) -> None:
        """Kill an entry."""
        await self.restart(f"entry{self.rng.randrange(ENTRIES)}")

    async def pause_daemon(self) -> None:
        """Stop an upstream daemon and wake it up."""
        name = f"host{self.rng.randrange(HOSTS)}"
        process = self.fleet.nodes[name].process
        self.fleet.kill(name, signal.SIGSTOP)
        await self.hold()
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def cut_zone(self) -> None:
        """Cut a zone off from the other."""
        cut = {n.ip for n in self.fleet.nodes.values() if n.spec.zone == "z1"}
        self.fleet.fault_of = lambda source, target: (
            "cut" if (source in cut) != (target in cut) else "pass"
        )
        await self.hold()
        self.fleet.fault_of = lambda source, target: "pass"

    async def stall_link(self) -> None:
        """Let nothing through to one host, without closing anything."""
        ip = self.fleet.nodes[f"host{self.rng.randrange(HOSTS)}"].ip
        self.fleet.fault_of = lambda source, target: "stall" if target == ip else "pass"
        await self.hold()
        self.fleet.fault_of = lambda source, target: "pass"

    async def corrupt_peer(self) -> None:
        """Damage large pieces on the swarm channel of one host."""
        ip = self.fleet.nodes[f"host{self.rng.randrange(HOSTS)}"].ip
        hosts = {node.ip for node in self.fleet.nodes.values() if node.spec.role == "upstream"}
        self.fleet.fault_of = lambda source, target: (
            "corrupt" if target == ip and source in hosts else "pass"
        )
        await self.hold()
        self.fleet.fault_of = lambda source, target: "pass"

    async def service_down(self) -> None:
        """Take the configuration service away."""
        self.fleet.config.down = True
        await self.hold()
        self.fleet.config.down = False

    async def service_stale(self) -> None:
        """Let the configuration service show what it had."""
        self.fleet.config.stale = dict(self.fleet.config.documents)
        await self.hold()
        self.fleet.config.stale = None

    async def origin_corrupts(self) -> None:
        """Damage some ranges at the origin."""
        self.fleet.origin.corrupt_next = 3

    async def break_streams(self) -> None:
        """Cut a stream of each engine."""
        for engine in self.fleet.engines().values():
            engine.break_after = self.rng.randrange(1, TOKENS)

    # Requests and checks.

    async def ask_for_ever(self) -> None:
        """Send requests; half of them must not be repeated."""
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self.ask, self.rng.random() < 0.5)
                await trio.sleep(ASK_SECONDS)

    async def ask(self, repeatable: bool) -> None:
        """Send one request and check what its caller is told."""
        entry = self.fleet.nodes[f"entry{self.rng.randrange(ENTRIES)}"].address(HTTP)
        headers = [("headcross-repeatable", "yes" if repeatable else "no")]
        kind = "r" if repeatable else "n"
        prompt = f"{kind}{self.rng.getrandbits(64):x}"
        reply, _ = await generate(entry, POOL_PATH, prompt, TOKENS, headers=headers, seconds=30)
        came_from = check_tokens(reply, prompt, TOKENS, list(self.small.text.digests.values()))
        if came_from == "mixed":
            self.violations["mixed-answer"] += 1
        whole = bool(came_from)
        if reply.status == 200 and reply.whole and not whole:
            self.violations["cut-answer-called-whole"] += 1
        if reply.verdict == "not-run":
            self.not_run.append(prompt)
        self.told["whole" if whole else reply.code or "broken"] += 1

    async def watch_availability(self) -> None:
        """Check that no step of the system takes more than one engine away at once."""
        while True:
            empty = sum(not engine.loaded for engine in self.fleet.engines().values())
            if empty > 1:
                self.violations["availability"] += 1
                await trio.sleep(1)
            await trio.sleep(0.01)

    def check_ledgers(self) -> None:
        """Compare what callers were told with what engines ran."""
        runs = Counter(r.prompt for e in self.fleet.engines().values() for r in e.runs)
        self.violations["ran-twice"] += sum(
            count > 1 for prompt, count in runs.items() if prompt.startswith("n")
        )
        self.violations["not-run-but-ran"] += sum(prompt in runs for prompt in self.not_run)
        for engine in self.fleet.engines().values():
            self.violations["went-back"] += _goes_back(engine)


def _goes_back(engine: FakeEngine) -> int:
    """Count orders that follow from an older fleet file than one before them."""
    revisions = [order.fence.revision for order in engine.orders]
    return sum(b < a for a, b in zip(revisions, revisions[1:], strict=False))


async def campaign(seed: int, rounds: int, directory: Path) -> dict[str, object]:
    """Run a campaign and return its report."""
    async with small_fleet(
        directory, hosts=HOSTS, zones=ZONES, entries=ENTRIES, proxied=True
    ) as small:
        game = Campaign(small, random.Random(seed))
        await game.play(rounds)
        return {
            "seed": seed,
            "rounds": rounds,
            "faults": dict(game.faults),
            "requests": sum(game.told.values()),
            "told": dict(game.told),
            "violations": {name: count for name, count in game.violations.items() if count},
        }


def main() -> int:
    """Run the campaign that the arguments name."""
    seed, rounds = int(sys.argv[1]), int(sys.argv[2])
    with tempfile.TemporaryDirectory(prefix="headcross-faults-") as directory:
        report = trio.run(campaign, seed, rounds, Path(directory))
    print(json.dumps(report))
    return 1 if report["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
