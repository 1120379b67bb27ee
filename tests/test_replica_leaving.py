"""Tests replicas that announce in answers or reports that they leave, while listed as ready.

The entries run as real processes in front of a few replicas.
"""

import signal
from pathlib import Path
from typing import Final

import pytest
import trio

from testing.machinecaller import Reply, ask
from testing.machinelayout import MODEL_SERVICE, PLAIN_SERVICE, WAIT_SECONDS
from testing.machines import Machines, replicas_of, small_site
from testing.platformreplica import FakeReplica
from tests.test_machine_weights import wait_offered

SERVICES: Final = {
    "/stream/x": MODEL_SERVICE,
    "/again/x": PLAIN_SERVICE,
    "/once/x": PLAIN_SERVICE,
}
REQUEST_SECONDS: Final = 1 / 60
# The requirement: no new request reaches the replica later than this after the announcement.
DRAIN_SECONDS: Final = 2.0
LEAVING_SECONDS: Final = 6.0  # how long the replica is watched after that


async def ask_until_answered_by(
    site: Machines, path: str, leaving: FakeReplica, entry: str
) -> None:
    """Send requests to an entry until the replica has received one of them."""
    arrivals_before = leaving.arrivals
    with trio.fail_after(WAIT_SECONDS):
        while leaving.arrivals == arrivals_before:
            await ask(site.callers(entry), path)


async def keep_asking(
    site: Machines, path: str, entries: list[str], seconds: float
) -> list[Reply]:
    """Send requests to the entries in turn for `seconds`; return the answers."""
    replies: list[Reply] = []

    async def call(entry: str) -> None:
        replies.append(await ask(site.callers(entry), path))

    async with trio.open_nursery() as nursery:
        for number in range(int(seconds / REQUEST_SECONDS)):
            nursery.start_soon(call, entries[number % len(entries)])
            await trio.sleep(REQUEST_SECONDS)
    return replies


@pytest.mark.parametrize("path", list(SERVICES))
async def test_a_replica_that_says_in_answers_that_it_leaves_gets_no_new_requests(
    tmp_path: Path, path: str
) -> None:
    service = SERVICES[path]
    models, plain = (4, 1) if service == MODEL_SERVICE else (1, 4)
    async with small_site(tmp_path, models=models, plain=plain, entries=2) as site:
        leaving, *_ = replicas_of(site, service)
        leaving.announces_leaving = True
        for entry in ("entry0", "entry1"):
            # The other entry may have passed on the announcement already.
            with trio.move_on_after(DRAIN_SECONDS):
                await ask_until_answered_by(site, path, leaving, entry)
        announced_at = trio.current_time()
        replies = await keep_asking(site, path, ["entry0", "entry1"], LEAVING_SECONDS)
    late = [r for r in leaving.arrived if r.at > announced_at + DRAIN_SECONDS]
    print(len(late), "late;", sum(reply.status == 200 for reply in replies), len(replies))
    assert not late
    assert all(reply.status == 200 and reply.whole for reply in replies)


async def test_an_entry_learns_from_another_that_a_replica_leaves(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=3, plain=1, entries=2) as site:
        leaving, *_ = replicas_of(site, MODEL_SERVICE)
        leaving.announces_leaving = True
        await ask_until_answered_by(site, "/stream/x", leaving, "entry0")
        announced_at = trio.current_time()
        replies = await keep_asking(site, "/stream/x", ["entry1"], LEAVING_SECONDS)
    assert not [r for r in leaving.arrived if r.at > announced_at + DRAIN_SECONDS]
    assert all(reply.status == 200 for reply in replies)


async def test_an_entry_that_starts_sends_nothing_to_a_replica_that_leaves(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=3, plain=1, entries=2) as site:
        leaving, *_ = replicas_of(site, MODEL_SERVICE)
        leaving.announces_leaving = True
        await ask_until_answered_by(site, "/stream/x", leaving, "entry0")
        site.signal("entry1", signal.SIGKILL)
        await site.wait_exit("entry1")
        site.start("entry1")
        await site.wait_ready("entry1")
        ready_at = trio.current_time()
        replies = await keep_asking(site, "/stream/x", ["entry1"], LEAVING_SECONDS)
    assert not [r for r in leaving.arrived if r.at > ready_at + DRAIN_SECONDS]
    assert all(reply.status == 200 for reply in replies)


async def test_a_replica_that_starts_again_after_it_left_gets_requests(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0, plain=1, entries=1) as site:
        (leaving,) = replicas_of(site, PLAIN_SERVICE)
        leaving.announces_leaving = True
        await ask_until_answered_by(site, "/again/x", leaving, "entry0")
        leaving.announces_leaving = False
        await site.restart_replica(site.replicas[leaving.id])
        await ask_until_answered_by(site, "/again/x", leaving, "entry0")


@pytest.mark.parametrize("in_reports", [False, True])
async def test_no_weights_are_ordered_at_a_replica_that_leaves(
    tmp_path: Path, in_reports: bool
) -> None:
    async with small_site(tmp_path, models=4, plain=0, entries=2, daemons=True) as site:
        leaving, *others = replicas_of(site, MODEL_SERVICE)
        await wait_offered(site)
        if in_reports:
            leaving.reports_leaving = True
        else:
            leaving.announces_leaving = True
            await ask_until_answered_by(site, "/stream/x", leaving, "entry0")
        with trio.fail_after(WAIT_SECONDS):
            while not [li for li in site.log("daemon0") if li["message"] == "replica leaves"]:
                await trio.sleep(0.05)
            site.name_version(2)
            while any(replica.version != 2 for replica in others):
                await trio.sleep(0.05)
        await trio.sleep(LEAVING_SECONDS)
        assert not leaving.orders


async def test_a_replica_that_reports_to_its_daemon_that_it_leaves_gets_no_new_requests(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=4, plain=0, entries=2, daemons=True) as site:
        leaving, *_ = replicas_of(site, MODEL_SERVICE)
        leaving.reports_leaving = True
        announced_at = trio.current_time()
        replies = await keep_asking(site, "/stream/x", ["entry0", "entry1"], LEAVING_SECONDS)
    assert not [r for r in leaving.arrived if r.at > announced_at + DRAIN_SECONDS]
    assert all(reply.status == 200 for reply in replies)
