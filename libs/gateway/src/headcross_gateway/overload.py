"""Decides how an entry treats callers when a service gets more requests than it can serve.

In this module a retry is a request that its caller sends again after a refusal; it is not the
entry's own retry at another replica.

The design load: first tries exceed the capacity by a fifth, and each refused caller retries once.
An answer is worth most within a target time that counts from the first try, so the answer to a
retry is always late. If a retry takes a slot that a first try would have had, that first try is
late, or is refused and becomes a retry, and in the end all answers are late. Retries therefore
wait behind first tries of their priority, and slots are reserved for first tries as long as some
of these are refused (trunk reservation: F. P. Kelly, "Loss networks", Annals of Applied
Probability 1, 1991). Retries get the remaining capacity: idle replicas, gaps in the load, and all
slots as soon as the overload ends. The module does no I/O and reads no clock.
"""

import random
from dataclasses import dataclass
from typing import Final

from headcross_gateway.answertimes import AnswerTimes
from headcross_gateway.demand import DemandMeter
from headcross_gateway.refusedrequests import RefusedRequests

# Bounds of the Retry-After value before jitter: the lower one applies if slots are occupied only
# for a moment, the upper one if the overload lasts or no replica serves. Callers wait for up to a
# third of their time limit of 6 s before they retry.
MIN_RETRY_AFTER_SECONDS: Final = 0.5
MAX_RETRY_AFTER_SECONDS: Final = 1.8
# The Retry-After value is reduced by a random fraction of up to this size, so that callers that
# are refused together do not retry together.
RETRY_AFTER_JITTER: Final = 0.2
# The half-life of the measured demand of first tries. The end of an overload must be detected
# before the refused callers retry, which they do 0.4 s to 1.8 s later.
FIRST_TRY_HALF_LIFE_SECONDS: Final = 0.5
# Retries wait longer than first tries only while at most this share of retries is refused, so that
# a waiting one is more likely to be served than refused.
MAX_REFUSED_SHARE: Final = 0.5
# A retry must have this many mean answer times left after its wait. Answer times vary about as
# much as their mean: 19 in 20 of exponentially distributed times are within three means.
ANSWER_TIMES_LEFT: Final = 3.0


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """The treatment of retries, and the times that requests wait for a slot.

    Experiment files use these names: `fresh` stands for first tries and `returning` for retries.
    """

    # Whether retries wait behind first tries of their priority, or are ordered by deadline alone.
    fresh_first: bool = True
    # If at least this share of first tries is refused, all slots are reserved and retries get only
    # idle replicas; below it, the reserved share of slots is proportional to the refused share.
    # With an infinite value only `least_reserved_share` is reserved. With a low value such as 0.2,
    # more callers are refused for good; without a reservation, retries take the slots of first
    # tries, which are then late.
    full_reservation_share: float = 1.0
    # The fraction of the target time that a first try waits for a slot at most. Under overload, a
    # first try that waits longer is answered late or is refused anyway: with 0.5, about a tenth of
    # the value of the answers is lost. Not waiting at all is no better.
    wait_part: float = 0.1
    # The same fraction while no replica may serve the request: a replica that loads new weights is
    # available again shortly. When four replicas load within 0.25 s, none of them serves for about
    # 0.09 s, longer than a tenth of a target time of 0.5 s.
    no_replica_wait_part: float = 0.22
    # How long a retry waits for a slot at most. It may wait longer than a first try, because its
    # target time has passed anyway and a slot that no first try needs may become free. It does so
    # only if most recent retries were served and its answer can still end before its deadline.
    returning_wait_seconds: float = 1.0
    # The share of the slots that is always reserved for first tries. Without it, waiting retries
    # would take all slots at once when slots become free after a time without any. With 0.5, half
    # as many more callers are refused for good in a burst.
    least_reserved_share: float = 0.25


DEFAULT_OVERLOAD_SETTINGS: Final = OverloadSettings()


class Overload:
    """The overload decisions of one entry, based on its own load and on refusals in its zone."""

    refused: RefusedRequests

    def __init__(self, settings: OverloadSettings = DEFAULT_OVERLOAD_SETTINGS) -> None:
        self.refused = RefusedRequests()
        self.settings = settings
        self._all_requests = DemandMeter()
        self._first_tries = DemandMeter(FIRST_TRY_HALF_LIFE_SECONDS)
        self._caller_retries = DemandMeter()
        self._answer_times = AnswerTimes()

    def note_request(self, service: str, *, is_caller_retry: bool) -> None:
        """Count a request that arrived."""
        self._all_requests.note(service)
        (self._caller_retries if is_caller_retry else self._first_tries).note(service)

    def note_refused(
        self, service: str, *, is_caller_retry: bool, has_serving_replica: bool = True
    ) -> None:
        """Count a request that found no free slot.

        `has_serving_replica` is whether any replica, full or not, may serve it. A refusal for lack
        of such a replica does not raise the reserved share: otherwise retries after an outage
        would be refused for seconds.
        """
        self._all_requests.note_refused(service)
        if is_caller_retry:
            self._caller_retries.note_refused(service)
        elif has_serving_replica:
            self._first_tries.note_refused(service)

    def note_answer(self, service: str, seconds: float) -> None:
        """Add the duration of a complete answer, from the request's assignment to a replica."""
        self._answer_times.note(service, seconds)

    def measure(self, now: float) -> None:
        """Update the measured demand; to be called about every 0.2 s.

        `now` is in seconds on any one clock that does not go back.
        """
        for meter in (self._all_requests, self._first_tries, self._caller_retries):
            meter.measure(now)

    def queues_last(self, *, is_caller_retry: bool) -> bool:
        """Return whether a request waits behind all others of its priority."""
        return is_caller_retry and self.settings.fresh_first

    def reserved_share(self, service: str) -> float:
        """Return the share of a replica's slots that is reserved for first tries, 0 to 1.

        At 1, a retry is sent only to a replica without running requests.
        """
        refused = self._first_tries.refused_share(service)
        reserved = refused / self.settings.full_reservation_share
        return min(1.0, max(self.settings.least_reserved_share, reserved))

    def wait_seconds(self, target_seconds: float, *, has_serving_replica: bool) -> float:
        """Return the seconds that a first try waits for a slot, from its arrival or last refusal.

        `target_seconds` is the target time of its route; `has_serving_replica` is whether any
        replica, full or not, may serve it now.
        """
        settings = self.settings
        part = settings.wait_part if has_serving_replica else settings.no_replica_wait_part
        return part * target_seconds

    def caller_retry_wait_seconds(
        self,
        service: str,
        target_seconds: float,
        seconds_left: float,
        *,
        has_serving_replica: bool,
    ) -> float:
        """Return the seconds that a retry waits for a slot; its deadline is in `seconds_left`.

        If most retries are refused, it waits no longer than a first try. Under lasting overload
        most retries would be refused after a longer wait, and streams that begin too late break
        off at their callers' deadlines.
        """
        wait = self.wait_seconds(target_seconds, has_serving_replica=has_serving_replica)
        if self._caller_retries.refused_share(service) > MAX_REFUSED_SHARE:
            return wait
        spare_seconds = seconds_left - ANSWER_TIMES_LEFT * self._answer_times.mean(service)
        return max(wait, min(self.settings.returning_wait_seconds, spare_seconds))

    def retry_after_seconds(self, service: str, opening_seconds: float = 0.0) -> float:
        """Return the seconds after which a refused caller should retry.

        The value grows with the share of requests refused recently: a larger share means that the
        overload lasts longer, and a caller that retries during the same overload is refused for
        good. The value is at least `opening_seconds`, the time until a replica accepts a request.
        """
        span = MAX_RETRY_AFTER_SECONDS - MIN_RETRY_AFTER_SECONDS
        seconds = MIN_RETRY_AFTER_SECONDS + span * self._all_requests.refused_share(service)
        min_seconds = opening_seconds / (1 - RETRY_AFTER_JITTER)
        return max(seconds, min_seconds) * random.uniform(1 - RETRY_AFTER_JITTER, 1)
