"""Runs one transfer against in-memory peers, of which some are silent and the others answer.

The first host in a chunk's import order that is not silent imports the chunk and offers it at
once. The transfer must therefore read from the origin only the chunks that its own host imports;
any other read duplicates the work of a responsive peer.
"""

from collections import Counter

import trio
from headcross_base.errors import Ok
from headcross_fleet.fleetfile import Artifact
from headcross_native.hostlist import Host
from headcross_weights.chunkstore import ChunkStore
from headcross_weights.imports import Importer
from headcross_weights.pace import LARGE_WEIGHTS
from headcross_weights.sourcing import MANIFEST_INDEX, ImportOrder
from headcross_weights.transfer import Transfer, TransferContext
from headcross_wire.linkrate import LinkRate
from headcross_wire.peermessages import AskChunk, AskIntent, Chunk, Intent, PeerMessage

from testing.origin import make_weights

ANSWER_SECONDS = 0.01  # delay of each answer
ORIGIN_COPIES = 1
NO_BOUND = 0.0  # bytes per second
STORE_BYTES = 1 << 30


class MemoryOrigin:
    """An in-memory weight source that records the offsets of the ranges read."""

    name = "origin"

    def __init__(self, manifest: bytes, data: bytes) -> None:
        self.offsets: list[int] = []
        self._manifest = manifest
        self._data = data

    async def read_manifest(self, weights: str) -> Ok[bytes]:
        """Return the manifest, whatever the name of the weights."""
        await trio.sleep(ANSWER_SECONDS)
        return Ok(self._manifest)

    async def read_range(
        self, weights: str, path: str, offset: int, size: int, seconds: float
    ) -> Ok[bytes]:
        """Return a range of the only file."""
        self.offsets.append(offset)
        await trio.sleep(ANSWER_SECONDS)
        return Ok(self._data[offset : offset + size])


class AnsweringPeers:
    """The hosts of one transfer, which one of them (`me`) runs."""

    def __init__(self, data: bytes, chunk_bytes: int, host_count: int) -> None:
        body, digest = make_weights(data, chunk_bytes)
        self.origin = MemoryOrigin(body, data)
        self.artifact = Artifact(name="m-v1", digest=digest)
        self.hosts = [
            Host(f"host{i}", "upstream", "r0", "z0", "127.0.0.1:1", "127.0.0.1:2")
            for i in range(host_count)
        ]
        self.silent: set[str] = set()
        self._data = data
        self._chunk_bytes = chunk_bytes
        self._orders = {
            host.name: ImportOrder(digest, self.hosts, host.name, ORIGIN_COPIES)
            for host in self.hosts
        }

    def manifest_hosts(self) -> list[str]:
        """Return the hosts in the order in which they fetch the manifest."""
        return self._order_of(MANIFEST_INDEX)

    def fetcher(self, index: int) -> str:
        """Return the host that imports a chunk: the first in its order that is not silent."""
        return next(name for name in self._order_of(index) if name not in self.silent)

    def duties_of(self, me: str) -> list[int]:
        """Return the chunks that a host must read from the origin."""
        count = -(-len(self._data) // self._chunk_bytes)
        return [index for index in range(count) if self.fetcher(index) == me]

    async def transfer(self, me: str) -> list[int]:
        """Run the transfer of a host to its end; return the chunks read from the origin."""
        async with trio.open_nursery() as nursery:
            peers = _Peers(self, me, nursery)
            outcome = await peers.transfer.run()
            nursery.cancel_scope.cancel()
        assert isinstance(outcome, Ok)
        assert outcome.value.is_complete
        return sorted(offset // self._chunk_bytes for offset in self.origin.offsets)

    def make_transfer(self, me: str, context: TransferContext) -> Transfer:
        """Return a transfer of a host with all other hosts as its peers."""
        others = [host for host in self.hosts if host.name != me]
        return Transfer(self.artifact, others, frozenset(), self._orders[me], context)

    def chunk(self, index: int) -> bytes:
        """Return the bytes of a chunk."""
        offset = index * self._chunk_bytes
        return self._data[offset : offset + self._chunk_bytes]

    def _order_of(self, index: int) -> list[str]:
        ranks = {name: order.duty(index).rank for name, order in self._orders.items()}
        placed = {name: rank for name, rank in ranks.items() if rank is not None}
        return sorted(placed, key=lambda name: placed[name])


class _Peers:
    """A running transfer with the answers of the other hosts."""

    def __init__(self, fleet: AnsweringPeers, me: str, nursery: trio.Nursery) -> None:
        self._fleet = fleet
        self._nursery = nursery
        downlink = LinkRate(NO_BOUND, NO_BOUND)
        context = TransferContext(
            me,
            ChunkStore(STORE_BYTES),
            Importer([fleet.origin], downlink),
            downlink,
            self._send,
            lambda host: None,
            lambda stored: None,
            lambda digest, index: None,
            Counter(),
            LARGE_WEIGHTS,
        )
        self.transfer = fleet.make_transfer(me, context)

    def _send(self, host: str, message: PeerMessage) -> bool:
        """Send a message to a host, which answers it unless it is silent."""
        if host not in self._fleet.silent:
            self._nursery.start_soon(self._answer, host, message)
        return True

    async def _answer(self, host: str, message: PeerMessage) -> None:
        await trio.sleep(ANSWER_SECONDS)
        match message:
            case AskIntent(artifact=artifact, indexes=indexes):
                fetched = [index for index in indexes if self._fleet.fetcher(index) == host]
                view = self.transfer.view(host, lambda answer: self._send(host, answer))
                self.transfer.receive_intent(view, Intent(host, artifact, fetched, []))
            case AskChunk(artifact=artifact, index=index):
                data = self._fleet.chunk(index)
                head = Chunk(host, artifact, index, 0, len(data))
                self.transfer.receive_part(head, data)
