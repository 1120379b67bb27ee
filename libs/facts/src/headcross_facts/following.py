"""Following the store: a listing first, then one watch after the other.

A daemon beside a replica needs little of the configuration, which is large and may change several
times a second, while its link is narrow: it watches the named versions and only lists the rest now
and then.

A watch that hears nothing proves nothing, so each is short. A call that fails is made again after
a pause that grows, and meanwhile other daemons are asked (see `peerfacts`). A process that stood
still gives up its watch, whose connection may be dead, and asks again at once.
"""

import logging
import random
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.clocks import PauseWatch
from headcross_base.errors import Failure, Ok
from headcross_ports.published import HistoryLost, PublishedStore, Topic

from headcross_facts.facts import FROM_STORE, Facts

PAUSE_CHECK_SECONDS: Final = 0.2
FIRST_RETRY_SECONDS: Final = 0.15
MAX_RETRY_SECONDS: Final = 0.9

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FollowingPace:
    """How often the store is asked."""

    # A watch without news ends after this; a store that went silent is noticed no sooner.
    watch_seconds: float = 3.0
    # After news, so that a burst of changes comes in one answer.
    rest_seconds: float = 0.15
    # The same for the list of replicas, which a daemon beside one needs less urgently.
    list_watch_seconds: float = 3.0
    list_rest_seconds: float = 0.15
    # Topics that are watched, and those that are only listed, this often.
    watched: tuple[Topic, ...] = (Topic.CONTROL, Topic.REPLICAS)
    listed: tuple[Topic, ...] = ()
    listing_seconds: float = 8.0

    def watch_of(self, topic: Topic) -> float:
        """Return how long a watch of a topic lasts without news."""
        return self.list_watch_seconds if topic is Topic.REPLICAS else self.watch_seconds

    def rest_of(self, topic: Topic) -> float:
        """Return the pause after news of a topic."""
        return self.list_rest_seconds if topic is Topic.REPLICAS else self.rest_seconds


ENTRY_PACE: Final = FollowingPace()
DAEMON_PACE: Final = FollowingPace(
    watch_seconds=5.0,
    list_watch_seconds=6.0,
    list_rest_seconds=0.8,
    watched=(Topic.VERSIONS, Topic.REPLICAS),
    listed=(Topic.CONTROL,),
)


class Follower:
    """Follows all topics of one store."""

    # Topics whose last call to the store failed, with the number of failures in a row.
    failing: dict[Topic, int]

    def __init__(
        self, store: PublishedStore, facts: Facts, pauses: PauseWatch, pace: FollowingPace
    ) -> None:
        self.failing = {}
        self._store = store
        self._facts = facts
        self._pauses = pauses
        self._pace = pace
        self._scopes: dict[Topic, trio.CancelScope] = {}
        # Topics that wait until they are listed again.
        self._resting: set[Topic] = set()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            for topic in self._pace.watched:
                nursery.start_soon(self._follow, topic)
            for topic in self._pace.listed:
                nursery.start_soon(self._follow_by_listing, topic)
            nursery.start_soon(self._watch_pauses)

    def reset(self) -> None:
        """Give up every call under way and ask again at once."""
        for scope in self._scopes.values():
            scope.cancel()

    def list_now(self, topic: Topic) -> None:
        """List a topic at once that is listed only now and then."""
        if topic in self._resting:
            self._scopes[topic].cancel()

    async def _follow(self, topic: Topic) -> None:
        listed = False
        while True:
            with trio.CancelScope() as scope:
                self._scopes[topic] = scope
                listed = await self._step(topic, listed)
            if scope.cancelled_caught:
                logger.info("watch given up", extra={"topic": topic.value})

    async def _follow_by_listing(self, topic: Topic) -> None:
        while True:
            with trio.CancelScope() as scope:
                self._scopes[topic] = scope
                if await self._step(topic, listed=False):
                    self._resting.add(topic)
                    await trio.sleep(self._pace.listing_seconds * random.uniform(0.8, 1.2))
            self._resting.discard(topic)

    async def _step(self, topic: Topic, listed: bool) -> bool:
        """Make one call; return whether changes may be watched for next."""
        if not listed:
            listing = await self._store.read(topic)
            if isinstance(listing, Failure):
                await self._rest_after_failure(topic, listing)
                return False
            self._regained(topic)
            self._facts.take_listing(topic, listing.value, 0.0, FROM_STORE)
            return True
        revision = self._facts.topics[topic].revision
        outcome = await self._store.watch(topic, revision, self._pace.watch_of(topic))
        match outcome:
            case Ok(value=changes):
                self._regained(topic)
                if self._facts.take_changes(topic, changes):
                    await trio.sleep(self._pace.rest_of(topic))
                return True
            case HistoryLost():
                logger.info("history lost", extra={"topic": topic.value, "revision": revision})
                return False
            case Failure():
                await self._rest_after_failure(topic, outcome)
                return True

    async def _rest_after_failure(self, topic: Topic, failure: Failure) -> None:
        failures = self.failing.get(topic, 0)
        self.failing[topic] = failures + 1
        if not failures:
            logger.warning(
                "store lost", extra={"topic": topic.value, "reason": failure.detail[:300]}
            )
        pause = min(MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2.0**failures)
        await trio.sleep(pause * random.uniform(0.7, 1.3))

    def _regained(self, topic: Topic) -> None:
        failures = self.failing.pop(topic, 0)
        if failures:
            logger.info("store regained", extra={"topic": topic.value, "failures": failures})

    async def _watch_pauses(self) -> None:
        seen = self._pauses.check()
        while True:
            await trio.sleep(PAUSE_CHECK_SECONDS)
            pauses = self._pauses.check()
            if pauses != seen:
                seen = pauses
                seconds = round(self._pauses.last_pause_seconds, 3)
                logger.warning("process stood still", extra={"seconds": seconds})
                self.reset()
