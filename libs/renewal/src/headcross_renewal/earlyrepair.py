"""Repairs staged chunks in the first moments of a process, before trio is imported.

An order of an earlier process may be accepted at any time after that process was killed, and a
chunk that has been bad for 3 s must not be loaded. On a machine where many processes start at
once, importing all modules takes longer than that. So a thread repairs the staged copy meanwhile,
with only the modules that this needs. It ends before the role starts, and `recovery` goes on.

It repairs a few bad chunks of one version, of which all other chunks are staged. Everything else
is left to `recovery`, which also fetches from other daemons. Digests come from an entry or the
origin, chunks from the origin, whose address an entry has to tell.
"""

import logging
import threading
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from headcross_base.addresses import Address
from headcross_base.errorcodes import LINK_LOST
from headcross_base.errors import Failure
from headcross_base.monotonic import monotonic
from headcross_ports.early import EarlyAdapter
from headcross_ports.published import Listing, LoadedModel, NamedVersion, Topic
from headcross_ports.replicas import ChunkDigests, ReplicaReport
from headcross_wire.blockinghttp import run_blocking

from headcross_renewal.earlysources import EarlySources
from headcross_renewal.stagedcopy import (
    CHECK_INTERVAL_SECONDS,
    WORKERS,
    ReplacedChunk,
    StagedCopy,
    is_unchanged,
    read_staged,
    staged_candidates,
)
from headcross_renewal.weightsname import weights_name

RETRY_SECONDS: Final = 0.1
# More mismatching chunks mean that the earlier process was staging the version, and had not
# ordered it. They would also take much of the origin's narrow link.
MAX_REPLACED_CHUNKS: Final = 4
NEVER: Final = float("-inf")

logger = logging.getLogger(__name__)


class Check(Enum):
    """The result of one check of the staged copy."""

    INTACT = "intact"  # now; it is checked again
    INCOMPLETE = "incomplete"  # digests or chunks cannot be had yet
    UNREACHABLE = "unreachable"  # the replica or the store does not answer
    NOT_NEEDED = "not needed"  # no order of an earlier process can be accepted any more


@dataclass(slots=True)
class EarlyResults:
    """What the role needs to know of the early repair; all times are `monotonic`."""

    last_put_at: float = NEVER
    # When a put of each version last had no answer; it may take effect later.
    unanswered_puts: dict[LoadedModel, float] = field(default_factory=dict)
    last_replaced: ReplacedChunk | None = None
    # The listing of the named versions and when it was requested; None if it was not read.
    versions: Listing | None = None
    versions_read_at: float = NEVER


class EarlyRepair:
    """Repairs the staged copy of one replica in a thread until it is stopped."""

    results: EarlyResults  # complete after `stop`

    def __init__(self, adapter: EarlyAdapter, entries: Iterable[Address], source_ip: str) -> None:
        self.results = EarlyResults()
        self._adapter = adapter
        self._entries = entries
        self._source_ip = source_ip
        self._first_report: ReplicaReport | None = None
        # The versions that an earlier process may have ordered; None if they are not known.
        self._candidates: list[LoadedModel] | None = None
        self._checked_once = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="early-repair", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def wait_checked(self, seconds: float) -> None:
        """Wait for the end of the first check, whatever its result, but only for some time."""
        self._checked_once.wait(seconds)

    def stop(self) -> None:
        """End the thread; waits for a call in progress, which takes 2 s at most."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        try:
            sources = EarlySources(
                self._adapter.origin, self._entries, self._source_ip, self._stopped.is_set
            )
            try:
                self._repair_until_stopped(sources)
            finally:
                sources.close()
                self._adapter.close()
        except Exception:
            # `recovery` repairs the staged copy in any case.
            logger.exception("early repair failed")
        finally:
            self._checked_once.set()

    def _repair_until_stopped(self, sources: EarlySources) -> None:
        last: Check | None = None
        while not self._stopped.is_set():
            result = run_blocking(self._check(sources))
            if result is not last:
                fields = {"result": result.value, "cpu_seconds": round(time.process_time(), 3)}
                logger.info("staged copy checked", extra=fields)
                last = result
            self._checked_once.set()
            if result is Check.NOT_NEEDED:
                return
            self._stopped.wait(CHECK_INTERVAL_SECONDS if result is Check.INTACT else RETRY_SECONDS)

    async def _check(self, sources: EarlySources) -> Check:
        """Check the staged copies once, and repair bad chunks."""
        report = await self._adapter.replica.report()
        if isinstance(report, Failure):
            return Check.UNREACHABLE
        first = self._first_report = self._first_report or report.value
        if not self._is_unchanged(report.value):
            return Check.NOT_NEEDED
        if self._candidates is None:
            self._candidates = await self._find_candidates(first)
        if self._candidates is None:
            return Check.UNREACHABLE
        result = Check.NOT_NEEDED
        for model in {goal.model for goal in self._candidates}:
            goals = [goal for goal in self._candidates if goal.model == model]
            checked = await self._check_model(model, goals, sources)
            if checked is not Check.NOT_NEEDED and result is not Check.INCOMPLETE:
                result = checked
        return result

    def _is_unchanged(self, report: ReplicaReport) -> bool:
        """Return whether the replica has begun no load and no incarnation since the first look."""
        return self._first_report is not None and is_unchanged(self._first_report, report)

    async def _find_candidates(self, report: ReplicaReport) -> list[LoadedModel] | None:
        """Return the versions that an earlier process may have ordered, None if not known."""
        store = self._adapter.store
        self.results.versions_read_at = monotonic()
        listing = await store.read(Topic.VERSIONS)
        if isinstance(listing, Failure):
            return None
        self.results.versions = listing.value
        named: dict[str, list[int]] = {}
        for item in listing.value.items:
            fact = store.decode(item)
            if not isinstance(fact, Failure) and isinstance(fact.value, NamedVersion):
                named.setdefault(fact.value.model, []).append(fact.value.version)
        loaded = {held.model for held in report.loaded}
        candidates = staged_candidates(report, named)
        return [goal for goal in candidates if goal.model in loaded or not loaded]

    async def _check_model(
        self, model: str, goals: list[LoadedModel], sources: EarlySources
    ) -> Check:
        sources.ask_entries(goals)
        copy = await read_staged(self._adapter.replica, model, _in_threads)
        if copy is None:
            return Check.UNREACHABLE
        if not copy.indexes:
            return Check.NOT_NEEDED
        digests = await sources.obtain_digests(goals)
        if len(digests) < len(goals):
            return Check.INCOMPLETE
        staged = [goal for goal in goals if copy.matching_chunks(digests[goal].digests)]
        if len(staged) != 1:
            # Versions share no chunks. So no candidate is staged, or an earlier process was
            # staging one of two and has no order in doubt.
            return Check.NOT_NEEDED
        goal = staged[0]
        if len(copy.indexes) < len(digests[goal].digests):
            return Check.NOT_NEEDED
        return await self._repair(goal, digests[goal], copy, sources)

    async def _repair(
        self, goal: LoadedModel, digests: ChunkDigests, copy: StagedCopy, sources: EarlySources
    ) -> Check:
        bad = sorted(copy.chunks.keys() - copy.matching_chunks(digests.digests).keys())
        if not bad:
            unread = len(copy.chunks) < len(copy.indexes)
            return Check.INCOMPLETE if unread else Check.INTACT
        if len(bad) > MAX_REPLACED_CHUNKS:
            return Check.NOT_NEEDED
        fields = {"goal": weights_name(goal), "chunks": bad}
        logger.warning("staged chunks bad", extra=fields)
        replaced = [
            index
            for index in bad
            if await self._replace(goal, index, copy.chunks.get(index, b""), sources)
        ]
        logger.info("staged chunks replaced", extra={**fields, "replaced": replaced})
        return Check.INTACT if replaced == bad else Check.INCOMPLETE

    async def _replace(
        self, goal: LoadedModel, index: int, bad_data: bytes, sources: EarlySources
    ) -> bool:
        """Stage a good chunk in place of a bad one; return whether the replica confirmed it."""
        data = await sources.fetch_chunk(goal, index)
        if data is None:
            return False
        # This process may have been stopped for long since the last report.
        report = await self._adapter.replica.report()
        if isinstance(report, Failure) or not self._is_unchanged(report.value):
            return False
        if self._stopped.is_set():
            return False
        self.results.last_replaced = ReplacedChunk(goal, index, bad_data)
        outcome = await self._adapter.replica.stage_chunk(goal.model, index, data)
        self.results.last_put_at = monotonic()
        await self._put_back_if_loaded()
        if isinstance(outcome, Failure) and outcome.reason == LINK_LOST:
            self.results.unanswered_puts[goal] = monotonic()
        return not isinstance(outcome, Failure)

    async def _put_back_if_loaded(self) -> None:
        """Put back the chunk that was replaced last if a load has begun meanwhile."""
        report = await self._adapter.replica.report()
        replaced = self.results.last_replaced
        if replaced is None or isinstance(report, Failure) or self._is_unchanged(report.value):
            return
        goal = replaced.goal
        await self._adapter.replica.stage_chunk(goal.model, replaced.index, replaced.data)
        fields = {"held": weights_name(goal), "chunk": replaced.index}
        logger.warning("bad chunk put back", extra=fields)


async def _in_threads(indexes: Iterable[int], act: Callable[[int], Awaitable[None]]) -> None:
    """Call `act`, which must not suspend, for each index with up to `WORKERS` calls at a time."""
    waiting = iter(list(indexes))
    lock = threading.Lock()

    async def work() -> None:
        while True:
            with lock:
                index = next(waiting, None)
            if index is None:
                return
            await act(index)

    threads = [
        threading.Thread(target=lambda: run_blocking(work()), daemon=True) for _ in range(WORKERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
