"""How a process polls the store: which topics it follows, and the time limits of its calls."""

import random
from dataclasses import dataclass
from typing import Final

from headcross_ports.published import Topic

from headcross_facts.bounds import FactBounds

FIRST_RETRY_SECONDS: Final = 0.15
# Pauses between failed calls are lengthened or shortened at random by up to this share, so that
# processes that lost the store at the same time do not all retry at the same time.
RETRY_SPREAD: Final = 0.3


@dataclass(frozen=True, slots=True)
class WatchLimits:
    """The time limits of one watch, in seconds."""

    wait: float  # the store answers after this if there is no change
    answer: float  # the call fails this much later unless its answer has begun

    @property
    def longest(self) -> float:
        """Duration of a watch that the store never answers, in seconds."""
        return self.wait + self.answer


@dataclass(frozen=True, slots=True)
class PollingSettings:
    """Which topics of the store are followed, and the time limits and pauses of the calls."""

    watch: WatchLimits = WatchLimits(3.0, 1.5)
    # Limits for the list of replicas, which a replica's daemon needs less urgently.
    replicas_watch: WatchLimits = WatchLimits(3.0, 1.5)
    # Limits after a failed call until a call is answered; None to keep the other limits.
    lost_watch: WatchLimits | None = None
    # Longest pause between failed calls, before it is randomized.
    max_retry_seconds: float = 0.9
    # Pauses after a change, so that the next answer contains a burst of changes.
    batch_delay_seconds: float = 0.15
    replicas_batch_delay_seconds: float = 0.15
    # Pause after a change of the list of replicas while it is not urgent; see
    # `Follower.set_urgent`.
    idle_replicas_batch_delay_seconds: float = 0.15
    # Topics that are watched, and topics that are listed on demand only.
    watched: tuple[Topic, ...] = (Topic.CONTROL, Topic.REPLICAS)
    listed: tuple[Topic, ...] = ()

    def watch_limits(self, topic: Topic, lost: bool) -> WatchLimits:
        """Return the time limits of a watch of a topic; `lost` after a failed call."""
        if lost and self.lost_watch is not None:
            return self.lost_watch
        return self.replicas_watch if topic is Topic.REPLICAS else self.watch

    def batch_delay(self, topic: Topic, urgent: bool) -> float:
        """Return the pause after a change of a topic, in seconds."""
        if topic is not Topic.REPLICAS:
            return self.batch_delay_seconds
        return (
            self.replicas_batch_delay_seconds if urgent else self.idle_replicas_batch_delay_seconds
        )

    def pause_after(self, failures: int) -> float:
        """Return the pause in seconds after a failed call that `failures` others preceded."""
        pause = min(self.max_retry_seconds, FIRST_RETRY_SECONDS * 2.0**failures)
        return pause * random.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)


# Time that remains of a bound when the next call begins. It covers the pause after a first failure
# (0.2 s), a slow answer of the store (0.24 s, sixty times its usual 4 ms), and the time to apply a
# document of hundreds of kilobytes.
CHANGE_MARGIN_SECONDS: Final = 0.8
# Two hundred times the 4 ms in which the store is specified to answer. After a failure the store
# may be slow rather than unavailable, so its answer gets more time, and the watch itself ends
# almost at once.
ANSWER_SECONDS: Final = 0.8
LOST_ANSWER_SECONDS: Final = 1.2
LOST_WAIT_SECONDS: Final = 0.1
LOST_MAX_RETRY_SECONDS: Final = 0.5
MIN_WATCH_SECONDS: Final = 0.5
# Pauses after a change as shares of the bounds. Each process makes one call after every pause.
BATCH_DELAY_SHARE: Final = 0.075
REPLICAS_BATCH_DELAY_SHARE: Final = 0.1
# Replicas' daemons answer no callers, so none of the bounds applies to them. A late change delays
# new weights; but each of their calls costs the store as much as an entry's, and there are many
# more daemons than entries. The length of their watches is the sum of `reached` and the shorter
# other bound, less DAEMON_MARGIN_SECONDS, times the factor of the topic. Of the two pauses after a
# change of the list of replicas, the shorter one applies while a version is being fetched.
DAEMON_MARGIN_SECONDS: Final = 2.0
DAEMON_ANSWER_SECONDS: Final = 1.5
VERSIONS_WATCH_FACTOR: Final = 1.4
REPLICAS_WATCH_FACTOR: Final = 2.4
DAEMON_REPLICAS_BATCH_DELAY_SECONDS: Final = 0.8
DAEMON_IDLE_REPLICAS_BATCH_DELAY_SECONDS: Final = 5.0


def entry_polling(bounds: FactBounds) -> PollingSettings:
    """Return the polling settings of an entry: as few calls as the bounds allow.

    Calls are few since each call to the store has a cost. A call that begins just before the end
    of an outage of the store gets no answer. The bounds apply once the store has answered for
    `reached` seconds, to everything published since the end of the outage, so both times run in
    parallel. The next call therefore has to begin before the longer of them is over. Watches of
    3 s with 1.5 s for the answer let an entry use an old configuration for 3.9 s.

    >>> entry_polling(FactBounds()).watch
    WatchLimits(wait=1.4, answer=0.8)
    """
    wait = max(MIN_WATCH_SECONDS, round(longest_call(bounds) - ANSWER_SECONDS, 3))
    limits = WatchLimits(wait, ANSWER_SECONDS)
    return PollingSettings(
        watch=limits,
        replicas_watch=limits,
        lost_watch=WatchLimits(LOST_WAIT_SECONDS, LOST_ANSWER_SECONDS),
        max_retry_seconds=LOST_MAX_RETRY_SECONDS,
        batch_delay_seconds=BATCH_DELAY_SHARE * bounds.configuration,
        replicas_batch_delay_seconds=REPLICAS_BATCH_DELAY_SHARE * bounds.leaving,
        idle_replicas_batch_delay_seconds=REPLICAS_BATCH_DELAY_SHARE * bounds.leaving,
    )


def daemon_polling(bounds: FactBounds) -> PollingSettings:
    """Return the polling settings of a replica's daemon."""
    shortest = min(bounds.configuration, bounds.leaving)
    wait = max(MIN_WATCH_SECONDS, bounds.reached + shortest - DAEMON_MARGIN_SECONDS)
    return PollingSettings(
        watch=WatchLimits(VERSIONS_WATCH_FACTOR * wait, DAEMON_ANSWER_SECONDS),
        replicas_watch=WatchLimits(REPLICAS_WATCH_FACTOR * wait, DAEMON_ANSWER_SECONDS),
        batch_delay_seconds=BATCH_DELAY_SHARE * bounds.configuration,
        replicas_batch_delay_seconds=DAEMON_REPLICAS_BATCH_DELAY_SECONDS,
        idle_replicas_batch_delay_seconds=DAEMON_IDLE_REPLICAS_BATCH_DELAY_SECONDS,
        watched=(Topic.VERSIONS, Topic.REPLICAS),
        listed=(Topic.CONTROL,),
    )


def longest_call(bounds: FactBounds) -> float:
    """Return the maximum duration of a call in seconds, since the store may never answer it."""
    shortest = min(bounds.configuration, bounds.leaving)
    return max(bounds.reached, shortest) - CHANGE_MARGIN_SECONDS
