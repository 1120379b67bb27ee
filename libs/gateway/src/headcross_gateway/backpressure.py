"""Tracks what one incarnation of a replica asks of this entry, and when it accepts a request.

Answers of a replica may carry three signals. A limit, in requests per second, applies to all
entries together as long as answers name it. A rest applies to this entry only: it sends no request
until the rest is over, and then one at a time until one is served. Leaving is final. Limits and
the fact that a replica leaves are sent to the other entries; see `replicanews`.

Times are in seconds on any one clock that does not go back.
"""

import logging
from dataclasses import dataclass, field

from headcross_ports.requests import BackpressureSignals, Unreadable

from headcross_gateway.requestlimit import RequestLimit

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Backpressure:
    """The limit, rest and leaving of one incarnation of a replica, as known to this entry."""

    replica: str  # the replica's id, for log lines
    limit: RequestLimit = field(default_factory=RequestLimit)
    leaving: bool = False
    rest_until: float = 0.0
    # Whether it has not served a request since its last rest. While true, it gets one at a time.
    awaits_trial: bool = False
    _trial_under_way: bool = False
    _leaving_pending: bool = False  # not yet sent to other processes
    _unreadable: dict[str, str] = field(default_factory=dict)  # last logged text by kind

    # Input.

    def note_answer(
        self, signals: BackpressureSignals, sent_at: float, share: float, now: float
    ) -> None:
        """Apply what the head of an answer asks.

        `sent_at` is when its request was sent, `share` this entry's share of a limit, 0 to 1.
        """
        if isinstance(signals.limit, Unreadable):
            self._log_unreadable("limit", signals.limit)
        elif self.limit.note_answer(signals.limit, sent_at, share, now):
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
            self.awaits_trial = False

    def receive_limit(
        self, limit: float | None, stated_at: float, share: float, now: float
    ) -> bool:
        """Apply a limit that another entry reports; return whether the limit changed."""
        changed = self.limit.receive(limit, stated_at, share, now)
        if changed:
            self._log_limit("entry", now)
        return changed

    def leave(self, source: str) -> bool:
        """Record that the replica leaves; return whether that is new. `source` is for the log."""
        if self.leaving:
            return False
        self.leaving = True
        logger.info("replica leaves", extra={"replica": self.replica, "source": source})
        return True

    def has_pending_news(self) -> bool:
        """Return whether answers showed something that is to be sent to the other entries."""
        return self.limit.pending or self._leaving_pending

    def mark_sent(self) -> None:
        """Record that everything was sent to the other entries."""
        self.limit.pending = self._leaving_pending = False

    # Decisions.

    def is_resting(self, now: float) -> bool:
        """Return whether the replica asked this entry for a rest that is not over."""
        return now < self.rest_until

    def seconds_to_next(self, share: float, now: float) -> float:
        """Return the seconds until limit and rest allow a request of this entry, 0 if now."""
        return max(self.limit.seconds_to_next(share, now), self.rest_until - now, 0.0)

    def accepts_request(self, share: float, now: float) -> bool:
        """Return whether the replica accepts a request of this entry now."""
        if self.leaving or (self.awaits_trial and self._trial_under_way):
            return False
        return self.seconds_to_next(share, now) == 0

    def note_sent(self, share: float, now: float) -> None:
        """Count a request that is sent to the replica."""
        self.limit.count(share, now)
        self._trial_under_way = self.awaits_trial

    def note_ended(self) -> None:
        """Record that a request to the replica has ended."""
        self._trial_under_way = False

    def _rest(self, seconds: float, now: float) -> None:
        self.rest_until = max(self.rest_until, now + seconds)
        self.awaits_trial = True
        logger.info("replica asks for rest", extra={"replica": self.replica, "seconds": seconds})

    def _log_limit(self, source: str, now: float) -> None:
        limit = self.limit.per_second
        age = round(now - self.limit.stated_at, 3)
        fields = {"replica": self.replica, "limit": limit, "source": source, "age": age}
        logger.info("limit named" if limit is not None else "limit ended", extra=fields)

    def _log_unreadable(self, kind: str, signal: Unreadable) -> None:
        if self._unreadable.get(kind) != signal.text:
            self._unreadable[kind] = signal.text
            fields = {"replica": self.replica, "said": signal.text[:100]}
            logger.warning(f"{kind} not read", extra=fields)
