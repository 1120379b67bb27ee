"""How many requests a second this entry has for each service, and how many find no place.

A service whose requests find no place now will be short of places for a while: the entry tells
callers to come back the later, the more of them it refused in the last seconds.
"""

import math
from collections import Counter
from typing import Final

# The demand of the last seconds counts: half of it fades in so long. Long enough that a second
# with few requests is no drop, short enough that the end of an overload is seen within seconds.
HALF_LIFE_SECONDS: Final = 1.0


class DemandMeter:
    """Measures the requests that come, by service."""

    def __init__(self, half_life_seconds: float = HALF_LIFE_SECONDS) -> None:
        self._half_life = half_life_seconds
        self._came: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._rates: dict[str, float] = {}
        self._refused_rates: dict[str, float] = {}
        self._measured_at: float | None = None

    def note(self, service: str) -> None:
        """Count a request."""
        self._came[service] += 1

    def note_refused(self, service: str) -> None:
        """Count a request that found no place."""
        self._refused[service] += 1

    def rate(self, service: str) -> float:
        """Return the requests a second for a service, as of the last measurement."""
        return self._rates.get(service, 0.0)

    def refused_share(self, service: str) -> float:
        """Return which part of the requests found no place lately, 0 to 1."""
        rate = self.rate(service)
        return min(1.0, self._refused_rates.get(service, 0.0) / rate) if rate else 0.0

    def measure(self, now: float) -> None:
        """Take in what came since the last measurement.

        `now` is in seconds on any one clock that does not go back. The first call only begins.
        """
        measured_at, self._measured_at = self._measured_at, now
        if measured_at is None or now <= measured_at:
            return
        seconds = now - measured_at
        kept = math.exp2(-seconds / self._half_life)
        _take_in(self._rates, self._came, seconds, kept)
        _take_in(self._refused_rates, self._refused, seconds, kept)


def _take_in(rates: dict[str, float], came: Counter[str], seconds: float, kept: float) -> None:
    """Mix what came within so many seconds into the rates; empties the counter."""
    for service in rates.keys() | came.keys():
        fresh = came[service] / seconds
        rates[service] = kept * rates.get(service, fresh) + (1 - kept) * fresh
    came.clear()
