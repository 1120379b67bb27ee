"""Answers and values that no sound process sends: nested deeply, with huge numbers, or endless."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import trio
from headcross_platform import names

from testing.platformreplica import SEAL
from testing.rawhttp import chunk_bytes, head_bytes

AnswerSender = Callable[[trio.SocketStream, str], Awaitable[None]]


def nested_lists(depth: int) -> bytes:
    """Return lists within lists, as JSON."""
    return b"[" * depth + b"]" * depth


def nested_objects(depth: int) -> bytes:
    """Return objects within objects, as JSON."""
    return b'{"a":' * depth + b"1" + b"}" * depth


# Deeper than any interpreter decodes.
NESTED_LISTS: Final = nested_lists(100_000)
NESTED_OBJECTS: Final = nested_objects(100_000)
# More digits than Python converts to an integer.
MANY_DIGITS: Final = "9" * 5000
REPEATS: Final = 8000  # of a short piece in one write

_EVENTS: Final = ("content-type", "text/event-stream")
_CHUNKED: Final = ("transfer-encoding", "chunked")


def sealed_head(request_id: str, *headers: tuple[str, str], status: int = 200) -> bytes:
    """Return the head of a replica's own answer."""
    return head_bytes(status, [(names.REQUEST_ID, request_id), (names.SEAL, SEAL), *headers])


def answer_with_header(name: str, value: str) -> AnswerSender:
    """Return a sender of a whole answer, to any kind of route, that has this header."""

    async def send(stream: trio.SocketStream, request_id: str) -> None:
        body = b"id: 0\ndata: x\n\n"
        head = sealed_head(request_id, (name, value), ("content-length", str(len(body))))
        await stream.send_all(head + body)

    return send


def refuse_with_retry_after(value: str) -> AnswerSender:
    """Return a sender of a refusal as not run, with this time to retry."""

    async def send(stream: trio.SocketStream, request_id: str) -> None:
        headers = ((names.NOT_EXECUTED, "1"), (names.RETRY_AFTER, value), ("content-length", "0"))
        await stream.send_all(sealed_head(request_id, *headers, status=503))

    return send


def send_events(*events: bytes) -> AnswerSender:
    """Return a sender of a complete stream of events."""

    async def send(stream: trio.SocketStream, request_id: str) -> None:
        body = b"".join(chunk_bytes(event) for event in events)
        await stream.send_all(sealed_head(request_id, _EVENTS, _CHUNKED) + body + b"0\r\n\r\n")

    return send


async def _repeat(
    make_head: Callable[[str], bytes], piece: bytes, stream: trio.SocketStream, request_id: str
) -> None:
    await stream.send_all(make_head(request_id))
    while True:
        await stream.send_all(piece)


def _endless(make_head: Callable[[str], bytes], piece: bytes) -> AnswerSender:
    """Return a sender that repeats a piece until the connection is closed."""
    return partial(_repeat, make_head, piece)


def _chunked_events(request_id: str) -> bytes:
    return sealed_head(request_id, _EVENTS, _CHUNKED)


# Answers without end, by what is repeated.
ENDLESS: Final[dict[str, AnswerSender]] = {
    "interim answers": _endless(lambda _: b"", b"HTTP/1.1 100 Continue\r\n\r\n" * REPEATS),
    "header lines": _endless(lambda _: b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n" * REPEATS),
    "no http": _endless(lambda _: b"", bytes(REPEATS)),
    "chunks of one byte": _endless(_chunked_events, b"1\r\nx\r\n" * REPEATS),
    "chunks of a newline": _endless(_chunked_events, b"1\r\n\n\r\n" * REPEATS),
    "comments": _endless(_chunked_events, chunk_bytes(b":\n\n" * REPEATS)),
    "comments in chunks": _endless(_chunked_events, chunk_bytes(b":\n\n") * REPEATS),
    "one event": _endless(_chunked_events, chunk_bytes(b"data: x\n" * REPEATS)),
    "events": _endless(_chunked_events, chunk_bytes(b"data: x\n\n" * REPEATS)),
    "body without length": _endless(sealed_head, b"z" * REPEATS),
    "body": _endless(lambda id_: sealed_head(id_, ("content-length", "9" * 18)), b"z" * REPEATS),
    "more than announced": _endless(
        lambda id_: sealed_head(id_, ("content-length", "5")), b"hello" * REPEATS
    ),
    "trailers": _endless(lambda id_: _chunked_events(id_) + b"0\r\n", b"x-a: b\r\n" * REPEATS),
}
