"""Relays an upstream's answer to the caller, either complete or recognizably truncated.

An event stream is relayed event by event, and another replica may resume it at the next token. Any
other answer is buffered until it is complete, so that a failure in the middle leaves the caller
without a partial answer; one of more than MAX_BUFFERED_BYTES is relayed as it arrives.
"""

from typing import Final

import msgspec
from headcross_base.verdicts import COMPLETED, VERDICT_HEADER, Refusal
from headcross_native.eventstream import EVENT_STREAM, EventSplitter
from headcross_wire.httpcodec import Answer, Headers, LinkLostError
from headcross_wire.httpexchange import CallerGone, Exchange
from headcross_wire.replies import error_body

from headcross_routing.requestmeta import DIGEST_HEADER, HOP_BY_HOP_HEADERS, INTERNAL_HEADERS

MAX_BUFFERED_BYTES: Final = 1024 * 1024


class AnswerRelay:
    """Relays the answer to one request across all of its attempts."""

    # Splits the event stream; None for other answers and before a stream begins.
    events: EventSplitter | None
    # Digest of the weights that produce the answer; only the same weights may resume it.
    digest: str
    # Whether an attempt was made, so that the request may have run.
    was_attempted: bool

    def __init__(self, exchange: Exchange) -> None:
        self.events = None
        self.digest = ""
        self.was_attempted = False
        self._exchange = exchange
        self._answer: Answer | None = None
        self._buffered = bytearray()

    @property
    def started(self) -> bool:
        """Whether the caller has received the beginning of an answer."""
        return self._exchange.started

    @property
    def resumable(self) -> bool:
        """Whether another upstream can resume a broken answer."""
        return self.events is not None

    async def begin(self, answer: Answer) -> None:
        """Start to relay an answer, or resume a stream that an earlier attempt left incomplete."""
        self._answer = answer
        self._buffered.clear()
        if self.events is not None:
            # An incomplete event was not relayed; the next attempt sends it from its beginning.
            self.events = EventSplitter(self.events.tokens)
            return
        self.digest = answer.header(DIGEST_HEADER) or ""
        content_type = answer.header("content-type") or ""
        if content_type.startswith(EVENT_STREAM) and answer.status == 200:
            self.events = EventSplitter()
            await self._exchange.start(answer.status, self._headers(answer))

    async def forward(self, data: bytes) -> None:
        """Relay a piece of the upstream's body, or buffer it."""
        assert self._answer is not None
        if self.events is not None:
            complete_events = self.events.feed(data)
            if complete_events:
                await self._exchange.send(complete_events)
            return
        if self.started:
            await self._exchange.send(data)
            return
        self._buffered += data
        if len(self._buffered) > MAX_BUFFERED_BYTES:
            await self._exchange.start(self._answer.status, self._headers(self._answer))
            await self._exchange.send(bytes(self._buffered))
            self._buffered.clear()

    async def finish(self) -> int:
        """Complete the answer to the caller; return the upstream's HTTP status.

        Raises LinkLostError if a stream ended before its last event.
        """
        assert self._answer is not None
        if self.events is not None and not self.events.done:
            raise LinkLostError("the stream ended before its last event")
        if not self.started:
            await self._send_buffered(self._answer)
        await self._exchange.finish()
        return self._answer.status

    async def abort(self, refusal: Refusal) -> None:
        """Signal to a caller that has received part of the answer that the rest will not follow.

        Always raises CallerGone, which closes the caller's connection.
        """
        if self.events is not None:
            data = msgspec.json.encode(error_body(refusal))
            await self._exchange.send(b"event: error\ndata: " + data + b"\n\n")
        # The body's end is not sent, so that every HTTP client sees that the answer is truncated.
        raise CallerGone(refusal.reason.code)

    async def _send_buffered(self, answer: Answer) -> None:
        length = str(len(self._buffered))
        if self._exchange.request.method == "HEAD" or answer.status in (204, 304):
            length = answer.header("content-length") or "0"
        headers = [h for h in self._headers(answer) if h[0] != "content-length"]
        if answer.status != 204:
            headers.append(("content-length", length))
        await self._exchange.start(answer.status, headers)
        if self._buffered:
            await self._exchange.send(bytes(self._buffered))

    def _headers(self, answer: Answer) -> Headers:
        headers = [
            (name, value)
            for name, value in answer.headers
            if name not in HOP_BY_HOP_HEADERS | INTERNAL_HEADERS and name != VERDICT_HEADER.lower()
        ]
        length = answer.header("content-length")
        if length is not None:
            headers.append(("content-length", length))
        return [*headers, (VERDICT_HEADER, COMPLETED)]
