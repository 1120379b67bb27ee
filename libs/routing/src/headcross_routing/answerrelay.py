"""Relays an upstream's answer to the caller, either complete or recognizably truncated.

An event stream is relayed event by event, and another replica may resume it at the next token. Any
other answer is buffered until it is complete, so that a failure in the middle leaves the caller
without a partial answer; one of more than MAX_BUFFERED_BYTES is relayed as it arrives. Each
attempt is a source of its own; the first that has something for the caller claims the answer.
"""

from collections.abc import Callable
from typing import Final

import msgspec
import trio
from headcross_base.verdicts import COMPLETED, VERDICT_HEADER, Refusal
from headcross_native.eventstream import EVENT_STREAM, EventSplitter
from headcross_wire.httpcodec import Answer, Headers, LinkLostError
from headcross_wire.httpexchange import CallerGone, Exchange
from headcross_wire.replies import error_body

from headcross_routing.requestmeta import DIGEST_HEADER, HOP_BY_HOP_HEADERS, INTERNAL_HEADERS

MAX_BUFFERED_BYTES: Final = 1024 * 1024


class AnswerRelay:
    """Relays the answer to one request across all of its attempts."""

    # Number of tokens that the caller has received of a stream.
    tokens: int
    # Digest of the weights that produce the answer; only the same weights may resume it.
    digest: str
    # Whether an attempt was made, so that the request may have run.
    was_attempted: bool
    # Whether the caller has received the beginning of a stream, which another upstream can resume.
    resumable: bool

    def __init__(self, exchange: Exchange) -> None:
        self.tokens = 0
        self.digest = ""
        self.was_attempted = False
        self.resumable = False
        self._exchange = exchange

    @property
    def started(self) -> bool:
        """Whether the caller has received the beginning of an answer."""
        return self._exchange.started

    def begin(self, answer: Answer, claim: Callable[[], None] = lambda: None) -> "AnswerSource":
        """Return the source of an attempt's answer, of which `answer` is the head.

        `claim` is called before anything of it is sent; no other source may send from then on.
        """
        return AnswerSource(self, self._exchange, answer, claim)

    async def abort(self, refusal: Refusal) -> None:
        """Signal to a caller that has received part of the answer that the rest will not follow.

        Always raises CallerGone, which closes the caller's connection.
        """
        if self.resumable:
            data = msgspec.json.encode(error_body(refusal))
            await self._exchange.send(b"event: error\ndata: " + data + b"\n\n")
        # The body's end is not sent, so that every HTTP client sees that the answer is truncated.
        raise CallerGone(refusal.reason.code)


class AnswerSource:
    """The answer of one attempt, for the answer to its request."""

    def __init__(
        self,
        relay: AnswerRelay,
        exchange: Exchange,
        answer: Answer,
        claim: Callable[[], None],
    ) -> None:
        self._relay = relay
        self._exchange = exchange
        self._answer = answer
        self._claim = claim
        self._buffered = bytearray()
        content_type = answer.header("content-type") or ""
        is_stream = content_type.startswith(EVENT_STREAM) and answer.status == 200
        # An incomplete event was not relayed; the next attempt sends it from its beginning.
        resumes = relay.resumable
        self._events = EventSplitter(relay.tokens) if is_stream or resumes else None

    async def forward(self, data: bytes) -> None:
        """Relay a piece of the upstream's body, or buffer it."""
        # From here to the claim there is no suspension, in which another source could claim.
        await trio.lowlevel.checkpoint_if_cancelled()
        if self._events is not None:
            complete_events = self._events.feed(data)
            if complete_events:
                await self._send_events(self._events, complete_events)
            return
        if self._exchange.started:
            await self._exchange.send(data)
            return
        self._buffered += data
        if len(self._buffered) > MAX_BUFFERED_BYTES:
            self._claim()
            await self._exchange.start(self._answer.status, self._headers())
            await self._exchange.send(bytes(self._buffered))
            self._buffered.clear()

    async def finish(self) -> int:
        """Complete the answer to the caller; return the upstream's HTTP status.

        Raises LinkLostError if a stream ended before its last event.
        """
        if self._events is not None and not self._events.done:
            raise LinkLostError("the stream ended before its last event")
        await trio.lowlevel.checkpoint_if_cancelled()
        self._claim()
        if not self._exchange.started:
            await self._send_buffered()
        await self._exchange.finish()
        return self._answer.status

    async def _send_events(self, splitter: EventSplitter, events: bytes) -> None:
        self._claim()
        self._relay.tokens = splitter.tokens
        if not self._relay.resumable:
            self._relay.resumable = True
            self._relay.digest = self._answer.header(DIGEST_HEADER) or ""
            await self._exchange.start(self._answer.status, self._headers())
        await self._exchange.send(events)

    async def _send_buffered(self) -> None:
        length = str(len(self._buffered))
        answer = self._answer
        if self._exchange.request.method == "HEAD" or answer.status in (204, 304):
            length = answer.header("content-length") or "0"
        headers = [h for h in self._headers() if h[0] != "content-length"]
        if answer.status != 204:
            headers.append(("content-length", length))
        await self._exchange.start(answer.status, headers)
        if self._buffered:
            await self._exchange.send(bytes(self._buffered))

    def _headers(self) -> Headers:
        answer = self._answer
        headers = [
            (name, value)
            for name, value in answer.headers
            if name not in HOP_BY_HOP_HEADERS | INTERNAL_HEADERS and name != VERDICT_HEADER.lower()
        ]
        length = answer.header("content-length")
        if length is not None:
            headers.append(("content-length", length))
        return [*headers, (VERDICT_HEADER, COMPLETED)]
