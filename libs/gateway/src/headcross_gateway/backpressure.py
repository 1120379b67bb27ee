"""What one incarnation of a replica asks of this entry, and when it wants a request.

A limit holds for all entries together, for as long as answers name it. A rest is between the
replica and this entry, and holds to its end. A leaving is final. Limits and leavings are told to
the other entries; see `replicanews`. Moments are in seconds on any one clock that does not go
back.
"""

import logging
from dataclasses import dataclass, field

from headcross_ports.requests import BackpressureSignals, Unreadable

from headcross_gateway.requestlimit import RequestLimit

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Backpressure:
    """What one incarnation of a replica asks, as far as this entry knows."""

    replica: str  # its id, for log lines
    limit: RequestLimit = field(default_factory=RequestLimit)
    leaving: bool = False
    rest_until: float = 0.0
    # Whether it has yet to serve a request after a rest: one at a time tries that.
    rested: bool = False
    _trial_under_way: bool = False
    _leaving_pending: bool = False  # other processes have yet to be told
    _unreadable: dict[str, str] = field(default_factory=dict)  # the last one of each kind, logged

    # What is learned.

    def note_answer(
        self, signals: BackpressureSignals, sent_at: float, share: float, now: float
    ) -> None:
        """Take what the head of an answer asks.

        `sent_at` is when its request was sent, `share` this entry's part of a limit, 0 to 1.
        """
        if isinstance(signals.limit, Unreadable):
            self._log_unreadable("limit", signals.limit)
        elif self.limit.answered(signals.limit, sent_at, share, now):
            self._log_limit("answer", now)
        if isinstance(signals.leaving, Unreadable):
            self._log_unreadable("leaving", signals.leaving)
        elif signals.leaving:
            self._leaving_pending |= self.leave("answer")
        if isinstance(signals.rest_seconds, Unreadable):
            self._log_unreadable("rest", signals.rest_seconds)
        elif signals.rest_seconds is not None:
            self._rest(signals.rest_seconds, now)
        elif not self.is_resting(now):
            self.rested = False

    def receive_limit(self, limit: float | None, said_at: float, share: float, now: float) -> bool:
        """Take the limit that another entry knows; return whether that changes anything."""
        changed = self.limit.receive(limit, said_at, share, now)
        if changed:
            self._log_limit("entry", now)
        return changed

    def leave(self, source: str) -> bool:
        """Note that the replica leaves; return whether that is new. `source` is for the log."""
        if self.leaving:
            return False
        self.leaving = True
        logger.info("replica leaves", extra={"replica": self.replica, "source": source})
        return True

    def has_pending_news(self) -> bool:
        """Tell whether answers told this entry something that others do not know."""
        return self.limit.pending or self._leaving_pending

    def mark_told(self) -> None:
        """Note that others were told everything."""
        self.limit.pending = self._leaving_pending = False

    # What follows.

    def is_resting(self, now: float) -> bool:
        """Tell whether it wants no requests of this entry for a while."""
        return now < self.rest_until

    def seconds_to_next(self, share: float, now: float) -> float:
        """Return after how many seconds it wants a request of this entry, 0 if now."""
        return max(self.limit.seconds_to_next(share, now), self.rest_until - now, 0.0)

    def wants_request(self, share: float, now: float) -> bool:
        """Tell whether it wants a request of this entry now."""
        if self.leaving or (self.rested and self._trial_under_way):
            return False
        return self.seconds_to_next(share, now) == 0

    def note_sent(self, share: float, now: float) -> None:
        """Count a request that is sent there."""
        self.limit.count(share, now)
        self._trial_under_way = self.rested

    def note_ended(self) -> None:
        """Note that a request there has ended."""
        self._trial_under_way = False

    def _rest(self, seconds: float, now: float) -> None:
        self.rest_until = max(self.rest_until, now + seconds)
        self.rested = True
        logger.info("replica asks for rest", extra={"replica": self.replica, "seconds": seconds})

    def _log_limit(self, source: str, now: float) -> None:
        limit = self.limit.per_second
        age = round(now - self.limit.said_at, 3)
        fields = {"replica": self.replica, "limit": limit, "source": source, "age": age}
        logger.info("limit named" if limit is not None else "limit ended", extra=fields)

    def _log_unreadable(self, kind: str, said: Unreadable) -> None:
        if self._unreadable.get(kind) != said.text:
            self._unreadable[kind] = said.text
            fields = {"replica": self.replica, "said": said.text[:100]}
            logger.warning(f"{kind} not read", extra=fields)
