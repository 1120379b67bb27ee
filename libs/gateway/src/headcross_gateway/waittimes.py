"""How long requests of one entry wait at one replica until they begin.

What a replica's daemon tells, requests at work and queued, does not say how long a queue lasts.
The entry's own requests do: those that wait there now, and the one that waited longest lately.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

from headcross_base.clocks import monotonic

# After this the longest wait counts half. By judgement: a replica's queue lasts some seconds.
HALF_LIFE_SECONDS: Final = 2.0


@dataclass(slots=True)
class WaitTimes:
    """The waits at one replica."""

    _since: list[float] = field(default_factory=list)  # of those that wait now, oldest first
    _longest: float = 0.0  # seconds
    _longest_at: float = float("-inf")  # monotonic

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Count a request as waiting during the block."""
        placed_at = monotonic()
        self._since.append(placed_at)
        try:
            yield
        finally:
            self._since.remove(placed_at)
            self._note(monotonic() - placed_at)

    def expected(self) -> float:
        """Return how long a request may wait there, in seconds; 0 if nothing is known."""
        waits_now = monotonic() - self._since[0] if self._since else 0.0
        return max(waits_now, self._lately())

    def _note(self, seconds: float) -> None:
        if seconds >= self._lately():
            self._longest = seconds
            self._longest_at = monotonic()

    def _lately(self) -> float:
        """Return the longest wait, worth less the longer ago it was."""
        age = monotonic() - self._longest_at
        return float(self._longest * 0.5 ** (age / HALF_LIFE_SECONDS))
