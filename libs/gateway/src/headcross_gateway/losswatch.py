"""Detects lost replicas from the attempts of one entry and from what daemons report.

A broken connection is weak evidence: the replica may have reset it and still run. A request whose
connection broke is blamed at once, but only until more is known: the replica turns out to run (its
daemon reaches it, or it answers a request sent later) or to have ended (it left the list without
an announcement, another incarnation replaced it, or its daemon does not reach it). A replica
that falls silent breaks no connection: until it is known to have ended, its silence makes a
request suspect at most.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from headcross_base.clocks import monotonic

from headcross_gateway.admitted import Admitted
from headcross_gateway.attempts import AttemptTimes
from headcross_gateway.lossnews import SharedLosses
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun, MayRun, Outcome, Streamed
from headcross_gateway.replicalosses import UNCONFIRMED_LOSS_SECONDS, Evidence, LossKey
from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.requestidentity import RequestIdentity

# A daemon's report shows that a replica runs only if it arrives this long after the loss: the
# daemon reads the replica some time before its report arrives.
LIVENESS_MARGIN_SECONDS: Final = 0.5


@dataclass(eq=False, slots=True)
class OpenAttempt:
    """An attempt that has not ended, or that ended while its replica may have been lost."""

    request: Admitted
    state: ReplicaState
    key: LossKey
    assigned_at: float
    times: AttemptTimes = field(default_factory=AttemptTimes)
    ended_at: float | None = None  # None while in progress
    broken: bool = False  # the connection broke
    silent: bool = False  # abandoned because the replica was silent

    @property
    def was_lost(self) -> bool:
        """Whether the way it ended is evidence that its replica was lost."""
        return self.broken or self.silent


class LossWatch:
    """Tracks the attempts of one entry and records the losses of their replicas.

    `clock` returns seconds on the monotonic clock that the replicas' states use.
    """

    def __init__(self, shared: SharedLosses, clock: Callable[[], float] = monotonic) -> None:
        self._shared = shared
        self._clock = clock
        self._open: dict[LossKey, list[OpenAttempt]] = {}

    # Attempts.

    def begin(self, request: Admitted, state: ReplicaState, times: AttemptTimes) -> OpenAttempt:
        """Register an attempt that is about to be made."""
        key = LossKey(state.replica.id, state.replica.started_ms)
        attempt = OpenAttempt(request, state, key, self._clock(), times)
        self._open.setdefault(key, []).append(attempt)
        return attempt

    def end(self, attempt: OpenAttempt, outcome: Outcome | None) -> None:
        """Record how an attempt ended; `outcome` is None if it was cancelled."""
        attempt.ended_at = self._clock()
        match outcome:
            case CompleteAnswer() | Streamed():
                self._note_answer(attempt)
                self._forget(attempt)
            case DidNotRun():
                self._forget(attempt)
            case MayRun(broken=True):
                attempt.broken = True
                self._blame(attempt, attempt.ended_at, Evidence.BROKEN)
            # A replica that sent part of the answer did not crash on beginning the request.
            case MayRun(silent=True) if attempt.times.began_at is None:
                attempt.silent = True
                self._blame(attempt, attempt.ended_at, Evidence.SILENT)
            case MayRun(withdrawn=False):
                self._forget(attempt)

    def count_under_way(self, identity: RequestIdentity) -> int:
        """Return how many attempts of a request are in progress at this entry."""
        return sum(
            attempt.ended_at is None and attempt.request.identity == identity
            for attempts in self._open.values()
            for attempt in attempts
        )

    def count_group_under_way(self, group: bytes) -> int:
        """Return how many attempts of a group's requests are in progress at this entry."""
        return sum(
            attempt.ended_at is None and attempt.request.group == group
            for attempts in self._open.values()
            for attempt in attempts
        )

    def withdraw(self, identities: list[RequestIdentity]) -> None:
        """Withdraw the attempts of some requests that replicas have not begun."""
        for attempts in self._open.values():
            for attempt in attempts:
                if attempt.ended_at is None and attempt.request.identity in identities:
                    attempt.times.withdraw()

    # Evidence.

    def check(self) -> None:
        """Record which replicas with tracked attempts ended or still run; drop old attempts."""
        now = self._clock()
        for key, attempts in list(self._open.items()):
            if attempts[0].state.has_ended():
                self._note_ended(key, attempts)
                continue
            if _was_not_lost(attempts):
                self._note_alive(key, now)
            self._expire(key, now)

    def _note_ended(self, key: LossKey, attempts: list[OpenAttempt]) -> None:
        """Record the end of a replica against all its attempts, also those in progress."""
        lost_at = [a.ended_at for a in attempts if a.was_lost and a.ended_at is not None]
        at = min(lost_at, default=self._clock())
        self._shared.blame(key, [a.request.identity for a in attempts], at, Evidence.ENDED)
        self._open[key] = [a for a in attempts if a.ended_at is None]
        if not self._open[key]:
            del self._open[key]

    def _note_answer(self, attempt: OpenAttempt) -> None:
        """Record a complete answer, which clears the request and shows that the replica runs."""
        losses = self._shared.losses
        self._shared.groups.note_answered(attempt.request.group, self._clock())
        if losses.is_empty:
            return
        now = self._clock()
        others = self._open.get(attempt.key, [])
        if any(a.was_lost and a.ended_at and a.ended_at < attempt.assigned_at for a in others):
            self._note_alive(attempt.key, now)
        if losses.concerns(attempt.request.identity.scope):
            self._shared.note_answer(attempt.request.identity, now)

    def _note_alive(self, key: LossKey, now: float) -> None:
        self._shared.retract(key, now)
        self._open[key] = [a for a in self._open.get(key, []) if not a.was_lost]
        if not self._open[key]:
            del self._open[key]

    def _expire(self, key: LossKey, now: float) -> None:
        horizon = now - UNCONFIRMED_LOSS_SECONDS
        kept = [a for a in self._open.get(key, []) if a.ended_at is None or a.ended_at > horizon]
        if kept:
            self._open[key] = kept
        else:
            self._open.pop(key, None)

    def _blame(self, attempt: OpenAttempt, at: float, evidence: Evidence) -> None:
        self._shared.groups.note_lost(attempt.request.group, at)
        self._shared.blame(attempt.key, [attempt.request.identity], at, evidence)

    def _forget(self, attempt: OpenAttempt) -> None:
        attempts = self._open.get(attempt.key, [])
        if attempt in attempts:
            attempts.remove(attempt)
        if not attempts:
            self._open.pop(attempt.key, None)


def _was_not_lost(attempts: list[OpenAttempt]) -> bool:
    """Return whether a replica left as announced, or ran after the last lost attempt."""
    state = attempts[0].state
    if state.replaced_or_unlisted and state.is_leaving():
        return True
    lost = [a.ended_at for a in attempts if a.was_lost and a.ended_at is not None]
    return bool(lost) and _is_alive_since(state, max(lost) + LIVENESS_MARGIN_SECONDS)


def _is_alive_since(state: ReplicaState, moment: float) -> bool:
    """Return whether a replica's daemon has reached this incarnation since `moment`."""
    report = state.last_report
    if report is None or report.at < moment or not report.load.reachable:
        return False
    # A later incarnation starts without weights; not every one reports when it started.
    held_before = {loaded.model for loaded in state.replica.loaded}
    return not state.has_conflicting_incarnations() and held_before <= report.load.versions.keys()
