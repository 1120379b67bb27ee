"""Brings one replica to the newest named version of its model, again and again.

The steps to a version: its digests; its chunks, from other daemons and the origin, each put beside
the replica as it comes; its turn; the order, after a read-back (`orders`). A newer version that is
named ends the fetching of an older one as soon as its digests are known, unless the older one is
so nearly here that it is worth finishing (`versionchoice`); while the origin gives nothing of the
newer one, the older one is gone on with.
"""

import logging
import random
from collections.abc import Callable
from typing import Final

import trio
from headcross_base.errors import Failure
from headcross_facts.facts import Facts
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaControl, ReplicaReport
from headcross_weights.chunkstore import StoredArtifact

from headcross_renewal.confirming import Confirming
from headcross_renewal.digestregistry import DigestRegistry
from headcross_renewal.fetching import Fetcher
from headcross_renewal.goalchoice import GoalSelector
from headcross_renewal.loading import Loading
from headcross_renewal.mirrors import has_loaded
from headcross_renewal.orders import Orders
from headcross_renewal.plan import PlanRegistry
from headcross_renewal.recovery import Recovery
from headcross_renewal.reporting import Reporter
from headcross_renewal.sources import OriginSource, weights_name
from headcross_renewal.staging import Staging

IDLE_SECONDS: Final = 0.5
# Steps that are needless once the replica turns out to hold the version.
STEPS_BEFORE_ORDER: Final = ("digests", "adopting", "fetching")
# While digests cannot be had for so long, an older version goes first for a moment.
DIGESTS_SECONDS: Final = 0.8
STAGE_SECONDS: Final = 0.05
# Whether the link may be filled is looked at again this often.
PACE_SECONDS: Final = 0.2
# Digests that were settled so lately show that the origin answers. While each of 41 daemons asked
# it once more, over the link that had to bring the chunks, they turned to the newer version 1.4 s
# to 3 s after its digests were known.
ORIGIN_ANSWERED_SECONDS: Final = 2.0
# News are looked at again after this, while the digests of the held version cannot be had.
OFFER_SECONDS: Final = 1.0

logger = logging.getLogger(__name__)


class Renewer:
    """The renewal of one replica."""

    # What it is at, for dumps.
    step: str

    def __init__(
        self,
        facts: Facts,
        replica: ReplicaControl,
        reporter: Reporter,
        origin: OriginSource,
        book: DigestRegistry,
        choice: GoalSelector,
        fetching: Fetcher,
        loading: Loading,
        orders: Orders,
        plans: PlanRegistry,
        set_link_use: Callable[[int | None], None],
        set_busy: Callable[[bool], None],
    ) -> None:
        self.step = "starting"
        self._facts = facts
        self._replica = replica
        self._reporter = reporter
        self._origin = origin
        self._book = book
        self._choice = choice
        self._fetching = fetching
        self._loading = loading
        self._orders = orders
        self._plans = plans
        self._set_link_use = set_link_use
        # Told whether a version is being brought here, which needs fresh news of other replicas.
        self._set_busy = set_busy
        self._recovery = Recovery(facts, replica, reporter, fetching, book, orders.in_doubt)
        self._confirming = Confirming(replica, reporter, book, orders.in_doubt)
        self._offered: set[LoadedModel] = set()
        # Set once all chunks of the version that is being fetched lie beside the replica.
        self._staged = trio.Event()

    async def run(self) -> None:
        """Renew until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._orders.settle)
            nursery.start_soon(self._recovery.run)
            nursery.start_soon(self._confirming.run)
            await self._renew()

    async def _renew(self) -> None:
        while True:
            goal = self._choice.choose()
            if self._reporter.ends:
                # An order would break off what runs there to its end.
                self._enter("replica leaves", goal)
                self._set_busy(False)
                await self._wait_news()
                continue
            if goal is None or self._reporter.holds(goal):
                if goal is not None:
                    await self._offer(goal)
                    if self._choice.choose() != goal:
                        continue  # another one was named meanwhile
                self._enter("idle", goal)
                self._set_busy(False)
                self._fetching.open_links()
                await self._wait_news()
                continue
            self._set_busy(True)
            if self._orders.is_in_doubt(goal):
                self._enter("order in doubt", goal)
                await self._wait_news()
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._give_up_when_superseded, goal, nursery.cancel_scope)
                try:
                    await self._reach(goal)
                finally:
                    self._orders.stay()
                nursery.cancel_scope.cancel()

    # What to do.

    async def _wait_news(self) -> None:
        with trio.move_on_after(IDLE_SECONDS * random.uniform(0.8, 1.2)):
            async with trio.open_nursery() as nursery:

                async def end_after_facts() -> None:
                    await self._facts.wait_change()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(end_after_facts)
                await self._reporter.wait_change()
                nursery.cancel_scope.cancel()

    async def _give_up_when_superseded(self, goal: LoadedModel, scope: trio.CancelScope) -> None:
        """End the steps to a version that is held already, or give way to a newer one."""
        while True:
            await self._wait_news()
            if self.step not in STEPS_BEFORE_ORDER:
                continue
            if self._reporter.holds(goal) or self._reporter.ends:
                scope.cancel()
                return
            newest = self._facts.newest_version(goal.model)
            if newest is None or newest <= goal.version:
                continue
            newer = LoadedModel(goal.model, newest)
            if not await self._can_be_had(newer):
                continue
            if self._choice.is_worth_fetching(goal, delays_newer=True):
                continue
            fields = {"goal": weights_name(goal), "newest": newest, "step": self.step}
            logger.info("version superseded", extra=fields)
            if self.step in STEPS_BEFORE_ORDER:
                scope.cancel()
                return

    async def _can_be_had(self, goal: LoadedModel) -> bool:
        """Tell whether a version's chunks would come now: from the origin, or others hold it."""
        await self._book.obtain(goal)
        if any(has_loaded(replica, goal) for replica in self._loading.peers()):
            return True
        if self._book.settled_within(goal, ORIGIN_ANSWERED_SECONDS):
            return True
        return not isinstance(await self._origin.read_digests(goal), Failure)

    # The steps.

    async def _reach(self, goal: LoadedModel) -> None:
        self._enter("digests", goal)
        if not await self._settle_digests(goal):
            return
        stored = await self._fetching.admit(goal)
        staging = Staging(goal, self._replica, self._orders.in_doubt)
        self._enter("adopting", goal)
        adopted = 0
        # What lies beside the replica can only be of use to a process that does not know it yet.
        if not stored.whole and self._reporter.report is not None and not self._offered:
            adopted = await staging.adopt(stored)
            if adopted:
                self._orders.in_doubt.found_from_before(goal)
        self._enter("fetching", goal, adopted=adopted)
        self._staged = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_pace, goal)
            nursery.start_soon(self._stage_as_they_come, goal, staging, stored)
            nursery.start_soon(self._loading.drain_ahead, goal, stored)
            fetched = await self._fetching.fetch(goal, stored)
            if fetched:
                await self._staged.wait()
                # Here, where a newer version ends the wait.
                await self._orders.wait_may_order(goal)
            nursery.cancel_scope.cancel()
        if not fetched:
            return
        self._enter("waiting for its turn", goal)
        await self._loading.wait_turn(goal)
        self._enter("loading", goal)
        if not self._choice.is_outdated(goal):
            await self._loading.load(goal, staging, stored)

    async def _keep_pace(self, goal: LoadedModel) -> None:
        """Fill more of the link with chunks the fewer requests need it."""
        while True:
            report = self._reporter.report
            if report is not None:
                self._set_link_use(None if self._is_idle(goal, report) else report.active)
            await trio.sleep(PACE_SECONDS)

    def _is_idle(self, goal: LoadedModel, report: ReplicaReport) -> bool:
        """Tell whether the replica serves nothing, or soon nothing: its bound ends first."""
        held = self._choice.held_version(goal.model)
        named = self._facts.versions.get(goal.model, [])
        skipped = [n.version for n in named if held < n.version < goal.version]
        return not held or bool(skipped)

    async def _settle_digests(self, goal: LoadedModel) -> bool:
        """Get the digests; return False if an older version should be gone on with meanwhile."""
        with trio.move_on_after(DIGESTS_SECONDS):
            await self._book.obtain(goal)
            return True
        self._choice.defer(goal)
        return False

    async def _stage_as_they_come(
        self, goal: LoadedModel, staging: Staging, stored: StoredArtifact
    ) -> None:
        """Put every chunk beside the replica as soon as it is here, until all are."""
        waiting = set(range(len(stored.places)))
        while waiting:
            await self._orders.wait_may_stage(goal)
            here = sorted(waiting - stored.missing)
            if here and len(waiting) == len(stored.places):
                logger.info("staging", extra={"goal": weights_name(goal)})
            await staging.put(stored, here)
            waiting -= set(here)
            if waiting:
                await trio.sleep(STAGE_SECONDS)
        self._staged.set()

    async def _offer(self, goal: LoadedModel) -> None:
        """Have the version that the replica serves ready for others, from beside the replica."""
        report = self._reporter.report
        loaded = report.loaded if report is not None else ()
        held = next((loaded for loaded in loaded if loaded.model == goal.model), None)
        if held is None or held in self._offered or self._plans.origin() is None:
            return  # an entry will tell the origin; this is no reason to list the configuration
        with trio.move_on_after(OFFER_SECONDS):
            stored = await self._fetching.admit(held)
            adopted = await Staging(held, self._replica, self._orders.in_doubt).adopt(stored)
            if adopted:
                self._orders.in_doubt.nothing_from_before()
            self._offered.add(held)
            self._enter("offering", held, adopted=adopted, missing=len(stored.missing))

    def _enter(self, step: str, goal: LoadedModel | None, **more: object) -> None:
        if step == self.step:
            return
        self.step = step
        name = weights_name(goal) if goal is not None else None
        logger.info("renewal", extra={"step": step, "goal": name, **more})
