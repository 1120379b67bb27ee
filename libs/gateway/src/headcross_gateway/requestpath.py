"""Handles a caller's request from its arrival to its answer.

The steps in order: read the request and find its route; make attempts (see `serving`); send the
answer, or a refusal that says whether the request may have run, and log how it ended.
"""

from collections import Counter
from collections.abc import Callable
from typing import Final

import trio
from headcross_base.errorcodes import (
    BAD_REQUEST,
    DEADLINE,
    INTERNAL_ERROR,
    INTERNAL_REFUSAL,
    NO_ROUTE,
    NO_RUN_IN_TIME,
    NOT_READY,
    STREAM_BROKEN,
    UNKNOWN_KEY,
)
from headcross_base.verdicts import (
    Completed,
    MayHaveRun,
    NotRun,
    Refusal,
    Verdict,
    verdict_name,
)
from headcross_facts.facts import Facts
from headcross_ports.requests import RequestDialect, RequestFacts, RequestProblem
from headcross_wire.bodymemory import AnswerMemory
from headcross_wire.httpexchange import CallerGone, Exchange
from headcross_wire.httprequest import Request
from headcross_wire.httpserver import STOPPING

from headcross_gateway.admission import Admission
from headcross_gateway.admitted import Admitted, NotAdmitted
from headcross_gateway.answers import answer_after_failure, forward_complete, send_refusal
from headcross_gateway.attempts import Attempts
from headcross_gateway.budget import RetryBudget
from headcross_gateway.containment import Containment
from headcross_gateway.linkproofs import LinkProofs
from headcross_gateway.overload import (
    MIN_RETRY_AFTER_SECONDS,
    Overload,
)
from headcross_gateway.refusedrequests import fingerprint_of
from headcross_gateway.relay import StreamRelay
from headcross_gateway.requestlog import (
    Ender,
    log_caller_gone,
    log_completed,
    log_failed,
    log_refused,
    log_unread,
)
from headcross_gateway.retries import Retries
from headcross_gateway.serving import Serving
from headcross_gateway.unbegun import UnbegunAttempts
from headcross_gateway.weightsrules import WeightsRules

# A caller that accepts nothing for this long ends its request, rather than the entry.
STALLED_CALLER_SECONDS: Final = 0.5

# Called with the service, the name of the verdict and the seconds since the request arrived.
VerdictObserver = Callable[[str, str, float], None]


class RequestPath:
    """Serves callers' requests at one entry."""

    # Number of requests by verdict and reason.
    counts: Counter[str]
    # Number of requests being served now.
    in_flight: int
    budget: RetryBudget
    attempts: Attempts
    unbegun: UnbegunAttempts

    def __init__(
        self,
        facts: Facts,
        dialect: RequestDialect,
        admission: Admission,
        rules: WeightsRules,
        budget: RetryBudget,
        overload: Overload,
        containment: Containment,
        observe_verdict: VerdictObserver,
        memory: AnswerMemory,
    ) -> None:
        self.counts = Counter()
        self.in_flight = 0
        self.budget = budget
        self.unbegun = UnbegunAttempts(rules)
        self.attempts = Attempts(dialect, self.unbegun, LinkProofs(rules, dialect), memory)
        self._drain_deadline: float | None = None
        self._running: set[trio.CancelScope] = set()  # one for each request being served
        self._facts = facts
        self._dialect = dialect
        self._overload = overload
        self._serving = Serving(
            self.attempts,
            admission,
            rules,
            overload,
            containment,
            Retries(admission, budget, containment),
        )
        self._observe_verdict = observe_verdict

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request: answer it, or refuse it with a reason.

        An unexpected exception at any step costs this request only, and its caller is told
        whether it may have run.
        """
        try:
            request = self._admit(exchange)
        except Exception:
            log_failed(None)
            request = NotAdmitted(_internal_refusal(), None)
        if not isinstance(request, Admitted):
            await self._refuse(exchange, request.refusal, request.request_id)
            return
        self.in_flight += 1
        scope = trio.CancelScope(deadline=request.deadline)
        self._running.add(scope)
        has_verdict = False
        try:
            ended_by = Ender.ENTRY
            with scope:
                verdict = await self._serving.serve(request)
            if scope.cancelled_caught:
                verdict, ended_by = _verdict_in_time(request)
            has_verdict = True
            await self._conclude(request, verdict, ended_by)
        except trio.Cancelled:
            # Breaking off an answer closes the connection, which also cancels this task.
            if not has_verdict:
                self._note_cancelled(request)
            raise
        except CallerGone as error:
            if not has_verdict:
                self._note_caller_gone(request, str(error))
            raise
        except Exception:
            log_failed(request)
            await self._conclude_failed(request)
        finally:
            self._running.discard(scope)
            self.in_flight -= 1
            for held in request.held_answers:
                self.attempts.memory.release(held)

    def _note_cancelled(self, request: Admitted) -> None:
        """Count and log a request whose task was cancelled before it had a verdict."""
        if request.exchange.caller_left:
            self._note_caller_gone(request, "the caller closed its connection")
            return
        verdict: Refusal = STOPPING
        if request.runs:
            verdict = MayHaveRun(STOPPING.reason, "the process ended")
        self._count_refused(verdict)
        log_refused(verdict, request.facts.id, request)

    def _note_caller_gone(self, request: Admitted, detail: str) -> None:
        self.counts["caller-gone"] += 1
        log_caller_gone(request, detail)

    def note_unread(self, request: Request) -> None:
        """Log a request whose caller left before its body was complete; it has no body."""
        facts = self._dialect.read_request(request.headers)
        log_unread(facts.id if isinstance(facts, RequestFacts) else None)

    async def refuse(self, exchange: Exchange, refusal: NotRun) -> None:
        """Refuse a request that the server does not hand to `handle`."""
        facts = self._dialect.read_request(exchange.request.headers)
        request_id = facts.id if isinstance(facts, RequestFacts) else None
        await self._refuse(exchange, refusal, request_id)

    def refuse_ending_after(self, moment: float) -> None:
        """Refuse new requests whose deadline is after `moment` (trio's clock).

        Running requests get their verdict by then.
        """
        self._drain_deadline = moment
        for scope in self._running:
            scope.deadline = min(scope.deadline, moment)

    async def _refuse(self, exchange: Exchange, refusal: Refusal, request_id: str | None) -> None:
        """Refuse a request that was not admitted."""
        self._count_refused(refusal)
        log_refused(refusal, request_id)
        await send_refusal(exchange, self._dialect, refusal, request_id)

    # Admission.

    def _admit(self, exchange: Exchange) -> Admitted | NotAdmitted:
        """Find the route, team and deadline of a request, or refuse it."""
        now = trio.current_time()
        request = exchange.request
        facts = self._dialect.read_request(request.headers)
        if isinstance(facts, RequestProblem):
            return NotAdmitted(NotRun(BAD_REQUEST, facts.detail), None)
        configuration = self._facts.configuration
        if configuration is None:
            refusal = NotRun(NOT_READY, "no configuration yet", MIN_RETRY_AFTER_SECONDS)
            return NotAdmitted(refusal, facts.id)
        route = configuration.find_route(request.header("host") or "", request.path)
        if route is None:
            return NotAdmitted(NotRun(NO_ROUTE, request.path[:200]), facts.id)
        team = configuration.team_of(facts.key) if facts.key is not None else None
        if team is None and configuration.teams and not route.public:
            return NotAdmitted(NotRun(UNKNOWN_KEY), facts.id)
        seconds = route.timeout_seconds
        if facts.deadline_seconds is not None:
            seconds = min(seconds, facts.deadline_seconds)
        if self._drain_deadline is not None and now + seconds > self._drain_deadline:
            return NotAdmitted(STOPPING, facts.id)
        relay = StreamRelay(exchange, facts.resume_after) if route.repetition.is_stream else None
        service = route.pick_service()
        fingerprint = _fingerprint_of(request, facts)
        is_caller_retry = fingerprint is not None and self._overload.refused.was_refused(
            fingerprint, now
        )
        self.budget.earn(service)
        self._overload.note_request(service, is_caller_retry=is_caller_retry)
        return Admitted(
            exchange,
            facts,
            configuration,
            route,
            team,
            service,
            now,
            now + seconds,
            relay,
            fingerprint,
            is_caller_retry,
        )

    # Answers and refusals.

    async def _conclude(self, request: Admitted, verdict: Verdict, ended_by: Ender) -> None:
        """Count and log the verdict; send the answer if it has not been sent yet."""
        seconds = trio.current_time() - request.arrived_at
        self._observe_verdict(request.service, verdict_name(verdict), seconds)
        if isinstance(verdict, Completed):
            self.counts["completed"] += 1
            log_completed(request, verdict)
            return
        self._count_refused(verdict)
        if isinstance(verdict, NotRun) and request.fingerprint is not None:
            self._overload.refused.note(request.fingerprint, trio.current_time())
        log_refused(verdict, request.facts.id, request, ended_by)
        if request.exchange.started:
            await request.exchange.abort()
        elif request.failed_answer is not None:
            await forward_complete(request.exchange, request.failed_answer)
        else:
            await send_refusal(request.exchange, self._dialect, verdict, request.facts.id)

    async def _conclude_failed(self, request: Admitted) -> None:
        """Answer a request whose handling failed unexpectedly, if no answer has begun."""
        if request.exchange.started:
            broken = MayHaveRun(STREAM_BROKEN, "an unexpected error")
            self._count_refused(broken)
            log_refused(broken, request.facts.id, request)
            await request.exchange.abort()
            return
        verdict = MayHaveRun(INTERNAL_ERROR) if request.runs else _internal_refusal()
        self._count_refused(verdict)
        log_refused(verdict, request.facts.id, request)
        await answer_after_failure(request.exchange, self._dialect, verdict, request.facts.id)

    def _count_refused(self, refusal: Refusal) -> None:
        self.counts[f"{verdict_name(refusal)} {refusal.reason.code}"] += 1


def _internal_refusal() -> NotRun:
    return NotRun(INTERNAL_REFUSAL, "", MIN_RETRY_AFTER_SECONDS)


def _fingerprint_of(request: Request, facts: RequestFacts) -> int | None:
    """Return the fingerprint of a request, None if it does not state its prompt."""
    if facts.prompt is None:
        return None
    return fingerprint_of(request.header("host") or "", request.target, facts.key, facts.prompt)


def _verdict_in_time(request: Admitted) -> tuple[Refusal, Ender]:
    """Return the verdict on a request whose time is up, and who used the time up."""
    is_stop = trio.current_time() < request.deadline
    detail = "the time of the stop is up" if is_stop else "the time is up"
    stalled_seconds = request.exchange.stalled_seconds
    ended_by = Ender.ENTRY
    if stalled_seconds >= STALLED_CALLER_SECONDS:
        detail += f"; the caller accepted nothing for {stalled_seconds:.1f} s"
        ended_by = Ender.CALLER
    if request.relay is not None and request.relay.started:
        return MayHaveRun(STREAM_BROKEN, detail), ended_by
    if request.runs:
        return MayHaveRun(DEADLINE, detail), ended_by
    return NotRun(NO_RUN_IN_TIME, detail, MIN_RETRY_AFTER_SECONDS), ended_by
