"""Decides which versions of a model's weights may still take new requests.

A newer version that is named must replace the older ones within a bound. Until then both serve, so
that replicas can load the new one in turns. From a safety margin before the bound, new requests go
to the new version only; from a smaller margin, requests still waiting at replicas with older
versions are withdrawn.
"""

from dataclasses import dataclass
from typing import Final

from headcross_base.clocks import monotonic
from headcross_facts.facts import Facts, VersionNotice

# No requests are sent to older versions within this time before the bound. It covers the delay
# until this process learns of a version and the time from sending a request to its first token.
# With 1.1 s, some requests begin after the bound.
SEND_MARGIN_SECONDS: Final = 1.6
# Requests that have not begun this long before the bound are withdrawn. The margin covers known
# delays: news of a version waits up to 0.23 s between two answers of the store, and a request, or
# the reset of its connection, takes up to 0.36 s through a link that is full of chunks. Longer
# delays are not covered: a link that holds packets back for seconds delivers a request after its
# reset.
WITHDRAWAL_MARGIN_SECONDS: Final = 0.8
# In this window before requests stop, older versions take only requests that start soon: the load
# up to which a replica takes them falls from the first share of its slots to the second.
CLOSING_WINDOW_SECONDS: Final = 1.0
CLOSING_LOAD_SHARES: Final = (0.86, 0.4)
# How long after its withdrawal a link may still deliver a request: links with too little bandwidth
# delay one by 3 s and more. From this long before the bound, a link must prove that it delivers
# before a request to an older version is sent over it.
MAX_LINK_HOLD_SECONDS: Final = 5.0
# From this long before the bound, older versions are not tried at replicas whose link is known to
# have delayed a request recently.
ENDING_SECONDS: Final = 3.0
# A process that starts after a version was named does not know when that was, so it uses older
# versions for this long after its start.
AT_START_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class WeightsRules:
    """Applies the bound on older versions to the versions that this process knows of."""

    facts: Facts
    bound_seconds: float

    def lowest_allowed(self, model: str) -> int:
        """Return the oldest version that new requests may still be sent to."""
        return self._lowest(model, SEND_MARGIN_SECONDS)

    def lowest_to_begin(self, model: str) -> int:
        """Return the oldest version on which a request that was sent may still begin."""
        return self._lowest(model, WITHDRAWAL_MARGIN_SECONDS)

    def seconds_left(self, model: str, version: int) -> float:
        """Return how long a version still takes requests; infinite if no newer one is named."""
        return self._seconds_to_bound(model, version) - SEND_MARGIN_SECONDS

    def seconds_to_begin(self, model: str, version: int) -> float:
        """Return how long a request to a version may wait until it begins, in seconds."""
        return self._seconds_to_bound(model, version) - WITHDRAWAL_MARGIN_SECONDS

    def is_ending(self, model: str, version: int) -> bool:
        """Return whether a request that a link delays for long could start after the bound."""
        return self._seconds_to_bound(model, version) < ENDING_SECONDS

    def may_arrive_past_bound(self, model: str, version: int) -> bool:
        """Return whether a request sent now could reach its replica after the version's bound."""
        return self._seconds_to_bound(model, version) < MAX_LINK_HOLD_SECONDS

    def any_ends_within(self, seconds: float) -> bool:
        """Return whether a bound on older versions falls within the next `seconds`."""
        now = monotonic()
        notices = (n for each in self.facts.versions.values() for n in each)
        return any(0 < self._bound_at(notice) - now < seconds for notice in notices)

    def max_load_share(self, model: str, version: int) -> float | None:
        """Return the share of slots that a replica may have in use; None for no limit."""
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
        """Return the newest version whose bound is within `margin` seconds, 0 if there is none."""
        latest = monotonic() + margin
        near = [
            n.version for n in self.facts.versions.get(model, []) if self._bound_at(n) <= latest
        ]
        return max(near, default=0)

    def _bound_at(self, notice: VersionNotice) -> float:
        """Return the time after which no request may begin on an older version (monotonic)."""
        if notice.at_start:
            return notice.seen_at + AT_START_SECONDS + SEND_MARGIN_SECONDS
        return notice.seen_at + self.bound_seconds
