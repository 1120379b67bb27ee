"""Outlier ejection: tracks the health of a replica by the outcomes of an entry's requests.

A single failure does not eject a replica. Several in a row, or a connection that could not be
opened, eject it for a time that doubles with each ejection. Then one request that may be repeated
is sent as a trial, and its outcome decides whether the replica is used again.
"""

from dataclasses import dataclass
from typing import Final

from headcross_base.monotonic import monotonic

FAILURES_TO_EJECT: Final = 2
FIRST_EJECTION_SECONDS: Final = 0.5
MAX_EJECTION_SECONDS: Final = 4.0


@dataclass(slots=True)
class Health:
    """The health of one replica as observed by one entry."""

    failures: int = 0  # consecutive
    ejections: int = 0  # consecutive
    ejected_until: float = 0.0  # monotonic
    # When a request last got no data within its time limit, even if others succeeded since
    # (monotonic).
    silent_at: float = float("-inf")
    # When it last answered a request (monotonic).
    answered_at: float = float("-inf")
    on_trial: bool = False  # a trial request is in flight after an ejection

    def is_ejected(self) -> bool:
        """Return whether it is ejected now."""
        return monotonic() < self.ejected_until

    def needs_trial(self) -> bool:
        """Return whether its ejection is over and no request has succeeded since."""
        return self.ejections > 0 and not self.is_ejected()

    def note_silence(self) -> None:
        """Note that a request, or the opening of a connection, got no response in time."""
        self.silent_at = monotonic()

    def seconds_since_silence(self) -> float:
        """Return the seconds since a request last got no data, infinite if none ever did."""
        return monotonic() - self.silent_at

    def answered_within(self, seconds: float) -> bool:
        """Return whether it answered in the last `seconds`, and nothing has failed there since."""
        return not self.failures and monotonic() - self.answered_at < seconds

    def seconds_since_answer(self) -> float:
        """Return the seconds since it last answered, infinite if it never did."""
        return monotonic() - self.answered_at

    def note_success(self) -> None:
        """Note a request that it answered."""
        self.answered_at = monotonic()
        self.failures = 0
        self.ejections = 0
        self.on_trial = False

    def note_failure(self, certain: bool) -> None:
        """Note a failure; `certain` means that the replica could not be reached at all."""
        self.failures += 1
        self.on_trial = False
        if certain or self.failures >= FAILURES_TO_EJECT or self.ejections:
            seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**self.ejections)
            self.ejections += 1
            self.ejected_until = monotonic() + seconds
