"""A fake configuration service with reads and watches, which can be down or stale."""

import base64
import hashlib
from urllib.parse import parse_qs, urlsplit

import trio
from headcross_wire.httpexchange import Exchange


class FakeConfigService:
    """Documents with revisions; `publish` takes the place of the operators' tool."""

    def __init__(self) -> None:
        self.documents: dict[str, tuple[int, bytes]] = {}
        self.reads = 0
        self.down = False
        # Documents that readers get in place of the newest ones; None if the service is not stale.
        self.stale: dict[str, tuple[int, bytes]] | None = None
        self._changed = trio.Event()

    def publish(self, key: str, body: bytes, revision: int | None = None) -> int:
        """Publish a document under the next or the given revision; return the revision."""
        number = revision or self.documents.get(key, (0, b""))[0] + 1
        self.documents[key] = (number, body)
        self._changed.set()
        self._changed = trio.Event()
        return number

    async def handle(self, exchange: Exchange) -> None:
        """Answer a read or a watch of a document."""
        self.reads += 1
        url = urlsplit(exchange.request.target)
        query = parse_qs(url.query)
        key = url.path.rpartition("/")[2]
        after = int(query.get("after", ["0"])[0])
        with trio.move_on_after(float(query.get("wait", ["0"])[0])):
            while not self.down and self._visible(key)[0] <= after:
                await self._changed.wait()
        if self.down:
            await exchange.respond(503, [], b"down")
            return
        revision, body = self._visible(key)
        if not revision:
            await exchange.respond(404, [], b"")
        elif "after" in query and revision <= after:
            await exchange.respond(304, [("revision", str(revision))], b"")
        else:
            digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
            headers = [("revision", str(revision)), ("repr-digest", f"sha-256=:{digest}:")]
            await exchange.respond(200, headers, body)

    def _visible(self, key: str) -> tuple[int, bytes]:
        source = self.documents if self.stale is None else self.stale
        return source.get(key, (0, b""))
