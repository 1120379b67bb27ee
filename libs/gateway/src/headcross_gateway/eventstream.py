"""Splits server-sent event streams into whole events, for forwarding and resuming them."""

from dataclasses import dataclass
from typing import Final

EVENT_END: Final = b"\n\n"
# An event that exceeds this size without an end is a protocol error.
MAX_EVENT_BYTES: Final = 1024 * 1024


class EventTooLongError(Exception):
    """The replica sent more than MAX_EVENT_BYTES without the end of an event."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event."""

    id: str | None
    data: bytes  # as it was sent, including the end marker


class EventSplitter:
    """Splits a stream of bytes into whole events."""

    def __init__(self) -> None:
        self._incomplete_event = b""

    @property
    def within_event(self) -> bool:
        """Whether the last event was received only in part."""
        return bool(self._incomplete_event)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by `data`; keep the incomplete one that follows them.

        Raises EventTooLongError if the incomplete event exceeds MAX_EVENT_BYTES.

        >>> splitter = EventSplitter()
        >>> [event.id for event in splitter.feed(b"id: 0\\ndata: a\\n\\nid: 1\\n")]
        ['0']
        >>> splitter.within_event
        True
        """
        *whole_events, self._incomplete_event = (self._incomplete_event + data).split(EVENT_END)
        if len(self._incomplete_event) > MAX_EVENT_BYTES:
            raise EventTooLongError
        return [StreamEvent(_id_of(event), event + EVENT_END) for event in whole_events]


def _id_of(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
