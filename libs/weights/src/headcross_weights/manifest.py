"""Manifest of a version: its files and the digest of every chunk.

A manifest is JSON, and the SHA-256 of its bytes identifies the version. Chunks never span files,
so each is one range of one file at the origin. `headcross manifest` builds the manifest of a
directory. Every process verifies a manifest before using it.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path, PurePosixPath
from typing import Annotated, Final

import msgspec
from headcross_base.decoding import Count, Int64, JsonDecoder
from headcross_base.errorcodes import MANIFEST_MISMATCH
from headcross_base.errors import Failure, Ok
from headcross_base.hashing import digest_of
from headcross_base.units import MIB

DEFAULT_CHUNK_BYTES: Final = 4 * MIB
MAX_CHUNK_BYTES: Final = 64 * MIB
MANIFEST_FORMAT: Final = 1
MAX_MANIFEST_BYTES: Final = 16 * MIB


class ManifestFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One file of a version."""

    path: Annotated[str, msgspec.Meta(min_length=1, max_length=1024)]  # relative, with slashes
    size: Count  # bytes
    chunks: list[str]  # SHA-256 of each chunk, in order


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All files of a version."""

    format: Int64
    chunk_bytes: Annotated[int, msgspec.Meta(ge=1, le=MAX_CHUNK_BYTES)]
    files: list[ManifestFile]

    @property
    def total_bytes(self) -> int:
        """Total size of the files in bytes."""
        return sum(file.size for file in self.files)


_MANIFEST: Final = JsonDecoder(Manifest, MAX_MANIFEST_BYTES)


@dataclass(frozen=True, slots=True)
class ChunkLocation:
    """Position, size and digest of one chunk."""

    index: int  # position among all chunks of the version
    digest: str
    path: str
    offset: int  # bytes from the start of the file
    size: int


def list_chunks(manifest: Manifest) -> list[ChunkLocation]:
    """Return all chunks of a version in order."""
    locations: list[ChunkLocation] = []
    for file in manifest.files:
        for number, digest in enumerate(file.chunks):
            offset = number * manifest.chunk_bytes
            size = min(manifest.chunk_bytes, file.size - offset)
            locations.append(ChunkLocation(len(locations), digest, file.path, offset, size))
    return locations


def parse_manifest(body: bytes, digest: str) -> Ok[Manifest] | Failure:
    """Decode a manifest; fail if its digest differs or its contents are invalid."""
    actual = digest_of(body)
    if actual != digest:
        return Failure(MANIFEST_MISMATCH, f"expected {digest}, the bytes have {actual}")
    decoded = _MANIFEST.decode(body)
    if isinstance(decoded, Failure):
        return Failure(MANIFEST_MISMATCH, f"not a manifest: {decoded.detail}")
    manifest = decoded.value
    problem = next(_problems(manifest), None)
    return Ok(manifest) if problem is None else Failure(MANIFEST_MISMATCH, problem)


def build_manifest(directory: Path, chunk_bytes: int = DEFAULT_CHUNK_BYTES) -> bytes:
    """Return the encoded manifest of all files below a directory.

    The result is deterministic.
    """
    files = [
        _describe(path, path.relative_to(directory).as_posix(), chunk_bytes)
        for path in sorted(directory.rglob("*"))
        if path.is_file()
    ]
    return msgspec.json.encode(Manifest(MANIFEST_FORMAT, chunk_bytes, files))


def _describe(path: Path, name: str, chunk_bytes: int) -> ManifestFile:
    digests: list[str] = []
    size = 0
    with path.open("rb") as stream:
        while data := stream.read(chunk_bytes):
            digests.append(hashlib.sha256(data).hexdigest())
            size += len(data)
    return ManifestFile(name, size, digests)


def _problems(manifest: Manifest) -> Iterator[str]:
    if manifest.format != MANIFEST_FORMAT:
        yield f"format {manifest.format}, this release knows {MANIFEST_FORMAT}"
    for file in manifest.files:
        path = PurePosixPath(file.path)
        if path.is_absolute() or ".." in path.parts:
            yield f"file {file.path!r}: not below the version's directory"
        if len(file.chunks) != -(-file.size // manifest.chunk_bytes):
            yield f"file {file.path!r}: {len(file.chunks)} chunks for {file.size} bytes"
