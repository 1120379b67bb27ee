"""A small fleet for tests: a few hosts, 256 KiB of weights, one pool and one plain service."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from headcross_base.addresses import Address

from testing.fleet import HTTP, Fleet, Spec, running_fleet

KIB = 1024
WEIGHTS_BYTES = 256 * KIB
CHUNK_BYTES = 16 * KIB
POOL_PATH, SERVICE_PATH = "/v1/model", "/v1/plain"


@dataclass
class FleetText:
    """The fleet file of a small fleet; tests change its attributes and publish it again."""

    digests: dict[str, str] = field(default_factory=dict)
    version: str = "v1"
    replicas: int = 3
    zones: list[str] = field(default_factory=list)
    pool: str = "max_unavailable = 1\nstand_in_seconds = 600"
    route: str = ""
    teams: str = "[teams.archive]\nrequests_per_second = 1000\nburst = 1000"

    def __str__(self) -> str:
        versions = "".join(
            f'[models.m.versions.{v}]\ndigest = "{d}"\nweights = "m-{v}"\n'
            for v, d in self.digests.items()
        )
        zones = ", ".join(f'"{zone}"' for zone in self.zones)
        return f"""{versions}
[pools.p]
model = "m"
version = "{self.version}"
replicas = {self.replicas}
zones = [{zones}]
{self.pool}
[services.s]
{self.teams}
[[routes]]
path = "{POOL_PATH}"
pool = "p"
{self.route}
[[routes]]
path = "{SERVICE_PATH}"
service = "s"
"""


@dataclass
class SmallFleet:
    """A running small fleet with its fleet file."""

    fleet: Fleet
    text: FleetText

    def entry(self, index: int = 0) -> Address:
        """Return the address of an entry's HTTP listener."""
        return self.fleet.nodes[f"entry{index}"].address(HTTP)

    async def move_to(self, version: str) -> str:
        """Publish a fleet file with another version; return the version's digest."""
        self.text.version = version
        self.fleet.publish_fleet(str(self.text))
        return self.text.digests[version]


@asynccontextmanager
async def small_fleet(
    directory: Path,
    *,
    hosts: int = 3,
    zones: int = 3,
    entries: int = 1,
    plain: int = 0,
    proxied: bool = False,
    settings: str = "",
    weights_bytes: int = WEIGHTS_BYTES,
    link: float = 0.0,
    memory: int = 1 << 30,
    checks_fences: bool = True,
    serving: bool = True,
) -> AsyncIterator[SmallFleet]:
    """Run a small fleet; with `serving`, wait until all its model hosts serve v1.

    `link` is the rate of a host's link in bytes per second, 0 for no bound; the origin's is twice
    that. `memory` is in bytes.
    """
    seed = random.randrange(1 << 30)
    print(f"seed {seed}")
    random.seed(seed)
    names = [f"z{index}" for index in range(zones)]
    specs = [Spec(f"entry{i}", "entry", names[i % zones], "r0") for i in range(entries)]
    specs += [
        Spec(
            f"host{i}", "upstream", names[i % zones], f"r{i % zones}", "", checks_fences, settings
        )
        for i in range(hosts)
    ]
    specs += [
        Spec(f"plain{i}", "upstream", names[i % zones], "r0", "s", settings=settings)
        for i in range(plain)
    ]
    async with running_fleet(
        directory,
        specs,
        proxied=proxied,
        uplink=link,
        downlink=link,
        origin_rate=2 * link,
        memory=memory,
    ) as fleet:
        text = FleetText(zones=names, replicas=hosts)
        for version in ("v1", "v2", "v3"):
            data = random.randbytes(weights_bytes)
            text.digests[version] = fleet.origin.add(f"m-{version}", data, CHUNK_BYTES)
        fleet.publish_fleet(str(text))
        for name in fleet.nodes:
            fleet.start(name)
        if serving:
            await fleet.wait_settled()
            await fleet.wait_serving(text.digests["v1"], hosts)
        yield SmallFleet(fleet, text)
