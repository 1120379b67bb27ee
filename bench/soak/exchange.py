"""Sends one request of a caller and records its answer."""

from dataclasses import dataclass
from typing import Final

import trio
from headcross_platform import names
from headcross_wire.httpclient import HttpConnection
from headcross_wire.httpcodec import Answer, Headers, LinkLostError

from bench.soak.record import CallerRequest, RequestKind
from bench.soak.site import STREAM_EVENTS
from testing.machinelayout import HOST, KEY, MODEL

PREFIXES: Final = {
    RequestKind.REPEATABLE: "/again/",
    RequestKind.ONCE: "/once/",
    RequestKind.STREAM: "/stream/",
    RequestKind.STRICT_STREAM: "/strict/",
}
STREAM_KINDS: Final = frozenset({RequestKind.STREAM, RequestKind.STRICT_STREAM})
OWN_ERROR: Final = b'{"error":"own"}'  # the body of an error answer of a replica


@dataclass(frozen=True, slots=True)
class Draft:
    """A request before it is sent, and how its caller behaves."""

    id: str
    kind: RequestKind
    filler: int  # bytes of the body besides the id
    deadline_seconds: float
    leaves_after: float | None  # seconds after sending; None: the caller waits
    leaves_by_reset: bool
    repeats: bool  # the caller sends another at once if this one fails
    fresh: bool  # whether it is sent on a new connection

    @property
    def body(self) -> bytes:
        """The body, which is unique to this request."""
        return self.id.encode() + b" " + b"x" * self.filler

    @property
    def path(self) -> str:
        """The request target."""
        return f"{PREFIXES[self.kind]}{self.id}"

    def headers(self) -> Headers:
        """Return the headers; requests for streams name their model."""
        headers = [
            ("host", HOST),
            (names.REQUEST_ID, self.id),
            (names.DEADLINE_MS, str(round(self.deadline_seconds * 1000))),
            (names.KEY, KEY),
        ]
        return [*headers, (names.MODEL, MODEL)] if self.kind in STREAM_KINDS else headers

    def to_record(self, entry: str) -> CallerRequest:
        """Return the record of this request, sent now to an entry."""
        return CallerRequest(
            self.id,
            self.kind,
            entry,
            trio.current_time(),
            event_count=STREAM_EVENTS if self.kind in STREAM_KINDS else None,
            deadline_seconds=self.deadline_seconds,
        )


async def exchange(connection: HttpConnection, draft: Draft, request: CallerRequest) -> None:
    """Send a request and record its answer; the caller sets `ended_at`."""
    body = bytearray()
    answer: Answer | None = None
    try:
        await connection.send("POST", draft.path, draft.headers(), draft.body)
        request.written = True
        answer = await connection.receive_answer()
        request.status = answer.status
        request.sealed = answer.header(names.SEAL) is not None
        while (piece := await connection.receive_piece()) is not None:
            body += piece
        request.whole = True
    except LinkLostError:
        pass
    finally:
        if answer is not None:
            judge(draft, answer, bytes(body), request)


def judge(draft: Draft, answer: Answer, body: bytes, request: CallerRequest) -> None:
    """Record whether an answer belongs to the request, and the events of a stream."""
    answer_id = answer.header(names.REQUEST_ID)
    has_own_id = answer_id in (None, draft.id)
    if not 200 <= answer.status < 300:
        request.own = has_own_id and (not request.sealed or OWN_ERROR.startswith(body))
        return
    if draft.kind not in STREAM_KINDS:
        request.own = has_own_id and draft.body.startswith(body)
        if request.whole:
            request.own = request.own and body == draft.body
        return
    request.own = has_own_id and _read_events(draft, body, request)


def _read_events(draft: Draft, body: bytes, request: CallerRequest) -> bool:
    """Record the complete events of a stream; return whether all belong to the request."""
    *events, incomplete = body.split(b"\n\n")
    for event in events:
        try:
            number, version = parse_event(event, draft.id)
        except ValueError:
            return False
        request.events.append(number)
        request.event_versions.append(version)
    return not incomplete or not request.whole


def parse_event(event: bytes, request_id: str) -> tuple[int, int]:
    r"""Return an event's number and version; raise ValueError if it is not of the request.

    >>> parse_event(b"id: 2\ndata: r-1 2 v7", "r-1")
    (2, 7)
    """
    first, _, second = event.decode("latin-1").partition("\n")
    number = int(first.removeprefix("id: "))
    owner, repeated_number, version = second.removeprefix("data: ").split(" ")
    if owner != request_id or int(repeated_number) != number or not version.startswith("v"):
        raise ValueError(f"an event of another request: {event!r}")
    return number, int(version[1:])
