"""Makes the attempts of an admitted request until one answers it or no other may follow.

The steps in order: acquire a slot at a replica; make an attempt; if it fails, make another as far
as the route, the retry budget and the deadline allow. While all attempts of a request are silent,
another is made beside them, and none is given up until one has taken the request over (see
`headcross_base.attemptset`). A refusal is returned as soon as nothing may still answer.
"""

import math
from dataclasses import dataclass, field, replace
from typing import Final

import trio
from headcross_base.attemptset import AttemptSet, RunningAttempt, with_attempts
from headcross_base.errorcodes import NO_REPLICA, NO_ROOM, STREAM_BROKEN
from headcross_base.verdicts import Completed, MayHaveRun, NotRun, Refusal, Verdict
from headcross_ports.requests import HandOver
from headcross_wire.bodymemory import HeldAnswer

from headcross_gateway.admission import Admission, QueueOrder
from headcross_gateway.admitted import Admitted
from headcross_gateway.answers import forward_complete
from headcross_gateway.attempts import Attempts, AttemptTimes, superseded_outcome
from headcross_gateway.containment import Containment
from headcross_gateway.losswatch import TrackedAttempt
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun, MayRun, Outcome, Streamed
from headcross_gateway.overload import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    Overload,
)
from headcross_gateway.picking import Requirements, requirements_of
from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.requestlog import AttemptWeights, log_attempt, log_silent
from headcross_gateway.retries import (
    MAX_REFUSALS,
    RUN_AGAIN_WAIT_SECONDS,
    HandOverDecision,
    Retries,
    count_not_run,
)
from headcross_gateway.weightsrules import WeightsRules

# Queue priority of a request that may have run: ahead of all others.
RERUN_PRIORITY: Final = -1
# While the attempts of a request are silent, whether another replica may be tried is checked at
# this interval.
HAND_OVER_CHECK_SECONDS: Final = 0.2
# After MAX_REFUSALS attempts beside a silent one that did not run, each next one waits this long.
HAND_OVER_PAUSE_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class Serving:
    """What an entry serves requests with."""

    attempts: Attempts
    admission: Admission
    rules: WeightsRules
    overload: Overload
    containment: Containment
    retries: Retries

    async def serve(self, request: Admitted) -> Verdict:
        """Answer a request; return the verdict, without having sent a refusal."""
        served = _ServedRequest(self, request)
        return await with_attempts(served.serve)


@dataclass(eq=False, slots=True)
class _Attempt:
    """One attempt of a request."""

    replica_state: ReplicaState
    weights: AttemptWeights
    expected_version: int | None  # the version that the replica must hold to run the request
    assigned_at: float = field(default_factory=trio.current_time)
    times: AttemptTimes = field(default_factory=AttemptTimes)
    held: HeldAnswer = field(default_factory=HeldAnswer)
    tracked: TrackedAttempt | None = None  # once it was begun
    silence_noted: bool = False

    @property
    def replica(self) -> str:
        """The id of its replica."""
        return self.replica_state.replica.id

    def note_silence(self) -> None:
        """Record at its replica that data is overdue."""
        self.silence_noted = True
        self.replica_state.health.note_failure(certain=False)
        self.replica_state.health.note_silence()


class _ServedRequest:
    """One request that is being served."""

    def __init__(self, serving: Serving, request: Admitted) -> None:
        self._serving = serving
        self._request = request
        self._attempts: dict[RunningAttempt[Outcome], _Attempt] = {}
        # What its caller is told if nothing answers.
        self._last_refusal: Refusal | None = None
        # When another attempt may be made beside silent ones (trio's clock).
        self._hand_over_at = 0.0
        self._hand_over_refusals = 0  # attempts beside a silent one that did not run
        self._logged_decision: HandOverDecision | None = None

    async def serve(self, running: AttemptSet[Outcome]) -> Verdict:
        """Make attempts until one answers or nothing may still answer."""
        verdict: Verdict | None = None
        while verdict is None:
            ended = running.take_ended()
            if ended is not None:
                verdict = await self._settle(running, self._attempts[ended[0]], ended[1])
            elif not running.running or self._may_hand_over(running):
                verdict = await self._make_next(running)
            else:
                is_silent = running.is_silent
                await running.wait_change(self._hand_over_at if is_silent else running.due_at)
        return verdict

    # The next attempt.

    def _may_hand_over(self, running: AttemptSet[Outcome]) -> bool:
        """Return whether all attempts are silent and another one may be made beside them."""
        now = trio.current_time()
        if not running.is_silent or now < self._hand_over_at:
            return False
        self._hand_over_at = now + HAND_OVER_CHECK_SECONDS
        request = self._request
        silent = [self._attempts[attempt] for attempt in running.running]
        decision = self._serving.retries.may_hand_over(request, [a.replica for a in silent])
        if decision is not self._logged_decision:
            self._logged_decision = decision
            for attempt in silent:
                log_silent(request, attempt.replica_state, decision.value, attempt.times)
        if decision is not HandOverDecision.ALLOWED:
            return False
        request.was_clear = True
        request.tried.update(attempt.replica for attempt in silent)
        for attempt in silent:
            if not attempt.silence_noted:
                attempt.note_silence()
                assert attempt.tracked is not None
                self._serving.containment.watch.note_silent(attempt.tracked)
        return True

    async def _make_next(self, running: AttemptSet[Outcome]) -> Verdict | None:
        """Start the next attempt; return the verdict if none may follow and none runs."""
        request, serving = self._request, self._serving
        requirements = self._requirements(running)
        refusal: NotRun | None = None
        replica_state: ReplicaState | None = None
        with running.interruptible() as interruptible:
            await serving.containment.wait_until_informed()
            refusal = serving.containment.refusal_of(request)
            if refusal is None:
                replica_state = await self._acquire_slot(requirements)
        if interruptible.cancelled_caught:
            return None
        if refusal is not None:
            return self._end_unless_running(running, self._stronger_refusal(refusal))
        if replica_state is None:
            return self._no_room(running, requirements)
        if not self._may_start(running):
            serving.admission.release_slot(replica_state)
            return None
        self._start(running, replica_state)
        return None

    def _may_start(self, running: AttemptSet[Outcome]) -> bool:
        """Return whether an attempt may start in the slot that was acquired; take its retry."""
        request, containment = self._request, self._serving.containment
        if running.has_ended:
            return False
        if containment.is_behind() or containment.refusal_of(request) is not None:
            return False
        if not running.running:
            return True
        return running.is_silent and self._serving.retries.take_retry_to_hand_over(request)

    def _start(self, running: AttemptSet[Outcome], replica_state: ReplicaState) -> None:
        request, serving = self._request, self._serving
        request.next_is_free = False
        request.runs += 1
        attempt = _Attempt(
            replica_state,
            self._weights_of(replica_state),
            _version_to_expect(request, replica_state),
        )
        health = replica_state.health
        health.on_trial = health.needs_trial()
        request.held_answers.append(attempt.held)
        attempt.tracked = serving.containment.watch.begin(request, replica_state, attempt.times)

        async def make(running_attempt: RunningAttempt[Outcome]) -> Outcome:
            return await self._make(running_attempt, attempt)

        self._attempts[running.start(make)] = attempt

    async def _make(self, running: RunningAttempt[Outcome], attempt: _Attempt) -> Outcome:
        """Make an attempt and record how it ended, also if another one has superseded it."""
        request, serving = self._request, self._serving
        outcome: Outcome | None = None
        try:
            outcome = await serving.attempts.make(
                request.exchange.request,
                request.facts,
                attempt.replica_state,
                self._hand_over_of(attempt),
                serving.retries.timeouts_for(request),
                request.relay,
                fresh=not request.route.repetition.may_run_again,
                times=attempt.times,
                held=attempt.held,
                running=running,
            )
        finally:
            if outcome is None and running.is_superseded:
                outcome = superseded_outcome(attempt.times, was_silent=attempt.silence_noted)
                if isinstance(outcome, DidNotRun):
                    request.runs -= 1
            self._record_end(attempt, outcome)
        return outcome

    def _record_end(self, attempt: _Attempt, outcome: Outcome | None) -> None:
        """Record how an attempt ended; `outcome` is None if the request was cancelled."""
        request, serving = self._request, self._serving
        replica_state = attempt.replica_state
        replica_state.health.on_trial = False
        if not isinstance(outcome, CompleteAnswer):
            serving.attempts.memory.release(attempt.held)
        assert attempt.tracked is not None
        try:
            serving.containment.watch.end(attempt.tracked, outcome)
        finally:
            serving.admission.release_slot(replica_state)
        if outcome is None:
            return
        if not (attempt.silence_noted and isinstance(outcome, MayRun) and outcome.silent):
            version_required = attempt.expected_version is not None
            replica_state.record_outcome(outcome, version_required=version_required)
        log_attempt(request, replica_state, outcome, attempt.weights, attempt.times)
        if isinstance(outcome, CompleteAnswer | Streamed):
            seconds = trio.current_time() - attempt.assigned_at
            serving.overload.note_answer(request.service, seconds)

    # Outcomes.

    async def _settle(
        self, running: AttemptSet[Outcome], attempt: _Attempt, outcome: Outcome
    ) -> Verdict | None:
        """Return the verdict after the end of an attempt, None if others run or may follow."""
        request, retries = self._request, self._serving.retries
        if not isinstance(outcome, DidNotRun):
            # A replica that may have run the request is not tried again. One that refused it
            # may have a free slot shortly, so it is not excluded.
            request.tried.add(attempt.replica)
        match outcome:
            case Streamed():
                return Completed(200)
            case CompleteAnswer() if request.relay is not None and request.relay.started:
                detail = f"status {outcome.answer.status} while resuming"
                self._last_refusal = MayHaveRun(STREAM_BROKEN, detail)
                if not running.running and retries.take_retry_after_failure(request, outcome):
                    request.next_is_free = True
                    return None
                return self._end_unless_running(running, self._last_refusal)
            case CompleteAnswer(failed=True) if running.running:
                request.failed_answer = outcome
                request.was_clear = False
                return None
            case CompleteAnswer():
                if not retries.take_retry_after_failure(request, outcome):
                    running.supersede_others(None)
                    return await forward_complete(request.exchange, outcome)
                request.failed_answer = outcome
                request.next_is_free = True
                return None
            case DidNotRun():
                return self._settle_not_run(running, attempt, outcome)
            case MayRun(reason=reason, detail=detail):
                self._last_refusal = MayHaveRun(reason, detail)
                if running.running:
                    request.was_clear = False
                elif retries.take_retry_to_rerun(request):
                    request.next_is_free = True
                    return None
                return self._end_unless_running(running, self._last_refusal)

    def _settle_not_run(
        self, running: AttemptSet[Outcome], attempt: _Attempt, outcome: DidNotRun
    ) -> Verdict | None:
        request = self._request
        count_not_run(request, outcome)
        request.tried.discard(attempt.replica)
        refusal = NotRun(outcome.reason, outcome.detail, MIN_RETRY_AFTER_SECONDS)
        self._last_refusal = self._stronger_refusal(refusal)
        request.next_is_free = not outcome.arrived
        if running.running:
            self._hand_over_refusals += 1
            if self._hand_over_refusals >= MAX_REFUSALS:
                self._hand_over_at = trio.current_time() + HAND_OVER_PAUSE_SECONDS
            return None
        if self._serving.retries.take_retry_after_refusal(request, outcome):
            request.next_is_free = True
            return None
        opening_seconds = self._seconds_to_opening(self._requirements(running))
        return self._end_unless_running(running, self._no_room_refusal(opening_seconds))

    def _end_unless_running(
        self, running: AttemptSet[Outcome], refusal: Refusal
    ) -> Verdict | None:
        """Return the verdict of a request that is refused, None if an attempt may still answer."""
        if running.running:
            return None
        if self._request.relay is not None and self._request.relay.started:
            return MayHaveRun(STREAM_BROKEN, refusal.detail)
        return refusal

    def _stronger_refusal(self, refusal: NotRun) -> Refusal:
        """Return the refusal to report: the last one if the request may have run by then."""
        is_stronger = isinstance(self._last_refusal, MayHaveRun)
        return self._last_refusal if is_stronger and self._last_refusal is not None else refusal

    def _no_room(self, running: AttemptSet[Outcome], requirements: Requirements) -> Verdict | None:
        """Return the verdict of a request that found no slot, None if an attempt runs."""
        request = self._request
        opening_seconds = self._seconds_to_opening(requirements)
        if not request.runs:
            self._serving.overload.note_refused(
                request.service,
                is_caller_retry=request.is_caller_retry,
                has_serving_replica=opening_seconds < math.inf,
            )
        return self._end_unless_running(running, self._no_room_refusal(opening_seconds))

    def _no_room_refusal(self, opening_seconds: float) -> Refusal:
        """Return the refusal of a request that found no slot.

        `opening_seconds` is the time until a replica accepts a request, infinite if none may serve
        it.
        """
        last_refusal = self._last_refusal
        if isinstance(last_refusal, MayHaveRun):
            return last_refusal
        if opening_seconds == math.inf:
            return last_refusal or NotRun(
                NO_REPLICA, "no replica may serve this now", MAX_RETRY_AFTER_SECONDS
            )
        overload = self._serving.overload
        seconds = overload.retry_after_seconds(self._request.service, opening_seconds)
        if last_refusal is not None:
            return (
                replace(last_refusal, retry_after_seconds=seconds)
                if opening_seconds > 0
                else last_refusal
            )
        if opening_seconds > 0:
            detail = f"no replica wants a request for another {opening_seconds:.2f} s"
            return NotRun(NO_ROOM, detail, seconds)
        return NotRun(NO_ROOM, self._no_room_detail(), seconds)

    def _no_room_detail(self) -> str:
        reserved = self._serving.overload.reserved_share(self._request.service)
        if not self._request.is_caller_retry or not reserved:
            return "no replica has room"
        return f"no replica has room beside {reserved:.2f} of the places, kept for first tries"

    # Slots.

    def _requirements(self, running: AttemptSet[Outcome]) -> Requirements:
        request = self._request
        requirements = requirements_of(
            request.facts, request.service, request.route.repetition.may_run_again
        )
        trying = (self._attempts[attempt].replica for attempt in running.running)
        tried = frozenset({*request.tried, *trying})
        return replace(requirements, tried=tried, exact_version=request.resume_version)

    def _seconds_to_opening(self, requirements: Requirements) -> float:
        return self._serving.admission.seconds_to_opening(
            requirements, self._request.configuration
        )

    async def _acquire_slot(self, requirements: Requirements) -> ReplicaState | None:
        request = self._request
        now = trio.current_time()
        priority = request.priority
        is_caller_retry = request.is_caller_retry and not request.tried
        has_serving_replica = self._seconds_to_opening(requirements) < math.inf
        wait = self._wait_seconds(is_caller_retry, has_serving_replica)
        if request.tried:
            # It may have run, so it fails for good without a slot. Therefore it goes first.
            until, priority = now + RUN_AGAIN_WAIT_SECONDS, RERUN_PRIORITY
        elif request.refusals or request.unreached:
            until = now + wait
        else:
            until = request.arrived_at + wait
        until = min(until, request.deadline)
        queues_last = self._serving.overload.queues_last(is_caller_retry=is_caller_retry)
        order = QueueOrder(priority, queues_last, request.deadline)
        return await self._serving.admission.acquire_slot(
            requirements, request.configuration, order, until, is_caller_retry=is_caller_retry
        )

    def _wait_seconds(self, is_caller_retry: bool, has_serving_replica: bool) -> float:
        request, overload = self._request, self._serving.overload
        aim = request.route.aim_seconds
        if not is_caller_retry:
            return overload.wait_seconds(aim, has_serving_replica=has_serving_replica)
        return overload.caller_retry_wait_seconds(
            request.service,
            aim,
            request.remaining_seconds,
            has_serving_replica=has_serving_replica,
        )

    def _weights_of(self, replica_state: ReplicaState) -> AttemptWeights:
        """Return the version that a replica serves, and how long it may still take requests."""
        model = self._request.facts.model
        version = replica_state.version_of(model) if model is not None else None
        if model is None or version is None:
            return AttemptWeights(None, float("inf"))
        return AttemptWeights(version, self._serving.rules.seconds_left(model, version))

    def _hand_over_of(self, attempt: _Attempt) -> HandOver:
        request = self._request
        return HandOver(
            replica=attempt.replica,
            remaining_seconds=request.remaining_seconds,
            team=request.team.name if request.team is not None else None,
            priority=request.priority,
            weights_version=attempt.expected_version,
            resume_after=request.relay.last_id if request.relay is not None else None,
        )


def _version_to_expect(request: Admitted, replica_state: ReplicaState) -> int | None:
    """Return the weights version that a replica must hold to run a request, None if any may."""
    if request.resume_version is not None or request.facts.model is None:
        return request.resume_version
    return replica_state.version_to_expect(request.facts.model)
