"""Bringing bytes in from the weight store and the origin, verified by whoever asked.

The sources are tried in the order of the settings (the store first, usually). One that fails,
sends corrupt bytes or is at its limit is left alone for a while and the next one is tried.
"""

import logging
from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from headcross_base.clocks import monotonic
from headcross_base.errorcodes import SOURCE_FAILED
from headcross_base.errors import Failure, Ok
from headcross_native.weightsource import SourceBusy
from headcross_wire.linkrate import LinkRate

from headcross_weights.manifest import ChunkPlace
from headcross_weights.pace import LARGE_WEIGHTS, SwarmPace

logger = logging.getLogger(__name__)


class WeightSource(Protocol):
    """Where weights come from outside."""

    @property
    def name(self) -> str:
        """The name in dumps and metrics."""

    async def read_manifest(self, weights: str) -> Ok[bytes] | SourceBusy | Failure:
        """Return the bytes of a manifest, unchecked."""

    async def read_range(
        self, weights: str, path: str, offset: int, size: int, seconds: float
    ) -> Ok[bytes] | SourceBusy | Failure:
        """Return `size` bytes of a file from `offset`, unchecked."""


class Importer:
    """Reads manifests and chunks from outside the fleet."""

    # Bytes received from each source, by its name.
    received_bytes: Counter[str]
    # Failures and corrupt bytes of each source, by its name.
    failures: Counter[str]
    corrupt: Counter[str]

    def __init__(
        self,
        sources: Sequence[WeightSource],
        downlink: LinkRate,
        pace: SwarmPace = LARGE_WEIGHTS,
    ) -> None:
        self.received_bytes = Counter()
        self.failures = Counter()
        self.corrupt = Counter()
        self._sources = sources
        self._pace = pace
        self._downlink = downlink
        self._paused_until = {source.name: 0.0 for source in sources}

    async def read_manifest(self, weights: str) -> Ok[tuple[WeightSource, bytes]] | Failure:
        """Return a manifest's bytes and where they came from, unchecked."""
        source = self._choose()
        if source is None:
            return Failure(SOURCE_FAILED, "every source is paused")
        outcome = await source.read_manifest(weights)
        return self._take(source, outcome)

    async def read_chunk(
        self, weights: str, place: ChunkPlace
    ) -> Ok[tuple[WeightSource, bytes]] | Failure:
        """Return a chunk's bytes and where they came from, unchecked."""
        source = self._choose()
        if source is None:
            return Failure(SOURCE_FAILED, "every source is paused")
        await self._downlink.take(place.size)
        outcome = await source.read_range(
            weights, place.path, place.offset, place.size, self._pace.read
        )
        return self._take(source, outcome)

    def report_corrupt(self, source: WeightSource, detail: str) -> None:
        """Count bytes that failed verification against their source, and leave it alone."""
        self.corrupt[source.name] += 1
        self._paused_until[source.name] = monotonic() + self._pace.corrupt_pause
        logger.error("corrupt bytes", extra={"source": source.name, "detail": detail})

    def _choose(self) -> WeightSource | None:
        now = monotonic()
        ready = (source for source in self._sources if self._paused_until[source.name] <= now)
        return next(ready, None)

    def _take(
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
                self._paused_until[source.name] = monotonic() + self._pace.failed_pause
                return Failure(SOURCE_FAILED, f"{source.name}: {outcome.detail}")
