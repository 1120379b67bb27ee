"""Repairs the staged chunks that an earlier process of this daemon may have ordered to load.

A process that was killed may have sent an order that was not answered, which the replica accepts
seconds later, loading whatever is staged by then. Chunks may turn bad meanwhile, and one that has
been bad for 3 s must not be loaded. So the new process identifies the staged version, obtains its
digests, fetches bad chunks from other daemons or the origin, and repairs the staged copy until no
order of an earlier process can be accepted any more (see `indoubt`). To lose no time, the chunks
are read once before any version is known, and each bad chunk is put as soon as it is fetched.
"""

import logging
from typing import Final

import trio
from headcross_base.monotonic import monotonic
from headcross_facts.facts import Facts
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaControl, ReplicaReport
from headcross_weights.chunkstore import StoredArtifact

from headcross_renewal.digestregistry import DigestRegistry
from headcross_renewal.fetching import Fetcher
from headcross_renewal.indoubt import InDoubtCalls
from headcross_renewal.loadkey import key_of
from headcross_renewal.reporting import Reporter
from headcross_renewal.stagedcopy import (
    CHECK_INTERVAL_SECONDS,
    StagedCopy,
    read_staged,
    staged_candidates,
)
from headcross_renewal.staging import Staging, in_parallel
from headcross_renewal.weightsname import weights_name

# Time limit of one attempt to obtain the digests of a version that may be staged.
DIGESTS_TIMEOUT_SECONDS: Final = 0.7
RETRY_SECONDS: Final = 0.3

logger = logging.getLogger(__name__)


class Recovery:
    """Repairs what an earlier process staged, until none of its orders can be in doubt."""

    def __init__(
        self,
        facts: Facts,
        replica: ReplicaControl,
        reporter: Reporter,
        fetcher: Fetcher,
        digests: DigestRegistry,
        in_doubt: InDoubtCalls,
    ) -> None:
        self._facts = facts
        self._replica = replica
        self._reporter = reporter
        self._fetcher = fetcher
        self._digests = digests
        self._in_doubt = in_doubt
        self._first_report: ReplicaReport | None = None

    async def run(self) -> None:
        """Identify and repair the staged version until no earlier order can be in doubt."""
        while self._earlier_order_possible():
            report = self._reporter.report
            if report is None:
                with trio.move_on_after(CHECK_INTERVAL_SECONDS):
                    await self._reporter.wait_change()
                continue
            if self._in_doubt.earlier_order_goal is None:
                await self._identify(report)
            goal = self._in_doubt.earlier_order_goal
            stored = await self._admit(goal) if goal is not None else None
            if goal is not None and stored is not None:
                await self._keep_whole(goal, stored)
            await trio.sleep(CHECK_INTERVAL_SECONDS)

    def _earlier_order_possible(self) -> bool:
        """Return whether an order of an earlier process may be in doubt, by the latest report."""
        report = self._reporter.report
        if report is not None:
            first = self._first_report = self._first_report or report
            if report.busy_loading or key_of(first) != key_of(report):
                # Orders in doubt carry an outdated order count or were for another incarnation.
                self._in_doubt.rule_out_earlier_order()
        return self._in_doubt.earlier_order_possible(monotonic())

    async def _identify(self, report: ReplicaReport) -> None:
        """Find out which version is staged at the replica."""
        models = {held.model for held in report.loaded} or set(self._facts.versions)
        async with trio.open_nursery() as nursery:
            for model in models:
                nursery.start_soon(self._identify_model, model, report)

    async def _identify_model(self, model: str, report: ReplicaReport) -> None:
        """Find out which version of a model is staged at the replica.

        If chunks of the loaded version are staged, no other version is staged completely, so no
        order for another version can be in doubt.
        """
        copy = await read_staged(self._replica, model, in_parallel)
        if copy is None:
            return
        if not copy.indexes:
            self._in_doubt.record_empty_staging()
            return
        with trio.move_on_after(CHECK_INTERVAL_SECONDS):
            while model not in self._facts.versions:
                await self._facts.wait_change()
        loaded = [held for held in report.loaded if held.model == model]
        newer = [goal for goal in self._candidates(report) if goal.model == model]
        staged: set[LoadedModel] = set()

        async def compare(goal: LoadedModel) -> None:
            if await self._adopt(goal, copy):
                staged.add(goal)

        with trio.move_on_after(DIGESTS_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for goal in (*loaded, *newer):
                    nursery.start_soon(compare, goal)
        if staged.intersection(loaded):
            self._in_doubt.rule_out_earlier_order()
            return
        for goal in newer:
            if goal in staged:
                logger.info("found beside the replica", extra={"goal": weights_name(goal)})
                self._in_doubt.record_staged_version(goal)

    def _candidates(self, report: ReplicaReport) -> list[LoadedModel]:
        """Return the versions that an earlier process may have staged, newest first per model."""
        versions = self._facts.versions.items()
        return staged_candidates(report, {m: [n.version for n in ns] for m, ns in versions})

    async def _adopt(self, goal: LoadedModel, copy: StagedCopy) -> int:
        """Adopt the staged chunks of a version; return how many were staged."""
        digests = await self._digests.obtain(goal)
        if not copy.matching_chunks(digests.digests):
            if len(copy.indexes) < len(digests.digests):
                self._in_doubt.rule_out_earlier_order()
            return 0
        stored = await self._fetcher.admit_secondary(goal)
        return self._staging(goal).adopt_copy(stored, copy) if stored is not None else 0

    async def _admit(self, goal: LoadedModel) -> StoredArtifact | None:
        """Return the store's artifact for a version; None without its digests or room for it."""
        with trio.move_on_after(DIGESTS_TIMEOUT_SECONDS):
            return await self._fetcher.admit_secondary(goal)
        return None

    async def _keep_whole(self, goal: LoadedModel, stored: StoredArtifact) -> None:
        """Read a version back repeatedly, and put its bad chunks as soon as they are fetched."""
        fetched = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._fetch, goal, stored, fetched)
            self._in_doubt.reserve_staging(goal)
            try:
                while self._earlier_order_possible():
                    could_put_all = stored.is_complete
                    await self._staging(goal).verify(stored)
                    if could_put_all:
                        await trio.sleep(CHECK_INTERVAL_SECONDS)
                        continue
                    with trio.move_on_after(CHECK_INTERVAL_SECONDS):
                        await fetched.wait()
            finally:
                self._in_doubt.reserve_staging(None)
            nursery.cancel_scope.cancel()

    async def _fetch(self, goal: LoadedModel, stored: StoredArtifact, fetched: trio.Event) -> None:
        """Fetch the missing chunks of a version; set `fetched` once all are stored."""
        while not stored.is_complete:
            if not await self._fetcher.fetch(goal, stored):
                await trio.sleep(RETRY_SECONDS)
        fetched.set()

    def _staging(self, goal: LoadedModel) -> Staging:
        return Staging(goal, self._replica, self._in_doubt)
