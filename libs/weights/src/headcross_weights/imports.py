"""Reads manifests and chunks from the weight store and the origin.

The sources are tried in the order of the settings, usually the store first. A source that fails,
sends corrupt bytes or is at its limit is paused and the next one is used. The caller verifies the
bytes.
"""

import logging
from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from headcross_base.errorcodes import SOURCE_FAILED
from headcross_base.errors import Failure, Ok
from headcross_base.monotonic import monotonic
from headcross_native.weightsource import SourceBusy
from headcross_wire.linkrate import LinkRate

from headcross_weights.manifest import ChunkLocation
from headcross_weights.pace import LARGE_WEIGHTS, SwarmSettings

logger = logging.getLogger(__name__)


class WeightSource(Protocol):
    """A store or origin outside the fleet from which weights are read."""

    @property
    def name(self) -> str:
        """The name used in state dumps and metrics."""

    async def read_manifest(self, weights: str) -> Ok[bytes] | SourceBusy | Failure:
        """Return the unverified bytes of a manifest."""

    async def read_range(
        self, weights: str, path: str, offset: int, size: int, seconds: float
    ) -> Ok[bytes] | SourceBusy | Failure:
        """Return `size` unverified bytes of a file from `offset`, within `seconds`."""


class Importer:
    """Reads manifests and chunks from the first source that is not paused."""

    # Bytes received, by source name.
    received_bytes: Counter[str]
    # Number of failed reads and of corrupt reads, by source name.
    failures: Counter[str]
    corrupt: Counter[str]

    def __init__(
        self,
        sources: Sequence[WeightSource],
        downlink: LinkRate,
        settings: SwarmSettings = LARGE_WEIGHTS,
    ) -> None:
        self.received_bytes = Counter()
        self.failures = Counter()
        self.corrupt = Counter()
        self._sources = sources
        self._settings = settings
        self._downlink = downlink
        self._paused_until = {source.name: 0.0 for source in sources}

    async def read_manifest(self, weights: str) -> Ok[tuple[WeightSource, bytes]] | Failure:
        """Return the unverified bytes of a manifest and their source."""
        source = self._choose_source()
        if source is None:
            return Failure(SOURCE_FAILED, "every source is paused")
        outcome = await source.read_manifest(weights)
        return self._record_outcome(source, outcome)

    async def read_chunk(
        self, weights: str, location: ChunkLocation
    ) -> Ok[tuple[WeightSource, bytes]] | Failure:
        """Return the unverified bytes of a chunk and their source."""
        source = self._choose_source()
        if source is None:
            return Failure(SOURCE_FAILED, "every source is paused")
        await self._downlink.take(location.size)
        outcome = await source.read_range(
            weights, location.path, location.offset, location.size, self._settings.read_seconds
        )
        return self._record_outcome(source, outcome)

    def report_corrupt(self, source: WeightSource, detail: str) -> None:
        """Count a failed verification of bytes from a source and pause the source."""
        self.corrupt[source.name] += 1
        self._paused_until[source.name] = monotonic() + self._settings.corrupt_pause_seconds
        logger.error("corrupt bytes", extra={"source": source.name, "detail": detail})

    def _choose_source(self) -> WeightSource | None:
        now = monotonic()
        ready = (source for source in self._sources if self._paused_until[source.name] <= now)
        return next(ready, None)

    def _record_outcome(
        self, source: WeightSource, outcome: Ok[bytes] | SourceBusy | Failure
    ) -> Ok[tuple[WeightSource, bytes]] | Failure:
        match outcome:
            case Ok(value=data):
                self.received_bytes[source.name] += len(data)
                return Ok((source, data))
            case SourceBusy(seconds=seconds):
                self._paused_until[source.name] = monotonic() + seconds
                return Failure(SOURCE_FAILED, f"{source.name} is at its limit")
            case Failure():
                self.failures[source.name] += 1
                self._paused_until[source.name] = monotonic() + self._settings.failed_pause_seconds
                return Failure(SOURCE_FAILED, f"{source.name}: {outcome.detail}")
