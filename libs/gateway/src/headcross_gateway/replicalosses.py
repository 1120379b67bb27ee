"""Attributes lost replicas to requests, and decides which requests are suspect or barred.

A request may crash every replica that begins to run it, and its caller or another one may send it
again at any entry. The entries that had sent requests to a lost replica know what ran there, and
exchange this. Two rules protect requests that merely ran on the same replica as such a request:

* A complete answer to a request at any entry shows that it does not crash replicas: every earlier
  loss is removed from its record.
* Losses are attributed to as few requests as explain all of them: the losses of the request that
  has the most count against it, and no longer against the other requests that ran there.

The module does no I/O and reads no clock; `now` is in seconds on one monotonic clock.
"""

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Final, TypeVar

from headcross_gateway.requestidentity import RequestIdentity

# A request with this many losses is sent to only one replica for each try (suspect), or to none
# (barred).
SUSPECT_LOSSES: Final = 2
BARRED_LOSSES: Final = 3
# How long a loss is kept if the replica is known to have ended, and if it is not.
LOSS_RETENTION_SECONDS: Final = 3600.0
UNCONFIRMED_LOSS_SECONDS: Final = 12.0
# How long a request is barred after its last loss; doubles with each further one.
BARRED_SECONDS: Final = 600.0
# A replica's silence does not count against a request answered completely within this time.
KNOWN_GOOD_SECONDS: Final = 60.0
MAX_LOSSES: Final = 128
MAX_REQUESTS_PER_LOSS: Final = 32
MAX_ANSWERED: Final = 1024
NEVER: Final = float("-inf")
K = TypeVar("K")


class Standing(Enum):
    """How a request may be run, given the replicas lost under its earlier tries."""

    CLEAR = "clear"
    SUSPECT = "suspect"  # one replica for each try, and one try at a time at each entry
    BARRED = "barred"  # no replica


class Evidence(IntEnum):
    """How certain the loss of a replica is; a greater value is stronger evidence."""

    SILENT = 0  # it sent nothing within the time limit
    BROKEN = 1  # connections to it broke
    ENDED = 2  # it has ended


@dataclass(frozen=True, slots=True)
class LossKey:
    """Identifies a lost replica: its id and the start of the incarnation that was lost."""

    replica: str
    started_ms: int | None


@dataclass(slots=True)
class Loss:
    """The loss of one incarnation: when, on what evidence, and which requests ran there."""

    at: float
    evidence: Evidence
    requests: set[RequestIdentity] = field(default_factory=set)

    @property
    def is_certain(self) -> bool:
        """Whether the replica is known to have ended."""
        return self.evidence is Evidence.ENDED

    def expires_at(self) -> float:
        """Return when this loss is dropped."""
        return self.at + (LOSS_RETENTION_SECONDS if self.is_certain else UNCONFIRMED_LOSS_SECONDS)


@dataclass(frozen=True, slots=True)
class Suspicion:
    """The losses attributed to one request."""

    identity: RequestIdentity
    losses: int
    last_at: float
    silences: int = 0  # replicas that fell silent under it and may still run

    @property
    def standing(self) -> Standing:
        """The standing, whether or not `barred_until` has passed."""
        if self.losses >= BARRED_LOSSES:
            return Standing.BARRED
        is_suspect = self.losses + self.silences >= SUSPECT_LOSSES
        return Standing.SUSPECT if is_suspect else Standing.CLEAR

    def barred_until(self) -> float:
        """Return when the request may be tried again; `last_at` if it is not barred."""
        if self.losses < BARRED_LOSSES:
            return self.last_at
        return self.last_at + BARRED_SECONDS * 2.0 ** (self.losses - BARRED_LOSSES)


class ReplicaLosses:
    """The losses known to one entry, its own and those that other entries reported."""

    def __init__(self) -> None:
        self._losses: OrderedDict[LossKey, Loss] = OrderedDict()
        # When requests were last answered completely.
        self._answered_at: OrderedDict[RequestIdentity, float] = OrderedDict()
        # When replicas were last found alive: older news of their loss may still arrive.
        self._alive_at: OrderedDict[LossKey, float] = OrderedDict()
        self._suspicions: dict[RequestIdentity, Suspicion] = {}
        # The losses of each request, and the number of requests with losses in each scope.
        self._losses_by_request: dict[RequestIdentity, set[LossKey]] = {}
        self._request_counts_by_scope: Counter[bytes] = Counter()
        # Whether the suspicions reflect the current losses.
        self._suspicions_are_current = True

    # Input.

    def blame(
        self,
        key: LossKey,
        requests: Iterable[RequestIdentity],
        at: float,
        evidence: Evidence = Evidence.BROKEN,
    ) -> bool:
        """Record requests that were on a replica when it was lost; return whether that is news."""
        if self._alive_at.get(key, NEVER) >= at:
            return False
        loss = self._losses.setdefault(key, Loss(at, evidence))
        is_stronger = evidence > loss.evidence
        loss.at, loss.evidence = min(loss.at, at), max(loss.evidence, evidence)
        new = {identity for identity in requests if self._may_blame(identity, loss)}
        room = MAX_REQUESTS_PER_LOSS - len(loss.requests)
        for identity in list(new)[:room]:
            self._add(key, identity)
        self._drop_excess()
        is_news = is_stronger or bool(new and room)
        self._suspicions_are_current = not is_news and self._suspicions_are_current
        return is_news

    def _may_blame(self, identity: RequestIdentity, loss: Loss) -> bool:
        if identity in loss.requests:
            return False
        known_good_seconds = KNOWN_GOOD_SECONDS if loss.evidence is Evidence.SILENT else 0.0
        return self._answered_at.get(identity, NEVER) + known_good_seconds < loss.at

    def retract(self, key: LossKey, at: float) -> bool:
        """Drop an uncertain loss of a replica that was alive at `at`; return whether it existed.

        The evidence was wrong: connections to the replica broke or were silent, but it still ran.
        """
        loss = self._losses.get(key)
        if loss is None or loss.is_certain or loss.at > at:
            return False
        self._drop(key)
        _remember(self._alive_at, key, at, MAX_LOSSES)
        self._suspicions_are_current = False
        return True

    def note_answer(self, identity: RequestIdentity, at: float) -> bool:
        """Record a complete answer to a request; return whether earlier losses were removed."""
        _remember(self._answered_at, identity, at, MAX_ANSWERED)
        blamed_for = self._losses_by_request.get(identity, set())
        earlier = [key for key in blamed_for if self._losses[key].at <= at]
        for key in earlier:
            self._remove(key, identity)
        self._suspicions_are_current = not earlier and self._suspicions_are_current
        return bool(earlier)

    def expire(self, now: float) -> None:
        """Drop the losses whose retention time is over."""
        expired = [key for key, loss in self._losses.items() if now >= loss.expires_at()]
        for key in expired:
            self._drop(key)
        self._suspicions_are_current = not expired and self._suspicions_are_current

    # Decisions.

    @property
    def is_empty(self) -> bool:
        """Whether no loss is recorded against any request."""
        return not self._losses_by_request

    def has_loss_in_scope(self, scope: bytes) -> bool:
        """Return whether any request of this scope has a recorded loss."""
        return scope in self._request_counts_by_scope

    def standing(self, identity: RequestIdentity, now: float) -> Standing:
        """Return a request's standing; a barred one is only suspect after `barred_until`."""
        self._update_suspicions()
        suspicion = self._suspicions.get(identity)
        if suspicion is None:
            return Standing.CLEAR
        if suspicion.standing is Standing.BARRED and now >= suspicion.barred_until():
            return Standing.SUSPECT
        return suspicion.standing

    def suspicion(self, identity: RequestIdentity) -> Suspicion | None:
        """Return the losses attributed to a request, None if there are none."""
        self._update_suspicions()
        return self._suspicions.get(identity)

    def suspicions(self) -> list[Suspicion]:
        """Return the requests that are suspect or barred."""
        self._update_suspicions()
        suspicions = self._suspicions.values()
        return [s for s in suspicions if s.standing is not Standing.CLEAR]

    def groups(self) -> set[bytes]:
        """Return the groups of all requests that have a recorded loss."""
        return {identity.group for loss in self._losses.values() for identity in loss.requests}

    def loss_times(self, group: bytes) -> list[float]:
        """Return the times of the losses that count against a group.

        Losses that a barred request explains do not count, nor do replicas that only fell silent.
        """
        self._update_suspicions()
        barred = {s.identity for s in self._suspicions.values() if s.losses >= BARRED_LOSSES}
        return [
            loss.at
            for loss in self._losses.values()
            if loss.evidence > Evidence.SILENT
            and not loss.requests & barred
            and any(identity.group == group for identity in loss.requests)
        ]

    def losses(self) -> dict[LossKey, Loss]:
        """Return a copy of the recorded losses."""
        return dict(self._losses)

    def _update_suspicions(self) -> None:
        """Attribute the losses to as few requests as explain them, if they have changed."""
        if self._suspicions_are_current:
            return
        self._suspicions_are_current = True
        blamed_for: dict[RequestIdentity, set[LossKey]] = {}
        silent_under: dict[RequestIdentity, set[LossKey]] = {}
        for identity, keys in self._losses_by_request.items():
            # A single loss has no effect, neither on this request nor on others.
            if len(keys) < SUSPECT_LOSSES:
                continue
            silent = {key for key in keys if self._losses[key].evidence is Evidence.SILENT}
            if silent:
                silent_under[identity] = silent
            if keys - silent:
                blamed_for[identity] = keys - silent
        explained_by = _attribute_losses(blamed_for)
        self._suspicions = {
            identity: self._suspicion(
                identity, explained_by.get(identity, ()), silent_under.get(identity, ())
            )
            for identity in explained_by.keys() | silent_under.keys()
        }

    def _suspicion(
        self, identity: RequestIdentity, lost: Collection[LossKey], silent: Collection[LossKey]
    ) -> Suspicion:
        last_at = max(self._losses[key].at for key in (*lost, *silent))
        return Suspicion(identity, len(lost), last_at, len(silent))

    def _drop_excess(self) -> None:
        """Drop losses above MAX_LOSSES; those that bar a request are dropped last."""
        while len(self._losses) > MAX_LOSSES:
            # Uses the last attribution: a new one for each of many losses would cost too much.
            barred = {s.identity for s in self._suspicions.values() if s.losses >= BARRED_LOSSES}
            free = [k for k, loss in self._losses.items() if not loss.requests & barred]
            self._drop(free[0] if free else next(iter(self._losses)))

    def _add(self, key: LossKey, identity: RequestIdentity) -> None:
        self._losses[key].requests.add(identity)
        if identity not in self._losses_by_request:
            self._losses_by_request[identity] = set()
            self._request_counts_by_scope[identity.scope] += 1
        self._losses_by_request[identity].add(key)

    def _remove(self, key: LossKey, identity: RequestIdentity) -> None:
        self._losses[key].requests.discard(identity)
        self._losses_by_request[identity].discard(key)
        if self._losses_by_request[identity]:
            return
        del self._losses_by_request[identity]
        self._request_counts_by_scope[identity.scope] -= 1
        if not self._request_counts_by_scope[identity.scope]:
            del self._request_counts_by_scope[identity.scope]

    def _drop(self, key: LossKey) -> None:
        """Remove a loss from all indexes."""
        for identity in list(self._losses[key].requests):
            self._remove(key, identity)
        del self._losses[key]


def _attribute_losses(
    blamed_for: dict[RequestIdentity, set[LossKey]],
) -> dict[RequestIdentity, frozenset[LossKey]]:
    """Return the losses attributed to each request, each loss to as few requests as possible.

    In each round, the requests with the most unexplained losses explain all of theirs.
    """
    explained_by: dict[RequestIdentity, frozenset[LossKey]] = {}
    unexplained = {identity: frozenset(keys) for identity, keys in blamed_for.items()}
    while unexplained:
        most = max(len(keys) for keys in unexplained.values())
        worst = {identity: keys for identity, keys in unexplained.items() if len(keys) == most}
        explained_by |= worst
        explained = frozenset[LossKey]().union(*worst.values()) if most >= SUSPECT_LOSSES else ()
        others = {
            i: keys.difference(explained) for i, keys in unexplained.items() if i not in worst
        }
        unexplained = {identity: keys for identity, keys in others.items() if keys}
    return explained_by


def _remember(times: OrderedDict[K, float], key: K, at: float, max_keys: int) -> None:
    """Store the latest time for a key, and drop the least recently stored beyond `max_keys`."""
    times[key] = max(at, times.get(key, at))
    times.move_to_end(key)
    while len(times) > max_keys:
        times.popitem(last=False)
