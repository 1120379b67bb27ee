"""Sends chunks to other hosts, bounded in number and by the rate of the link.

Chunks are sent one after the other, each in parts of limited size, so that an answer to a caller
that shares the link waits for one part and not for a complete chunk. A process whose link is much
faster than those of the other hosts has one lane (a queue of chunks) for each requester, limited
by the rate of the requester's link.

If all slots are taken, a request is refused at once, so that the requester can ask another host
instead of waiting.
"""

from collections import Counter
from functools import partial

import trio
from headcross_base.supervision import run_guarded
from headcross_wire.linkrate import LinkRate
from headcross_wire.peermessages import AskChunk, Chunk, NoChunk
from headcross_wire.peernode import Reply

from headcross_weights.chunkstore import ChunkStore
from headcross_weights.pace import LARGE_WEIGHTS, SwarmSettings


class Uploads:
    """Sends the chunks that other hosts request from this process."""

    # Number of chunks sent and of requests refused.
    sent: int
    refused: int

    def __init__(
        self,
        host: str,
        store: ChunkStore,
        uplink: LinkRate,
        settings: SwarmSettings = LARGE_WEIGHTS,
        *,
        lane_per_requester: bool = False,
    ) -> None:
        self.sent = 0
        self.refused = 0
        self._host = host
        self._store = store
        self._uplink = uplink
        self._settings = settings
        self._lane_per_requester = lane_per_requester
        # Number of chunks queued or being sent, and the lock that orders them, by lane.
        self._pending: Counter[str] = Counter()
        self._locks: dict[str, trio.Lock] = {}

    def handle_request(self, nursery: trio.Nursery, request: AskChunk, reply: Reply) -> None:
        """Queue the requested chunk for sending, or refuse the request at once."""
        stored = self._store.get(request.artifact)
        data = stored.chunk(request.index) if stored is not None else None
        lane = request.host if self._lane_per_requester else ""
        if data is None or self._pending[lane] >= self._settings.upload_slots:
            self.refused += 1
            busy = data is not None
            reply(NoChunk(self._host, request.artifact, request.index, busy=busy), None)
            return
        self._pending[lane] += 1
        send = partial(self._send, lane, request, data, reply)
        nursery.start_soon(run_guarded, "upload", send)

    async def _send(self, lane: str, request: AskChunk, data: bytes, reply: Reply) -> None:
        try:
            async with self._locks.setdefault(lane, trio.Lock()):
                is_sent = await self._send_parts(request, data, reply)
                self.sent += is_sent
        finally:
            self._pending[lane] -= 1
            if not self._pending[lane]:
                del self._pending[lane]
                self._locks.pop(lane, None)

    async def _send_parts(self, request: AskChunk, data: bytes, reply: Reply) -> bool:
        """Send all parts of a chunk; return whether the link accepted them."""
        requester_rate = LinkRate(
            request.rate if self._lane_per_requester else 0.0, self._settings.part_bytes
        )
        for offset in range(0, len(data), self._settings.part_bytes):
            part = data[offset : offset + self._settings.part_bytes]
            await requester_rate.take(len(part))
            await self._uplink.take(len(part))
            header = Chunk(self._host, request.artifact, request.index, offset, len(data))
            if not reply(header, part):
                return False
        return True
