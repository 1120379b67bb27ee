"""Tests that the HTTP clients on trio and on blocking sockets treat servers alike.

The server writes prepared bytes, so that answers may be late, incomplete or not HTTP.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio
from headcross_base.addresses import Address
from headcross_base.errorcodes import CONNECT_FAILED, LINK_LOST
from headcross_base.errors import Failure, Ok
from headcross_wire.blockinghttp import BlockingHttp, run_blocking
from headcross_wire.httpclient import TrioHttp
from headcross_wire.httpcodec import HttpCalls, WholeAnswer

LIMIT_SECONDS = 0.5
MAX_BYTES = 100
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood"
STALE = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale"

Serve = Callable[[trio.SocketStream], Awaitable[None]]
Outcome = Ok[WholeAnswer] | Failure


@asynccontextmanager
async def server(serve: Serve) -> AsyncIterator[Address]:
    """Serve each connection with a function; yield the address."""
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")

        async def serve_quietly(stream: trio.SocketStream) -> None:
            try:
                await serve(stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass  # the client has given up
            finally:
                await trio.aclose_forcefully(stream)

        nursery.start_soon(trio.serve_listeners, serve_quietly, [listener])
        yield Address("127.0.0.1", listener.socket.getsockname()[1])
        nursery.cancel_scope.cancel()


class Client:
    """One of the two clients."""

    def __init__(self, calls: HttpCalls, *, blocks: bool) -> None:
        self._calls = calls
        self._blocks = blocks

    async def get(self, address: Address) -> Outcome:
        """Make an idempotent call."""
        return await self._run(
            partial(
                self._calls.call_idempotent,
                address,
                "GET",
                "/",
                seconds=LIMIT_SECONDS,
                max_bytes=MAX_BYTES,
            )
        )

    async def put(self, address: Address) -> Outcome:
        """Make a call that is not repeated."""
        return await self._run(
            partial(
                self._calls.call_once,
                address,
                "PUT",
                "/",
                body=b"x",
                seconds=LIMIT_SECONDS,
                max_bytes=MAX_BYTES,
            )
        )

    async def _run(self, call: Callable[[], Awaitable[Outcome]]) -> Outcome:
        if not self._blocks:
            return await call()

        async def make() -> Outcome:
            return await call()

        return await trio.to_thread.run_sync(lambda: run_blocking(make()))


@pytest.fixture(params=["trio", "blocking"])
def client(request: pytest.FixtureRequest) -> Client:
    """Each of the two clients."""
    if request.param == "trio":
        return Client(TrioHttp(), blocks=False)
    return Client(BlockingHttp("127.0.0.1"), blocks=True)


def body_of(outcome: Outcome) -> bytes:
    """Return the body of an answer."""
    assert isinstance(outcome, Ok), outcome
    return outcome.value.body


async def write(answer: bytes, stream: trio.SocketStream) -> None:
    """Answer the first request with some bytes, then close."""
    await stream.receive_some(1024)
    await stream.send_all(answer)


async def answer_all(stream: trio.SocketStream) -> None:
    """Answer every request on a connection."""
    while await stream.receive_some(1024):
        await stream.send_all(WHOLE)


async def write_slowly(stream: trio.SocketStream) -> None:
    """Send a byte every 0.05 s without end."""
    await stream.receive_some(1024)
    await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n")
    for _ in range(80):
        await stream.send_all(b"x")
        await trio.sleep(0.05)


async def send_informational(stream: trio.SocketStream) -> None:
    """Send an informational response every 0.05 s without end."""
    await stream.receive_some(1024)
    for _ in range(80):
        await stream.send_all(b"HTTP/1.1 100 Continue\r\n\r\n")
        await trio.sleep(0.05)


async def answer_nothing(stream: trio.SocketStream) -> None:
    """Read a request and answer nothing."""
    await stream.receive_some(1024)
    await trio.sleep(10)


async def test_an_answer_is_read_whole(client: Client) -> None:
    async with server(answer_all) as address:
        assert body_of(await client.get(address)) == b"good"
        assert body_of(await client.put(address)) == b"good"


BAD_ANSWERS = [
    b"",
    WHOLE[:-1],
    b"HTTP/1.1 200 OK\r\ncontent-len",
    b"not HTTP\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n" + bytes(101),
]


@pytest.mark.parametrize("answer", BAD_ANSWERS)
async def test_a_broken_or_too_long_answer_is_a_lost_link(client: Client, answer: bytes) -> None:
    async with server(partial(write, answer)) as address:
        for outcome in (await client.get(address), await client.put(address)):
            assert isinstance(outcome, Failure) and outcome.reason is LINK_LOST


@pytest.mark.parametrize("serve", [write_slowly, send_informational, answer_nothing])
async def test_a_call_ends_at_its_time_limit(client: Client, serve: Serve) -> None:
    async with server(serve) as address:
        began = trio.current_time()
        outcome = await client.get(address)
        assert isinstance(outcome, Failure) and outcome.reason is LINK_LOST
        assert trio.current_time() - began < 2 * LIMIT_SECONDS


async def test_a_closed_port_is_a_failed_connection(client: Client) -> None:
    async with server(answer_nothing) as address:
        pass
    outcome = await client.put(address)
    assert isinstance(outcome, Failure) and outcome.reason is CONNECT_FAILED


@pytest.mark.parametrize("left_over", [STALE, None])
async def test_an_idle_connection_that_is_dead_or_has_input_is_not_used(
    client: Client, left_over: bytes | None
) -> None:
    """The server leaves another answer on the connection, or closes it."""
    connections = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal connections
        connections += 1
        await stream.receive_some(1024)
        await stream.send_all(WHOLE)
        if left_over is not None:
            await trio.sleep(0.05)
            await stream.send_all(left_over)
            await trio.sleep(10)

    async with server(serve) as address:
        assert body_of(await client.get(address)) == b"good"
        await trio.sleep(0.2)
        assert body_of(await client.put(address)) == b"good"
        assert connections == 2
