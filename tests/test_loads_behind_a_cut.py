"""Tests which loads take requests at an entry that comes back from a network cut."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from signal import Signals

import pytest
import trio

from bench.soak.proxies import LinkFault, LinkFaults, LinkKind
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
from testing.machines import Machines, replicas_of, running_machines
from tests.test_confirmed_loads import check_answers, steady_requests, wait_runs
from tests.test_loads_after_restart import JUDGED, WATCHED_SECONDS, load_bad_chunk
from tests.test_machine_weights import wait_loaded, wait_offered
from tests.test_prompt_parts_behind_a_cut import open_proxies


@asynccontextmanager
async def site_behind_proxies(directory: Path, links: LinkFaults) -> AsyncIterator[Machines]:
    """Run two entries and two replicas with their daemons, with a proxy before each listener."""
    async with running_machines(directory, interposed=True) as site:
        await open_proxies(site, links, site.address(STORE).ip, STORE, ORIGIN)
        site.origin.versions[1] = [random.randbytes(CHUNK_BYTES) for _ in range(CHUNKS)]
        for name in ("entry0", "entry1"):
            site.add_entry(name, "z0")
        for name in ("daemon0", "daemon1"):
            listed = await site.add_replica(MODEL_SERVICE, "z0", version=1)
            site.add_daemon(name, listed)
            await open_proxies(site, links, listed.ip, REPLICA)
        for name, machine in list(site.machines.items()):
            site.start(name)
            ports = (CALLERS, READINESS) if machine.role == "entry" else ()
            await open_proxies(site, links, machine.ip, *ports, PEERS, SWARM)
        await site.wait_ready("entry0", "entry1")
        yield site


@pytest.mark.parametrize("daemon_returns", [True, False])
@pytest.mark.parametrize("bad", [True, False])
async def test_an_entry_that_comes_back_from_a_cut_uses_only_loads_that_are_vouched_for(
    tmp_path: Path, bad: bool, daemon_returns: bool
) -> None:
    """An intact load is vouched for by the other entry, which then ends where the load is bad."""
    links = LinkFaults()
    async with site_behind_proxies(tmp_path, links) as site:
        await wait_offered(site, mirrors=False)
        cut = frozenset([site.machines["entry1"].ip])
        with links.active(LinkFault(LinkKind.CUT, cut)):
            await trio.sleep(1.0)
            if bad:
                await load_bad_chunk(site)
            else:
                site.name_version(2)
            await wait_loaded(replicas_of(site, MODEL_SERVICE), 2)
            await trio.sleep(JUDGED)
            for name in ("daemon0", "entry0") if bad else ("daemon0",):
                site.signal(name, Signals.SIGKILL)
                await site.wait_exit(name)
            if daemon_returns:
                site.start("daemon0")
                await trio.sleep(WATCHED_SECONDS)
        struck, other = replicas_of(site, MODEL_SERVICE)
        async with steady_requests(site, "entry1"):
            if bad:
                await trio.sleep(2 * WATCHED_SECONDS)
                assert other.runs, "its load was intact"
            else:
                # A replica whose daemon is silent is picked only if no other one can serve.
                other.draining = True
                await wait_runs(struck, 2)
        check_answers(site)
