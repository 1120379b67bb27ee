"""Retry rules: which refusals may be retried, and how many retries an entry may make.

A request that was refused as not run may always be retried elsewhere. One that may have run is
retried only if it is repeatable and nothing of an answer has reached the caller. Both apply only
before the deadline and within a budget: each request earns a fifth of a retry, so that a pool with
half of its replicas down receives at most 1.2 attempts per request instead of a retry storm.
"""

from typing import Final

from headcross_base.errorcodes import (
    CONNECT_FAILED,
    DRAINING,
    LEAVING,
    LINK_LOST,
    NOT_READY,
    NOT_SERVING,
    QUEUE_FULL,
    REVOKED,
    STREAM_BROKEN,
    UPSTREAM_ERROR,
    ErrorCode,
)
from headcross_base.verdicts import MayHaveRun, NotRun, Refusal

RETRIES_EARNED_PER_REQUEST: Final = 0.2
# Maximum number of saved retries; an entry starts with this many.
MAX_SAVED_RETRIES: Final = 20.0
MAX_ATTEMPTS: Final = 5  # per request, including the first

# Reasons of refusals for which another upstream may succeed.
RETRYABLE_REASONS: Final[frozenset[ErrorCode]] = frozenset(
    {
        CONNECT_FAILED,
        DRAINING,
        LEAVING,
        NOT_READY,
        NOT_SERVING,
        QUEUE_FULL,
        REVOKED,
        LINK_LOST,
        UPSTREAM_ERROR,
        STREAM_BROKEN,
    }
)


class RetryBudget:
    """The retries that one entry may still make."""

    # Retries made, and retries denied because the budget was used up.
    spent: int
    denied: int

    def __init__(self) -> None:
        self.spent = 0
        self.denied = 0
        self._saved_retries = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Add the fraction of a retry that a request earns."""
        self._saved_retries = min(
            MAX_SAVED_RETRIES, self._saved_retries + RETRIES_EARNED_PER_REQUEST
        )

    def spend(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if self._saved_retries < 1:
            self.denied += 1
            return False
        self._saved_retries -= 1
        self.spent += 1
        return True


def may_retry(refusal: Refusal, repeatable: bool, answer_started: bool) -> bool:
    """Return whether a refused request may be sent to another upstream.

    >>> may_retry(MayHaveRun(LINK_LOST), repeatable=False, answer_started=False)
    False
    >>> may_retry(MayHaveRun(LINK_LOST), repeatable=True, answer_started=False)
    True
    """
    if refusal.reason not in RETRYABLE_REASONS or answer_started:
        return False
    match refusal:
        case NotRun():
            return True
        case MayHaveRun():
            return repeatable
