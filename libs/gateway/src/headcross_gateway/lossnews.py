"""Exchanges news of lost replicas, and of the requests that ran there, between entries.

An entry immediately sends to all others what it observes itself. It also sends everything it knows
to a few of them at intervals, so that entries that start or were disconnected learn it too. News
may arrive late, twice or never, and may be wrong: implausible items are ignored.
"""

import logging
import math
from collections import Counter
from collections.abc import Callable, Iterable

from headcross_wire.peermessages import AnsweredRequest, GroupOutcomeNews, LossNews, LostReplica

from headcross_gateway.grouplosses import GroupLosses, GroupOutcomes
from headcross_gateway.replicalosses import (
    LOSS_RETENTION_SECONDS,
    Evidence,
    Loss,
    LossKey,
    ReplicaLosses,
    Standing,
    Suspicion,
)
from headcross_gateway.requestidentity import RequestIdentity

logger = logging.getLogger(__name__)


class SharedLosses:
    """The losses known to one entry, with the news that it has yet to send to the others.

    All times are in seconds on one monotonic clock. `on_news` is called whenever news is pending.
    """

    losses: ReplicaLosses
    groups: GroupLosses
    # The number of implausible items received.
    rejected: int

    def __init__(self, host: str = "", on_news: Callable[[], None] = lambda: None) -> None:
        self.losses = ReplicaLosses()
        self.groups = GroupLosses()
        self._host = host
        self.rejected = 0
        self._on_news = on_news
        # What this entry observed itself since the last call of `take_pending`.
        self._lost: dict[LossKey, set[RequestIdentity]] = {}
        self._alive: dict[LossKey, float] = {}
        self._answered: dict[RequestIdentity, float] = {}
        self._standings: dict[RequestIdentity, Standing] = {}

    # Input of this entry.

    def blame(
        self, key: LossKey, requests: list[RequestIdentity], at: float, evidence: Evidence
    ) -> None:
        """Record requests that were on a replica when it was lost."""
        if self.losses.blame(key, requests, at, evidence):
            self._lost.setdefault(key, set()).update(requests)
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

    # News.

    def take_pending(self, now: float) -> LossNews | None:
        """Return what this entry observed itself since the last call, None if nothing."""
        known = self.losses.losses()
        lost = [
            _lost_replica(key, known[key], requests & known[key].requests, now)
            for key, requests in self._lost.items()
            if key in known
        ]
        alive = [LostReplica(k.replica, k.started_ms, now - at) for k, at in self._alive.items()]
        answered = [AnsweredRequest(i.to_bytes(), now - at) for i, at in self._answered.items()]
        self._lost.clear()
        self._alive.clear()
        self._answered.clear()
        if not (lost or alive or answered):
            return None
        return LossNews(lost, alive, answered, self._host, self._group_outcomes(now))

    def all_news(self, now: float) -> LossNews | None:
        """Return news of all recorded losses, None if there are none."""
        lost = [
            _lost_replica(key, loss, loss.requests, now)
            for key, loss in self.losses.losses().items()
            if loss.requests
        ]
        return LossNews(lost, host=self._host, groups=self._group_outcomes(now)) if lost else None

    def suspect_news(self, now: float) -> LossNews | None:
        """Return news of losses that make requests suspect or barred, None if there are none."""
        suspects = {suspicion.identity for suspicion in self.losses.suspicions()}
        lost = [
            _lost_replica(key, loss, loss.requests & suspects, now)
            for key, loss in self.losses.losses().items()
            if loss.requests & suspects
        ]
        return LossNews(lost) if lost else None

    def _group_outcomes(self, now: float) -> list[GroupOutcomeNews]:
        """Return this entry's outcomes of the groups that have a recorded loss."""
        own = {group: self.groups.own(group, now) for group in self.losses.groups()}
        return [
            GroupOutcomeNews(group, outcomes.lost, outcomes.answered)
            for group, outcomes in own.items()
        ]

    def receive(self, news: LossNews, now: float) -> None:
        """Store the news of another entry; implausible items are counted and ignored."""
        rejected = self.rejected
        for lost in news.lost:
            self._receive_lost(lost, now)
        for alive in news.alive:
            if self._is_plausible(alive.age):
                self.losses.retract(LossKey(alive.replica, alive.started_ms), now - alive.age)
        for answered in news.answered:
            identity = self._decode_identity(answered.request)
            if identity is not None and self._is_plausible(answered.age):
                self.losses.note_answer(identity, now - answered.age)
        for reported in news.groups:
            outcomes = GroupOutcomes(max(0, reported.lost), max(0, reported.answered))
            self.groups.receive(reported.group, news.host, outcomes, now)
        if self.rejected > rejected:
            fields = {"items": self.rejected - rejected, "reason": "identity, age or evidence"}
            logger.warning("news of losses rejected", extra=fields)

    def _receive_lost(self, lost: LostReplica, now: float) -> None:
        if not self._is_plausible(lost.age):
            return
        key = LossKey(lost.replica, lost.started_ms)
        decoded = [self._decode_identity(data) for data in lost.requests]
        identities = [identity for identity in decoded if identity is not None]
        if identities and self._is_evidence(lost.evidence):
            self.losses.blame(key, identities, now - lost.age, Evidence(lost.evidence))

    def _is_evidence(self, value: int) -> bool:
        if value in Evidence.__members__.values():
            return True
        self.rejected += 1
        return False

    def _decode_identity(self, data: bytes) -> RequestIdentity | None:
        try:
            return RequestIdentity.from_bytes(data)
        except ValueError:
            self.rejected += 1
            return None

    def _is_plausible(self, age: float) -> bool:
        if math.isfinite(age) and 0 <= age <= LOSS_RETENTION_SECONDS:
            return True
        self.rejected += 1
        return False

    # Decisions.

    def update(self, now: float) -> bool:
        """Drop expired losses and log changed standings; return whether any request was barred."""
        self.losses.expire(now)
        suspicions = {suspicion.identity: suspicion for suspicion in self.losses.suspicions()}
        standings = {identity: self.losses.standing(identity, now) for identity in suspicions}
        newly_barred = False
        for identity in standings.keys() | self._standings.keys():
            standing = standings.get(identity, Standing.CLEAR)
            if standing is not self._standings.get(identity, Standing.CLEAR):
                newly_barred |= standing is Standing.BARRED
                _log_standing(identity, standing, suspicions.get(identity), now)
        self._standings = standings
        return newly_barred

    def barred(self) -> list[RequestIdentity]:
        """Return the requests that were barred at the last `update`."""
        return [
            identity
            for identity, standing in self._standings.items()
            if standing is Standing.BARRED
        ]

    def count_standings(self) -> Counter[Standing]:
        """Return the number of suspect and of barred requests."""
        return Counter(self._standings.values())

    def dump(self, now: float) -> list[dict[str, object]]:
        """Return the suspect and barred requests, for the state dump."""
        return [
            {
                "standing": self.losses.standing(suspicion.identity, now).value,
                **_describe(suspicion, now),
            }
            for suspicion in self.losses.suspicions()
        ]


def _lost_replica(
    key: LossKey, loss: Loss, requests: Iterable[RequestIdentity], now: float
) -> LostReplica:
    identities = [identity.to_bytes() for identity in requests]
    return LostReplica(key.replica, key.started_ms, now - loss.at, int(loss.evidence), identities)


def _describe(suspicion: Suspicion, now: float) -> dict[str, object]:
    return {
        "request_digest": str(suspicion.identity),
        "losses": suspicion.losses,
        "silences": suspicion.silences,
        "last_loss_age": round(now - suspicion.last_at, 3),
        "barred_for": round(max(0.0, suspicion.barred_until() - now), 1),
    }


def _log_standing(
    identity: RequestIdentity, standing: Standing, suspicion: Suspicion | None, now: float
) -> None:
    fields = {"standing": standing.value, "request_digest": str(identity)}
    if suspicion is not None:
        fields.update({name: str(value) for name, value in _describe(suspicion, now).items()})
    logger.info("request judged", extra=fields)
