"""A ZeroMQ socket for trio.

pyzmq knows no trio. ZeroMQ gives one file descriptor for a socket, and it is edge-triggered: it
becomes readable when the socket's events may have changed, and any send or receive can consume
that edge. So the receiving task reads EVENTS before it waits on the descriptor, and every send
reads EVENTS too and ends that wait if something came in meanwhile.

One task receives; anyone may send. Sending never waits: a queue that is full, or a peer that is
not connected, is told to the sender as False.
"""

from collections.abc import Sequence
from typing import Final

import trio
import zmq

# Heartbeats of the transport find a link that is cut but not closed.
HEARTBEAT_MS: Final = 5000
HEARTBEAT_TIMEOUT_MS: Final = 12000
# Messages received and not yet read are not limited; peers limit what they send, by their own
# queues, and chunks come only when they were asked for. With a limit libzmq 4.3.5 stops polling a
# connection whose queue is full; if that then breaks, the next heartbeat ends the process by an
# assertion (`!_io_error`, 3 of 3 runs of its test).
UNLIMITED_RECEIVE_QUEUE: Final = 0
RECONNECT_MS: Final = 100
RECONNECT_MAX_MS: Final = 2000


class ZmqSocket:
    """One ZeroMQ socket, used from one trio thread."""

    # Bytes of all frames sent and received, for the control budget.
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
        # Queue only on links that are up: what cannot leave now must not leave minutes later.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        if kind == zmq.ROUTER:
            self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        descriptor = self._socket.getsockopt(zmq.FD)
        assert isinstance(descriptor, int)
        self._descriptor = descriptor
        # The receiver's wait; a send that finds something to receive ends it.
        self._wait_scope = trio.CancelScope()

    def bind(self, endpoint: str) -> str:
        """Listen; return the endpoint with its real port."""
        self._socket.bind(endpoint)
        return self._socket.getsockopt_string(zmq.LAST_ENDPOINT)

    def connect(self, endpoint: str) -> None:
        """Connect in the background, and again whenever the link is lost."""
        self._socket.connect(endpoint)

    def send(self, frames: Sequence[bytes | memoryview]) -> bool:
        """Queue a message; return False if it cannot be queued now, or the socket is closed."""
        if self._socket.closed:
            # What ends last while a process stops may still have something to tell.
            return False
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK, copy=True)
        except zmq.ZMQError as error:
            if error.errno in (zmq.EAGAIN, zmq.EHOSTUNREACH):
                self._wake_receiver()  # a send that fails may have consumed the edge too
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
            # A long run of messages must not starve the other tasks.
            await trio.lowlevel.checkpoint()
            return frames

    def close(self) -> None:
        """Close at once; queued messages are dropped."""
        self._socket.close(linger=0)

    def _is_readable(self) -> bool:
        """Read EVENTS, which also clears the descriptor's edge."""
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
