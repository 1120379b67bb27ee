"""An HTTP/1.1 client: h11 over trio, in steps, so that the caller knows how far a request got.

The steps are those a verdict needs: `connect` may fail and nothing was sent; from the first byte
`send` writes, the request may run; `Answer` is then read piece by piece.
"""

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from contextvars import ContextVar
from dataclasses import dataclass
from types import TracebackType
from typing import Final

import h11
import trio
from headcross_base.addresses import Address
from headcross_base.errorcodes import CONNECT_FAILED, LINK_LOST
from headcross_base.errors import Failure, Ok

from headcross_wire.httpserver import RECEIVE_BYTES, Headers

# Closing then drops what is still to be sent and resets the connection (socket(7)).
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
CONNECT_SECONDS: Final = 2.0
IDLE_SECONDS: Final = 20.0  # an idle connection older than this is not used again
MAX_IDLE_PER_ADDRESS: Final = 16  # kept for one address

# The IP number that connections of this process come from; None lets the system choose. Set once
# at the start from the settings; tasks inherit it.
SOURCE_IP: Final[ContextVar[str | None]] = ContextVar("SOURCE_IP", default=None)


class ConnectError(Exception):
    """No connection; nothing of the request has left this process."""


class LinkLostError(Exception):
    """The connection broke after the request may have left."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and headers of an answer whose body is still to come."""

    status: int
    headers: Headers  # names in lower case

    def header(self, name: str) -> str | None:
        """Return the first header of that name (lower case), or None."""
        return next((value for key, value in self.headers if key == name), None)


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer with its whole body."""

    status: int
    headers: Headers
    body: bytes


class HttpConnection:
    """One connection to one address, used for one request at a time."""

    def __init__(self, stream: trio.SocketStream, address: Address) -> None:
        self.address = address
        self.idle_since = trio.current_time()
        self._stream = stream
        self._connection = h11.Connection(h11.CLIENT)

    async def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Write a whole request; raise LinkLostError if that breaks."""
        names = {name.lower() for name, _ in headers}
        extra = [] if "host" in names else [("host", str(self.address))]
        if body or method in ("POST", "PUT"):
            extra.append(("content-length", str(len(body))))
        encoded = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in [*extra, *headers]]
        parts = [
            self._connection.send(h11.Request(method=method, target=target, headers=encoded)),
            self._connection.send(h11.Data(data=body)) if body else b"",
            self._connection.send(h11.EndOfMessage()),
        ]
        try:
            await self._stream.send_all(b"".join(part for part in parts if part))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkLostError(str(error)) from None

    async def receive_answer(self) -> Answer:
        """Wait for status and headers."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in event.headers]
                return Answer(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise LinkLostError("the link closed before an answer")

    async def receive_piece(self) -> bytes | None:
        """Return the next piece of the body, None at its end; raise if it breaks off.

        A call that is cancelled has consumed nothing, so it may simply be made again.
        """
        event = await self._next_event()
        if isinstance(event, h11.EndOfMessage):
            return None
        if not isinstance(event, h11.Data):
            raise LinkLostError("the link closed within the answer")
        return bytes(event.data)

    def reusable(self) -> bool:
        """Tell whether the last exchange ended so that another may follow."""
        states = (self._connection.our_state, self._connection.their_state)
        if states != (h11.DONE, h11.DONE) or self._connection.trailing_data[0]:
            return False
        self._connection.start_next_cycle()
        self.idle_since = trio.current_time()
        return True

    def has_no_input(self) -> bool:
        """Tell whether nothing has come on an idle connection: no end, no stray bytes."""
        return not self._stream.socket.is_readable()

    async def close(self) -> None:
        """Close at once."""
        await trio.aclose_forcefully(self._stream)

    async def abandon(self) -> None:
        """Close with a reset: what has not left yet never will, and nothing more is wanted."""
        with suppress(OSError):
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await trio.aclose_forcefully(self._stream)

    async def _next_event(self) -> object:
        try:
            while True:
                event = self._connection.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._connection.receive_data(await self._stream.receive_some(RECEIVE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkLostError(str(error)) from None
        except h11.RemoteProtocolError as error:
            raise LinkLostError(f"broken answer: {error}") from None


async def connect(address: Address, seconds: float = CONNECT_SECONDS) -> HttpConnection:
    """Open a connection; raise ConnectError if there is none within `seconds`."""
    try:
        with trio.fail_after(seconds):
            stream = await trio.open_tcp_stream(
                address.ip, address.port, local_address=SOURCE_IP.get()
            )
    except (OSError, trio.TooSlowError) as error:
        raise ConnectError(f"{address}: {error or 'timed out'}") from None
    return HttpConnection(stream, address)


class ConnectionPool:
    """Idle connections, for requests that may be sent again if one turns out to be dead."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[HttpConnection]] = {}

    async def take(self, address: Address) -> HttpConnection:
        """Return an idle connection or a new one."""
        return await self.take_idle(address) or await connect(address)

    async def take_idle(self, address: Address) -> HttpConnection | None:
        """Return an idle connection that seems alive, if there is one."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            fresh = trio.current_time() - connection.idle_since < IDLE_SECONDS
            if fresh and connection.has_no_input():
                return connection
            await connection.close()
        return None

    async def give(self, connection: HttpConnection) -> None:
        """Take a connection back after use; close it if it cannot be used again."""
        idle = self._idle.setdefault(connection.address, [])
        if connection.reusable() and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
        else:
            await connection.close()


class _Closing:
    """Closes a connection when a block ends."""

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection

    async def __aenter__(self) -> HttpConnection:
        return self._connection

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._connection.close()


def closing(connection: HttpConnection) -> _Closing:
    """Use as `async with closing(await connect(...)) as connection`."""
    return _Closing(connection)


async def call_idempotent(
    pool: ConnectionPool,
    address: Address,
    method: str,
    target: str,
    *,
    body: bytes = b"",
    seconds: float,
    max_bytes: int,
) -> Ok[WholeAnswer] | Failure:
    """Make one whole call that may be made twice, on a kept connection if there is one."""
    connection = await pool.take_idle(address)
    if connection is not None:
        until = trio.current_time() + seconds
        outcome = await _call_on(pool, connection, method, target, body, until, max_bytes)
        if not isinstance(outcome, Failure):
            return outcome
    until = trio.current_time() + seconds
    try:
        connection = await connect(address, seconds)
    except ConnectError as error:
        return Failure(CONNECT_FAILED, str(error))
    return await _call_on(pool, connection, method, target, body, until, max_bytes)


async def call_once(
    pool: ConnectionPool,
    address: Address,
    method: str,
    target: str,
    *,
    body: bytes = b"",
    seconds: float,
    max_bytes: int,
) -> Ok[WholeAnswer] | Failure:
    """Make one whole call that is not repeated, on a kept connection if there is one.

    Only after a failure to connect is it certain that nothing of it has left.
    """
    until = trio.current_time() + seconds
    connection = await pool.take_idle(address)
    if connection is None:
        try:
            connection = await connect(address, seconds)
        except ConnectError as error:
            return Failure(CONNECT_FAILED, str(error))
    return await _call_on(pool, connection, method, target, body, until, max_bytes)


async def _call_on(
    pool: ConnectionPool,
    connection: HttpConnection,
    method: str,
    target: str,
    body: bytes,
    until: float,
    max_bytes: int,
) -> Ok[WholeAnswer] | Failure:
    """Make one whole call on a connection until a time (trio's), and keep the connection after."""
    try:
        with trio.fail_at(until):
            answer = await exchange(connection, method, target, [], body, max_bytes)
    except LinkLostError as error:
        await connection.close()
        return Failure(LINK_LOST, f"{connection.address}{target}: {error}")
    except trio.TooSlowError:
        await connection.close()
        return Failure(LINK_LOST, f"{connection.address}{target}: no whole answer in time")
    except BaseException:
        await connection.close()
        raise
    await pool.give(connection)
    return Ok(answer)


async def exchange(
    connection: HttpConnection,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    max_bytes: int,
    on_progress: Callable[[], None] | None = None,
) -> WholeAnswer:
    """Send a request on a connection and read its whole answer; raise LinkLostError if it breaks.

    `on_progress` is called with each piece of the body.
    """
    await connection.send(method, target, headers, body)
    answer = await connection.receive_answer()
    data = bytearray()
    while (piece := await connection.receive_piece()) is not None:
        data += piece
        if len(data) > max_bytes:
            raise LinkLostError(f"over {max_bytes} bytes")
        if on_progress is not None:
            on_progress()
    return WholeAnswer(answer.status, answer.headers, bytes(data))


async def call(
    address: Address,
    method: str,
    target: str,
    *,
    headers: Headers | None = None,
    body: bytes = b"",
    seconds: float,
    max_bytes: int,
    silence_seconds: float | None = None,
) -> Ok[WholeAnswer] | Failure:
    """Make one whole call on a connection of its own, bounded in time and size.

    The call has `seconds` for everything. With `silence_seconds` these are the limit for the first
    piece of the body, and the rest may take as long as its pieces come within that many seconds of
    one another: an answer that is on its way is not thrown away because a link is slow.
    """
    try:
        with trio.fail_after(seconds) as scope:

            def note_progress() -> None:
                if silence_seconds is not None:
                    scope.deadline = trio.current_time() + silence_seconds

            async with closing(await connect(address)) as connection:
                answer = await exchange(
                    connection, method, target, headers or [], body, max_bytes, note_progress
                )
                return Ok(answer)
    except ConnectError as error:
        return Failure(CONNECT_FAILED, str(error))
    except LinkLostError as error:
        return Failure(LINK_LOST, f"{address}{target}: {error}")
    except trio.TooSlowError:
        return Failure(
            LINK_LOST, f"{address}{target}: no whole answer in {seconds} s, or silent within it"
        )
