"""Tests that a replica that sends without end delays nobody else and exhausts no memory."""

from pathlib import Path

import pytest
import trio

from testing.hostile import ENDLESS
from testing.machinecaller import Reply, ask
from testing.machinelayout import MODEL_SERVICE, PLAIN_SERVICE
from testing.machines import Machines, replicas_of, small_site

PLAY_SECONDS = 4.0
# The time within which an answer to a request counts as being in time (`aim` of the routes).
AIM_SECONDS = 0.5
DEADLINE_MS = 3000
# A request is answered at most this long after its deadline.
DEADLINE_SLACK_SECONDS = 0.5
MEMORY_MB = 200.0
UPLOAD_BYTES = 4 * 1024 * 1024


def spoil_first(site: Machines, service: str, name: str) -> None:
    """Let the first replica of a service answer without end."""
    replicas_of(site, service)[0].answer_with = ENDLESS[name]


async def ask_for_a_while(
    site: Machines, path: str, replies: list[Reply], seconds: float, pause: float = 0.1
) -> None:
    """Send requests one after another."""
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        replies.append(await ask(site.callers("entry0"), path, deadline_ms=DEADLINE_MS))
        await trio.sleep(pause)


async def read_readiness(site: Machines, seconds: float, slowest: list[float]) -> None:
    """Ask for the readiness of the entry, and record the time until each answer."""
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        began = trio.current_time()
        assert await site.ready("entry0")
        slowest.append(trio.current_time() - began)
        await trio.sleep(0.1)


def memory_bytes(site: Machines) -> int:
    """Return the resident memory of the entry's process."""
    process = site.machines["entry0"].process
    assert process is not None
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * 4096


@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("callers", [4, 24])
async def test_an_endless_answer_delays_no_other_caller(
    tmp_path: Path, name: str, callers: int
) -> None:
    async with small_site(tmp_path, models=1, plain=1) as site:
        spoil_first(site, MODEL_SERVICE, name)
        own: list[Reply] = []
        others: list[Reply] = []
        readiness: list[float] = []
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(ask_for_a_while, site, "/stream/x", own, PLAY_SECONDS)
            nursery.start_soon(ask_for_a_while, site, "/once/x", others, PLAY_SECONDS)
            nursery.start_soon(read_readiness, site, PLAY_SECONDS, readiness)
        assert all(r.status == 200 and r.whole for r in others), others
        assert max(r.seconds for r in others) <= AIM_SECONDS, max(r.seconds for r in others)
        assert max(readiness) <= AIM_SECONDS, max(readiness)
        late = DEADLINE_MS / 1000 + DEADLINE_SLACK_SECONDS
        assert max(r.seconds for r in own) <= late, max(r.seconds for r in own)
        assert all(r.status != 0 for r in own), [r for r in own if r.status == 0]


@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
async def test_endless_answers_to_many_callers_fit_into_memory(tmp_path: Path, path: str) -> None:
    async with small_site(tmp_path, plain=2, entry_memory_mb=MEMORY_MB, mirrors=False) as site:
        for replica in replicas_of(site, PLAIN_SERVICE):
            replica.slots = 64
            replica.answer_with = ENDLESS["body without length"]
        peak = 0
        replies: list[Reply] = []
        async with trio.open_nursery() as nursery:
            for _ in range(48):
                nursery.start_soon(ask_for_a_while, site, path, replies, PLAY_SECONDS)
            for _ in range(int(PLAY_SECONDS / 0.05)):
                peak = max(peak, memory_bytes(site))
                await trio.sleep(0.05)
        assert peak <= MEMORY_MB * 1e6 * 0.6, peak
        ran = {run.id for replica in replicas_of(site, PLAIN_SERVICE) for run in replica.runs}
        assert all(r.status in (502, 503, 504) and r.whole for r in replies), replies
        assert not [r for r in replies if r.status == 503 and r.id in ran]


async def test_a_burst_of_uploads_fits_into_memory_and_loses_none(tmp_path: Path) -> None:
    async with small_site(tmp_path, plain=2, entry_memory_mb=MEMORY_MB, mirrors=False) as site:
        limits = {**site.configuration["limits"], "max_body_bytes": UPLOAD_BYTES}
        site.change(limits=limits)
        await trio.sleep(1)
        for replica in replicas_of(site, PLAIN_SERVICE):
            replica.slots = 64
        replies: list[Reply] = []
        body = bytes(UPLOAD_BYTES)

        async def upload() -> None:
            for _ in range(2):
                replies.append(await ask(site.callers("entry0"), "/once/x", body))

        peak = 0
        async with trio.open_nursery() as nursery:
            for _ in range(48):
                nursery.start_soon(upload)
            while len(replies) < 2 * 48:
                peak = max(peak, memory_bytes(site))
                await trio.sleep(0.02)
        assert peak <= MEMORY_MB * 1e6, peak
        ran = {run.id for replica in replicas_of(site, PLAIN_SERVICE) for run in replica.runs}
        assert all(r.whole and r.status in (200, 503) for r in replies), replies
        assert ran == {r.id for r in replies if r.status == 200}
