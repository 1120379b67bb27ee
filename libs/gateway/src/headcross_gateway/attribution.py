"""Decides which requests, parts of prompts or callers have crashed the replicas that were lost.

A replica is lost together with all requests on it, most of which are innocent. What crashes
replicas was on each replica that it crashed, while other things were on some of them by chance.
Losses are therefore attributed to as few causes as explain all of them: the trait with the most
losses explains those, and they no longer count against others.

Traits that were on exactly the same replicas cannot be told apart. If a single request is among
them, that request is the cause. Otherwise they are one cause, which affects only requests that
have all of them; the next request with some of them shows which one it is.

The causes are sought in three steps, each among the losses that the earlier ones do not explain:

1. single requests, and parts of prompts of which no request was answered lately;
2. parts of which requests were answered until recently. It is more probable that replicas end for
   other reasons, so the evidence must be strong: many losses over some time, no answer to a
   request with the part since the first of them, and answers to requests without it;
3. callers, on the same strong evidence.

The module does no I/O and reads no clock; times are in seconds on one monotonic clock.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final

from headcross_gateway.answerhistory import AnswerHistory
from headcross_gateway.losses import Loss, LossKey, Trait
from headcross_gateway.requestidentity import RequestIdentity
from headcross_gateway.sharedtraits import SharedTrait, TraitKind

# A request with this many losses is sent to only one replica for each try (suspect), or to none
# (barred). A part that was not answered lately is barred from BARRED_LOSSES on as well.
SUSPECT_LOSSES: Final = 2
BARRED_LOSSES: Final = 3
# Replicas lost within this time may have been lost to one event, such as a power loss.
SAME_EVENT_SECONDS: Final = 0.05
# Strong evidence: this many losses over this time, while others are answered.
STRONG_LOSSES: Final = 5
STRONG_SPAN_SECONDS: Final = 1.0
# How long a request is barred after its last loss; doubles with each further one.
BARRED_SECONDS: Final = 600.0
# How long a caller pauses after its last loss; doubles with each further one.
FIRST_PAUSE_SECONDS: Final = 2.0
MAX_PAUSE_SECONDS: Final = 600.0

Losses = Mapping[LossKey, Loss]
LossKeys = frozenset[LossKey]


class Standing(Enum):
    """How requests may be run, given the replicas lost under earlier ones."""

    CLEAR = "clear"
    SUSPECT = "suspect"  # one replica for each try, and one try at a time at each entry
    BARRED = "barred"  # no replica


@dataclass(frozen=True, slots=True)
class Cause:
    """Traits that explain lost replicas; it affects the requests that have all of them."""

    traits: frozenset[Trait]
    losses: LossKeys
    last_at: float  # of the last loss
    silences: int = 0  # replicas that fell silent under a request and may still run

    @property
    def request(self) -> RequestIdentity | None:
        """The single request that it affects, None if it affects different ones."""
        return next((t for t in self.traits if isinstance(t, RequestIdentity)), None)

    @property
    def shared_traits(self) -> frozenset[SharedTrait]:
        """Its traits if it affects different requests, empty if it is a single one."""
        return frozenset(t for t in self.traits if isinstance(t, SharedTrait))

    @property
    def is_caller(self) -> bool:
        """Whether it affects all requests of a caller."""
        return any(trait.kind is TraitKind.CALLER for trait in self.shared_traits)

    @property
    def standing(self) -> Standing:
        """The standing of the requests that it affects, whether or not a bar is over."""
        if self.request is None or len(self.losses) >= BARRED_LOSSES:
            return Standing.BARRED
        is_suspect = len(self.losses) + self.silences >= SUSPECT_LOSSES
        return Standing.SUSPECT if is_suspect else Standing.CLEAR

    def barred_until(self) -> float:
        """Return when an affected request may be tried again; `last_at` if it is not barred.

        The bar of a part of prompts has no such time, since each try would crash a replica.
        """
        if self.standing is not Standing.BARRED:
            return self.last_at
        if self.is_caller:
            pause = FIRST_PAUSE_SECONDS * 2.0 ** (len(self.losses) - STRONG_LOSSES)
            return self.last_at + min(pause, MAX_PAUSE_SECONDS)
        if self.request is None:
            return float("inf")
        return self.last_at + BARRED_SECONDS * 2.0 ** (len(self.losses) - BARRED_LOSSES)

    def __str__(self) -> str:
        return "+".join(sorted(map(str, self.traits)))


def find_causes(
    losses: Losses, by_trait: Mapping[Trait, LossKeys], answers: AnswerHistory
) -> list[Cause]:
    """Return the causes of losses: single requests, parts of prompts that are barred, and callers.

    `by_trait` has the losses of each trait, without those of silent replicas that may still run.
    """
    new, known, callers = _split_by_step(losses, by_trait, answers)
    causes = [c for c in _attribute(losses, new) if c.request or _is_repeated(losses, c)]
    for candidates in (known, callers):
        explained = LossKeys().union(
            *(cause.losses for cause in causes if cause.standing is Standing.BARRED)
        )
        remaining = {trait: keys - explained for trait, keys in candidates.items()}
        found = _attribute(losses, remaining)
        causes += [cause for cause in found if _is_strong(losses, cause, answers)]
    return causes


def _split_by_step(
    losses: Losses, by_trait: Mapping[Trait, LossKeys], answers: AnswerHistory
) -> tuple[dict[Trait, LossKeys], dict[Trait, LossKeys], dict[Trait, LossKeys]]:
    """Return the traits among which causes are sought in each step, with their losses."""
    new: dict[Trait, LossKeys] = {}
    known: dict[Trait, LossKeys] = {}
    callers: dict[Trait, LossKeys] = {}
    for trait, keys in by_trait.items():
        if isinstance(trait, RequestIdentity):
            new[trait] = keys
        elif trait.kind is TraitKind.CALLER:
            callers[trait] = keys
        elif answers.was_answered(trait, min(losses[key].at for key in keys)):
            known[trait] = keys
        else:
            new[trait] = keys
    return new, known, callers


def _is_repeated(losses: Losses, cause: Cause) -> bool:
    """Return whether replicas were lost to a cause in at least BARRED_LOSSES events."""
    times = sorted(losses[key].at for key in cause.losses)
    later_events = sum(
        after - before > SAME_EVENT_SECONDS
        for before, after in zip(times, times[1:], strict=False)
    )
    return 1 + later_events >= BARRED_LOSSES


def _is_strong(losses: Losses, cause: Cause, answers: AnswerHistory) -> bool:
    """Return whether the evidence against a cause that was answered before is sufficient."""
    lost = [losses[key] for key in cause.losses]
    first_at = min(loss.at for loss in lost)
    return (
        len(lost) >= STRONG_LOSSES
        and cause.last_at - first_at >= STRONG_SPAN_SECONDS
        and _is_repeated(losses, cause)
        and all(answers.has_answered_since(loss.service, first_at) for loss in lost)
    )


def _attribute(losses: Losses, candidates: Mapping[Trait, LossKeys]) -> list[Cause]:
    """Attribute losses to as few causes as possible, each with at least SUSPECT_LOSSES.

    In each round, the traits with the most unexplained losses explain all of theirs.
    """
    causes: list[Cause] = []
    unexplained = dict(candidates)
    while True:
        unexplained = {t: keys for t, keys in unexplained.items() if len(keys) >= SUSPECT_LOSSES}
        if not unexplained:
            return causes
        most = max(len(keys) for keys in unexplained.values())
        indistinguishable: dict[LossKeys, set[Trait]] = defaultdict(set)
        for trait, keys in unexplained.items():
            if len(keys) == most:
                indistinguishable[keys].add(trait)
        for keys, traits in indistinguishable.items():
            last_at = max(losses[key].at for key in keys)
            causes += [Cause(cause, keys, last_at) for cause in _narrowest(traits)]
        explained = LossKeys().union(*indistinguishable)
        unexplained = {
            t: keys - explained for t, keys in unexplained.items() if keys not in indistinguishable
        }


def _narrowest(traits: Collection[Trait]) -> Iterable[frozenset[Trait]]:
    """Return the causes that traits may be which were on exactly the same replicas."""
    requests = [frozenset([trait]) for trait in traits if isinstance(trait, RequestIdentity)]
    return requests or [frozenset(traits)]
