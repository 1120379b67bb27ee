"""Decides when a replica loads a staged version and drains its requests before that.

The steps are: wait for the replica's turn, drain its requests briefly, send the order (see
`orders`), and wait for the load.
"""

import logging
from typing import Final

import trio
from headcross_base.monotonic import monotonic
from headcross_facts.facts import Facts
from headcross_ports.published import LoadedModel, Replica
from headcross_weights.chunkstore import StoredArtifact

from headcross_renewal.mirrors import has_loaded
from headcross_renewal.orders import Load, Orders
from headcross_renewal.polling import poll_until
from headcross_renewal.reporting import Reporter
from headcross_renewal.staging import Staging
from headcross_renewal.turns import earlier_groups, group_of, latest_start
from headcross_renewal.versionchoice import SEND_MARGIN_SECONDS, serves_until
from headcross_renewal.weightsname import weights_name

TURN_CHECK_SECONDS: Final = 0.05
# The last group's latest start after this process's start, for a version named before it.
LAST_TURN_AT_START_SECONDS: Final = 2.0
# Streams are interrupted only if at least this share of the replicas still serves their version
# and loads later.
MIN_LATER_SHARE: Final = 0.2
# Requests are diverted for at most this long before an order that interrupts the running ones.
DRAIN_SECONDS: Final = 0.4
DRAIN_CHECK_SECONDS: Final = 0.03
# The first group diverts requests once it has fetched this share of the version.
DRAIN_PROGRESS: Final = 0.9
# If the rest of the transfer takes longer than this, the replica accepts requests again.
DRAIN_AHEAD_SECONDS: Final = 1.2
# With fewer serving replicas than this, none is drained ahead of its load.
MIN_REPLICAS_TO_DRAIN_AHEAD: Final = 3
LOADING_CHECK_SECONDS: Final = 0.05
# Time limit for a load to finish before the renewer chooses the goal again.
LOAD_WAIT_SECONDS: Final = 6.0

logger = logging.getLogger(__name__)


class Loading:
    """Schedules and performs the loads of one replica."""

    def __init__(
        self,
        replica_address: str,
        service: str,
        facts: Facts,
        reporter: Reporter,
        orders: Orders,
        bound_seconds: float,
    ) -> None:
        self._address = replica_address
        self._service = service
        self._facts = facts
        self._reporter = reporter
        self._orders = orders
        self._bound = bound_seconds

    def service_replicas(self) -> list[Replica]:
        """Return the listed replicas of the service, including this daemon's."""
        return [r for r in self._facts.replicas.values() if r.service == self._service]

    def serves_until(self, model: str, version: int) -> float:
        """Return until when (monotonic) a version gets requests, given the known notices."""
        return serves_until(version, self._facts.versions.get(model, []), self._bound)

    async def drain_ahead(self, goal: LoadedModel, stored: StoredArtifact) -> None:
        """Divert requests shortly before the transfer ends if this replica's group loads first.

        Accepts requests again if the transfer takes longer than `DRAIN_AHEAD_SECONDS` from then.
        """
        await poll_until(lambda: stored.progress >= DRAIN_PROGRESS)
        report = self._reporter.report
        replicas = self.service_replicas()
        may_drain = (
            sum(bool(replica.loaded) for replica in replicas) >= MIN_REPLICAS_TO_DRAIN_AHEAD
        )
        if report is None or not report.loaded or not may_drain:
            return
        if group_of(self._address, goal, replicas) != 0:
            return
        self._reporter.divert_requests()
        await trio.sleep(DRAIN_AHEAD_SECONDS)
        self._orders.accept_requests()

    async def wait_turn(self, goal: LoadedModel) -> None:
        """Wait until it is this replica's turn to load."""
        while self._reporter.report is None:
            await self._reporter.wait_change()
        if not self._reporter.report.loaded:
            return  # it gets no requests without loaded weights
        while True:
            replicas = self.service_replicas()
            group = group_of(self._address, goal, replicas)
            if group is None or monotonic() >= latest_start(group, self._last_group_start(goal)):
                return
            earlier = earlier_groups(group, goal, replicas)
            if all(has_loaded(r, goal) for r in replicas if str(r.address) in earlier):
                return
            await trio.sleep(TURN_CHECK_SECONDS)

    async def load(self, goal: LoadedModel, staging: Staging, stored: StoredArtifact) -> None:
        """Order the replica to load the staged version, and wait until it has."""
        break_off = self._may_interrupt_streams(goal)
        if break_off:
            await self._drain(goal)
        try:
            if await self._orders.issue(Load(goal, staging, stored, break_off)):
                await self._wait_loaded(goal)
        finally:
            self._orders.accept_requests()

    async def _drain(self, goal: LoadedModel) -> None:
        """Divert new requests and give the running ones some time to end before the order."""
        self._reporter.divert_requests()
        group = group_of(self._address, goal, self.service_replicas()) or 0
        latest = latest_start(group, self._last_group_start(goal))
        until = min(monotonic() + DRAIN_SECONDS, latest)
        while monotonic() < until:
            report = self._reporter.report
            if report is None or not report.active + report.queued:
                return
            await trio.sleep(DRAIN_CHECK_SECONDS)

    def _may_interrupt_streams(self, goal: LoadedModel) -> bool:
        """Return whether the running streams can be resumed at replicas of their version.

        They can if enough replicas that load later still serve that version.
        """
        replicas = self.service_replicas()
        group = group_of(self._address, goal, replicas)
        if group is None:
            return False
        not_later = earlier_groups(group + 1, goal, replicas)
        later = [
            replica
            for replica in replicas
            if replica.loaded
            and not has_loaded(replica, goal)
            and not replica.draining
            and str(replica.address) not in not_later
        ]
        return len(later) >= MIN_LATER_SHARE * len(replicas)

    def _last_group_start(self, goal: LoadedModel) -> float:
        """Return the latest time (monotonic) at which the last group may load."""
        notices = self._facts.versions.get(goal.model, [])
        named = next((n for n in notices if n.version == goal.version), None)
        if named is None:
            return 0.0
        if named.at_start:
            # When it was named is not known, and the other daemons may have just started too.
            return named.seen_at + LAST_TURN_AT_START_SECONDS
        # The last group loads at the latest when entries stop using the old version.
        return named.seen_at + self._bound - SEND_MARGIN_SECONDS

    async def _wait_loaded(self, goal: LoadedModel) -> None:
        until = monotonic() + LOAD_WAIT_SECONDS
        while monotonic() < until:
            report = await self._reporter.refresh()
            if self._reporter.holds(goal):
                self._orders.accept_requests()
                logger.info("version loaded", extra={"goal": weights_name(goal)})
                return
            if report is not None and not report.loaded and not report.busy_loading:
                # It had accepted the order, so a new incarnation has started.
                logger.warning("replica lost its order", extra={"goal": weights_name(goal)})
                return
            await trio.sleep(LOADING_CHECK_SECONDS)
