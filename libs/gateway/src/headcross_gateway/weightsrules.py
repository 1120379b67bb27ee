"""Which versions of a model's weights may still take new requests.

A newer version that is named must replace the older ones within a bound. Until then both serve, so
that replicas can change over in turns; a safety margin before the bound new requests go to the new
version alone, and a smaller one before it those that still wait at their replicas are taken back.
"""

from dataclasses import dataclass
from typing import Final

from headcross_base.clocks import monotonic
from headcross_facts.facts import Facts, VersionNotice

# The version was acknowledged some time before this process learned of it, and a request takes
# some time from here to its first token. With 0.9 and 1.1 s requests began after the bound on 6 of
# 14 days of a simulated fleet.
SEND_MARGIN_SECONDS: Final = 1.6
# What has not begun so long before the bound is taken back. By judgement, from parts: news of a
# version rest for up to 0.23 s between two answers of the store, and through a link full of chunks
# a request came 0.36 s late, as the reset of a connection may. What takes longer still is not
# covered: a link that holds packets back for seconds delivers a request after its reset.
WITHDRAWAL_MARGIN_SECONDS: Final = 0.8
# In the last moments before the bound, old versions take only what need not wait long for its
# start: a replica may be ever less full, from the first share of its places to the second.
CLOSING_WINDOW_SECONDS: Final = 1.0
CLOSING_LOAD_SHARES: Final = (0.86, 0.4)
# How long a request may be under way after its entry gave it up: squeezed links hold one for 3 s
# and more. From so long before the bound on, a link must prove that it delivers before it takes a
# request to an old version.
MAX_LINK_HOLD_SECONDS: Final = 5.0
# From so long before the bound on, old versions are not even tried where something is known to
# have been held lately.
ENDING_SECONDS: Final = 3.0
# A process that starts after a version was named does not know when that was. It serves older
# versions for so long after its start.
AT_START_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class WeightsRules:
    """The bound on old versions, applied to what this process knows."""

    facts: Facts
    bound_seconds: float

    def lowest_allowed(self, model: str) -> int:
        """Return the oldest version that new requests may still be sent to."""
        return self._lowest(model, SEND_MARGIN_SECONDS)

    def lowest_to_begin(self, model: str) -> int:
        """Return the oldest version on which a request that was sent may still begin."""
        return self._lowest(model, WITHDRAWAL_MARGIN_SECONDS)

    def seconds_left(self, model: str, version: int) -> float:
        """Return for how long a version takes requests yet; infinite if no newer one is named."""
        return self._seconds_to_bound(model, version) - SEND_MARGIN_SECONDS

    def seconds_to_begin(self, model: str, version: int) -> float:
        """Return for how long a request on a version may wait until it begins."""
        return self._seconds_to_bound(model, version) - WITHDRAWAL_MARGIN_SECONDS

    def is_ending(self, model: str, version: int) -> bool:
        """Tell whether a request that is held back for long would start after the bound."""
        return self._seconds_to_bound(model, version) < ENDING_SECONDS

    def may_arrive_past_bound(self, model: str, version: int) -> bool:
        """Tell whether what is sent to a version now could reach its replica after the bound."""
        return self._seconds_to_bound(model, version) < MAX_LINK_HOLD_SECONDS

    def any_ends_within(self, seconds: float) -> bool:
        """Tell whether a bound on older versions comes within so many seconds."""
        now = monotonic()
        notices = (n for each in self.facts.versions.values() for n in each)
        return any(0 < self._bound_at(notice) - now < seconds for notice in notices)

    def max_load_share(self, model: str, version: int) -> float | None:
        """Return the share of its places that a replica may have taken; None for no bound."""
        left = self.seconds_left(model, version)
        if left >= CLOSING_WINDOW_SECONDS:
            return None
        early, late = CLOSING_LOAD_SHARES
        return late + (early - late) * max(0.0, left) / CLOSING_WINDOW_SECONDS

    def _seconds_to_bound(self, model: str, version: int) -> float:
        now = monotonic()
        newer = [n for n in self.facts.versions.get(model, []) if n.version > version]
        return min((self._bound_at(notice) - now for notice in newer), default=float("inf"))

    def _lowest(self, model: str, margin: float) -> int:
        """Return the newest version whose bound on older ones is that near, 0 if there is none."""
        latest = monotonic() + margin
        near = [
            n.version for n in self.facts.versions.get(model, []) if self._bound_at(n) <= latest
        ]
        return max(near, default=0)

    def _bound_at(self, notice: VersionNotice) -> float:
        """Return when nothing may start any more on versions before a named one."""
        if notice.at_start:
            return notice.seen_at + AT_START_SECONDS + SEND_MARGIN_SECONDS
        return notice.seen_at + self.bound_seconds
