"""Keeps what replicas have announced, and which have ended, from going back to a store's copy.

The list of a restored store may show a replica as it was before: ready though it leaves, listed
though it is gone, or in an earlier incarnation. Replicas count the writes of their entries; the
count distinguishes an entry of the copy from one that was written after the restore.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

import msgspec
from headcross_ports.published import Incarnation, Replica

# Replicas that are not listed are forgotten beyond this number, the earliest first. The copy of a
# store is some seconds old, while fleets replace a few replicas per second at most.
MAX_UNLISTED: Final = 1024
# How many earlier incarnations of one replica are remembered.
MAX_ENDED_STARTS: Final = 16


class _Status(Enum):
    LISTED = "listed"
    LAPSED = "lapsed"  # not listed, for a reason that does not show whether it still runs
    GONE = "gone"  # not listed, and taken to have ended


@dataclass(slots=True)
class _KnownReplica:
    newest: Replica  # its newest entry
    status: _Status = _Status.LISTED
    # Start times of the incarnations that later ones have replaced.
    ended_starts: tuple[int | None, ...] = ()


class ReplicaHistory:
    """The newest entries of replicas, listed or not."""

    def __init__(self) -> None:
        self._known: dict[str, _KnownReplica] = {}

    def admit(self, replica: Replica, *, restored: bool) -> Replica | None:
        """Return the entry to use for a replica that is listed, None if it must not be used.

        `restored` states whether the entry comes with the first listing of another epoch.
        """
        known = self._known.get(replica.id)
        if known is None:
            self._known[replica.id] = _KnownReplica(replica)
            return replica
        if restored and _is_of_copy(replica, known):
            return None if known.status is _Status.GONE else self._list(known, known.newest)
        if replica.incarnation.differs_from(known.newest.incarnation):
            ended_starts = (known.newest.started_ms, *known.ended_starts)
            known.ended_starts = ended_starts[:MAX_ENDED_STARTS]
            return self._list(known, replica)
        # Leaving is final for an incarnation.
        draining = replica.draining or known.newest.draining
        return self._list(known, msgspec.structs.replace(replica, draining=draining))

    def readmit(self, replica: Replica) -> Replica:
        """Return the entry to use for a replica that `admit` rejected, and that still runs."""
        known = self._known.setdefault(replica.id, _KnownReplica(replica))
        draining = replica.draining or known.newest.draining
        return self._list(known, msgspec.structs.replace(replica, draining=draining))

    def note_leaving(self, incarnation: Incarnation) -> None:
        """Record that an incarnation leaves, as announced by other means than the list."""
        known = self._known.get(incarnation.id)
        if known is not None and not incarnation.differs_from(known.newest.incarnation):
            known.newest = msgspec.structs.replace(known.newest, draining=True)

    def note_unlisted(self, replica_id: str, *, lapsed: bool) -> None:
        """Record that a replica is not listed any more; `lapsed` if it may still run."""
        known = self._known.pop(replica_id, None)
        if known is None:
            return
        known.status = _Status.LAPSED if lapsed else _Status.GONE
        self._known[replica_id] = known
        self._forget_earliest()

    def _list(self, known: _KnownReplica, entry: Replica) -> Replica:
        known.newest, known.status = entry, _Status.LISTED
        return entry

    def _forget_earliest(self) -> None:
        unlisted = [key for key, k in self._known.items() if k.status is not _Status.LISTED]
        for key in unlisted[: max(0, len(unlisted) - MAX_UNLISTED)]:
            del self._known[key]


def _is_of_copy(replica: Replica, known: _KnownReplica) -> bool:
    """Return whether an entry of a restored store is older than the newest one known."""
    if replica.incarnation.differs_from(known.newest.incarnation):
        return replica.started_ms in known.ended_starts
    if known.status is _Status.GONE:
        return replica.writes <= known.newest.writes
    return replica.writes < known.newest.writes
