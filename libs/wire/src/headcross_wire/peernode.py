"""A node of one peer channel: a listening socket and outgoing links to peers.

One task for the listener and one for each link receive messages and pass them to the node's
handler, each with a function to reply. Messages that cannot be decoded are dropped and counted.
"""

import ipaddress
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio
import zmq
from headcross_base.addresses import Address, parse_address
from headcross_base.supervision import keep_running

from headcross_wire.httpclient import SOURCE_IP
from headcross_wire.listening import BindError
from headcross_wire.peermessages import MAX_MESSAGE_BYTES, PeerMessage, decode, encode
from headcross_wire.zmqsocket import ZmqSocket

CONTROL_QUEUE_MESSAGES: Final = 256  # in the send queue of one link
# A link without sends for this long is closed; the next send opens a new one.
LINK_IDLE_SECONDS: Final = 60.0

logger = logging.getLogger(__name__)

# Replies with a message and an optional payload; returns False if it cannot be sent.
Reply = Callable[[PeerMessage, bytes | None], bool]


@dataclass(frozen=True, slots=True)
class IncomingMessage:
    """A received message, and a function to reply to its sender."""

    message: PeerMessage
    payload: bytes | None  # the second frame, if any
    reply: Reply


Handler = Callable[[IncomingMessage], None]


@dataclass(slots=True)
class _Link:
    """A connection opened by this node."""

    socket: ZmqSocket
    scope: trio.CancelScope
    used_at: float  # trio time of the last send


class PeerNode:
    """All links of one process on one channel."""

    # Number of messages that could not be decoded.
    malformed: int
    # Number of messages whose handling raised an unexpected exception.
    failed: int
    # Number of messages not sent because the link was down or its queue full.
    unsent: int

    def __init__(
        self,
        address: Address,
        handler: Handler,
        queue: int = CONTROL_QUEUE_MESSAGES,
        max_payload_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        self.malformed = 0
        self.failed = 0
        self.unsent = 0
        self._handler = handler
        self._queue = queue
        self._max_bytes = max(max_payload_bytes, MAX_MESSAGE_BYTES)
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context(io_threads=1)
        self._listener = ZmqSocket(self._context, zmq.ROUTER, queue, self._max_bytes)
        try:
            bound = self._listener.bind(address.zmq)
        except zmq.ZMQError as error:
            raise BindError(f"{address}: {error}") from None
        self.address: Address = parse_address(bound.removeprefix("tcp://"))
        self._links: dict[Address, _Link] = {}
        self._nursery: trio.Nursery | None = None
        # Bytes of links that have been closed.
        self._closed_links_sent_bytes = 0
        self._closed_links_received_bytes = 0

    @property
    def is_running(self) -> bool:
        """Whether messages can be sent."""
        return self._nursery is not None

    @property
    def sent_bytes(self) -> int:
        """Bytes of all messages sent so far."""
        return self._closed_links_sent_bytes + sum(s.sent_bytes for s in self._sockets())

    @property
    def received_bytes(self) -> int:
        """Bytes of all messages received so far."""
        return self._closed_links_received_bytes + sum(s.received_bytes for s in self._sockets())

    @property
    def link_count(self) -> int:
        """Number of open links that this node opened."""
        return len(self._links)

    def send(self, address: Address, message: PeerMessage, payload: bytes | None = None) -> bool:
        """Send to a peer; return False if the link is not connected or its queue is full."""
        link = self._links.get(address) or self._open(address)
        if link is None:
            self.unsent += 1
            return False
        link.used_at = trio.current_time()
        sent = link.socket.send(_frames(message, payload))
        if not sent:
            self.unsent += 1
        return sent

    def connect(self, address: Address) -> None:
        """Open the link to a peer before the first message."""
        if address not in self._links:
            self._open(address)

    def reset(self, address: Address) -> None:
        """Close the link to a peer; the next message opens a new one.

        Bytes corrupted in transit can leave a link open that delivers nothing any more.
        """
        link = self._links.pop(address, None)
        if link is not None:
            link.scope.cancel()

    async def run(self) -> None:
        """Receive until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(keep_running, "close idle links", self._close_idle_links)
                await self._read_listener()
        finally:
            self._nursery = None
            for socket in self._sockets():
                socket.close()
            self._context.destroy(linger=0)

    async def _read_listener(self) -> None:
        while True:
            identity, *frames = await self._listener.receive()

            def reply(
                message: PeerMessage, payload: bytes | None, identity: bytes = identity
            ) -> bool:
                sent = self._listener.send([identity, *_frames(message, payload)])
                self.unsent += not sent
                return sent

            self._dispatch(frames, reply)

    async def _read_link(self, address: Address, link: _Link) -> None:
        def reply(message: PeerMessage, payload: bytes | None) -> bool:
            return self.send(address, message, payload)

        with link.scope:
            try:
                while True:
                    self._dispatch(await link.socket.receive(), reply)
            except zmq.ZMQError as error:
                logger.warning("link lost", extra={"peer": str(address), "reason": str(error)})
                self._links.pop(address, None)
        # Only reached when a single link is closed; a stopping node closes its sockets in `run`.
        self._closed_links_sent_bytes += link.socket.sent_bytes
        self._closed_links_received_bytes += link.socket.received_bytes
        link.socket.close()

    def _dispatch(self, frames: list[bytes], reply: Reply) -> None:
        try:
            self._handle(frames, reply)
        except Exception:
            # A message must not end the links to all peers.
            self.failed += 1
            logger.exception("message not handled")

    def _handle(self, frames: list[bytes], reply: Reply) -> None:
        message = decode(frames[0]) if frames and len(frames[0]) <= MAX_MESSAGE_BYTES else None
        if message is None or len(frames) > 2:
            self.malformed += 1
            return
        payload = frames[1] if len(frames) == 2 else None
        self._handler(IncomingMessage(message, payload, reply))

    def _open(self, address: Address) -> _Link | None:
        """Open a link; return None if the address, which a peer may have told, is not usable."""
        if self._nursery is None:
            raise RuntimeError("peer node is not running")
        socket = self._connect(address)
        if socket is None:
            return None
        link = _Link(socket, trio.CancelScope(), trio.current_time())
        self._links[address] = link
        self._nursery.start_soon(self._read_link, address, link)
        return link

    def _connect(self, address: Address) -> ZmqSocket | None:
        source = SOURCE_IP.get()
        socket: ZmqSocket | None = None
        try:
            # ZeroMQ would look up a name.
            ipaddress.ip_address(address.ip)
            socket = ZmqSocket(self._context, zmq.DEALER, self._queue, self._max_bytes)
            socket.connect(f"tcp://{source}:0;{address}" if source else address.zmq)
        except (ValueError, zmq.ZMQError) as error:
            logger.warning("no link", extra={"peer": str(address)[:100], "reason": str(error)})
            if socket is not None:
                socket.close()
            return None
        return socket

    async def _close_idle_links(self) -> None:
        while True:
            await trio.sleep(LINK_IDLE_SECONDS / 4)
            horizon = trio.current_time() - LINK_IDLE_SECONDS
            for address, link in list(self._links.items()):
                if link.used_at < horizon:
                    self.reset(address)

    def _sockets(self) -> list[ZmqSocket]:
        return [self._listener, *(link.socket for link in self._links.values())]


def _frames(message: PeerMessage, payload: bytes | None) -> list[bytes]:
    head = encode(message)
    return [head] if payload is None else [head, payload]
