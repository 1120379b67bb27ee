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
# some time from here to its first token: without load 0.1 to 0.3 s.
MARGIN_SECONDS: Final = 1.6
# What has not begun so long before the bound is taken back. News of a version take up to 0.3 s
# (a rest of 0.23 s between two answers of the store, and the call), and the reset of a connection
# took 0.3 s through a link full of chunks.
WITHDRAWAL_SECONDS: Final = 0.8
# In the last moments before the bound, old versions take only what need not wait long for its
# start: a replica may be ever less full, from the first share of its places to the second.
CLOSING_SECONDS: Final = 1.0
CLOSING_SHARES: Final = (0.86, 0.4)
# A narrow link was measured to hold requests back for up to 2.7 s (docs/design/decisions.md). From
# so long before the bound on, what goes to an old version must not go where that happens.
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
        """Return the oldest version that new requests may still run on."""
        return self._lowest_at(model, monotonic())

    def lowest_to_begin(self, model: str) -> int:
        """Return the oldest version on which a request that was sent may still begin."""
        return self._lowest_at(model, monotonic() - (MARGIN_SECONDS - WITHDRAWAL_SECONDS))

    def seconds_to_next_end(self) -> float:
        """Return when `lowest_to_begin` rises next, infinite while no version is to end."""
        moment = monotonic() - (MARGIN_SECONDS - WITHDRAWAL_SECONDS)
        notices = (notice for named in self.facts.versions.values() for notice in named)
        ahead = (self._due_at(notice) - moment for notice in notices)
        return min((seconds for seconds in ahead if seconds > 0), default=float("inf"))

    def is_ending(self, model: str, version: int) -> bool:
        """Tell whether a request that is held back for long would start after the bound."""
        return self.seconds_left(model, version) < ENDING_SECONDS - MARGIN_SECONDS

    def fullest(self, model: str, version: int) -> float | None:
        """Return the share of its places that a replica may have taken; None for no bound."""
        left = self.seconds_left(model, version)
        if left >= CLOSING_SECONDS:
            return None
        early, late = CLOSING_SHARES
        return late + (early - late) * max(0.0, left) / CLOSING_SECONDS

    def seconds_left(self, model: str, version: int) -> float:
        """Return for how long a version may take requests; infinite if no newer one is named."""
        now = monotonic()
        due = [n for n in self.facts.versions.get(model, []) if n.version > version]
        return min((self._due_at(notice) - now for notice in due), default=float("inf"))

    def _lowest_at(self, model: str, moment: float) -> int:
        due = [
            notice.version
            for notice in self.facts.versions.get(model, [])
            if moment >= self._due_at(notice)
        ]
        return max(due, default=0)

    def _due_at(self, notice: VersionNotice) -> float:
        if notice.at_start:
            return notice.seen_at + AT_START_SECONDS
        return notice.seen_at + self.bound_seconds - MARGIN_SECONDS
