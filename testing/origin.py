"""A fake origin (or weight store) that serves files from memory over a rate-limited link."""

import json

from headcross_base.hashing import digest_of
from headcross_weights.manifest import Manifest, ManifestFile
from headcross_wire.httpexchange import Exchange
from headcross_wire.linkrate import LinkRate

FILE_NAME = "weights.bin"


def make_weights(data: bytes, chunk_bytes: int) -> tuple[bytes, str]:
    """Return the manifest of a version with a single file, and the manifest's digest."""
    chunks = [
        digest_of(data[offset : offset + chunk_bytes])
        for offset in range(0, len(data), chunk_bytes)
    ]
    file = ManifestFile(FILE_NAME, len(data), chunks)
    manifest = Manifest(1, chunk_bytes, [file])
    body = json.dumps(
        {
            "format": 1,
            "chunk_bytes": manifest.chunk_bytes,
            "files": [{"path": file.path, "size": file.size, "chunks": file.chunks}],
        }
    ).encode()
    return body, digest_of(body)


class FakeOrigin:
    """Serves versions by name; counts requests and bytes sent."""

    def __init__(self, bytes_per_second: float = 0.0) -> None:
        self.link = LinkRate(bytes_per_second, 64 * 1024)
        self.versions: dict[str, tuple[bytes, bytes]] = {}
        self.sent_bytes = 0
        self.ranges = 0  # number of ranges requested
        self.requests: dict[tuple[str, str], int] = {}  # by version and first byte of the range
        self.down = False
        self.corrupt_next = 0  # how many of the next ranges to corrupt
        self.limited_every = 0  # refuses every nth range with status 429; 0 for none

    def add(self, name: str, data: bytes, chunk_bytes: int) -> str:
        """Add a version; return the digest of its manifest."""
        manifest, digest = make_weights(data, chunk_bytes)
        self.versions[name] = (manifest, data)
        return digest

    async def handle(self, exchange: Exchange) -> None:
        """Answer a read of a manifest or a range."""
        if self.down:
            await exchange.respond(500, [], b"down")
            return
        _, _, name, *rest = exchange.request.path.split("/")
        if name not in self.versions:
            await exchange.respond(404, [], b"")
            return
        manifest, data = self.versions[name]
        if rest == ["manifest.json"]:
            await exchange.respond(200, [], manifest)
            return
        self.ranges += 1
        if self.limited_every and self.ranges % self.limited_every == 0:
            await exchange.respond(429, [("retry-after", "1")], b"")
            return
        requested_range = (exchange.request.header("range") or "").removeprefix("bytes=")
        first, _, last = requested_range.partition("-")
        piece = data[int(first) : int(last) + 1]
        self.requests[name, first] = self.requests.get((name, first), 0) + 1
        if self.corrupt_next:
            self.corrupt_next -= 1
            piece = bytes([piece[0] ^ 1]) + piece[1:]
        await self.link.take(len(piece))
        self.sent_bytes += len(piece)
        await exchange.respond(206, [], piece)
