"""Serves weights to the engines beside this daemon, over loopback.

An engine that was ordered to load an artifact fetches the manifest and then each chunk by its
digest. It verifies both itself and reports the digest of what it loaded. Only complete artifacts
are served.
"""

from typing import Final

from headcross_weights.chunkstore import ChunkStore, StoredArtifact
from headcross_wire.httpexchange import Exchange

PREFIX: Final = "/artifacts/"


class WeightsServer:
    """Handles requests of engines for manifests and chunks."""

    def __init__(self, store: ChunkStore) -> None:
        self._store = store

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        data = self._find(exchange.request.path)
        if exchange.request.method != "GET" or data is None:
            await exchange.respond_json(404, {"error": "not here"})
            return
        await exchange.respond(200, [("content-type", "application/octet-stream")], data)

    def _find(self, path: str) -> bytes | None:
        parts = path.removeprefix(PREFIX).split("/")
        if not path.startswith(PREFIX) or len(parts) < 2:
            return None
        stored: StoredArtifact | None = self._store.get(parts[0])
        if stored is None or not stored.is_complete:
            return None
        match parts[1:]:
            case ["manifest.json"]:
                return stored.manifest_body
            case ["chunks", digest]:
                return stored.chunk_by_digest(digest)
            case _:
                return None
