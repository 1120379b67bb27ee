"""Tests of planned stops: no request is cut off, and a leaving daemon accepts no new ones."""

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from testing.caller import check_tokens, generate, send
from testing.fleet import HTTP
from testing.small import POOL_PATH, SERVICE_PATH, SmallFleet, small_fleet

MAX_IN_FLIGHT = 40
TOKENS = 60


async def generate_steadily(small: SmallFleet, act: Callable[[], Awaitable[None]]) -> list[str]:
    """Request streams from all entries while `act` runs; return descriptions of the failures."""
    problems: list[str] = []
    stopped = False
    digests = list(small.text.digests.values())

    # On an idle machine at most 20 to 28 requests are in flight, so the limit has no effect there.
    # Callers, engines and origin share the process of the test: on a busy machine more requests
    # would pile up there, and each upstream that stops would have to drain them all.
    in_flight = trio.CapacityLimiter(MAX_IN_FLIGHT)

    async def ask(entry: str) -> None:
        address = small.fleet.nodes[entry].address(HTTP)
        async with in_flight:
            reply, prompt = await generate(address, POOL_PATH, tokens=TOKENS)
        if reply.status == 0 and not reply.body and "ConnectError" in reply.error:
            return  # A load balancer would have removed the stopped entry by then.
        if not check_tokens(reply, prompt, TOKENS, digests):
            problems.append(f"{reply.status} {reply.code} {reply.error} {reply.body[-80:]!r}")

    async def ask_all() -> None:
        async with trio.open_nursery() as asking:
            while not stopped:
                for entry in small.fleet.names("entry"):
                    if in_flight.available_tokens >= 1:
                        asking.start_soon(ask, entry)
                await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask_all)
        await trio.sleep(0.5)
        await act()
        await trio.sleep(0.5)
        stopped = True
    return problems


async def test_stopping_each_daemon_in_turn_cuts_off_nothing(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, entries=2) as small:

        async def act() -> None:
            for name in ("host0", "entry1", "host1"):
                small.fleet.kill(name, signal.SIGTERM)
                assert await small.fleet.wait_exit(name) == 0

        assert await generate_steadily(small, act) == []
        runs = [run for engine in small.fleet.engines().values() for run in engine.runs]
        assert all(run.finished for run in runs)
        assert len({run.prompt for run in runs}) == len(runs)


async def test_a_new_version_under_load_cuts_off_nothing(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, entries=2) as small:

        async def act() -> None:
            digest = await small.move_to("v2")
            await small.fleet.wait_serving(digest, 3)

        assert await generate_steadily(small, act) == []


async def test_a_leaving_daemon_accepts_nothing_from_an_entry_without_updates(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path, hosts=2, proxied=True) as small:
        entry = small.fleet.nodes["entry0"]
        # The entry receives no updates any more, but can still send requests to the HTTP ports.
        small.fleet.config.down = True
        engine = small.fleet.engines()["host0"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(generate, small.entry(), POOL_PATH, "long", 400)
            await trio.sleep(0.3)
            small.fleet.kill("host0", signal.SIGTERM)
            await trio.sleep(0.2)
            before = len(engine.runs)
            for _ in range(20):
                reply, _ = await generate(entry.address(HTTP), POOL_PATH)
                assert reply.status == 200, reply
            assert len(engine.runs) == before
            await small.fleet.wait_exit("host0")
        assert all(run.finished for run in engine.runs)


async def test_a_stopping_daemon_hands_streams_over_after_its_drain_time(tmp_path: Path) -> None:
    settings = "[stop]\nnotice_seconds = 0.2\ndrain_seconds = 0.3\n"
    async with small_fleet(tmp_path, hosts=2, settings=settings) as small:
        digest = small.text.digests["v1"]
        headers = [("headcross-repeatable", "yes")]
        results: list[str] = []

        async def ask() -> None:
            reply, prompt = await generate(small.entry(), POOL_PATH, tokens=400, headers=headers)
            results.append(check_tokens(reply, prompt, 400, [digest]))

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(ask)
            await trio.sleep(0.5)
            small.fleet.kill("host0", signal.SIGTERM)
            assert await small.fleet.wait_exit("host0") == 0
        assert results == [digest] * 4


async def test_a_plain_service_is_drained_too(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=1, zones=1, plain=2) as small:
        for node in small.fleet.nodes.values():
            if node.plain is not None:
                node.plain.answer_seconds = 0.8
        statuses: list[int] = []

        async def ask() -> None:
            statuses.append((await send(small.entry(), SERVICE_PATH, b"x")).status)

        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(ask)
            await trio.sleep(0.3)
            small.fleet.kill("plain0", signal.SIGTERM)
            assert await small.fleet.wait_exit("plain0") == 0
        assert statuses == [200] * 6


async def generate_during_pause(small: SmallFleet, paused: str, seconds: float) -> list[str]:
    """Pause a process during long repeatable streams; return "whole" or "cut" for each stream."""
    digest = small.text.digests["v1"]
    results: list[str] = []

    async def ask() -> None:
        headers = [("headcross-repeatable", "yes")]
        reply, prompt = await generate(small.entry(), POOL_PATH, tokens=300, headers=headers)
        results.append("whole" if check_tokens(reply, prompt, 300, [digest]) == digest else "cut")

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(ask)
        await trio.sleep(0.5)
        small.fleet.kill(paused, signal.SIGSTOP)
        await trio.sleep(seconds)
        small.fleet.kill(paused, signal.SIGCONT)
    return results


async def test_an_entry_that_was_paused_gives_up_no_stream(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=1, zones=1) as small:
        assert await generate_during_pause(small, "entry0", 4) == ["whole"] * 4
        assert len(small.fleet.engines()["host0"].runs) == 4


async def test_streams_of_a_paused_host_resume_elsewhere(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=2) as small:
        assert await generate_during_pause(small, "host0", 8) == ["whole"] * 4
