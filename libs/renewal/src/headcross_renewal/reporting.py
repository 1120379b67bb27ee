"""Reads the state of this daemon's replica periodically and sends it to subscribed listeners."""

import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import msgspec
import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure
from headcross_base.monotonic import monotonic
from headcross_facts.loadevidence import LoadStatus
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaControl, ReplicaReport
from headcross_wire.peermessages import LoadVerdict, NamedVersionNews, ReplicaLoad
from headcross_wire.peernode import Reply

from headcross_renewal.confirmation import Confirmation
from headcross_renewal.loadkey import LoadKey

READ_INTERVAL_SECONDS: Final = 0.15
# Listeners notified at every reading. With more, each is notified at every second or third one, so
# that a daemon sends the same number of messages per second in a fleet of any size.
LISTENERS_PER_READING: Final = 8
# How often the state of a replica that stays idle is sent, so that it does not become overdue at
# listeners.
IDLE_NOTIFY_SECONDS: Final = 0.45
# A listener that has not renewed its subscription for this long is dropped.
LISTENER_TIMEOUT_SECONDS: Final = 4.0

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Listener:
    reply: Reply
    subscribed_at: float
    notified_at: float
    subscribed_ms: int  # by the listener's clock, when it sent its newest subscription


class Reporter:
    """Reads the state of one replica and notifies listeners."""

    # The last report; None while the replica does not answer.
    report: ReplicaReport | None
    # Whether the replica has answered at least once.
    answered: bool
    # Set by the renewer before it sends an order, so that entries divert requests in time.
    diverting: bool
    # Whether the replica announced that it shuts down. Stays set for the rest of its incarnation.
    shutting_down: bool
    # Whether the replica's loaded weights are known to be intact.
    confirmation: Confirmation

    def __init__(
        self,
        address: Address,
        replica: ReplicaControl,
        recent_version_news: Callable[[], list[NamedVersionNews]] = list,
    ) -> None:
        self.report = None
        self.answered = False
        self.diverting = False
        self.shutting_down = False
        self.confirmation = Confirmation()
        self._address = address
        self._replica = replica
        self._recent_version_news = recent_version_news
        self._listeners: dict[str, _Listener] = {}
        self._sequence = 0
        self._incarnation_ms: int | None = None  # `started_ms` of the last report
        self._notified_at = float("-inf")
        self._changed = trio.Event()
        # Reports are read one at a time, so that none overwrites the state of a later one.
        self._reading = trio.Lock()

    async def run(self) -> None:
        """Read the state and notify listeners until cancelled."""
        while True:
            await self.refresh()
            await trio.sleep(READ_INTERVAL_SECONDS)

    async def refresh(self) -> ReplicaReport | None:
        """Read the state now and notify listeners; return the report, None if it failed."""
        status_before = self.confirmation.status
        async with self._reading:
            asked_at = monotonic()
            outcome = await self._replica.report()
            if not isinstance(outcome, Failure):
                self.confirmation.observe(outcome.value, asked_at)
        before = self.report
        if isinstance(outcome, Failure):
            self.report = None
            if before is not None:
                logger.warning("replica lost", extra={"reason": outcome.detail})
        else:
            self.report = outcome.value
            self._note_incarnation(outcome.value)
            self.answered = True
            if before is None:
                logger.info("replica regained", extra=self._describe(outcome.value))
            elif before.started_ms != outcome.value.started_ms:
                logger.warning("replica started again", extra=self._describe(outcome.value))
            elif before.order_sequence != outcome.value.order_sequence:
                fields = {**self._describe(outcome.value), "orders_before": before.order_sequence}
                logger.info("orders counted", extra=fields)
        changed = _state_key(before) != _state_key(self.report)
        if changed:
            self._changed.set()
            self._changed = trio.Event()
        stays_idle = _is_idle(before) and _is_idle(self.report)
        if changed or self.confirmation.status is not status_before:
            self.notify_listeners()
        elif not stays_idle or self._notified_long_ago():
            self._notify_in_turn()
        return self.report

    def receive_shutdown_notice(self, started_ms: int | None) -> None:
        """Process an entry's notice that an incarnation of the replica shuts down."""
        if self.report is not None and self.report.started_ms == started_ms:
            self._note_shutdown("entry")

    def receive_verdicts(self, verdicts: Iterable[LoadVerdict], listed_ids: set[str]) -> None:
        """Record what another process knows about loads of this replica.

        `listed_ids` are the ids under which replicas are listed at this replica's address. If a
        replica reports no start time, only its id tells one incarnation from the next.
        """
        for verdict in verdicts:
            is_current = verdict.started_ms is not None or listed_ids == {verdict.replica}
            # Without the number of orders, the load cannot be told from another one.
            if is_current and verdict.orders is not None:
                status = LoadStatus.CONFIRMED if verdict.intact else LoadStatus.SUSPECT
                key = LoadKey(verdict.started_ms, verdict.orders)
                loaded = LoadedModel(verdict.model, verdict.version)
                self.confirmation.record_told(key, loaded, status)

    def _note_incarnation(self, report: ReplicaReport) -> None:
        """Track whether the replica shuts down or a new incarnation of it has started."""
        if report.started_ms != self._incarnation_ms:
            self._incarnation_ms = report.started_ms
            self.shutting_down = False
        if report.leaving:
            self._note_shutdown("report")

    def _note_shutdown(self, source: str) -> None:
        if not self.shutting_down:
            self.shutting_down = True
            logger.info("replica leaves", extra={"source": source})
            self.notify_listeners()

    def holds(self, goal: LoadedModel) -> bool:
        """Return whether the replica has loaded a version or a newer one."""
        return self.report is not None and any(
            loaded.model == goal.model and loaded.version >= goal.version
            for loaded in self.report.loaded
        )

    async def wait_change(self) -> None:
        """Wait until a load starts or ends, or the replica restarts, appears or disappears."""
        await self._changed.wait()

    def add_listener(
        self, host: str, reply: Reply, subscribed_ms: int = 0, *, needs_state: bool = False
    ) -> None:
        """Send the state to a process from now on, until its subscription times out.

        `subscribed_ms` is echoed, so that the process can measure how long its messages take. With
        `needs_state` the process has none yet and gets it at once, even if an earlier process of
        its host is subscribed.
        """
        now = monotonic()
        known = self._listeners.get(host)
        if known is not None and not needs_state:
            known.reply, known.subscribed_at = reply, now
            known.subscribed_ms = subscribed_ms
            return
        logger.info("listener", extra={"listener": host})
        listener = _Listener(reply, now, now, subscribed_ms)
        self._listeners[host] = listener
        reply(_addressed_to(listener, self._message()), None)

    def divert_requests(self) -> None:
        """Have entries send requests to other replicas."""
        if not self.diverting:
            self.diverting = True
            self.notify_listeners()

    def accept_requests(self) -> None:
        """Have entries send requests to this replica again."""
        if self.diverting:
            self.diverting = False
            self.notify_listeners()

    def notify_listeners(self) -> None:
        """Send the state to all listeners immediately."""
        self._notify(0.0)

    def _notify_in_turn(self) -> None:
        """Notify the listeners notified longest ago, or all of them if they are few."""
        rounds = math.ceil(len(self._listeners) / LISTENERS_PER_READING)
        self._notify((rounds - 0.5) * READ_INTERVAL_SECONDS)

    def _notify(self, least_age: float) -> None:
        """Notify all listeners last notified at least `least_age` seconds ago."""
        now = monotonic()
        self._notified_at = now
        message = self._message()
        for host, listener in list(self._listeners.items()):
            if listener.subscribed_at < now - LISTENER_TIMEOUT_SECONDS:
                del self._listeners[host]
            elif now - listener.notified_at >= least_age:
                listener.notified_at = now
                listener.reply(_addressed_to(listener, message), None)

    def _notified_long_ago(self) -> bool:
        return monotonic() - self._notified_at > IDLE_NOTIFY_SECONDS - READ_INTERVAL_SECONDS

    def _message(self) -> ReplicaLoad:
        self._sequence += 1
        report = self.report
        if report is None:
            return ReplicaLoad(
                str(self._address),
                self._sequence,
                False,
                self.diverting,
                {},
                0,
                0,
                0.0,
                1.0,
                len(self._listeners),
                self._recent_version_news(),
            )
        total = max(1, report.memory_total)
        return ReplicaLoad(
            address=str(self._address),
            sequence=self._sequence,
            reachable=True,
            leaving=self.diverting or self.shutting_down or report.busy_loading,
            versions={loaded.model: loaded.version for loaded in report.loaded},
            active=report.active,
            queued=report.queued,
            memory_share=report.memory_used / total,
            pace=report.pace,
            listeners=len(self._listeners),
            named=self._recent_version_news(),
            started_ms=report.started_ms,
            confirmed=self.confirmation.confirmed(report),
            suspect=self.confirmation.suspect(report),
            ends=self.shutting_down,
            orders=report.order_sequence,
        )

    @staticmethod
    def _describe(report: ReplicaReport) -> dict[str, object]:
        return {
            "loaded": {loaded.model: loaded.version for loaded in report.loaded},
            "busy": report.busy_loading,
            "orders": report.order_sequence,
            "started_ms": report.started_ms,
        }


def _addressed_to(listener: _Listener, message: ReplicaLoad) -> ReplicaLoad:
    return msgspec.structs.replace(message, subscribed_ms=listener.subscribed_ms)


def _is_idle(report: ReplicaReport | None) -> bool:
    """Return whether a replica is known to have nothing to do."""
    return report is not None and not (report.active or report.queued or report.busy_loading)


def _state_key(report: ReplicaReport | None) -> object:
    if report is None:
        return None
    return report.loaded, report.busy_loading, report.order_sequence, report.started_ms
