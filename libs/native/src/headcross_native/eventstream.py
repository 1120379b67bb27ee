"""Splits streams of server-sent events at event boundaries.

Entries forward complete events only and count those that carry a token (an `id:` line in the
protocol assumed for engines), so that a broken stream can be resumed at the next token. The last
event of a complete answer is `data: [DONE]`.
"""

from typing import Final

EVENT_STREAM: Final = "text/event-stream"
DONE_EVENT: Final = b"data: [DONE]"
EVENT_END: Final = b"\n\n"
# A longer event is a protocol violation.
MAX_EVENT_BYTES: Final = 1024 * 1024


class EventTooLongError(Exception):
    """The upstream sent an event of more than MAX_EVENT_BYTES without a terminator."""


class EventSplitter:
    """Splits a byte stream into complete events."""

    # Number of events with a token returned so far, plus the initial count.
    tokens: int
    # Whether DONE_EVENT was seen.
    done: bool

    def __init__(self, tokens: int = 0) -> None:
        self.tokens = tokens
        self.done = False
        self._incomplete = b""

    def feed(self, data: bytes) -> bytes:
        """Return all events completed by `data`, keeping an incomplete one for the next call.

        Raises EventTooLongError if the incomplete event exceeds MAX_EVENT_BYTES.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 0\\ndata: a\\n\\nid: 1\\n"), splitter.tokens
        (b'id: 0\\ndata: a\\n\\n', 1)
        """
        complete, end, self._incomplete = (self._incomplete + data).rpartition(EVENT_END)
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EventTooLongError
        if not end:
            return b""
        for event in complete.split(EVENT_END):
            self.tokens += event.startswith(b"id:")
            self.done = self.done or event == DONE_EVENT
        return complete + end
