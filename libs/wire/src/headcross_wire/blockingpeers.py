"""Questions to other processes over blocking ZeroMQ sockets, before trio is imported."""

import time
from collections.abc import Iterable, Iterator
from typing import Final

import zmq
from headcross_base.addresses import Address

from headcross_wire.peermessages import MAX_MESSAGE_BYTES, PeerMessage, decode, encode

MILLISECONDS_PER_SECOND: Final = 1000


class BlockingPeers:
    """Links to a few peers; used by one thread only."""

    def __init__(self, peers: Iterable[Address], source_ip: str) -> None:
        """Open the links in the background, from `source_ip`."""
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context(io_threads=1)
        self._poller = zmq.Poller()
        self._sockets: list[zmq.Socket[bytes]] = []
        for peer in peers:
            socket = self._context.socket(zmq.DEALER)
            socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
            socket.connect(f"tcp://{source_ip}:0;{peer}")
            self._poller.register(socket, zmq.POLLIN)
            self._sockets.append(socket)

    def send(self, message: PeerMessage) -> None:
        """Send a message to all peers, each as soon as its link is open."""
        for socket in self._sockets:
            try:
                socket.send(encode(message), zmq.NOBLOCK)
            except zmq.Again:
                continue  # its queue is full: the peer has not answered for long

    def receive(self, seconds: float) -> Iterator[PeerMessage]:
        """Yield the messages that arrive within a time; those that are invalid are left out."""
        until = time.monotonic() + seconds
        while (remaining := until - time.monotonic()) > 0:
            events = self._poller.poll(int(remaining * MILLISECONDS_PER_SECOND))
            if not events:
                return
            for socket, _ in events:
                message = decode(socket.recv_multipart()[0])
                if message is not None:
                    yield message

    def close(self) -> None:
        """Close without waiting; messages not sent yet are dropped."""
        self._context.destroy(linger=0)
