"""Paces requests to the limit that a replica names, in requests per second of all entries.

No entry knows what the others send. Each paces its own requests to its share of the limit, so that
all together stay within what the limit allows in any window of WINDOW_SECONDS, however the
requests are distributed over the entries. An entry gets one permit per period. It saves an unused
permit only for as long as all entries may do so at the same time; if there are too many entries
for that, the permit expires.

Times are in seconds on any one clock that does not go back.
"""

import math
import random
from dataclasses import dataclass
from typing import Final

# The platform allows WINDOW_LIMIT_FACTOR * WINDOW_SECONDS * limit + WINDOW_EXTRA_REQUESTS requests
# in any window, as its documentation of backpressure specifies.
WINDOW_SECONDS: Final = 4.0
WINDOW_LIMIT_FACTOR: Final = 1.5
WINDOW_EXTRA_REQUESTS: Final = 5
# The longest time for which an unused permit is saved.
MAX_SAVED_SECONDS: Final = 1.5
# If permits expire, each can be used for PERMIT_LIFETIME_SECONDS. Entries then use only this
# fraction of the limit, since the permits of several entries may coincide.
PERMIT_LIFETIME_SECONDS: Final = 1.0
EXPIRING_LIMIT_FRACTION: Final = 0.75
# Lower limits are raised to this value, so that an occasional request probes whether the limit
# still applies.
MIN_LIMIT_PER_SECOND: Final = 0.25
MIN_EXPIRING_LIMIT_PER_SECOND: Final = 0.1  # the same for the case that permits expire
# At a limit so low that an entry's share of it is less than one request per interval, each entry
# still sends one as a probe, as far as the requests allowed in a window have room for that. All
# entries together send at most MAX_PROBES_PER_SECOND.
PROBE_INTERVAL_SECONDS: Final = 3.5
MAX_PROBES_PER_SECOND: Final = 0.6


@dataclass(slots=True)
class RequestLimit:
    """One entry's view of the limit of one replica, with the time of its next request."""

    per_second: float | None = None  # None while the replica names no limit
    stated_at: float = -math.inf  # when the limit, or its end, was last seen in an answer
    pending: bool = False  # not yet sent to other entries
    _next_at: float = -math.inf  # the time of the next permit

    def note_answer(self, limit: float | None, sent_at: float, share: float, now: float) -> bool:
        """Apply the limit that an answer names, None if it names none; return whether it changed.

        An answer without a limit ends the limit only if its request was sent after the limit was
        known: an answer to an earlier request may have been sent before the limit applied and
        arrive later. `share` is this entry's share of the limit, 0 to 1.
        """
        if limit is None and (self.per_second is None or sent_at <= self.stated_at):
            return False
        changed = self.receive(limit, now, share, now)
        self.pending |= changed
        return changed

    def receive(self, limit: float | None, stated_at: float, share: float, now: float) -> bool:
        """Apply a limit that a replica stated at `stated_at`; return whether the limit changed.

        It is ignored if a statement that is not older is known already.
        """
        if stated_at <= self.stated_at:
            return False
        before, self.per_second = self.per_second, limit
        self.stated_at = stated_at
        if before is None and limit is not None:
            self._draw_first_permit(share, now)
        return limit != before

    def seconds_to_next(self, share: float, now: float) -> float:
        """Return the seconds until this entry may send a request, 0 if it may now."""
        if self.per_second is None:
            return 0.0
        return max(0.0, self._next_permit(share, now) - now)

    def count(self, share: float, now: float) -> None:
        """Use up a permit for a request that is sent."""
        if self.per_second is None:
            return
        used = self._next_permit(share, now)
        saved = self._saved_seconds(share)
        if saved >= 0:
            used = max(used, now - saved)
        self._next_at = used + 1 / self._rate(share)

    def _draw_first_permit(self, share: float, now: float) -> None:
        """Set the first permit to a random time, so that entries do not send at the same time."""
        self._next_at = now + random.uniform(0.0, 1 / self._rate(share))

    def _next_permit(self, share: float, now: float) -> float:
        """Return the time from which the next permit may be used."""
        period = 1 / self._rate(share)
        # A period that was longer under an earlier share or limit must not prolong the wait.
        next_at = min(self._next_at, now + period)
        if self._permits_expire(share) and now - next_at > PERMIT_LIFETIME_SECONDS:
            next_at += math.ceil((now - PERMIT_LIFETIME_SECONDS - next_at) / period) * period
        return next_at

    def _rate(self, share: float) -> float:
        """Return the requests per second that this entry may send."""
        limit = self.per_second or 0.0
        if self._permits_expire(share):
            return max(MIN_EXPIRING_LIMIT_PER_SECOND, EXPIRING_LIMIT_FRACTION * limit) * share
        return self._total_rate(share) * share

    def _total_rate(self, share: float) -> float:
        """Return the requests per second of all entries together if permits do not expire."""
        limit = self.per_second or 0.0
        entries = 1 / share
        spare = _spare_requests(limit, entries) / WINDOW_SECONDS
        return max(
            MIN_LIMIT_PER_SECOND,
            limit,
            min(entries / PROBE_INTERVAL_SECONDS, spare, MAX_PROBES_PER_SECOND),
        )

    def _permits_expire(self, share: float) -> bool:
        return self._saved_seconds(share) < 0

    def _saved_seconds(self, share: float) -> float:
        """Return how long unused permits are saved, in seconds; negative if none may be saved.

        With E entries, a total rate of R and s saved seconds, at most
        E + (WINDOW_SECONDS + s) * R requests are sent in a window.
        """
        limit = self.per_second or 0.0
        total_rate = self._total_rate(share)
        if total_rate == MIN_LIMIT_PER_SECOND:
            limit = MIN_LIMIT_PER_SECOND
        return min(
            MAX_SAVED_SECONDS, _spare_requests(limit, 1 / share) / total_rate - WINDOW_SECONDS
        )


def _spare_requests(limit: float, entries: float) -> float:
    """Return the requests that a limit allows in a window beyond the first of each entry."""
    return WINDOW_EXTRA_REQUESTS + WINDOW_SECONDS * WINDOW_LIMIT_FACTOR * limit - entries
