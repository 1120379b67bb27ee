"""Records which services answer, and when requests with certain traits were last answered."""

from collections import deque
from collections.abc import Iterable
from typing import Final

from headcross_gateway.answersketch import NEVER, AnswerSketch
from headcross_gateway.sharedtraits import SharedTrait

# How long an answer counts for a trait.
RECENT_SECONDS: Final = 300.0
# Answers that show that a service answers requests.
ANSWERS_TO_SHOW_SERVICE: Final = 5


class AnswerHistory:
    """The complete answers known to one entry; `at` is in seconds on one monotonic clock."""

    def __init__(self) -> None:
        self._sketch = AnswerSketch()
        self._by_service: dict[str, deque[float]] = {}

    def note(self, service: str, traits: Iterable[SharedTrait], at: float) -> None:
        """Record an answer to a request at this entry."""
        times = self._by_service.setdefault(service, deque(maxlen=ANSWERS_TO_SHOW_SERVICE))
        times.append(at)
        for trait in traits:
            self._sketch.note(trait, at)

    def note_trait(self, trait: SharedTrait, at: float) -> None:
        """Record an answer to a request with a trait, reported by another entry."""
        self._sketch.note(trait, at)

    def answered_at(self, trait: SharedTrait) -> float:
        """Return when a request with a trait was last answered, NEVER if none is known."""
        return self._sketch.answered_at(trait)

    def was_answered(self, trait: SharedTrait, at: float) -> bool:
        """Return whether a trait was answered less than RECENT_SECONDS before `at`, or later."""
        answered_at = self._sketch.answered_at(trait)
        return answered_at > NEVER and at - answered_at < RECENT_SECONDS

    def has_answered_since(self, service: str, since: float) -> bool:
        """Return whether a service gave ANSWERS_TO_SHOW_SERVICE answers since a time."""
        times = self._by_service.get(service, ())
        return len(times) == ANSWERS_TO_SHOW_SERVICE and min(times) >= since
