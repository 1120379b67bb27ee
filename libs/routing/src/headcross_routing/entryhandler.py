"""Handles callers' requests at an entry, from admission to the complete answer.

The steps are: read the request's metadata; check the team's limit; claim the idempotency key if
the request must not be repeated; then make attempts (see `serving`). When no further attempt is
allowed, the caller gets the verdict at once.
"""

import logging
import math
from collections import Counter
from collections.abc import Callable
from typing import Final

import trio
from headcross_base.errorcodes import (
    BAD_REQUEST,
    DEADLINE,
    NO_ROUTE,
    NOT_READY,
    TEAM_LIMIT,
    UNKNOWN_TEAM,
)
from headcross_base.monotonic import monotonic
from headcross_base.verdicts import (
    COMPLETED,
    Completed,
    MayHaveRun,
    NotRun,
    Refusal,
    Verdict,
    verdict_name,
)
from headcross_fleet.documents import Documents
from headcross_fleet.membership import StatusTable
from headcross_wire.httpcodec import Headers
from headcross_wire.httpexchange import CallerGone, Exchange
from headcross_wire.httpserver import STOPPING
from headcross_wire.replies import send_refusal

from headcross_routing.answerrelay import AnswerRelay
from headcross_routing.attempts import Attempts
from headcross_routing.keyclaims import claim_key, release_key
from headcross_routing.picking import Picker
from headcross_routing.requestmeta import (
    RequestMeta,
    read_meta,
)
from headcross_routing.retry import RetryBudget
from headcross_routing.serving import Serving
from headcross_routing.teams import TeamLimits

CALLER_ERRORS: Final = frozenset({BAD_REQUEST, NO_ROUTE, UNKNOWN_TEAM, TEAM_LIMIT})

logger = logging.getLogger(__name__)

# Called with every valid request, its verdict and its duration in seconds.
Observe = Callable[[RequestMeta, Verdict, float], None]


class EntryHandler:
    """Handles the requests of callers at one entry."""

    # Number of requests by verdict and reason.
    counts: Counter[str]
    # Number of valid requests that are being handled.
    in_flight: int
    budget: RetryBudget
    limits: TeamLimits

    def __init__(
        self,
        documents: Documents,
        statuses: StatusTable,
        picker: Picker,
        settled: trio.Event,
        observe: Observe,
    ) -> None:
        self.counts = Counter()
        self.in_flight = 0
        self.budget = RetryBudget()
        self.limits = TeamLimits()
        self._documents = documents
        self._settled = settled
        self._observe = observe
        self._attempts = Attempts(documents, statuses, picker)
        self._serving = Serving(documents, picker, self._attempts, self.budget)
        self._end_at = math.inf  # trio's clock
        self._running: set[trio.CancelScope] = set()  # one for each request being handled

    @property
    def attempts(self) -> int:
        """Number of attempts at upstreams, for the ratio to requests."""
        return self._attempts.made

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request of a caller."""
        started_at = monotonic()
        meta = read_meta(exchange.request, self._documents.fleet)
        if not self._settled.is_set():
            await self._refuse(exchange, NotRun(NOT_READY, "", 1.0), "")
            return
        if isinstance(meta, NotRun):
            await self._refuse(exchange, meta, "")
            return
        self.in_flight += 1
        relay = AnswerRelay(exchange)
        scope = trio.CancelScope(deadline=self._end_at)
        self._running.add(scope)
        has_verdict = False
        try:
            verdict: Verdict = STOPPING
            with scope:
                verdict = await self._admit_and_run(meta, relay)
            if scope.cancelled_caught and relay.was_attempted:
                verdict = MayHaveRun(DEADLINE, "this process stops")
            has_verdict = True
            self._observe(meta, verdict, monotonic() - started_at)
            if isinstance(verdict, Completed):
                self.counts[COMPLETED] += 1
                fields = {"status": verdict.status, "ended_by": "upstream"}
                logger.info("request completed", extra={"request": meta.id, **fields})
            elif relay.started:
                self._count_and_log(verdict, meta.id)
                await relay.abort(verdict)
            else:
                await self._refuse(exchange, verdict, meta.id)
        except (CallerGone, trio.Cancelled) as error:
            if not has_verdict:
                self._log_unanswered(meta.id, error)
            raise
        finally:
            self._running.discard(scope)
            self.in_flight -= 1

    async def refuse(self, exchange: Exchange, refusal: NotRun) -> None:
        """Refuse a request that the server does not hand to `handle`."""
        await self._refuse(exchange, refusal, "")

    def end_requests_at(self, moment: float) -> None:
        """Give requests that still run at `moment` (trio's clock) their verdict."""
        self._end_at = moment
        for scope in self._running:
            scope.deadline = moment

    def _log_unanswered(self, request: str, error: BaseException) -> None:
        """Log a request that ended before it had a verdict."""
        if isinstance(error, CallerGone):
            self.counts["caller-gone"] += 1
            fields = {"detail": str(error), "ended_by": "caller"}
        else:
            fields = {"detail": "the process ended", "ended_by": "entry"}
        logger.info("request unanswered", extra={"request": request, **fields})

    async def _refuse(self, exchange: Exchange, refusal: Refusal, request: str) -> None:
        self._count_and_log(refusal, request)
        headers: Headers = [("Headcross-Request", request)] if request else []
        await send_refusal(exchange, refusal, headers)

    def _count_and_log(self, refusal: Refusal, request: str) -> None:
        name = verdict_name(refusal)
        self.counts[f"{name} {refusal.reason.code}"] += 1
        reason = refusal.reason.code
        fields = {"verdict": name, "reason": reason, "detail": refusal.detail, "ended_by": "entry"}
        # Errors of callers are counted but logged at debug level only: a flood of them must not
        # cost more than the refusals do.
        level = logging.DEBUG if refusal.reason in CALLER_ERRORS else logging.INFO
        logger.log(level, "request refused", extra={"request": request, **fields})

    async def _admit_and_run(self, meta: RequestMeta, relay: AnswerRelay) -> Verdict:
        fleet = self._documents.fleet
        entries = sum(host.role == "entry" for host in self._documents.hosts.hosts)
        refusal: Refusal | None = self.limits.admit(meta.team, fleet.teams[meta.team], entries)
        if refusal is not None:
            return refusal
        with self.limits.in_flight(meta.team):
            if meta.repeatable or meta.key is None:
                return await self._serving.serve(meta, relay)
            refusal = await claim_key(meta, self._documents.hosts)
            if refusal is not None:
                return refusal
            verdict = await self._serving.serve(meta, relay)
            if isinstance(verdict, NotRun):
                await release_key(meta, self._documents.hosts)
            return verdict
