"""Passing an answer on to the caller: whole, or broken off for everyone to see.

An event stream is passed on event by event, and may be taken up on another replica at the next
token. Any other answer is kept back until it is whole (up to a size), so that a break costs the
caller nothing; a larger one is passed on as it comes.
"""

from typing import Final

import msgspec
from headcross_base.verdicts import COMPLETED, VERDICT_HEADER, Refusal
from headcross_native.eventstream import EVENT_STREAM, EventSplitter
from headcross_wire.httpclient import Answer, LinkLostError
from headcross_wire.httpserver import CallerGone, Exchange, Headers
from headcross_wire.replies import error_body

from headcross_routing.requestmeta import DIGEST_HEADER, HOP_HEADERS, INTERNAL_HEADERS

KEPT_BACK_BYTES: Final = 1024 * 1024


class AnswerFlow:
    """The answer to one request, over all its attempts."""

    # Events of the stream so far; None for other answers and before the first.
    events: EventSplitter | None
    # Weights digest that the answer comes from; a resumed one must come from the same.
    digest: str

    def __init__(self, exchange: Exchange) -> None:
        self.events = None
        self.digest = ""
        self._exchange = exchange
        self._answer: Answer | None = None
        self._kept = bytearray()

    @property
    def started(self) -> bool:
        """Whether the caller has seen the beginning of an answer."""
        return self._exchange.started

    @property
    def resumable(self) -> bool:
        """Whether a broken answer can be taken up elsewhere."""
        return self.events is not None

    async def begin(self, answer: Answer) -> None:
        """An upstream's answer begins, or goes on after a break."""
        self._answer = answer
        self._kept.clear()
        if self.events is not None:
            # What was held back of an event that never ended comes again from its beginning.
            self.events = EventSplitter(self.events.tokens)
            return
        self.digest = answer.header(DIGEST_HEADER) or ""
        content_type = answer.header("content-type") or ""
        if content_type.startswith(EVENT_STREAM) and answer.status == 200:
            self.events = EventSplitter()
            await self._exchange.start(answer.status, self._headers(answer))

    async def pass_on(self, data: bytes) -> None:
        """Take a piece of the upstream's answer."""
        assert self._answer is not None
        if self.events is not None:
            whole = self.events.feed(data)
            if whole:
                await self._exchange.send(whole)
            return
        if self.started:
            await self._exchange.send(data)
            return
        self._kept += data
        if len(self._kept) > KEPT_BACK_BYTES:
            await self._exchange.start(self._answer.status, self._headers(self._answer))
            await self._exchange.send(bytes(self._kept))
            self._kept.clear()

    async def finish(self) -> int:
        """The upstream's answer ended; return its status."""
        assert self._answer is not None
        if self.events is not None and not self.events.done:
            raise LinkLostError("the stream ended before its last event")
        if not self.started:
            await self._send_whole(self._answer)
        await self._exchange.finish()
        return self._answer.status

    async def break_off(self, refusal: Refusal) -> None:
        """Tell a caller that has seen part of the answer that the rest will not come."""
        if self.events is not None:
            data = msgspec.json.encode(error_body(refusal))
            await self._exchange.send(b"event: error\ndata: " + data + b"\n\n")
        # Closing without the end of the body: no HTTP client takes this for a whole answer.
        raise CallerGone(refusal.reason.code)

    async def _send_whole(self, answer: Answer) -> None:
        length = str(len(self._kept))
        if self._exchange.request.method == "HEAD" or answer.status in (204, 304):
            length = answer.header("content-length") or "0"
        headers = [h for h in self._headers(answer) if h[0] != "content-length"]
        if answer.status != 204:
            headers.append(("content-length", length))
        await self._exchange.start(answer.status, headers)
        if self._kept:
            await self._exchange.send(bytes(self._kept))

    def _headers(self, answer: Answer) -> Headers:
        kept = [
            (name, value)
            for name, value in answer.headers
            if name not in HOP_HEADERS | INTERNAL_HEADERS and name != VERDICT_HEADER.lower()
        ]
        length = answer.header("content-length")
        if length is not None:
            kept.append(("content-length", length))
        return [*kept, (VERDICT_HEADER, COMPLETED)]
