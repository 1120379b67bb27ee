"""Finds out whether loads that an entry knows nothing about were intact.

An entry that has just started, was cut off, or does not subscribe to a replica's daemon may hold
nothing that vouches for the weights of that replica, which then gets no requests. Its daemon
usually says so soon. Until it does, the entry asks other entries, and a replica whose daemon it
does not hear whether it has accepted an order at all.
"""

import logging
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure
from headcross_base.monotonic import monotonic
from headcross_base.supervision import run_guarded
from headcross_facts.loadevidence import LoadStatus
from headcross_gateway.directory import Directory
from headcross_gateway.loadnews import MAX_REPLICAS, unknown_loads
from headcross_gateway.replicastate import ReplicaState
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaReports
from headcross_wire.peermessages import AskLoads
from headcross_wire.peernode import PeerNode

CHECK_SECONDS: Final = 0.15
# In a larger fleet, checks are less frequent in proportion, so that they take no more time in all.
REPLICAS_PER_CHECK: Final = 64
# The daemon of a replica gets this long to report its load before others are asked.
DAEMON_SECONDS: Final = 0.25
# Interval between two questions about the same load: it doubles up to the longest one.
FIRST_INTERVAL_SECONDS: Final = 0.4
MAX_INTERVAL_SECONDS: Final = 4.0
# Number of other entries that are asked at a time.
ENTRIES_ASKED: Final = 3

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _OpenLoad:
    """Weights of one replica that may not take requests."""

    loads: list[tuple[LoadedModel, LoadStatus]]
    since: float
    ask_at: float
    interval: float = FIRST_INTERVAL_SECONDS
    # Whether the replica has answered that it accepted orders, so that only others can tell.
    had_orders: bool = False
    is_logged: bool = False


class LoadInquiry:
    """Asks about the loads of one entry's replicas until they are known.

    `entries` returns the other known entries; `notify` is called with each replica that may take
    requests now.
    """

    def __init__(
        self,
        node: PeerNode,
        directory: Directory,
        reports: ReplicaReports,
        *,
        entries: Callable[[], list[Address]],
        notify: Callable[[ReplicaState], None],
    ) -> None:
        self._node = node
        self._directory = directory
        self._reports = reports
        self._entries = entries
        self._notify = notify
        self._open: dict[str, _OpenLoad] = {}  # by replica id

    async def run(self) -> None:
        """Ask at short intervals until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                replicas = len(self._directory.replicas_with_daemons())
                await trio.sleep(CHECK_SECONDS * max(1.0, replicas / REPLICAS_PER_CHECK))
                kept = self._directory.kept_from_service()
                self._update(kept, monotonic())
                self._ask(kept, nursery, monotonic())

    def count_kept(self) -> Counter[LoadStatus]:
        """Return how many replicas are kept from service, by the status of their loads."""
        counts = Counter({LoadStatus.UNCONFIRMED: 0, LoadStatus.SUSPECT: 0})
        for open_load in self._open.values():
            counts[_worst(open_load)] += 1
        return counts

    def _update(self, states: list[ReplicaState], now: float) -> None:
        """Note since when replicas are kept from service, and log changes."""
        kept = {state.replica.id: state for state in states}
        for replica_id in set(self._open) - set(kept):
            ended = self._open.pop(replica_id)
            if ended.is_logged:
                fields = {"replica": replica_id, "seconds": round(now - ended.since, 3)}
                logger.info("replica not kept from service any more", extra=fields)
        for replica_id, state in kept.items():
            loads = state.unserved_loads()
            known = self._open.get(replica_id)
            if known is None or known.loads != loads:
                opened = self._open[replica_id] = _OpenLoad(loads, now, now + DAEMON_SECONDS)
                if _worst(opened) is LoadStatus.SUSPECT:
                    _log_kept(state, opened, now)

    def _ask(self, kept: list[ReplicaState], nursery: trio.Nursery, now: float) -> None:
        """Ask about the loads that are still unknown after the time for their daemons' reports."""
        asked: list[str] = []
        for state in unknown_loads(kept):
            open_load = self._open.get(state.replica.id)
            if open_load is None or now < open_load.ask_at:
                continue
            _log_kept(state, open_load, now)
            open_load.ask_at = now + open_load.interval
            open_load.interval = min(2 * open_load.interval, MAX_INTERVAL_SECONDS)
            asked.append(state.replica.id)
            if state.in_subset and state.reported_load() is None and not open_load.had_orders:
                ask = partial(self._ask_replica, state, open_load)
                nursery.start_soon(run_guarded, "ask replica for its load", ask)
        if asked and self._node.is_running:
            entries = self._entries()
            for address in random.sample(entries, min(ENTRIES_ASKED, len(entries))):
                self._node.send(address, AskLoads(asked[:MAX_REPLICAS]))

    async def _ask_replica(self, state: ReplicaState, open_load: _OpenLoad) -> None:
        """Ask a replica whether it has accepted an order in this incarnation."""
        outcome = await self._reports.read(state.replica.address)
        if isinstance(outcome, Failure):
            logger.info("replica not asked", extra={"reason": outcome.detail})
            return
        report = outcome.value
        open_load.had_orders = report.order_sequence > 0
        if state.confirmed_loads.record_replica_report(report):
            fields = {"replica": state.replica.id, **state.confirmed_loads.dump()}
            logger.info("load judged", extra={**fields, "source": "replica"})
            self._notify(state)


def _worst(open_load: _OpenLoad) -> LoadStatus:
    statuses = {status for _, status in open_load.loads}
    return LoadStatus.SUSPECT if LoadStatus.SUSPECT in statuses else LoadStatus.UNCONFIRMED


def _log_kept(state: ReplicaState, open_load: _OpenLoad, now: float) -> None:
    open_load.is_logged = True
    fields = {
        "replica": state.replica.id,
        "loads": {f"{m.model}@{m.version}": status.value for m, status in open_load.loads},
        "seconds": round(now - open_load.since, 3),
        "report_age": round(min(state.report_age(), 1e9), 3),
    }
    logger.warning("replica kept from service", extra=fields)
