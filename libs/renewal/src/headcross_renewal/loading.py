"""When the replica loads a version that lies beside it, and how its requests make way.

Straight down: the replica's turn; requests are sent elsewhere for a moment; the order (see
`orders`); its load waited for.
"""

import logging
from typing import Final

import trio
from headcross_base.clocks import monotonic
from headcross_facts.facts import Facts
from headcross_ports.published import LoadedModel, Replica
from headcross_weights.chunkstore import StoredArtifact

from headcross_renewal.mirrors import has_loaded
from headcross_renewal.orders import Load, Orders
from headcross_renewal.polling import poll_until
from headcross_renewal.reporting import Reporter
from headcross_renewal.sources import weights_name
from headcross_renewal.staging import Staging
from headcross_renewal.turns import earlier_groups, group_of, latest_start
from headcross_renewal.versionchoice import SEND_MARGIN_SECONDS, serves_until

TURN_CHECK_SECONDS: Final = 0.05
TURN_AT_START_SECONDS: Final = 2.0
# Streams are broken off while this share of the replicas holds their version and loads later.
LATER_SHARE: Final = 0.2
# Requests go elsewhere for at most so long before the order that breaks off what still runs. The
# first group lets them go when this share of the version is here.
DRAIN_SECONDS: Final = 0.4
DRAIN_CHECK_SECONDS: Final = 0.03
DRAIN_PROGRESS: Final = 0.9
# A transfer whose last part takes longer than this gives the replica back to the requests.
DRAIN_AHEAD_SECONDS: Final = 1.2
# With fewer replicas than this, none can be spared ahead of its load.
ENOUGH_REPLICAS: Final = 3
LOADING_CHECK_SECONDS: Final = 0.05
# How long a load that was begun is waited for before the replica is looked at anew.
ORDER_SECONDS: Final = 6.0

logger = logging.getLogger(__name__)


class Loading:
    """The loads of one replica."""

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

    def peers(self) -> list[Replica]:
        """Return the listed replicas of the service, this one's included."""
        return [r for r in self._facts.replicas.values() if r.service == self._service]

    def serves_until(self, model: str, version: int) -> float:
        """Return until when a version takes requests (monotonic), by the versions named so far."""
        return serves_until(version, self._facts.versions.get(model, []), self._bound)

    async def drain_ahead(self, goal: LoadedModel, stored: StoredArtifact) -> None:
        """Send requests elsewhere shortly before the transfer ends, if this one loads first."""
        await poll_until(lambda: stored.progress >= DRAIN_PROGRESS)
        report = self._reporter.report
        peers = self.peers()
        spared = sum(bool(replica.loaded) for replica in peers) >= ENOUGH_REPLICAS
        if report is None or not report.loaded or not spared:
            return
        if group_of(self._address, goal, peers) != 0:
            return
        self._reporter.leave()
        await trio.sleep(DRAIN_AHEAD_SECONDS)
        self._orders.stay()

    async def wait_turn(self, goal: LoadedModel) -> None:
        """Wait until this replica may load."""
        while self._reporter.report is None:
            await self._reporter.wait_change()
        if not self._reporter.report.loaded:
            return  # it takes no requests anyway
        while True:
            peers = self.peers()
            group = group_of(self._address, goal, peers)
            if group is None or monotonic() >= latest_start(group, self._last_turn(goal)):
                return
            earlier = earlier_groups(group, goal, peers)
            if all(has_loaded(r, goal) for r in peers if str(r.address) in earlier):
                return
            await trio.sleep(TURN_CHECK_SECONDS)

    async def load(self, goal: LoadedModel, staging: Staging, stored: StoredArtifact) -> None:
        """Order the replica to load what lies beside it, and wait until it has."""
        break_off = self._may_break_off(goal)
        if break_off:
            await self._drain(goal)
        try:
            if await self._orders.give(Load(goal, staging, stored, break_off)):
                await self._wait_loaded(goal)
        finally:
            self._orders.stay()

    async def _drain(self, goal: LoadedModel) -> None:
        """Let requests that run here end for a moment, and none come, before they are cut."""
        self._reporter.leave()
        group = group_of(self._address, goal, self.peers()) or 0
        latest = latest_start(group, self._last_turn(goal))
        until = min(monotonic() + DRAIN_SECONDS, latest)
        while monotonic() < until:
            report = self._reporter.report
            if report is None or not report.active + report.queued:
                return
            await trio.sleep(DRAIN_CHECK_SECONDS)

    def _may_break_off(self, goal: LoadedModel) -> bool:
        """Tell whether the streams that run here can go on at replicas of their version.

        They may while enough replicas that load later still hold it.
        """
        peers = self.peers()
        group = group_of(self._address, goal, peers)
        if group is None:
            return False
        not_later = earlier_groups(group + 1, goal, peers)
        later = [
            replica
            for replica in peers
            if replica.loaded
            and not has_loaded(replica, goal)
            and not replica.draining
            and str(replica.address) not in not_later
        ]
        return len(later) >= LATER_SHARE * len(peers)

    def _last_turn(self, goal: LoadedModel) -> float:
        """Return when the last group may load at the latest."""
        notices = self._facts.versions.get(goal.model, [])
        named = next((n for n in notices if n.version == goal.version), None)
        if named is None:
            return 0.0
        if named.at_start:
            # It is not known how long ago it was named; the others may have started just now too.
            return named.seen_at + TURN_AT_START_SECONDS
        # The last group loads at the latest when entries leave the old version.
        return named.seen_at + self._bound - SEND_MARGIN_SECONDS

    async def _wait_loaded(self, goal: LoadedModel) -> None:
        until = monotonic() + ORDER_SECONDS
        while monotonic() < until:
            report = await self._reporter.refresh()
            if self._reporter.holds(goal):
                self._orders.stay()
                logger.info("version loaded", extra={"goal": weights_name(goal)})
                return
            if report is not None and not report.loaded and not report.busy_loading:
                # It has taken the order, so another life of it has begun.
                logger.warning("replica lost its order", extra={"goal": weights_name(goal)})
                return
            await trio.sleep(LOADING_CHECK_SECONDS)
