"""Tests requests to old weights over links that delay them until after their withdrawal.

A link that holds delivers nothing until it is released, and then also requests whose caller has
reset the connection since.
"""

import random
import signal
from enum import Enum
from pathlib import Path

import pytest
import trio
from headcross_base.addresses import Address
from headcross_gateway.weightsrules import CLOSING_WINDOW_SECONDS, SEND_MARGIN_SECONDS

from testing.heldlink import HeldLink
from testing.machinecaller import Reply, ask
from testing.machinelayout import MODEL_SERVICE
from testing.machines import ListedReplica, Machines, small_site
from tests.test_machine_weights import wait_offered
from tests.test_old_weights import STREAM, STRICT, name_version_without_weights

BOUND_SECONDS = 6.0

# Until this long after the naming of a new version, entries send requests to old weights.
LAST_SENDING_SECONDS = BOUND_SECONDS - SEND_MARGIN_SECONDS
# Links begin to hold at a random time from HOLD_BEFORE_SECONDS before the last sending until
# HOLD_AFTER_SECONDS after it.
HOLD_BEFORE_SECONDS = 3.0
HOLD_AFTER_SECONDS = 0.5
LINKS = 4
SEEDS = range(7310, 7320)
CALLER_GAP_SECONDS = 0.05
RELEASE_SECONDS = BOUND_SECONDS + 0.3


class Daemons(Enum):
    """The state of the replicas' daemons while the links hold."""

    NONE = "none"
    OTHER_LINK = "speak over another link"
    SILENT = "stand still"
    DEAD = "are dead"


async def put_links(site: Machines, *, daemons: bool) -> dict[HeldLink, ListedReplica]:
    """Put a link before each replica of the model; return the links and their replicas."""
    links: dict[HeldLink, ListedReplica] = {}
    for listed in site.replicas.values():
        if listed.service != MODEL_SERVICE:
            continue
        link = HeldLink(Address(site.new_ip(), listed.address.port), listed.address)
        await link.open(site.nursery)
        site.unlist(listed)
        listed.ip = link.public.ip
        site.list_replica(listed)
        links[link] = listed
        if daemons:
            name = f"daemon{len(links)}"
            site.add_daemon(name, listed)
            site.start(name)
    if daemons:
        await wait_offered(site)
    with trio.fail_after(20):
        while not all(link.connections for link in links):
            async with trio.open_nursery() as nursery:
                for _ in range(len(links)):
                    nursery.start_soon(ask, site.callers("entry0"), STRICT)
    return links


async def call_until(site: Machines, moment: float) -> list[Reply]:
    """Send repeatable and non-repeatable streams in turn until `moment` (trio's clock)."""
    replies: list[Reply] = []

    async def call(path: str) -> None:
        replies.append(await ask(site.callers("entry0"), path))

    async with trio.open_nursery() as nursery:
        path = STREAM
        while trio.current_time() < moment:
            path = STRICT if path == STREAM else STREAM
            nursery.start_soon(call, path)
            await trio.sleep(CALLER_GAP_SECONDS)
    return replies


def late_runs(links: dict[HeldLink, ListedReplica], named_at: float) -> list[float]:
    """Return when runs began after the bound, in seconds since the new version was named."""
    began = [run.began_at for listed in links.values() for run in listed.replica.runs]
    return [round(at - named_at, 2) for at in began if at - named_at > BOUND_SECONDS]


def stop_daemons(site: Machines, daemons: Daemons) -> None:
    """Suspend or kill the daemons of a site if `daemons` says so."""
    signal_number = {Daemons.SILENT: signal.SIGSTOP, Daemons.DEAD: signal.SIGKILL}.get(daemons)
    for name, machine in site.machines.items():
        if signal_number is not None and machine.role == "upstream":
            site.signal(name, signal_number)


async def check_held_links(tmp_path: Path, seed: int, daemons: Daemons) -> None:
    """Let each link hold from a random time on; check that no request begins late."""
    generator = random.Random(seed)
    offsets = [generator.uniform(-HOLD_BEFORE_SECONDS, HOLD_AFTER_SECONDS) for _ in range(LINKS)]
    async with small_site(
        tmp_path, models=LINKS, plain=0, weights_ms=1000 * BOUND_SECONDS
    ) as site:
        links = await put_links(site, daemons=daemons is not Daemons.NONE)
        named_at = trio.current_time()
        name_version_without_weights(site, 2)
        stop_daemons(site, daemons)

        async def hold(link: HeldLink, offset: float) -> None:
            await trio.sleep_until(named_at + LAST_SENDING_SECONDS + offset)
            await link.hold_between_requests()
            await trio.sleep_until(named_at + RELEASE_SECONDS)
            link.release()

        async with trio.open_nursery() as nursery:
            for link, offset in zip(links, offsets, strict=True):
                nursery.start_soon(hold, link, offset)
            await call_until(site, named_at + BOUND_SECONDS)
        await trio.sleep(0.5)
        late = late_runs(links, named_at)
        assert not late, (late, offsets)


@pytest.mark.parametrize("daemons", [Daemons.NONE, Daemons.OTHER_LINK])
@pytest.mark.parametrize("seed", SEEDS)
async def test_no_request_begins_late_on_old_weights_whenever_its_link_begins_to_hold(
    tmp_path: Path, seed: int, daemons: Daemons
) -> None:
    """Guards against a held request that is delivered after its withdrawal and begins late."""
    await check_held_links(tmp_path, seed, daemons)


@pytest.mark.parametrize("daemons", [Daemons.SILENT, Daemons.DEAD])
@pytest.mark.parametrize("seed", SEEDS[:3])
async def test_no_request_begins_late_on_old_weights_over_a_held_link_without_its_daemon(
    tmp_path: Path, seed: int, daemons: Daemons
) -> None:
    """Guards against late requests while no load report shows an entry whether a link delivers."""
    await check_held_links(tmp_path, seed, daemons)


@pytest.mark.parametrize("daemons", [Daemons.NONE, Daemons.OTHER_LINK])
async def test_callers_are_served_by_old_weights_until_shortly_before_the_bound(
    tmp_path: Path, daemons: Daemons
) -> None:
    """Over links that deliver, every request is answered."""
    async with small_site(
        tmp_path, models=LINKS, plain=0, weights_ms=1000 * BOUND_SECONDS
    ) as site:
        await put_links(site, daemons=daemons is not Daemons.NONE)
        named_at = trio.current_time()
        name_version_without_weights(site, 2)
        replies = await call_until(site, named_at + LAST_SENDING_SECONDS - CLOSING_WINDOW_SECONDS)
        assert len(replies) > LAST_SENDING_SECONDS
        assert all(reply.whole and reply.status == 200 for reply in replies), replies


async def test_a_request_whose_link_holds_right_behind_its_proof_does_not_begin_late(
    tmp_path: Path,
) -> None:
    """Guards against a late request on a link that holds just after it proved that it delivers.

    An answer over the link is the proof; the link holds the request that is sent right behind it.
    """
    async with small_site(tmp_path, models=1, plain=0, weights_ms=1000 * BOUND_SECONDS) as site:
        links = await put_links(site, daemons=False)
        (link,) = links
        named_at = trio.current_time()
        name_version_without_weights(site, 2)
        await trio.sleep_until(named_at + LAST_SENDING_SECONDS - 1.2)
        link.hold_behind_next_proof()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, site.callers("entry0"), STRICT)
            await trio.sleep_until(named_at + RELEASE_SECONDS)
            link.release()
        await trio.sleep(0.5)
        late = late_runs(links, named_at)
        assert link.held and not late, late
