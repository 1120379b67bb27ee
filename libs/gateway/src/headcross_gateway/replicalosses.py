"""Keeps the losses of replicas with the requests that ran there, and what they were caused by.

A request may crash every replica that begins to run it, and it may come again at any entry, as may
others that share a part of its prompt. The entries that had sent requests to a lost replica know
what ran there, and exchange this. A complete answer at any entry shows that a request does not
crash replicas, nor does what it shares with others: earlier losses no longer count against them.
`attribution` decides what the remaining losses are caused by.

The module does no I/O and reads no clock; `now` is in seconds on one monotonic clock.
"""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import replace
from typing import Final, TypeVar

from headcross_gateway.answerhistory import AnswerHistory
from headcross_gateway.answersketch import NEVER
from headcross_gateway.attribution import SUSPECT_LOSSES, Cause, Standing, find_causes
from headcross_gateway.losses import (
    LOSS_RETENTION_SECONDS,
    Evidence,
    Loss,
    LossKey,
    Trait,
)
from headcross_gateway.requestidentity import RequestIdentity
from headcross_gateway.sharedtraits import SharedTrait

# A replica's silence does not count against a request answered completely within this time.
KNOWN_GOOD_SECONDS: Final = 60.0
MAX_LOSSES: Final = 128
MAX_REQUESTS_PER_LOSS: Final = 32
MAX_SHARED_PER_LOSS: Final = 1024
# Shared traits of all losses together. Those with a single loss are dropped first.
MAX_SHARED: Final = 8192
MAX_ANSWERED: Final = 1024
K = TypeVar("K")


class ReplicaLosses:
    """The losses known to one entry, its own and those that other entries reported."""

    answers: AnswerHistory

    def __init__(self) -> None:
        self.answers = AnswerHistory()
        self._losses: OrderedDict[LossKey, Loss] = OrderedDict()
        # When requests were last answered completely.
        self._answered_at: OrderedDict[RequestIdentity, float] = OrderedDict()
        # When replicas were last found alive: older news of their loss may still arrive.
        self._alive_at: OrderedDict[LossKey, float] = OrderedDict()
        # When requests with a trait were last refused because of it.
        self._refused_at: dict[SharedTrait, float] = {}
        # The losses of each trait, and the number of requests with losses in each scope.
        self._losses_by_trait: dict[Trait, set[LossKey]] = {}
        self._request_counts_by_scope: Counter[bytes] = Counter()
        # The traits with at least SUSPECT_LOSSES; others have no effect.
        self._repeated: set[Trait] = set()
        self._causes: list[Cause] = []
        self._causes_by_trait: dict[Trait, list[Cause]] = {}
        # Whether the causes reflect the current losses.
        self._causes_are_current = True
        # Whether there were answers since the last `expire`. Answers to other requests are a part
        # of the evidence against some causes.
        self._answers_noted = False

    # Input.

    def blame(
        self,
        key: LossKey,
        requests: Collection[RequestIdentity],
        at: float,
        evidence: Evidence = Evidence.BROKEN,
        shared: Collection[SharedTrait] = (),
        service: str = "",
    ) -> bool:
        """Record what was on a replica when it was lost; return whether that is news.

        `shared` has the traits that the requests may share with others. Without requests, only the
        loss itself is recorded.
        """
        if evidence is Evidence.ENDED:
            at = max(at, self._alive_at.get(key, at))
        elif self._alive_at.get(key, NEVER) >= at:
            return False
        is_new = key not in self._losses
        loss = self._losses.setdefault(key, Loss(at, evidence))
        is_stronger = evidence > loss.evidence or (is_new and not (requests or shared))
        if at < loss.at:
            # News that was delayed dates a loss too late, and losses at one time as one event.
            loss.at = at
            self._causes_are_current = False
        loss.evidence = max(loss.evidence, evidence)
        loss.service = loss.service or service
        room = MAX_REQUESTS_PER_LOSS - len(loss.requests)
        new_requests = [i for i in dict.fromkeys(requests) if self._may_blame(i, loss)][:room]
        room = MAX_SHARED_PER_LOSS - len(loss.shared_traits)
        new_shared = [t for t in dict.fromkeys(shared) if t not in loss.shared_traits][:room]
        for identity in new_requests:
            self._add(key, identity)
        for trait in new_shared:
            self._add(key, trait)
        self._drop_excess()
        is_news = is_stronger or bool(new_requests or new_shared)
        self._causes_are_current = not is_news and self._causes_are_current
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
        self._causes_are_current = False
        return True

    def note_answer(self, identity: RequestIdentity, at: float) -> bool:
        """Record a complete answer to a request; return whether earlier losses were removed."""
        _remember(self._answered_at, identity, at, MAX_ANSWERED)
        return self._clear(identity, at)

    def note_shared_answer(
        self, service: str, shared: Collection[SharedTrait], at: float
    ) -> list[SharedTrait]:
        """Record a complete answer at this entry; return the traits that it cleared of losses."""
        self.answers.note(service, shared, at)
        self._answers_noted = True
        return [trait for trait in shared if self._clear(trait, at)]

    def note_answered_trait(self, trait: SharedTrait, at: float) -> None:
        """Record an answer to a request with a trait, which clears it of earlier losses."""
        self.note_known_trait(trait, at)
        self._clear(trait, at)

    def note_known_trait(self, trait: SharedTrait, at: float) -> None:
        """Record that requests with a trait were answered, approximately until `at`."""
        self.answers.note_trait(trait, at)
        self._causes_are_current = trait not in self._repeated and self._causes_are_current

    def note_refused(self, shared: Iterable[SharedTrait], at: float) -> None:
        """Record that requests with barred traits still come, so that their bar is kept."""
        self._update_causes()
        for trait in shared:
            if trait in self._causes_by_trait:
                self._refused_at[trait] = max(at, self._refused_at.get(trait, at))

    def _clear(self, trait: Trait, at: float) -> bool:
        earlier = [k for k in self._losses_by_trait.get(trait, ()) if self._losses[k].at <= at]
        for key in earlier:
            self._remove(key, trait)
        self._causes_are_current = not earlier and self._causes_are_current
        return bool(earlier)

    def expire(self, now: float) -> None:
        """Drop the losses whose retention time is over."""
        kept = self._kept_by_refusals(now)
        expired = [
            key
            for key, loss in self._losses.items()
            if now >= loss.expires_at() and not (loss.is_certain and key in kept)
        ]
        for key in expired:
            self._drop(key)
        if expired or (self._answers_noted and self._repeated):
            self._causes_are_current = False
        self._answers_noted = False

    def _kept_by_refusals(self, now: float) -> set[LossKey]:
        """Return the losses that bar requests which still come."""
        horizon = now - LOSS_RETENTION_SECONDS
        self._refused_at = {t: at for t, at in self._refused_at.items() if at > horizon}
        return {key for trait in self._refused_at for key in self._losses_by_trait.get(trait, ())}

    # Decisions.

    @property
    def is_empty(self) -> bool:
        """Whether nothing recorded counts against any request."""
        return not self._losses_by_trait

    def has_loss_in_scope(self, scope: bytes) -> bool:
        """Return whether any request of this scope has a recorded loss."""
        return scope in self._request_counts_by_scope

    def standing(self, identity: RequestIdentity, now: float) -> Standing:
        """Return a request's standing; a barred one is only suspect after `barred_until`."""
        cause = self.cause_of_request(identity)
        if cause is None:
            return Standing.CLEAR
        if cause.standing is Standing.BARRED and now >= cause.barred_until():
            return Standing.SUSPECT
        return cause.standing

    def cause_of_request(self, identity: RequestIdentity) -> Cause | None:
        """Return the cause that a single request is, None if it is none."""
        self._update_causes()
        return next(iter(self._causes_by_trait.get(identity, ())), None)

    def cause_of_shared(self, shared: Collection[SharedTrait]) -> Cause | None:
        """Return a cause that affects different requests, among them those with these traits."""
        self._update_causes()
        for trait in shared:
            for cause in self._causes_by_trait.get(trait, ()):
                if all(other in shared for other in cause.shared_traits):
                    return cause
        return None

    def causes(self) -> list[Cause]:
        """Return the causes of losses that have a consequence: suspect or barred requests."""
        self._update_causes()
        return [cause for cause in self._causes if cause.standing is not Standing.CLEAR]

    def repeated(self) -> set[Trait]:
        """Return the traits that have several losses."""
        return set(self._repeated)

    def refused_at(self) -> dict[SharedTrait, float]:
        """Return when requests with barred traits were last refused."""
        return dict(self._refused_at)

    def losses(self) -> dict[LossKey, Loss]:
        """Return a copy of the recorded losses."""
        return dict(self._losses)

    def _update_causes(self) -> None:
        """Attribute the losses to causes, if they have changed."""
        if self._causes_are_current:
            return
        self._causes_are_current = True
        by_trait: dict[Trait, frozenset[LossKey]] = {}
        silent_under: dict[RequestIdentity, list[LossKey]] = {}
        for trait in self._repeated:
            keys = self._losses_by_trait[trait]
            silent = [k for k in keys if self._losses[k].evidence is Evidence.SILENT]
            if silent and isinstance(trait, RequestIdentity):
                silent_under[trait] = silent
            if len(keys) > len(silent):
                by_trait[trait] = frozenset(keys).difference(silent)
        causes = find_causes(self._losses, by_trait, self.answers)
        self._causes = self._with_silences(causes, silent_under)
        index: defaultdict[Trait, list[Cause]] = defaultdict(list)
        for cause in self._causes:
            for trait in cause.traits:
                index[trait].append(cause)
        self._causes_by_trait = dict(index)

    def _with_silences(
        self, causes: list[Cause], silent_under: dict[RequestIdentity, list[LossKey]]
    ) -> list[Cause]:
        """Return the causes with the silent replicas of requests, which only make them suspect."""
        without_losses = silent_under.keys() - {cause.request for cause in causes}
        causes = causes + [
            Cause(frozenset([identity]), frozenset(), NEVER) for identity in without_losses
        ]
        return [self._with_silent_replicas(cause, silent_under) for cause in causes]

    def _with_silent_replicas(
        self, cause: Cause, silent_under: dict[RequestIdentity, list[LossKey]]
    ) -> Cause:
        silent = silent_under.get(cause.request, []) if cause.request is not None else []
        last_at = max([cause.last_at, *(self._losses[key].at for key in silent)])
        return replace(cause, silences=len(silent), last_at=last_at)

    # Bounds.

    def _drop_excess(self) -> None:
        """Drop losses above MAX_LOSSES and shared traits above MAX_SHARED, the oldest first.

        Losses that bar requests are dropped last.
        """
        while len(self._losses) > MAX_LOSSES:
            # Uses the last attribution: a new one for each of many losses would cost too much.
            barring = self._barring_losses()
            free = (key for key in self._losses if key not in barring)
            self._drop(next(free, next(iter(self._losses))))
        excess = sum(len(loss.shared_traits) for loss in self._losses.values()) - MAX_SHARED
        for key, loss in list(self._losses.items()) if excess > 0 else ():
            single = [trait for trait in loss.shared_traits if trait not in self._repeated]
            for trait in single[: max(0, excess)]:
                self._remove(key, trait)
            excess -= len(single)

    def _barring_losses(self) -> set[LossKey]:
        barred = (c for c in self._causes if c.standing is Standing.BARRED)
        return {key for cause in barred for key in cause.losses}

    def _add(self, key: LossKey, trait: Trait) -> None:
        loss = self._losses[key]
        if isinstance(trait, RequestIdentity):
            loss.requests.add(trait)
            if trait not in self._losses_by_trait:
                self._request_counts_by_scope[trait.scope] += 1
        else:
            loss.shared_traits.add(trait)
        keys = self._losses_by_trait.setdefault(trait, set())
        keys.add(key)
        if len(keys) >= SUSPECT_LOSSES:
            self._repeated.add(trait)

    def _remove(self, key: LossKey, trait: Trait) -> None:
        loss = self._losses[key]
        if isinstance(trait, RequestIdentity):
            loss.requests.discard(trait)
        else:
            loss.shared_traits.discard(trait)
        keys = self._losses_by_trait[trait]
        keys.discard(key)
        if len(keys) < SUSPECT_LOSSES:
            self._repeated.discard(trait)
        if keys:
            return
        del self._losses_by_trait[trait]
        if isinstance(trait, RequestIdentity):
            self._request_counts_by_scope[trait.scope] -= 1
            if not self._request_counts_by_scope[trait.scope]:
                del self._request_counts_by_scope[trait.scope]

    def _drop(self, key: LossKey) -> None:
        """Remove a loss from all indexes."""
        for trait in self._losses[key].traits():
            self._remove(key, trait)
        del self._losses[key]


def _remember(times: OrderedDict[K, float], key: K, at: float, max_keys: int) -> None:
    """Store the latest time for a key, and drop the least recently stored beyond `max_keys`."""
    times[key] = max(at, times.get(key, at))
    times.move_to_end(key)
    while len(times) > max_keys:
        times.popitem(last=False)
