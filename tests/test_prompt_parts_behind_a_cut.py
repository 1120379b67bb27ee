"""Tests of parts of prompts that an entry must refuse when it comes back from a network cut."""

from pathlib import Path
from typing import Final

import trio
from headcross_base.addresses import Address

from bench.soak.proxies import LinkFault, LinkFaults, LinkKind, Proxy
from testing.machinelayout import (
    CALLERS,
    CHUNK_BYTES,
    CHUNKS,
    MODEL_SERVICE,
    ORIGIN,
    PEERS,
    READINESS,
    REPLICA,
    STORE,
    SWARM,
)
from testing.machines import Machines, running_machines
from tests.test_prompt_parts_that_crash_replicas import (
    REPLICAS,
    ask_crashing,
    bar_crashing_part,
    crashing_runs,
    has_crashing_part,
    is_barred,
)

CUT_SECONDS: Final = 12.0
REQUESTS: Final = 8
INTERVAL_SECONDS: Final = 0.25


async def open_proxies(site: Machines, links: LinkFaults, ip: str, *ports: int) -> None:
    """Put a proxy before each of these ports."""
    for port in ports:
        public = Address(ip, port)
        await Proxy(public, site.private(public), links).open(site.nursery)


async def start_site(site: Machines, links: LinkFaults) -> None:
    """Start two entries before replicas that crash under the crashing part, behind proxies."""
    await open_proxies(site, links, site.address(STORE).ip, STORE, ORIGIN)
    site.origin.versions[1] = [bytes(CHUNK_BYTES)] * CHUNKS
    for name in ("entry0", "entry1"):
        site.add_entry(name, "z0")
    for _ in range(REPLICAS):
        listed = await site.add_replica(MODEL_SERVICE, "z0", version=1)
        listed.replica.crashes_on = has_crashing_part
        await open_proxies(site, links, listed.ip, REPLICA)
    for name, machine in list(site.machines.items()):
        site.start(name)
        await open_proxies(site, links, machine.ip, CALLERS, READINESS, PEERS, SWARM)
    await site.wait_ready("entry0", "entry1")
    await trio.sleep(2.0)


async def test_an_entry_that_comes_back_from_a_cut_sends_no_barred_part_to_a_replica(
    tmp_path: Path,
) -> None:
    links = LinkFaults()
    async with running_machines(tmp_path, interposed=True) as site:
        await start_site(site, links)
        first, second = (frozenset([site.machines[n].ip]) for n in ("entry0", "entry1"))
        with links.active(LinkFault(LinkKind.CUT, first, second)):
            await trio.sleep(1.0)
            await bar_crashing_part(site, "entry0")
            await trio.sleep(CUT_SECONDS)
        before = len(crashing_runs(site))
        barred: list[bool] = []

        async def call() -> None:
            barred.append(is_barred(await ask_crashing(site, "entry1")))

        async with trio.open_nursery() as calls:
            for _ in range(REQUESTS):
                calls.start_soon(call)
                await trio.sleep(INTERVAL_SECONDS)
        reached = len(crashing_runs(site)) - before
    print(reached, "reached replicas;", barred)
    assert reached == 0
