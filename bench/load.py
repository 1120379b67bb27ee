"""make load: compares routing policies under load: headcross, random and round robin.

The load is open loop and seeded: arrivals follow a Poisson process, and latency is measured from
the time at which a request was due, so a slow system does not reduce its own load (no coordinated
omission). Engines have a few slots and a cache of prompt prefixes; a prompt with a cached prefix
needs no prefill.
"""

import json
import os
import random
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio
from hdrh.histogram import HdrHistogram
from headcross_base.addresses import Address
from headcross_wire.httpclient import closing, connect
from headcross_wire.httpcodec import ConnectError, LinkLostError

from testing.fleet import HTTP, Fleet, Spec, running_fleet

SEED = 7
HOSTS = 4
SLOTS = 3
TOKENS = 8
TOKEN_SECONDS = 0.008
PREFILL_SECONDS = 0.08
PREFIXES, CACHED_PREFIXES = 32, 12
RUN_SECONDS = 12.0
# Requests per second of all slots if every prefix were cached: an upper bound that no policy
# reaches.
MAX_RATE_PER_SECOND = HOSTS * SLOTS / (TOKENS * TOKEN_SECONDS)
POLICIES = ("headcross", "random", "round-robin")
LOADS = (0.5, 0.9, 1.2)
MICROSECONDS = 1_000_000
TEAMS = 10
FLEET_FILE = """
[models.m.versions.v1]
digest = "{digest}"
weights = "m-v1"
[pools.p]
model = "m"
version = "v1"
replicas = {hosts}
zones = ["z0"]
[[routes]]
path = "/"
pool = "p"
repeatable = true
deadline_seconds = 10
"""
TEAM = "[teams.t{number}]\nrequests_per_second = {rate}\nburst = 20\nmax_in_flight = 1000\n"


@dataclass(frozen=True)
class Scenario:
    """The load of a run and what disturbs it."""

    name: str
    load: float  # share of MAX_RATE_PER_SECOND
    slow: int = 0  # number of hosts four times as slow
    dead: int = 0  # number of hosts whose daemon is killed at the start
    flood: bool = False  # team t0 sends ten times its fair share in addition


class Load:
    """Sends the load of one run to a fleet and records outcomes and latencies."""

    def __init__(self, fleet: Fleet, scenario: Scenario) -> None:
        self.fleet = fleet
        self.scenario = scenario
        self.rng = random.Random(SEED)
        self.first_token = HdrHistogram(1, 60 * MICROSECONDS, 3)
        self.between_tokens = HdrHistogram(1, 60 * MICROSECONDS, 3)
        self.outcomes: Counter[str] = Counter()

    async def run(self) -> None:
        """Send requests at their due times for RUN_SECONDS."""
        rate = self.scenario.load * MAX_RATE_PER_SECOND
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_all, nursery, rate, None)
            if self.scenario.flood:
                nursery.start_soon(self.send_all, nursery, MAX_RATE_PER_SECOND, "t0")

    async def send_all(self, nursery: trio.Nursery, rate: float, team: str | None) -> None:
        """Send a Poisson stream of requests, from one team or from all teams at random."""
        started = due = trio.current_time()
        while due < started + RUN_SECONDS:
            due += self.rng.expovariate(rate)
            await trio.sleep_until(due)
            sender = team or f"t{self.rng.randrange(TEAMS)}"
            nursery.start_soon(self.send_request, due, sender, team is None)

    async def send_request(self, due: float, team: str, counted: bool) -> None:
        """Send one request and record its outcome and latencies unless it is part of a flood."""
        address = self.fleet.nodes["entry0"].address(HTTP)
        prefix = f"{int(self.rng.paretovariate(1.1)) % PREFIXES:03d}".ljust(500, "x")
        prompt = f"{prefix}:{self.rng.getrandbits(64):x}"
        times: list[float] = []
        outcome = await stream(address, team, prompt, times)
        if not counted or team == "t0" and self.scenario.flood:
            return
        self.outcomes[outcome] += 1
        if outcome == "200" and times:
            self.first_token.record_value(int((times[0] - due) * MICROSECONDS))
            for earlier, later in zip(times, times[1:], strict=False):
                self.between_tokens.record_value(max(1, int((later - earlier) * MICROSECONDS)))

    def results(self) -> dict[str, Any]:
        """Return the results of the run."""
        engines = self.fleet.engines().values()
        runs = sum(len(engine.runs) for engine in engines)
        hits = sum(engine.prefix_hits for engine in engines)
        return {
            "requests": sum(self.outcomes.values()),
            "told": dict(self.outcomes),
            "goodput_per_second": round(self.outcomes["200"] / RUN_SECONDS, 1),
            "hit_rate": round(hits / runs, 3) if runs else 0.0,
            "first_token_ms": _percentiles(self.first_token),
            "between_tokens_ms": _percentiles(self.between_tokens),
        }


def _percentiles(histogram: HdrHistogram) -> list[float]:
    """Return the 50th, 95th and 99th percentiles in milliseconds."""
    return [round(histogram.get_value_at_percentile(p) / 1000, 1) for p in (50, 95, 99)]


async def stream(address: Address, team: str, prompt: str, times: list[float]) -> str:
    """Send a request and append the arrival time of each piece of the answer to `times`.

    Return the status as text, "broken" if the connection failed.
    """
    body = json.dumps({"prompt": prompt, "max_tokens": TOKENS}).encode()
    try:
        async with closing(await connect(address)) as connection:
            await connection.send("POST", "/", [("headcross-team", team)], body)
            answer = await connection.receive_answer()
            while await connection.receive_piece() is not None:
                times.append(trio.current_time())
            return str(answer.status)
    except (ConnectError, LinkLostError):
        return "broken"


async def run_scenario(scenario: Scenario, policy: str, directory: Path) -> dict[str, Any]:
    """Run one scenario under one policy and return its results."""
    os.environ["HEADCROSS_BENCH_PICK"] = policy
    upstream = f"max_concurrent = {SLOTS}\nmax_queued = {4 * SLOTS}\n"
    specs = [Spec("entry0", "entry", "z0", "r0", module="bench.entryvariant")]
    specs += [Spec(f"host{i}", "upstream", "z0", "r0", upstream=upstream) for i in range(HOSTS)]
    async with running_fleet(directory, specs) as fleet:
        digest = fleet.origin.add("m-v1", b"x" * 1024, 1024)
        team_rate = MAX_RATE_PER_SECOND / TEAMS * 1.5
        teams = "".join(TEAM.format(number=n, rate=team_rate) for n in range(TEAMS))
        fleet.publish_fleet(FLEET_FILE.format(digest=digest, hosts=HOSTS) + teams)
        for index, engine in enumerate(fleet.engines().values()):
            slowdown = 4 if index < scenario.slow else 1
            engine.slots = trio.CapacityLimiter(SLOTS)
            engine.token_seconds = TOKEN_SECONDS * slowdown
            engine.prefill_seconds = PREFILL_SECONDS * slowdown
            engine.cached_prefixes = CACHED_PREFIXES
        for name in fleet.nodes:
            fleet.start(name)
        await fleet.wait_settled()
        await fleet.wait_serving(digest, HOSTS)
        for index in range(scenario.dead):
            fleet.kill(f"host{HOSTS - 1 - index}")
        load = Load(fleet, scenario)
        await load.run()
        state = await fleet.state("entry0")
        attempts = state["attempts"] / max(1, sum(load.outcomes.values()))
        return {
            "policy": policy,
            "scenario": scenario.name,
            "load": scenario.load,
            **load.results(),
            "attempts_per_request": round(attempts, 3),
        }


def main() -> None:
    """Run the scenarios under each policy that applies, and print one JSON line for each run.

    The environment variable SCENARIOS selects scenarios by name, separated by commas.
    """
    scenarios = [Scenario(f"load {load}", load) for load in LOADS]
    scenarios += [
        Scenario("one slow", 0.4, slow=1),
        Scenario("one dead", 0.4, dead=1),
        Scenario("calm", 0.4),
        Scenario("team floods", 0.4, flood=True),
    ]
    selected = os.environ.get("SCENARIOS", "")
    for scenario in scenarios:
        if selected and scenario.name not in selected.split(","):
            continue
        for policy in POLICIES:
            if policy != "headcross" and scenario.name in ("calm", "team floods"):
                continue
            with tempfile.TemporaryDirectory(prefix="headcross-load-") as directory:
                row = trio.run(run_scenario, scenario, policy, Path(directory))
            print(json.dumps(row), flush=True)
            print(f"{policy} {scenario.name} done", file=sys.stderr)


if __name__ == "__main__":
    main()
