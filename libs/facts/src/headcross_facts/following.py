"""Following the store: a listing first, then one watch after the other.

A daemon beside a replica needs little of the configuration, which is large and may change several
times a second, while its link is narrow: it watches the named versions, and lists the rest only
when it is asked to.

A watch that hears nothing proves nothing: the store may have said nothing to anybody for a moment,
have served everyone since, and never answer this one call. So each is short, and shorter still
while the store is lost (see `entry_pace`). A call that fails is made again after a pause that
grows, and meanwhile other processes are asked (see `peerfacts`). A process that stood still gives
up its watch, whose connection may be dead, and asks again at once.
"""

import logging
import random
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.clocks import PauseWatch, monotonic
from headcross_base.errors import Failure, Ok
from headcross_ports.published import HistoryLost, PublishedStore, Topic

from headcross_facts.facts import FROM_STORE, Facts

PAUSE_CHECK_SECONDS: Final = 0.2
FIRST_RETRY_SECONDS: Final = 0.15
# Pauses between failed calls are drawn up to this much longer or shorter, so that processes which
# lost the store together do not come back together.
RETRY_SPREAD: Final = 0.3
# A failed call that lasted longer gets a line of its own: the store answers in milliseconds.
LONG_CALL_SECONDS: Final = 1.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FactBounds:
    """How soon the users want news to be in force, in seconds."""

    configuration: float = 2.0  # from its publication to its effect at every entry
    leaving: float = 2.0  # from the news that a replica leaves to its last request
    # Both count for a process that the store has served for so long.
    reached: float = 3.0


@dataclass(frozen=True, slots=True)
class WatchLimits:
    """How long one watch may last, in seconds."""

    wait: float  # without news, the store answers after this
    answer: float  # so much later the call has failed, unless its answer has begun

    @property
    def longest(self) -> float:
        """How long a store that went silent can hold the call."""
        return self.wait + self.answer


@dataclass(frozen=True, slots=True)
class FollowingPace:
    """How often the store is asked."""

    watch: WatchLimits = WatchLimits(3.0, 1.5)
    # The same for the list of replicas, which a daemon beside one needs less urgently.
    list_watch: WatchLimits = WatchLimits(3.0, 1.5)
    # After a call failed, until one is answered; None: as before.
    lost_watch: WatchLimits | None = None
    # The longest pause between failed calls, before it is spread.
    max_retry_seconds: float = 0.9
    # After news, so that a burst of changes comes in one answer.
    rest_seconds: float = 0.15
    list_rest_seconds: float = 0.15
    # The same while a process has no need of fresh news of it; see `Follower.set_hurried`.
    calm_list_rest_seconds: float = 0.15
    # Topics that are watched, and those that are only listed when that is asked for.
    watched: tuple[Topic, ...] = (Topic.CONTROL, Topic.REPLICAS)
    listed: tuple[Topic, ...] = ()

    def watch_of(self, topic: Topic, lost: bool) -> WatchLimits:
        """Return how long a watch of a topic may last."""
        if lost and self.lost_watch is not None:
            return self.lost_watch
        return self.list_watch if topic is Topic.REPLICAS else self.watch

    def rest_of(self, topic: Topic, hurried: bool) -> float:
        """Return the pause after news of a topic."""
        if topic is not Topic.REPLICAS:
            return self.rest_seconds
        return self.list_rest_seconds if hurried else self.calm_list_rest_seconds

    def pause_after(self, failures: int) -> float:
        """Return the pause after so many failed calls in a row and one more."""
        pause = min(self.max_retry_seconds, FIRST_RETRY_SECONDS * 2.0**failures)
        return pause * random.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)


# What is left of a bound when the next call begins: for the pause after a first failure (0.2 s),
# a store that answers slowly (0.24 s at sixty times its usual 4 ms), and for taking a document of
# hundreds of kilobytes into force.
NEWS_MARGIN_SECONDS: Final = 0.8
# The store answers in 4 ms (its sheet): two hundred times that. After a failure the store may be
# slow and not silent, so its answer has longer; then the watch itself is over at once.
ANSWER_SECONDS: Final = 0.8
LOST_ANSWER_SECONDS: Final = 1.2
LOST_WAIT_SECONDS: Final = 0.1
LOST_MAX_RETRY_SECONDS: Final = 0.5
LEAST_WATCH_SECONDS: Final = 0.5
# The rest after news, as parts of the bounds: each process asks again after every rest.
REST_PART: Final = 0.075
LIST_REST_PART: Final = 0.1
# Daemons beside replicas give no caller an answer, so none of the bounds counts for them. What
# they learn late costs time until new weights are here; each of their calls costs as much as an
# entry's, and there are many more of them. Their watches last as long as the bounds together, less
# a margin, times these factors. News of the list of replicas wait so long while a version is
# brought in, and otherwise.
DAEMON_MARGIN_SECONDS: Final = 2.0
DAEMON_ANSWER_SECONDS: Final = 1.5
VERSIONS_WATCH_FACTOR: Final = 1.4
REPLICAS_WATCH_FACTOR: Final = 2.4
DAEMON_LIST_REST_SECONDS: Final = 0.8
DAEMON_CALM_LIST_REST_SECONDS: Final = 5.0


def entry_pace(bounds: FactBounds) -> FollowingPace:
    """Return how often an entry asks: as seldom as the bounds allow, since each call is priced.

    A call that begins just before a silent store serves again hears nothing of that. Once the
    store has served for `reached`, the bound counts for all that was published since: the two
    spans run at the same time. So the next call has to begin before the longer one is over;
    watches of 3 s with 1.5 s for the answer let an entry go by an old configuration for 3.9 s.

    >>> entry_pace(FactBounds()).watch
    WatchLimits(wait=1.4, answer=0.8)
    """
    wait = max(LEAST_WATCH_SECONDS, round(longest_call(bounds) - ANSWER_SECONDS, 3))
    limits = WatchLimits(wait, ANSWER_SECONDS)
    return FollowingPace(
        watch=limits,
        list_watch=limits,
        lost_watch=WatchLimits(LOST_WAIT_SECONDS, LOST_ANSWER_SECONDS),
        max_retry_seconds=LOST_MAX_RETRY_SECONDS,
        rest_seconds=REST_PART * bounds.configuration,
        list_rest_seconds=LIST_REST_PART * bounds.leaving,
        calm_list_rest_seconds=LIST_REST_PART * bounds.leaving,
    )


def daemon_pace(bounds: FactBounds) -> FollowingPace:
    """Return how often a daemon beside a replica asks."""
    shortest = min(bounds.configuration, bounds.leaving)
    calm = max(LEAST_WATCH_SECONDS, bounds.reached + shortest - DAEMON_MARGIN_SECONDS)
    return FollowingPace(
        watch=WatchLimits(VERSIONS_WATCH_FACTOR * calm, DAEMON_ANSWER_SECONDS),
        list_watch=WatchLimits(REPLICAS_WATCH_FACTOR * calm, DAEMON_ANSWER_SECONDS),
        rest_seconds=REST_PART * bounds.configuration,
        list_rest_seconds=DAEMON_LIST_REST_SECONDS,
        calm_list_rest_seconds=DAEMON_CALM_LIST_REST_SECONDS,
        watched=(Topic.VERSIONS, Topic.REPLICAS),
        listed=(Topic.CONTROL,),
    )


def longest_call(bounds: FactBounds) -> float:
    """Return how many seconds a call may last that hears nothing of the store's return."""
    shortest = min(bounds.configuration, bounds.leaving)
    return max(bounds.reached, shortest) - NEWS_MARGIN_SECONDS


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
        # When the last call to the store began, and when the store was lost (monotonic).
        self._called_at: dict[Topic, float] = {}
        self._lost_at: dict[Topic, float] = {}
        # Topics that wait until a listing is asked for, and those that rest after news.
        self._unasked: dict[Topic, trio.Event] = {}
        self._resting: dict[Topic, trio.CancelScope] = {}
        self._hurried: set[Topic] = set()

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

    @property
    def complete(self) -> bool:
        """Whether all topics that are watched have been read once."""
        return all(self._facts.topics[topic].known for topic in self._pace.watched)

    def call_age(self, topic: Topic) -> float:
        """Return the seconds since the last call to the store about a topic began, 0 for none."""
        called_at = self._called_at.get(topic)
        return monotonic() - called_at if called_at is not None else 0.0

    def watches(self, topic: Topic) -> bool:
        """Tell whether a topic is watched, and not only listed when that is asked for."""
        return topic in self._pace.watched

    def list_now(self, topic: Topic) -> None:
        """List a topic that is listed only when that is asked for, unless that is under way."""
        if topic in self._unasked:
            self._unasked[topic].set()

    def set_hurried(self, topic: Topic, hurried: bool) -> None:
        """Follow a topic closely from now on, or let its news wait for longer."""
        if not hurried:
            self._hurried.discard(topic)
        elif topic not in self._hurried:
            self._hurried.add(topic)
            if topic in self._resting:
                self._resting[topic].cancel()

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
            asked = trio.Event()
            self._unasked[topic] = asked
            await asked.wait()
            del self._unasked[topic]
            listed = False
            while not listed:
                with trio.CancelScope() as scope:
                    self._scopes[topic] = scope
                    listed = await self._step(topic, listed=False)

    async def _rest_after_news(self, topic: Topic) -> None:
        seconds = self._pace.rest_of(topic, topic in self._hurried)
        with trio.move_on_after(seconds) as scope:
            self._resting[topic] = scope
            await trio.sleep_forever()
        self._resting.pop(topic, None)

    async def _step(self, topic: Topic, listed: bool) -> bool:
        """Make one call; return whether changes may be watched for next."""
        self._called_at[topic] = monotonic()
        if not listed:
            listing = await self._store.read(topic)
            if isinstance(listing, Failure):
                await self._rest_after_failure(topic, listing)
                return False
            self._regained(topic)
            self._facts.take_listing(topic, listing.value, 0.0, FROM_STORE)
            return True
        revision = self._facts.topics[topic].revision
        limits = self._pace.watch_of(topic, lost=topic in self.failing)
        outcome = await self._store.watch(topic, revision, limits.wait, limits.answer)
        match outcome:
            case Ok(value=changes):
                self._regained(topic)
                if self._facts.take_changes(topic, changes):
                    await self._rest_after_news(topic)
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
        self._facts.note_failure(topic)
        if not failures:
            self._lost_at[topic] = monotonic()
        fields = {"topic": topic.value, "call_seconds": round(self.call_age(topic), 3)}
        # One line for an outage, and one for each call that it kept for long: news waited for it.
        if not failures or self.call_age(topic) > LONG_CALL_SECONDS:
            message = "store still lost" if failures else "store lost"
            logger.warning(message, extra={**fields, "reason": failure.detail[:300]})
        await trio.sleep(self._pace.pause_after(failures))

    def _regained(self, topic: Topic) -> None:
        failures = self.failing.pop(topic, 0)
        if failures:
            fields = {
                "topic": topic.value,
                "failures": failures,
                "call_seconds": round(self.call_age(topic), 3),
                "lost_seconds": round(monotonic() - self._lost_at[topic], 3),
            }
            logger.info("store regained", extra=fields)

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
