"""Makes the attempts of one request until an upstream answers it or no other may follow.

Each attempt goes to another upstream, as far as the retry rules, the retry budget and the deadline
allow. While the daemons of all attempts are silent, another attempt is made beside them, and none
is given up until one has taken the request over (see `headcross_base.attemptset`). A request that
must not be repeated is revoked at a silent daemon; if that fails, its attempt goes on.
"""

import logging
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.attemptset import AttemptSet, RunningAttempt, with_attempts
from headcross_base.errorcodes import LINK_LOST, NO_REPLICA, REVOKED
from headcross_base.monotonic import monotonic
from headcross_base.verdicts import Completed, MayHaveRun, NotRun, Refusal, Verdict
from headcross_fleet.documents import Documents

from headcross_routing.answerrelay import AnswerRelay
from headcross_routing.attempts import Attempts, revoke
from headcross_routing.picking import Candidate, Picker, prefix_digest
from headcross_routing.requestmeta import RequestMeta
from headcross_routing.retry import MAX_ATTEMPTS, RetryBudget, may_retry

# A request waits this long while no replica is known to serve it: a swap of the last replica and
# the start of an entry take less time than this.
REPLICA_WAIT_SECONDS: Final = 2.0
REPLICA_POLL_SECONDS: Final = 0.05
# After an attempt beside a silent one that failed, the next is made after this time.
HAND_OVER_PAUSE_SECONDS: Final = 1.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Serving:
    """What an entry serves requests with."""

    documents: Documents
    picker: Picker
    attempts: Attempts
    budget: RetryBudget

    async def serve(self, meta: RequestMeta, relay: AnswerRelay) -> Verdict:
        """Answer a request; return the verdict, without having sent a refusal."""
        self.budget.earn()
        return await with_attempts(_ServedRequest(self, meta, relay).serve)


class _ServedRequest:
    """One request that is being served."""

    def __init__(self, serving: Serving, meta: RequestMeta, relay: AnswerRelay) -> None:
        self._serving = serving
        self._meta = meta
        self._relay = relay
        self._candidates: dict[RunningAttempt[Verdict], Candidate] = {}
        self._tried: set[str] = set()  # names of upstreams
        self._attempts = 0
        self._last_refusal: Refusal | None = None
        # When another attempt may be made beside silent ones (trio's clock).
        self._hand_over_at = 0.0
        self._silence_noted: set[RunningAttempt[Verdict]] = set()

    async def serve(self, running: AttemptSet[Verdict]) -> Verdict:
        """Make attempts until one answers or nothing may still answer."""
        verdict: Verdict | None = None
        while verdict is None:
            ended = running.take_ended()
            if ended is not None:
                verdict = self._settle(running, ended[1])
            elif not running.running:
                verdict = await self._make_next(running)
            elif not running.is_silent:
                await running.wait_change(running.due_at)
            elif self._note_silence(running) and not self._meta.repeatable:
                await self._revoke(running)
            elif self._may_hand_over():
                verdict = await self._make_next(running)
            else:
                await running.wait_change(self._hand_over_at)
        return verdict

    # Silent daemons.

    def _note_silence(self, running: AttemptSet[Verdict]) -> bool:
        """Log the attempts that have fallen silent since the last call; return whether any has."""
        silent = [a for a in running.running if a not in self._silence_noted]
        for attempt in silent:
            self._silence_noted.add(attempt)
            candidate = self._candidates[attempt]
            self._serving.picker.avoid(candidate, LINK_LOST)
            fields = {"upstream": candidate.upstream, "daemon": candidate.host}
            began = {"began": self._relay.started, "attempts": self._attempts}
            logger.info("upstream silent", extra={"request": self._meta.id, **fields, **began})
        return bool(silent)

    def _may_hand_over(self) -> bool:
        """Return whether another attempt may be made beside silent ones."""
        now = trio.current_time()
        if now < self._hand_over_at:
            return False
        self._hand_over_at = now + HAND_OVER_PAUSE_SECONDS
        may_repeat = self._meta.repeatable and not self._cannot_resume
        return may_repeat and self._attempts < MAX_ATTEMPTS and self._meta.remaining > 0

    async def _revoke(self, running: AttemptSet[Verdict]) -> None:
        """Revoke the request at its silent daemon, so that another upstream may run it.

        If the daemon does not confirm that, the attempt goes on.
        """
        if self._relay.started:
            return
        [attempt] = running.running
        candidate = self._candidates[attempt]
        revoked = False
        with running.interruptible():
            revoked = await revoke(candidate.address, candidate.incarnation, self._meta.id)
        if revoked and attempt in running.running:
            running.end(attempt, NotRun(REVOKED, f"{candidate.host} fell silent"))

    # Attempts.

    async def _make_next(self, running: AttemptSet[Verdict]) -> Verdict | None:
        """Start the next attempt; return the verdict if none may follow and none runs."""
        candidate: Candidate | None = None
        with running.interruptible() as interruptible:
            candidate = await self._next_candidate(running)
        if interruptible.cancelled_caught or running.has_ended:
            return None
        if running.running:
            if candidate is None or not running.is_silent or not self._serving.budget.spend():
                return None
        elif candidate is None:
            return self._last_refusal or NotRun(NO_REPLICA, self._meta.target, 1.0)
        self._start(running, candidate)
        return None

    def _start(self, running: AttemptSet[Verdict], candidate: Candidate) -> None:
        self._attempts += 1
        self._relay.was_attempted = True
        self._tried.add(candidate.upstream)

        async def make(attempt: RunningAttempt[Verdict]) -> Verdict:
            return await self._serving.attempts.make(self._meta, self._relay, candidate, attempt)

        self._candidates[running.start(make)] = candidate

    def _settle(self, running: AttemptSet[Verdict], verdict: Verdict) -> Verdict | None:
        """Return the verdict after the end of an attempt, None if others run or may follow."""
        if isinstance(verdict, Completed):
            return verdict
        self._last_refusal = _merge_refusals(self._last_refusal, verdict)
        if running.running:
            self._hand_over_at = trio.current_time() + HAND_OVER_PAUSE_SECONDS
            return None
        return None if self._may_retry(verdict) else self._last_refusal

    def _may_retry(self, refusal: Refusal) -> bool:
        """Return whether to make another attempt; if so, take it from the retry budget."""
        if self._meta.remaining <= 0 or self._attempts >= MAX_ATTEMPTS:
            return False
        if not may_retry(refusal, self._meta.repeatable, self._cannot_resume):
            return False
        return self._serving.budget.spend()

    @property
    def _cannot_resume(self) -> bool:
        """Whether the caller has a part of an answer that cannot be started again.

        A broken stream resumes at its next token, which repeats nothing that the caller has
        received; any other answer that was started cannot be started again.
        """
        return self._relay.started and not self._relay.resumable

    async def _next_candidate(self, running: AttemptSet[Verdict]) -> Candidate | None:
        """Pick the next upstream, or return None if there is none.

        Waits up to REPLICA_WAIT_SECONDS for one, except after an attempt that was refused.
        """
        meta, relay = self._meta, self._relay
        wait_until = monotonic() + min(REPLICA_WAIT_SECONDS, max(0.0, meta.remaining))
        prefix = prefix_digest(meta.request.body) if meta.route.pool else None
        while True:
            candidate = self._serving.picker.pick(self._untried(running), prefix)
            if candidate is not None:
                return candidate
            refused = self._attempts and not relay.started
            if refused or monotonic() >= wait_until:
                return None
            await trio.sleep(REPLICA_POLL_SECONDS)

    def _untried(self, running: AttemptSet[Verdict]) -> list[Candidate]:
        """Return the upstreams that may be tried in the next attempt."""
        documents, relay = self._serving.documents, self._relay
        serving = self._serving.picker.candidates(self._meta.target, documents.hosts)
        if relay.started:
            serving = [c for c in serving if c.digest == relay.digest]
        trying = {self._candidates[attempt].upstream for attempt in running.running}
        untried = [c for c in serving if c.upstream not in self._tried]
        # A broken stream may resume at an upstream that was tried before if there is no other.
        again = [c for c in serving if c.upstream not in trying]
        return untried or (again if relay.started else [])


def _merge_refusals(last: Refusal | None, new: Refusal) -> Refusal:
    """Return the refusal to report: NotRun does not replace an earlier MayHaveRun."""
    return last if isinstance(last, MayHaveRun) and isinstance(new, NotRun) else new
