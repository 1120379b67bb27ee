"""The channel's socket on trio: a message that is here is received."""

import socket
import subprocess
import sys
from typing import Any

import pytest
import trio
import trio.testing
import zmq
from headcross_wire.zmqsocket import ZmqSocket


async def test_what_is_sent_on_a_closed_socket_is_told_not_to_have_left() -> None:
    """A daemon that stopped while its replica loaded raised here, and ended with an error."""
    with zmq.Context() as context:
        channel = ZmqSocket(context, zmq.ROUTER, 10, 1000)
        channel.close()
        assert not channel.send([b"peer", b"x"])


class FullSocket:
    """A ZeroMQ socket that takes no message; every call consumes the edge of its descriptor."""

    closed = False

    def __init__(self, descriptor: int, error: int) -> None:
        self.inbox: list[list[bytes]] = []
        self._descriptor = descriptor
        self._error = error

    def setsockopt(self, option: int, value: int) -> None:
        """Take an option."""

    def getsockopt(self, option: int) -> int:
        """Return the descriptor, or whether a message is here."""
        if option == zmq.FD:
            return self._descriptor
        return zmq.POLLIN if self.inbox else 0

    def send_multipart(self, frames: Any, flags: int, copy: bool) -> None:  # noqa: ANN401
        """Refuse a message."""
        raise zmq.ZMQError(self._error)

    def recv_multipart(self, flags: int) -> list[bytes]:
        """Return the next message."""
        if not self.inbox:
            raise zmq.Again()
        return self.inbox.pop(0)


class FullContext:
    """Makes one such socket."""

    def __init__(self, made: FullSocket) -> None:
        self._made = made

    def socket(self, kind: int) -> FullSocket:
        """Return the socket."""
        return self._made


@pytest.mark.parametrize("error", [zmq.EAGAIN, zmq.EHOSTUNREACH])
async def test_a_send_that_fails_does_not_leave_a_message_lying(error: int) -> None:
    """The receiver slept on until another send succeeded."""
    never_readable, other = socket.socketpair()
    with never_readable, other:
        full = FullSocket(never_readable.fileno(), error)
        channel = ZmqSocket(FullContext(full), zmq.DEALER, 10, 1000)  # type: ignore[arg-type]
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


# A listener that does not read, as one whose processor is busy, with fast heartbeats.
DEAF_LISTENER = """
import sys, time, zmq
from headcross_wire import zmqsocket
zmqsocket.HEARTBEAT_MS, zmqsocket.HEARTBEAT_TIMEOUT_MS = 100, 20000
channel = zmqsocket.ZmqSocket(zmq.Context(), zmq.ROUTER, 16, 1 << 20)
print(channel.bind("tcp://127.0.0.1:*"), flush=True)
sys.stdin.readline()  # the peer is gone
time.sleep(1.0)
"""


def test_a_process_outlives_a_peer_that_goes_while_its_messages_wait_unread() -> None:
    """Entries ended by themselves on one day in ten, on days with kills of other processes.

    libzmq stops polling a connection once its receive queue is full. When that connection then
    broke and the next heartbeat was due, libzmq asserted `!_io_error` and ended the process.
    """
    listener = subprocess.Popen(
        [sys.executable, "-c", DEAF_LISTENER],
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
