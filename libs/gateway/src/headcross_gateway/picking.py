"""Picks the replica for a request.

Of the replicas that may serve it, the one with the lowest load per slot is picked; a replica in
another zone costs as much as a few requests. The known loads are some hundred milliseconds old and
several entries pick at the same time, so a small random cost keeps them from all picking the same
replica.
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

# Costs are in the unit of load per slot: 1 is the cost of a replica whose slots are all in use.
# A replica in another zone is picked if its load per slot is lower by at least this.
OTHER_ZONE_COST: Final = 0.22
# Upper limit of the random cost.
MAX_JITTER_COST: Final = 0.04
# Cost of a replica whose daemon's report is late; its link may be slow or broken.
LATE_REPORT_COST: Final = 0.5
# A request that may have run already should not be sent next to a replica that has ended
# unnoticed. For a replica without a recent report, the cost of that risk grows with the time since
# its last answer; at this time it reaches its maximum.
MAX_UNSEEN_END_SECONDS: Final = 1.6
MAX_UNSEEN_END_COST: Final = 0.5
# Maximum age of a replica's load report when old versions take only requests that start soon (see
# `CLOSING_WINDOW_SECONDS` in `weightsrules`).
CLOSING_REPORT_SECONDS: Final = 0.5
# Near the bound on its version, a replica is picked only if no request there has timed out without
# data for at least this long. A link with too little bandwidth delays requests by 2 to 3 s and
# delivers them although they were withdrawn. Some requests pass such a link without delay, and
# load reports travel in the other direction, so neither shows that the link delivers in time.
LINK_TRUST_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class Requirements:
    """What a request requires of a replica."""

    service: str
    model: str | None
    exact_version: int | None  # set to resume a stream that began on this version
    tried: Collection[str]  # ids of replicas not to try again
    may_run_again: bool

    @property
    def is_constrained(self) -> bool:
        """Whether it accepts fewer replicas than other requests of its service."""
        return self.exact_version is not None or bool(self.tried)


class Picker:
    """Picks replicas for one entry."""

    def __init__(self, zone: str, directory: Directory, rules: WeightsRules) -> None:
        self._zone = zone
        self._directory = directory
        self._rules = rules

    def pick(
        self, requirements: Requirements, configuration: Configuration, reserved: float = 0.0
    ) -> ReplicaState | None:
        """Return the cheapest replica that has room, or None.

        `reserved` is the share of each replica's slots that must stay free for others.
        """
        all_states = self._directory.serving(requirements.service)
        subset_states = [state for state in all_states if state.in_subset]
        if len(subset_states) < len(all_states):
            # Of replicas outside the subset only the list entry is known, so they are used last.
            fitting = self._fitting(subset_states, requirements, configuration)
            healthy = [
                s
                for s in fitting
                if s.is_reported_reachable() and self._is_healthy(s, requirements)
            ]
            with_room = [state for state in healthy if state.has_room(reserved)]
            if with_room:
                return min(with_room, key=lambda state: self._cost(state, requirements))
        candidates = self.candidates(requirements, configuration)
        with_room = [state for state in candidates if state.has_room(reserved)]
        return min(with_room, key=lambda state: self._cost(state, requirements), default=None)

    def candidates(
        self, requirements: Requirements, configuration: Configuration
    ) -> list[ReplicaState]:
        """Return the replicas that could serve a request, including full ones."""
        all_states = self._directory.serving(requirements.service)
        fitting = self._fitting(all_states, requirements, configuration)
        reachable = [state for state in fitting if state.is_reported_reachable()] or fitting
        return [state for state in reachable if self._is_healthy(state, requirements)] or reachable

    def seconds_to_opening(
        self, requirements: Requirements, configuration: Configuration
    ) -> float:
        """Return the seconds until a replica accepts a request, infinite if none may serve it.

        0 if one of them is merely full: a slot may be released at any time.
        """
        candidates = self.candidates(requirements, configuration)
        return min((state.seconds_to_next() for state in candidates), default=math.inf)

    def _fitting(
        self,
        states: Iterable[ReplicaState],
        requirements: Requirements,
        configuration: Configuration,
    ) -> list[ReplicaState]:
        """Return the replicas that are available, untried and hold suitable weights."""
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
        """Return whether a request is expected to begin before the bound on its version.

        This is required of resumed streams too: a full link may deliver one after its withdrawal,
        past the bound.
        """
        version = state.version_of(model)
        if version is None:
            return True
        if self._rules.is_ending(model, version) and not _link_is_trusted(state):
            return False
        return state.waits.expected() <= self._rules.seconds_to_begin(model, version)

    def _starts_soon(self, state: ReplicaState, model: str) -> bool:
        """Return whether a replica is known to have a low enough load to start a request soon.

        Always true until shortly before its version takes no more requests. Not applied to resumed
        streams: these fail without a slot, so they may be sent where they have to wait.
        """
        version = state.version_of(model)
        max_load_share = (
            self._rules.max_load_share(model, version) if version is not None else None
        )
        if max_load_share is None:
            return True
        load_is_known = state.report_age() < CLOSING_REPORT_SECONDS and not state.health.failures
        return load_is_known and state.load() < max_load_share * state.replica.slots

    @staticmethod
    def _is_healthy(state: ReplicaState, requirements: Requirements) -> bool:
        """Return whether a replica is not ejected, or may take this request as its trial."""
        if state.health.is_ejected():
            return False
        if not state.health.needs_trial():
            return True
        return requirements.may_run_again and not state.health.on_trial

    def _cost(self, state: ReplicaState, requirements: Requirements) -> float:
        load_share = state.load() / state.replica.slots
        zone_cost = 0.0 if state.replica.zone == self._zone else OTHER_ZONE_COST
        report = state.reported_load()
        pace = max(1.0, report.pace) if report is not None else 1.0
        late_report_cost = LATE_REPORT_COST if state.is_report_late() else 0.0
        unseen_end_cost = _unseen_end_cost(state) if requirements.tried else 0.0
        return (
            load_share * pace
            + zone_cost
            + late_report_cost
            + unseen_end_cost
            + random.uniform(0.0, MAX_JITTER_COST)
        )


def _unseen_end_cost(state: ReplicaState) -> float:
    """Return the cost of the risk that a replica has ended unnoticed."""
    if state.reported_load() is not None:
        return 0.0
    return MAX_UNSEEN_END_COST * min(
        1.0, state.health.seconds_since_answer() / MAX_UNSEEN_END_SECONDS
    )


def _link_is_trusted(state: ReplicaState) -> bool:
    """Return whether a replica's link is not known to have delayed anything recently.

    A link that delays requests still delivers them after their connection is reset.
    """
    return state.health.seconds_since_silence() >= LINK_TRUST_SECONDS and state.is_delivering()


def _version_fits(state: ReplicaState, requirements: Requirements, lowest: int) -> bool:
    assert requirements.model is not None
    version = state.version_of(requirements.model)
    if version is None:
        return False
    if requirements.exact_version is not None and version != requirements.exact_version:
        return False
    return version >= lowest


def requirements_of(facts: RequestFacts, service: str, may_run_again: bool) -> Requirements:
    """Return the requirements of a request before its first attempt."""
    return Requirements(service, facts.model, None, (), may_run_again)
