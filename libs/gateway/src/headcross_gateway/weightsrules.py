"""Decides which versions of a model's weights may still take new requests.

A fixed time after a new version is named, requests may no longer begin on older ones: this is the
bound of the older versions. Until then both serve, so that replicas can load the new one in turns.
From a safety margin before the bound on, new requests are sent only to the new version; from a
smaller margin on, requests that still wait at replicas with older versions are withdrawn.
"""

from dataclasses import dataclass
from typing import Final

from headcross_base.monotonic import monotonic
from headcross_facts.facts import Facts, VersionNotice

# No requests are sent to older versions within this time before the bound. The margin covers the
# delay until this process learns of a version and the time from sending a request to its first
# token.
# With 1.1 s, some requests begin after the bound.
SEND_MARGIN_SECONDS: Final = 1.6
# Requests that have not begun this long before the bound are withdrawn. The margin covers known
# delays: news of a version waits up to 0.23 s between two answers of the store, and a request, or
# the reset of its connection, takes up to 0.36 s over a link that is saturated by chunks. Longer
# delays are not covered: a link that holds packets back for seconds delivers a request even after
# the reset of its connection.
WITHDRAWAL_MARGIN_SECONDS: Final = 0.8
# In this window before SEND_MARGIN_SECONDS begins, older versions take only requests that start
# soon: the load up to which a replica takes requests falls from the first share of its slots to
# the second.
CLOSING_WINDOW_SECONDS: Final = 1.0
CLOSING_LOAD_SHARES: Final = (0.86, 0.4)
# How long a link may delay a request, which it then delivers although it was withdrawn: links with
# too little bandwidth delay one by 3 s and more. From this long before the bound, a link must
# prove that it delivers before a request to an older version is sent over it.
MAX_LINK_HOLD_SECONDS: Final = 5.0
# From this long before the bound, older versions are not tried at replicas whose link is known to
# have delayed a request recently.
ENDING_SECONDS: Final = 3.0
# A process that starts after a version was named does not know when that was, so it sends requests
# to older versions for only this long after its start.
START_GRACE_SECONDS: Final = 2.0


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
        """Return the seconds for which a version still takes requests.

        Negative if it takes none any more, infinite if no newer version is named.
        """
        return self._seconds_to_bound(model, version) - SEND_MARGIN_SECONDS

    def seconds_to_begin(self, model: str, version: int) -> float:
        """Return the seconds within which a request to a version must begin, or is withdrawn."""
        return self._seconds_to_bound(model, version) - WITHDRAWAL_MARGIN_SECONDS

    def is_ending(self, model: str, version: int) -> bool:
        """Return whether a request that its link delays could begin after the version's bound."""
        return self._seconds_to_bound(model, version) < ENDING_SECONDS

    def may_arrive_past_bound(self, model: str, version: int) -> bool:
        """Return whether a request sent now could reach its replica after the version's bound."""
        return self._seconds_to_bound(model, version) < MAX_LINK_HOLD_SECONDS

    def any_ends_within(self, seconds: float) -> bool:
        """Return whether a bound on older versions falls within the next `seconds`."""
        now = monotonic()
        notices = (n for model_notices in self.facts.versions.values() for n in model_notices)
        return any(0 < self._bound_at(notice) - now < seconds for notice in notices)

    def max_load_share(self, model: str, version: int) -> float | None:
        """Return the share of its slots that a replica of a version may have in use.

        None if there is no limit yet.
        """
        seconds_left = self.seconds_left(model, version)
        if seconds_left >= CLOSING_WINDOW_SECONDS:
            return None
        early, late = CLOSING_LOAD_SHARES
        return late + (early - late) * max(0.0, seconds_left) / CLOSING_WINDOW_SECONDS

    def _seconds_to_bound(self, model: str, version: int) -> float:
        now = monotonic()
        newer = [n for n in self.facts.versions.get(model, []) if n.version > version]
        return min((self._bound_at(notice) - now for notice in newer), default=float("inf"))

    def _lowest(self, model: str, margin: float) -> int:
        """Return the newest version that must be in use within `margin` seconds, 0 if none."""
        horizon = monotonic() + margin
        required = [
            n.version for n in self.facts.versions.get(model, []) if self._bound_at(n) <= horizon
        ]
        return max(required, default=0)

    def _bound_at(self, notice: VersionNotice) -> float:
        """Return the time after which no request may begin on older versions (monotonic)."""
        if notice.at_start:
            return notice.seen_at + START_GRACE_SECONDS + SEND_MARGIN_SECONDS
        return notice.seen_at + self.bound_seconds
