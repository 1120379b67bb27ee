"""The limit that a replica names on the requests a second from all entries together.

No entry knows what the others send. Each paces its own requests to its part of the limit, so that
all together stay within what the limit allows in any few seconds, whoever of them has requests. A
place that an entry did not use may be saved only as far as all entries may do so at once; where
there are too many entries for that, it lapses.

Moments are in seconds on any one clock that does not go back.
"""

import math
import random
from dataclasses import dataclass
from typing import Final

# What a limit allows in any span of so many seconds: so many times its requests, and some more
# (source: the platform's pages on replicas in need).
SPAN_SECONDS: Final = 4.0
SPAN_PART: Final = 1.5
SPAN_EXTRA: Final = 5
# An unused place is saved for so long at most.
MOST_SAVED_SECONDS: Final = 1.5
# Where no place may be saved it can be used for so long, and so much of the limit is used: the
# entries' places may coincide.
PLACE_SECONDS: Final = 1.0
LAPSING_PART: Final = 0.75
# A lower limit is taken for this one: one request now and then finds out whether it still holds.
LEAST_LIMIT: Final = 0.25
LEAST_LAPSING_LIMIT: Final = 0.1  # where no place may be saved
# Each entry sends a request so often to find out whether a lower limit still holds, as far as
# what the limit allows in a span has room for that, and all together at most so many a second.
FIND_OUT_SECONDS: Final = 3.5
MOST_TO_FIND_OUT: Final = 0.6


@dataclass(slots=True)
class RequestLimit:
    """What one entry knows of the limit of one replica, and what it has sent there."""

    per_second: float | None = None  # None while the replica names none
    said_at: float = -math.inf  # when the replica last named it, or was seen to name it no more
    pending: bool = False  # other entries have yet to be told
    _next_at: float = -math.inf  # from when on the next request may be sent

    def answered(self, limit: float | None, sent_at: float, share: float, now: float) -> bool:
        """Take what an answer names as the limit; return whether that changes anything.

        An answer without a limit ends it only if its request was sent after the limit was known:
        another answer may have been given before the limit and come after it. `share` is this
        entry's part of the limit, 0 to 1.
        """
        if limit is None and (self.per_second is None or sent_at <= self.said_at):
            return False
        changed = self.receive(limit, now, share, now)
        self.pending |= changed
        return changed

    def receive(self, limit: float | None, said_at: float, share: float, now: float) -> bool:
        """Take what a replica said at a moment; return whether that changes anything."""
        if said_at <= self.said_at:
            return False
        before, self.per_second = self.per_second, limit
        self.said_at = said_at
        if before is None and limit is not None:
            self._begin(share, now)
        return limit != before

    def seconds_to_next(self, share: float, now: float) -> float:
        """Return after how many seconds a request may be sent, 0 if it may be now."""
        if self.per_second is None:
            return 0.0
        return max(0.0, self._next_place(share, now) - now)

    def count(self, share: float, now: float) -> None:
        """Count a request that is sent."""
        if self.per_second is None:
            return
        used = self._next_place(share, now)
        saved = self._saved_seconds(share)
        if saved >= 0:
            used = max(used, now - saved)
        self._next_at = used + 1 / self._rate(share)

    def _begin(self, share: float, now: float) -> None:
        """Begin to pace requests, at a moment that differs from entry to entry."""
        self._next_at = now + random.uniform(0.0, 1 / self._rate(share))

    def _next_place(self, share: float, now: float) -> float:
        """Return from when on the next place may be used."""
        period = 1 / self._rate(share)
        # Of a smaller share or limit, which held before, no longer wait is left over.
        next_at = min(self._next_at, now + period)
        if self._places_lapse(share) and now - next_at > PLACE_SECONDS:
            next_at += math.ceil((now - PLACE_SECONDS - next_at) / period) * period
        return next_at

    def _rate(self, share: float) -> float:
        """Return the requests a second that this entry may send."""
        limit = self.per_second or 0.0
        if self._places_lapse(share):
            return max(LEAST_LAPSING_LIMIT, LAPSING_PART * limit) * share
        return self._pace(share) * share

    def _pace(self, share: float) -> float:
        """Return the requests a second that all entries send together where no place lapses."""
        limit = self.per_second or 0.0
        entries = 1 / share
        spare = _spare_places(limit, entries) / SPAN_SECONDS
        return max(LEAST_LIMIT, limit, min(entries / FIND_OUT_SECONDS, spare, MOST_TO_FIND_OUT))

    def _places_lapse(self, share: float) -> bool:
        return self._saved_seconds(share) < 0

    def _saved_seconds(self, share: float) -> float:
        """Return for how long unused places are saved, below 0 if none may be.

        With E entries, a pace of P and c saved seconds, E + (SPAN + c) P requests come in a span
        at most.
        """
        limit = self.per_second or 0.0
        pace = self._pace(share)
        if pace == LEAST_LIMIT:
            limit = LEAST_LIMIT
        return min(MOST_SAVED_SECONDS, _spare_places(limit, 1 / share) / pace - SPAN_SECONDS)


def _spare_places(limit: float, entries: float) -> float:
    """Return how many requests a limit allows in a span beside the first one of each entry."""
    return SPAN_EXTRA + SPAN_SECONDS * SPAN_PART * limit - entries
