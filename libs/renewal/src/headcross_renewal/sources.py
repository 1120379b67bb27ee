"""Adapts the origin of weights to the swarm, and builds manifests from chunk digests.

The origin supplies the digests of a version's chunks. Every host builds the same manifest from
them, so the digest of that manifest identifies the version in the swarm.
"""

from collections.abc import Callable
from typing import Final

import msgspec
from headcross_base.addresses import Address
from headcross_base.errorcodes import SOURCE_FAILED
from headcross_base.errors import Failure, Ok
from headcross_base.hashing import digest_of
from headcross_native.weightsource import SourceBusy
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ChunkDigests, WeightsOrigin
from headcross_weights.manifest import MANIFEST_FORMAT, Manifest, ManifestFile

from headcross_renewal.weightsname import parse_weights_name

# A manifest presents the chunks of a version as ranges of a single file.
MANIFEST_FILE_NAME: Final = "weights"
# Used until the digests of a version supply its chunk size.
DEFAULT_CHUNK_BYTES: Final = 32 * 1024


def manifest_of(digests: ChunkDigests) -> tuple[Manifest, bytes, str]:
    """Return the manifest of a version, its encoded bytes and the digest of those bytes."""
    size = digests.chunk_bytes * len(digests.digests)
    file = ManifestFile(MANIFEST_FILE_NAME, size, list(digests.digests))
    manifest = Manifest(MANIFEST_FORMAT, digests.chunk_bytes, [file])
    body = msgspec.json.encode(manifest)
    return manifest, body, digest_of(body)


class OriginSource:
    """A swarm source that reads from the origin in the newest known configuration."""

    name: str
    last_read_succeeded: bool

    def __init__(
        self,
        find_address: Callable[[], Address | None],
        origin: WeightsOrigin,
        chunk_bytes: int,
        may_send_chunks: Callable[[], bool],
        on_failure: Callable[[], None] = lambda: None,
    ) -> None:
        self.name = "origin"
        self.last_read_succeeded = True
        # Returns whether chunks may be read from the origin. A replica that has not answered yet
        # may have them already.
        self._may_send_chunks = may_send_chunks
        # Called when a read fails: the address of the origin may have changed.
        self._on_failure = on_failure
        self._find_address = find_address
        self._origin = origin
        self._chunk_bytes = chunk_bytes

    def use_chunk_bytes(self, chunk_bytes: int) -> None:
        """Set the chunk size in bytes by which offsets map to chunk indexes."""
        self._chunk_bytes = chunk_bytes

    async def read_digests(self, goal: LoadedModel) -> Ok[ChunkDigests] | Failure:
        """Read the chunk digests of a version from the origin."""
        address = self._find_address()
        if address is None:
            self._on_failure()
            return Failure(SOURCE_FAILED, "no configuration names an origin")
        outcome = await self._origin.read_digests(address, goal.model, goal.version)
        self._record_outcome(outcome)
        return outcome

    async def read_manifest(self, weights: str) -> Ok[bytes] | SourceBusy | Failure:
        """Return the encoded manifest of a version, built from digests read at the origin."""
        outcome = await self.read_digests(parse_weights_name(weights))
        return outcome if isinstance(outcome, Failure) else Ok(manifest_of(outcome.value)[1])

    async def read_range(
        self, weights: str, path: str, offset: int, size: int, seconds: float
    ) -> Ok[bytes] | SourceBusy | Failure:
        """Read the chunk that begins at a byte offset, within a time limit in seconds."""
        address = self._find_address()
        if address is None:
            self._on_failure()
            return Failure(SOURCE_FAILED, "no configuration names an origin")
        if not self._may_send_chunks():
            return Failure(SOURCE_FAILED, "the replica may hold these chunks already")
        goal = parse_weights_name(weights)
        index = offset // self._chunk_bytes
        outcome = await self._origin.read_chunk(address, goal.model, goal.version, index, seconds)
        self._record_outcome(outcome)
        return outcome

    def _record_outcome(self, outcome: object) -> None:
        self.last_read_succeeded = not isinstance(outcome, Failure)
        if not self.last_read_succeeded:
            self._on_failure()
