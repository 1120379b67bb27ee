"""HTTP for fakes that inject faults: requests are parsed by h11, responses built by hand."""

import socket
import struct
from contextlib import suppress
from typing import Final

import h11
import msgspec
import trio

RECEIVE_BYTES: Final = 64 * 1024


class CallerDisconnected(Exception):
    """The caller closed its connection."""


async def sleep_while_connected(stream: trio.SocketStream, seconds: float) -> None:
    """Sleep for some seconds; data from the caller ends the sleep early.

    Raises:
        CallerDisconnected: The caller closed the connection meanwhile.
    """
    if seconds <= 0:
        return
    with trio.move_on_after(seconds):
        if not await stream.receive_some(1):
            raise CallerDisconnected


async def read_request(
    connection: h11.Connection, stream: trio.SocketStream
) -> tuple[h11.Request, bytes] | None:
    """Return the next request and its body; None if the caller has closed the connection."""
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return head, bytes(body)
        else:
            return None


def next_cycle(connection: h11.Connection) -> h11.Connection:
    """Return an h11 connection for the next request.

    A new one is needed for each request, since h11 does not see the responses.
    """
    fresh = h11.Connection(h11.SERVER)
    unread = connection.trailing_data[0]
    if unread:
        fresh.receive_data(unread)
    return fresh


async def reset(stream: trio.SocketStream) -> bool:
    """Reset the connection if it is still open; return False, as it cannot be reused."""
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await trio.aclose_forcefully(stream)
    return False


def head_bytes(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the status line and headers of a response."""
    lines = [f"HTTP/1.1 {status} Answer", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, "", ""]).encode()


def response_bytes(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return a response with a content length."""
    return head_bytes(status, [*headers, ("content-length", str(len(body)))]) + body


def json_bytes(status: int, value: object, headers: list[tuple[str, str]] | None = None) -> bytes:
    """Return a response with a value as its JSON body."""
    return response_bytes(status, headers or [], msgspec.json.encode(value))


def chunk_bytes(data: bytes) -> bytes:
    """Return data as one chunk of the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def add_fields(body: bytes, fields: bytes) -> bytes:
    """Return a JSON object with more fields, given as `"name":value` and separated by commas."""
    return body[:-1] + b"," + fields + b"}" if fields else body
