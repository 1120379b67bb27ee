"""Which replica a request goes to.

Among those that may serve it at all, the one with the fewest requests for its size; another zone
costs as much as a few requests. The known load is some hundred milliseconds old and several
entries choose at once, so a little chance keeps them from choosing alike.
"""

import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from headcross_ports.configuration import Configuration
from headcross_ports.requests import RequestFacts

from headcross_gateway.directory import Directory
from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.weightsrules import WeightsRules

# A replica of another zone is taken when it has this share of its places freer.
OTHER_ZONE_SHARE: Final = 0.22
JITTER_SHARE: Final = 0.04
# A replica whose daemon was heard before and is late now may be behind a slow or broken link.
LATE_REPORT_SHARE: Final = 0.5
# A request that has run without an answer is not to meet a second replica that has ended unseen:
# where no daemon speaks for a replica, the time since its last answer counts, up to so much.
UNSEEN_END_SECONDS: Final = 1.6
UNSEEN_END_SHARE: Final = 0.5
# Shortly before the bound on its version, a replica must have been heard of so lately.
CLOSING_REPORT_SECONDS: Final = 0.5
# A while before the bound, it must not have been silent to a request for so long. A link that is
# too narrow holds requests back for 2 to 3 s, and delivers them although they were given up; in
# between it lets some through, and its daemon's words go the other way.
LINK_TRUST_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class Requirements:
    """What a request needs of a replica."""

    service: str
    model: str | None
    exact_version: int | None  # set when a stream goes on that began with this version
    tried: Collection[str]  # replicas that had their chance
    may_run_again: bool

    @property
    def is_particular(self) -> bool:
        """Whether other requests may find a place where this one finds none."""
        return self.exact_version is not None or bool(self.tried)


class Picker:
    """Chooses replicas for one entry."""

    def __init__(self, zone: str, directory: Directory, rules: WeightsRules) -> None:
        self._zone = zone
        self._directory = directory
        self._rules = rules

    def pick(
        self, requirements: Requirements, configuration: Configuration, reserved: float = 0.0
    ) -> ReplicaState | None:
        """Return the best replica that has room, or None.

        `reserved` is the part of each replica's places that must be free for others.
        """
        everyone = self._directory.serving(requirements.service)
        informed = [state for state in everyone if state.in_subset]
        if len(informed) < len(everyone):
            # Of a replica outside of the subset nothing is known but the list: it comes last.
            fitting = self._fitting(informed, requirements, configuration)
            sound = [
                s for s in fitting if s.reported_reachable() and self._is_healthy(s, requirements)
            ]
            with_room = [state for state in sound if state.has_room(reserved)]
            if with_room:
                return min(with_room, key=lambda state: self._cost(state, requirements))
        candidates = self.candidates(requirements, configuration)
        with_room = [state for state in candidates if state.has_room(reserved)]
        return min(with_room, key=lambda state: self._cost(state, requirements), default=None)

    def candidates(
        self, requirements: Requirements, configuration: Configuration
    ) -> list[ReplicaState]:
        """Return the replicas that could serve a request, full ones too."""
        everyone = self._directory.serving(requirements.service)
        fitting = self._fitting(everyone, requirements, configuration)
        reachable = [state for state in fitting if state.reported_reachable()] or fitting
        return [state for state in reachable if self._is_healthy(state, requirements)] or reachable

    def seconds_to_opening(
        self, requirements: Requirements, configuration: Configuration
    ) -> float:
        """Return after how many seconds a replica wants a request, infinite if none may serve it.

        It is 0 where only a lack of room keeps it away: a place may come free at any moment.
        """
        candidates = self.candidates(requirements, configuration)
        return min((state.seconds_to_next() for state in candidates), default=math.inf)

    def _fitting(
        self,
        states: Iterable[ReplicaState],
        requirements: Requirements,
        configuration: Configuration,
    ) -> list[ReplicaState]:
        """Return those that hold the right weights, are not leaving and had no chance yet."""
        service = configuration.services.get(requirements.service)
        fitting = [
            s for s in states if s.replica.id not in requirements.tried and not s.is_unavailable()
        ]
        if service is not None and service.weights is not None and requirements.model is not None:
            lowest = self._rules.lowest_allowed(requirements.model)
            fitting = [s for s in fitting if _version_fits(s, requirements, lowest)]
            fitting = [s for s in fitting if self._begins_in_time(s, requirements.model)]
            if requirements.exact_version is None:
                fitting = [s for s in fitting if self._starts_soon(s, requirements.model)]
        return fitting

    def _begins_in_time(self, state: ReplicaState, model: str) -> bool:
        """Tell whether a request would begin before the bound on its version, as far as is known.

        That holds for a stream that goes on as well: a full link may deliver it after its
        withdrawal, past the bound.
        """
        version = state.version_of(model)
        if version is None:
            return True
        if self._rules.is_ending(model, version) and not _link_is_trusted(state):
            return False
        return state.waits.expected() <= self._rules.seconds_to_begin(model, version)

    def _starts_soon(self, state: ReplicaState, model: str) -> bool:
        """Tell whether a replica is known to be empty enough, or its version need not be hurried.

        A stream that goes on is lost without a place, so it may wait where others may not.
        """
        version = state.version_of(model)
        max_load_share = (
            self._rules.max_load_share(model, version) if version is not None else None
        )
        if max_load_share is None:
            return True
        known = state.report_age() < CLOSING_REPORT_SECONDS and not state.health.failures
        return known and state.load() < max_load_share * state.replica.slots

    @staticmethod
    def _is_healthy(state: ReplicaState, requirements: Requirements) -> bool:
        """Tell whether it does not rest, or may be tried after a rest."""
        if state.health.is_ejected():
            return False
        if not state.health.needs_trial():
            return True
        return requirements.may_run_again and not state.health.on_trial

    def _cost(self, state: ReplicaState, requirements: Requirements) -> float:
        share = state.load() / state.replica.slots
        zone = 0.0 if state.replica.zone == self._zone else OTHER_ZONE_SHARE
        told = state.fresh_load()
        pace = max(1.0, told.pace) if told is not None else 1.0
        silence = LATE_REPORT_SHARE if state.is_report_late() else 0.0
        unseen_end = _unseen_end_cost(state) if requirements.tried else 0.0
        return share * pace + zone + silence + unseen_end + random.uniform(0.0, JITTER_SHARE)


def _unseen_end_cost(state: ReplicaState) -> float:
    """Return what the chance costs that a replica has ended unseen."""
    if state.fresh_load() is not None:
        return 0.0
    return UNSEEN_END_SHARE * min(1.0, state.health.answered_age() / UNSEEN_END_SECONDS)


def _link_is_trusted(state: ReplicaState) -> bool:
    """Tell whether nothing is known to have been held lately on a replica's link.

    One that holds requests back delivers them even after their connection's reset.
    """
    return state.health.silent_age() >= LINK_TRUST_SECONDS and state.is_delivering()


def _version_fits(state: ReplicaState, requirements: Requirements, lowest: int) -> bool:
    assert requirements.model is not None
    version = state.version_of(requirements.model)
    if version is None:
        return False
    if requirements.exact_version is not None and version != requirements.exact_version:
        return False
    return version >= lowest


def requirements_of(facts: RequestFacts, service: str, may_run_again: bool) -> Requirements:
    """Return what a request needs before anything was tried."""
    return Requirements(service, facts.model, None, (), may_run_again)
