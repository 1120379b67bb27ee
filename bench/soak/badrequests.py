"""Sends malformed or invalid requests, which must be refused with a 4xx and never run."""

import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_platform import names

from testing.machinelayout import HOST, KEY

ANSWER_SECONDS: Final = 6.0  # longer than the header timeout of an entry
SMUGGLED_SUFFIX: Final = "-smuggled"


class BadForm(Enum):
    """What is wrong with a request."""

    NOT_HTTP = "not http"
    TWO_LENGTHS = "two lengths"
    LENGTH_AND_CHUNKS = "length and chunks"
    LONG_HEADERS = "long headers"
    LONG_BODY = "long body"
    NO_ID = "no id"
    UNKNOWN_KEY = "unknown key"
    NO_ROUTE = "no route"


@dataclass(slots=True)
class BadRequest:
    """One bad request and the status of its answer."""

    id: str
    form: BadForm
    sent_at: float
    status: int = 0  # 0: no answer


@dataclass
class BadRequests:
    """Sends random bad requests and keeps their answers."""

    generator: random.Random
    sent: dict[str, BadRequest] = field(default_factory=dict)

    async def send(self, address: Address) -> None:
        """Send one bad request of a random form to an entry."""
        form = self.generator.choice(list(BadForm))
        bad = BadRequest(f"bad-{len(self.sent):05d}", form, trio.current_time())
        self.sent[bad.id] = bad
        try:
            with trio.move_on_after(ANSWER_SECONDS):
                stream = await trio.open_tcp_stream(address.ip, address.port)
                async with stream:
                    await stream.send_all(compose(form, bad.id))
                    bad.status = read_status(await stream.receive_some(4096))
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass


def compose(form: BadForm, request_id: str) -> bytes:
    """Return the bytes of a bad request; most carry a second one for a lax parser to find."""
    hidden = _head(f"{request_id}{SMUGGLED_SUFFIX}") + "Content-Length: 0\r\n\r\n"
    match form:
        case BadForm.NOT_HTTP:
            text = f"\x00\x01{request_id}\r\n\r\n{hidden}"
        case BadForm.TWO_LENGTHS:
            text = f"{_head(request_id)}Content-Length: 0\r\nContent-Length: 3\r\n\r\n{hidden}"
        case BadForm.LENGTH_AND_CHUNKS:
            framing = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            text = f"{_head(request_id)}{framing}{hidden}"
        case BadForm.LONG_HEADERS:
            text = f"{_head(request_id)}X-Long: {'x' * 8192}\r\n\r\n{hidden}"
        case BadForm.LONG_BODY:
            text = f"{_head(request_id)}Content-Length: 70000\r\n\r\n{hidden}"
        case BadForm.NO_ID:
            lines = [
                line for line in _head(request_id).split("\r\n") if names.REQUEST_ID not in line
            ]
            text = "\r\n".join(lines) + "Content-Length: 0\r\n\r\n"
        case BadForm.UNKNOWN_KEY:
            text = _head(request_id).replace(KEY, "no-such-key") + "Content-Length: 0\r\n\r\n"
        case BadForm.NO_ROUTE:
            text = _head(request_id).replace("/once/", "/nowhere/") + "Content-Length: 0\r\n\r\n"
    return text.encode("latin-1")


def read_status(data: bytes) -> int:
    """Parse the status of an answer; return 0 if there is none.

    >>> read_status(b"HTTP/1.1 431 Too long")
    431
    """
    if not data.startswith(b"HTTP/1.1 "):
        return 0
    return int(data[9:12])


def _head(request_id: str) -> str:
    lines = [
        f"POST /once/{request_id} HTTP/1.1",
        f"Host: {HOST}",
        f"{names.REQUEST_ID}: {request_id}",
        f"{names.KEY}: {KEY}",
        f"{names.DEADLINE_MS}: 3000",
    ]
    return "\r\n".join([*lines, ""])
