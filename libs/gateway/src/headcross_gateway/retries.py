"""Whether a request is sent to another replica after an attempt, or leaves one that is silent.

Each repeat takes a retry of the budget that all entries have in common. A request that replicas
were lost under gets none.
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

# Refusals that one request is carried on after; each is an arrival that the budget pays for.
MAX_REFUSALS: Final = 3
MAX_UNREACHED: Final = 4
# A repeatable request whose replica shows no sign of life goes elsewhere after this.
REPEATABLE_PATIENCE_SECONDS: Final = 1.0
# A request that may have run waits so long for its second place, and goes first.
RUN_AGAIN_WAIT_SECONDS: Final = 1.0
STREAM_FIRST_SECONDS: Final = 1.6
STREAM_PAUSE_SECONDS: Final = 1.1


class Retries:
    """The repeats of one entry's requests."""

    def __init__(
        self, admission: Admission, budget: RetryBudget, containment: Containment
    ) -> None:
        self._admission = admission
        self._budget = budget
        self._containment = containment

    def patience(self, request: Admitted, place: ReplicaState) -> AttemptTimeouts:
        """Return how long a request waits for signs of life of a replica."""
        if (
            not request.route.repetition.may_run_again
            or request.runs >= request.route.max_attempts
        ):
            return AttemptTimeouts(float("inf"), float("inf"))

        def leave() -> bool:
            return self._containment.is_clear(request) and self._pay_to_leave(request, place)

        if request.relay is not None:
            return AttemptTimeouts(STREAM_FIRST_SECONDS, STREAM_PAUSE_SECONDS, leave)
        return AttemptTimeouts(REPEATABLE_PATIENCE_SECONDS, REPEATABLE_PATIENCE_SECONDS, leave)

    def _pay_to_leave(self, request: Admitted, place: ReplicaState) -> bool:
        """Take the retry with which a request leaves a silent replica; False if it has to stay.

        It stays where no other replica could take it, or no retry is left: a stream that was given
        up for a pause of its replica was lost for nothing, since the replica might have gone on.
        Where a full link silences many replicas at once, only as many leave as there are retries.
        """
        wish = requirements_of(request.facts, request.service, may_run_again=True)
        tried = frozenset({*request.tried, place.replica.id})
        wish = replace(wish, tried=tried, exact_version=request.bound_version)
        opening = self._admission.seconds_to_opening(wish, request.configuration)
        if opening > RUN_AGAIN_WAIT_SECONDS:
            return False
        if not self._budget.may_spend(request.service):
            return False
        request.retry_paid = self._budget.spend(request.service)
        return request.retry_paid

    def should_repeat_failure(self, request: Admitted, outcome: CompleteAnswer) -> bool:
        """Tell whether a replica's own failure is tried elsewhere, and pay for it."""
        return outcome.failed and self.may_run_again(request)

    def may_run_again(self, request: Admitted) -> bool:
        """Tell whether a request that may have run may be sent once more, and pay for it."""
        if not request.route.repetition.may_run_again:
            return False
        if request.runs >= request.route.max_attempts:
            return False
        if request.retry_paid:
            # It was clear as it left a silent replica, and that silence now counts against it.
            request.retry_paid = False
            return True
        return self._containment.is_clear(request) and self._budget.spend(request.service)

    def may_go_on_after_refusal(self, request: Admitted, outcome: DidNotRun) -> bool:
        """Tell whether a request that did not run is sent elsewhere, and pay for its arrival."""
        request.runs -= 1
        if not outcome.arrived:
            request.unreached += 1
            return request.unreached <= MAX_UNREACHED
        request.refusals += 1
        return request.refusals <= MAX_REFUSALS and self._budget.spend(request.service)
