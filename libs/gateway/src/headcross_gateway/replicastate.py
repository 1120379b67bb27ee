"""The state of one replica as known to one entry.

It combines the load and versions that the daemon on the replica's host reports several times a
second with the outcomes of the entry's own requests there.
"""

import logging
import math
import random
from dataclasses import dataclass, field
from typing import Final

from headcross_base.monotonic import monotonic
from headcross_facts.loadevidence import LoadStatus
from headcross_ports.published import Incarnation, LoadedModel, Replica
from headcross_ports.requests import BackpressureSignals
from headcross_wire.peermessages import ReplicaLoad

from headcross_gateway.backpressure import Backpressure
from headcross_gateway.confirmedloads import ConfirmedLoads
from headcross_gateway.health import Health
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun, MayRun, Outcome, Streamed
from headcross_gateway.waittimes import WaitTimes

# How long a load report is valid.
REPORT_VALID_SECONDS: Final = 1.5
# Age from which on the last load report counts as late; daemons report every 0.15 s to 0.45 s.
REPORT_LATE_SECONDS: Final = 0.8
# Requests that all entries together may send to a replica between two of its load reports.
MAX_PLACED_BETWEEN_REPORTS: Final = 6
# A replica whose list entry lapsed around an outage of the store stays in use while a load report
# at most LAPSED_REPORT_SECONDS old says that its daemon reaches it, or, if no daemon reported it,
# while its last answer is at most LAPSED_ANSWERED_SECONDS old.
LAPSED_REPORT_SECONDS: Final = 0.8
LAPSED_ANSWERED_SECONDS: Final = 2.0
# Shortly before the bound on its version, a replica whose daemon reports is tried only if the
# daemon has received a subscription that this entry sent within this time. Near a bound, entries
# renew their subscriptions every 0.3 s, and daemons report every 0.15 s to 0.45 s. A link with too
# little bandwidth delays subscriptions for longer than this time.
LINK_DELIVERY_SECONDS: Final = 1.2
# A replica that its daemon has not reached for this long counts as ended.
OUT_OF_REACH_SECONDS: Final = 1.5
# How long a replica is not tried again after it refused a request for lack of room.
FULL_BACKOFF_SECONDS: Final = 0.12
# How long a replica is not tried again if its reports are late and it holds another version than
# the last one says; the list shows the version within about a second.
OTHER_VERSION_BACKOFF_SECONDS: Final = 1.0

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class LoadReport:
    """The last load report of a replica's daemon, and the entry's own requests since."""

    load: ReplicaLoad
    at: float  # time of receipt (monotonic)
    own_in_flight: int  # requests of this entry in flight at that time
    own_placed_since: int = 0  # requests that this entry has sent since then
    allowance: int = 1  # requests that this entry may send until the next report


@dataclass(slots=True)
class ReplicaState:
    """The state of one incarnation of a replica at this entry."""

    replica: Replica
    in_flight: int = 0  # requests of this entry in flight there
    last_report: LoadReport | None = None
    backoff_until: float = 0.0
    # This entry's share of the replica's slots and of its rate limit, 0 to 1. All entries that its
    # daemon reports to have equal shares; before its first report, all known entries have.
    own_share: float = 1.0
    health: Health = field(default_factory=Health)
    waits: WaitTimes = field(default_factory=WaitTimes)
    # Whether it is in this entry's subset. Replicas outside of it are used only when all in it are
    # full.
    in_subset: bool = True
    # Until when it is excluded from the subset, because it or its daemon did not answer
    # (monotonic).
    excluded_until: float = 0.0
    # Whether another incarnation has replaced it or it is no longer listed. Neither is reverted.
    replaced_or_unlisted: bool = False
    # Until when it is used at most, if its list entry lapsed around an outage of the store
    # (monotonic).
    lapsed_until: float | None = None
    # Since when its daemon has not reached it (monotonic); None while it reaches it.
    out_of_reach_since: float | None = None
    # Which of its versions are confirmed to be loaded completely.
    confirmed_loads: ConfirmedLoads = field(init=False)
    # What its answers and other entries report about its limit, rest and leaving.
    backpressure: Backpressure = field(init=False)

    def __post_init__(self) -> None:
        self.confirmed_loads = ConfirmedLoads(self.replica.loaded)
        self.backpressure = Backpressure(self.replica.id)

    def report_age(self) -> float:
        """Return the age of the last report in seconds, infinite if there is none."""
        return monotonic() - self.last_report.at if self.last_report is not None else float("inf")

    def is_report_late(self) -> bool:
        """Return whether the next report is overdue; false if there has been none."""
        return self.last_report is not None and self.report_age() > REPORT_LATE_SECONDS

    def is_delivering(self) -> bool:
        """Return whether a recent subscription reached its daemon; true if reports are missing.

        This check only avoids attempts that would fail: for each request to old weights the link
        is proven separately (see `linkproofs`).
        """
        if self.last_report is None or self.is_report_late():
            return True
        return monotonic() - self.last_report.load.subscribed_ms / 1000 < LINK_DELIVERY_SECONDS

    def reported_load(self) -> ReplicaLoad | None:
        """Return the reported load, None if there is no valid report."""
        if self.last_report is None or self.report_age() > REPORT_VALID_SECONDS:
            return None
        return self.last_report.load

    def load(self) -> float:
        """Return its number of requests: this entry's, plus the others' in a valid report."""
        report = self.last_report
        if report is None or self.report_age() > REPORT_VALID_SECONDS:
            return self.in_flight
        others = max(0, report.load.active + report.load.queued - report.own_in_flight)
        return self.in_flight + others

    def has_room(self, reserved: float = 0.0) -> bool:
        """Return whether a slot is free as far as is known; `reserved` is the share to leave free.

        No slot is kept free as a margin: a request that arrives slightly before a slot is free
        waits less at the replica than it would for another attempt.
        """
        now = monotonic()
        if now < self.backoff_until or self._is_limited_outside_subset():
            return False
        if not self.backpressure.accepts_request(self.own_share, now):
            return False
        if reserved and self.load() > (1 - reserved) * self.replica.slots:
            return False
        if not self.replica.loaded and self.last_report is None:
            return self.load() < self.replica.slots  # a plain service: no daemon reports its load
        if self.reported_load() is None:
            # The requests of other entries are unknown, so each entry uses only its own share.
            return self.in_flight < max(1.0, self.replica.slots * self.own_share)
        assert self.last_report is not None
        free_slots = self.replica.slots - self.load()
        # Of the requests sent since the last report, at most those in flight can still be there.
        placed_since = min(self.last_report.own_placed_since, self.in_flight)
        return free_slots > 0 and placed_since < self.last_report.allowance

    def seconds_to_next(self) -> float:
        """Return the seconds until it accepts a request of this entry, 0 if it does now."""
        if self._is_limited_outside_subset():
            return math.inf
        return self.backpressure.seconds_to_next(self.own_share, monotonic())

    def _is_limited_outside_subset(self) -> bool:
        """Return whether a rate limit reserves it for the entries that have it in their subset."""
        return not self.in_subset and self.backpressure.limit.per_second is not None

    def is_usable(self, now: float) -> bool:
        """Return whether it may be in the subset: it has weights, stays and is not excluded."""
        listed = self.replica
        return bool(listed.loaded) and not self.is_leaving() and now >= self.excluded_until

    def record_outcome(self, outcome: Outcome, *, version_required: bool) -> None:
        """Update the state according to the outcome of an attempt.

        `version_required` is true if the request required a certain version, as a resumed stream
        does. A refusal may then be due to the version, so it does not show that another
        incarnation answered.
        """
        match outcome:
            case DidNotRun(withdrawn=True) | MayRun(withdrawn=True):
                return
            case CompleteAnswer(failed=True):
                self.health.note_failure(certain=False)
            case CompleteAnswer() | Streamed():
                self.health.note_success()
            case DidNotRun(elsewhere=True) if not version_required:
                self.replaced_or_unlisted = True
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
        """Record the signals in an answer whose request was sent at `sent_at` (monotonic)."""
        self.backpressure.note_answer(signals, sent_at, self.own_share, monotonic())

    def reserve_slot(self) -> None:
        """Count a request of this entry as in flight there."""
        self.in_flight += 1
        self.backpressure.note_sent(self.own_share, monotonic())
        if self.last_report is not None:
            self.last_report.own_placed_since += 1

    def release_slot(self) -> None:
        """Count a request of this entry as ended."""
        self.in_flight -= 1
        self.backpressure.note_ended()

    def is_reported_reachable(self) -> bool:
        """Return whether its daemon reaches it; true without a valid report."""
        load = self.reported_load()
        return load is None or load.reachable

    def is_reported_leaving(self) -> bool:
        """Return whether its daemon reports that it takes no requests, to load weights."""
        load = self.reported_load()
        return load is not None and load.leaving

    def is_leaving(self) -> bool:
        """Return whether it announced in the list, an answer or a report that it leaves."""
        return self.replica.draining or self.backpressure.leaving

    def is_gone(self) -> bool:
        """Return whether no requests may be sent to this incarnation any more."""
        if self.replaced_or_unlisted or self.lapsed_until is None:
            return self.replaced_or_unlisted
        if monotonic() >= self.lapsed_until:
            return True
        if self.last_report is None:
            return not self.health.answered_within(LAPSED_ANSWERED_SECONDS)
        return self.report_age() > LAPSED_REPORT_SECONDS or not self.last_report.load.reachable

    def record_report(self, load: ReplicaLoad, allowance: int) -> None:
        """Record a load report; `allowance` requests may be sent until the next one."""
        if self.last_report is None or self.last_report.load.reachable != load.reachable:
            self._log_reachable(load)
            self.out_of_reach_since = None if load.reachable else monotonic()
        self.last_report = LoadReport(load, monotonic(), self.in_flight, allowance=allowance)
        self.own_share = 1 / max(1, load.listeners)
        if not load.reachable or self._is_other_incarnation(load):
            return
        if load.ends:
            self.backpressure.leave("daemon")
        if self.confirmed_loads.record_report(load, self.last_report.at):
            logger.info(
                "load judged", extra={"replica": self.replica.id, **self.confirmed_loads.dump()}
            )

    def _log_reachable(self, load: ReplicaLoad) -> None:
        """Log a change of whether its daemon reaches it, with this entry's requests there."""
        fields = {"replica": self.replica.id, "address": load.address, "in_flight": self.in_flight}
        message = "replica reached by its daemon" if load.reachable else "replica out of reach"
        logger.info(message, extra=fields)

    def has_ended(self) -> bool:
        """Return whether it is known to have ended without announcing it."""
        if self.is_leaving():
            return False
        if self.replaced_or_unlisted or self.has_conflicting_incarnations():
            return True
        since = self.out_of_reach_since
        if since is None or self.reported_load() is None:
            return False
        return monotonic() - since >= OUT_OF_REACH_SECONDS

    def has_conflicting_incarnations(self) -> bool:
        """Return whether the list and the last valid report name different incarnations.

        Then it is not known which of the two is the later one, nor whether the replica holds
        weights: a new incarnation starts without any. The list and the daemon agree again within a
        second or two.
        """
        load = self.reported_load()
        return load is not None and self._is_other_incarnation(load)

    def _is_other_incarnation(self, load: ReplicaLoad) -> bool:
        reported = Incarnation(self.replica.id, load.started_ms)
        return reported.differs_from(self.replica.incarnation)

    def is_unavailable(self) -> bool:
        """Return whether it must get no requests: it leaves, has ended, loads or restarted."""
        if self.is_leaving() or self.is_gone() or self.is_reported_leaving():
            return True
        return self.has_conflicting_incarnations()

    def is_responsive(self) -> bool:
        """Return whether it and its daemon answer, as far as this entry knows."""
        return (
            self.is_reported_reachable()
            and not self.is_report_late()
            and not self.health.is_ejected()
        )

    def version_of(self, model: str) -> int | None:
        """Return the version of a model that it may serve, None if there is none."""
        held = self.held_version(model)
        return held if held is not None and self.confirmed_loads.may_serve(model, held) else None

    def unserved_loads(self) -> list[tuple[LoadedModel, LoadStatus]]:
        """Return the versions that it holds but may not serve, with the status of their loads."""
        report = self.reported_load()
        models = {m.model for m in self.replica.loaded} | set(report.versions if report else ())
        held = (LoadedModel(model, self.held_version(model) or 0) for model in sorted(models))
        loads = self.confirmed_loads
        return [(m, loads.status_of(m)) for m in held if not loads.may_serve(m.model, m.version)]

    def version_to_expect(self, model: str) -> int | None:
        """Return the version that a request must require explicitly, None if it need not do so.

        This is needed while reports are late: the entry then does not learn whether the replica
        loads another version, nor whether that load is complete.
        """
        return self.version_of(model) if self.is_report_late() else None

    def held_version(self, model: str) -> int | None:
        """Return the version of a model that it holds, even if it may not serve it."""
        listed = next((m.version for m in self.replica.loaded if m.model == model), None)
        load = self.reported_load()
        reported = load.versions.get(model) if load is not None else None
        if listed is None or reported is None:
            return reported if listed is None else listed
        return max(listed, reported)


def draw_allowance(listeners: int) -> int:
    """Return how many requests one of `listeners` entries may send until the next load report.

    All entries see the same free slots. A replica processes prompts one after the other, so most
    requests would wait if many entries sent to the same free slot at once. If there are more
    entries than requests allowed, each entry may send one with the proportional probability.

    >>> draw_allowance(1), draw_allowance(5)
    (6, 1)
    """
    part = MAX_PLACED_BETWEEN_REPORTS / max(1, listeners)
    return int(part) if part >= 1 else int(random.random() < part)
