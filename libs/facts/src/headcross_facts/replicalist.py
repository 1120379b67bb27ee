"""The replicas that a process uses, from the list entries that it reads."""

import logging
from typing import Final

from headcross_base.monotonic import monotonic
from headcross_ports.published import LoadedModel, Replica

from headcross_facts.order.replicahistory import ReplicaHistory

# A replica's list entry that disappears within this time of a failed call to the store may have
# expired because the replica could not renew it either. Failed calls are retried after 1.2 s at
# most.
LAPSE_SECONDS: Final = 3.0
# A store removes the entry of a silent replica within a few seconds. So a replica whose entry is
# still listed this long after a restore renews it.
RENEWED_SECONDS: Final = 10.0

logger = logging.getLogger(__name__)


class ReplicaList:
    """The listed replicas, and what else is known of their entries."""

    # Listed replicas by id.
    replicas: dict[str, Replica]
    # Replicas whose valid list entry another writer has overwritten with an invalid one, by id, as
    # they were last listed. They get no new requests and no orders until a valid entry is back.
    overwritten: dict[str, Replica]
    # When list entries of replicas expired around an outage of the store (monotonic), by id.
    # Replicas that still run are listed again about two seconds after the store is back, as the
    # platform documents it.
    lapsed_at: dict[str, float]
    # The newest entries of replicas, listed or not.
    history: ReplicaHistory

    def __init__(self) -> None:
        self.replicas = {}
        self.overwritten = {}
        self.lapsed_at = {}
        self.history = ReplicaHistory()
        # Why the newest list entry of a replica is invalid, by id.
        self._invalid_reasons: dict[str, str] = {}
        # Replicas that are not used, since the copy of a restored store lists them although they
        # were gone, and since when (monotonic), by id.
        self._ignored: dict[str, tuple[Replica, float]] = {}
        # When a call for the list last failed (monotonic).
        self._failed_at = float("-inf")

    def note_failure(self) -> None:
        """Record that a call to the store for the list has just failed."""
        self._failed_at = monotonic()

    def note_restored(self) -> None:
        """Record that the list of a restored store is about to be taken."""
        now = monotonic()
        self._ignored = {key: (replica, now) for key, (replica, _) in self._ignored.items()}

    def take(self, listed: Replica, fields: dict[str, object], *, restored: bool) -> None:
        """Use a valid entry; `restored` as in `ReplicaHistory.admit`, `fields` for the log."""
        held = self.replicas.get(listed.id)
        replica = self.history.admit(listed, restored=restored)
        if replica is None:
            logger.info("replica that was gone ignored", extra={**fields, "replica": listed.id})
            self._ignored.setdefault(listed.id, (listed, monotonic()))
            return
        self._use(replica)
        if held is None or _logged_state(held) != _logged_state(replica):
            detail = {
                "replica": replica.id,
                "service": replica.service,
                "address": str(replica.address),
                "draining": replica.draining,
                "loaded": {m.model: m.version for m in replica.loaded},
                "started_ms": replica.started_ms,
                "writes": replica.writes,
            }
            logger.info("replica listed", extra={**fields, **detail})

    def take_invalid(self, replica_id: str, reason: str, fields: dict[str, object]) -> None:
        """Remove a replica whose list entry another writer has overwritten with an invalid one.

        Requests in flight there continue. A line is logged only when the reason changes, since
        such an entry may be written again with every heartbeat.
        """
        if self._invalid_reasons.get(replica_id) == reason:
            return
        self._invalid_reasons[replica_id] = reason
        replica = self.replicas.pop(replica_id, None)
        self.lapsed_at.pop(replica_id, None)
        if replica is not None:
            self.overwritten[replica_id] = replica
        detail = {"replica": replica_id, "was_listed": replica is not None, "reason": reason}
        logger.error("fact rejected", extra={**fields, **detail})

    def take_deletion(self, replica_id: str, *, restored: bool) -> None:
        """Remove a replica that is not listed any more."""
        self._invalid_reasons.pop(replica_id, None)
        self.overwritten.pop(replica_id, None)
        self._ignored.pop(replica_id, None)
        replica = self.replicas.pop(replica_id, None)
        now = monotonic()
        # The copy of a restored store lacks the replicas that started after it was made.
        may_have_lapsed = restored or now - self._failed_at < LAPSE_SECONDS
        lapsed = replica is not None and may_have_lapsed and not replica.draining
        self.history.note_unlisted(replica_id, lapsed=lapsed)
        if lapsed:
            self.lapsed_at[replica_id] = now

    def readmit_renewed(self, fresh_at: float) -> bool:
        """Use the ignored replicas that have renewed their entries; return whether there are any.

        `fresh_at` is when the list was last known to be the newest (monotonic).
        """
        renewed = [r for r, since in self._ignored.values() if fresh_at - since >= RENEWED_SECONDS]
        for replica in renewed:
            self._use(self.history.readmit(replica))
            logger.info("replica listed again", extra={"replica": replica.id})
        return bool(renewed)

    def _use(self, replica: Replica) -> None:
        self.replicas[replica.id] = replica
        self.lapsed_at.pop(replica.id, None)
        self.overwritten.pop(replica.id, None)
        self._invalid_reasons.pop(replica.id, None)
        self._ignored.pop(replica.id, None)


def _logged_state(replica: Replica) -> tuple[bool, tuple[LoadedModel, ...], int | None]:
    """Return the parts of a list entry whose changes are logged."""
    return replica.draining, replica.loaded, replica.started_ms
