"""Measures the requests per second of each service, and the share of them that find no free slot.

If requests of a service find no free slot, the service will lack slots for a while: the larger the
share that an entry refused in the last seconds, the longer the retry-after time that it sends to
callers.
"""

import math
from collections import Counter
from typing import Final

# Half-life of the exponential average. Long enough that one second with few requests does not
# count as a drop, short enough that the end of an overload is detected within seconds.
HALF_LIFE_SECONDS: Final = 1.0


class DemandMeter:
    """Exponential averages of the requests that arrive and that are refused, by service."""

    def __init__(self, half_life_seconds: float = HALF_LIFE_SECONDS) -> None:
        self._half_life = half_life_seconds
        self._arrived: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._rates: dict[str, float] = {}
        self._refused_rates: dict[str, float] = {}
        self._measured_at: float | None = None

    def note(self, service: str) -> None:
        """Count a request."""
        self._arrived[service] += 1

    def note_refused(self, service: str) -> None:
        """Count a request that found no free slot."""
        self._refused[service] += 1

    def rate(self, service: str) -> float:
        """Return the average requests per second as of the last measurement."""
        return self._rates.get(service, 0.0)

    def refused_share(self, service: str) -> float:
        """Return the share of recent requests that found no free slot, 0 to 1."""
        rate = self.rate(service)
        return min(1.0, self._refused_rates.get(service, 0.0) / rate) if rate else 0.0

    def measure(self, now: float) -> None:
        """Add the requests since the last measurement to the averages.

        `now` is in seconds on any one clock that does not go back. The first call only starts the
        measurement.
        """
        measured_at, self._measured_at = self._measured_at, now
        if measured_at is None or now <= measured_at:
            return
        seconds = now - measured_at
        old_weight = math.exp2(-seconds / self._half_life)
        _update_rates(self._rates, self._arrived, seconds, old_weight)
        _update_rates(self._refused_rates, self._refused, seconds, old_weight)


def _update_rates(
    rates: dict[str, float], arrived: Counter[str], seconds: float, old_weight: float
) -> None:
    """Update averages with the requests of the last `seconds`, and clear the counter.

    `old_weight` is the weight of the previous averages, 0 to 1.
    """
    for service in rates.keys() | arrived.keys():
        latest_rate = arrived[service] / seconds
        rates[service] = (
            old_weight * rates.get(service, latest_rate) + (1 - old_weight) * latest_rate
        )
    arrived.clear()
