"""Reads the requests of callers: h11 over trio, within limits of size and time.

A request is read completely before it is handled. `RequestRefused` says why one is not accepted;
such a request has not run.
"""

from dataclasses import dataclass, replace
from typing import Final

import h11
import trio
from headcross_base.decoding import parse_whole_number
from headcross_base.errorcodes import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    NO_MEMORY,
    REQUEST_TIMEOUT,
    ErrorCode,
)

from headcross_wire.bodymemory import RequestMemory
from headcross_wire.decodepace import DecodePace
from headcross_wire.httpcodec import RECEIVE_BYTES, Headers

# A refused caller may come back soon, since another process can serve it.
MEMORY_RETRY_SECONDS: Final = 0.2
MAX_HEADER_BYTES: Final = 32 * 1024
# The status that h11 suggests if the headers exceed its limit.
STATUS_HEADERS_TOO_LARGE: Final = 431


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


class RequestRefused(Exception):
    """A request violates the standard or a limit, or there is no memory for it."""

    kind: ErrorCode
    detail: str
    retry_after_seconds: float | None

    def __init__(
        self, kind: ErrorCode, detail: str = "", retry_after_seconds: float | None = None
    ) -> None:
        super().__init__(kind.code)
        self.kind = kind
        self.detail = detail
        self.retry_after_seconds = retry_after_seconds


class HeldRequest:
    """What bounds one request: the memory for its body, and the pace at which it is decoded."""

    pace: DecodePace
    # The request without its body, None until its head was read.
    head: Request | None

    def __init__(self, memory: RequestMemory | None, pace: DecodePace) -> None:
        self.pace = pace
        self.head = None
        self._memory = memory
        self._reserved = 0

    async def grow(self, size: int) -> None:
        """Reserve memory for a body of this size; raise RequestRefused if there is none."""
        more = size - self._reserved
        if self._memory is None or more <= 0:
            return
        if not await self._memory.reserve(more):
            raise RequestRefused(NO_MEMORY, f"{size} bytes", MEMORY_RETRY_SECONDS)
        self._reserved += more

    def release(self) -> None:
        """Give the memory back."""
        if self._memory is not None:
            self._memory.release(self._reserved)
        self._reserved = 0


async def read_request(
    connection: h11.Connection,
    stream: trio.SocketStream,
    limits: ServerLimits,
    held: HeldRequest,
) -> Request | None:
    """Read a request of which at least one byte has arrived; `held` bounds what it takes.

    Returns None if the caller ended the connection. Raises RequestRefused, or trio's errors if the
    connection breaks.
    """
    try:
        with trio.fail_after(limits.header_seconds):
            head = await _read_event(connection, stream)
        if not isinstance(head, h11.Request):
            return None
        held.head = _make_request(head, b"")
        _check_head(head, limits)
        with trio.fail_after(limits.receive_seconds):
            await held.grow(_stated_length(head, limits))
            body = await _read_body(connection, stream, limits.max_body_bytes, held)
    except h11.RemoteProtocolError as error:
        too_large = error.error_status_hint == STATUS_HEADERS_TOO_LARGE
        raise RequestRefused(HEADERS_TOO_LARGE if too_large else BAD_REQUEST, str(error)) from None
    except trio.TooSlowError:
        raise RequestRefused(REQUEST_TIMEOUT) from None
    return None if body is None else replace(held.head, body=body)


async def wait_disconnect(connection: h11.Connection, stream: trio.SocketStream) -> None:
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


def _stated_length(head: h11.Request, limits: ServerLimits) -> int:
    """Return the length that a request states for its body, 0 if none or too large a one."""
    text = next((value for name, value in head.headers if name == b"content-length"), b"")
    length = parse_whole_number(text.decode("latin-1")) or 0
    return length if length <= limits.max_body_bytes else 0


async def _read_body(
    connection: h11.Connection, stream: trio.SocketStream, max_bytes: int, held: HeldRequest
) -> bytes | None:
    """Read a request's body; return None if the caller ended the connection within it."""
    body = bytearray()
    while True:
        event = await _read_event(connection, stream)
        held.pace.note(1)
        await held.pace.wait()
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            return None
        body += event.data
        if len(body) > max_bytes:
            raise RequestRefused(BODY_TOO_LARGE)
        await held.grow(len(body))


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


def _check_head(head: h11.Request, limits: ServerLimits) -> None:
    """Refuse headers that are too long or that allow request smuggling by two body lengths."""
    size = sum(len(name) + len(value) + 4 for name, value in head.headers) + len(head.target)
    if size > limits.max_header_bytes:
        raise RequestRefused(HEADERS_TOO_LARGE, f"{size} bytes")
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise RequestRefused(BAD_REQUEST, "both a length and a transfer encoding")


def _make_request(head: h11.Request, body: bytes) -> Request:
    headers = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers]
    return Request(head.method.decode("ascii"), head.target.decode("latin-1"), headers, body)
