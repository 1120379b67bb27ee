"""Tests that a caller that sends without end, or in tiny pieces, delays nobody else."""

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
import trio
from headcross_base.addresses import Address
from headcross_platform import names

from testing.machinecaller import Reply, ask
from testing.machinelayout import HOST, KEY
from testing.machines import Machines, small_site

PLAY_SECONDS = 4.0
AIM_SECONDS = 0.5  # of the routes
MAX_BODY_BYTES = 4 * 1024 * 1024
REPEATS = 8000
CALLERS = 24


def head(method: str = "POST", *lines: str) -> bytes:
    """Return the head of a request, without its end."""
    own = [f"host: {HOST}", f"{names.REQUEST_ID}: r", f"{names.KEY}: {KEY}"]
    return "\r\n".join([f"{method} /again/x HTTP/1.1", *own, *lines, ""]).encode()


def chunks(piece: bytes) -> Iterator[bytes]:
    """Yield a request with chunks without end."""
    yield head("POST", "transfer-encoding: chunked") + b"\r\n"
    while True:
        yield piece * REPEATS


def header_lines() -> Iterator[bytes]:
    """Yield a request with headers without end."""
    yield head()
    while True:
        yield b"x-a: b\r\n" * REPEATS


def newlines() -> Iterator[bytes]:
    """Yield empty lines before a request."""
    while True:
        yield b"\r\n" * REPEATS


def requests() -> Iterator[bytes]:
    """Yield requests one behind the other, without reading the answers."""
    while True:
        yield (head("GET") + b"\r\n") * 50


def no_http() -> Iterator[bytes]:
    """Yield bytes that are not HTTP."""
    while True:
        yield bytes(REPEATS)


ENDLESS: dict[str, Callable[[], Iterator[bytes]]] = {
    "chunks of one byte": lambda: chunks(b"1\r\nx\r\n"),
    "chunks with extensions": lambda: chunks(b"1;a=b\r\nx\r\n"),
    "header lines": header_lines,
    "newlines": newlines,
    "requests": requests,
    "no http": no_http,
}


async def send_endlessly(address: Address, pieces: Callable[[], Iterator[bytes]]) -> None:
    """Send as fast as possible, over a new connection whenever one has ended."""
    while True:
        stream = await trio.open_tcp_stream(address.ip, address.port)
        try:
            for piece in pieces():
                await stream.send_all(piece)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.sleep(0.05)
        finally:
            await trio.aclose_forcefully(stream)


async def ask_and_read_readiness(site: Machines, replies: list[Reply]) -> float:
    """Send requests, and ask for the readiness; return the longest time until an answer to it."""
    slowest = 0.0
    until = trio.current_time() + PLAY_SECONDS
    while trio.current_time() < until:
        replies.append(await ask(site.callers("entry0"), "/again/x"))
        began = trio.current_time()
        assert await site.ready("entry0")
        slowest = max(slowest, trio.current_time() - began)
        await trio.sleep(0.1)
    return slowest


@pytest.mark.parametrize("name", ENDLESS)
async def test_an_endless_request_delays_no_other_caller(tmp_path: Path, name: str) -> None:
    async with small_site(tmp_path, models=1) as site:
        site.change(limits={**site.configuration["limits"], "max_body_bytes": MAX_BODY_BYTES})
        await trio.sleep(1)
        replies: list[Reply] = []
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(send_endlessly, site.callers("entry0"), ENDLESS[name])
            slowest = await ask_and_read_readiness(site, replies)
            nursery.cancel_scope.cancel()
        assert all(r.status == 200 and r.whole for r in replies), replies
        assert max(r.seconds for r in replies) <= AIM_SECONDS, max(r.seconds for r in replies)
        assert slowest <= AIM_SECONDS, slowest
