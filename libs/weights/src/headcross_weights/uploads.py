"""Sending chunks to others: bounded in number and by the link's rate.

Chunks leave one after the other, each in parts no larger than the pace says, so that a request's
answer that shares the link waits for one part and not for a whole chunk.

A request that finds all slots taken is refused at once, so that its sender can ask someone else
rather than stand in a queue here.
"""

import trio
from headcross_wire.linkrate import LinkRate
from headcross_wire.peermessages import Chunk, NoChunk
from headcross_wire.peernode import Reply

from headcross_weights.chunkstore import ChunkStore
from headcross_weights.pace import LARGE_WEIGHTS, SwarmPace


class Uploads:
    """All chunks this process sends."""

    # Chunks sent and refused so far.
    sent: int
    refused: int

    def __init__(
        self, host: str, store: ChunkStore, uplink: LinkRate, pace: SwarmPace = LARGE_WEIGHTS
    ) -> None:
        self.sent = 0
        self.refused = 0
        self._host = host
        self._store = store
        self._uplink = uplink
        self._pace = pace
        self._pending = 0
        self._turn = trio.Lock()

    def ask(self, nursery: trio.Nursery, artifact: str, index: int, reply: Reply) -> None:
        """Send a chunk when the link allows, or refuse at once."""
        stored = self._store.get(artifact)
        data = stored.chunk(index) if stored is not None else None
        if data is None or self._pending >= self._pace.upload_slots:
            self.refused += 1
            reply(NoChunk(self._host, artifact, index, busy=data is not None), None)
            return
        self._pending += 1
        nursery.start_soon(self._send, artifact, index, data, reply)

    async def _send(self, artifact: str, index: int, data: bytes, reply: Reply) -> None:
        try:
            async with self._turn:
                self.sent += await self._send_parts(artifact, index, data, reply)
        finally:
            self._pending -= 1

    async def _send_parts(self, artifact: str, index: int, data: bytes, reply: Reply) -> bool:
        """Send all parts; return whether the link took them."""
        for offset in range(0, len(data), self._pace.part_bytes):
            part = data[offset : offset + self._pace.part_bytes]
            await self._uplink.take(len(part))
            if not reply(Chunk(self._host, artifact, index, offset, len(data)), part):
                return False
        return True
