"""HTTP/1.1 messages of a client, encoded and decoded by h11, and the interface to make calls.

This module does no input or output and does not import trio: the client on trio and the one on
blocking sockets, which a process uses before trio is imported, both use it.
"""

from dataclasses import dataclass
from typing import Final, Protocol

import h11
from headcross_base.addresses import Address
from headcross_base.errors import Failure, Ok

Headers = list[tuple[str, str]]

RECEIVE_BYTES: Final = 64 * 1024
MAX_IDLE_PER_ADDRESS: Final = 16  # idle connections kept per address
# Interim answers (RFC 9110, section 15.2) before the final one; no sound server sends many.
MAX_INTERIM_ANSWERS: Final = 16
# Parts of a body, such as chunks, that are returned as one piece if they have arrived together.
MAX_JOINED_PARTS: Final = 64
# A larger body is not copied behind the head of its request.
MAX_COPIED_BODY_BYTES: Final = 64 * 1024
BODILESS_STATUSES: Final = (204, 304)


class ConnectError(Exception):
    """No connection was made; nothing of the request was sent."""

    # Whether nothing listens at the address.
    refused: bool

    def __init__(self, detail: str, *, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class LinkLostError(Exception):
    """The connection broke after the request may have been sent."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and headers of an answer whose body has not been read yet."""

    status: int
    headers: Headers  # names in lower case

    def header(self, name: str) -> str | None:
        """Return the first header of that name (lower case), or None."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body ends where the connection does (RFC 9112, section 6.3).

        Such a body looks complete whenever the connection is closed in order, for whatever reason.
        """
        if self.status in BODILESS_STATUSES:
            return False
        return self.header("content-length") is None and self.header("transfer-encoding") is None


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer with its complete body."""

    status: int
    headers: Headers
    body: bytes


class HttpCalls(Protocol):
    """Calls to other processes; expected errors are returned as failures.

    `seconds` bounds a call, and `max_bytes` the body of its answer.
    """

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        seconds: float,
        max_bytes: int,
        silence_seconds: float | None = None,
    ) -> Ok[WholeAnswer] | Failure:
        """Make one call on a new connection.

        With `silence_seconds`, `seconds` only bounds the time to the first piece of the body.
        """

    async def call_idempotent(
        self, address: Address, method: str, target: str, *, seconds: float, max_bytes: int
    ) -> Ok[WholeAnswer] | Failure:
        """Make one call that may be repeated if an idle connection turns out to be dead."""

    async def call_once(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        body: bytes,
        seconds: float,
        max_bytes: int,
    ) -> Ok[WholeAnswer] | Failure:
        """Make one call without repeating it; only CONNECT_FAILED means that nothing was sent."""


class ClientCodec:
    """The messages of one connection, which is used for one request at a time."""

    # Number of events decoded so far.
    decoded: int

    def __init__(self, host: str) -> None:
        """Start a connection; `host` is sent as the host header of requests without one."""
        self.decoded = 0
        self._host = host
        self._connection = h11.Connection(h11.CLIENT)
        self._interim_answers = 0
        # An event that ended the last piece and belongs to the next one.
        self._kept_event: object = None
        # Whether nothing can be decoded before more is received.
        self._needs_data = False

    def encode_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> tuple[bytes, bytes]:
        """Return the bytes of a complete request, and a large body apart from them."""
        self._interim_answers = 0
        names = {name.lower() for name, _ in headers}
        extra = [] if "host" in names else [("host", self._host)]
        if body or method in ("POST", "PUT"):
            extra.append(("content-length", str(len(body))))
        encoded = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in [*extra, *headers]]
        head = self._connection.send(h11.Request(method=method, target=target, headers=encoded))
        if body:
            self._connection.send(h11.Data(data=body))
        self._connection.send(h11.EndOfMessage())
        # The body has a length, so it is sent as it is.
        small = body if len(body) <= MAX_COPIED_BODY_BYTES else b""
        return (head or b"") + small, body[len(small) :]

    def receive(self, data: bytes) -> None:
        """Add received bytes; empty bytes are the end of the connection."""
        self._needs_data = False
        self._connection.receive_data(data)

    def next_answer(self) -> Answer | None:
        """Return status and headers of the answer, or None if more bytes are needed.

        Raises LinkLostError if the connection ended before them, the bytes are not HTTP, or there
        are too many interim answers.
        """
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Response):
                headers = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in event.headers]
                return Answer(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise LinkLostError("the link closed before an answer")
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise LinkLostError(f"over {MAX_INTERIM_ANSWERS} interim answers")

    def next_piece(self) -> bytes | None:
        """Return the next piece of the body, None at its end, empty bytes if more are needed.

        Parts that have arrived together are one piece, up to `MAX_JOINED_PARTS`. Raises
        LinkLostError if the body is truncated, or the bytes are not HTTP; what arrived before is
        returned first.
        """
        if self._needs_data:
            return b""
        event, self._kept_event = self._kept_event, None
        if event is None:
            event = self._next_event()
        if isinstance(event, LinkLostError):
            raise event
        if event is h11.NEED_DATA:
            return b""
        if isinstance(event, h11.EndOfMessage):
            return None
        if not isinstance(event, h11.Data):
            raise LinkLostError("the link closed within the answer")
        return self._join_parts(bytes(event.data))

    def _join_parts(self, first: bytes) -> bytes:
        """Return a part of a body with those that follow it and have arrived."""
        parts = [first]
        while len(parts) < MAX_JOINED_PARTS:
            try:
                event = self._next_event()
            except LinkLostError as error:
                event = error
            if event is h11.NEED_DATA:
                self._needs_data = True
                break
            if not isinstance(event, h11.Data):
                self._kept_event = event
                break
            parts.append(bytes(event.data))
        return first if len(parts) == 1 else b"".join(parts)

    def reusable(self) -> bool:
        """Return whether another exchange may follow, and prepare the connection for it if so."""
        states = (self._connection.our_state, self._connection.their_state)
        if states != (h11.DONE, h11.DONE) or self._connection.trailing_data[0]:
            return False
        self._kept_event = None
        self._connection.start_next_cycle()
        return True

    def _next_event(self) -> object:
        self.decoded += 1
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError as error:
            raise LinkLostError(f"broken answer: {error}") from None
