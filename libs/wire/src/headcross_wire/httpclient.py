"""An HTTP/1.1 client (h11 over trio) with separate steps to connect, send and receive.

The verdict on a request depends on the step that fails: if `connect` fails, nothing was sent; from
the first byte that `send` writes, the request may run. The body of an `Answer` is read in pieces.
"""

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from contextvars import ContextVar
from types import TracebackType
from typing import Final, TypeVar

import trio
from headcross_base.addresses import Address
from headcross_base.errorcodes import CONNECT_FAILED, LINK_LOST
from headcross_base.errors import Failure, Ok

from headcross_wire.decodepace import DecodePace
from headcross_wire.httpcodec import (
    MAX_IDLE_PER_ADDRESS,
    RECEIVE_BYTES,
    Answer,
    ClientCodec,
    ConnectError,
    Headers,
    LinkLostError,
    WholeAnswer,
)

T = TypeVar("T")

# SO_LINGER value: closing discards unsent data and resets the connection (socket(7)).
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
CONNECT_TIMEOUT_SECONDS: Final = 2.0
IDLE_SECONDS: Final = 20.0  # a connection idle for longer is not reused

# The source IP address of this process's connections; None lets the system choose. It is set once
# at the start from the settings, and tasks inherit it.
SOURCE_IP: Final[ContextVar[str | None]] = ContextVar("SOURCE_IP", default=None)


class HttpConnection:
    """One connection to one address, used for one request at a time."""

    def __init__(self, stream: trio.SocketStream, address: Address) -> None:
        self.address = address
        self.idle_since = trio.current_time()
        self._stream = stream
        self._codec = ClientCodec(str(address))
        self._pace = DecodePace()

    async def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Write a complete request; raise LinkLostError if the connection breaks."""
        data, large_body = self._codec.encode_request(method, target, headers, body)
        try:
            await self._stream.send_all(data)
            if large_body:
                await self._stream.send_all(large_body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkLostError(str(error)) from None

    async def receive_answer(self) -> Answer:
        """Return status and headers; raise LinkLostError if the connection ends before them."""
        await self._pace.wait()
        while (answer := self._decode(self._codec.next_answer)) is None:
            await self._receive()
        return answer

    async def receive_piece(self) -> bytes | None:
        """Return the next piece of the body, or None at its end.

        Raises LinkLostError if the body is truncated. A cancelled call has consumed nothing and
        may be repeated.
        """
        await self._pace.wait()
        while (piece := self._decode(self._codec.next_piece)) == b"":
            await self._receive()
        return piece

    def note_events(self, count: int) -> None:
        """Record that a piece held so many events; they count towards the pace of decoding."""
        self._pace.note(count)

    def reusable(self) -> bool:
        """Return whether another exchange may follow, and prepare the connection for it if so."""
        if not self._codec.reusable():
            return False
        self.idle_since = trio.current_time()
        return True

    def has_no_input(self) -> bool:
        """Return whether an idle connection has nothing to read: neither EOF nor stray bytes."""
        return not self._stream.socket.is_readable()

    async def close(self) -> None:
        """Close without waiting."""
        await trio.aclose_forcefully(self._stream)

    async def abandon(self) -> None:
        """Close with a reset: unsent data is discarded and no more data is accepted."""
        with suppress(OSError):
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await trio.aclose_forcefully(self._stream)

    def _decode(self, decode: Callable[[], T]) -> T:
        before = self._codec.decoded
        try:
            return decode()
        finally:
            self._pace.note(self._codec.decoded - before)

    async def _receive(self) -> None:
        await self._pace.wait()
        try:
            self._codec.receive(await self._stream.receive_some(RECEIVE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkLostError(str(error)) from None


async def connect(address: Address, seconds: float = CONNECT_TIMEOUT_SECONDS) -> HttpConnection:
    """Open a connection; raise ConnectError if that fails or takes longer than `seconds`."""
    try:
        with trio.fail_after(seconds):
            stream = await trio.open_tcp_stream(
                address.ip, address.port, local_address=SOURCE_IP.get()
            )
    except (OSError, trio.TooSlowError) as error:
        detail = f"{address}: {error or 'timed out'}"
        raise ConnectError(detail, refused=_is_refusal(error)) from None
    return HttpConnection(stream, address)


def _is_refusal(error: Exception) -> bool:
    """Return whether a failure to connect says that nothing listens at the address.

    Trio raises a general error, with a group of those of the sockets as its cause.
    """
    cause = error.__cause__
    causes = cause.exceptions if isinstance(cause, BaseExceptionGroup) else (cause,)
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes)


class ConnectionPool:
    """Keeps idle connections for requests that may be sent again if a connection is dead."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[HttpConnection]] = {}

    async def take(self, address: Address) -> HttpConnection:
        """Return an idle connection or a new one."""
        return await self.take_idle(address) or await connect(address)

    async def take_idle(self, address: Address) -> HttpConnection | None:
        """Return an idle connection that is recent and has no input, or None."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            fresh = trio.current_time() - connection.idle_since < IDLE_SECONDS
            if fresh and connection.has_no_input():
                return connection
            await connection.close()
        return None

    async def give(self, connection: HttpConnection) -> None:
        """Return a connection to the pool after use; close it if it cannot be reused."""
        idle = self._idle.setdefault(connection.address, [])
        if connection.reusable() and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
        else:
            await connection.close()


class _Closing:
    """An asynchronous context manager that closes a connection on exit."""

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
    """Return a context manager: `async with closing(await connect(...)) as connection`."""
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
    """Make one idempotent call, on an idle connection of the pool if there is one.

    If that connection fails, the call is repeated on a new one; each try has `seconds`.
    """
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
    """Make one call without repeating it, on an idle connection of the pool if there is one.

    Only CONNECT_FAILED means that nothing was sent.
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
    """Make one call on a connection, which goes back to the pool or is closed if the call fails.

    The call fails at the trio time `until`.
    """
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
    """Send a request and return the complete answer.

    Raises LinkLostError if the connection breaks or the body exceeds `max_bytes`. `on_progress` is
    called after each piece of the body.
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
    """Make one call on a new connection, bounded in time and size.

    `seconds` bounds the entire call. With `silence_seconds` it only bounds the time to the first
    piece of the body; after that the call fails once no piece arrives for `silence_seconds`, so
    that an answer in transit is not discarded because a link is slow.
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


class TrioHttp:
    """Makes calls on trio; idle connections are kept for later calls."""

    def __init__(self) -> None:
        self._pool = ConnectionPool()

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        seconds: float,
        max_bytes: int,
        silence_seconds: float | None = None,
    ) -> Ok[WholeAnswer] | Failure:
        """Make one call on a new connection."""
        return await call(
            address,
            method,
            target,
            seconds=seconds,
            max_bytes=max_bytes,
            silence_seconds=silence_seconds,
        )

    async def call_idempotent(
        self, address: Address, method: str, target: str, *, seconds: float, max_bytes: int
    ) -> Ok[WholeAnswer] | Failure:
        """Make one call that may be repeated if an idle connection turns out to be dead."""
        return await call_idempotent(
            self._pool, address, method, target, seconds=seconds, max_bytes=max_bytes
        )

    async def call_once(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        body: bytes,
        seconds: float,
        max_bytes: int,
    ) -> Ok[WholeAnswer] | Failure:
        """Make one call without repeating it."""
        return await call_once(
            self._pool, address, method, target, body=body, seconds=seconds, max_bytes=max_bytes
        )
