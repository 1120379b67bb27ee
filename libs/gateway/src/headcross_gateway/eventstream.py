"""Splits server-sent event streams into whole events, for forwarding and resuming them.

Comments, which say nothing of the answer, are forwarded with the event that follows them: they
neither begin an answer nor show that it goes on.
"""

import re
from dataclasses import dataclass
from typing import Final

EVENT_END: Final = b"\n\n"
# An event that exceeds this size without an end is a protocol error.
MAX_EVENT_BYTES: Final = 1024 * 1024
# Empty lines and comments at the start of a stream or after an event.
_COMMENTS: Final = re.compile(rb"(?:[:][^\n]*+\n|\n)*+")


class EventTooLongError(Exception):
    """The replica sent more than MAX_EVENT_BYTES without the end of an event."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event, with the comments before it."""

    id: str | None
    data: bytes  # as it was sent, including the end marker


class EventSplitter:
    """Splits a stream of bytes into whole events."""

    def __init__(self) -> None:
        # Comments before the next event, and what follows them.
        self._comments = bytearray()
        self._rest = bytearray()
        # How much of the rest is known to have no end of an event.
        self._searched = 0

    @property
    def within_event(self) -> bool:
        """Whether the last event was received only in part."""
        return bool(self._rest)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the incomplete event and of the comments before it."""
        return len(self._comments) + len(self._rest)

    def take_comments(self) -> bytes:
        """Return the comments after the last event, which are not returned again."""
        comments = bytes(self._comments)
        self._comments.clear()
        return comments

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by `data`; keep the incomplete one that follows them.

        Raises EventTooLongError if the incomplete event, or the comments before it, exceed
        MAX_EVENT_BYTES.

        >>> splitter = EventSplitter()
        >>> [event.id for event in splitter.feed(b"id: 0\\ndata: a\\n\\n:\\n\\nid: 1\\n")]
        ['0']
        >>> splitter.within_event
        True
        """
        if self._is_one_event(data):
            return [StreamEvent(_id_of(data), data)]
        self._rest += data
        events: list[StreamEvent] = []
        while self._move_comments():
            end = self._rest.find(EVENT_END, self._searched)
            if end < 0:
                # The end of an event may have arrived in part.
                self._searched = len(self._rest) - 1
                break
            event = bytes(self._rest[: end + len(EVENT_END)])
            events.append(StreamEvent(_id_of(event), self.take_comments() + event))
            del self._rest[: len(event)]
            self._searched = 0
        if max(len(self._rest), len(self._comments)) > MAX_EVENT_BYTES:
            raise EventTooLongError
        return events

    def _is_one_event(self, data: bytes) -> bool:
        """Return whether there is exactly one event and nothing else, as there usually is."""
        return (
            not self._rest
            and not self._comments
            and not data.startswith((b":", b"\n"))
            and 0 < data.find(EVENT_END) == len(data) - len(EVENT_END)
        )

    def _move_comments(self) -> bool:
        """Move comments from the start of the rest to the others; return whether more follows."""
        match = _COMMENTS.match(self._rest)
        if match is not None and match.end():
            self._comments += match.group()
            del self._rest[: match.end()]
            self._searched = 0
        return bool(self._rest)


def _id_of(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
