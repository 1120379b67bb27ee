"""Stages chunks at the replica and verifies the staged copy.

A replica keeps one staged copy of each model and verifies nothing. Chunks may become corrupt after
they were staged, so all of them are read back and verified right before an order to load.

The staged copy of a loaded version is what is left to show a later process whether the load was
intact. So while an order in doubt may begin a load, a bad chunk is replaced only if a report read
right before shows that no load has begun, and put back if one read right after shows one.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable, Sequence
from functools import partial
from typing import Final

import trio
from headcross_base.errorcodes import LINK_LOST
from headcross_base.errors import Failure
from headcross_base.monotonic import monotonic
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaControl, StagedControl
from headcross_weights.chunkstore import StoredArtifact

from headcross_renewal.indoubt import InDoubtCalls
from headcross_renewal.stagedcopy import (
    WORKERS,
    ReplacedChunk,
    StagedCopy,
    is_unchanged,
    matches_digest,
    read_staged,
)
from headcross_renewal.weightsname import weights_name

RETRY_SECONDS: Final = 0.1

logger = logging.getLogger(__name__)


class Staging:
    """Brings the staged copy of one model to one version."""

    def __init__(self, goal: LoadedModel, replica: ReplicaControl, in_doubt: InDoubtCalls) -> None:
        self._goal = goal
        self._model = goal.model
        self._replica = replica
        self._in_doubt = in_doubt

    async def adopt(self, stored: StoredArtifact) -> int:
        """Copy the staged chunks that match a version to the store; return how many match."""
        copy = await read_staged(self._replica, self._model, in_parallel)
        return self.adopt_copy(stored, copy) if copy is not None else 0

    def adopt_copy(self, stored: StoredArtifact, copy: StagedCopy) -> int:
        """Add the chunks in `copy` that match a version to the store; return how many match.

        If a chunk is missing at the replica, no order of an earlier daemon process is in doubt.
        """
        matching = copy.matching_chunks([location.digest for location in stored.locations])
        for index, data in matching.items():
            stored.add(index, data)
        if len(matching) == len(stored.locations):
            self._in_doubt.record_complete_staging(self._goal)
        if not copy.indexes:
            self._in_doubt.record_empty_staging()
        elif len(copy.indexes) < len(stored.locations):
            self._in_doubt.rule_out_earlier_order()
        return len(matching)

    async def put(self, stored: StoredArtifact, indexes: list[int]) -> None:
        """Stage the given chunks at the replica, retrying until each is staged."""
        await in_parallel(indexes, partial(self._put, stored))

    async def restage(self, stored: StoredArtifact, index: int) -> bool:
        """Stage a chunk of a loaded version again; return whether the replica confirmed it."""
        return stored.chunk(index) is not None and await self._put_once(stored, index)

    async def verify(self, stored: StoredArtifact) -> bool:
        """Read every staged chunk back, and stage those that are corrupt again.

        Return True if all were read and none was corrupt.
        """
        bad: list[int] = []
        unread: list[int] = []
        digests = [location.digest for location in stored.locations]

        async def check(index: int) -> None:
            data = await self._replica.read_chunk(self._model, index)
            if isinstance(data, Failure):
                unread.append(index)
            elif data.value is None or not matches_digest(data.value, index, digests):
                bad.append(index)
                await self._replace(stored, index, data.value or b"")

        await in_parallel(range(len(stored.locations)), check)
        if bad:
            fields = {"model": self._model, "chunks": sorted(bad)}
            logger.warning("staged chunks bad", extra=fields)
        return not bad and not unread

    async def _put(self, stored: StoredArtifact, index: int) -> None:
        while True:
            if await self._stage(stored, index):
                return
            await trio.sleep(RETRY_SECONDS)

    async def _stage(self, stored: StoredArtifact, index: int) -> bool:
        """Stage a chunk; return False if that is not known to have succeeded."""
        if not self._in_doubt.load_possible(monotonic()):
            return await self._put_once(stored, index)
        data = await self._replica.read_chunk(self._model, index)
        if isinstance(data, Failure):
            return False
        digests = [location.digest for location in stored.locations]
        if data.value is not None and matches_digest(data.value, index, digests):
            return True
        return await self._replace(stored, index, data.value or b"")

    async def _replace(self, stored: StoredArtifact, index: int, bad_data: bytes) -> bool:
        """Stage a chunk in place of a bad one, unless a load of the version has begun.

        Returns False if that is not known to have succeeded, and does nothing if the store does
        not have the chunk.
        """
        if stored.chunk(index) is None:
            return True
        before = await self._replica.report()
        if isinstance(before, Failure) or before.value.busy_loading:
            return False
        if self._goal in before.value.loaded:
            return False
        replaced = ReplacedChunk(self._goal, index, bad_data)
        self._in_doubt.last_replaced = replaced
        with trio.CancelScope(shield=True):
            staged = await self._put_once(stored, index)
            after = await self._replica.report()
            if isinstance(after, Failure) or is_unchanged(before.value, after.value):
                return staged
            await put_back(self._replica, replaced)
        return False

    async def _put_once(self, stored: StoredArtifact, index: int) -> bool:
        """Stage a chunk if the store has it; return False if the replica did not confirm it."""
        data = stored.chunk(index)
        if data is None:
            return True
        # A cancelled put may still take effect later and overwrite a chunk of another version.
        with trio.CancelScope(shield=True):
            outcome = await self._replica.stage_chunk(self._model, index, data)
            self._in_doubt.last_put_at = monotonic()
        if not isinstance(outcome, Failure):
            return True
        if outcome.reason == LINK_LOST:
            self._in_doubt.record_unanswered_put(self._goal, monotonic())
        return False


async def put_back(replica: StagedControl, replaced: ReplacedChunk) -> None:
    """Put back a bad chunk that may have been loaded before it was replaced."""
    goal = replaced.goal
    outcome = await replica.stage_chunk(goal.model, replaced.index, replaced.data)
    fields: dict[str, object] = {"held": weights_name(goal), "chunk": replaced.index}
    if isinstance(outcome, Failure):
        fields["reason"] = outcome.detail
    logger.warning("bad chunk put back", extra=fields)


async def find_corrupt_chunks(
    replica: ReplicaControl, model: str, digests: Sequence[str]
) -> frozenset[int] | None:
    """Return the indexes of staged chunks that do not match, or None if any read failed."""
    bad: set[int] = set()
    unread = False

    async def check(index: int) -> None:
        nonlocal unread
        data = await replica.read_chunk(model, index)
        if isinstance(data, Failure):
            unread = True
        elif data.value is None or not matches_digest(data.value, index, digests):
            bad.add(index)

    await in_parallel(range(len(digests)), check)
    return None if unread else frozenset(bad)


async def in_parallel(indexes: Iterable[int], act: Callable[[int], Awaitable[None]]) -> None:
    """Call `act` for each index, starting in order, with up to `WORKERS` calls at a time."""
    waiting = iter(indexes)

    async def work() -> None:
        for index in waiting:
            await act(index)

    async with trio.open_nursery() as nursery:
        for _ in range(WORKERS):
            nursery.start_soon(work)
