"""Which requests replicas were lost under, and what follows for these requests.

A request may end each replica that begins to run it, and its caller, or another with the same
request, sends it again at any entry. What ran on a lost replica is known to the entries that sent
it there; they tell one another. Two things keep the requests that only stood beside such a one
from being taken for it:

* A whole answer to a request, anywhere, shows that it ends no replica: all it was blamed for
  before is forgotten.
* A loss is put down to as few requests as explain all losses. One that has most of them explains
  these, and they no longer count against the others that ran there.

No decision here needs a network or a clock; `now` is on one monotonic clock, in seconds.
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
# A loss is remembered for so long; one that is not known to be a replica's end for less.
REMEMBERED_SECONDS: Final = 3600.0
UNCERTAIN_SECONDS: Final = 12.0
# How long a request gets no replica after its last loss; twice as long with each further one.
BARRED_SECONDS: Final = 600.0
# A replica's silence is not held against a request that was answered whole so lately.
KNOWN_GOOD_SECONDS: Final = 60.0
MAX_LOSSES: Final = 128
MAX_REQUESTS_PER_LOSS: Final = 32
MAX_ANSWERED: Final = 1024
NEVER: Final = float("-inf")
K = TypeVar("K")


class Standing(Enum):
    """What is known of a request from its earlier tries."""

    CLEAR = "clear"
    SUSPECT = "suspect"  # one replica for each try, and one try at a time at each entry
    BARRED = "barred"  # no replica


class Evidence(IntEnum):
    """How well it is known that a replica was lost; the greater, the better."""

    SILENT = 0  # it gave no sign of life in time
    BROKEN = 1  # connections to it broke
    ENDED = 2  # it has ended


@dataclass(frozen=True, slots=True)
class LossKey:
    """One life of a replica, which was lost."""

    replica: str
    started_ms: int | None


@dataclass(slots=True)
class Loss:
    """What is known of one replica that was lost."""

    at: float
    evidence: Evidence
    requests: set[RequestIdentity] = field(default_factory=set)

    @property
    def is_certain(self) -> bool:
        """Whether the replica is known to have ended."""
        return self.evidence is Evidence.ENDED

    def expires_at(self) -> float:
        """Return when it is forgotten."""
        return self.at + (REMEMBERED_SECONDS if self.is_certain else UNCERTAIN_SECONDS)


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A request with what counts against it."""

    identity: RequestIdentity
    losses: int
    last_at: float
    silences: int = 0  # replicas that fell silent under it and may live

    @property
    def standing(self) -> Standing:
        """Return what may be done with the request before any bar is over."""
        if self.losses >= BARRED_LOSSES:
            return Standing.BARRED
        is_suspect = self.losses + self.silences >= SUSPECT_LOSSES
        return Standing.SUSPECT if is_suspect else Standing.CLEAR

    def barred_until(self) -> float:
        """Return when it may be tried again, the moment of its last loss if that is at once."""
        if self.losses < BARRED_LOSSES:
            return self.last_at
        return self.last_at + BARRED_SECONDS * 2.0 ** (self.losses - BARRED_LOSSES)


class ReplicaLosses:
    """The losses that one entry knows of, its own and those that others told."""

    def __init__(self) -> None:
        self._losses: OrderedDict[LossKey, Loss] = OrderedDict()
        # When whole answers to requests that had been blamed came.
        self._answered_at: OrderedDict[RequestIdentity, float] = OrderedDict()
        # Replicas that were found alive, and when: news of their loss may still be on its way.
        self._alive_at: OrderedDict[LossKey, float] = OrderedDict()
        self._suspicions: dict[RequestIdentity, Suspicion] = {}
        # The losses by request, and how many requests of each scope are blamed.
        self._lost_under: dict[RequestIdentity, set[LossKey]] = {}
        self._scopes: Counter[bytes] = Counter()
        # Whether the suspicions are those of the losses as they are now.
        self._judged = True

    # What is learned.

    def blame(
        self,
        key: LossKey,
        requests: Iterable[RequestIdentity],
        at: float,
        evidence: Evidence = Evidence.BROKEN,
    ) -> bool:
        """Note requests that were on a replica as it was lost; return whether that is new."""
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
        self._judged = not is_news and self._judged
        return is_news

    def _may_blame(self, identity: RequestIdentity, loss: Loss) -> bool:
        if identity in loss.requests:
            return False
        good_for = KNOWN_GOOD_SECONDS if loss.evidence is Evidence.SILENT else 0.0
        return self._answered_at.get(identity, NEVER) + good_for < loss.at

    def retract(self, key: LossKey, at: float) -> bool:
        """Note that a replica was alive at a moment, so that only connections to it were lost."""
        loss = self._losses.get(key)
        if loss is None or loss.is_certain or loss.at > at:
            return False
        self._drop(key)
        _remember(self._alive_at, key, at, MAX_LOSSES)
        self._judged = False
        return True

    def answered(self, identity: RequestIdentity, at: float) -> bool:
        """Note a whole answer to a request; return whether it had been blamed."""
        _remember(self._answered_at, identity, at, MAX_ANSWERED)
        blamed_for = self._lost_under.get(identity, set())
        earlier = [key for key in blamed_for if self._losses[key].at <= at]
        for key in earlier:
            self._remove(key, identity)
        self._judged = not earlier and self._judged
        return bool(earlier)

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        expired = [key for key, loss in self._losses.items() if now >= loss.expires_at()]
        for key in expired:
            self._drop(key)
        self._judged = not expired and self._judged

    # What follows.

    @property
    def is_empty(self) -> bool:
        """Whether no request is blamed for anything."""
        return not self._lost_under

    def concerns(self, scope: bytes) -> bool:
        """Tell whether any request of this scope is blamed."""
        return scope in self._scopes

    def standing(self, identity: RequestIdentity, now: float) -> Standing:
        """Return what may be done with a request."""
        self._judge()
        suspicion = self._suspicions.get(identity)
        if suspicion is None:
            return Standing.CLEAR
        if suspicion.standing is Standing.BARRED and now >= suspicion.barred_until():
            return Standing.SUSPECT
        return suspicion.standing

    def suspicion(self, identity: RequestIdentity) -> Suspicion | None:
        """Return what counts against a request, None if nothing does."""
        self._judge()
        return self._suspicions.get(identity)

    def suspicions(self) -> list[Suspicion]:
        """Return the requests that are suspect or barred."""
        self._judge()
        found = self._suspicions.values()
        return [each for each in found if each.standing is not Standing.CLEAR]

    def groups(self) -> set[bytes]:
        """Return the groups of the requests that are blamed."""
        return {each.group for loss in self._losses.values() for each in loss.requests}

    def lost_under(self, group: bytes) -> list[float]:
        """Return when replicas were lost that one request of a group, not barred, may have ended.

        What a barred request explains is not held against others.
        """
        self._judge()
        barred = {s.identity for s in self._suspicions.values() if s.losses >= BARRED_LOSSES}
        return [
            loss.at
            for loss in self._losses.values()
            if loss.evidence > Evidence.SILENT
            and not loss.requests & barred
            and any(each.group == group for each in loss.requests)
        ]

    def losses(self) -> dict[LossKey, Loss]:
        """Return every loss that is remembered."""
        return dict(self._losses)

    def _judge(self) -> None:
        """Put the losses down to as few requests as explain them, if they have changed."""
        if self._judged:
            return
        self._judged = True
        blamed_for: dict[RequestIdentity, set[LossKey]] = {}
        silent_under: dict[RequestIdentity, set[LossKey]] = {}
        for identity, keys in self._lost_under.items():
            # Nothing follows from one loss, neither for this request nor for others.
            if len(keys) < SUSPECT_LOSSES:
                continue
            silent = {key for key in keys if self._losses[key].evidence is Evidence.SILENT}
            if silent:
                silent_under[identity] = silent
            if keys - silent:
                blamed_for[identity] = keys - silent
        explained_by = _fewest_explaining(blamed_for)
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
        """Keep within bounds; losses that bar a request go last."""
        while len(self._losses) > MAX_LOSSES:
            # As it was judged last: judging anew for each loss of a flood would cost more than it.
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
        """Forget a loss."""
        for identity in list(self._losses[key].requests):
            self._remove(key, identity)
        del self._losses[key]


def _fewest_explaining(
    blamed_for: dict[RequestIdentity, set[LossKey]],
) -> dict[RequestIdentity, frozenset[LossKey]]:
    """Return the losses that are put down to each request; each loss to as few as possible."""
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
    """Note the latest moment for a key, and forget the keys that were noted longest ago."""
    moments[key] = max(at, moments.get(key, at))
    moments.move_to_end(key)
    while len(moments) > most:
        moments.popitem(last=False)
