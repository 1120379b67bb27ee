"""A fake of the platform's origin of weights."""

import hashlib
from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import h11
import msgspec
import trio
from headcross_platform import names

from testing.rawhttp import add_fields, json_bytes, next_cycle, read_request, response_bytes


@dataclass
class FakePlatformOrigin:
    """Serves chunk digests and chunks of versions from memory, with fault injection."""

    chunk_bytes: int
    versions: dict[int, list[bytes]] = field(default_factory=dict)
    sent: Counter[tuple[int, int]] = field(default_factory=Counter)  # by version and chunk
    corrupt_next: int = 0  # how many of the next chunks to corrupt
    corrupt_digests: int = 0  # how many of the next lists of digests to corrupt
    # Fields that are added to manifests, encoded as JSON; the values may be of any form.
    manifest_fields: bytes = b""
    down: bool = False
    seconds_per_chunk: float = 0.0

    @property
    def sent_chunks(self) -> int:
        """The number of chunks sent, repeated ones included."""
        return sum(self.sent.values())

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it closes."""
        connection = h11.Connection(h11.SERVER)
        try:
            while not self.down:
                request = await read_request(connection, stream)
                if request is None or self.down:
                    return
                path, _, query = request[0].target.decode().partition("?")
                await stream.send_all(await self._answer(path, parse_qs(query)))
                connection = next_cycle(connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer(self, path: str, query: dict[str, list[str]]) -> bytes:
        version = int(query["version"][0])
        if version not in self.versions:
            return json_bytes(404, {})
        chunks = self.versions[version]
        if path.startswith(names.MANIFEST_PATH):
            digests = [hashlib.sha256(chunk).hexdigest() for chunk in chunks]
            if self.corrupt_digests:
                self.corrupt_digests -= 1
                digests[1] = digests[0]
            manifest = {"version": version, "chunk_bytes": self.chunk_bytes, "digests": digests}
            body = add_fields(msgspec.json.encode(manifest), self.manifest_fields)
            return response_bytes(200, [], body)
        number = int(query["num"][0])
        await trio.sleep(self.seconds_per_chunk)
        self.sent[version, number] += 1
        data = chunks[number]
        if self.corrupt_next:
            self.corrupt_next -= 1
            data = bytes([data[0] ^ 1]) + data[1:]
        return response_bytes(200, [], data)
