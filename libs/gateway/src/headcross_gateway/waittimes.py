"""Estimates how long requests of one entry wait at one replica until they begin.

A replica's daemon reports the numbers of running and queued requests, which do not show how long
the queue takes. The waits of this entry's own requests do: the estimate is the longest of the
present waits and of the recent ones.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

from headcross_base.monotonic import monotonic

# Half-life of the longest recent wait; a replica's queue lasts some seconds.
HALF_LIFE_SECONDS: Final = 2.0


@dataclass(slots=True)
class WaitTimes:
    """The waits of one entry's requests at one replica."""

    _start_times: list[float] = field(
        default_factory=list
    )  # starts of present waits, oldest first
    _longest: float = 0.0  # in seconds
    _longest_at: float = float("-inf")  # on the monotonic clock

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Count a request as waiting during the block."""
        started_at = monotonic()
        self._start_times.append(started_at)
        try:
            yield
        finally:
            self._start_times.remove(started_at)
            self._note(monotonic() - started_at)

    def expected(self) -> float:
        """Return the seconds that a request is expected to wait at the replica, 0 if unknown."""
        longest_current_wait = monotonic() - self._start_times[0] if self._start_times else 0.0
        return max(longest_current_wait, self._decayed_longest())

    def _note(self, seconds: float) -> None:
        if seconds >= self._decayed_longest():
            self._longest = seconds
            self._longest_at = monotonic()

    def _decayed_longest(self) -> float:
        """Return the longest recent wait in seconds, which decays with its age."""
        age = monotonic() - self._longest_at
        return float(self._longest * 0.5 ** (age / HALF_LIFE_SECONDS))
