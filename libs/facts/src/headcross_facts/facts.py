"""The facts a process goes by: the configuration in force, the named versions, the replicas.

Every fact has a revision and the moment it was last known to be the newest. A configuration that
cannot be read is reported once and the last good one stays; its version never goes back.
"""

import logging
from collections import Counter
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.clocks import monotonic
from headcross_base.errors import Failure
from headcross_ports.configuration import Configuration
from headcross_ports.published import (
    Changes,
    Item,
    Listing,
    LoadedModel,
    NamedVersion,
    PublishedStore,
    Replica,
    Topic,
)

from headcross_facts.topicstate import TopicState

FROM_STORE: Final = "store"
# Another process's news of a known version count if they are older than this one's by so much;
# less is the time that messages take.
EARLIER_SECONDS: Final = 0.05
# Replicas whose entries go within so long of the last call that the store did not serve may have
# lost them because they could not renew them either. Calls are made again after 1.2 s at most.
LAPSE_SECONDS: Final = 3.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class VersionNotice:
    """When this process learned that a version of a model was named."""

    version: int
    seen_at: float  # monotonic
    at_start: bool  # it was named before this process first read the topic


class Facts:
    """Everything one process knows from the platform."""

    configuration: Configuration | None
    # The list of replicas, by id.
    replicas: dict[str, Replica]
    # Replicas whose entries were whole before and are another writer's now, by id, as they were
    # last named. Nothing new goes there, and no order, until a whole entry is back.
    disowned: dict[str, Replica]
    # When the entries of replicas lapsed, around an outage of the store (monotonic), by id: those
    # that live are listed again within two seconds or so of its return (the platform's pages).
    lapsed_at: dict[str, float]
    # The named versions of each model, oldest first.
    versions: dict[str, list[VersionNotice]]
    topics: dict[Topic, TopicState]
    # Items by what became of them: taken, rejected, ignored.
    counts: Counter[str]

    def __init__(self, store: PublishedStore) -> None:
        self.configuration = None
        self.replicas = {}
        self.disowned = {}
        self.lapsed_at = {}
        self.versions = {}
        self.topics = {topic: TopicState(topic) for topic in Topic}
        self.counts = Counter()
        self._store = store
        # Why the newest entry under an id names no replica.
        self._foreign: dict[str, str] = {}
        self._changed = trio.Event()
        self._started_at = monotonic()
        # When the store last failed to serve the list of replicas (monotonic).
        self._list_failed_at = float("-inf")

    @property
    def complete(self) -> bool:
        """Whether there is a configuration and a list of replicas to go by."""
        return self.configuration is not None and self.topics[Topic.REPLICAS].known

    async def wait_change(self) -> None:
        """Wait until another fact comes into force."""
        await self._changed.wait()

    def newest_version(self, model: str) -> int | None:
        """Return the newest named version of a model."""
        notices = self.versions.get(model)
        return notices[-1].version if notices else None

    def named_since_start(self, notice: VersionNotice) -> bool:
        """Tell whether a version was named while this process ran."""
        return not notice.at_start and notice.seen_at >= self._started_at

    def hear_version(self, model: str, version: int, age: float) -> None:
        """Take the word of a daemon that a version was named so many seconds ago.

        The news may be here before those of the store, which come together with a configuration of
        hundreds of kilobytes: an entry that learned of a version 1.9 s late served an older one
        past the bound. The earliest news of a version count, since its bound runs from when it
        was named; those of one that a newer one followed count too, since each has its own bound.
        """
        notice = VersionNotice(version, monotonic() - age, at_start=False)
        notices = self.versions.setdefault(model, [])
        known = next((n for n in notices if n.version == version), None)
        if known is not None:
            if notice.seen_at > known.seen_at - EARLIER_SECONDS:
                return
            notices.remove(known)
        notices.append(notice)
        notices.sort(key=lambda notice: notice.version)
        fields = {"model": model, "version": version, "source": "daemon", "age": round(age, 3)}
        logger.info("version named", extra=fields)
        self._changed.set()
        self._changed = trio.Event()

    def topic_known(self, topic: Topic) -> TopicState:
        """Return what is known of a topic, also where only the whole of it is followed."""
        state = self.topics[topic]
        control = self.topics[Topic.CONTROL]
        if topic is not Topic.VERSIONS or not control.known or control.revision <= state.revision:
            return state
        items = {k: i for k, i in control.items.items() if self._store.covers(topic, k)}
        return TopicState(topic, True, control.revision, control.fresh_at, items)

    def note_failure(self, topic: Topic) -> None:
        """Note that the store did not serve a topic just now."""
        if topic is Topic.REPLICAS:
            self._list_failed_at = monotonic()

    def take_listing(self, topic: Topic, listing: Listing, age: float, source: str) -> bool:
        """Take a whole topic; return whether anything was new."""
        state = self.topics[topic]
        first = not state.known
        news = state.take_listing(listing, age)
        if news is None:
            self.counts["ignored"] += 1
            fields = {"topic": topic.value, "revision": listing.revision, "held": state.revision}
            logger.info("older listing ignored", extra={**fields, "source": source})
            return False
        return self._take(topic, news, source, at_start=first)

    def take_changes(self, topic: Topic, changes: Changes) -> bool:
        """Take changes read from the store; return whether anything was new."""
        news = self.topics[topic].take_changes(changes)
        return self._take(topic, news, FROM_STORE, at_start=False)

    def _take(self, topic: Topic, news: list[Item], source: str, at_start: bool) -> bool:
        for item in news:
            self._take_item(topic, item, source, at_start)
        if news or at_start:
            self._changed.set()
            self._changed = trio.Event()
        return bool(news)

    def _take_item(self, topic: Topic, item: Item, source: str, at_start: bool) -> None:
        fields = {"key": item.key, "revision": item.revision, "source": source}
        if item.value is None:
            self._take_gone(topic, item)
            logger.info("fact gone", extra=fields)
            return
        outcome = self._store.decode(item)
        if isinstance(outcome, Failure):
            self.counts["rejected"] += 1
            replica_id = self._store.replica_id(item.key) if topic is Topic.REPLICAS else None
            if replica_id is not None:
                self._take_foreign_entry(replica_id, outcome.detail, fields)
            else:
                logger.error("fact rejected", extra={**fields, "reason": outcome.detail})
            return
        match outcome.value:
            case Configuration() as configuration:
                self._take_configuration(configuration, fields)
            case NamedVersion() as named:
                self._take_version(named, fields, at_start)
            case Replica() as replica:
                self._take_replica(replica, fields)
            case None:
                return
        self.counts["taken"] += 1

    def _take_gone(self, topic: Topic, item: Item) -> None:
        replica_id = self._store.replica_id(item.key) if topic is Topic.REPLICAS else None
        if replica_id is None:
            return
        self._foreign.pop(replica_id, None)
        self.disowned.pop(replica_id, None)
        replica = self.replicas.pop(replica_id, None)
        now = monotonic()
        outage = now - self._list_failed_at < LAPSE_SECONDS
        if replica is not None and outage and not replica.draining:
            self.lapsed_at[replica_id] = now

    def _take_foreign_entry(self, replica_id: str, why: str, fields: dict[str, object]) -> None:
        """Take an entry of another writer: it names no replica, and the earlier word goes.

        Requests under way there go on. A line is written when an id's standing changes only, since
        such an entry may be written again with every heartbeat.
        """
        if self._foreign.get(replica_id) == why:
            return
        self._foreign[replica_id] = why
        replica = self.replicas.pop(replica_id, None)
        self.lapsed_at.pop(replica_id, None)
        if replica is not None:
            self.disowned[replica_id] = replica
        detail = {"replica": replica_id, "was_listed": replica is not None, "reason": why}
        logger.error("fact rejected", extra={**fields, **detail})

    def _take_configuration(self, configuration: Configuration, fields: dict[str, object]) -> None:
        held = self.configuration
        if held is not None and configuration.version <= held.version:
            logger.info("older configuration ignored", extra=fields)
            return
        self.configuration = configuration
        logger.info("configuration in force", extra={**fields, "version": configuration.version})

    def _take_version(
        self, named: NamedVersion, fields: dict[str, object], at_start: bool
    ) -> None:
        notices = self.versions.setdefault(named.model, [])
        if notices and named.version <= notices[-1].version:
            return
        notices.append(VersionNotice(named.version, monotonic(), at_start))
        logger.info(
            "version named", extra={**fields, "model": named.model, "version": named.version}
        )

    def _take_replica(self, replica: Replica, fields: dict[str, object]) -> None:
        held = self.replicas.get(replica.id)
        self.replicas[replica.id] = replica
        self.lapsed_at.pop(replica.id, None)
        self.disowned.pop(replica.id, None)
        self._foreign.pop(replica.id, None)
        if held is None or _standing(held) != _standing(replica):
            detail = {
                "replica": replica.id,
                "service": replica.service,
                "address": str(replica.address),
                "draining": replica.draining,
                "loaded": {m.model: m.version for m in replica.loaded},
                "started_ms": replica.started_ms,
            }
            logger.info("replica listed", extra={**fields, **detail})


def _standing(replica: Replica) -> tuple[bool, tuple[LoadedModel, ...], int | None]:
    """Return what of an entry is worth a line when it changes."""
    return replica.draining, replica.loaded, replica.started_ms
