"""Tests of replicas that reject requests and ask the entry for rest.

Two entries run as real processes before a few replicas. Requests go to both in turn.
"""

from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import pytest
import trio
from headcross_platform import names

from testing.machinecaller import Reply, ask, new_request_id
from testing.machinelayout import MODEL_SERVICE, PLAIN_SERVICE
from testing.machines import Machines, replicas_of, small_site
from testing.platformreplica import FakeReplica

SERVICES: Final = {
    "/stream/x": MODEL_SERVICE,
    "/again/x": PLAIN_SERVICE,
    "/once/x": PLAIN_SERVICE,
}
ENTRIES: Final = ("entry0", "entry1")
REQUEST_SECONDS: Final = 1 / 60
REST_SECONDS: Final = 3.0
RESTING_SECONDS: Final = 8.0
AFTER_SECONDS: Final = 4.0
# The requirement: one entry sends at most MAX_REQUESTS_IN_REST requests from GRACE_SECONDS after
# an answer that asks for rest until the end of the rest.
GRACE_SECONDS: Final = 0.5
MAX_REQUESTS_IN_REST: Final = 2


@dataclass
class LoadResult:
    """The requests that callers sent, and the replies."""

    entry_of: dict[str, str] = field(default_factory=dict)  # by request
    replies: list[Reply] = field(default_factory=list)

    def served(self) -> int:
        """Return how many requests were answered completely."""
        return sum(reply.status == 200 and reply.whole for reply in self.replies)

    def max_in_rest(self, replica: FakeReplica) -> int:
        """Return the most requests of one entry during a rest that the replica asked it for."""
        most = 0
        for entry in ENTRIES:
            arrived = [r for r in replica.arrived if self.entry_of.get(r.id) == entry]
            for asked in (r for r in arrived if r.asked_rest):
                first, last = asked.at + GRACE_SECONDS, asked.at + REST_SECONDS
                most = max(most, sum(first < r.at < last for r in arrived))
        return most


async def run_load(site: Machines, path: str, seconds: float) -> LoadResult:
    """Send requests to both entries in turn."""
    result = LoadResult()

    async def call(entry: str) -> None:
        request_id = new_request_id()
        result.entry_of[request_id] = entry
        reply = await ask(site.callers(entry), path, request_id=request_id)
        result.replies.append(reply)

    async with trio.open_nursery() as nursery:
        for number in range(int(seconds / REQUEST_SECONDS)):
            nursery.start_soon(call, ENTRIES[number % 2])
            await trio.sleep(REQUEST_SECONDS)
    return result


def site_for(tmp_path: Path, path: str) -> AbstractAsyncContextManager[Machines]:
    """Run two entries before four replicas of the service of a path."""
    models, plain = (4, 1) if SERVICES[path] == MODEL_SERVICE else (1, 4)
    return small_site(tmp_path, models=models, plain=plain, entries=2)


@pytest.mark.parametrize("path", list(SERVICES))
async def test_an_entry_lets_a_replica_rest_that_asked_for_it(tmp_path: Path, path: str) -> None:
    async with site_for(tmp_path, path) as site:
        resting, *_ = replicas_of(site, SERVICES[path])
        resting.rest = str(REST_SECONDS)
        result = await run_load(site, path, RESTING_SECONDS)
        print(result.max_in_rest(resting), result.served(), len(result.replies))
        assert result.max_in_rest(resting) <= MAX_REQUESTS_IN_REST
        assert result.served() == len(result.replies)
        resting.rest = None
        runs = len(resting.runs)
        await run_load(site, path, AFTER_SECONDS)
        assert len(resting.runs) > runs


@pytest.mark.parametrize("path", list(SERVICES))
async def test_entries_let_all_replicas_rest_and_refuse_callers_at_once(
    tmp_path: Path, path: str
) -> None:
    async with site_for(tmp_path, path) as site:
        resting = replicas_of(site, SERVICES[path])
        for replica in resting:
            replica.rest = str(REST_SECONDS)
        result = await run_load(site, path, RESTING_SECONDS)
        print([result.max_in_rest(replica) for replica in resting])
        assert all(result.max_in_rest(replica) <= MAX_REQUESTS_IN_REST for replica in resting)
        assert {reply.status for reply in result.replies} == {503}
        delays = [float(reply.headers[names.RETRY_AFTER]) for reply in result.replies]
        print(min(delays), max(delays))
        assert max(delays) > GRACE_SECONDS
        assert len(set(delays)) > len(delays) / 2
        for replica in resting:
            replica.rest = None
        await trio.sleep(REST_SECONDS)
        after = await run_load(site, path, AFTER_SECONDS)
        print(after.served(), len(after.replies))
        assert after.served() >= 0.9 * len(after.replies)


async def test_a_caller_rejected_by_a_resting_replica_learns_when_the_rest_ends(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=0, plain=1, entries=1) as site:
        (resting,) = replicas_of(site, PLAIN_SERVICE)
        resting.rest = str(REST_SECONDS)
        reply = await ask(site.callers("entry0"), "/again/x")
    assert resting.arrivals == 1
    assert reply.status == 503
    assert float(reply.headers[names.RETRY_AFTER]) > REST_SECONDS - GRACE_SECONDS
