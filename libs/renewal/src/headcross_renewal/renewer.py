"""Keeps one replica updated to the newest named version of its model.

The steps of an update are: obtain the version's digests, fetch its chunks from other daemons and
the origin and stage each one as it arrives, wait for the replica's turn, and send the order after
a read-back (see `orders`). If a newer version is named during the fetch, the fetch is cancelled
once the digests of the newer version are known, unless so little is missing that the older version
is worth finishing (see `versionchoice`). While the origin delivers nothing of the newer version,
the update to the older one continues.
"""

import logging
import random
from collections.abc import Callable
from typing import Final

import trio
from headcross_base.errors import Failure
from headcross_base.supervision import keep_running
from headcross_facts.facts import Facts
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaControl, ReplicaReport
from headcross_weights.chunkstore import StoredArtifact

from headcross_renewal.digestregistry import DigestRegistry
from headcross_renewal.fetching import Fetcher
from headcross_renewal.goalchoice import GoalSelector
from headcross_renewal.loading import Loading
from headcross_renewal.loadverifier import LoadVerifier
from headcross_renewal.mirrors import holds_exactly
from headcross_renewal.orders import Orders
from headcross_renewal.plan import PlanRegistry
from headcross_renewal.recovery import Recovery
from headcross_renewal.reporting import Reporter
from headcross_renewal.sources import OriginSource
from headcross_renewal.staging import Staging
from headcross_renewal.upkeep import StagedUpkeep
from headcross_renewal.weightsname import weights_name

IDLE_CHECK_SECONDS: Final = 0.5
# Steps of an update in which it may be cancelled; all are before its order.
STEPS_BEFORE_ORDER: Final = ("digests", "adopting", "fetching")
# If digests cannot be obtained within this time, an older version is preferred for a while.
DIGESTS_TIMEOUT_SECONDS: Final = 0.8
STAGE_CHECK_SECONDS: Final = 0.05
# How often the share of the link that chunks may use is adjusted.
LINK_USE_CHECK_SECONDS: Final = 0.2
# Digests settled at most this long ago show that the origin answers. When each of 41 daemons asked
# the origin again instead, over the link that also carried the chunks, the switch to the newer
# version came 1.4 s to 3 s after its digests were known.
ORIGIN_ANSWERED_SECONDS: Final = 2.0
# Time limit for offering the loaded version when its digests cannot be obtained; facts are then
# checked again.
OFFER_TIMEOUT_SECONDS: Final = 1.0

logger = logging.getLogger(__name__)


class Renewer:
    """Runs the updates of one replica."""

    # The current step, for dumps.
    step: str

    def __init__(
        self,
        facts: Facts,
        replica: ReplicaControl,
        reporter: Reporter,
        origin: OriginSource,
        digests: DigestRegistry,
        goal_selector: GoalSelector,
        fetcher: Fetcher,
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
        self._digests = digests
        self._goal_selector = goal_selector
        self._fetcher = fetcher
        self._loading = loading
        self._orders = orders
        self._plans = plans
        self._set_link_use = set_link_use
        # Called with true while an update is running, since it needs current facts about other
        # replicas, and with false otherwise.
        self._set_busy = set_busy
        self._recovery = Recovery(facts, replica, reporter, fetcher, digests, orders.in_doubt)
        self._load_verifier = LoadVerifier(replica, reporter, digests, orders.in_doubt)
        self._upkeep = StagedUpkeep(replica, reporter, orders.in_doubt)
        self._offered: set[LoadedModel] = set()
        # Set once all chunks of the version that is being fetched are staged.
        self._all_staged = trio.Event()

    async def run(self) -> None:
        """Keep the replica updated until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, "orders", self._orders.settle)
            nursery.start_soon(keep_running, "recovery", self._recovery.run)
            nursery.start_soon(keep_running, "load verifier", self._load_verifier.run)
            await keep_running("renewal", self._renew)

    async def _renew(self) -> None:
        while True:
            goal = self._goal_selector.choose()
            if self._reporter.shutting_down:
                # An order would interrupt the last requests that the replica completes.
                self._enter_step("replica leaves", goal)
                self._set_busy(False)
                await self._wait_change()
                continue
            if goal is None or self._reporter.holds(goal):
                if goal is not None:
                    await self._offer(goal)
                    if self._goal_selector.choose() != goal:
                        continue  # another one was named meanwhile
                self._enter_step("idle", goal)
                self._set_busy(False)
                self._fetcher.open_links()
                await self._upkeep.check_next()
                await self._wait_change()
                continue
            self._set_busy(True)
            if self._orders.is_in_doubt(goal):
                self._enter_step("order in doubt", goal)
                await self._wait_change()
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_superseded, goal, nursery.cancel_scope)
                try:
                    await self._update_to(goal)
                finally:
                    self._orders.accept_requests()
                nursery.cancel_scope.cancel()

    # Waiting and cancelling.

    async def _wait_change(self) -> None:
        with trio.move_on_after(IDLE_CHECK_SECONDS * random.uniform(0.8, 1.2)):
            async with trio.open_nursery() as nursery:

                async def end_after_facts() -> None:
                    await self._facts.wait_change()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(end_after_facts)
                await self._reporter.wait_change()
                nursery.cancel_scope.cancel()

    async def _cancel_when_superseded(self, goal: LoadedModel, scope: trio.CancelScope) -> None:
        """Cancel the update to a version once it is loaded or superseded by a newer one."""
        while True:
            await self._wait_change()
            if self.step not in STEPS_BEFORE_ORDER:
                continue
            if self._reporter.holds(goal) or self._reporter.shutting_down:
                scope.cancel()
                return
            newest = self._facts.newest_version(goal.model)
            if newest is None or newest <= goal.version:
                continue
            newer = LoadedModel(goal.model, newest)
            if not await self._is_available(newer):
                continue
            if self._goal_selector.is_worth_fetching(goal, delays_newer=True):
                continue
            fields = {"goal": weights_name(goal), "newest": newest, "step": self.step}
            logger.info("version superseded", extra=fields)
            if self.step in STEPS_BEFORE_ORDER:
                scope.cancel()
                return

    async def _is_available(self, goal: LoadedModel) -> bool:
        """Return whether a version can be fetched now, from another replica or the origin."""
        await self._digests.obtain(goal)
        if any(holds_exactly(replica, goal) for replica in self._loading.service_replicas()):
            return True
        if self._digests.settled_within(goal, ORIGIN_ANSWERED_SECONDS):
            return True
        return not isinstance(await self._origin.read_digests(goal), Failure)

    # The steps of an update.

    async def _update_to(self, goal: LoadedModel) -> None:
        self._enter_step("digests", goal)
        if not await self._obtain_digests(goal):
            return
        stored = await self._fetcher.admit(goal)
        staging = Staging(goal, self._replica, self._orders.in_doubt)
        self._enter_step("adopting", goal)
        adopted = 0
        # Once `_offer` has read the staged chunks into the store, reading them again is useless.
        if not stored.is_complete and self._reporter.report is not None and not self._offered:
            adopted = await staging.adopt(stored)
            if adopted:
                self._orders.in_doubt.record_staged_version(goal)
        self._enter_step("fetching", goal, adopted=adopted)
        self._all_staged = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._adjust_link_use, goal)
            nursery.start_soon(self._stage_fetched_chunks, goal, staging, stored)
            nursery.start_soon(self._loading.drain_ahead, goal, stored)
            fetched = await self._fetcher.fetch(goal, stored)
            if fetched:
                await self._all_staged.wait()
                # Waits in this step, where a newer version can cancel it.
                await self._orders.wait_may_order(goal)
            nursery.cancel_scope.cancel()
        if not fetched:
            return
        self._enter_step("waiting for its turn", goal)
        await self._loading.wait_turn(goal)
        self._enter_step("loading", goal)
        if not self._goal_selector.is_outdated(goal):
            await self._loading.load(goal, staging, stored)

    async def _adjust_link_use(self, goal: LoadedModel) -> None:
        """Adjust the share of the link that chunks may use: larger with fewer running requests."""
        while True:
            report = self._reporter.report
            if report is not None:
                self._set_link_use(None if self._may_fill_link(goal, report) else report.active)
            await trio.sleep(LINK_USE_CHECK_SECONDS)

    def _may_fill_link(self, goal: LoadedModel, report: ReplicaReport) -> bool:
        """Return whether chunks may fill the link without regard to requests.

        They may if the replica has no version loaded, or if a version between the loaded one and
        `goal` has been named: the loaded one then has to stop serving before `goal` is loaded.
        """
        held = self._goal_selector.held_version(goal.model)
        named = self._facts.versions.get(goal.model, [])
        skipped = [n.version for n in named if held < n.version < goal.version]
        return not held or bool(skipped)

    async def _obtain_digests(self, goal: LoadedModel) -> bool:
        """Obtain the digests; return False if an older version should be tried meanwhile."""
        with trio.move_on_after(DIGESTS_TIMEOUT_SECONDS):
            await self._digests.obtain(goal)
            return True
        self._goal_selector.defer(goal)
        return False

    async def _stage_fetched_chunks(
        self, goal: LoadedModel, staging: Staging, stored: StoredArtifact
    ) -> None:
        """Stage every chunk as soon as it is in the store, until all are staged."""
        unstaged = set(range(len(stored.locations)))
        while unstaged:
            await self._orders.wait_may_stage(goal)
            available = sorted(unstaged - stored.missing)
            if available and len(unstaged) == len(stored.locations):
                logger.info("staging", extra={"goal": weights_name(goal)})
            await staging.put(stored, available)
            unstaged -= set(available)
            if unstaged:
                await trio.sleep(STAGE_CHECK_SECONDS)
        self._all_staged.set()

    async def _offer(self, goal: LoadedModel) -> None:
        """Read the staged chunks of the loaded version so that other daemons can fetch them."""
        report = self._reporter.report
        loaded = report.loaded if report is not None else ()
        held = next((m for m in loaded if m.model == goal.model), None)
        if held is None or held in self._offered or self._plans.origin() is None:
            return  # an entry will send the plan with the origin; a listing is not worth its cost
        with trio.move_on_after(OFFER_TIMEOUT_SECONDS):
            stored = await self._fetcher.admit(held)
            adopted = await Staging(held, self._replica, self._orders.in_doubt).adopt(stored)
            if adopted:
                self._orders.in_doubt.rule_out_earlier_order()
            self._offered.add(held)
            self._upkeep.keep(held, stored)
            self._enter_step("offering", held, adopted=adopted, missing=len(stored.missing))

    def _enter_step(self, step: str, goal: LoadedModel | None, **fields: object) -> None:
        if step == self.step:
            return
        self.step = step
        name = weights_name(goal) if goal is not None else None
        logger.info("renewal", extra={"step": step, "goal": name, **fields})
