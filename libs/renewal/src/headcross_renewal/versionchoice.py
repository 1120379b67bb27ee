"""Whether a version of weights is still worth bringing in once a newer one is named.

Each named version ends the older ones a fixed time after its name, so a version that a newer one
follows serves for a while at most, and bringing it in holds the newer one up. Answers the load of
versions that are named in quick succession, or while the origin is away.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from headcross_facts.facts import VersionNotice

# Requests leave an older version so long before its bound (as entries do, see weightsrules).
LEAVE_SECONDS: Final = 1.6
# From the order to load until the replica serves: draining, verifying, loading. Measured on a
# replica of 2 MiB: 0.3 to 0.5 s.
LOAD_SECONDS: Final = 0.4


@dataclass(frozen=True, slots=True)
class Bringing:
    """What bringing one version here would take, and what it would be good for."""

    missing_bytes: int
    bytes_per_second: float  # of the link that they come over
    serves_until: float  # monotonic; infinite for the newest version
    held_serves_until: float  # the same of the version that the replica holds now

    def ready_at(self, now: float) -> float:
        """Return when the replica would serve it."""
        return now + self.missing_bytes / self.bytes_per_second + LOAD_SECONDS

    def gained_seconds(self, now: float) -> float:
        """Return for how long it would serve when the version that is held does not."""
        return self.serves_until - max(self.ready_at(now), self.held_serves_until)

    def is_worth_it(self, now: float, *, delays_newer: bool) -> bool:
        """Tell whether more service is gained than the newer version is held up for.

        While the newer one cannot be had anyway, any gain is worth it.

        >>> nearly_here = Bringing(400_000, 400_000.0, serves_until=4.0, held_serves_until=0.5)
        >>> nearly_here.is_worth_it(0.0, delays_newer=True)
        True
        >>> half_here = Bringing(1_000_000, 400_000.0, serves_until=4.0, held_serves_until=0.5)
        >>> half_here.is_worth_it(0.0, delays_newer=True)
        False
        >>> half_here.is_worth_it(0.0, delays_newer=False)
        True
        """
        cost = self.ready_at(now) - now if delays_newer else 0.0
        return self.gained_seconds(now) > cost


def serves_until(version: int, notices: Sequence[VersionNotice], bound_seconds: float) -> float:
    """Return until when a version takes requests (monotonic); infinite while it is the newest.

    `notices` are those of its model, and `bound_seconds` is the bound on older versions.

    >>> notices = [VersionNotice(2, 10.0, False), VersionNotice(3, 13.0, False)]
    >>> [serves_until(version, notices, 8.0) for version in (1, 2, 3)]
    [16.4, 19.4, inf]
    """
    newer = [notice.seen_at for notice in notices if notice.version > version]
    return min(newer, default=float("inf")) + bound_seconds - LEAVE_SECONDS
