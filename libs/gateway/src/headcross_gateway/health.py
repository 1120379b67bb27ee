"""What an entry thinks of a replica from its own requests.

One failure is no verdict. After several in a row, or a connection that could not be opened, the
replica rests for a while that doubles; then a request that may be repeated tries it again.
"""

from dataclasses import dataclass
from typing import Final

from headcross_base.clocks import monotonic

FAILURES_TO_EJECT: Final = 2
FIRST_EJECTION_SECONDS: Final = 0.5
MAX_EJECTION_SECONDS: Final = 4.0


@dataclass(slots=True)
class Health:
    """One replica, as one entry experiences it."""

    failures: int = 0  # in a row
    ejections: int = 0  # in a row
    ejected_until: float = 0.0  # monotonic
    # When a request was last held back there, also if others came through since (monotonic).
    silent_at: float = float("-inf")
    # When it last answered a request (monotonic).
    answered_at: float = float("-inf")
    on_trial: bool = False  # one request is trying it after a rest

    def is_ejected(self) -> bool:
        """Tell whether it should be left alone."""
        return monotonic() < self.ejected_until

    def needs_trial(self) -> bool:
        """Tell whether it came out of a rest and nothing has succeeded since."""
        return self.ejections > 0 and not self.is_ejected()

    def note_silence(self) -> None:
        """Note that a request, or a connection, got no sign of life in time."""
        self.silent_at = monotonic()

    def silent_age(self) -> float:
        """Return how long ago it was last silent, in seconds; infinite if it never was."""
        return monotonic() - self.silent_at

    def answered_within(self, seconds: float) -> bool:
        """Tell whether it answered so lately, and nothing has failed there since."""
        return not self.failures and monotonic() - self.answered_at < seconds

    def answered_age(self) -> float:
        """Return how long ago it last answered, in seconds; infinite if it never did."""
        return monotonic() - self.answered_at

    def note_success(self) -> None:
        """Note a request that it answered."""
        self.answered_at = monotonic()
        self.failures = 0
        self.ejections = 0
        self.on_trial = False

    def note_failure(self, certain: bool) -> None:
        """Note a failure; `certain` if it could not be reached at all."""
        self.failures += 1
        self.on_trial = False
        if certain or self.failures >= FAILURES_TO_EJECT or self.ejections:
            seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**self.ejections)
            self.ejections += 1
            self.ejected_until = monotonic() + seconds
