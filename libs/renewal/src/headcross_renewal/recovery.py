"""What an earlier process of this daemon left beside the replica, and may have on order there.

A process that was killed may have had an order without an answer, which the replica takes seconds
later with whatever lies beside it by then. Chunks may turn bad meanwhile, and one that has been
bad for 3 s must not be loaded. So the later process finds out which version lies there, gets its
digests and, where one is bad, its chunks from others or the origin, and keeps it whole until no
order of an earlier process can be taken any more (see `indoubt`). Each step begins as soon as it
can: the chunks are read once, before any version is known, and a bad one is put as it comes.
"""

import logging
from typing import Final

import trio
from headcross_base.clocks import monotonic
from headcross_facts.facts import Facts
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaControl, ReplicaReport
from headcross_weights.chunkstore import StoredArtifact

from headcross_renewal.confirmation import key_of
from headcross_renewal.digestregistry import DigestRegistry
from headcross_renewal.fetching import Fetcher
from headcross_renewal.indoubt import InDoubt
from headcross_renewal.reporting import Reporter
from headcross_renewal.sources import weights_name
from headcross_renewal.staging import StagedCopy, Staging, read_staged

# Much less than the 3 s for which a chunk may be bad.
LOOK_SECONDS: Final = 0.5
# Digests of a version that may lie beside the replica are waited for so long at a time.
DIGESTS_SECONDS: Final = 0.7
RETRY_SECONDS: Final = 0.3

logger = logging.getLogger(__name__)


class Recovery:
    """The first seconds of a process, as to what an earlier one may have on order."""

    def __init__(
        self,
        facts: Facts,
        replica: ReplicaControl,
        reporter: Reporter,
        fetching: Fetcher,
        book: DigestRegistry,
        in_doubt: InDoubt,
    ) -> None:
        self._facts = facts
        self._replica = replica
        self._reporter = reporter
        self._fetching = fetching
        self._book = book
        self._in_doubt = in_doubt
        self._first_report: ReplicaReport | None = None

    async def run(self) -> None:
        """Look and keep whole until no order of an earlier process can be open."""
        while self._awaits_earlier():
            report = self._reporter.report
            if report is None:
                with trio.move_on_after(LOOK_SECONDS):
                    await self._reporter.wait_change()
                continue
            if self._in_doubt.ordered_before is None:
                await self._identify(report)
            goal = self._in_doubt.ordered_before
            stored = await self._admit(goal) if goal is not None else None
            if goal is not None and stored is not None:
                await self._keep_whole(goal, stored)
            await trio.sleep(LOOK_SECONDS)

    def _awaits_earlier(self) -> bool:
        """Tell whether an order of an earlier process may be open, by what is known now."""
        report = self._reporter.report
        if report is not None:
            first = self._first_report = self._first_report or report
            if report.busy_loading or key_of(first) != key_of(report):
                # All that were open expect a number of orders that has passed, or another life.
                self._in_doubt.nothing_from_before()
        return self._in_doubt.awaits_earlier(monotonic())

    async def _identify(self, report: ReplicaReport) -> None:
        """Find out which version lies beside the replica."""
        models = {held.model for held in report.loaded} or set(self._facts.versions)
        async with trio.open_nursery() as nursery:
            for model in models:
                nursery.start_soon(self._identify_model, model, report)

    async def _identify_model(self, model: str, report: ReplicaReport) -> None:
        """Find out which version of a model lies beside the replica.

        Where chunks of the served version do, no other lies there whole, so none is on order.
        """
        copy = await read_staged(self._replica, model)
        if copy is None:
            return
        if not copy.indexes:
            self._in_doubt.nothing_lay_there()
            return
        with trio.move_on_after(LOOK_SECONDS):
            while model not in self._facts.versions:
                await self._facts.wait_change()
        served = [held for held in report.loaded if held.model == model]
        newer = [goal for goal in self._candidates(report) if goal.model == model]
        found: set[LoadedModel] = set()

        async def compare(goal: LoadedModel) -> None:
            if await self._adopt(goal, copy):
                found.add(goal)

        with trio.move_on_after(DIGESTS_SECONDS):
            async with trio.open_nursery() as nursery:
                for goal in (*served, *newer):
                    nursery.start_soon(compare, goal)
        if found.intersection(served):
            self._in_doubt.nothing_from_before()
            return
        for goal in newer:
            if goal in found:
                logger.info("found beside the replica", extra={"goal": weights_name(goal)})
                self._in_doubt.found_from_before(goal)

    def _candidates(self, report: ReplicaReport) -> list[LoadedModel]:
        """Return the versions that an earlier process may have put there, newest first."""
        held = {each.model: each.version for each in report.loaded}
        found: list[LoadedModel] = []
        for model, notices in self._facts.versions.items():
            versions = {notice.version for notice in notices}
            # The store tells the newest one only, and the one before it may have been wanted.
            versions.add(max(versions) - 1)
            newer = sorted(v for v in versions if v > held.get(model, 0))
            found += [LoadedModel(model, version) for version in reversed(newer)]
        return found

    async def _adopt(self, goal: LoadedModel, copy: StagedCopy) -> int:
        """Take the chunks of a version that lay beside the replica; return how many did."""
        digests = await self._book.obtain(goal)
        if not copy.matching_chunks(digests.digests):
            if len(copy.indexes) < len(digests.digests):
                self._in_doubt.nothing_from_before()
            return 0
        stored = await self._fetching.admit_secondary(goal)
        return self._staging(goal).take(stored, copy) if stored is not None else 0

    async def _admit(self, goal: LoadedModel) -> StoredArtifact | None:
        """Return the place for a version, None without its digests or room for it."""
        with trio.move_on_after(DIGESTS_SECONDS):
            return await self._fetching.admit_secondary(goal)
        return None

    async def _keep_whole(self, goal: LoadedModel, stored: StoredArtifact) -> None:
        """Read a version back again and again, and put what is bad of it as soon as it is here."""
        fetched = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._fetch, goal, stored, fetched)
            self._in_doubt.keep_whole(goal)
            try:
                while self._awaits_earlier():
                    could_put_all = stored.whole
                    await self._staging(goal).verify(stored)
                    if could_put_all:
                        await trio.sleep(LOOK_SECONDS)
                        continue
                    with trio.move_on_after(LOOK_SECONDS):
                        await fetched.wait()
            finally:
                self._in_doubt.keep_whole(None)
            nursery.cancel_scope.cancel()

    async def _fetch(self, goal: LoadedModel, stored: StoredArtifact, fetched: trio.Event) -> None:
        """Fetch what is missing of a version; set `fetched` once all of it is here."""
        while not stored.whole:
            if not await self._fetching.fetch(goal, stored):
                await trio.sleep(RETRY_SECONDS)
        fetched.set()

    def _staging(self, goal: LoadedModel) -> Staging:
        return Staging(goal, self._replica, self._in_doubt)
