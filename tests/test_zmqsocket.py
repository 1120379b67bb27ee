"""Tests the ZeroMQ socket for trio: sends that fail and messages that must not be missed."""

import socket
import subprocess
import sys
from typing import Any

import pytest
import trio
import trio.testing
import zmq
from headcross_wire.zmqsocket import ZmqSocket


async def test_a_send_on_a_closed_socket_returns_false() -> None:
    """Guards against a daemon that exits with an error because it sends during shutdown."""
    with zmq.Context() as context:
        channel = ZmqSocket(context, zmq.ROUTER, 10, 1000)
        channel.close()
        assert not channel.send([b"peer", b"x"])


class UnwritableSocket:
    """A ZeroMQ socket whose sends fail; every call consumes the edge of its descriptor."""

    closed = False

    def __init__(self, descriptor: int, error: int) -> None:
        self.inbox: list[list[bytes]] = []
        self._descriptor = descriptor
        self._error = error

    def setsockopt(self, option: int, value: int) -> None:
        """Ignore an option."""

    def getsockopt(self, option: int) -> int:
        """Return the descriptor or the events."""
        if option == zmq.FD:
            return self._descriptor
        return zmq.POLLIN if self.inbox else 0

    def send_multipart(self, frames: Any, flags: int, copy: bool) -> None:  # noqa: ANN401
        """Raise the error."""
        raise zmq.ZMQError(self._error)

    def recv_multipart(self, flags: int) -> list[bytes]:
        """Return the next message, or raise Again."""
        if not self.inbox:
            raise zmq.Again()
        return self.inbox.pop(0)


class SingleSocketContext:
    """A ZeroMQ context that returns a given socket."""

    def __init__(self, made: UnwritableSocket) -> None:
        self._made = made

    def socket(self, kind: int) -> UnwritableSocket:
        """Return the socket."""
        return self._made


@pytest.mark.parametrize("error", [zmq.EAGAIN, zmq.EHOSTUNREACH])
async def test_a_failed_send_does_not_strand_a_received_message(error: int) -> None:
    """Guards against a receiver that keeps waiting although a message has arrived.

    A failed send consumes the descriptor's edge and must wake the receiver too.
    """
    never_readable, other = socket.socketpair()
    with never_readable, other:
        full = UnwritableSocket(never_readable.fileno(), error)
        channel = ZmqSocket(SingleSocketContext(full), zmq.DEALER, 10, 1000)  # type: ignore[arg-type]
        received: list[list[bytes]] = []

        async def receive() -> None:
            received.append(await channel.receive())

        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive)
                await trio.testing.wait_all_tasks_blocked()
                full.inbox.append([b"here"])
                assert not channel.send([b"x"])
        assert received == [[b"here"]]


# A listener that does not read, like a process without processor time, with fast heartbeats.
NON_READING_LISTENER = """
import sys, time, zmq
from headcross_wire import zmqsocket
zmqsocket.HEARTBEAT_MS, zmqsocket.HEARTBEAT_TIMEOUT_MS = 100, 20000
channel = zmqsocket.ZmqSocket(zmq.Context(), zmq.ROUTER, 16, 1 << 20)
print(channel.bind("tcp://127.0.0.1:*"), flush=True)
sys.stdin.readline()  # the peer is gone
time.sleep(1.0)
"""


def test_a_process_survives_a_peer_that_disconnects_with_unread_messages() -> None:
    """Guards against a process abort by libzmq, which ended entries after peers were killed.

    libzmq stops polling a connection whose receive queue is full. If that connection then breaks,
    the next heartbeat fails the assertion `!_io_error`. Entries ended by themselves in this way on
    about one day in ten.
    """
    listener = subprocess.Popen(
        [sys.executable, "-c", NON_READING_LISTENER],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert listener.stdout is not None
    endpoint = listener.stdout.readline().strip()
    with zmq.Context() as context:
        peer = context.socket(zmq.DEALER)
        peer.connect(endpoint)
        monitor = peer.get_monitor_socket(zmq.EVENT_HANDSHAKE_SUCCEEDED)
        assert monitor.poll(5000)
        for _ in range(200):
            peer.send(b"x" * 1000)
        peer.disable_monitor()
        peer.close(linger=200)
    _, errors = listener.communicate("gone\n", timeout=20)
    assert listener.returncode == 0, errors
