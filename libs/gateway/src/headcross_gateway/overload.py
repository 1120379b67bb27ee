"""What an entry decides when more is asked of a service than its replicas can serve.

The load this answers: fresh callers ask for a fifth more than there are places, and each one that
is refused comes back once. An answer is worth most within an aim that counts from the first try,
so a caller that comes back cannot get that any more; where it takes a place that a fresh one would
have had, that one is late or comes back in its turn, and in the end all answers are late ones. So
callers that come back wait behind fresh ones of their priority, and places are kept free for fresh
callers as long as some of these are refused (trunk reservation: F. P. Kelly, "Loss networks",
Annals of Applied Probability 1, 1991). They get what fresh ones leave: idle replicas, troughs, and
everything as soon as the overload ends. No decision here needs a network or a clock.
"""

import random
from dataclasses import dataclass
from typing import Final

from headcross_gateway.answertimes import AnswerTimes
from headcross_gateway.demand import DemandMeter
from headcross_gateway.refusedrequests import RefusedRequests

# When a caller is told to come back: where all places are taken just now, and where they will be
# taken for a while or nobody has any. Callers honour up to a third of their time limit (6 s).
COME_BACK_SECONDS: Final = 0.5
COME_BACK_LATER_SECONDS: Final = 1.8
# Callers that were refused at one moment come back spread by this part of their wait.
COME_BACK_SPREAD: Final = 0.2
# The demand of fresh callers fades by half in so long. The end of an overload must be seen before
# those that it sent away come back, which is 0.4 s to 1.8 s later.
FRESH_HALF_LIFE_SECONDS: Final = 0.5
# Callers that come back wait only while no more than this share of their like was refused lately:
# one that waits is to be served more likely than not.
MOST_REFUSED_SHARE: Final = 0.5
# ... and so many mean answer times must be left to them after the wait. Answers are spread about
# as wide as their mean: of exponential times 19 in 20 are within three means.
ANSWER_TIMES_LEFT: Final = 3.0


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """How callers that come back are treated, and how long anyone waits for a place."""

    # Whether they wait behind fresh ones of their priority, or by their deadlines alone.
    fresh_first: bool = True
    # The share of fresh callers refused lately from which on they get only idle replicas; in
    # between, as much of the places is kept free. Infinite: nothing is kept free. In the model of
    # a pool (6 replicas; a burst of 1.4 for 3 s, and 1.0 all the time; seeds 31 to 33) 0.2 answers
    # 0.716 and 0.711 in their aim and shuts 0.246 and 0.231 out, 1.0 with a wait of 1.5 s answers
    # 0.702 and 0.663 and shuts 0.168 and 0.162 out; with nothing kept free 0.606 and 0.609 are
    # answered in their aim.
    full_reservation_share: float = 1.0
    # The part of the aim that a fresh request waits for a place at most. Under overload one that
    # waits longer is late or refused later: in the model, at 0.8, 1.0 and 1.2 times the sheet's
    # load, 0.5 earns 0.787, 0.607 and 0.552 of the worth where 0.22 earns 0.848, 0.688 and 0.618,
    # 0.1 earns 0.850, 0.700 and 0.632, and no waiting is no better.
    wait_part: float = 0.1
    # The same where no replica may serve at all just now: one that loads new weights is back in a
    # moment. Four replicas that loaded within 0.25 s left 0.09 s without any, and a stream with an
    # aim of 0.5 s was refused after 0.1 of it.
    no_replica_wait_part: float = 0.22
    # How long a caller that comes back waits for a place at most, in seconds. Its aim has passed,
    # and a place that no fresh one needs may come free; but it waits only where most of those that
    # came back lately were served, and where its answer can still end before its deadline.
    returning_wait_seconds: float = 1.0
    # The part of the places that is always kept free from callers that come back: when room comes
    # after a while without any, those that waited would fill all of it at once. In the model (a
    # burst, seeds 41 to 44) 0 answers 0.683 in their aim and shuts 0.198 out, 0.25 answers 0.744
    # and shuts 0.134 out, 0.5 answers 0.753 and shuts 0.205 out.
    least_reserved_share: float = 0.25


DEFAULT_OVERLOAD_SETTINGS: Final = OverloadSettings()


class Overload:
    """The decisions of one entry, from what it sees and what others of its zone refuse."""

    refused: RefusedRequests

    def __init__(self, settings: OverloadSettings = DEFAULT_OVERLOAD_SETTINGS) -> None:
        self.refused = RefusedRequests()
        self.settings = settings
        self._all = DemandMeter()
        self._fresh = DemandMeter(FRESH_HALF_LIFE_SECONDS)
        self._returning = DemandMeter()
        self._answers = AnswerTimes()

    def note_request(self, service: str, *, returning: bool) -> None:
        """Count a request that came."""
        self._all.note(service)
        (self._returning if returning else self._fresh).note(service)

    def note_refused(self, service: str, *, returning: bool, for_room: bool = True) -> None:
        """Count a request that found no place.

        `for_room` is False where no replica may serve at all. That says nothing of the room that
        there is later: callers that came back after an outage were shut out for seconds.
        """
        self._all.note_refused(service)
        if returning:
            self._returning.note_refused(service)
        elif for_room:
            self._fresh.note_refused(service)

    def note_answer(self, service: str, seconds: float) -> None:
        """Take in how long a whole answer took, from its place at a replica on."""
        self._answers.note(service, seconds)

    def measure(self, now: float) -> None:
        """Take in what came since the last measurement; to be called every 0.2 s or so.

        `now` is in seconds on any one clock that does not go back.
        """
        for meter in (self._all, self._fresh, self._returning):
            meter.measure(now)

    def comes_last(self, *, returning: bool) -> bool:
        """Tell whether a request waits behind others of its priority."""
        return returning and self.settings.fresh_first

    def reserved_share(self, service: str) -> float:
        """Return which part of a replica's places is kept free for fresh callers, 0 to 1.

        At 1 a caller that comes back is placed only where nothing runs.
        """
        refused = self._fresh.refused_share(service)
        reserved = refused / self.settings.full_reservation_share
        return min(1.0, max(self.settings.least_reserved_share, reserved))

    def wait_seconds(self, aim_seconds: float, *, any_serves: bool) -> float:
        """Return how long a fresh request waits for a place, from its arrival or last refusal.

        `any_serves` tells whether any replica, full or not, may serve it now.
        """
        settings = self.settings
        part = settings.wait_part if any_serves else settings.no_replica_wait_part
        return part * aim_seconds

    def returning_wait_seconds(
        self, service: str, aim_seconds: float, seconds_left: float, *, any_serves: bool
    ) -> float:
        """Return how long a caller that comes back waits, with so much of its time left.

        No longer than a fresh one where most of its like were refused: it would be held for
        nothing. While all were held, 398 of 613 were refused after a second in lasting overload;
        and streams that began too late broke off at their callers' deadlines.
        """
        wait = self.wait_seconds(aim_seconds, any_serves=any_serves)
        if self._returning.refused_share(service) > MOST_REFUSED_SHARE:
            return wait
        spare = seconds_left - ANSWER_TIMES_LEFT * self._answers.mean(service)
        return max(wait, min(self.settings.returning_wait_seconds, spare))

    def come_back_seconds(self, service: str, opening_seconds: float = 0.0) -> float:
        """Return when a caller without a place should come back, in seconds.

        The more callers found no place lately, the longer that will last: one that comes back into
        the same overload is refused for good. No replica takes anything for `opening_seconds`.
        """
        longer = COME_BACK_LATER_SECONDS - COME_BACK_SECONDS
        seconds = COME_BACK_SECONDS + longer * self._all.refused_share(service)
        least = opening_seconds / (1 - COME_BACK_SPREAD)
        return max(seconds, least) * random.uniform(1 - COME_BACK_SPREAD, 1)
