"""An HTTP/1.1 server: h11 over trio, one task per connection.

A request is read completely before the handler runs, within limits of size and time, so that the
handler may forward it more than once. A request that violates the standard or a limit gets a 4xx
status and the connection is closed. An answer may be sent at once or as a stream.

The first write that fails after a caller disconnected raises `CallerGone` in the handler. With
`ServerLimits.cancel_on_eof` the handler is also cancelled as soon as the caller closes its sending
half; without it such a caller still gets its answer.
"""

import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

import h11
import msgspec
import trio
from headcross_base.addresses import Address
from headcross_base.errorcodes import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    REQUEST_TIMEOUT,
    ErrorCode,
)
from headcross_base.verdicts import NOT_RUN, VERDICT_HEADER

from headcross_wire.httpcodec import RECEIVE_BYTES, Headers

MAX_HEADER_BYTES: Final = 32 * 1024
ACCEPT_BACKLOG: Final = 512
# How long a connection without a request stays open while the server closes.
CLOSING_IDLE_SECONDS: Final = 0.5

logger = logging.getLogger(__name__)


class BindError(Exception):
    """An address cannot be bound, most likely because another process uses it."""


class CallerGone(Exception):
    """The caller's connection broke or stalled while the answer was written."""


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of one listener."""

    max_body_bytes: int = 8 * 1024 * 1024
    receive_seconds: float = 20.0  # for the body, once the headers are read
    idle_seconds: float = 75.0  # between two requests
    write_seconds: float = 30.0  # for one write of the answer
    max_connections: int = 4096
    max_header_bytes: int = MAX_HEADER_BYTES
    header_seconds: float = 20.0  # for the headers of a request, from its first byte
    cancel_on_eof: bool = False  # treat a half-closed connection as a disconnect


@dataclass(frozen=True, slots=True)
class Request:
    """One complete request."""

    method: str
    target: str  # path and query as sent by the caller
    headers: Headers  # names in lower case
    body: bytes

    @property
    def path(self) -> str:
        """Target without the query."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str | None:
        """Return the first header of that name (lower case), or None."""
        return next((value for key, value in self.headers if key == name), None)


@dataclass(slots=True)
class Exchange:
    """A request and the methods that answer it."""

    request: Request
    _connection: h11.Connection
    _stream: trio.abc.Stream
    _limits: ServerLimits
    _closes_connection: bool = False  # the connection is closed after the answer
    started: bool = field(default=False)  # whether the status line was sent

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        await self.start(status, [*headers, ("content-length", str(len(body)))])
        if body:
            await self.send(body)
        await self.finish()

    async def respond_json(
        self, status: int, value: object, headers: Headers | None = None
    ) -> None:
        """Send a complete answer with `value` encoded as JSON."""
        body = msgspec.json.encode(value)
        await self.respond(status, [("content-type", "application/json"), *(headers or [])], body)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status line and headers of an answer."""
        self.started = True
        if self._closes_connection:
            headers = [*headers, ("connection", "close")]
        await self._write(h11.Response(status_code=status, headers=_encode(headers)))

    async def send(self, data: bytes) -> None:
        """Send a piece of the body."""
        await self._write(h11.Data(data=data))

    async def finish(self) -> None:
        """End the answer."""
        await self._write(h11.EndOfMessage())

    @property
    def peer_ip(self) -> str:
        """IP address of the caller; empty if it is unknown."""
        if not isinstance(self._stream, trio.SocketStream):
            return ""
        return str(self._stream.socket.getpeername()[0])

    async def abort(self) -> None:
        """Close the connection at once, so that the caller sees a truncated answer."""
        await trio.aclose_forcefully(self._stream)

    async def _write(self, event: h11.Response | h11.Data | h11.EndOfMessage) -> None:
        data = self._connection.send(event)
        if not data:
            return
        try:
            with trio.fail_after(self._limits.write_seconds):
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError) as error:
            raise CallerGone(str(error)) from None


HttpHandler = Callable[[Exchange], Awaitable[None]]


class HttpServer:
    """Serves HTTP on one listener."""

    # Number of open connections.
    connections: int
    # Number of requests refused because they violate the standard or a limit.
    malformed: int
    # Number of requests whose handler raised an unexpected exception.
    faults: int
    # Limits for requests; new ones apply to requests that are read after they are set.
    limits: ServerLimits
    # Whether every answer has `Connection: close`.
    sends_connection_close: bool

    def __init__(self, handler: HttpHandler, limits: ServerLimits) -> None:
        self.connections = 0
        self.malformed = 0
        self.faults = 0
        self.limits = limits
        self.sends_connection_close = False
        self._handler = handler
        self._closing = False
        self._all_closed = trio.Event()
        self._idle_scopes: set[trio.CancelScope] = set()

    async def listen(self, address: Address) -> tuple[list[trio.SocketListener], Address]:
        """Bind; return the listeners and the address with the assigned port.

        Raises BindError if the address cannot be bound.
        """
        try:
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.ip, backlog=ACCEPT_BACKLOG
            )
        except OSError as error:
            raise BindError(f"{address}: {error}") from None
        return listeners, Address(address.ip, listeners[0].socket.getsockname()[1])

    async def serve(
        self, listeners: Sequence[trio.SocketListener], nursery: trio.Nursery | None = None
    ) -> None:
        """Accept connections until cancelled; open ones continue if they run in `nursery`."""
        await trio.serve_listeners(
            self._serve_connection, list(listeners), handler_nursery=nursery
        )

    def close_idle(self) -> None:
        """Close idle connections within CLOSING_IDLE_SECONDS, and others after their answer.

        The delay allows for requests that are in transit when this is called: they are served.
        """
        self._closing = True
        for scope in self._idle_scopes:
            scope.deadline = min(scope.deadline, trio.current_time() + CLOSING_IDLE_SECONDS)

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        while self.connections:
            self._all_closed = trio.Event()
            await self._all_closed.wait()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        if self.connections >= self.limits.max_connections:
            await trio.aclose_forcefully(stream)
            return
        self.connections += 1
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes
        )
        try:
            while await self._serve_request(connection, stream):
                connection.start_next_cycle()
        except CallerGone:
            pass
        except Exception:
            # A fault in one request must not end the other connections.
            self.faults += 1
            logger.exception("handler failed")
        finally:
            await _close_gracefully(stream)
            self.connections -= 1
            if not self.connections:
                self._all_closed.set()

    async def _serve_request(self, connection: h11.Connection, stream: trio.SocketStream) -> bool:
        """Serve one request; return whether the connection can be reused."""
        try:
            request = await self._read_request(connection, stream)
        except h11.RemoteProtocolError as error:
            kind = HEADERS_TOO_LARGE if error.error_status_hint == 431 else BAD_REQUEST
            await self._refuse(connection, stream, kind, str(error))
            return False
        except _RefusedError as error:
            await self._refuse(connection, stream, error.kind, error.detail)
            return False
        except trio.TooSlowError:
            await self._refuse(connection, stream, REQUEST_TIMEOUT, "")
            return False
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        if request is None:
            return False
        closes_connection = self._closing or self.sends_connection_close
        exchange = Exchange(request, connection, stream, self.limits, closes_connection)
        if self.limits.cancel_on_eof:
            await self._handle_until_eof(exchange, connection, stream)
        else:
            await self._handler(exchange)
        done = connection.our_state is h11.DONE and connection.their_state is h11.DONE
        return done and not self._closing

    async def _handle_until_eof(
        self, exchange: Exchange, connection: h11.Connection, stream: trio.SocketStream
    ) -> None:
        """Run the handler; cancel it if the caller disconnects."""
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                await _wait_disconnect(connection, stream)
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            await self._handler(exchange)
            nursery.cancel_scope.cancel()

    async def _read_request(
        self, connection: h11.Connection, stream: trio.SocketStream
    ) -> Request | None:
        if not connection.trailing_data[0] and not await self._wait_first_byte(connection, stream):
            return None
        with trio.fail_after(self.limits.header_seconds):
            head = await _read_event(connection, stream)
        if not isinstance(head, h11.Request):
            return None
        _check_head(head, self.limits)
        body = bytearray()
        with trio.fail_after(self.limits.receive_seconds):
            while True:
                event = await _read_event(connection, stream)
                if isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > self.limits.max_body_bytes:
                        raise _RefusedError(BODY_TOO_LARGE)
                elif isinstance(event, h11.EndOfMessage):
                    return _make_request(head, bytes(body))
                else:
                    return None

    async def _wait_first_byte(
        self, connection: h11.Connection, stream: trio.SocketStream
    ) -> bool:
        seconds = CLOSING_IDLE_SECONDS if self._closing else self.limits.idle_seconds
        with trio.move_on_after(seconds) as scope:
            self._idle_scopes.add(scope)
            try:
                data = await stream.receive_some(RECEIVE_BYTES)
            finally:
                self._idle_scopes.discard(scope)
        if scope.cancelled_caught or not data:
            return False
        connection.receive_data(data)
        return True

    async def _refuse(
        self, connection: h11.Connection, stream: trio.SocketStream, kind: ErrorCode, detail: str
    ) -> None:
        self.malformed += 1
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        exchange = Exchange(Request("", "", [], b""), connection, stream, self.limits)
        body = {"code": kind.code, "text": kind.text, "detail": detail, "verdict": NOT_RUN}
        headers = [(VERDICT_HEADER, NOT_RUN), ("connection", "close")]
        await exchange.respond_json(kind.status, body, headers)


class _RefusedError(Exception):
    """A request is refused before it is read completely."""

    kind: ErrorCode
    detail: str

    def __init__(self, kind: ErrorCode, detail: str = "") -> None:
        super().__init__(kind.code)
        self.kind = kind
        self.detail = detail


async def _read_event(connection: h11.Connection, stream: trio.SocketStream) -> object:
    """Return the next event of a request, reading from the stream as needed."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        if connection.they_are_waiting_for_100_continue:
            reply = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(connection.send(reply))
        connection.receive_data(await stream.receive_some(RECEIVE_BYTES))


async def _wait_disconnect(connection: h11.Connection, stream: trio.SocketStream) -> None:
    """Return when the caller disconnects; buffer up to RECEIVE_BYTES of pipelined input."""
    while len(connection.trailing_data[0]) < RECEIVE_BYTES:
        try:
            data = await stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        if not data:
            return
        connection.receive_data(data)
    await trio.sleep_forever()


def _check_head(head: h11.Request, limits: ServerLimits) -> None:
    """Refuse headers that are too long or that allow request smuggling by two body lengths."""
    size = sum(len(name) + len(value) + 4 for name, value in head.headers) + len(head.target)
    if size > limits.max_header_bytes:
        raise _RefusedError(HEADERS_TOO_LARGE, f"{size} bytes")
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise _RefusedError(BAD_REQUEST, "both a length and a transfer encoding")


def _make_request(head: h11.Request, body: bytes) -> Request:
    headers = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers]
    return Request(head.method.decode("ascii"), head.target.decode("latin-1"), headers, body)


def _encode(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]


async def _close_gracefully(stream: trio.SocketStream) -> None:
    """Close without a reset, which could discard an error answer before the caller reads it."""
    with trio.move_on_after(1.0) as scope:
        scope.shield = True
        try:
            await stream.send_eof()
            while await stream.receive_some(RECEIVE_BYTES):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
    await trio.aclose_forcefully(stream)
