"""Decides whether an entry sends a request to another replica, also while its replica is silent.

Each retry is taken from the budget that bounds the retries of all entries. A request under which
replicas were lost gets none. In this module a retry is one of the entry, not of the caller.
"""

from dataclasses import replace
from typing import Final

from headcross_gateway.admission import Admission
from headcross_gateway.admitted import Admitted
from headcross_gateway.attempts import AttemptTimeouts
from headcross_gateway.budget import RetryBudget
from headcross_gateway.containment import Containment
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun
from headcross_gateway.picking import requirements_of
from headcross_gateway.replicastate import ReplicaState

# A request is sent elsewhere after at most this many refusals by replicas. Each time takes a retry
# from the budget, since the request arrived at a replica.
MAX_REFUSALS: Final = 3
# The same for attempts that did not reach their replica; these take no retries.
MAX_UNREACHED: Final = 4
# A repeatable request that is not a stream moves to another replica when its answer is not
# complete this long after it was sent.
REPEATABLE_SILENCE_SECONDS: Final = 1.0
# How long a request that may have run waits for a second replica; it has the highest priority.
RUN_AGAIN_WAIT_SECONDS: Final = 1.0
# A stream moves to another replica when its first event, or a later one, takes this long.
STREAM_FIRST_EVENT_SECONDS: Final = 1.6
STREAM_SILENCE_SECONDS: Final = 1.1


class Retries:
    """Decides about the retries of one entry's requests, and takes them from the budget."""

    def __init__(
        self, admission: Admission, budget: RetryBudget, containment: Containment
    ) -> None:
        self._admission = admission
        self._budget = budget
        self._containment = containment

    def timeouts_for(self, request: Admitted, replica_state: ReplicaState) -> AttemptTimeouts:
        """Return the time limits of an attempt, infinite if it may not leave a silent replica."""
        if (
            not request.route.repetition.may_run_again
            or request.runs >= request.route.max_attempts
        ):
            return AttemptTimeouts(float("inf"), float("inf"))

        def should_abandon() -> bool:
            return self._containment.is_clear(request) and self._take_retry_to_leave(
                request, replica_state
            )

        if request.relay is not None:
            return AttemptTimeouts(
                STREAM_FIRST_EVENT_SECONDS, STREAM_SILENCE_SECONDS, should_abandon
            )
        return AttemptTimeouts(
            REPEATABLE_SILENCE_SECONDS, REPEATABLE_SILENCE_SECONDS, should_abandon
        )

    def _take_retry_to_leave(self, request: Admitted, replica_state: ReplicaState) -> bool:
        """Take a retry for a request to leave a silent replica; return whether it leaves.

        It stays if no other replica could take it soon or no retry is left: otherwise a stream
        would be lost although its replica only pauses and may still continue. If a saturated link
        silences many replicas at once, only as many requests leave as there are retries.
        """
        requirements = requirements_of(request.facts, request.service, may_run_again=True)
        tried = frozenset({*request.tried, replica_state.replica.id})
        requirements = replace(requirements, tried=tried, exact_version=request.resume_version)
        opening = self._admission.seconds_to_opening(requirements, request.configuration)
        if opening > RUN_AGAIN_WAIT_SECONDS:
            return False
        if not self._budget.may_spend(request.service):
            return False
        request.retry_paid = self._budget.spend(request.service)
        return request.retry_paid

    def take_retry_after_failure(self, request: Admitted, outcome: CompleteAnswer) -> bool:
        """Take a retry if a replica answered with a failure; return whether it was taken."""
        return outcome.failed and self.take_retry_to_rerun(request)

    def take_retry_to_rerun(self, request: Admitted) -> bool:
        """Take a retry for a request that may have run; return whether it may be sent again."""
        if not request.route.repetition.may_run_again:
            return False
        if request.runs >= request.route.max_attempts:
            return False
        if request.retry_paid:
            # Its standing was checked when it left the silent replica. It is not checked again,
            # since that silence now counts against the request.
            request.retry_paid = False
            return True
        return self._containment.is_clear(request) and self._budget.spend(request.service)

    def take_retry_after_refusal(self, request: Admitted, outcome: DidNotRun) -> bool:
        """Count a refusal of a request that did not run; return whether it is sent elsewhere.

        If it arrived at the replica, sending it elsewhere takes a retry.
        """
        request.runs -= 1
        if not outcome.arrived:
            request.unreached += 1
            return request.unreached <= MAX_UNREACHED
        request.refusals += 1
        return request.refusals <= MAX_REFUSALS and self._budget.spend(request.service)
