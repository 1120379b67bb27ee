"""The replicas an entry may call, with what it knows of each.

The list says which exist; it lags. The daemon beside a replica tells its load and versions several
times a second. The entry's own requests tell the rest. Each of these has its age.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from headcross_base.addresses import Address
from headcross_base.clocks import monotonic
from headcross_facts.facts import Facts
from headcross_ports.published import Replica
from headcross_wire.peermessages import ReplicaLoad

from headcross_gateway.health import Health

# What a daemon told of its replica counts for so long.
TOLD_SECONDS: Final = 1.5
# Daemons tell four times a second; one that is silent for so long is late.
LATE_SECONDS: Final = 0.8
# Requests that all entries together may place at a replica between two words of its daemon.
PLACED_TOGETHER: Final = 6
# A replica that refused a request for want of room is not tried again for so long.
FULL_SECONDS: Final = 0.12


@dataclass(slots=True)
class Told:
    """The last word of the daemon beside a replica."""

    load: ReplicaLoad
    at: float  # monotonic
    own_in_flight: int  # requests of this entry at that moment
    own_placed: int = 0  # requests that this entry placed there since


@dataclass(slots=True)
class ReplicaState:
    """One replica as this entry sees it."""

    replica: Replica
    in_flight: int = 0  # requests of this entry
    told: Told | None = None
    full_until: float = 0.0
    # This entry's part of the replica's places, 0 to 1: an equal one among the entries that its
    # daemon tells its load to, and before its first word among the entries known.
    own_share: float = 1.0
    health: Health = field(default_factory=Health)
    # Another incarnation answered at its address: this one will not come back.
    gone: bool = False

    def told_age(self) -> float:
        """Return how old the last word of its daemon is, in seconds."""
        return monotonic() - self.told.at if self.told is not None else float("inf")

    def told_late(self) -> bool:
        """Tell whether its daemon spoke before and has been silent for too long since."""
        return self.told is not None and self.told_age() > LATE_SECONDS

    def fresh_load(self) -> ReplicaLoad | None:
        """Return what its daemon told, if that is recent."""
        if self.told is None or self.told_age() > TOLD_SECONDS:
            return None
        return self.told.load

    def load(self) -> float:
        """Return how many requests it has, of this entry and, by its daemon's word, of others."""
        told = self.told
        if told is None or self.told_age() > TOLD_SECONDS:
            return self.in_flight
        others = max(0, told.load.active + told.load.queued - told.own_in_flight)
        return self.in_flight + others

    def has_room(self) -> bool:
        """Tell whether a place is free, as far as is known.

        All places are filled. One with 16 ends a request every 70 ms or so: a request that comes a
        moment too soon waits less there than it would for another try.
        """
        if monotonic() < self.full_until:
            return False
        if not self.replica.loaded and self.told is None:
            return self.load() < self.replica.slots  # a plain service: nobody tells its load
        if self.fresh_load() is None:
            # What the other entries placed there is not known: after a restart of all of them,
            # each had filled every replica by itself, and requests queued there for 2 s.
            return self.in_flight < max(1.0, self.replica.slots * self.own_share)
        assert self.told is not None
        free = self.replica.slots - self.load()
        return free > 0 and self.told.own_placed < self._own_part()

    def take_place(self) -> None:
        """Count a request of this entry as under way there."""
        self.in_flight += 1
        if self.told is not None:
            self.told.own_placed += 1

    def _own_part(self) -> int:
        """Return how many requests this entry may place before it is told the load again.

        All entries see the same free places. A replica reads the prompts of what it is given one
        after the other, so a place that many rush to is no place for most of them.
        """
        return max(1, int(PLACED_TOGETHER * self.own_share))

    def told_reachable(self) -> bool:
        """Tell whether its daemon, if it says anything, says that it answers."""
        load = self.fresh_load()
        return load is None or load.reachable

    def told_leaving(self) -> bool:
        """Tell whether its daemon says that it loads, or is about to, and takes no requests."""
        load = self.fresh_load()
        return load is not None and load.leaving

    def version_of(self, model: str) -> int | None:
        """Return the version of a model that it serves, None if it holds none."""
        listed = next((m.version for m in self.replica.loaded if m.model == model), None)
        load = self.fresh_load()
        told = load.versions.get(model) if load is not None else None
        if listed is None or told is None:
            return told if listed is None else listed
        return max(listed, told)

    def note_full(self) -> None:
        """Note that it refused a request for want of room."""
        self.full_until = monotonic() + FULL_SECONDS


class Directory:
    """All replicas in the list."""

    # How many entries there are, this one among them, as far as this one knows.
    entries: int

    def __init__(self, facts: Facts, entries: int = 1) -> None:
        self.entries = max(1, entries)
        self._facts = facts
        self._states: dict[str, ReplicaState] = {}
        self._by_service: dict[str, list[ReplicaState]] = {}
        self._by_address: dict[str, ReplicaState] = {}

    def update(self) -> None:
        """Take the list of replicas as it is now."""
        listed = self._facts.replicas
        for replica_id in set(self._states) - set(listed):
            del self._states[replica_id]
        for replica in listed.values():
            state = self._states.get(replica.id)
            if state is None:
                self._states[replica.id] = ReplicaState(replica, own_share=1 / self.entries)
            else:
                state.replica = replica
        self._index()

    def serving(self, service: str) -> list[ReplicaState]:
        """Return the replicas of a service that are not leaving."""
        return self._by_service.get(service, [])

    def states(self) -> Iterable[ReplicaState]:
        """Return every replica."""
        return self._states.values()

    def hear(self, load: ReplicaLoad) -> ReplicaState | None:
        """Take the word of the daemon beside a replica; return the replica if it is known."""
        state = self._by_address.get(load.address)
        if state is not None:
            state.told = Told(load, monotonic(), state.in_flight)
            state.own_share = 1 / max(1, load.listeners)
        return state

    def service_daemons(self) -> list[Address]:
        """Return the addresses of replicas that a daemon of this system stands beside."""
        configuration = self._facts.configuration
        if configuration is None:
            return []
        with_weights = {s.name for s in configuration.services.values() if s.weights is not None}
        return [
            state.replica.address
            for state in self._states.values()
            if state.replica.service in with_weights
        ]

    def _index(self) -> None:
        self._by_service = {}
        self._by_address = {}
        for state in self._states.values():
            self._by_address[str(state.replica.address)] = state
            if not state.replica.draining:
                self._by_service.setdefault(state.replica.service, []).append(state)
