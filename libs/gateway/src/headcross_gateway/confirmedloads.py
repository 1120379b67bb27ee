"""Decides which weights versions of one replica may take requests.

A load here is the loading of a weights version. The list and a replica's own report say which
version it holds, but not whether the weights were complete and correct when they were loaded. A
version takes requests only once that is known: from the daemon on the replica's host, from another
entry that heard from it, or from the replica itself, if it has accepted no order. `loadevidence`
decides what follows from what is known.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from headcross_facts.loadevidence import LoadEvidence, LoadStatus, combine, judge
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaReport
from headcross_wire.peermessages import ReplicaLoad

# Number of loads of one replica that are remembered, the newest versions.
MAX_KNOWN_LOADS: Final = 8


@dataclass(frozen=True, slots=True)
class KnownLoad:
    """What this entry knows about one load."""

    told: LoadStatus
    # Number of orders that the replica had accepted, the load's included; None if unknown.
    orders: int | None

    @property
    def status(self) -> LoadStatus:
        """Whether the load is known to be intact."""
        return judge(LoadEvidence(orders=self.orders, told=self.told))


NOTHING_KNOWN: Final = KnownLoad(LoadStatus.UNCONFIRMED, None)


class ConfirmedLoads:
    """The loaded versions of one incarnation of a replica, and which of them are confirmed.

    >>> loads = ConfirmedLoads([LoadedModel("m", 1)])
    >>> loads.may_serve("m", 1)
    False
    >>> load = ReplicaLoad("10.0.0.1:80", 1, True, False, {"m": 1}, 0, 0, 0.0, 1.0, 1)
    >>> loads.record_report(load, 5.0)
    False
    >>> loads.record_verdict(LoadedModel("m", 1), 3, LoadStatus.CONFIRMED)
    True
    >>> loads.may_serve("m", 1), loads.may_serve("m", 2)
    (True, False)
    """

    # When this entry first saw each version that the replica loaded since (monotonic).
    first_seen_at: dict[LoadedModel, float]

    def __init__(self, held_versions: Iterable[LoadedModel]) -> None:
        """`held_versions` are those that the replica held when this entry first learned of it."""
        self.first_seen_at = {}
        self._held_at_first = set(held_versions)
        self._known: dict[LoadedModel, KnownLoad] = {}
        # Derived from `_known`, since each request asks for it.
        self._confirmed: set[LoadedModel] = set()

    def record_report(self, load: ReplicaLoad, now: float) -> bool:
        """Record a daemon's report on this incarnation; return whether any load's status changed.

        Statements of earlier processes of the daemon stay in force: a process that was restarted
        does not know what they found.
        """
        before = self._statuses()
        self.note_held(_loaded_models(load.versions), now)
        if load.orders is not None:
            self._forget_if_restarted(load.orders)
        if load.orders == 0:
            self._record_platform_loads(_loaded_models(load.versions))
        for loaded_model in _loaded_models(load.confirmed):
            self.record_verdict(loaded_model, load.orders, LoadStatus.CONFIRMED)
        for loaded_model in _loaded_models(load.suspect):
            self.record_verdict(loaded_model, load.orders, LoadStatus.SUSPECT)
        return self._statuses() != before

    def record_replica_report(self, report: ReplicaReport) -> bool:
        """Record this incarnation's own report; return whether any load's status changed."""
        before = self._statuses()
        if report.order_sequence == 0 and not report.busy_loading:
            self._record_platform_loads(report.loaded)
        return self._statuses() != before

    def record_verdict(
        self, loaded_model: LoadedModel, orders: int | None, status: LoadStatus
    ) -> bool:
        """Record what a process knows about a load; return whether the load's status changed.

        `orders` is the number of orders that the replica had accepted with that load; None if the
        process does not state it. A load with more orders replaces an earlier one of the same
        version.
        """
        known = before = self._known.get(loaded_model, NOTHING_KNOWN)
        if known.orders is not None and orders is not None:
            if orders < known.orders:
                return False
            if orders > known.orders:
                known = NOTHING_KNOWN
        told = combine(known.told, status)
        updated = KnownLoad(told, known.orders if orders is None else orders)
        self._set_known(loaded_model, updated)
        return updated.status is not before.status

    def note_held(self, held_versions: Iterable[LoadedModel], now: float) -> None:
        """Note the versions that the replica holds, by the list or by its daemon's report."""
        for loaded_model in held_versions:
            if loaded_model not in self._held_at_first:
                self.first_seen_at.setdefault(loaded_model, now)

    def status_of(self, loaded_model: LoadedModel) -> LoadStatus:
        """Return whether a load is known to be intact."""
        return self._known.get(loaded_model, NOTHING_KNOWN).status

    def may_serve(self, model: str, version: int) -> bool:
        """Return whether a version that the replica holds may take requests."""
        return LoadedModel(model, version) in self._confirmed

    def known(self) -> dict[LoadedModel, KnownLoad]:
        """Return the loads that are known to be intact, or not to be."""
        return {
            loaded_model: known
            for loaded_model, known in self._known.items()
            if known.status is not LoadStatus.UNCONFIRMED
        }

    def dump(self) -> dict[str, object]:
        """Return the state for the administration page and the log."""
        return {
            "held_at_first": _names(self._held_at_first),
            "confirmed": _names(self._with_status(LoadStatus.CONFIRMED)),
            "suspect": _names(self._with_status(LoadStatus.SUSPECT)),
        }

    def _record_platform_loads(self, loaded_models: Iterable[LoadedModel]) -> None:
        """Record versions that the replica holds without having accepted an order."""
        for loaded_model in loaded_models:
            self._set_known(loaded_model, KnownLoad(LoadStatus.UNCONFIRMED, 0))

    def _forget_if_restarted(self, orders: int) -> None:
        """Forget which loads are intact that a replica with fewer accepted orders cannot hold."""
        for loaded_model, known in list(self._known.items()):
            is_later = known.orders is not None and orders < known.orders
            if is_later and known.status is LoadStatus.CONFIRMED:
                self._forget(loaded_model)

    def _set_known(self, loaded_model: LoadedModel, known: KnownLoad) -> None:
        self._known[loaded_model] = known
        self._confirmed.discard(loaded_model)
        if known.status is LoadStatus.CONFIRMED:
            self._confirmed.add(loaded_model)
        while len(self._known) > MAX_KNOWN_LOADS:
            self._forget(min(self._known, key=lambda known_model: known_model.version))

    def _forget(self, loaded_model: LoadedModel) -> None:
        del self._known[loaded_model]
        self._confirmed.discard(loaded_model)

    def _with_status(self, status: LoadStatus) -> set[LoadedModel]:
        return {loaded for loaded, known in self._known.items() if known.status is status}

    def _statuses(self) -> dict[LoadedModel, LoadStatus]:
        return {loaded_model: known.status for loaded_model, known in self._known.items()}


def _loaded_models(versions: dict[str, int]) -> set[LoadedModel]:
    return {LoadedModel(model, version) for model, version in versions.items()}


def _names(loaded_models: set[LoadedModel]) -> list[str]:
    return sorted(f"{loaded_model.model}@{loaded_model.version}" for loaded_model in loaded_models)
