"""An HTTP/1.1 server: h11 over trio, one task per connection.

A request is read completely before the handler runs, within limits of size and time, so that the
handler may forward it more than once. A request that violates the standard or a limit gets a 4xx
status and the connection is closed. An answer may be sent at once or as a stream.

A handler that fails unexpectedly costs its own request only: the caller is told that it may have
run, and the connection is closed.

The first write that fails after a caller disconnected raises `CallerGone` in the handler. With
`ServerLimits.cancel_on_eof` the handler is also cancelled as soon as the caller closes its sending
half; without it such a caller still gets its answer.

A server stops in steps (see `plannedstop`). While the process lives, whoever could connect gets an
answer: a whole one, or a refusal that says that the request has not run.
"""

import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

import h11
import msgspec
import trio
from headcross_base.addresses import Address
from headcross_base.errorcodes import DRAINING, INTERNAL_ERROR, NO_MEMORY, TOO_MANY_CONNECTIONS
from headcross_base.verdicts import MAY_HAVE_RUN, VERDICT_HEADER, NotRun

from headcross_wire.bodymemory import RequestMemory
from headcross_wire.decodepace import DecodePace
from headcross_wire.httpcodec import RECEIVE_BYTES
from headcross_wire.httpexchange import CallerGone, Exchange, send_plain_refusal
from headcross_wire.httprequest import (
    HeldRequest,
    Request,
    RequestRefused,
    ServerLimits,
    read_request,
    wait_disconnect,
)
from headcross_wire.latearrivals import ConnectionFacts, is_expected, may_run
from headcross_wire.listening import (
    accept_until_cancelled,
    accept_waiting_and_close,
    open_listener,
)

# How long a closed connection is read for the caller's end of it. Closing with unread bytes would
# reset it, which could discard an answer before the caller reads it.
CLOSE_SECONDS: Final = 1.0
# Connections beyond the limit that are refused at once; further ones wait to be accepted.
MAX_EXCESS_CONNECTIONS: Final = 128
# How often a stopping server checks whether a request is still to come.
QUIET_CHECK_SECONDS: Final = 0.05
# A refused caller may come back soon, since another process can serve it.
RETRY_AFTER_SECONDS: Final = 0.02
MAX_LOGGED_TARGET: Final = 200
INTERNAL_ERROR_BODY: Final = msgspec.json.encode(
    {"code": INTERNAL_ERROR.code, "text": INTERNAL_ERROR.text, "verdict": MAY_HAVE_RUN}
)
STOPPING: Final = NotRun(DRAINING, "this process stops", RETRY_AFTER_SECONDS)

logger = logging.getLogger(__name__)


HttpHandler = Callable[[Exchange], Awaitable[None]]
# Answers a request that the server itself refuses; it has not run.
RefusalSender = Callable[[Exchange, NotRun], Awaitable[None]]
# Called with the head of a request whose caller left before its body was complete.
UnreadObserver = Callable[[Request], None]


@dataclass(eq=False, slots=True)
class _Connection:
    """One connection of a caller."""

    stream: trio.SocketStream
    codec: h11.Connection
    pace: DecodePace = field(default_factory=DecodePace)
    had_request: bool = False  # a request was read from it completely
    is_waiting: bool = True  # for the first byte of a request
    # Cancelled if the server stops before a request is read; None while none is read or awaited.
    reading: trio.CancelScope | None = None
    # Set once all answers were sent and the connection is only closed.
    closing: trio.Event = field(default_factory=trio.Event)

    @property
    def is_idle(self) -> bool:
        """Whether it had a request and waits for the next one."""
        return self.had_request and self.is_waiting

    @property
    def facts(self) -> ConnectionFacts:
        """What decides whether a stopping server waits for this connection."""
        is_waiting = self.is_waiting and not self.closing.is_set()
        return ConnectionFacts(self.had_request, is_waiting, is_waiting and self.has_input())

    def has_input(self) -> bool:
        """Return whether bytes have arrived that were not read yet."""
        return bool(self.codec.trailing_data[0]) or self.stream.socket.is_readable()


class HttpServer:
    """Serves HTTP on one listener."""

    # Number of requests refused because they violate the standard or a limit.
    malformed: int
    # Number of requests or connections whose handling raised an unexpected exception.
    faults: int
    # Number of connections refused because there were too many.
    refused_connections: int
    # Number of requests refused because they came after the server had stopped accepting.
    refused_late: int
    # Limits for requests; new ones apply to requests that are read after they are set.
    limits: ServerLimits

    def __init__(
        self,
        handler: HttpHandler,
        limits: ServerLimits,
        send_refusal: RefusalSender = send_plain_refusal,
        memory: RequestMemory | None = None,
        observe_unread: UnreadObserver = lambda request: None,
    ) -> None:
        """Serve with `handler`; the bodies of all requests together fit into `memory`."""
        self.malformed = 0
        self.faults = 0
        self.refused_connections = 0
        self.refused_late = 0
        self.limits = limits
        self._handler = handler
        self._send_refusal = send_refusal
        self._memory = memory
        self._observe_unread = observe_unread
        self._connections: set[_Connection] = set()
        # Connections beyond the limit, which are being refused.
        self._excess_connections: set[_Connection] = set()
        self._acceptors: list[_Acceptor] = []
        self._accept_ended_at: float | None = None
        # Set, and replaced, when a connection is closed.
        self._connection_closed = trio.Event()
        self._announces_close = False

    @property
    def connections(self) -> int:
        """Number of open connections that are served."""
        return len(self._connections)

    async def listen(self, address: Address) -> tuple[list[trio.SocketListener], Address]:
        """Bind; return the listeners and the address with the assigned port.

        Raises BindError if the address cannot be bound.
        """
        listener = await open_listener(address)
        return [listener], Address(address.ip, listener.socket.getsockname()[1])

    async def serve(self, listeners: Sequence[trio.SocketListener]) -> None:
        """Accept connections until `stop_accepting`; return once all of them are closed."""
        async with trio.open_nursery() as nursery:
            for listener in listeners:
                nursery.start_soon(self._accept, listener, nursery)

    # Steps of a stop; `plannedstop` takes them in this order.

    def announce_close(self) -> None:
        """Tell callers, with each answer that begins from now on, to reuse no connection."""
        self._announces_close = True

    async def stop_accepting(self) -> int:
        """Close the listeners once all established connections are accepted.

        Returns the number of those that were waiting to be accepted.
        """
        waiting = 0
        try:
            for acceptor in self._acceptors:
                acceptor.scope.cancel()
                await acceptor.ended.wait()
                waiting += acceptor.waiting
        finally:
            self._accept_ended_at = trio.current_time()
        return waiting

    async def wait_quiet(self) -> None:
        """Wait until no request is read or answered, and none is to come that would be run."""
        while not self._is_quiet():
            with trio.move_on_after(QUIET_CHECK_SECONDS):
                await self._connection_closed.wait()

    async def refuse_unread(self) -> int:
        """Refuse all requests that were not read completely; return their number.

        A connection that had no request yet gets a refusal too, as its request may be under way.
        One that had a request and is idle stays open until the process ends.
        """
        unread = [c for c in self._connections if c.reading is not None and not c.is_idle]
        for connection in unread:
            assert connection.reading is not None
            connection.reading.cancel()
        for connection in unread:
            await connection.closing.wait()
        return len(unread)

    def _is_quiet(self) -> bool:
        assert self._accept_ended_at is not None
        now, ended_at = trio.current_time(), self._accept_ended_at
        expected = any(is_expected(c.facts, now, ended_at) for c in self._connections)
        return not expected and not self._excess_connections

    # Connections.

    async def _accept(self, listener: trio.SocketListener, nursery: trio.Nursery) -> None:
        acceptor = _Acceptor()
        self._acceptors.append(acceptor)

        def accepted(stream: trio.SocketStream) -> None:
            self._start_connection(stream, nursery)

        async with listener:
            with acceptor.scope:
                await accept_until_cancelled(listener, accepted, self._wait_refusals)
            acceptor.waiting = await accept_waiting_and_close(listener, accepted)
        acceptor.ended.set()

    def _start_connection(self, stream: trio.SocketStream, nursery: trio.Nursery) -> None:
        codec = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes)
        connection = _Connection(stream, codec)
        if len(self._connections) < self.limits.max_connections:
            self._connections.add(connection)
            nursery.start_soon(self._run_connection, connection, self._serve_requests)
        else:
            self.refused_connections += 1
            self._excess_connections.add(connection)
            nursery.start_soon(self._run_connection, connection, self._refuse_excess)

    async def _wait_refusals(self) -> None:
        """Wait until not too many connections beyond the limit are being refused."""
        while len(self._excess_connections) >= MAX_EXCESS_CONNECTIONS:
            await self._connection_closed.wait()

    async def _run_connection(
        self, connection: _Connection, serve: Callable[[_Connection], Awaitable[None]]
    ) -> None:
        try:
            await serve(connection)
        except* CallerGone:
            pass
        except* Exception:
            # A fault in one connection must not end the others.
            self.faults += 1
            logger.exception("connection failed")
        finally:
            connection.closing.set()
            # The rest of a refused body is read, so that its caller can read the refusal.
            in_body = connection.codec.their_state is h11.SEND_BODY
            seconds = self.limits.receive_seconds if in_body else CLOSE_SECONDS
            await _close_gracefully(connection.stream, seconds)
            self._connections.discard(connection)
            self._excess_connections.discard(connection)
            self._connection_closed.set()
            self._connection_closed = trio.Event()

    async def _refuse_excess(self, connection: _Connection) -> None:
        """Refuse the request of a connection beyond the limit without reading it."""
        await self._refuse(connection, NotRun(TOO_MANY_CONNECTIONS, "", RETRY_AFTER_SECONDS))

    async def _serve_requests(self, connection: _Connection) -> None:
        while await self._serve_request(connection):
            connection.codec.start_next_cycle()

    async def _serve_request(self, connection: _Connection) -> bool:
        """Serve one request; return whether the connection can be reused."""
        held = HeldRequest(self._memory, connection.pace)
        try:
            return await self._serve_held_request(connection, held)
        finally:
            held.release()

    async def _serve_held_request(self, connection: _Connection, held: HeldRequest) -> bool:
        arrival: _Arrival | None = None
        try:
            with trio.CancelScope() as reading:
                connection.reading = reading
                arrival = await self._receive(connection, held)
        except RequestRefused as error:
            self.malformed += error.kind is not NO_MEMORY
            refusal = NotRun(error.kind, error.detail, error.retry_after_seconds)
            await self._refuse(connection, refusal, held.head)
            return False
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._note_unread(held)
            return False
        finally:
            connection.reading = None
        if reading.cancelled_caught:
            await self._refuse(connection, STOPPING, held.head)
            return False
        if arrival is None:
            self._note_unread(held)
            return False
        connection.had_request = True
        if not arrival.may_run:
            self.refused_late += 1
            await self._refuse(connection, STOPPING, arrival.request)
            return False
        return await self._answer(connection, arrival.request)

    def _note_unread(self, held: HeldRequest) -> None:
        if held.head is not None:
            self._observe_unread(held.head)

    async def _answer(self, connection: _Connection, request: Request) -> bool:
        """Have the handler answer a request; return whether the connection can be reused."""
        codec = connection.codec
        exchange = Exchange(
            request, codec, connection.stream, self.limits, lambda: self._announces_close
        )
        if self.limits.cancel_on_eof:
            await self._handle_until_eof(exchange, connection)
        else:
            await self._handle(exchange)
        return codec.our_state is h11.DONE and codec.their_state is h11.DONE

    async def _handle(self, exchange: Exchange) -> None:
        """Run the handler; if it fails unexpectedly, its caller still gets an answer.

        What it had already written cannot be completed: the caller sees a truncated answer.
        """
        failed = False
        try:
            await self._handler(exchange)
        except* CallerGone:
            raise
        except* Exception:
            failed = True
            self.faults += 1
            target = exchange.request.target[:MAX_LOGGED_TARGET]
            logger.exception("handler failed", extra={"target": target})
        if not failed:
            return
        if exchange.started:
            await exchange.abort()
            return
        headers = [("content-type", "application/json"), (VERDICT_HEADER, MAY_HAVE_RUN)]
        await exchange.respond_after_failure(INTERNAL_ERROR.status, headers, INTERNAL_ERROR_BODY)

    async def _handle_until_eof(self, exchange: Exchange, connection: _Connection) -> None:
        """Run the handler; cancel it if the caller disconnects."""
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                await wait_disconnect(connection.codec, connection.stream)
                exchange.caller_left = True
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            await self._handle(exchange)
            nursery.cancel_scope.cancel()

    async def _receive(self, connection: _Connection, held: HeldRequest) -> "_Arrival | None":
        """Read the next request; return None if the caller sends none."""
        connection.is_waiting = True
        if not await self._wait_first_byte(connection):
            return None
        connection.is_waiting = False
        runs = may_run(
            trio.current_time(), self._accept_ended_at, had_request=connection.had_request
        )
        request = await read_request(connection.codec, connection.stream, self.limits, held)
        return None if request is None else _Arrival(request, runs)

    async def _wait_first_byte(self, connection: _Connection) -> bool:
        """Wait for a request to begin; return whether it did before the idle timeout."""
        if connection.codec.trailing_data[0]:
            return True
        data = b""
        with trio.move_on_after(self.limits.idle_seconds) as scope:
            data = await connection.stream.receive_some(RECEIVE_BYTES)
        if scope.cancelled_caught and connection.has_input():
            # Bytes arrived in time; this process looked late.
            data = await connection.stream.receive_some(RECEIVE_BYTES)
        if not data:
            return False
        connection.codec.receive_data(data)
        return True

    async def _refuse(
        self, connection: _Connection, refusal: NotRun, request: Request | None = None
    ) -> None:
        """Refuse a request as not run; `request` is None if its head was not read."""
        if connection.codec.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        exchange = Exchange(
            request or Request("", "", [], b""),
            connection.codec,
            connection.stream,
            self.limits,
            lambda: True,
        )
        await self._send_refusal(exchange, refusal)


@dataclass(frozen=True, slots=True)
class _Arrival:
    """A request that was read."""

    request: Request
    may_run: bool  # it arrived before the server had stopped for long


@dataclass(slots=True)
class _Acceptor:
    """The task that accepts connections of one listener."""

    scope: trio.CancelScope = field(default_factory=trio.CancelScope)  # of accepting
    ended: trio.Event = field(default_factory=trio.Event)  # the listener is closed
    waiting: int = 0  # connections that were accepted as the listener was closed


async def _close_gracefully(stream: trio.SocketStream, seconds: float) -> None:
    """Close without a reset, which could discard an error answer before the caller reads it.

    What the caller still sends is read for some seconds.
    """
    try:
        with trio.move_on_after(seconds):
            await stream.send_eof()
            while await stream.receive_some(RECEIVE_BYTES):
                pass
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    finally:
        await trio.aclose_forcefully(stream)
