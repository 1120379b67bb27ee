"""Decides whether a request is sent to another replica, or leaves a silent one.

Each retry is taken from the budget that bounds the retries of all entries. A request under which
replicas were lost gets none.
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

# Refusals by replicas after which a request is still sent elsewhere; each is an arrival at a
# replica and takes a retry from the budget.
MAX_REFUSALS: Final = 3
MAX_UNREACHED: Final = 4
# A repeatable request moves to another replica when its replica has been silent for this long.
REPEATABLE_SILENCE_SECONDS: Final = 1.0
# How long a request that may have run waits for a second replica; it has the highest priority.
RUN_AGAIN_WAIT_SECONDS: Final = 1.0
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

    def timeouts_for(self, request: Admitted, state: ReplicaState) -> AttemptTimeouts:
        """Return how long a request waits for a silent replica; forever if it may not move."""
        if (
            not request.route.repetition.may_run_again
            or request.runs >= request.route.max_attempts
        ):
            return AttemptTimeouts(float("inf"), float("inf"))

        def should_abandon() -> bool:
            return self._containment.is_clear(request) and self._take_retry_to_leave(
                request, state
            )

        if request.relay is not None:
            return AttemptTimeouts(
                STREAM_FIRST_EVENT_SECONDS, STREAM_SILENCE_SECONDS, should_abandon
            )
        return AttemptTimeouts(
            REPEATABLE_SILENCE_SECONDS, REPEATABLE_SILENCE_SECONDS, should_abandon
        )

    def _take_retry_to_leave(self, request: Admitted, state: ReplicaState) -> bool:
        """Take a retry for a request that leaves a silent replica; False if it has to stay.

        It stays if no other replica could take it soon or no retry is left: otherwise a stream
        would be lost to a mere pause of its replica, which may still continue. If a saturated link
        silences many replicas at once, only as many requests leave as there are retries.
        """
        requirements = requirements_of(request.facts, request.service, may_run_again=True)
        tried = frozenset({*request.tried, state.replica.id})
        requirements = replace(requirements, tried=tried, exact_version=request.bound_version)
        opening = self._admission.seconds_to_opening(requirements, request.configuration)
        if opening > RUN_AGAIN_WAIT_SECONDS:
            return False
        if not self._budget.may_spend(request.service):
            return False
        request.retry_paid = self._budget.spend(request.service)
        return request.retry_paid

    def take_retry_after_failure(self, request: Admitted, outcome: CompleteAnswer) -> bool:
        """Return whether a failure answered by a replica is retried; takes the retry."""
        return outcome.failed and self.take_retry_to_rerun(request)

    def take_retry_to_rerun(self, request: Admitted) -> bool:
        """Return whether a request that may have run may be sent again; takes the retry."""
        if not request.route.repetition.may_run_again:
            return False
        if request.runs >= request.route.max_attempts:
            return False
        if request.retry_paid:
            # It was clear when it left the silent replica; that silence now counts against it.
            request.retry_paid = False
            return True
        return self._containment.is_clear(request) and self._budget.spend(request.service)

    def take_retry_after_refusal(self, request: Admitted, outcome: DidNotRun) -> bool:
        """Return whether a request that did not run is sent elsewhere.

        If it arrived at the replica, this takes a retry.
        """
        request.runs -= 1
        if not outcome.arrived:
            request.unreached += 1
            return request.unreached <= MAX_UNREACHED
        request.refusals += 1
        return request.refusals <= MAX_REFUSALS and self._budget.spend(request.service)
