"""Server-sent events, as far as passing them on whole needs it.

Entries pass on whole events only and count those that carry a token (an `id:` line, by the
protocol assumed of engines), so that a broken stream can be taken up at the next token. The last
event of a whole answer is `data: [DONE]`.
"""

from typing import Final

EVENT_STREAM: Final = "text/event-stream"
DONE_EVENT: Final = b"data: [DONE]"
EVENT_END: Final = b"\n\n"
# An event that grows beyond this without an end breaks the protocol.
MAX_EVENT_BYTES: Final = 1024 * 1024


class EventTooLongError(Exception):
    """The upstream sent an event without an end."""


class EventSplitter:
    """Cuts a stream of bytes into whole events."""

    # Events with a token passed so far.
    tokens: int
    # Whether the last event of the answer was seen.
    done: bool

    def __init__(self, tokens: int = 0) -> None:
        self.tokens = tokens
        self.done = False
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return all events that are whole now; the beginning of the next one is kept.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 0\\ndata: a\\n\\nid: 1\\n"), splitter.tokens
        (b'id: 0\\ndata: a\\n\\n', 1)
        """
        whole, end, self._rest = (self._rest + data).rpartition(EVENT_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLongError
        if not end:
            return b""
        for event in whole.split(EVENT_END):
            self.tokens += event.startswith(b"id:")
            self.done = self.done or event == DONE_EVENT
        return whole + end
