"""Exchanges news of lost replicas, and of what ran there, between entries.

An entry immediately sends to all others what it observes itself. It also sends what it knows to a
few of them at intervals, so that entries that start or were disconnected learn it too. News may
arrive late, twice or never, and may be wrong: implausible items are ignored.
"""

import logging
import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from typing import Final, TypeVar

from headcross_wire.peermessages import AnsweredRequest, LossNews, LostReplica, TraitAge

from headcross_gateway.answersketch import NEVER
from headcross_gateway.attribution import Cause, Standing
from headcross_gateway.causelog import describe_cause, log_standing
from headcross_gateway.losses import Evidence, Loss, LossKey, Trait
from headcross_gateway.replicalosses import ReplicaLosses
from headcross_gateway.requestidentity import RequestIdentity
from headcross_gateway.sharedtraits import SharedTrait

# News of older events is not plausible.
MAX_AGE_SECONDS: Final = 30 * 24 * 3600.0
# An entry tells the others once in this time that it has answered requests with a blamed trait.
ANSWERED_NEWS_SECONDS: Final = 10.0
T = TypeVar("T")

logger = logging.getLogger(__name__)


class SharedLosses:
    """The losses known to one entry, with the news that it has yet to send to the others.

    All times are in seconds on one monotonic clock. `on_news` is called whenever news is pending.
    """

    losses: ReplicaLosses
    # The number of implausible items received.
    rejected: int

    def __init__(self, on_news: Callable[[], None] = lambda: None) -> None:
        self.losses = ReplicaLosses()
        self.rejected = 0
        self._on_news = on_news
        # What this entry observed itself since the last call of `take_pending`.
        self._lost: dict[LossKey, _Blamed] = {}
        self._alive: dict[LossKey, float] = {}
        self._answered: dict[RequestIdentity, float] = {}
        self._answered_traits: dict[SharedTrait, float] = {}
        self._known_traits: dict[SharedTrait, float] = {}
        # When the others were last told of answers to requests with a trait.
        self._told_at: dict[SharedTrait, float] = {}
        # The causes at the last `update`.
        self._causes: dict[str, tuple[Cause, Standing]] = {}

    # Input of this entry.

    def blame(
        self,
        key: LossKey,
        requests: Collection[RequestIdentity],
        at: float,
        evidence: Evidence,
        shared: Collection[SharedTrait] = (),
        service: str = "",
    ) -> None:
        """Record requests that were on a replica when it was lost, and what they share."""
        if self.losses.blame(key, requests, at, evidence, shared, service):
            blamed = self._lost.setdefault(key, _Blamed())
            blamed.requests.update(requests)
            blamed.shared_traits.update(shared)
            self._on_news()

    def retract(self, key: LossKey, at: float) -> None:
        """Drop an uncertain loss of a replica that was alive at `at`."""
        if self.losses.retract(key, at):
            self._alive[key] = at
            self._on_news()

    def note_answer(self, identity: RequestIdentity, at: float) -> None:
        """Record a complete answer to a request."""
        if self.losses.note_answer(identity, at):
            self._answered[identity] = at
            self._on_news()

    def note_shared_answer(self, service: str, shared: Collection[SharedTrait], at: float) -> None:
        """Record a complete answer of a service to a request with these traits."""
        cleared = self.losses.note_shared_answer(service, shared, at)
        for trait in cleared:
            self._answered_traits[trait] = at
        if cleared:
            self._on_news()

    # News.

    def take_pending(self, now: float) -> LossNews | None:
        """Return what this entry observed itself since the last call, None if nothing."""
        known = self.losses.losses()
        lost = [
            _lost_replica(key, known[key], blamed.requests, blamed.shared_traits, now)
            for key, blamed in self._lost.items()
            if key in known
        ]
        alive = [LostReplica(k.replica, k.started_ms, now - at) for k, at in self._alive.items()]
        answered = [AnsweredRequest(i.to_bytes(), now - at) for i, at in self._answered.items()]
        answered_traits = _trait_ages(self._answered_traits, now)
        known_traits = _trait_ages(self._known_traits, now)
        self._lost.clear()
        self._alive.clear()
        self._answered.clear()
        self._answered_traits.clear()
        self._known_traits.clear()
        if not (lost or alive or answered or answered_traits or known_traits):
            return None
        return LossNews(
            lost,
            alive,
            answered,
            answered_traits=answered_traits,
            known_traits=known_traits,
        )

    def all_news(self, now: float) -> LossNews | None:
        """Return news of all losses, None if there are none.

        Requests and traits with a single loss are left out, since they have no effect.
        """
        return self._news_of(self.losses.repeated(), now)

    def suspect_news(self, now: float) -> LossNews | None:
        """Return news of losses that make requests suspect or barred, None if there are none."""
        suspects = {trait for cause in self.losses.causes() for trait in cause.traits}
        return self._news_of(suspects, now)

    def _news_of(self, traits: set[Trait], now: float) -> LossNews | None:
        lost = [
            _lost_replica(key, loss, loss.requests & traits, loss.shared_traits & traits, now)
            for key, loss in self.losses.losses().items()
            if not traits.isdisjoint(loss.traits())
        ]
        refused_traits = _trait_ages(self.losses.refused_at(), now)
        return LossNews(lost, refused_traits=refused_traits) if lost else None

    def receive(self, news: LossNews, now: float) -> None:
        """Store the news of another entry; implausible items are counted and ignored."""
        rejected = self.rejected
        for lost in news.lost:
            self._receive_lost(lost, now)
        for alive in news.alive:
            if self._is_plausible(alive.age):
                self.losses.retract(LossKey(alive.replica, alive.started_ms), now - alive.age)
        for answered in news.answered:
            identity = self._decode(RequestIdentity.from_bytes, answered.request)
            if identity is not None and self._is_plausible(answered.age):
                self.losses.note_answer(identity, now - answered.age)
        for trait, at in self._decode_ages(news.answered_traits, now):
            self.losses.note_answered_trait(trait, at)
        for trait, at in self._decode_ages(news.known_traits, now):
            self.losses.note_known_trait(trait, at)
            self._told_at[trait] = now
        for trait, at in self._decode_ages(news.refused_traits, now):
            self.losses.note_refused([trait], at)
        if self.rejected > rejected:
            fields = {"items": self.rejected - rejected, "reason": "identity, age or evidence"}
            logger.warning("news of losses rejected", extra=fields)

    def _receive_lost(self, lost: LostReplica, now: float) -> None:
        if not self._is_plausible(lost.age):
            return
        key = LossKey(lost.replica, lost.started_ms)
        decoded = [self._decode(RequestIdentity.from_bytes, data) for data in lost.requests]
        identities = [identity for identity in decoded if identity is not None]
        decoded_traits = [
            self._decode(SharedTrait.from_bytes, data) for data in lost.shared_traits
        ]
        shared = [trait for trait in decoded_traits if trait is not None]
        has_valid_items = bool(identities or shared) or not (lost.requests or lost.shared_traits)
        if has_valid_items and self._is_evidence(lost.evidence):
            at, evidence = now - lost.age, Evidence(lost.evidence)
            self.losses.blame(key, identities, at, evidence, shared, lost.service)
            self._contradict(shared, now)

    def _contradict(self, shared: Iterable[SharedTrait], now: float) -> None:
        """Tell the others of blamed traits that this entry has answered requests with lately.

        An entry that has just started blames them without knowing that. The time of the last
        answer is approximate, so it clears no loss.
        """
        repeated = self.losses.repeated()
        self._told_at = {
            t: at for t, at in self._told_at.items() if now - at < ANSWERED_NEWS_SECONDS
        }
        for trait in shared:
            at = self.losses.answers.answered_at(trait)
            if at == NEVER or trait not in repeated or trait in self._told_at:
                continue
            self._told_at[trait] = now
            self._known_traits[trait] = at
            self._on_news()

    def _is_evidence(self, value: int) -> bool:
        if value in Evidence.__members__.values():
            return True
        self.rejected += 1
        return False

    def _decode(self, from_bytes: Callable[[bytes], T], data: bytes) -> T | None:
        try:
            return from_bytes(data)
        except ValueError:
            self.rejected += 1
            return None

    def _decode_ages(
        self, ages: Iterable[TraitAge], now: float
    ) -> Iterable[tuple[SharedTrait, float]]:
        for item in ages:
            trait = self._decode(SharedTrait.from_bytes, item.trait)
            if trait is not None and self._is_plausible(item.age):
                yield trait, now - item.age

    def _is_plausible(self, age: float) -> bool:
        if math.isfinite(age) and 0 <= age <= MAX_AGE_SECONDS:
            return True
        self.rejected += 1
        return False

    # Decisions.

    def update(self, now: float) -> bool:
        """Drop expired losses and log changed standings; return whether any request was barred."""
        self.losses.expire(now)
        causes = {str(cause): (cause, _standing_now(cause, now)) for cause in self.losses.causes()}
        newly_barred = False
        for name in causes.keys() | self._causes.keys():
            _, before = self._causes.get(name, (None, Standing.CLEAR))
            cause, standing = causes.get(name, (None, Standing.CLEAR))
            if standing is not before:
                newly_barred |= standing is Standing.BARRED
                log_standing(cause or self._causes[name][0], standing, now)
        self._causes = causes
        return newly_barred

    def barred(self) -> list[Cause]:
        """Return the causes because of which requests were barred at the last `update`.

        Callers are left out: their requests pause, and are not withdrawn.
        """
        return [
            cause
            for cause, standing in self._causes.values()
            if standing is Standing.BARRED and not cause.is_caller
        ]

    def count_standings(self) -> Counter[Standing]:
        """Return the number of suspect and of barred requests."""
        return Counter(standing for cause, standing in self._causes.values() if cause.request)

    def count_barred_parts(self) -> int:
        """Return the number of causes that are parts of prompts."""
        return sum(cause.request is None for cause in self.barred())

    def dump(self, now: float) -> list[dict[str, object]]:
        """Return the suspect and barred requests and parts of prompts, for the state dump."""
        return [
            {"standing": _standing_now(cause, now).value, **describe_cause(cause, now)}
            for cause in self.losses.causes()
        ]


class _Blamed:
    """What this entry has blamed for a loss since it last told the others."""

    def __init__(self) -> None:
        self.requests: set[RequestIdentity] = set()
        self.shared_traits: set[SharedTrait] = set()


def _standing_now(cause: Cause, now: float) -> Standing:
    is_over = cause.standing is Standing.BARRED and now >= cause.barred_until()
    return Standing.SUSPECT if is_over else cause.standing


def _lost_replica(
    key: LossKey,
    loss: Loss,
    requests: Collection[RequestIdentity],
    shared: Collection[SharedTrait],
    now: float,
) -> LostReplica:
    """Return news of a loss, without those of `requests` and `shared` that were cleared."""
    return LostReplica(
        key.replica,
        key.started_ms,
        now - loss.at,
        int(loss.evidence),
        [identity.to_bytes() for identity in requests if identity in loss.requests],
        [trait.to_bytes() for trait in shared if trait in loss.shared_traits],
        loss.service,
    )


def _trait_ages(times: dict[SharedTrait, float], now: float) -> list[TraitAge]:
    return [TraitAge(trait.to_bytes(), now - at) for trait, at in times.items()]
