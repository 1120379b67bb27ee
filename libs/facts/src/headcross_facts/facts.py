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
    NamedVersion,
    Position,
    PublishedStore,
    Replica,
    Topic,
)

from headcross_facts.order.positions import (
    EpochTracker,
    ListingVerdict,
    WatchVerdict,
    judge_watch,
    supersedes,
)
from headcross_facts.order.topicitems import NewItems
from headcross_facts.replicalist import ReplicaList
from headcross_facts.topicstate import TopicState

FROM_STORE: Final = "store"
MAX_LOGGED_KEY: Final = 200
# A peer's time for a known version replaces the local one only if it is earlier by more than this;
# smaller differences are message latency.
NAMING_TIME_TOLERANCE_SECONDS: Final = 0.05
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
    # The next three are those of `replica_list`.
    replicas: dict[str, Replica]
    overwritten: dict[str, Replica]
    lapsed_at: dict[str, float]
    replica_list: ReplicaList
    # The named versions of each model, oldest first.
    versions: dict[str, list[VersionNotice]]
    topics: dict[Topic, TopicState]
    epochs: EpochTracker
    # Number of items and listings by outcome: taken, rejected, ignored, failed.
    counts: Counter[str]

    def __init__(self, store: PublishedStore) -> None:
        self.configuration = None
        self.replica_list = ReplicaList()
        self.replicas = self.replica_list.replicas
        self.overwritten = self.replica_list.overwritten
        self.lapsed_at = self.replica_list.lapsed_at
        self.versions = {}
        self.epochs = EpochTracker()
        self.topics = {topic: TopicState(topic, epochs=self.epochs) for topic in Topic}
        self.counts = Counter()
        self._store = store
        self._changed = trio.Event()
        self._started_at = monotonic()

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
            self.replica_list.note_failure()

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
            if topic is Topic.REPLICAS:
                self.replica_list.note_restored()
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
            try:
                self._take_item(topic, item, source, at_start, new.restored)
            except Exception:
                # One item must not keep the others, or later ones, from being taken.
                self.counts["failed"] += 1
                logger.exception("fact not taken", extra={"key": item.key[:MAX_LOGGED_KEY]})
        if new.items or at_start:
            self._changed.set()
            self._changed = trio.Event()

    def _take_item(
        self, topic: Topic, item: Item, source: str, at_start: bool, restored: bool
    ) -> None:
        fields = {"key": item.key, "revision": item.revision, "source": source}
        replica_id = self._store.replica_id(item.key) if topic is Topic.REPLICAS else None
        if item.value is None:
            if replica_id is not None:
                self.replica_list.take_deletion(replica_id, restored=restored)
            logger.info("fact gone", extra=fields)
            return
        outcome = self._store.decode(item)
        if isinstance(outcome, Failure):
            self.counts["rejected"] += 1
            if replica_id is not None:
                self.replica_list.take_invalid(replica_id, outcome.detail, fields)
            else:
                logger.error("fact rejected", extra={**fields, "reason": outcome.detail})
            return
        match outcome.value:
            case Configuration() as configuration:
                self._take_configuration(configuration, fields)
            case NamedVersion() as named:
                self._take_version(named, fields, at_start)
            case Replica() as replica:
                self.replica_list.take(replica, fields, restored=restored)
            case None:
                return
        self.counts["taken"] += 1

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

    def readmit_renewed(self) -> None:
        """Use the ignored replicas that have renewed their entries since the restore."""
        if self.replica_list.readmit_renewed(self.topics[Topic.REPLICAS].fresh_at):
            self._changed.set()
            self._changed = trio.Event()
