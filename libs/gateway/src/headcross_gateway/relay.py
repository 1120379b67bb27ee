"""Forwards a stream of events to the caller, over as many attempts as needed.

The head is sent together with the first whole event, so that the caller does not notice an attempt
that fails before that. A stream that is resumed at another replica keeps the first head and
continues after the last whole event; events that the caller already has are dropped. Each attempt
is a source of its own, so that one that is silent may continue while another is tried; the first
that has a new event claims the stream.
"""

import re
from collections.abc import Callable
from typing import Final

import trio
from headcross_base.decoding import parse_whole_number
from headcross_wire.httpcodec import Answer, Headers
from headcross_wire.httpexchange import Exchange

from headcross_gateway.eventstream import EventSplitter, StreamEvent

# Ids of other forms are forwarded without a check of their order.
DIGITS: Final = re.compile(r"[0-9]+")
# Bytes of events that are handled without letting other tasks run.
STEP_BYTES: Final = 4096
# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1), and the length, which is
# set anew for the answer to the caller.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)


class EventOutOfOrderError(Exception):
    """The replica skipped events."""


class StreamRelay:
    """The stream of one request to its caller."""

    # Whether anything of the answer was sent to the caller.
    started: bool
    # The id of the last event the caller has; None if it has none and did not resume.
    last_id: str | None
    # The weights version that the stream began on, if the replica stated it.
    weights_version: int | None
    # For logs: when the caller got its first event (trio's clock), and the longest pause between
    # events since then in seconds.
    first_at: float | None
    longest_pause: float

    def __init__(self, exchange: Exchange, resume_after: str | None) -> None:
        self.started = False
        self.last_id = resume_after
        self.weights_version = None
        self.first_at = None
        self.longest_pause = 0.0
        self._last_at = 0.0
        self._exchange = exchange

    def begin(
        self,
        answer: Answer,
        weights_version: int | None,
        claim: Callable[[], None] = lambda: None,
    ) -> "StreamSource":
        """Return the source of the events of an attempt; `answer` is the head of its answer.

        `claim` is called before anything of it is sent; no other source may send from then on.
        """
        return StreamSource(self, answer, weights_version, claim)

    async def start(self, source: "StreamSource") -> None:
        """Send the head of the answer unless an earlier source did."""
        if self.started:
            return
        self.started = True
        self.weights_version = source.weights_version
        headers = end_to_end_headers(source.answer.headers)
        await self._exchange.start(source.answer.status, headers)

    async def send(self, data: bytes) -> None:
        """Send events."""
        await self._exchange.send(data)
        now = trio.current_time()
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self._last_at)
        self._last_at = now

    async def finish(self, comments: bytes) -> None:
        """Send comments that belong to no event, and end the answer."""
        if comments:
            await self._exchange.send(comments)
        await self._exchange.finish()

    def is_next(self, event: StreamEvent) -> bool:
        """Record an event's id; return whether the caller does not have the event yet.

        Raises EventOutOfOrderError if events before it are missing.
        """
        if event.id is None or not DIGITS.fullmatch(event.id):
            return True
        number = parse_whole_number(event.id)
        if number is None:
            raise EventOutOfOrderError(f"an id of {len(event.id)} digits")
        last_number = parse_whole_number(self.last_id or "")
        if last_number is not None:
            if number <= last_number:
                return False
            if number > last_number + 1:
                raise EventOutOfOrderError(f"{event.id} after {self.last_id}")
        self.last_id = event.id
        return True


class StreamSource:
    """The events of one attempt, for the stream of its request."""

    answer: Answer  # the head
    weights_version: int | None

    def __init__(
        self,
        relay: StreamRelay,
        answer: Answer,
        weights_version: int | None,
        claim: Callable[[], None],
    ) -> None:
        self.answer = answer
        self.weights_version = weights_version
        self._relay = relay
        self._claim = claim
        self._splitter = EventSplitter()

    @property
    def buffered_bytes(self) -> int:
        """Bytes that were received and not forwarded yet."""
        return self._splitter.buffered_bytes

    async def forward(self, data: bytes) -> int:
        """Send the events completed by `data`; return how many were sent.

        An event counts as delivered as soon as its sending begins, so no attempt may follow a call
        that was cancelled. Raises EventOutOfOrderError if events are missing, after sending those
        before the gap.
        """
        count = await self._forward_step(data[:STEP_BYTES])
        for begin in range(STEP_BYTES, len(data), STEP_BYTES):
            await trio.lowlevel.checkpoint()
            count += await self._forward_step(data[begin : begin + STEP_BYTES])
        return count

    async def _forward_step(self, data: bytes) -> int:
        # From here to the claim there is no suspension, in which another source could claim.
        await trio.lowlevel.checkpoint_if_cancelled()
        new_events: list[bytes] = []
        problem: EventOutOfOrderError | None = None
        for event in self._splitter.feed(data):
            try:
                if self._relay.is_next(event):
                    new_events.append(event.data)
            except EventOutOfOrderError as error:
                problem = error
                break
        if new_events:
            self._claim()
            await self._relay.start(self)
            await self._relay.send(b"".join(new_events))
        if problem is not None:
            raise problem
        return len(new_events)

    async def finish(self) -> bool:
        """End the answer; return False and send nothing if it ends within an event."""
        if self._splitter.within_event:
            return False
        await trio.lowlevel.checkpoint_if_cancelled()
        self._claim()
        await self._relay.start(self)
        await self._relay.finish(self._splitter.take_comments())
        return True


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded, without the hop-by-hop ones."""
    connection_headers = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | connection_headers
    return [(name, value) for name, value in headers if name not in dropped]
