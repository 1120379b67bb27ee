"""One replica as one entry sees it.

The daemon beside a replica tells its load and versions several times a second; each message has
its age. The entry's own requests there tell the rest.
"""

import logging
import math
import random
from dataclasses import dataclass, field
from typing import Final

from headcross_base.clocks import monotonic
from headcross_ports.published import Incarnation, Replica
from headcross_ports.requests import BackpressureSignals
from headcross_wire.peermessages import ReplicaLoad

from headcross_gateway.backpressure import Backpressure
from headcross_gateway.confirmedloads import ConfirmedLoads
from headcross_gateway.health import Health
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun, MayRun, Outcome, Streamed
from headcross_gateway.waittimes import WaitTimes

# What a daemon told of its replica counts for so long.
REPORT_VALID_SECONDS: Final = 1.5
# Daemons tell every 0.15 s to 0.45 s; one that is silent for so long is late.
REPORT_LATE_SECONDS: Final = 0.8
# Requests that all entries together may place at a replica between two messages of its daemon.
MAX_PLACED_BETWEEN_REPORTS: Final = 6
# A replica whose entry lapsed around an outage of the store is used on as long as its daemon says
# that it answers, or a request was answered so lately.
LAPSED_REPORT_SECONDS: Final = 0.8
LAPSED_ANSWERED_SECONDS: Final = 2.0
# Shortly before the bound on its version, a replica whose daemon speaks is not tried unless a
# subscription of this entry came through that was sent so lately. Entries subscribe every 0.3 s
# then, and daemons tell every 0.15 s to 0.45 s. A link that is too narrow holds them for longer.
LINK_DELIVERY_SECONDS: Final = 1.2
# A replica whose daemon has not reached it for so long has ended.
OUT_OF_REACH_SECONDS: Final = 1.5
# A replica that refused a request for want of room is not tried again for so long.
FULL_BACKOFF_SECONDS: Final = 0.12
# One that holds another version than its silent daemon said is not tried again for so long: the
# list tells which one within about a second.
OTHER_VERSION_BACKOFF_SECONDS: Final = 1.0

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class LoadReport:
    """The last word of the daemon beside a replica."""

    load: ReplicaLoad
    at: float  # monotonic
    own_in_flight: int  # requests of this entry at that moment
    own_placed_since: int = 0  # requests that this entry placed there since
    allowance: int = 1  # requests that this entry may place there until the next word


@dataclass(slots=True)
class ReplicaState:
    """One replica as this entry sees it."""

    replica: Replica
    in_flight: int = 0  # requests of this entry
    last_report: LoadReport | None = None
    backoff_until: float = 0.0
    # This entry's part of the replica's places and of its limit, 0 to 1: an equal one among the
    # entries that its daemon tells its load to, and before its first word among those known.
    own_share: float = 1.0
    health: Health = field(default_factory=Health)
    waits: WaitTimes = field(default_factory=WaitTimes)
    # Whether this entry keeps itself informed of it; others are for the time when all of these
    # are full.
    in_subset: bool = True
    # Until then it is left out of the subset, since it or its daemon did not answer (monotonic).
    excluded_until: float = 0.0
    # Another incarnation answered at its address: this one will not come back.
    gone: bool = False
    # Its entry lapsed around an outage of the store: it is used until then at most (monotonic).
    lapsed_until: float | None = None
    # Since when its daemon has not reached it (monotonic); None while it does.
    out_of_reach_since: float | None = None
    # Which of its versions are known to have been loaded whole.
    loads: ConfirmedLoads = field(init=False)
    # What its answers ask of this entry.
    backpressure: Backpressure = field(init=False)

    def __post_init__(self) -> None:
        self.loads = ConfirmedLoads(self.replica.loaded)
        self.backpressure = Backpressure(self.replica.id)

    def report_age(self) -> float:
        """Return how old the last word of its daemon is, in seconds."""
        return monotonic() - self.last_report.at if self.last_report is not None else float("inf")

    def is_report_late(self) -> bool:
        """Tell whether its daemon spoke before and has been silent for too long since."""
        return self.last_report is not None and self.report_age() > REPORT_LATE_SECONDS

    def is_delivering(self) -> bool:
        """Tell whether its daemon, if it speaks, says nothing against its link.

        That only saves a try: each request to old weights has its own proof (see linkproofs).
        """
        if self.last_report is None or self.is_report_late():
            return True
        return monotonic() - self.last_report.load.subscribed_ms / 1000 < LINK_DELIVERY_SECONDS

    def fresh_load(self) -> ReplicaLoad | None:
        """Return what its daemon told, if that is recent."""
        if self.last_report is None or self.report_age() > REPORT_VALID_SECONDS:
            return None
        return self.last_report.load

    def load(self) -> float:
        """Return how many requests it has, of this entry and, by its daemon's word, of others."""
        report = self.last_report
        if report is None or self.report_age() > REPORT_VALID_SECONDS:
            return self.in_flight
        others = max(0, report.load.active + report.load.queued - report.own_in_flight)
        return self.in_flight + others

    def has_room(self, reserved: float = 0.0) -> bool:
        """Tell whether a place is free, as far as is known; `reserved` is a part to be left free.

        All places are filled: a request that comes a moment too soon waits less there than it
        would for another try.
        """
        now = monotonic()
        if now < self.backoff_until or self._is_left_to_others():
            return False
        if not self.backpressure.wants_request(self.own_share, now):
            return False
        if reserved and self.load() > (1 - reserved) * self.replica.slots:
            return False
        if not self.replica.loaded and self.last_report is None:
            return self.load() < self.replica.slots  # a plain service: nobody tells its load
        if self.fresh_load() is None:
            # What the other entries placed there is not known, so each keeps to its own part.
            return self.in_flight < max(1.0, self.replica.slots * self.own_share)
        assert self.last_report is not None
        free = self.replica.slots - self.load()
        # No more of those placed since the last word can still be there than are under way.
        placed = min(self.last_report.own_placed_since, self.in_flight)
        return free > 0 and placed < self.last_report.allowance

    def seconds_to_next(self) -> float:
        """Return after how many seconds it wants a request of this entry, 0 if now."""
        if self._is_left_to_others():
            return math.inf
        return self.backpressure.seconds_to_next(self.own_share, monotonic())

    def _is_left_to_others(self) -> bool:
        """Tell whether a limited replica is for those whom its daemon counts as its entries."""
        return not self.in_subset and self.backpressure.limit.per_second is not None

    def is_usable(self, now: float) -> bool:
        """Tell whether it may be worth keeping informed of: it serves and answers."""
        listed = self.replica
        return bool(listed.loaded) and not self.is_leaving() and now >= self.excluded_until

    def record_outcome(self, outcome: Outcome, *, bound: bool) -> None:
        """Note what an attempt tells of the replica.

        `bound` tells that the request asked for one version, as a stream does that had begun: a
        replica that turns it away for that is still the one that was meant.
        """
        match outcome:
            case DidNotRun(withdrawn=True) | MayRun(withdrawn=True):
                return
            case CompleteAnswer(failed=True):
                self.health.note_failure(certain=False)
            case CompleteAnswer() | Streamed():
                self.health.note_success()
            case DidNotRun(elsewhere=True) if not bound:
                self.gone = True
            case DidNotRun(elsewhere=True) if self.is_report_late():
                self.backoff_until = monotonic() + OTHER_VERSION_BACKOFF_SECONDS
            case DidNotRun(unproven=True):
                self.health.note_failure(certain=False)
                self.health.note_silence()
            case DidNotRun(arrived=True):
                self.backoff_until = monotonic() + FULL_BACKOFF_SECONDS
            case DidNotRun():
                self.health.note_failure(certain=True)
                self.health.note_silence()
            case MayRun(silent=silent):
                self.health.note_failure(certain=False)
                if silent:
                    self.health.note_silence()

    def note_signals(self, signals: BackpressureSignals, sent_at: float) -> None:
        """Take what the head of an answer asks; its request was sent at a moment (monotonic)."""
        self.backpressure.note_answer(signals, sent_at, self.own_share, monotonic())

    def reserve_slot(self) -> None:
        """Count a request of this entry as under way there."""
        self.in_flight += 1
        self.backpressure.note_sent(self.own_share, monotonic())
        if self.last_report is not None:
            self.last_report.own_placed_since += 1

    def release_slot(self) -> None:
        """Count a request of this entry as ended there."""
        self.in_flight -= 1
        self.backpressure.note_ended()

    def reported_reachable(self) -> bool:
        """Tell whether its daemon, if it says anything, says that it answers."""
        load = self.fresh_load()
        return load is None or load.reachable

    def reported_leaving(self) -> bool:
        """Tell whether its daemon says that it loads, or is about to, and takes no requests."""
        load = self.fresh_load()
        return load is not None and load.leaving

    def is_leaving(self) -> bool:
        """Tell whether it has announced, in the list or in an answer, that it leaves."""
        return self.replica.draining or self.backpressure.leaving

    def is_gone(self) -> bool:
        """Tell whether nothing may be sent there any more."""
        if self.gone or self.lapsed_until is None:
            return self.gone
        if monotonic() >= self.lapsed_until:
            return True
        if self.last_report is None:
            return not self.health.answered_within(LAPSED_ANSWERED_SECONDS)
        return self.report_age() > LAPSED_REPORT_SECONDS or not self.last_report.load.reachable

    def record_report(self, load: ReplicaLoad, allowance: int) -> None:
        """Take the word of its daemon, and how many requests may be placed until the next one."""
        if self.last_report is None or self.last_report.load.reachable != load.reachable:
            self._log_reachable(load)
            self.out_of_reach_since = None if load.reachable else monotonic()
        self.last_report = LoadReport(load, monotonic(), self.in_flight, allowance=allowance)
        self.own_share = 1 / max(1, load.listeners)
        if not load.reachable or self._is_other_incarnation(load):
            return
        if load.ends:
            self.backpressure.leave("daemon")
        if self.loads.record_report(load, self.last_report.at):
            logger.info("load judged", extra={"replica": self.replica.id, **self.loads.dump()})

    def _log_reachable(self, load: ReplicaLoad) -> None:
        """Log that its daemon reaches it no more, or again, with what this entry has there."""
        fields = {"replica": self.replica.id, "address": load.address, "in_flight": self.in_flight}
        message = "replica reached by its daemon" if load.reachable else "replica out of reach"
        logger.info(message, extra=fields)

    def has_ended(self) -> bool:
        """Tell whether it is known to have ended without having announced it."""
        if self.is_leaving():
            return False
        if self.gone or self.has_conflicting_incarnations():
            return True
        since = self.out_of_reach_since
        if since is None or self.fresh_load() is None:
            return False
        return monotonic() - since >= OUT_OF_REACH_SECONDS

    def has_conflicting_incarnations(self) -> bool:
        """Tell whether the list and its daemon speak of different incarnations.

        Which is the later one is not known then, nor whether that one holds any weights: it begins
        without, and the list and the daemon agree within a second or two.
        """
        load = self.fresh_load()
        return load is not None and self._is_other_incarnation(load)

    def _is_other_incarnation(self, load: ReplicaLoad) -> bool:
        reported = Incarnation(self.replica.id, load.started_ms)
        return reported.is_other_than(self.replica.incarnation)

    def is_unavailable(self) -> bool:
        """Tell whether it must be sent nothing new: it leaves, is gone, loads, or begins anew."""
        if self.is_leaving() or self.is_gone() or self.reported_leaving():
            return True
        return self.has_conflicting_incarnations()

    def is_responsive(self) -> bool:
        """Tell whether it and its daemon answer, as far as this entry has heard."""
        return (
            self.reported_reachable()
            and not self.is_report_late()
            and not self.health.is_ejected()
        )

    def version_of(self, model: str) -> int | None:
        """Return the version of a model that it may serve, None if it holds none that may."""
        held = self.held_version(model)
        return held if held is not None and self.loads.may_serve(model, held) else None

    def version_to_expect(self, model: str) -> int | None:
        """Return the version that a request has to ask for by name, None if it need not.

        While its daemon is silent nobody tells that the replica takes another load, nor whether
        that one is whole.
        """
        return self.version_of(model) if self.is_report_late() else None

    def held_version(self, model: str) -> int | None:
        """Return the version of a model that it holds, whether or not it may serve it."""
        listed = next((m.version for m in self.replica.loaded if m.model == model), None)
        load = self.fresh_load()
        reported = load.versions.get(model) if load is not None else None
        if listed is None or reported is None:
            return reported if listed is None else listed
        return max(listed, reported)


def draw_allowance(listeners: int) -> int:
    """Return how many requests one of so many entries may place until it is told the load again.

    All entries see the same free places. A replica reads the prompts of what it is given one after
    the other, so a place that many rush to is no place for most of them. Where there are more
    entries than requests that may be placed, each has its part as a chance.

    >>> draw_allowance(1), draw_allowance(5)
    (6, 1)
    """
    part = MAX_PLACED_BETWEEN_REPORTS / max(1, listeners)
    return int(part) if part >= 1 else int(random.random() < part)
