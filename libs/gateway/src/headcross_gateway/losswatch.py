"""Detects lost replicas from the attempts of one entry and from what daemons report.

A broken connection is weak evidence of a loss: the replica may have reset it and still run. A
request whose connection broke is blamed at once, but only until it is known whether the replica
still runs (its daemon reaches it, or it answers a request sent later) or has ended (it left the
list without an announcement, another incarnation replaced it, or its daemon does not reach it). A
replica that falls silent breaks no connection: until it is known to have ended, its silence makes
a request suspect at most. An answer that ended with its connection counts as complete once the
replica is known to have run afterwards, and as broken if it is lost or refuses connections.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from headcross_base.monotonic import monotonic

from headcross_gateway.admitted import Admitted
from headcross_gateway.attempts import AttemptTimes
from headcross_gateway.attribution import Cause
from headcross_gateway.evidence import Sign, sign_of
from headcross_gateway.losses import UNCONFIRMED_LOSS_SECONDS, Evidence, LossKey
from headcross_gateway.lossnews import SharedLosses
from headcross_gateway.outcomes import Outcome
from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.requestidentity import RequestIdentity

# A daemon's report shows that a replica runs only if it arrives at least this long after the loss,
# because the daemon checks the replica some time before its report arrives.
LIVENESS_MARGIN_SECONDS: Final = 0.5
# An attempt that ended by itself this long before its replica was lost was not running there.
ENDED_BEFORE_SECONDS: Final = 2.0


@dataclass(eq=False, slots=True)
class TrackedAttempt:
    """An attempt that is in progress, or that ended in a way that may be due to a lost replica."""

    request: Admitted
    replica_state: ReplicaState
    key: LossKey
    assigned_at: float
    times: AttemptTimes = field(default_factory=AttemptTimes)
    ended_at: float | None = None  # None while in progress
    sign: Sign | None = None  # what its end shows
    # Since when nothing of its answer has arrived in time; None if its replica has shown since
    # that it runs.
    silent_since: float | None = None

    @property
    def lost_at(self) -> float | None:
        """When its end, or its silence, first was evidence that its replica was lost, if it is."""
        if self.silent_since is not None:
            return self.silent_since
        return self.ended_at if self.sign in (Sign.BROKEN, Sign.SILENT) else None

    @property
    def was_lost(self) -> bool:
        """Whether its end, or its silence, is evidence that its replica was lost."""
        return self.lost_at is not None

    @property
    def may_be_complete(self) -> bool:
        """Whether it ended with its connection, so that it is complete if its replica ran on."""
        return self.sign is Sign.CLOSED

    def ended_around(self, at: float) -> bool:
        """Return whether it ended, in a way that shows nothing by itself, as its replica did."""
        return (
            self.sign in (Sign.CLOSED, Sign.PAUSED)
            and self.ended_at is not None
            and abs(self.ended_at - at) <= ENDED_BEFORE_SECONDS
        )

    def ended_before(self, moment: float) -> bool:
        """Return whether it ended before a moment."""
        return self.ended_at is not None and self.ended_at < moment


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

    def note_silent(self, attempt: TrackedAttempt) -> None:
        """Record that nothing of an attempt's answer has arrived in time; it stays in progress."""
        if attempt.times.began_at is None:
            attempt.silent_since = self._clock()
            self._blame(attempt.key, [attempt], attempt.silent_since, Evidence.SILENT)

    def end(self, attempt: TrackedAttempt, outcome: Outcome | None) -> None:
        """Record how an attempt ended; `outcome` is None if it was cancelled."""
        now = self._clock()
        attempt.ended_at = now
        attempt.sign = sign_of(outcome, attempt.times)
        match attempt.sign:
            case Sign.ANSWERED:
                if attempt.silent_since is not None:
                    self._note_alive(attempt.key, now)
                self._note_running(attempt)
                self._note_answer(attempt, now)
                self._forget(attempt)
            case Sign.CLOSED:
                self._note_running(attempt)
            case Sign.BROKEN:
                self._blame(attempt.key, [attempt], now, Evidence.BROKEN)
                self._blame_ended_around(attempt.key, now)
            case Sign.SILENT:
                self._blame(attempt.key, [attempt], now, Evidence.SILENT)
            case Sign.REFUSED:
                self._forget(attempt)
                if not attempt.replica_state.is_leaving():
                    # Attempts of other entries may have ended with their connections there.
                    self._shared.blame(attempt.key, [], now, Evidence.BROKEN)
                    self._blame_ended_around(attempt.key, now)
            case Sign.NOTHING:
                self._forget(attempt)

    def count_under_way(self, identity: RequestIdentity) -> int:
        """Return how many attempts of a request are in progress at this entry."""
        return sum(
            attempt.ended_at is None and attempt.request.identity == identity
            for attempts in self._tracked.values()
            for attempt in attempts
        )

    def count_affected_under_way(self, cause: Cause) -> int:
        """Return how many attempts that a cause affects are in progress at this entry."""
        return sum(
            attempt.ended_at is None and affects(cause, attempt.request)
            for attempts in self._tracked.values()
            for attempt in attempts
        )

    def withdraw(self, causes: list[Cause]) -> None:
        """Withdraw those attempts affected by some causes that replicas have not begun."""
        for attempts in self._tracked.values():
            for attempt in attempts:
                if attempt.ended_at is not None:
                    continue
                cause = next((c for c in causes if affects(c, attempt.request)), None)
                if cause is not None:
                    attempt.request.barring_cause = cause
                    attempt.times.withdraw()

    # Evidence.

    def check(self) -> None:
        """Record which replicas with tracked attempts ended or still run; drop old attempts."""
        now = self._clock()
        known = self._shared.losses.losses()
        for key, attempts in list(self._tracked.items()):
            if attempts[0].replica_state.has_ended():
                self._note_ended(key, attempts)
                continue
            loss = known.get(key)
            if loss is not None and loss.evidence > Evidence.SILENT:
                self._blame_ended_around(key, loss.at)
            if _was_not_lost(attempts):
                self._note_alive(key, now)
            self._note_complete(key)
            self._expire(key, now)

    def _note_ended(self, key: LossKey, attempts: list[TrackedAttempt]) -> None:
        """Blame the end of a replica on all its attempts, also on those in progress."""
        at = _lost_at(attempts)
        running = [
            a
            for a in attempts
            if a.sign is not Sign.CLOSED or not a.ended_before(at - ENDED_BEFORE_SECONDS)
        ]
        self._blame(key, running, at, Evidence.ENDED)
        self._keep(key, [a for a in attempts if a.ended_at is None])

    def _blame_ended_around(self, key: LossKey, at: float) -> None:
        """Blame the loss of a replica on attempts whose end showed nothing by itself."""
        attempts = self._tracked.get(key, [])
        ended = [attempt for attempt in attempts if attempt.ended_around(at)]
        if not ended:
            return
        for attempt in ended:
            attempt.sign = Sign.BROKEN
        self._blame(key, ended, at, Evidence.BROKEN)

    def _note_running(self, attempt: TrackedAttempt) -> None:
        """Record that a replica answered: it ran on after attempts that had ended before."""
        others = self._tracked.get(attempt.key, [])
        earlier = [a for a in others if a.ended_before(attempt.assigned_at)]
        if any(other.was_lost for other in earlier):
            self._note_alive(attempt.key, self._clock())
        self._complete([other for other in earlier if other.may_be_complete])

    def _note_complete(self, key: LossKey) -> None:
        """Record the answers that ended with their connections while the replica ran on."""
        self._complete(
            [
                attempt
                for attempt in self._tracked.get(key, [])
                if attempt.may_be_complete
                and attempt.ended_at is not None
                and _is_alive_since(
                    attempt.replica_state, attempt.ended_at + LIVENESS_MARGIN_SECONDS
                )
            ]
        )

    def _complete(self, attempts: list[TrackedAttempt]) -> None:
        for attempt in attempts:
            assert attempt.ended_at is not None
            self._note_answer(attempt, attempt.ended_at)
            self._forget(attempt)

    def _note_answer(self, attempt: TrackedAttempt, at: float) -> None:
        """Record a complete answer, which clears the request and what it shares with others."""
        request = attempt.request
        self._shared.note_shared_answer(
            attempt.replica_state.replica.service, request.shared_traits, at
        )
        losses = self._shared.losses
        if not losses.is_empty and losses.has_loss_in_scope(request.identity.scope):
            self._shared.note_answer(request.identity, at)

    def _note_alive(self, key: LossKey, now: float) -> None:
        self._shared.retract(key, now)
        attempts = self._tracked.get(key, [])
        for attempt in attempts:
            if attempt.ended_at is None:
                attempt.silent_since = None
        self._keep(key, [attempt for attempt in attempts if not attempt.was_lost])

    def _expire(self, key: LossKey, now: float) -> None:
        horizon = now - UNCONFIRMED_LOSS_SECONDS
        self._keep(key, [a for a in self._tracked.get(key, []) if not a.ended_before(horizon)])

    def _keep(self, key: LossKey, attempts: list[TrackedAttempt]) -> None:
        if attempts:
            self._tracked[key] = attempts
        else:
            self._tracked.pop(key, None)

    def _blame(
        self, key: LossKey, attempts: list[TrackedAttempt], at: float, evidence: Evidence
    ) -> None:
        service = attempts[0].replica_state.replica.service if attempts else ""
        identities = [attempt.request.identity for attempt in attempts]
        shared = [trait for attempt in attempts for trait in attempt.request.shared_traits]
        self._shared.blame(key, identities, at, evidence, shared, service)

    def _forget(self, attempt: TrackedAttempt) -> None:
        attempts = self._tracked.get(attempt.key, [])
        self._keep(attempt.key, [other for other in attempts if other is not attempt])


def affects(cause: Cause, request: Admitted) -> bool:
    """Return whether a request has all traits of a cause."""
    if cause.request is not None:
        return request.identity == cause.request
    return all(trait in request.shared_traits for trait in cause.shared_traits)


def _lost_at(attempts: list[TrackedAttempt]) -> float:
    """Return about when a replica was lost that has ended.

    If no attempt showed that, the last one was sent at about that time. The time at which the end
    becomes known may be the same for replicas that were lost one after another.
    """
    lost_times = [a.lost_at for a in attempts if a.lost_at is not None]
    return min(lost_times, default=max(attempt.assigned_at for attempt in attempts))


def _was_not_lost(attempts: list[TrackedAttempt]) -> bool:
    """Return whether a replica left as announced, or still ran after its last lost attempt."""
    replica_state = attempts[0].replica_state
    if replica_state.replaced_or_unlisted and replica_state.is_leaving():
        return True
    lost_times = [a.lost_at for a in attempts if a.lost_at is not None]
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
