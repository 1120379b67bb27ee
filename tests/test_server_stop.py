"""Tests the stop of one HTTP server: late, partial and excess requests, and its end."""

import errno
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

import pytest
import trio
from headcross_base.addresses import Address
from headcross_base.errorcodes import DRAINING, TOO_MANY_CONNECTIONS
from headcross_base.verdicts import NOT_RUN
from headcross_wire import listening
from headcross_wire.httpclient import RESET_ON_CLOSE
from headcross_wire.httpexchange import Exchange
from headcross_wire.httprequest import ServerLimits
from headcross_wire.httpserver import HttpServer
from headcross_wire.latearrivals import (
    FIRST_REQUEST_SECONDS,
    NEXT_REQUEST_SECONDS,
    ConnectionFacts,
    is_expected,
    may_run,
)
from headcross_wire.listening import accept_waiting_and_close, open_listener
from headcross_wire.plannedstop import LAST_REFUSALS_SECONDS, stop_server
from hypothesis import given
from hypothesis import strategies as st

REQUEST = b"POST /%s HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi"
SOCKET_TIMEOUT_SECONDS = 20.0


@dataclass
class Served:
    """A server in this process, and the targets of the requests that it handled."""

    server: HttpServer
    address: tuple[str, int]
    handled: list[str] = field(default_factory=list)
    answer_seconds: float = 0.0
    on_request: Callable[[], None] = lambda: None
    outlasts_disconnect: bool = False  # the answer is written although the caller is gone

    async def handle(self, exchange: Exchange) -> None:
        """Answer after a while."""
        self.handled.append(exchange.request.target)
        self.on_request()
        with trio.CancelScope(shield=self.outlasts_disconnect):
            await trio.sleep(self.answer_seconds)
            await exchange.respond(200, [], b"done")

    async def stop(self, accept_seconds: float, limit_seconds: float) -> float:
        """Stop the server; return the seconds that it took."""
        began = trio.current_time()
        await stop_server(
            self.server, accept_until=began + accept_seconds, end=began + limit_seconds
        )
        return trio.current_time() - began


@asynccontextmanager
async def served(limits: ServerLimits | None = None) -> AsyncIterator[Served]:
    """Run a server until the end of the context, which ends it as the process would."""
    async with trio.open_nursery() as nursery:
        result = Served(
            HttpServer(lambda exchange: result.handle(exchange), limits or ServerLimits()), ("", 0)
        )
        listeners, bound = await result.server.listen(Address("127.0.0.1", 0))
        result.address = (bound.ip, bound.port)
        nursery.start_soon(result.server.serve, listeners)
        yield result
        nursery.cancel_scope.cancel()


class Caller:
    """A caller with a blocking socket, which does not depend on the server's event loop."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address, timeout=SOCKET_TIMEOUT_SECONDS)

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.socket.sendall(data)

    def read_to_end(self) -> bytes:
        """Return what arrives before the end of the connection; a reset raises."""
        received = b""
        while data := self.socket.recv(65536):
            received += data
        return received

    def read_answer(self) -> bytes:
        """Return an answer of at most one packet."""
        return self.socket.recv(65536)

    async def read(self) -> bytes:
        """Return what arrives before the end, without blocking the event loop."""
        return await trio.to_thread.run_sync(self.read_to_end)


async def connect(result: Served) -> Caller:
    caller = await trio.to_thread.run_sync(Caller, result.address)
    await trio.sleep(0.02)
    return caller


async def idle_and_running(result: Served) -> tuple[Caller, Caller]:
    """Return a caller that had its answer, and one whose request runs for two more seconds."""
    idle = await connect(result)
    idle.send(REQUEST % b"first")
    await trio.sleep(0.1)
    assert idle.read_answer().endswith(b"done")
    running = await connect(result)
    result.answer_seconds = 2.0
    running.send(REQUEST % b"running")
    await trio.sleep(0.1)
    return idle, running


def freeze(seconds: float) -> None:
    """Block the event loop, as a stopped process would."""
    time.sleep(seconds)


def reset(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def is_refusal(answer: bytes, code: str) -> bool:
    return (
        answer.startswith(b"HTTP/1.1 503 ")
        and NOT_RUN.encode() in answer
        and code.encode() in answer
        and b"connection: close" in answer.lower()
    )


async def test_connections_that_wait_to_be_accepted_are_served_by_a_frozen_server() -> None:
    async with served() as result:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(result.stop, 0.1, 10)
            await trio.sleep(0.05)
            callers = [Caller(result.address) for _ in range(20)]
            for number, caller in enumerate(callers):
                caller.send(REQUEST % str(number).encode())
            freeze(0.3)
            answers = [await caller.read() for caller in callers]
        assert all(answer.startswith(b"HTTP/1.1 200 ") for answer in answers)
        assert sorted(result.handled) == sorted(f"/{number}" for number in range(20))


async def test_a_server_frozen_until_its_time_is_up_refuses_who_waits() -> None:
    async with served() as result:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(result.stop, 0.1, 0.4)
            await trio.sleep(0.05)
            callers = [Caller(result.address) for _ in range(20)]
            for caller in callers[:10]:
                caller.send(REQUEST % b"x")
            freeze(0.6)
        answers = [await caller.read() for caller in callers]
        refused = [answer for answer in answers if is_refusal(answer, DRAINING.code)]
        served_whole = [
            a for a in answers if a.startswith(b"HTTP/1.1 200 ") and a.endswith(b"done")
        ]
        assert len(refused) + len(served_whole) == 20
        assert len(served_whole) == len(result.handled)


async def test_the_request_of_a_new_connection_is_served_seconds_after_accepting_ended() -> None:
    async with served() as result:
        caller = await connect(result)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(result.stop, 0.0, 20)
            await trio.sleep(FIRST_REQUEST_SECONDS - 1)
            caller.send(REQUEST % b"late")
            assert (await caller.read()).startswith(b"HTTP/1.1 200 ")


async def test_a_connection_without_a_request_is_refused_within_seconds() -> None:
    async with served() as result:
        caller = await connect(result)
        caller.socket.settimeout(SOCKET_TIMEOUT_SECONDS)
        async with trio.open_nursery() as nursery:

            async def send_after_refusal() -> None:
                await trio.sleep(FIRST_REQUEST_SECONDS + 0.4)
                caller.send(REQUEST % b"late")
                assert is_refusal(await caller.read(), DRAINING.code)
                caller.socket.close()

            nursery.start_soon(send_after_refusal)
            assert await result.stop(0.0, 60) < FIRST_REQUEST_SECONDS + 2
        assert result.handled == []


async def test_a_late_request_on_a_used_connection_is_refused_while_another_one_runs() -> None:
    async with served() as result:
        caller, running = await idle_and_running(result)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(result.stop, 0.0, 20)
            await trio.sleep(NEXT_REQUEST_SECONDS + 0.3)
            caller.send(REQUEST % b"late")
            assert is_refusal(await caller.read(), DRAINING.code)
            caller.socket.close()
            assert (await running.read()).startswith(b"HTTP/1.1 200 ")
        assert result.handled == ["/first", "/running"]
        assert result.server.refused_late == 1


async def test_an_idle_used_connection_stays_open_while_another_request_runs() -> None:
    async with served() as result:
        caller, _ = await idle_and_running(result)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(result.stop, 0.0, 20)
            await trio.sleep(1.5)
            caller.socket.setblocking(False)
            with pytest.raises(BlockingIOError):
                caller.socket.recv(1)


@pytest.mark.parametrize("sent", [REQUEST[:20], REQUEST[:-1]])
async def test_a_request_that_is_not_complete_when_the_time_is_up_is_refused(sent: bytes) -> None:
    async with served() as result:
        caller = await connect(result)
        caller.send(sent)
        assert await result.stop(0.1, 1.0) <= 1.0 + 0.2
        assert is_refusal(await caller.read(), DRAINING.code)
        assert result.handled == []


async def test_callers_beyond_the_limit_of_connections_are_refused_also_in_a_stop() -> None:
    async with served(ServerLimits(max_connections=2)) as result:
        result.answer_seconds = 1.0
        kept = [await connect(result) for _ in range(2)]
        for caller in kept:
            caller.send(REQUEST % b"kept")
        excess = [await connect(result) for _ in range(5)]
        for caller in excess:
            caller.send(REQUEST % b"excess")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(result.stop, 0.1, 10)
            await trio.sleep(0.05)
            waiting = [Caller(result.address) for _ in range(5)]
            for caller in waiting:
                caller.send(REQUEST % b"waiting")
            freeze(0.2)
            for caller in [*excess, *waiting]:
                assert is_refusal(await caller.read(), TOO_MANY_CONNECTIONS.code)
                caller.socket.close()
            for caller in kept:
                assert (await caller.read()).startswith(b"HTTP/1.1 200 ")
        assert result.handled == ["/kept", "/kept"]
        assert result.server.refused_connections == 10


async def test_a_stop_ends_in_its_time_while_requests_still_run() -> None:
    async with served() as result:
        result.answer_seconds = 30.0
        caller = await connect(result)
        caller.send(REQUEST % b"running")
        await trio.sleep(0.1)
        assert await result.stop(0.1, 1.0) < 1.0 + LAST_REFUSALS_SECONDS


async def test_callers_that_come_while_the_listener_closes_are_accepted_or_cannot_connect() -> (
    None
):
    for _ in range(5):
        listener = await open_listener(Address("127.0.0.1", 0))
        address = listener.socket.getsockname()
        accepted: list[trio.SocketStream] = []
        connected: list[Caller] = []

        async def come(
            address: tuple[str, int] = address, connected: list[Caller] = connected
        ) -> None:
            with suppress(ConnectionRefusedError):
                while True:
                    connected.append(await trio.to_thread.run_sync(Caller, address))

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(come)
            while not connected:
                await trio.sleep(0.005)
            await accept_waiting_and_close(listener, accepted.append)
        assert len(connected) == len(accepted) > 0
        for stream in accepted:
            await trio.aclose_forcefully(stream)
        for caller in connected:
            assert caller.read_to_end() == b""
            caller.socket.close()


async def test_a_caller_that_resets_its_connection_before_the_answer_is_no_fault() -> None:
    async with served(ServerLimits(cancel_on_eof=True)) as result:
        caller = await connect(result)
        result.on_request = lambda: reset(caller.socket)
        result.answer_seconds = 0.1
        result.outlasts_disconnect = True
        caller.send(REQUEST % b"x")
        await trio.sleep(0.3)
        assert result.server.connections == 0 and result.server.faults == 0


async def test_a_listener_is_not_closed_while_a_caller_waits_for_lack_of_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    listener = await open_listener(Address("127.0.0.1", 0))
    caller = await trio.to_thread.run_sync(Caller, listener.socket.getsockname())
    accept_waiting = listening._accept_waiting
    failures = [OSError(errno.EMFILE, "too many open files")]

    def fail_once(
        listener: trio.SocketListener,
    ) -> tuple[list[trio.SocketStream], OSError | None]:
        return ([], failures.pop()) if failures else accept_waiting(listener)

    monkeypatch.setattr(listening, "_accept_waiting", fail_once)
    accepted: list[trio.SocketStream] = []
    assert await accept_waiting_and_close(listener, accepted.append) == len(accepted) == 1
    await trio.aclose_forcefully(accepted[0])
    caller.socket.close()


@given(
    seconds=st.floats(0, 10),
    had_request=st.booleans(),
    has_input=st.booleans(),
)
def test_a_stop_does_not_end_while_a_request_that_comes_now_would_be_run(
    seconds: float, had_request: bool, has_input: bool
) -> None:
    connection = ConnectionFacts(had_request, is_waiting=True, has_input=has_input)
    if may_run(100.0 + seconds, 100.0, had_request=had_request):
        assert is_expected(connection, 100.0 + seconds, 100.0)
