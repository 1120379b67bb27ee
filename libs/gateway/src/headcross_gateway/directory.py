"""Keeps the state of every listed replica at one entry, and the entry's subset of them."""

import logging
import math
import statistics
from collections.abc import Iterable
from typing import Final

from headcross_base.addresses import Address
from headcross_base.monotonic import monotonic
from headcross_facts.bounds import FactBounds
from headcross_facts.facts import Facts
from headcross_ports.published import Replica
from headcross_wire.peermessages import LoadedVersionNews, LoadVerdict, ReplicaLoad

from headcross_gateway.loadnews import unknown_loads, verdicts_of
from headcross_gateway.replicastate import ReplicaState, draw_allowance
from headcross_gateway.subsetting import choose_subset

# Replicas whose list entries lapsed during an outage of the store stay in use for this share of
# the time within which a leaving replica must get its last request: one that left during the
# outage may still get requests for that long.
LAPSED_USE_SHARE: Final = 0.6
# How long a replica is excluded from the subset after it or its daemon did not answer.
SUBSET_EXCLUSION_SECONDS: Final = 5.0

logger = logging.getLogger(__name__)


class Directory:
    """The replicas in the list, with the state that this entry keeps of each."""

    # Estimated number of entries, including this one.
    entries: int

    def __init__(
        self,
        facts: Facts,
        entries: int = 1,
        host: str = "",
        zone: str = "",
        leaving_seconds: float = FactBounds().leaving,
    ) -> None:
        self.entries = max(1, entries)
        self._lapsed_seconds = LAPSED_USE_SHARE * leaving_seconds
        self._facts = facts
        self._host = host
        self._zone = zone
        # The share of the replicas with daemons that is in the subset.
        self._subset_share = 1.0
        self._states: dict[str, ReplicaState] = {}
        self._by_service: dict[str, list[ReplicaState]] = {}
        self._by_address: dict[str, ReplicaState] = {}
        self._by_ip: dict[str, ReplicaState] = {}
        # When the first report of a daemon came from each listed IP address (monotonic).
        self._first_heard_at: dict[str, float] = {}

    def update(self) -> list[Address]:
        """Apply the current list of replicas; return the addresses that have a new incarnation.

        A new incarnation gets a new state, since nothing known of the earlier one holds for it.
        Requests that wait to be sent to the earlier incarnation are not sent.
        """
        listed = self._facts.replicas
        for replica_id in set(self._states) - set(listed):
            if not self._keep_lapsed(self._states[replica_id]):
                self._drop(replica_id)
        restarted_addresses: list[Address] = []
        for replica in listed.values():
            state = self._states.get(replica.id)
            if state is not None and replica.incarnation.differs_from(state.replica.incarnation):
                state.replaced_or_unlisted = True
                restarted_addresses.append(replica.address)
                logger.info("incarnation begun", extra=_change_of(state.replica, replica))
                state = None
            if state is None:
                self._states[replica.id] = ReplicaState(replica, own_share=1 / self.entries)
            else:
                state.replica = replica
                if state.last_report is None:
                    state.own_share = 1 / self.entries
                state.confirmed_loads.note_held(replica.loaded, monotonic())
                state.lapsed_until = None
        self._index()
        return restarted_addresses

    def _drop(self, replica_id: str) -> None:
        """Remove a replica that is no longer listed."""
        state = self._states.pop(replica_id)
        state.replaced_or_unlisted = True
        if state.backpressure.leaving:
            self._facts.replica_list.history.note_leaving(state.replica.incarnation)
        fields = {"draining": state.is_leaving(), "in_flight": state.in_flight}
        logger.info("replica not listed", extra={"replica": replica_id, **fields})

    def _keep_lapsed(self, state: ReplicaState) -> bool:
        """Return whether a replica stays in use for now though its list entry has lapsed."""
        lapsed_at = self._facts.lapsed_at.get(state.replica.id)
        if lapsed_at is None:
            return False
        if state.lapsed_until is None:
            state.lapsed_until = lapsed_at + self._lapsed_seconds
            logger.info("kept though not listed", extra={"replica": state.replica.id})
        if monotonic() < state.lapsed_until:
            return True
        del self._facts.lapsed_at[state.replica.id]
        logger.info("given up, not listed again", extra={"replica": state.replica.id})
        return False

    def serving(self, service: str) -> list[ReplicaState]:
        """Return the replicas of a service that are not leaving."""
        return self._by_service.get(service, [])

    def find(self, replica_id: str) -> ReplicaState | None:
        """Return the replica with an id, None if it is not known."""
        return self._states.get(replica_id)

    def states(self) -> Iterable[ReplicaState]:
        """Return all known replicas."""
        return self._states.values()

    def record_report(self, load: ReplicaLoad) -> ReplicaState | None:
        """Record a load report of a replica's daemon; return the replica if it is known."""
        state = self._by_address.get(load.address)
        if state is not None:
            state.record_report(load, draw_allowance(load.listeners))
            self._first_heard_at.setdefault(state.replica.address.ip, monotonic())
        return state

    def recently_loaded(self, ip: str, seconds: float) -> list[LoadedVersionNews]:
        """Return the versions that the replica at an IP address loaded in the last `seconds`."""
        now = monotonic()
        state = self._by_ip.get(ip)
        first_seen_at = state.confirmed_loads.first_seen_at if state is not None else {}
        return [
            LoadedVersionNews(loaded_model.model, loaded_model.version, round(now - at, 3))
            for loaded_model, at in first_seen_at.items()
            if now - at < seconds
        ]

    def verdicts_on(self, ip: str) -> list[LoadVerdict]:
        """Return what is known of the loads of the replica at an IP address."""
        state = self._by_ip.get(ip)
        return verdicts_of(state) if state is not None else []

    def kept_from_service(self) -> list[ReplicaState]:
        """Return the replicas that hold weights which may not take requests."""
        return [
            state
            for state in self._with_daemons()
            if state.unserved_loads() and not state.is_unavailable()
        ]

    def first_heard_age(self, ip: str) -> float | None:
        """Return the seconds since the first report from an IP address, None if there is none."""
        heard_at = self._first_heard_at.get(ip)
        return round(monotonic() - heard_at, 3) if heard_at is not None else None

    def has_most_reports(self) -> bool:
        """Return whether at least half of the subset's daemons reported; true if it has none."""
        states = [state for state in self._with_daemons() if state.in_subset]
        return 2 * sum(state.last_report is not None for state in states) >= len(states)

    def knows_most_loads(self) -> bool:
        """Return whether the loads of at least half of the subset's replicas are known.

        A load is known if it was intact or found bad; a replica without weights has none.
        """
        states = [state for state in self._with_daemons() if state.in_subset]
        return 2 * len(unknown_loads(states)) <= len(states)

    def choose_subset(self) -> None:
        """Choose the subset of replicas whose load reports this entry receives."""
        states = self._with_daemons()
        now = monotonic()
        for state in states:
            if not state.is_responsive():
                state.excluded_until = now + SUBSET_EXCLUSION_SECONDS
        usable = {s.replica.id for s in states if s.is_usable(now)}
        replicas = [state.replica for state in states]
        chosen = choose_subset(self._host, self._zone, replicas, lambda r: r.id in usable)
        for state in states:
            state.in_subset = state.replica.id in chosen
        self._subset_share = len(chosen) / len(states) if states else 1.0

    def subset_daemons(self) -> list[Address]:
        """Return the addresses of the replicas in the subset that have daemons."""
        return [state.replica.address for state in self._with_daemons() if state.in_subset]

    def other_daemons(self) -> list[Address]:
        """Return the addresses of the replicas outside the subset that have daemons."""
        return [state.replica.address for state in self._with_daemons() if not state.in_subset]

    def replicas_with_daemons(self) -> list[Replica]:
        """Return the replicas that have daemons, in the subset or not."""
        return [state.replica for state in self._with_daemons()]

    def estimate_entries(self) -> int | None:
        """Estimate the number of entries from the listener counts that daemons report.

        Returns None if there is no valid report.

        Without subsetting, each daemon reports to every entry, otherwise to a share of them. The
        estimate is the mean over the daemons, rounded up: a single report may give 8 or 12 for 11
        entries.
        """
        loads = [s.reported_load() for s in self._with_daemons() if s.in_subset]
        listeners = [load.listeners for load in loads if load is not None]
        if not listeners:
            return None
        return max(1, math.ceil(statistics.mean(listeners) / self._subset_share))

    def _with_daemons(self) -> list[ReplicaState]:
        """Return the replicas of services with weights; these have a daemon on their host."""
        configuration = self._facts.configuration
        if configuration is None:
            return []
        with_weights = {s.name for s in configuration.services.values() if s.weights is not None}
        return [s for s in self._states.values() if s.replica.service in with_weights]

    def _index(self) -> None:
        self._by_service = {}
        self._by_address = {}
        self._by_ip = {state.replica.address.ip: state for state in self._states.values()}
        self._first_heard_at = {
            ip: at for ip, at in self._first_heard_at.items() if ip in self._by_ip
        }
        for state in self._states.values():
            self._by_address[str(state.replica.address)] = state
            if not state.replica.draining:
                self._by_service.setdefault(state.replica.service, []).append(state)


def _change_of(old: Replica, new: Replica) -> dict[str, object]:
    return {"replica": new.id, "before_ms": old.started_ms, "started_ms": new.started_ms}
