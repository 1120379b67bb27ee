"""An HTTP/1.1 client on blocking sockets, for calls before trio is imported.

Importing trio takes most of the time in which a process starts. The calls are coroutines that
never suspend, so code written for `HttpCalls` also runs on this client, in any thread.
"""

import socket
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from headcross_base.addresses import Address
from headcross_base.errorcodes import CONNECT_FAILED, LINK_LOST
from headcross_base.errors import Failure, Ok

from headcross_wire.httpcodec import (
    MAX_IDLE_PER_ADDRESS,
    RECEIVE_BYTES,
    ClientCodec,
    ConnectError,
    LinkLostError,
    WholeAnswer,
)

T = TypeVar("T")


def run_blocking(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine that never suspends, and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        result: T = stop.value
        return result
    coroutine.close()
    raise RuntimeError("a coroutine on blocking sockets suspended")


class _Connection:
    """One connection to one address."""

    def __init__(self, address: Address, source_ip: str, until: float) -> None:
        try:
            self._socket = socket.create_connection(
                (address.ip, address.port), _remaining(until), (source_ip, 0)
            )
        except OSError as error:
            raise ConnectError(f"{address}: {error}") from None
        self._codec = ClientCodec(str(address))

    def exchange(
        self, method: str, target: str, body: bytes, until: float, max_bytes: int
    ) -> WholeAnswer:
        """Send a request and return the complete answer; raise LinkLostError if it fails."""
        data = bytearray()
        try:
            self._socket.settimeout(_remaining(until))
            for sent in self._codec.encode_request(method, target, [], body):
                self._socket.sendall(sent)
            while (answer := self._codec.next_answer()) is None:
                self._receive(until)
            while (piece := self._codec.next_piece()) is not None:
                if not piece:
                    self._receive(until)
                data += piece
                if len(data) > max_bytes:
                    raise LinkLostError(f"over {max_bytes} bytes")
        except OSError as error:
            raise LinkLostError(str(error)) from None
        return WholeAnswer(answer.status, answer.headers, bytes(data))

    def reusable(self) -> bool:
        """Return whether another exchange may follow, and prepare the connection for it if so."""
        return self._codec.reusable()

    def has_no_input(self) -> bool:
        """Return whether an idle connection has nothing to read: neither EOF nor stray bytes."""
        self._socket.setblocking(False)
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close without waiting."""
        self._socket.close()

    def _receive(self, until: float) -> None:
        self._socket.settimeout(_remaining(until))
        self._codec.receive(self._socket.recv(RECEIVE_BYTES))


class BlockingHttp:
    """Makes calls on blocking sockets; idle connections are kept for later calls."""

    def __init__(self, source_ip: str) -> None:
        """Bind all connections to `source_ip`."""
        self._source_ip = source_ip
        self._idle: dict[Address, list[_Connection]] = {}

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
        """Make one call on a new connection; `seconds` bounds it, also with `silence_seconds`."""
        until = time.monotonic() + seconds
        connection = self._connect(address, until)
        if isinstance(connection, Failure):
            return connection
        try:
            answer = connection.exchange(method, target, b"", until, max_bytes)
            return Ok(answer)
        except LinkLostError as error:
            return Failure(LINK_LOST, f"{address}{target}: {error}")
        finally:
            connection.close()

    async def call_idempotent(
        self, address: Address, method: str, target: str, *, seconds: float, max_bytes: int
    ) -> Ok[WholeAnswer] | Failure:
        """Make one call that is repeated if an idle connection turns out to be dead."""
        idle = self._take_idle(address)
        if idle is not None:
            until = time.monotonic() + seconds
            outcome = self._call_on(idle, address, method, target, b"", until, max_bytes)
            if not isinstance(outcome, Failure):
                return outcome
        until = time.monotonic() + seconds
        connection = self._connect(address, until)
        if isinstance(connection, Failure):
            return connection
        return self._call_on(connection, address, method, target, b"", until, max_bytes)

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
        until = time.monotonic() + seconds
        connection = self._take_idle(address) or self._connect(address, until)
        if isinstance(connection, Failure):
            return connection
        return self._call_on(connection, address, method, target, body, until, max_bytes)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    def _connect(self, address: Address, until: float) -> _Connection | Failure:
        try:
            return _Connection(address, self._source_ip, until)
        except ConnectError as error:
            return Failure(CONNECT_FAILED, str(error))

    def _call_on(
        self,
        connection: _Connection,
        address: Address,
        method: str,
        target: str,
        body: bytes,
        until: float,
        max_bytes: int,
    ) -> Ok[WholeAnswer] | Failure:
        try:
            answer = connection.exchange(method, target, body, until, max_bytes)
        except LinkLostError as error:
            connection.close()
            return Failure(LINK_LOST, f"{address}{target}: {error}")
        idle = self._idle.setdefault(address, [])
        if connection.reusable() and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
        else:
            connection.close()
        return Ok(answer)

    def _take_idle(self, address: Address) -> _Connection | None:
        """Return an idle connection that has no input, or None; several threads may call it."""
        while True:
            try:
                connection = self._idle.get(address, []).pop()
            except IndexError:
                return None
            if connection.has_no_input():
                return connection
            connection.close()


def _remaining(until: float) -> float:
    """Return the seconds until a time; raise TimeoutError if it is over."""
    seconds = until - time.monotonic()
    if seconds <= 0:
        raise TimeoutError("timed out")
    return seconds
