"""Reads the chunks that are staged at a replica, and finds out of which version they are."""

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from headcross_base.errors import Failure
from headcross_base.hashing import digest_of
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaReport, StagedControl

from headcross_renewal.loadkey import key_of

# Calls at a time while chunks are read or staged. One after another would take longer than a
# read-back stays valid, if the replica takes 0.1 s for each.
WORKERS: Final = 4
# Interval between two checks of a staged copy: well below the 3 s for which a chunk may be bad.
CHECK_INTERVAL_SECONDS: Final = 0.5

# Calls a function for each index, with several calls at a time.
InParallel = Callable[[Iterable[int], Callable[[int], Awaitable[None]]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class StagedCopy:
    """Chunks that were staged at a replica when it was read, unverified."""

    indexes: frozenset[int]  # of all staged chunks
    chunks: Mapping[int, bytes]  # those that could be read, by index

    def matching_chunks(self, digests: Sequence[str]) -> Mapping[int, bytes]:
        """Return the chunks that match a version's digests, by index."""
        return {
            index: data
            for index, data in self.chunks.items()
            if matches_digest(data, index, digests)
        }


@dataclass(frozen=True, slots=True)
class ReplacedChunk:
    """A staged chunk that was bad, and was replaced while a load of it was possible."""

    goal: LoadedModel
    index: int
    data: bytes  # the bad bytes, empty if the chunk was missing


async def read_staged(
    replica: StagedControl, model: str, in_parallel: InParallel
) -> StagedCopy | None:
    """Read the staged chunks of a model; return None if the replica does not list them."""
    staged = await replica.staged_chunks(model)
    if isinstance(staged, Failure):
        return None
    chunks: dict[int, bytes] = {}

    async def read(index: int) -> None:
        data = await replica.read_chunk(model, index)
        if not isinstance(data, Failure) and data.value is not None:
            chunks[index] = data.value

    await in_parallel(sorted(staged.value), read)
    return StagedCopy(staged.value, chunks)


def staged_candidates(
    report: ReplicaReport, named: Mapping[str, Iterable[int]]
) -> list[LoadedModel]:
    """Return the versions that an earlier process may have staged, newest first per model.

    `named` are the known versions by model. The store lists only the newest version; the one
    before it may have been staged.

    >>> report = ReplicaReport((LoadedModel("m", 1),), False, 0, 0, 0, 0, 0, 1.0)
    >>> [goal.version for goal in staged_candidates(report, {"m": [3]})]
    [3, 2]
    """
    loaded = {held.model: held.version for held in report.loaded}
    candidates: list[LoadedModel] = []
    for model, known in named.items():
        versions = {*known}
        versions.add(max(versions) - 1)
        newer = sorted(v for v in versions if v > loaded.get(model, 0))
        candidates += [LoadedModel(model, version) for version in reversed(newer)]
    return candidates


def is_unchanged(before: ReplicaReport, after: ReplicaReport) -> bool:
    """Return whether a replica has begun no load and no incarnation between two reports."""
    return not after.busy_loading and key_of(before) == key_of(after)


def matches_digest(data: bytes, index: int, digests: Sequence[str]) -> bool:
    """Return whether the data is the chunk at `index` of the version with these digests."""
    return index < len(digests) and digest_of(data) == digests[index]
