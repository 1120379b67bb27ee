"""Orders one replica to load the staged version and tracks each order until its outcome is known.

The steps are: open a connection to the replica's current incarnation, read back and verify all
chunks, read the replica's state, and send the order over that connection. An order without an
answer is repeated, each time after another read-back, until the replica has accepted one or can no
longer accept any. Until then the staged chunks stay intact and of that version, whichever version
is named meanwhile (see `indoubt`).
"""

import logging
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.errors import Failure
from headcross_base.monotonic import monotonic
from headcross_facts.facts import Facts
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import OrderLine, OrderRefused, ReplicaControl, ReplicaReport
from headcross_weights.chunkstore import StoredArtifact

from headcross_renewal.indoubt import (
    BAD_CHUNK_SECONDS,
    READ_BACK_VALID_SECONDS,
    InDoubtCalls,
    SentOrder,
)
from headcross_renewal.polling import POLL_INTERVAL_SECONDS, poll_until
from headcross_renewal.reporting import Reporter
from headcross_renewal.staging import Staging
from headcross_renewal.weightsname import weights_name

# Entries are asked to divert requests this long before the order is sent.
DIVERT_NOTICE_SECONDS: Final = 0.04
RETRY_SECONDS: Final = 0.3

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Load:
    """A staged version that is to be loaded."""

    goal: LoadedModel
    staging: Staging
    stored: StoredArtifact
    break_off: bool  # whether running requests are interrupted


class Orders:
    """Sends one replica's orders and repeats those without an answer."""

    # Numbers of orders sent, and of those that were refused.
    issued: int
    refused: int
    in_doubt: InDoubtCalls

    def __init__(
        self, replica_address: str, facts: Facts, replica: ReplicaControl, reporter: Reporter
    ) -> None:
        self.issued = 0
        self.refused = 0
        self.in_doubt = InDoubtCalls(monotonic())
        self._address = replica_address
        self._facts = facts
        self._replica = replica
        self._reporter = reporter
        # The last load whose order got no answer; the event is set when there is a new one.
        self._unanswered_load: Load | None = None
        self._order_unanswered = trio.Event()

    def is_in_doubt(self, goal: LoadedModel) -> bool:
        """Return whether an order to load this version is in doubt."""
        order = self.in_doubt.order
        return order is not None and order.goal == goal

    async def wait_may_stage(self, goal: LoadedModel) -> None:
        """Wait until chunks of a version may be staged at the replica."""
        await poll_until(lambda: self._may_stage(goal, monotonic()))

    async def wait_may_order(self, goal: LoadedModel) -> None:
        """Wait until no put of another version's chunks can take effect any more."""
        await poll_until(lambda: self._may_order(goal, monotonic()))

    def _may_stage(self, goal: LoadedModel, now: float) -> bool:
        # The staged chunks may still be needed to verify the previous load.
        if self._reporter.confirmation.blocks_other_versions(now):
            return False
        return self.in_doubt.may_stage(goal, self._reporter.report, now)

    def _may_order(self, goal: LoadedModel, now: float) -> bool:
        if not self.in_doubt.may_order(goal, now):
            return False
        report = self._reporter.report
        loaded = report.loaded if report is not None else ()
        held = max((m.version for m in loaded if m.model == goal.model), default=0)
        notices = self._facts.versions.get(goal.model, [])
        return not self.in_doubt.earlier_put_may_land(goal, held, notices, now)

    async def issue(self, load: Load) -> bool:
        """Order a load; return whether the replica has accepted the order."""
        line = await self._replica.open_line()
        if isinstance(line, Failure):
            logger.info("no line for an order", extra={"reason": line.detail})
            await trio.sleep(RETRY_SECONDS)
            return False
        try:
            return await self._issue_on_line(line.value, load)
        finally:
            await line.value.close()

    async def settle(self) -> None:
        """Repeat each unanswered order until no repeat can be accepted; run until cancelled."""
        while True:
            await self._order_unanswered.wait()
            load = self._unanswered_load
            assert load is not None
            began = monotonic()
            while not self._is_settled(load.goal):
                await self.issue(load)
            fields = {"goal": weights_name(load.goal), "seconds": round(monotonic() - began, 3)}
            logger.info("order settled", extra=fields)
            if self._unanswered_load is load:
                self._order_unanswered = trio.Event()
            self._reporter.accept_requests()

    def accept_requests(self) -> None:
        """Accept requests again, unless an order in doubt may start a load at any moment."""
        if self.in_doubt.order is None:
            self._reporter.accept_requests()

    def _is_settled(self, goal: LoadedModel) -> bool:
        report = self._reporter.report
        if report is not None:
            self.in_doubt.observe(report)
        if self._reporter.holds(goal):
            self.in_doubt.settle()  # a repeat would have no effect
        return self.in_doubt.order is None

    async def _issue_on_line(self, line: OrderLine, load: Load) -> bool:
        read_at = await self._read_back(load)
        if read_at is None:
            return False
        self._reporter.divert_requests()
        report = await self._reporter.refresh()
        if report is None or report.busy_loading or self._reporter.holds(load.goal):
            await trio.sleep(POLL_INTERVAL_SECONDS)
            return False
        if self.in_doubt.observe(report):
            return False  # the order is settled and needs no repeat
        if self._is_overwritten():
            logger.warning("entry names no replica, order withheld", extra={"to": self._address})
            await trio.sleep(RETRY_SECONDS)
            return False
        if report.loaded:
            await trio.sleep(DIVERT_NOTICE_SECONDS)
        age = monotonic() - read_at
        if age > READ_BACK_VALID_SECONDS:
            # This process or the replica was stopped or is slow; chunks may have turned bad since.
            fields = {"goal": weights_name(load.goal), "read_back_age": round(age, 3)}
            logger.warning("order withheld", extra=fields)
            return False
        return await self._send(line, load, report, read_at)

    async def _send(
        self, line: OrderLine, load: Load, report: ReplicaReport, read_at: float
    ) -> bool:
        """Send the order; return whether it was accepted."""
        self.issued += 1
        goal = load.goal
        sent_at = monotonic()
        order = SentOrder(goal, report.order_sequence, report.started_ms)
        self.in_doubt.record_sent(order, sent_at)
        outcome = await line.start(goal.model, goal.version, report, break_off=load.break_off)
        fields = {
            "goal": weights_name(goal),
            "sequence": report.order_sequence,
            "break_off": load.break_off,
            "running": report.active,
            "read_back_age": round(sent_at - read_at, 3),
            "answer_seconds": round(monotonic() - sent_at, 3),
        }
        if isinstance(outcome, Failure):
            logger.warning("order without an answer", extra={**fields, "reason": outcome.detail})
            self._unanswered_load = load
            self._order_unanswered.set()
            return False
        if isinstance(outcome.value, OrderRefused):
            self.refused += 1
            self.in_doubt.record_refused(monotonic())
            logger.warning("order refused", extra={**fields, "reason": outcome.value.detail})
            await trio.sleep(RETRY_SECONDS)
            return False
        self.in_doubt.settle()
        if not outcome.value.done and self._shows_intact_load(read_at, sent_at):
            self._reporter.confirmation.record_accepted_order(goal, report)
            self._reporter.notify_listeners()
        logger.info("order taken", extra={**fields, "done": outcome.value.done})
        return True

    def _shows_intact_load(self, read_at: float, sent_at: float) -> bool:
        """Return whether an order whose answer has just arrived loaded what was read back.

        The replica may have accepted it at any time until now, for example as a frozen host woke.
        """
        if monotonic() - read_at >= BAD_CHUNK_SECONDS:
            return False
        return self.in_doubt.earlier_puts_expired(sent_at)

    def _is_overwritten(self) -> bool:
        """Return whether another writer has overwritten the list entry of this replica."""
        overwritten = self._facts.overwritten.values()
        return any(str(replica.address) == self._address for replica in overwritten)

    async def _read_back(self, load: Load) -> float | None:
        """Read back all chunks until none is bad; return when the last pass began (monotonic).

        Returns None once a load has begun: bad chunks are then not replaced any more.
        """
        while True:
            began = monotonic()
            intact = await load.staging.verify(load.stored)
            seconds = round(monotonic() - began, 3)
            fields = {"goal": weights_name(load.goal), "whole": intact, "seconds": seconds}
            logger.info("chunks read back", extra=fields)
            if intact:
                return began
            report = self._reporter.report
            if report is not None and (report.busy_loading or self._reporter.holds(load.goal)):
                return None
            await trio.sleep(POLL_INTERVAL_SECONDS)
