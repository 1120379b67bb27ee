"""Follows the topics of the store: one listing, then a sequence of watches (long polls).

A replica's daemon needs little of the configuration, which is large and may change several times a
second, while the daemon's link is narrow: it watches the named versions and lists the
configuration on demand only.

A watch without an answer does not show that there was no change: after a short outage the store
may answer all new calls and never answer this one. So each watch is short, and shorter still after
a failed call (see `polling`). A failed call is retried after a growing pause, and meanwhile
peers are asked (see `peerfacts`). After the process was suspended the watch is cancelled, since
its connection may be dead, and a new call is made at once.

An answer that is not used, because the store is behind what is known or states no epoch, counts as
a failed call. Calls that succeed without bringing anything, such as watches that are refused one
after the other, are delayed like failed ones, so that their number stays bounded whatever the
store answers.
"""

import logging
from collections import Counter
from functools import partial
from typing import Final

import trio
from headcross_base.clocks import PauseWatch
from headcross_base.errorcodes import SOURCE_FAILED
from headcross_base.errors import Failure, Ok
from headcross_base.monotonic import monotonic
from headcross_base.supervision import keep_running
from headcross_ports.published import Changes, Listing, PublishedStore, Topic

from headcross_facts.facts import FROM_STORE, Facts
from headcross_facts.order.positions import ListingVerdict, WatchVerdict
from headcross_facts.polling import PollingSettings, WatchLimits

PAUSE_CHECK_SECONDS: Final = 0.2
# A failed call that lasted longer is logged even during a known outage, since the store usually
# answers within milliseconds.
LONG_CALL_SECONDS: Final = 1.0
# A watch without changes that is answered within this share of its wait was not a wait.
EARLY_ANSWER_SHARE: Final = 0.5

logger = logging.getLogger(__name__)


class Follower:
    """Keeps `Facts` up to date from the store."""

    # Topics whose last call to the store failed, with the number of consecutive failures.
    failing: dict[Topic, int]
    # Number of calls to the store so far.
    calls: Counter[Topic]

    def __init__(
        self, store: PublishedStore, facts: Facts, pauses: PauseWatch, polling: PollingSettings
    ) -> None:
        self.failing = {}
        self.calls = Counter()
        self._store = store
        self._facts = facts
        self._pauses = pauses
        self._polling = polling
        self._scopes: dict[Topic, trio.CancelScope] = {}
        # When the last call to the store began, and when its calls began to fail (monotonic).
        self._called_at: dict[Topic, float] = {}
        self._lost_at: dict[Topic, float] = {}
        # Number of consecutive successful calls that brought nothing and did not wait either.
        self._idle_calls: Counter[Topic] = Counter()
        # Set by `list_now`, for each topic that is not being listed.
        self._listing_requests: dict[Topic, trio.Event] = {}
        # Scopes of the pauses after a change that are in progress.
        self._batch_delays: dict[Topic, trio.CancelScope] = {}
        self._urgent: set[Topic] = set()
        self._listed_before: set[Topic] = set()

    async def run(self) -> None:
        """Follow all topics of the polling settings until cancelled."""
        async with trio.open_nursery() as nursery:
            for topic in self._polling.watched:
                follow = partial(self._follow, topic)
                nursery.start_soon(keep_running, f"follow {topic.value}", follow)
            for topic in self._polling.listed:
                follow = partial(self._follow_by_listing, topic)
                nursery.start_soon(keep_running, f"follow {topic.value}", follow)
            nursery.start_soon(keep_running, "reset after pauses", self._reset_after_pauses)

    def take_listing(self, topic: Topic, listing: Listing, age: float) -> None:
        """Use a listing from before `run`, `age` seconds old; the topic is then only watched."""
        self._facts.take_listing(topic, listing, age, FROM_STORE)
        self._listed_before.add(topic)

    def reset(self) -> None:
        """Cancel every call in progress and make a new one at once."""
        for scope in self._scopes.values():
            scope.cancel()

    @property
    def complete(self) -> bool:
        """Whether a listing of every watched topic has been taken."""
        return all(self._facts.topics[topic].known for topic in self._polling.watched)

    def call_age(self, topic: Topic) -> float:
        """Return the seconds since the last call for a topic began, 0 if there was none."""
        called_at = self._called_at.get(topic)
        return monotonic() - called_at if called_at is not None else 0.0

    def watches(self, topic: Topic) -> bool:
        """Return whether a topic is watched rather than listed on demand."""
        return topic in self._polling.watched

    def list_now(self, topic: Topic) -> None:
        """List a topic that is listed on demand, unless a listing is already in progress."""
        if topic in self._listing_requests:
            self._listing_requests[topic].set()

    def set_urgent(self, topic: Topic, urgent: bool) -> None:
        """Set whether the pause after a change of a topic is the short one (urgent)."""
        if not urgent:
            self._urgent.discard(topic)
        elif topic not in self._urgent:
            self._urgent.add(topic)
            if topic in self._batch_delays:
                self._batch_delays[topic].cancel()

    async def _follow(self, topic: Topic) -> None:
        listed = topic in self._listed_before
        while True:
            with trio.CancelScope() as scope:
                self._scopes[topic] = scope
                listed = await self._make_call(topic, listed)
            if scope.cancelled_caught:
                logger.info("watch cancelled", extra={"topic": topic.value})

    async def _follow_by_listing(self, topic: Topic) -> None:
        while True:
            requested = trio.Event()
            self._listing_requests[topic] = requested
            await requested.wait()
            del self._listing_requests[topic]
            listed = False
            while not listed:
                with trio.CancelScope() as scope:
                    self._scopes[topic] = scope
                    listed = await self._make_call(topic, listed=False)

    async def _delay_after_change(self, topic: Topic) -> None:
        seconds = self._polling.batch_delay(topic, topic in self._urgent)
        with trio.move_on_after(seconds) as scope:
            self._batch_delays[topic] = scope
            await trio.sleep_forever()
        self._batch_delays.pop(topic, None)

    async def _make_call(self, topic: Topic, listed: bool) -> bool:
        """Make one call, a watch if `listed`; return whether the next one may be a watch."""
        self._called_at[topic] = monotonic()
        self.calls[topic] += 1
        self._facts.readmit_renewed()
        return await (self._watch(topic) if listed else self._list(topic))

    async def _list(self, topic: Topic) -> bool:
        """List a topic; return whether the next call may be a watch."""
        outcome = await self._store.read(topic)
        if isinstance(outcome, Failure):
            await self._pause_after_failure(topic, outcome)
            return False
        listing = outcome.value
        verdict = self._facts.take_listing(topic, listing, 0.0, FROM_STORE)
        if verdict is ListingVerdict.TAKE:
            self._note_recovery(topic)
            return True
        detail = f"{verdict.value} listing, {_describe(listing)}"
        await self._pause_after_failure(topic, Failure(SOURCE_FAILED, detail))
        return verdict is ListingVerdict.OUTDATED

    async def _watch(self, topic: Topic) -> bool:
        """Watch a topic from its known position; return whether the next call may be a watch."""
        asked = self._facts.topics[topic].position
        limits = self._polling.watch_limits(topic, lost=topic in self.failing)
        outcome = await self._store.watch(topic, asked.revision, limits.wait, limits.answer)
        if isinstance(outcome, Failure):
            await self._pause_after_failure(topic, outcome)
            return True
        answer = outcome.value if isinstance(outcome, Ok) else outcome
        has_changes = isinstance(answer, Changes)
        verdict = self._facts.judge_watch(topic, asked, answer.epoch, has_changes=has_changes)
        match answer, verdict:
            case Changes(), WatchVerdict.APPLY:
                self._note_recovery(topic)
                await self._apply_changes(topic, answer, limits)
            case _, WatchVerdict.LIST:
                fields = {"topic": topic.value, "revision": asked.revision, "epoch": asked.epoch}
                logger.info("history lost", extra={**fields, "answered_epoch": answer.epoch})
                await self._pause_after_idle_call(topic)
                return False
            case _, WatchVerdict.REJECT:
                detail = f"answer of epoch {answer.epoch} to a watch in epoch {asked.epoch}"
                await self._pause_after_failure(topic, Failure(SOURCE_FAILED, detail))
            case _:
                await self._pause_after_idle_call(topic)
        return True

    async def _apply_changes(self, topic: Topic, changes: Changes, limits: WatchLimits) -> None:
        if self._facts.take_changes(topic, changes):
            self._idle_calls[topic] = 0
            await self._delay_after_change(topic)
        elif self.call_age(topic) < EARLY_ANSWER_SHARE * limits.wait:
            await self._pause_after_idle_call(topic)
        else:
            self._idle_calls[topic] = 0

    async def _pause_after_idle_call(self, topic: Topic) -> None:
        """Pause after a successful call that brought nothing, except after the first one."""
        idle_calls = self._idle_calls[topic]
        self._idle_calls[topic] += 1
        if idle_calls:
            await trio.sleep(self._polling.pause_after(idle_calls - 1))

    async def _pause_after_failure(self, topic: Topic, failure: Failure) -> None:
        failures = self.failing.get(topic, 0)
        self.failing[topic] = failures + 1
        self._facts.note_failure(topic)
        if not failures:
            self._lost_at[topic] = monotonic()
        fields = {"topic": topic.value, "call_seconds": round(self.call_age(topic), 3)}
        # One line per outage, and one for each long call, since changes were late by its duration.
        if not failures or self.call_age(topic) > LONG_CALL_SECONDS:
            message = "store still lost" if failures else "store lost"
            logger.warning(message, extra={**fields, "reason": failure.detail[:300]})
        await trio.sleep(self._polling.pause_after(failures))

    def _note_recovery(self, topic: Topic) -> None:
        failures = self.failing.pop(topic, 0)
        if failures:
            fields = {
                "topic": topic.value,
                "failures": failures,
                "call_seconds": round(self.call_age(topic), 3),
                "lost_seconds": round(monotonic() - self._lost_at[topic], 3),
            }
            logger.info("store regained", extra=fields)

    async def _reset_after_pauses(self) -> None:
        handled = self._pauses.check()
        while True:
            await trio.sleep(PAUSE_CHECK_SECONDS)
            pauses = self._pauses.check()
            if pauses != handled:
                handled = pauses
                seconds = round(self._pauses.last_pause_seconds, 3)
                logger.warning("process stood still", extra={"seconds": seconds})
                self.reset()


def _describe(listing: Listing) -> str:
    return f"revision {listing.revision} of epoch {listing.epoch}"
