"""Records what a process decided, why, and how often.

Each decision has a kind (counted, and exported as a metric), a subject and a reason in words. The
journal keeps the last JOURNAL_LENGTH decisions. Consecutive equal decisions on a subject are kept
as one with a count, so that a decision repeated every second does not evict the others.
"""

import logging
import time
from collections import Counter, deque
from typing import Final

import msgspec

JOURNAL_LENGTH: Final = 256

logger = logging.getLogger(__name__)


class Decision(msgspec.Struct):
    """One decision, as returned by the administration API."""

    kind: str  # stable name, counted in the metric headcross_decisions_total
    subject: str  # the upstream, pool, artifact or revision it concerns
    reason: str  # one sentence
    at: float  # Unix time in seconds, for display
    times: int = 1  # number of consecutive times it was taken


class Journal:
    """The last decisions of this process, and the number of decisions of each kind."""

    # Number of decisions by kind.
    counts: Counter[str]

    def __init__(self, length: int = JOURNAL_LENGTH) -> None:
        self.counts = Counter()
        self._entries: deque[Decision] = deque(maxlen=length)
        # The last decision by kind and subject.
        self._last_by_subject: dict[tuple[str, str], Decision] = {}

    def record(self, kind: str, subject: str, reason: str) -> None:
        """Record a decision; log it unless it repeats the last one of its kind and subject."""
        self.counts[kind] += 1
        last = self._last_by_subject.get((kind, subject))
        if last is not None and last.reason == reason:
            last.times += 1
            last.at = time.time()
            return
        decision = Decision(kind, subject, reason, time.time())
        if len(self._last_by_subject) > JOURNAL_LENGTH:
            self._last_by_subject.clear()
        self._last_by_subject[(kind, subject)] = decision
        self._entries.append(decision)
        logger.info("decision", extra={"kind": kind, "subject": subject, "reason": reason})

    def entries(self) -> list[Decision]:
        """Return the recorded decisions, oldest first."""
        return list(self._entries)
