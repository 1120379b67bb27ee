"""TCP proxies before every listener, and the link faults that they inject.

A proxy connects to its target from the IP address of its client, so the target sees the client's
address. A fault that holds bytes back keeps their connection open; bytes whose sender resets the
connection meanwhile are dropped, as a network would lose them.
"""

import select
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

import trio
from headcross_base.addresses import Address

from testing.rawhttp import reset

PIECE_BYTES: Final = 64 * 1024
NARROW_INTERVAL_SECONDS: Final = 0.1  # time of which a narrow link forwards the bytes at once
BLOCK_POLL_SECONDS: Final = 0.02  # how often a held connection checks its link


class LinkKind(Enum):
    """The kind of a link fault."""

    DELAY = "delay"
    CUT = "cut"  # nothing passes, both ways
    SILENCE = "silence"  # nothing passes from the first side to the second side
    NARROW = "narrow"


@dataclass(frozen=True, eq=False)
class LinkFault:
    """A fault of all links between two sides, by IP address; an empty second side matches all."""

    kind: LinkKind
    first: frozenset[str]
    second: frozenset[str] = frozenset()
    amount: float = 0.0  # seconds of delay, or bytes a second

    def affects(self, sender: str, receiver: str) -> bool:
        """Return whether the fault affects bytes from a sender to a receiver."""
        if sender == receiver:  # links within a machine are fault-free
            return False
        forward = sender in self.first and (not self.second or receiver in self.second)
        if self.kind is LinkKind.SILENCE:
            return forward
        return forward or (receiver in self.first and (not self.second or sender in self.second))


@dataclass
class LinkFaults:
    """The active link faults and the open connections."""

    faults: list[LinkFault] = field(default_factory=list)
    connections: set["_Connection"] = field(default_factory=set)
    # Client addresses of connections whose target could not be reached, so nobody read a byte.
    refused: set[tuple[str, int]] = field(default_factory=set)

    @contextmanager
    def active(self, fault: LinkFault) -> Iterator[None]:
        """Keep a fault active for the length of the block."""
        self.faults.append(fault)
        try:
            yield
        finally:
            self.faults.remove(fault)

    def reset(self, first: frozenset[str], second: frozenset[str]) -> int:
        """Reset all open connections between two sides; return their number."""
        cut = LinkFault(LinkKind.CUT, first, second)
        affected = [c for c in self.connections if cut.affects(c.source, c.target)]
        for connection in affected:
            connection.broken = True
            connection.scope.cancel()
        return len(affected)

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Return whether nothing passes from a sender to a receiver."""
        kinds = (LinkKind.CUT, LinkKind.SILENCE)
        return any(f.kind in kinds and f.affects(sender, receiver) for f in self.faults)

    def amount(self, kind: LinkKind, sender: str, receiver: str) -> float:
        """Return the largest delay or the least rate among the faults of a link; 0 if none."""
        amounts = [
            f.amount for f in self.faults if f.kind is kind and f.affects(sender, receiver)
        ] or [0.0]
        return min(amounts) if kind is LinkKind.NARROW else max(amounts)


@dataclass(eq=False)
class _Connection:
    source: str  # IP address of the client
    target: str  # public IP address of the listener
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    broken: bool = False  # whether to close the connection with a reset


class Proxy:
    """Forwards one public address to the private one behind it."""

    def __init__(self, public: Address, private: Address, links: LinkFaults) -> None:
        self.public = public
        self._private = private
        self._links = links
        self._scope: trio.CancelScope | None = None
        self._closed = trio.Event()
        self._closed.set()

    async def open(self, nursery: trio.Nursery) -> None:
        """Start listening, unless the proxy already does."""
        if self._scope is not None:
            return
        scope = self._scope = trio.CancelScope()
        await self._closed.wait()
        self._closed = trio.Event()
        listeners = await trio.open_tcp_listeners(self.public.port, host=self.public.ip)
        nursery.start_soon(self._run, listeners, scope, nursery)

    def stop_accepting(self) -> None:
        """Stop listening; open connections continue."""
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None

    async def _run(
        self,
        listeners: list[trio.SocketListener],
        scope: trio.CancelScope,
        nursery: trio.Nursery,
    ) -> None:
        with scope:
            await trio.serve_listeners(self._serve, listeners, handler_nursery=nursery)
        for listener in listeners:
            listener.socket.close()
        self._closed.set()

    async def _serve(self, client: trio.SocketStream) -> None:
        try:
            source, port = client.socket.getpeername()[:2]
        except OSError:
            await trio.aclose_forcefully(client)
            return
        connection = _Connection(source, self.public.ip)
        self._links.connections.add(connection)
        target: trio.SocketStream | None = None
        try:
            with connection.scope:
                await self._wait_until_unblocked(source, self.public.ip)
                target = await self._dial(source)
                if target is None:
                    self._links.refused.add((source, port))
                    connection.broken = True
                else:
                    await self._forward(connection, client, target)
        finally:
            self._links.connections.discard(connection)
            for stream in (client, target):
                if stream is not None:
                    await _close(stream, broken=connection.broken)

    async def _dial(self, source: str) -> trio.SocketStream | None:
        try:
            return await trio.open_tcp_stream(
                self._private.ip, self._private.port, local_address=source
            )
        except OSError:
            return None

    async def _forward(
        self, connection: _Connection, client: trio.SocketStream, target: trio.SocketStream
    ) -> None:
        async with trio.open_nursery() as nursery:
            source_ip, target_ip = connection.source, connection.target
            nursery.start_soon(self._copy, connection, client, target, source_ip, target_ip)
            nursery.start_soon(self._copy, connection, target, client, target_ip, source_ip)

    async def _copy(
        self,
        connection: _Connection,
        reader: trio.SocketStream,
        writer: trio.SocketStream,
        sender: str,
        receiver: str,
    ) -> None:
        try:
            while True:
                await self._wait_until_unblocked(sender, receiver)
                rate = self._links.amount(LinkKind.NARROW, sender, receiver)
                size = max(1, int(rate * NARROW_INTERVAL_SECONDS)) if rate else PIECE_BYTES
                data = await reader.receive_some(size)
                await self._delay(reader, sender, receiver, len(data))
                if not data:
                    await writer.send_eof()
                    return
                await writer.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await self._wait_until_unblocked(sender, receiver)
            connection.broken = True
            connection.scope.cancel()

    async def _delay(
        self, reader: trio.SocketStream, sender: str, receiver: str, size: int
    ) -> None:
        """Delay a piece by the link's faults; raise if its sender resets meanwhile."""
        delay = self._links.amount(LinkKind.DELAY, sender, receiver)
        rate = self._links.amount(LinkKind.NARROW, sender, receiver)
        seconds = delay + (size / rate if rate else 0.0)
        if not seconds and not self._links.is_blocked(sender, receiver):
            return
        await trio.sleep(seconds)
        await self._wait_until_unblocked(sender, receiver)
        if _was_reset(reader.socket):
            raise trio.BrokenResourceError

    async def _wait_until_unblocked(self, sender: str, receiver: str) -> None:
        while self._links.is_blocked(sender, receiver):
            await trio.sleep(BLOCK_POLL_SECONDS)


def _was_reset(sock: trio.socket.SocketType) -> bool:
    """Return whether the other side has reset a connection."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return any(events & select.POLLERR for _, events in poll.poll(0))


async def _close(stream: trio.SocketStream, *, broken: bool) -> None:
    if not broken:
        await trio.aclose_forcefully(stream)
        return
    with suppress(OSError, trio.ClosedResourceError):
        await reset(stream)
