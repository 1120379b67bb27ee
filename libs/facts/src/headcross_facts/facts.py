"""What a process knows from the platform: configuration, named versions and replicas.

Each topic has a position in the store's history and the time at which that was last known to be
the newest. A configuration that cannot be decoded is reported once and the last valid one stays in
force. The order of facts is decided in `order`; nothing goes back when the store does.
"""

import logging
from collections import Counter
from dataclasses import dataclass, replace
from typing import Final

import trio
from headcross_base.errors import Failure
from headcross_base.monotonic import monotonic
from headcross_ports.configuration import Configuration
from headcross_ports.published import (
    Changes,
    Item,
    Listing,
    LoadedModel,
    NamedVersion,
    Position,
    PublishedStore,
    Replica,
    Topic,
)

from headcross_facts.order.positions import (
    EpochWitness,
    ListingVerdict,
    WatchVerdict,
    judge_watch,
    supersedes,
)
from headcross_facts.order.replicahistory import ReplicaHistory
from headcross_facts.order.topicitems import NewItems
from headcross_facts.topicstate import TopicState

FROM_STORE: Final = "store"
# A peer's time for a known version replaces the local one only if it is earlier by more than this;
# smaller differences are message latency.
NAMING_TIME_TOLERANCE_SECONDS: Final = 0.05
# A replica's list entry that disappears within this time of a failed call to the store may have
# expired because the replica could not renew it either. Failed calls are retried after 1.2 s at
# most.
LAPSE_SECONDS: Final = 3.0
# A store removes the entry of a silent replica within a few seconds. So a replica whose entry is
# still listed this long after a restore renews it.
RENEWED_SECONDS: Final = 10.0
IGNORED_MESSAGES: Final = {
    ListingVerdict.OUTDATED: "older listing ignored",
    ListingVerdict.UNCONFIRMED: "listing of an unconfirmed epoch ignored",
}

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class VersionNotice:
    """The time at which a version of a model was named, as far as this process knows."""

    version: int
    seen_at: float  # monotonic
    at_start: bool  # whether it was named before this process first read the topic


class Facts:
    """The newest known configuration, named versions and replicas of the platform."""

    configuration: Configuration | None
    # Listed replicas by id.
    replicas: dict[str, Replica]
    # Replicas whose valid list entry another writer has overwritten with an invalid one, by id, as
    # they were last listed. They get no new requests and no orders until a valid entry is back.
    overwritten: dict[str, Replica]
    # When list entries of replicas expired around an outage of the store (monotonic), by id.
    # Replicas that still run are listed again about two seconds after the store is back, as the
    # platform documents it.
    lapsed_at: dict[str, float]
    # The named versions of each model, oldest first.
    versions: dict[str, list[VersionNotice]]
    topics: dict[Topic, TopicState]
    # The epochs that the store and peers have stated.
    epochs: EpochWitness
    # The newest entries of replicas, listed or not.
    history: ReplicaHistory
    # Number of items and listings by outcome: taken, rejected, ignored.
    counts: Counter[str]

    def __init__(self, store: PublishedStore) -> None:
        self.configuration = None
        self.replicas = {}
        self.overwritten = {}
        self.lapsed_at = {}
        self.versions = {}
        self.epochs = EpochWitness()
        self.history = ReplicaHistory()
        self.topics = {topic: TopicState(topic, epochs=self.epochs) for topic in Topic}
        self.counts = Counter()
        self._store = store
        # Why the newest list entry of a replica is invalid, by id.
        self._invalid_reasons: dict[str, str] = {}
        self._changed = trio.Event()
        self._started_at = monotonic()
        # Replicas that are not used, since the copy of a restored store lists them although they
        # were gone, and since when (monotonic), by id.
        self._ignored: dict[str, tuple[Replica, float]] = {}
        # When a call for the list of replicas last failed (monotonic).
        self._list_failed_at = float("-inf")

    @property
    def complete(self) -> bool:
        """Whether both a configuration and a list of replicas are known."""
        return self.configuration is not None and self.topics[Topic.REPLICAS].known

    async def wait_change(self) -> None:
        """Wait for the next change of any fact."""
        await self._changed.wait()

    def newest_version(self, model: str) -> int | None:
        """Return the newest named version of a model, None if none is known."""
        notices = self.versions.get(model)
        return notices[-1].version if notices else None

    def named_since_start(self, notice: VersionNotice) -> bool:
        """Return whether a version was named after this process started."""
        return not notice.at_start and notice.seen_at >= self._started_at

    def record_named_version(self, model: str, version: int, age: float) -> None:
        """Record that a daemon reports a version as named `age` seconds ago.

        The report may arrive before the change from the store, which comes together with a
        configuration of hundreds of kilobytes: an entry that learned of a version 1.9 s late
        served an older one past the bound. The earliest report of a version counts, since the
        bound on older versions runs from the time when it was named. A version is also recorded if
        a newer one is known, since each version sets its own bound.
        """
        notice = VersionNotice(version, monotonic() - age, at_start=False)
        notices = self.versions.setdefault(model, [])
        known = next((n for n in notices if n.version == version), None)
        if known is not None:
            if notice.seen_at > known.seen_at - NAMING_TIME_TOLERANCE_SECONDS:
                return
            notices.remove(known)
        notices.append(notice)
        notices.sort(key=lambda notice: notice.version)
        fields = {"model": model, "version": version, "source": "daemon", "age": round(age, 3)}
        logger.info("version named", extra=fields)
        self._changed.set()
        self._changed = trio.Event()

    def topic_state(self, topic: Topic) -> TopicState:
        """Return the state of a topic.

        The named versions are also part of the control topic, and are taken from it if it is known
        and its position is later.
        """
        state = self.topics[topic]
        control = self.topics[Topic.CONTROL]
        if topic is not Topic.VERSIONS or not control.known or control.position <= state.position:
            return state
        items = {k: i for k, i in control.items.items() if self._store.covers(topic, k)}
        return replace(control, topic=topic, items=items)

    def note_failure(self, topic: Topic) -> None:
        """Record that a call to the store for a topic has just failed."""
        if topic is Topic.REPLICAS:
            self._list_failed_at = monotonic()

    def take_listing(
        self, topic: Topic, listing: Listing, age: float, source: str
    ) -> ListingVerdict:
        """Apply a listing that was the newest `age` seconds ago, if it is judged TAKE."""
        if source == FROM_STORE:
            self.epochs.note_answer(listing.epoch)
        else:
            self.epochs.note_peer(listing.epoch)
        state = self.topics[topic]
        first, held = not state.known, state.position
        taken = state.take_listing(listing, age)
        fields = {"topic": topic.value, "revision": listing.revision, "epoch": listing.epoch}
        known = {"held": held.revision, "held_epoch": held.epoch, "source": source}
        if isinstance(taken, ListingVerdict):
            self.counts["ignored"] += 1
            logger.info(IGNORED_MESSAGES[taken], extra={**fields, **known})
            return taken
        if taken.restored:
            logger.warning("store restored", extra={**fields, **known})
            now = monotonic()
            self._ignored = {key: (replica, now) for key, (replica, _) in self._ignored.items()}
        self._take(topic, taken, source, at_start=first)
        return ListingVerdict.TAKE

    def judge_watch(
        self, topic: Topic, asked: Position, epoch: int, *, has_changes: bool
    ) -> WatchVerdict:
        """Judge the answer, stated in `epoch`, to a watch for the changes after `asked`."""
        self.epochs.note_answer(epoch)
        held = self.topics[topic].position
        return judge_watch(held, asked, epoch, self.epochs, has_changes=has_changes)

    def take_changes(self, topic: Topic, changes: Changes) -> bool:
        """Apply changes after the known position; return whether there were any new ones."""
        new_items = self.topics[topic].take_changes(changes)
        self._take(topic, new_items, FROM_STORE, at_start=False)
        return bool(new_items.items)

    def _take(self, topic: Topic, new: NewItems, source: str, at_start: bool) -> None:
        for item in new.items:
            self._take_item(topic, item, source, at_start, new.restored)
        if new.items or at_start:
            self._changed.set()
            self._changed = trio.Event()

    def _take_item(
        self, topic: Topic, item: Item, source: str, at_start: bool, restored: bool
    ) -> None:
        fields = {"key": item.key, "revision": item.revision, "source": source}
        if item.value is None:
            self._take_deletion(topic, item, restored)
            logger.info("fact gone", extra=fields)
            return
        outcome = self._store.decode(item)
        if isinstance(outcome, Failure):
            self.counts["rejected"] += 1
            replica_id = self._store.replica_id(item.key) if topic is Topic.REPLICAS else None
            if replica_id is not None:
                self._take_invalid_replica(replica_id, outcome.detail, fields)
            else:
                logger.error("fact rejected", extra={**fields, "reason": outcome.detail})
            return
        match outcome.value:
            case Configuration() as configuration:
                self._take_configuration(configuration, fields)
            case NamedVersion() as named:
                self._take_version(named, fields, at_start)
            case Replica() as replica:
                self._take_replica(replica, fields, restored)
            case None:
                return
        self.counts["taken"] += 1

    def _take_deletion(self, topic: Topic, item: Item, restored: bool) -> None:
        replica_id = self._store.replica_id(item.key) if topic is Topic.REPLICAS else None
        if replica_id is None:
            return
        self._invalid_reasons.pop(replica_id, None)
        self.overwritten.pop(replica_id, None)
        self._ignored.pop(replica_id, None)
        replica = self.replicas.pop(replica_id, None)
        now = monotonic()
        # The copy of a restored store lacks the replicas that started after it was made.
        may_have_lapsed = restored or now - self._list_failed_at < LAPSE_SECONDS
        lapsed = replica is not None and may_have_lapsed and not replica.draining
        self.history.note_unlisted(replica_id, lapsed=lapsed)
        if lapsed:
            self.lapsed_at[replica_id] = now

    def _take_invalid_replica(
        self, replica_id: str, reason: str, fields: dict[str, object]
    ) -> None:
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

    def _take_configuration(self, configuration: Configuration, fields: dict[str, object]) -> None:
        held = self.configuration
        if not supersedes(configuration.version, held.version if held is not None else None):
            logger.info("older configuration ignored", extra=fields)
            return
        self.configuration = configuration
        logger.info("configuration in force", extra={**fields, "version": configuration.version})

    def _take_version(
        self, named: NamedVersion, fields: dict[str, object], at_start: bool
    ) -> None:
        notices = self.versions.setdefault(named.model, [])
        if not supersedes(named.version, self.newest_version(named.model)):
            return
        notices.append(VersionNotice(named.version, monotonic(), at_start))
        logger.info(
            "version named", extra={**fields, "model": named.model, "version": named.version}
        )

    def _take_replica(self, listed: Replica, fields: dict[str, object], restored: bool) -> None:
        held = self.replicas.get(listed.id)
        replica = self.history.admit(listed, restored=restored)
        if replica is None:
            logger.info("replica that was gone ignored", extra={**fields, "replica": listed.id})
            self._ignored.setdefault(listed.id, (listed, monotonic()))
            return
        self._list_replica(replica)
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

    def _list_replica(self, replica: Replica) -> None:
        self.replicas[replica.id] = replica
        self.lapsed_at.pop(replica.id, None)
        self.overwritten.pop(replica.id, None)
        self._invalid_reasons.pop(replica.id, None)
        self._ignored.pop(replica.id, None)

    def readmit_renewed(self) -> None:
        """Use the ignored replicas that have renewed their entries since the restore."""
        fresh_at = self.topics[Topic.REPLICAS].fresh_at
        renewed = [r for r, since in self._ignored.values() if fresh_at - since >= RENEWED_SECONDS]
        for replica in renewed:
            self._list_replica(self.history.readmit(replica))
            logger.info("replica listed again", extra={"replica": replica.id})
        if renewed:
            self._changed.set()
            self._changed = trio.Event()


def _logged_state(replica: Replica) -> tuple[bool, tuple[LoadedModel, ...], int | None]:
    """Return the parts of a list entry whose changes are logged."""
    return replica.draining, replica.loaded, replica.started_ms
