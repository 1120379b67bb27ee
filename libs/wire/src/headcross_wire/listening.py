"""Accepts connections, and stops accepting without losing one.

Closing a listener resets the connections that the kernel has established and the process has not
accepted yet, although their callers could connect and may have sent a request. A listener is
therefore closed in three steps: no further handshake begins, connections that are waiting are
accepted, and the listener is closed while none is left.
"""

import ctypes
import errno
import logging
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Final

import trio
from headcross_base.addresses import Address

ACCEPT_BACKLOG: Final = 512
# Pause after a failure to accept for lack of file descriptors or memory.
ACCEPT_RETRY_SECONDS: Final = 0.1
CAPACITY_ERRORS: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS})
# Time for the last packet of handshakes that had begun, one round trip within a zone.
HANDSHAKE_SECONDS: Final = 0.01

# A filter for a listening TCP socket in classic BPF (socket(7), Linux only): it drops the first
# packet of each new connection, so that the caller repeats it until the listener is closed.
SO_ATTACH_FILTER: Final = 26
TCP_FLAGS_OFFSET: Final = 13
TCP_FLAG_SYN: Final = 0x02
BPF_LOAD_BYTE: Final = 0x30
BPF_JUMP_IF_SET: Final = 0x45
BPF_RETURN: Final = 0x06
ACCEPT_PACKET: Final = 0xFFFFFFFF
DROP_PACKET: Final = 0
REJECT_NEW_CONNECTIONS: Final = (
    (BPF_LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    (BPF_JUMP_IF_SET, 0, 1, TCP_FLAG_SYN),
    (BPF_RETURN, 0, 0, DROP_PACKET),
    (BPF_RETURN, 0, 0, ACCEPT_PACKET),
)

logger = logging.getLogger(__name__)

# Called with each connection that was accepted.
Accepted = Callable[[trio.SocketStream], None]


class BindError(Exception):
    """An address cannot be bound, most likely because another process uses it."""


async def open_listener(address: Address) -> trio.SocketListener:
    """Listen at an address; raise BindError if it cannot be bound."""
    try:
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.ip, backlog=ACCEPT_BACKLOG
        )
    except OSError as error:
        raise BindError(f"{address}: {error}") from None
    return listeners[0]


async def accept_until_cancelled(
    listener: trio.SocketListener, accepted: Accepted, wait_room: Callable[[], Awaitable[None]]
) -> None:
    """Accept connections until cancelled; the listener stays open.

    `wait_room` is awaited before each connection is accepted.
    """
    while True:
        await wait_room()
        try:
            stream = await listener.accept()
        except OSError as error:
            if error.errno not in CAPACITY_ERRORS:
                raise
            logger.error("cannot accept", extra={"reason": str(error)})
            await trio.sleep(ACCEPT_RETRY_SECONDS)
        else:
            accepted(stream)


async def accept_waiting_and_close(listener: trio.SocketListener, accepted: Accepted) -> int:
    """Accept the connections that are waiting and close the listener; return their number."""
    count = 0
    if _reject_new_connections(listener):
        await trio.sleep(HANDSHAKE_SECONDS)
    while True:
        streams, error = _accept_waiting(listener)
        for stream in streams:
            accepted(stream)
        count += len(streams)
        if error is None:
            # Nothing may suspend this task between the last accept and this.
            listener.socket.close()
            return count
        logger.error("cannot accept", extra={"reason": str(error)})
        await trio.sleep(ACCEPT_RETRY_SECONDS)


def _reject_new_connections(listener: trio.SocketListener) -> bool:
    """Let no further handshake begin; return whether the system can do that.

    Without it, a connection that is established between the last accept and the close is reset.
    """
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in REJECT_NEW_CONNECTIONS)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(REJECT_NEW_CONNECTIONS), ctypes.addressof(buffer))
    try:
        listener.socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        logger.info("no filter on the listener", extra={"reason": str(error)})
        return False
    return True


def _accept_waiting(
    listener: trio.SocketListener,
) -> tuple[list[trio.SocketStream], OSError | None]:
    """Accept all connections that are waiting, without suspending the task.

    Returns them, and the error that kept some from being accepted, if any.
    """
    streams: list[trio.SocketStream] = []
    waiting = socket.socket(fileno=listener.socket.fileno())
    waiting.settimeout(0)
    try:
        while True:
            connection, _ = waiting.accept()
            streams.append(trio.SocketStream(trio.socket.from_stdlib_socket(connection)))
    except BlockingIOError:
        return streams, None
    except OSError as error:
        return streams, error
    finally:
        waiting.detach()
