"""Attributes lost replicas to requests, and decides which requests are suspect or barred.

A request may crash every replica that begins to run it, and it is sent again, by its caller or by
another one, at any entry. The entries that had sent requests to a lost replica know what ran
there, and exchange this. Two rules protect requests that merely ran beside such a request:

* A complete answer to a request at any entry shows that it does not crash replicas: every earlier
  loss is removed from its record.
* Losses are attributed to as few requests as explain all of them. The request with the most losses
  explains these, and they no longer count against the other requests that ran there.

The module does no I/O and reads no clock; `now` is in seconds on one monotonic clock.
"""

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Final, TypeVar

from headcross_gateway.requestidentity import RequestIdentity

# Losses from which on a request gets one replica for each try, and from which on it gets none.
SUSPECT_LOSSES: Final = 2
BARRED_LOSSES: Final = 3
# How long a loss is kept, and how long if the replica is not known to have ended.
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
        """Return the standing, without regard to the end of a bar."""
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
        # The losses by request, and how many blamed requests each scope has.
        self._lost_under: dict[RequestIdentity, set[LossKey]] = {}
        self._scopes: Counter[bytes] = Counter()
        # Whether the suspicions reflect the current losses.
        self._is_current = True

    # Input.

    def blame(
        self,
        key: LossKey,
        requests: Iterable[RequestIdentity],
        at: float,
        evidence: Evidence = Evidence.BROKEN,
    ) -> bool:
        """Record requests that were on a replica when it was lost; return whether that is new."""
        if self._alive_at.get(key, NEVER) >= at:
            return False
        loss = self._losses.setdefault(key, Loss(at, evidence))
        is_stronger = evidence > loss.evidence
        loss.at, loss.evidence = min(loss.at, at), max(loss.evidence, evidence)
        new = {each for each in requests if self._may_blame(each, loss)}
        room = MAX_REQUESTS_PER_LOSS - len(loss.requests)
        for identity in list(new)[:room]:
            self._add(key, identity)
        self._drop_excess()
        is_news = is_stronger or bool(new and room)
        self._is_current = not is_news and self._is_current
        return is_news

    def _may_blame(self, identity: RequestIdentity, loss: Loss) -> bool:
        if identity in loss.requests:
            return False
        good_for = KNOWN_GOOD_SECONDS if loss.evidence is Evidence.SILENT else 0.0
        return self._answered_at.get(identity, NEVER) + good_for < loss.at

    def retract(self, key: LossKey, at: float) -> bool:
        """Drop an uncertain loss of a replica that was alive at `at`; return whether it existed.

        Only connections to the replica were lost.
        """
        loss = self._losses.get(key)
        if loss is None or loss.is_certain or loss.at > at:
            return False
        self._drop(key)
        _remember(self._alive_at, key, at, MAX_LOSSES)
        self._is_current = False
        return True

    def note_answer(self, identity: RequestIdentity, at: float) -> bool:
        """Record a complete answer to a request; return whether earlier losses were removed."""
        _remember(self._answered_at, identity, at, MAX_ANSWERED)
        blamed_for = self._lost_under.get(identity, set())
        earlier = [key for key in blamed_for if self._losses[key].at <= at]
        for key in earlier:
            self._remove(key, identity)
        self._is_current = not earlier and self._is_current
        return bool(earlier)

    def expire(self, now: float) -> None:
        """Drop the losses whose retention time is over."""
        expired = [key for key, loss in self._losses.items() if now >= loss.expires_at()]
        for key in expired:
            self._drop(key)
        self._is_current = not expired and self._is_current

    # Decisions.

    @property
    def is_empty(self) -> bool:
        """Whether no loss is recorded against any request."""
        return not self._lost_under

    def concerns(self, scope: bytes) -> bool:
        """Return whether any request of this scope has a recorded loss."""
        return scope in self._scopes

    def standing(self, identity: RequestIdentity, now: float) -> Standing:
        """Return a request's standing; a barred one is suspect again when its bar is over."""
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
        found = self._suspicions.values()
        return [each for each in found if each.standing is not Standing.CLEAR]

    def groups(self) -> set[bytes]:
        """Return the groups of all requests that have a recorded loss."""
        return {each.group for loss in self._losses.values() for each in loss.requests}

    def lost_under(self, group: bytes) -> list[float]:
        """Return the times of the losses that count against a group.

        Losses that a barred request explains, and replicas that only fell silent, do not count.
        """
        self._update_suspicions()
        barred = {s.identity for s in self._suspicions.values() if s.losses >= BARRED_LOSSES}
        return [
            loss.at
            for loss in self._losses.values()
            if loss.evidence > Evidence.SILENT
            and not loss.requests & barred
            and any(each.group == group for each in loss.requests)
        ]

    def losses(self) -> dict[LossKey, Loss]:
        """Return a copy of the recorded losses."""
        return dict(self._losses)

    def _update_suspicions(self) -> None:
        """Attribute the losses to as few requests as explain them, if they have changed."""
        if self._is_current:
            return
        self._is_current = True
        blamed_for: dict[RequestIdentity, set[LossKey]] = {}
        silent_under: dict[RequestIdentity, set[LossKey]] = {}
        for identity, keys in self._lost_under.items():
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
        if identity not in self._lost_under:
            self._lost_under[identity] = set()
            self._scopes[identity.scope] += 1
        self._lost_under[identity].add(key)

    def _remove(self, key: LossKey, identity: RequestIdentity) -> None:
        self._losses[key].requests.discard(identity)
        self._lost_under[identity].discard(key)
        if self._lost_under[identity]:
            return
        del self._lost_under[identity]
        self._scopes[identity.scope] -= 1
        if not self._scopes[identity.scope]:
            del self._scopes[identity.scope]

    def _drop(self, key: LossKey) -> None:
        """Remove a loss from all indexes."""
        for identity in list(self._losses[key].requests):
            self._remove(key, identity)
        del self._losses[key]


def _attribute_losses(
    blamed_for: dict[RequestIdentity, set[LossKey]],
) -> dict[RequestIdentity, frozenset[LossKey]]:
    """Return the losses attributed to each request; each loss to as few requests as possible."""
    explained_by: dict[RequestIdentity, frozenset[LossKey]] = {}
    left = {identity: frozenset(keys) for identity, keys in blamed_for.items()}
    while left:
        most = max(len(keys) for keys in left.values())
        found = {identity: keys for identity, keys in left.items() if len(keys) == most}
        explained_by |= found
        explained = frozenset[LossKey]().union(*found.values()) if most >= SUSPECT_LOSSES else ()
        rest = {i: keys.difference(explained) for i, keys in left.items() if i not in found}
        left = {identity: keys for identity, keys in rest.items() if keys}
    return explained_by


def _remember(moments: OrderedDict[K, float], key: K, at: float, most: int) -> None:
    """Store the latest time for a key, and drop the least recently stored beyond `most` keys."""
    moments[key] = max(at, moments.get(key, at))
    moments.move_to_end(key)
    while len(moments) > most:
        moments.popitem(last=False)
