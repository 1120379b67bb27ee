"""The state of the replica beside this daemon, read often and told to those who listen."""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec
import trio
from headcross_base.addresses import Address
from headcross_base.clocks import monotonic
from headcross_base.errors import Failure
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaControl, ReplicaReport
from headcross_wire.peermessages import NamedVersionNews, ReplicaLoad
from headcross_wire.peernode import Reply

from headcross_renewal.confirmation import Confirmation

READ_SECONDS: Final = 0.15
# Listeners that are told at every reading. With more, each is told at every second or third one,
# so that a daemon sends the same number of messages a second in a fleet of any size.
LISTENERS_AT_ONCE: Final = 8
# The state of a replica that stays idle is told this often; it must not look late.
IDLE_TELL_SECONDS: Final = 0.45
# A listener that did not ask again for so long is told nothing more.
LISTENER_SECONDS: Final = 4.0

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Listener:
    reply: Reply
    asked_at: float
    told_at: float
    subscribed_ms: int  # by the listener's own clock, when it sent its newest subscription


class Reporter:
    """Reads and tells the state of one replica."""

    # The last report; None while the replica does not answer.
    report: ReplicaReport | None
    # Whether the replica has answered at least once.
    answered: bool
    # Set by the renewer before it gives an order, so that requests go elsewhere in time.
    leaving: bool
    # Whether the replica said that it leaves. That holds for the rest of its life.
    ends: bool
    # Whether the load that the replica holds is known to be whole.
    confirmation: Confirmation

    def __init__(
        self,
        address: Address,
        replica: ReplicaControl,
        named: Callable[[], list[NamedVersionNews]] = list,
    ) -> None:
        self.report = None
        self.answered = False
        self.leaving = False
        self.ends = False
        self.confirmation = Confirmation()
        self._address = address
        self._replica = replica
        self._named = named
        self._listeners: dict[str, _Listener] = {}
        self._sequence = 0
        self._life: int | None = None  # when it began, as `started_ms` of the reports
        self._told_at = float("-inf")
        self._changed = trio.Event()
        # Reports are read one after the other: none undoes what a later one has told.
        self._reading = trio.Lock()

    async def run(self) -> None:
        """Read and tell until cancelled."""
        while True:
            await self.refresh()
            await trio.sleep(READ_SECONDS)

    async def refresh(self) -> ReplicaReport | None:
        """Read the state now and tell it."""
        async with self._reading:
            asked_at = monotonic()
            outcome = await self._replica.report()
            if not isinstance(outcome, Failure):
                self.confirmation.see(outcome.value, asked_at)
        before = self.report
        if isinstance(outcome, Failure):
            self.report = None
            if before is not None:
                logger.warning("replica lost", extra={"reason": outcome.detail})
        else:
            self.report = outcome.value
            self._note_life(outcome.value)
            self.answered = True
            if before is None:
                logger.info("replica regained", extra=self._describe(outcome.value))
            elif before.started_ms != outcome.value.started_ms:
                logger.warning("replica started again", extra=self._describe(outcome.value))
            elif before.order_sequence != outcome.value.order_sequence:
                fields = {**self._describe(outcome.value), "orders_before": before.order_sequence}
                logger.info("orders counted", extra=fields)
        changed = _essence(before) != _essence(self.report)
        if changed:
            self._changed.set()
            self._changed = trio.Event()
        stays_idle = _is_idle(before) and _is_idle(self.report)
        if changed:
            self.tell()
        elif not stays_idle or self._told_long_ago():
            self._tell_in_turn()
        return self.report

    def receive_leaving(self, started_ms: int | None) -> None:
        """Learn from an entry that a life of the replica leaves."""
        if self.report is not None and self.report.started_ms == started_ms:
            self._end("entry")

    def _note_life(self, report: ReplicaReport) -> None:
        """Note whether the replica leaves, or another life of it has begun."""
        if report.started_ms != self._life:
            self._life = report.started_ms
            self.ends = False
        if report.leaving:
            self._end("report")

    def _end(self, source: str) -> None:
        if not self.ends:
            self.ends = True
            logger.info("replica leaves", extra={"source": source})
            self.tell()

    def holds(self, goal: LoadedModel) -> bool:
        """Tell whether the replica serves a version, or a newer one."""
        return self.report is not None and any(
            loaded.model == goal.model and loaded.version >= goal.version
            for loaded in self.report.loaded
        )

    async def wait_change(self) -> None:
        """Wait until the replica loads, or has loaded, something else, or comes or goes."""
        await self._changed.wait()

    def listen(self, host: str, reply: Reply, subscribed_ms: int = 0) -> None:
        """Tell a process the state from now on, for some seconds.

        `subscribed_ms` is told back: it shows the process how long its messages take to come.
        """
        now = monotonic()
        known = self._listeners.get(host)
        if known is not None:
            known.reply, known.asked_at = reply, now
            known.subscribed_ms = subscribed_ms
            return
        logger.info("listener", extra={"listener": host})
        listener = _Listener(reply, now, now, subscribed_ms)
        self._listeners[host] = listener
        reply(_told_to(listener, self._message()), None)

    def leave(self) -> None:
        """Have requests sent elsewhere."""
        if not self.leaving:
            self.leaving = True
            self.tell()

    def stay(self) -> None:
        """Have requests sent here again."""
        if self.leaving:
            self.leaving = False
            self.tell()

    def tell(self) -> None:
        """Tell all who listen, at once."""
        self._tell(0.0)

    def _tell_in_turn(self) -> None:
        """Tell those who were told longest ago, all of them if they are few."""
        rounds = math.ceil(len(self._listeners) / LISTENERS_AT_ONCE)
        self._tell((rounds - 0.5) * READ_SECONDS)

    def _tell(self, least_age: float) -> None:
        """Tell all who were last told so long ago."""
        now = monotonic()
        self._told_at = now
        message = self._message()
        for host, listener in list(self._listeners.items()):
            if listener.asked_at < now - LISTENER_SECONDS:
                del self._listeners[host]
            elif now - listener.told_at >= least_age:
                listener.told_at = now
                listener.reply(_told_to(listener, message), None)

    def _told_long_ago(self) -> bool:
        return monotonic() - self._told_at > IDLE_TELL_SECONDS - READ_SECONDS

    def _message(self) -> ReplicaLoad:
        self._sequence += 1
        report = self.report
        if report is None:
            return ReplicaLoad(
                str(self._address),
                self._sequence,
                False,
                self.leaving,
                {},
                0,
                0,
                0.0,
                1.0,
                len(self._listeners),
                self._named(),
            )
        total = max(1, report.memory_total)
        return ReplicaLoad(
            address=str(self._address),
            sequence=self._sequence,
            reachable=True,
            leaving=self.leaving or self.ends or report.busy_loading,
            versions={loaded.model: loaded.version for loaded in report.loaded},
            active=report.active,
            queued=report.queued,
            memory_share=report.memory_used / total,
            pace=report.pace,
            listeners=len(self._listeners),
            named=self._named(),
            started_ms=report.started_ms,
            confirmed=self.confirmation.confirmed(report),
            suspect=self.confirmation.suspect(report),
            ends=self.ends,
        )

    @staticmethod
    def _describe(report: ReplicaReport) -> dict[str, object]:
        return {
            "loaded": {loaded.model: loaded.version for loaded in report.loaded},
            "busy": report.busy_loading,
            "orders": report.order_sequence,
            "started_ms": report.started_ms,
        }


def _told_to(listener: _Listener, message: ReplicaLoad) -> ReplicaLoad:
    return msgspec.structs.replace(message, subscribed_ms=listener.subscribed_ms)


def _is_idle(report: ReplicaReport | None) -> bool:
    """Tell whether a replica is known to have nothing to do."""
    return report is not None and not (report.active or report.queued or report.busy_loading)


def _essence(report: ReplicaReport | None) -> object:
    if report is None:
        return None
    return report.loaded, report.busy_loading, report.order_sequence, report.started_ms
