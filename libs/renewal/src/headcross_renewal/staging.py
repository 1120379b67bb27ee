"""Chunks beside the replica: what lies there, what has to be put there, what was verified.

A replica keeps one copy of each model and checks nothing. Chunks may turn bad after they were put
there, so all are read back and verified right before an order.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

import trio
from headcross_base.clocks import monotonic
from headcross_base.errorcodes import LINK_LOST
from headcross_base.errors import Failure
from headcross_base.hashing import digest_of
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaControl
from headcross_weights.chunkstore import StoredArtifact

from headcross_renewal.indoubt import InDoubtCalls

WORKERS: Final = 4
RETRY_SECONDS: Final = 0.1

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StagedCopy:
    """What lay beside a replica as it was read, unverified."""

    indexes: frozenset[int]  # of all chunks there
    chunks: Mapping[int, bytes]  # those that could be read

    def of_version(self, digests: Sequence[str]) -> Mapping[int, bytes]:
        """Return the chunks that have the digests of a version."""
        return {
            index: data for index, data in self.chunks.items() if _belongs(data, index, digests)
        }


class Staging:
    """The staged copy of one model, as it is to be for one version."""

    def __init__(self, goal: LoadedModel, replica: ReplicaControl, in_doubt: InDoubtCalls) -> None:
        self._goal = goal
        self._model = goal.model
        self._replica = replica
        self._in_doubt = in_doubt

    async def adopt(self, stored: StoredArtifact) -> int:
        """Take those staged chunks that belong to a version; return how many lie there."""
        copy = await read_staged(self._replica, self._model)
        return self.take(stored, copy) if copy is not None else 0

    def take(self, stored: StoredArtifact, copy: StagedCopy) -> int:
        """Take the chunks of a version from what was read; return how many lay there.

        Where a chunk is missing, an earlier process of this daemon has no order open.
        """
        found = copy.of_version([place.digest for place in stored.places])
        for index, data in found.items():
            stored.add(index, data)
        if len(found) == len(stored.places):
            self._in_doubt.record_complete_staging(self._goal)
        if not copy.indexes:
            self._in_doubt.record_empty_staging()
        elif len(copy.indexes) < len(stored.places):
            self._in_doubt.rule_out_earlier_order()
        return len(found)

    async def put(self, stored: StoredArtifact, indexes: list[int]) -> None:
        """Put chunks that are here beside the replica."""
        await _in_parallel(indexes, partial(self._put, stored))

    async def verify(self, stored: StoredArtifact) -> bool:
        """Read every chunk back; put those that are bad once more. True if none was."""
        bad: list[int] = []
        unread: list[int] = []
        digests = [place.digest for place in stored.places]

        async def check(index: int) -> None:
            data = await self._replica.read_chunk(self._model, index)
            if isinstance(data, Failure):
                unread.append(index)
            elif data.value is None or not _belongs(data.value, index, digests):
                bad.append(index)
                await self._put_once(stored, index)

        # One after the other, a replica that takes 0.1 s for each could never be read back within
        # the time for which a read-back holds.
        await _in_parallel(range(len(stored.places)), check)
        if bad:
            fields = {"model": self._model, "chunks": sorted(bad)}
            logger.warning("staged chunks bad", extra=fields)
        return not bad and not unread

    async def _put(self, stored: StoredArtifact, index: int) -> None:
        while True:
            if await self._put_once(stored, index):
                return
            await trio.sleep(RETRY_SECONDS)

    async def _put_once(self, stored: StoredArtifact, index: int) -> bool:
        """Put a chunk if it is here; return whether nothing is left to do."""
        data = stored.chunk(index)
        if data is None:
            return True
        # A put that is cut short may land later, over a chunk of another version.
        with trio.CancelScope(shield=True):
            outcome = await self._replica.stage_chunk(self._model, index, data)
            self._in_doubt.last_put_at = monotonic()
        if not isinstance(outcome, Failure):
            return True
        if outcome.reason == LINK_LOST:
            self._in_doubt.record_unanswered_put(self._goal, monotonic())
        return False


async def read_staged(replica: ReplicaControl, model: str) -> StagedCopy | None:
    """Read what lies beside a replica, None if it does not tell what does."""
    held = await replica.staged_chunks(model)
    if isinstance(held, Failure):
        return None
    chunks: dict[int, bytes] = {}

    async def read(index: int) -> None:
        data = await replica.read_chunk(model, index)
        if not isinstance(data, Failure) and data.value is not None:
            chunks[index] = data.value

    await _in_parallel(sorted(held.value), read)
    return StagedCopy(held.value, chunks)


async def find_bad(
    replica: ReplicaControl, model: str, digests: Sequence[str]
) -> frozenset[int] | None:
    """Return which staged chunks do not have these digests, None if some could not be read."""
    bad: set[int] = set()
    unread = False

    async def check(index: int) -> None:
        nonlocal unread
        data = await replica.read_chunk(model, index)
        if isinstance(data, Failure):
            unread = True
        elif data.value is None or not _belongs(data.value, index, digests):
            bad.add(index)

    await _in_parallel(range(len(digests)), check)
    return None if unread else frozenset(bad)


async def _in_parallel(indexes: Iterable[int], act: Callable[[int], Awaitable[None]]) -> None:
    """Do something for each of some chunks, a few at a time, in their order."""
    waiting = iter(indexes)

    async def work() -> None:
        for index in waiting:
            await act(index)

    async with trio.open_nursery() as nursery:
        for _ in range(WORKERS):
            nursery.start_soon(work)


def _belongs(data: bytes, index: int, digests: Sequence[str]) -> bool:
    """Tell whether a chunk is the one that a version has at an index."""
    return index < len(digests) and digest_of(data) == digests[index]
