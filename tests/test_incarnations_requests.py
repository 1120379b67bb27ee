"""Tests requests and daemons while a replica restarts under the same id."""

import signal
from pathlib import Path

import pytest
import trio

from testing.machinecaller import Reply, ask
from testing.machinelayout import MODEL_SERVICE, PLAIN_SERVICE
from testing.machines import ListedReplica, Machines, small_site
from testing.platformreplica import Run
from tests.test_incarnations import digests_of, listed_models, wait_conflicting_incarnations
from tests.test_machine_weights import LOADED_SECONDS, wait_loaded, wait_offered

NOT_RUN_STATUSES = (408, 421, 429, 503)


def runs_of(site: Machines, request_id: str) -> list[Run]:
    """Return the runs of a request at all replicas and in all their incarnations."""
    listed_replicas = site.replicas.values()
    return [
        run for listed in listed_replicas for run in listed.replica.runs if run.id == request_id
    ]


async def wait_active(replicas: list[ListedReplica]) -> ListedReplica:
    """Wait until one of the replicas works on a request; return it."""
    with trio.fail_after(LOADED_SECONDS):
        while True:
            for listed in replicas:
                if listed.replica.active:
                    return listed
            await trio.sleep(0.005)


async def ask_while_restarting(site: Machines, path: str) -> Reply:
    """Request a path and restart the replica that works on it, under the same id."""
    service = MODEL_SERVICE if path in ("/stream/x", "/strict/x") else PLAIN_SERVICE
    replicas = [listed for listed in site.replicas.values() if listed.service == service]
    for listed in replicas:
        listed.replica.service_seconds = 0.3
        listed.replica.event_seconds = 0.1
    replies: list[Reply] = []

    async def call() -> None:
        replies.append(await ask(site.callers("entry0"), path))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await site.restart_replica(await wait_active(replicas))
    (reply,) = replies
    return reply


@pytest.mark.parametrize("path", ["/once/x", "/strict/x"])
async def test_a_non_repeatable_request_runs_once_if_its_replica_restarts(
    tmp_path: Path, path: str
) -> None:
    async with small_site(tmp_path, models=2, plain=2) as site:
        reply = await ask_while_restarting(site, path)
        assert len(runs_of(site, reply.id)) == 1
        assert (
            reply.status not in NOT_RUN_STATUSES
        ), "it ran, so it must not be reported as not run"


@pytest.mark.parametrize("path", ["/again/x", "/stream/x"])
async def test_a_repeatable_request_is_answered_completely_by_another_replica(
    tmp_path: Path, path: str
) -> None:
    async with small_site(tmp_path, models=2, plain=2) as site:
        reply = await ask_while_restarting(site, path)
        assert reply.status == 200 and reply.whole and reply.sealed
        assert path == "/again/x" or reply.events == [0, 1, 2, 3]


async def test_a_replica_that_restarts_while_its_daemon_is_silent_gets_nothing_until_loaded(
    tmp_path: Path,
) -> None:
    """The entry learns of the new incarnation from the list only; the last report is old."""
    async with small_site(tmp_path, models=2, daemons=True) as site:
        await wait_offered(site)
        first, second = listed_models(site)
        site.signal("daemon0", signal.SIGSTOP)
        await site.restart_replica(first)
        with trio.fail_after(LOADED_SECONDS):
            while not any(line["message"] == "incarnation begun" for line in site.log("entry0")):
                await trio.sleep(0.02)
        before = first.replica.arrivals
        replies = [await ask(site.callers("entry0"), "/stream/x") for _ in range(8)]
        assert {reply.status for reply in replies} <= {200, 503}
        assert second.replica.arrivals and first.replica.arrivals == before
        site.signal("daemon0", signal.SIGCONT)
        await wait_loaded([first.replica], 1)
        await wait_conflicting_incarnations(site, first, False)
        for version, digests in first.replica.loads:
            assert digests == digests_of(site, version)
