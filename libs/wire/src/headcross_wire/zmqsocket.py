"""A ZeroMQ socket for trio.

pyzmq does not support trio. ZeroMQ has one file descriptor per socket, which is edge-triggered: it
becomes readable when the socket's events may have changed, and any send or receive can consume
that edge. The receiving task therefore reads EVENTS before it waits on the descriptor, and every
send also reads EVENTS and ends that wait if a message has arrived.

Only one task may receive; any task may send. Sending never blocks: `send` returns False if the
queue is full or the peer is not connected.
"""

from collections.abc import Sequence
from typing import Final

import trio
import zmq

# Transport heartbeats detect a link that is broken but not closed.
HEARTBEAT_MS: Final = 5000
HEARTBEAT_TIMEOUT_MS: Final = 12000
# The receive queue has no limit; peers limit what they send by their own queues, and chunks arrive
# only on request. With a limit, libzmq 4.3.5 stops polling a connection whose queue is full; if
# that connection then breaks, the next heartbeat aborts the process (assertion `!_io_error`).
UNLIMITED_RECEIVE_QUEUE: Final = 0
RECONNECT_MS: Final = 100
RECONNECT_MAX_MS: Final = 2000


class ZmqSocket:
    """One ZeroMQ socket, used from one trio thread."""

    # Bytes of all frames sent and received; they count against the control budget.
    sent_bytes: int
    received_bytes: int

    def __init__(
        self, context: zmq.Context[zmq.Socket[bytes]], kind: int, queue: int, max_bytes: int
    ) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self._socket = context.socket(kind)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, queue)
        self._socket.setsockopt(zmq.RCVHWM, UNLIMITED_RECEIVE_QUEUE)
        self._socket.setsockopt(zmq.MAXMSGSIZE, max_bytes)
        self._socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        self._socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        # Queue only on connected links: a message that cannot be sent now must not be sent minutes
        # later.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        if kind == zmq.ROUTER:
            self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        descriptor = self._socket.getsockopt(zmq.FD)
        assert isinstance(descriptor, int)
        self._descriptor = descriptor
        # Cancelled by a send that finds a message to receive.
        self._wait_scope = trio.CancelScope()

    def bind(self, endpoint: str) -> str:
        """Bind; return the endpoint with the assigned port."""
        self._socket.bind(endpoint)
        return self._socket.getsockopt_string(zmq.LAST_ENDPOINT)

    def connect(self, endpoint: str) -> None:
        """Connect in the background, and reconnect whenever the link is lost."""
        self._socket.connect(endpoint)

    def send(self, frames: Sequence[bytes | memoryview]) -> bool:
        """Queue a message; return False if it cannot be queued now, or the socket is closed."""
        if self._socket.closed:
            # Tasks that end late during shutdown may still send.
            return False
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK, copy=True)
        except zmq.ZMQError as error:
            if error.errno in (zmq.EAGAIN, zmq.EHOSTUNREACH):
                self._wake_receiver()  # a failed send may have consumed the edge too
                return False
            raise
        self.sent_bytes += sum(len(frame) for frame in frames)
        self._wake_receiver()
        return True

    async def receive(self) -> list[bytes]:
        """Wait for a message and return its frames."""
        while True:
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                await self._wait_readable()
                continue
            self.received_bytes += sum(len(frame) for frame in frames)
            # A long burst of messages must not starve other tasks.
            await trio.lowlevel.checkpoint()
            return frames

    def close(self) -> None:
        """Close without waiting; queued messages are dropped."""
        self._socket.close(linger=0)

    def _is_readable(self) -> bool:
        """Return whether a message is waiting; reading EVENTS clears the descriptor's edge."""
        events = self._socket.getsockopt(zmq.EVENTS)
        assert isinstance(events, int)
        return bool(events & zmq.POLLIN)

    def _wake_receiver(self) -> None:
        if self._is_readable():
            self._wait_scope.cancel()

    async def _wait_readable(self) -> None:
        with trio.CancelScope() as self._wait_scope:
            if not self._is_readable():
                await trio.lowlevel.wait_readable(self._descriptor)
