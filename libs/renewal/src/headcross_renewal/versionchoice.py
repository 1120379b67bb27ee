"""Decides whether fetching a version of weights still pays off once a newer one is named.

Once a version is named, the older ones must stop serving within a fixed time, their bound. A
version that has been superseded therefore serves only for a limited time, and fetching it delays
the newer one. This matters when versions are named in quick succession, or while the origin is
unreachable.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from headcross_facts.facts import VersionNotice

# Entries stop routing to an older version this long before its bound (see `weightsrules`), so it
# counts as serving no requests from then on.
SEND_MARGIN_SECONDS: Final = 1.6
# From the order to load until the replica serves: draining, verifying and loading take 0.3 to
# 0.5 s with 2 MiB of weights.
ESTIMATED_LOAD_SECONDS: Final = 0.4


@dataclass(frozen=True, slots=True)
class FetchEstimate:
    """The estimated cost and benefit of fetching one version."""

    missing_bytes: int
    bytes_per_second: float  # rate of the link for weights
    serves_until: float  # when the version stops serving (monotonic); infinite for the newest one
    held_serves_until: float  # the same for the version that the replica holds now

    def ready_at(self, now: float) -> float:
        """Return when the replica would begin to serve the version (monotonic)."""
        return now + self.missing_bytes / self.bytes_per_second + ESTIMATED_LOAD_SECONDS

    def gained_seconds(self, now: float) -> float:
        """Return how many seconds the version would serve after the held version ends."""
        return self.serves_until - max(self.ready_at(now), self.held_serves_until)

    def is_worthwhile(self, now: float, *, delays_newer: bool) -> bool:
        """Return whether the service gained outweighs the delay of the newer version.

        If `delays_newer` is false, because the newer version is unavailable anyway, any gain is
        enough.

        >>> near = FetchEstimate(400_000, 400_000.0, serves_until=4.0, held_serves_until=0.5)
        >>> near.is_worthwhile(0.0, delays_newer=True)
        True
        >>> half = FetchEstimate(1_000_000, 400_000.0, serves_until=4.0, held_serves_until=0.5)
        >>> half.is_worthwhile(0.0, delays_newer=True)
        False
        >>> half.is_worthwhile(0.0, delays_newer=False)
        True
        """
        cost = self.ready_at(now) - now if delays_newer else 0.0
        return self.gained_seconds(now) > cost


def serves_until(version: int, notices: Sequence[VersionNotice], bound_seconds: float) -> float:
    """Return until when a version takes requests (monotonic); infinite while it is the newest.

    `notices` are the notices of its model. An older version must stop serving within
    `bound_seconds` of a newer one being named.

    >>> notices = [VersionNotice(2, 10.0, False), VersionNotice(3, 13.0, False)]
    >>> [serves_until(version, notices, 8.0) for version in (1, 2, 3)]
    [16.4, 19.4, inf]
    """
    newer = [notice.seen_at for notice in notices if notice.version > version]
    return min(newer, default=float("inf")) + bound_seconds - SEND_MARGIN_SECONDS
