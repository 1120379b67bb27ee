"""Which replicas were lost, and what this entry had there.

A connection that breaks tells little: the replica may have reset it and live. So a request whose
connection broke is blamed at once, and no longer than it takes to learn more: its replica may turn
out to live (its daemon reaches it, or it answers a request sent later) or to have ended (it left
the list unannounced, another incarnation is in its place, or its daemon does not reach it). A
replica that falls silent breaks nothing: it makes a request suspect for that while at most, until
the replica is known to have ended.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from headcross_base.clocks import monotonic

from headcross_gateway.admitted import Admitted
from headcross_gateway.attempts import AttemptTimes
from headcross_gateway.lossnews import SharedLosses
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun, MayRun, Outcome, Streamed
from headcross_gateway.replicalosses import UNCERTAIN_SECONDS, Evidence, LossKey
from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.requestidentity import RequestIdentity

# A daemon's word counts as a sign of life only if it came so long after the loss: the replica was
# read a moment before it was told.
SIGN_OF_LIFE_SECONDS: Final = 0.5


@dataclass(eq=False, slots=True)
class OpenAttempt:
    """An attempt whose replica may still have the request."""

    request: Admitted
    place: ReplicaState
    key: LossKey
    placed_at: float
    times: AttemptTimes = field(default_factory=AttemptTimes)
    ended_at: float | None = None  # None while it is under way
    broken: bool = False  # its connection broke
    silent: bool = False  # it was given up since its replica was silent

    @property
    def was_lost(self) -> bool:
        """Whether its end speaks for the loss of its replica."""
        return self.broken or self.silent


class LossWatch:
    """The attempts of one entry whose replicas may be lost.

    `clock` returns seconds on the monotonic clock of the replicas' states.
    """

    def __init__(self, shared: SharedLosses, clock: Callable[[], float] = monotonic) -> None:
        self._shared = shared
        self._clock = clock
        self._open: dict[LossKey, list[OpenAttempt]] = {}

    # Attempts.

    def begin(self, request: Admitted, place: ReplicaState, times: AttemptTimes) -> OpenAttempt:
        """Note an attempt that is about to be made."""
        key = LossKey(place.replica.id, place.replica.started_ms)
        attempt = OpenAttempt(request, place, key, self._clock(), times)
        self._open.setdefault(key, []).append(attempt)
        return attempt

    def end(self, attempt: OpenAttempt, outcome: Outcome | None) -> None:
        """Note how an attempt ended; None if it was cancelled."""
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
            # A replica that had begun an answer did not end as it began the request.
            case MayRun(silent=True) if attempt.times.began_at is None:
                attempt.silent = True
                self._blame(attempt, attempt.ended_at, Evidence.SILENT)
            case MayRun(withdrawn=False):
                self._forget(attempt)

    def count_under_way(self, identity: RequestIdentity) -> int:
        """Return how many attempts with a request are under way here."""
        return sum(
            attempt.ended_at is None and attempt.request.identity == identity
            for attempts in self._open.values()
            for attempt in attempts
        )

    def count_group_under_way(self, group: bytes) -> int:
        """Return how many attempts with requests of a group are under way here."""
        return sum(
            attempt.ended_at is None and attempt.request.group == group
            for attempts in self._open.values()
            for attempt in attempts
        )

    def withdraw(self, identities: list[RequestIdentity]) -> None:
        """Take back what replicas have not begun of some requests."""
        for attempts in self._open.values():
            for attempt in attempts:
                if attempt.ended_at is None and attempt.request.identity in identities:
                    attempt.times.withdraw()

    # Evidence.

    def check(self) -> None:
        """Look at what is known now of each replica where attempts are open."""
        now = self._clock()
        for key, attempts in list(self._open.items()):
            if attempts[0].place.has_ended():
                self._note_ended(key, attempts)
                continue
            if _was_not_lost(attempts):
                self._note_alive(key, now)
            self._expire(key, now)

    def _note_ended(self, key: LossKey, attempts: list[OpenAttempt]) -> None:
        """Blame all that was there, also what is still under way."""
        lost_at = [a.ended_at for a in attempts if a.was_lost and a.ended_at is not None]
        at = min(lost_at, default=self._clock())
        self._shared.blame(key, [a.request.identity for a in attempts], at, Evidence.ENDED)
        self._open[key] = [a for a in attempts if a.ended_at is None]
        if not self._open[key]:
            del self._open[key]

    def _note_answer(self, attempt: OpenAttempt) -> None:
        """Take in a whole answer, which clears its request and shows that its replica lives."""
        losses = self._shared.losses
        self._shared.groups.note_answered(attempt.request.group, self._clock())
        if losses.is_empty:
            return
        now = self._clock()
        others = self._open.get(attempt.key, [])
        if any(a.was_lost and a.ended_at and a.ended_at < attempt.placed_at for a in others):
            self._note_alive(attempt.key, now)
        if losses.concerns(attempt.request.identity.scope):
            self._shared.answered(attempt.request.identity, now)

    def _note_alive(self, key: LossKey, now: float) -> None:
        self._shared.retract(key, now)
        self._open[key] = [a for a in self._open.get(key, []) if not a.was_lost]
        if not self._open[key]:
            del self._open[key]

    def _expire(self, key: LossKey, now: float) -> None:
        horizon = now - UNCERTAIN_SECONDS
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
    """Tell whether a replica left as it had announced, or lives after all attempts lost there."""
    place = attempts[0].place
    if place.gone and place.is_leaving():
        return True
    lost = [a.ended_at for a in attempts if a.was_lost and a.ended_at is not None]
    return bool(lost) and _lives_after(place, max(lost) + SIGN_OF_LIFE_SECONDS)


def _lives_after(place: ReplicaState, moment: float) -> bool:
    """Tell whether a replica's daemon has reached this life of it since a moment."""
    told = place.last_report
    if told is None or told.at < moment or not told.load.reachable:
        return False
    # A later life begins without weights; not every one tells when it began.
    held_before = {loaded.model for loaded in place.replica.loaded}
    return not place.has_conflicting_incarnations() and held_before <= told.load.versions.keys()
