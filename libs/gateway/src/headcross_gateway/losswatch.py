"""Detects lost replicas from the attempts of one entry and from what daemons report.

A broken connection is weak evidence of a loss: the replica may have reset it and still run. A
request whose connection broke is blamed at once, but only until it is known whether the replica
still runs (its daemon reaches it, or it answers a request sent later) or has ended (it left the
list without an announcement, another incarnation replaced it, or its daemon does not reach it). A
replica that falls silent breaks no connection: until it is known to have ended, its silence makes
a request suspect at most.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from headcross_base.monotonic import monotonic

from headcross_gateway.admitted import Admitted
from headcross_gateway.attempts import AttemptTimes
from headcross_gateway.lossnews import SharedLosses
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun, MayRun, Outcome, Streamed
from headcross_gateway.replicalosses import UNCONFIRMED_LOSS_SECONDS, Evidence, LossKey
from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.requestidentity import RequestIdentity

# A daemon's report shows that a replica runs only if it arrives at least this long after the loss,
# because the daemon checks the replica some time before its report arrives.
LIVENESS_MARGIN_SECONDS: Final = 0.5


@dataclass(eq=False, slots=True)
class TrackedAttempt:
    """An attempt that is in progress, or that ended in a way that may be due to a lost replica."""

    request: Admitted
    replica_state: ReplicaState
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
        self._tracked: dict[LossKey, list[TrackedAttempt]] = {}

    # Attempts.

    def begin(
        self, request: Admitted, replica_state: ReplicaState, times: AttemptTimes
    ) -> TrackedAttempt:
        """Register an attempt that is about to be made."""
        key = LossKey(replica_state.replica.id, replica_state.replica.started_ms)
        attempt = TrackedAttempt(request, replica_state, key, self._clock(), times)
        self._tracked.setdefault(key, []).append(attempt)
        return attempt

    def end(self, attempt: TrackedAttempt, outcome: Outcome | None) -> None:
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
            for attempts in self._tracked.values()
            for attempt in attempts
        )

    def count_group_under_way(self, group: bytes) -> int:
        """Return how many attempts of a group's requests are in progress at this entry."""
        return sum(
            attempt.ended_at is None and attempt.request.group == group
            for attempts in self._tracked.values()
            for attempt in attempts
        )

    def withdraw(self, identities: list[RequestIdentity]) -> None:
        """Withdraw those attempts of some requests that replicas have not begun."""
        for attempts in self._tracked.values():
            for attempt in attempts:
                if attempt.ended_at is None and attempt.request.identity in identities:
                    attempt.times.withdraw()

    # Evidence.

    def check(self) -> None:
        """Record which replicas with tracked attempts ended or still run; drop old attempts."""
        now = self._clock()
        for key, attempts in list(self._tracked.items()):
            if attempts[0].replica_state.has_ended():
                self._note_ended(key, attempts)
                continue
            if _was_not_lost(attempts):
                self._note_alive(key, now)
            self._expire(key, now)

    def _note_ended(self, key: LossKey, attempts: list[TrackedAttempt]) -> None:
        """Blame the end of a replica on all its attempts, also on those in progress."""
        lost_times = [a.ended_at for a in attempts if a.was_lost and a.ended_at is not None]
        at = min(lost_times, default=self._clock())
        self._shared.blame(key, [a.request.identity for a in attempts], at, Evidence.ENDED)
        self._tracked[key] = [a for a in attempts if a.ended_at is None]
        if not self._tracked[key]:
            del self._tracked[key]

    def _note_answer(self, attempt: TrackedAttempt) -> None:
        """Record a complete answer, which clears the request and shows that the replica runs."""
        losses = self._shared.losses
        self._shared.groups.note_answered(attempt.request.group, self._clock())
        if losses.is_empty:
            return
        now = self._clock()
        others = self._tracked.get(attempt.key, [])
        if any(a.was_lost and a.ended_at and a.ended_at < attempt.assigned_at for a in others):
            self._note_alive(attempt.key, now)
        if losses.has_loss_in_scope(attempt.request.identity.scope):
            self._shared.note_answer(attempt.request.identity, now)

    def _note_alive(self, key: LossKey, now: float) -> None:
        self._shared.retract(key, now)
        self._tracked[key] = [a for a in self._tracked.get(key, []) if not a.was_lost]
        if not self._tracked[key]:
            del self._tracked[key]

    def _expire(self, key: LossKey, now: float) -> None:
        horizon = now - UNCONFIRMED_LOSS_SECONDS
        kept = [
            a for a in self._tracked.get(key, []) if a.ended_at is None or a.ended_at > horizon
        ]
        if kept:
            self._tracked[key] = kept
        else:
            self._tracked.pop(key, None)

    def _blame(self, attempt: TrackedAttempt, at: float, evidence: Evidence) -> None:
        self._shared.groups.note_lost(attempt.request.group, at)
        self._shared.blame(attempt.key, [attempt.request.identity], at, evidence)

    def _forget(self, attempt: TrackedAttempt) -> None:
        attempts = self._tracked.get(attempt.key, [])
        if attempt in attempts:
            attempts.remove(attempt)
        if not attempts:
            self._tracked.pop(attempt.key, None)


def _was_not_lost(attempts: list[TrackedAttempt]) -> bool:
    """Return whether a replica left as announced, or still ran after its last lost attempt."""
    replica_state = attempts[0].replica_state
    if replica_state.replaced_or_unlisted and replica_state.is_leaving():
        return True
    lost_times = [a.ended_at for a in attempts if a.was_lost and a.ended_at is not None]
    return bool(lost_times) and _is_alive_since(
        replica_state, max(lost_times) + LIVENESS_MARGIN_SECONDS
    )


def _is_alive_since(replica_state: ReplicaState, moment: float) -> bool:
    """Return whether a replica's daemon has reached this incarnation since `moment`."""
    report = replica_state.last_report
    if report is None or report.at < moment or not report.load.reachable:
        return False
    # A later incarnation starts without weights; not every one reports when it started.
    held_before = {loaded.model for loaded in replica_state.replica.loaded}
    return (
        not replica_state.has_conflicting_incarnations()
        and held_before <= report.load.versions.keys()
    )
