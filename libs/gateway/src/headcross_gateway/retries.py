"""Decides whether an entry sends a request to another replica, also while its replica is silent.

Each retry is taken from the budget that bounds the retries of all entries. A request under which
replicas were lost gets none. In this module a retry is one of the entry, not of the caller.
"""

from collections.abc import Collection
from dataclasses import replace
from enum import Enum
from typing import Final

from headcross_gateway.admission import Admission
from headcross_gateway.admitted import Admitted
from headcross_gateway.attempts import AttemptTimeouts
from headcross_gateway.budget import RetryBudget
from headcross_gateway.containment import Containment
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun
from headcross_gateway.picking import requirements_of

# A request is sent elsewhere after at most this many refusals by replicas. Each time takes a retry
# from the budget, since the request arrived at a replica.
MAX_REFUSALS: Final = 3
# The same for attempts that did not reach their replica; these take no retries.
MAX_UNREACHED: Final = 4
# A repeatable request that is not a stream is also sent to another replica when its answer is not
# complete this long after it was sent.
REPEATABLE_SILENCE_SECONDS: Final = 1.0
# How long a request that may have run waits for a second replica; it has the highest priority.
RUN_AGAIN_WAIT_SECONDS: Final = 1.0
# The same for a stream whose first event, or a later one, takes this long.
STREAM_FIRST_EVENT_SECONDS: Final = 1.6
STREAM_SILENCE_SECONDS: Final = 1.1


class HandOverDecision(Enum):
    """Whether a request whose replica is silent is also sent to another one, or why not."""

    ALLOWED = "allowed"
    ATTEMPTS_USED_UP = "attempts used up"
    REPLICAS_LOST = "replicas were lost under it"
    NO_OTHER_REPLICA = "no other replica takes it soon"
    NO_RETRY_LEFT = "no retry left"


class Retries:
    """Decides about the retries of one entry's requests, and takes them from the budget."""

    def __init__(
        self, admission: Admission, budget: RetryBudget, containment: Containment
    ) -> None:
        self._admission = admission
        self._budget = budget
        self._containment = containment

    def timeouts_for(self, request: Admitted) -> AttemptTimeouts:
        """Return after which times a replica is silent, infinite if no other may be tried."""
        if (
            not request.route.repetition.may_run_again
            or request.runs >= request.route.max_attempts
        ):
            return AttemptTimeouts(float("inf"), float("inf"))
        if request.relay is not None:
            return AttemptTimeouts(STREAM_FIRST_EVENT_SECONDS, STREAM_SILENCE_SECONDS)
        return AttemptTimeouts(REPEATABLE_SILENCE_SECONDS, REPEATABLE_SILENCE_SECONDS)

    def may_hand_over(self, request: Admitted, silent: Collection[str]) -> HandOverDecision:
        """Return whether to try another replica; `silent` are the ids of those that run it.

        It is not tried if none could take the request soon or no retry is left. If a saturated
        link silences many replicas at once, only as many requests are sent again as there are
        retries.
        """
        if request.runs >= request.route.max_attempts:
            return HandOverDecision.ATTEMPTS_USED_UP
        if not request.was_clear and not self._containment.is_clear(request):
            return HandOverDecision.REPLICAS_LOST
        requirements = requirements_of(request.facts, request.service, may_run_again=True)
        tried = frozenset({*request.tried, *silent})
        requirements = replace(requirements, tried=tried, exact_version=request.resume_version)
        opening = self._admission.seconds_to_opening(requirements, request.configuration)
        if opening > RUN_AGAIN_WAIT_SECONDS:
            return HandOverDecision.NO_OTHER_REPLICA
        if not request.next_is_free and not self._budget.may_spend(request.service):
            return HandOverDecision.NO_RETRY_LEFT
        return HandOverDecision.ALLOWED

    def take_retry_to_hand_over(self, request: Admitted) -> bool:
        """Take a retry to send a request to another replica; return whether it was taken."""
        return request.next_is_free or self._budget.spend(request.service)

    def take_retry_after_failure(self, request: Admitted, outcome: CompleteAnswer) -> bool:
        """Take a retry if a replica answered with a failure; return whether it was taken."""
        return outcome.failed and self.take_retry_to_rerun(request)

    def take_retry_to_rerun(self, request: Admitted) -> bool:
        """Take a retry for a request that may have run; return whether it may be sent again."""
        if not request.route.repetition.may_run_again:
            return False
        if request.runs >= request.route.max_attempts:
            return False
        if not request.was_clear and not self._containment.is_clear(request):
            return False
        request.was_clear = False
        return self._budget.spend(request.service)

    def take_retry_after_refusal(self, request: Admitted, outcome: DidNotRun) -> bool:
        """Take a retry for a request that did not run; return whether it is sent elsewhere.

        If it arrived at the replica, sending it elsewhere takes a retry.
        """
        if not outcome.arrived:
            return request.unreached <= MAX_UNREACHED
        return request.refusals <= MAX_REFUSALS and self._budget.spend(request.service)


def count_not_run(request: Admitted, outcome: DidNotRun) -> None:
    """Count an attempt that did not run at its replica."""
    request.runs -= 1
    if outcome.arrived:
        request.refusals += 1
    else:
        request.unreached += 1
