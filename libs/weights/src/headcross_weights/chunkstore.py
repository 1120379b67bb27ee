"""In-memory store of verified weight chunks with a bound on its size.

Hosts have no disks, so a version is kept in memory from its first chunk until no upstream needs
it. The full size of an artifact is reserved when it is admitted, so that a transfer never fails
halfway for lack of memory. Artifacts that are not pinned are evicted to make room.
"""

from typing import Final

from headcross_base.errorcodes import CHUNK_CORRUPT, MEMORY_TOO_SMALL
from headcross_base.errors import Failure, Ok
from headcross_base.hashing import digest_of

from headcross_weights.manifest import ChunkLocation, Manifest, list_chunks

BITS_PER_BYTE: Final = 8


class StoredArtifact:
    """The chunks of one artifact that this host has."""

    digest: str
    manifest: Manifest
    manifest_body: bytes
    # Every chunk of the artifact, stored or missing.
    locations: list[ChunkLocation]
    # Indexes of the chunks that are not stored yet.
    missing: set[int]

    def __init__(self, digest: str, manifest: Manifest, manifest_body: bytes) -> None:
        self.digest = digest
        self.manifest = manifest
        self.manifest_body = manifest_body
        self.locations = list_chunks(manifest)
        self.missing = set(range(len(self.locations)))
        self._data: list[bytes | None] = [None] * len(self.locations)
        self._by_digest = {location.digest: location.index for location in self.locations}

    @property
    def is_complete(self) -> bool:
        """Whether every chunk is stored."""
        return not self.missing

    @property
    def progress(self) -> float:
        """The share of chunks that is stored, 0 to 1."""
        return 1 - len(self.missing) / len(self.locations) if self.locations else 1.0

    def add(self, index: int, data: bytes) -> Ok[bool] | Failure:
        """Verify and store a chunk; return whether it was missing.

        Fails if the size or the digest differs from the manifest.
        """
        if index not in self.missing:
            return Ok(False)
        location = self.locations[index]
        if len(data) != location.size or digest_of(data) != location.digest:
            return Failure(CHUNK_CORRUPT, f"chunk {index} of {self.digest[:12]}")
        self._data[index] = data
        self.missing.discard(index)
        return Ok(True)

    def chunk(self, index: int) -> bytes | None:
        """Return a chunk's bytes, or None if it is not stored."""
        return self._data[index] if 0 <= index < len(self._data) else None

    def chunk_by_digest(self, digest: str) -> bytes | None:
        """Return the bytes of the chunk with that digest, or None if it is not stored."""
        index = self._by_digest.get(digest)
        return None if index is None else self._data[index]

    def bitmap(self) -> bytes:
        """Return one bit for each chunk, set if it is stored, lowest bit first."""
        bits = bytearray(-(-len(self.locations) // BITS_PER_BYTE))
        for index, data in enumerate(self._data):
            if data is not None:
                bits[index // BITS_PER_BYTE] |= 1 << index % BITS_PER_BYTE
        return bytes(bits)


def bitmap_indexes(bitmap: bytes, count: int) -> set[int]:
    """Return the indexes below `count` whose bits are set.

    >>> bitmap_indexes(b"\\x05", 8)
    {0, 2}
    """
    set_bits: set[int] = set()
    for position, byte in enumerate(bitmap):
        if byte:
            set_bits.update(
                position * BITS_PER_BYTE + bit for bit in range(BITS_PER_BYTE) if byte >> bit & 1
            )
    return {index for index in set_bits if index < count}


class ChunkStore:
    """The artifacts stored in one process."""

    # Bound on the total size of all artifacts.
    limit_bytes: int

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._artifacts: dict[str, StoredArtifact] = {}
        self._pinned: dict[str, set[str]] = {}  # digests by owner

    @property
    def used_bytes(self) -> int:
        """Bytes reserved by the admitted artifacts."""
        return sum(stored.manifest.total_bytes for stored in self._artifacts.values())

    def get(self, digest: str) -> StoredArtifact | None:
        """Return an artifact, complete or not, or None if it is not admitted."""
        return self._artifacts.get(digest)

    def artifacts(self) -> list[StoredArtifact]:
        """Return all admitted artifacts."""
        return list(self._artifacts.values())

    def pin(self, owner: str, digests: set[str]) -> None:
        """Replace the artifacts that `owner` needs; pinned artifacts are not evicted."""
        self._pinned[owner] = digests

    def admit(
        self, digest: str, manifest: Manifest, manifest_body: bytes
    ) -> Ok[StoredArtifact] | Failure:
        """Reserve memory for an artifact and return it.

        Unpinned artifacts are evicted as needed. Fails if the memory still does not suffice.
        """
        stored = self._artifacts.get(digest)
        if stored is not None:
            return Ok(stored)
        needed = manifest.total_bytes
        pinned = set().union(*self._pinned.values())
        for other in list(self._artifacts):
            if self.used_bytes + needed <= self.limit_bytes:
                break
            if other not in pinned:
                del self._artifacts[other]
        if self.used_bytes + needed > self.limit_bytes:
            detail = f"{needed} bytes wanted, {self.limit_bytes - self.used_bytes} free"
            return Failure(MEMORY_TOO_SMALL, detail)
        stored = StoredArtifact(digest, manifest, manifest_body)
        self._artifacts[digest] = stored
        return Ok(stored)
