"""The peer-to-peer swarm of one process: its transfers, its uploads and its links to peers.

A process serves every chunk it has, of complete artifacts and of those still being transferred.
New chunks are announced in batches to the hosts that joined an artifact here.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure, Ok
from headcross_base.hashing import rendezvous_order
from headcross_base.supervision import keep_running
from headcross_fleet.fleetfile import Artifact
from headcross_native.hostlist import EMPTY_HOST_LIST, HostList
from headcross_wire.linkrate import LinkRate
from headcross_wire.peermessages import (
    AskChunk,
    AskIntent,
    AskManifest,
    Chunk,
    Have,
    Intent,
    Join,
    ManifestBody,
    NoChunk,
    PeerMessage,
)
from headcross_wire.peernode import IncomingMessage, PeerNode, Reply

from headcross_weights.chunkstore import ChunkStore, StoredArtifact
from headcross_weights.imports import Importer
from headcross_weights.manifest import MAX_CHUNK_BYTES
from headcross_weights.neighbours import pick_neighbours
from headcross_weights.neighbourview import Send
from headcross_weights.pace import LARGE_WEIGHTS, SwarmSettings
from headcross_weights.sourcing import ImportOrder
from headcross_weights.transfer import Transfer, TransferContext
from headcross_weights.uploads import Uploads

# Time over which new chunks are collected for one announcement.
ANNOUNCE_INTERVAL_SECONDS: Final = 0.05
# Messages queued on one link; with more, chunks would be outdated by the time they are sent.
LINK_QUEUE_LENGTH: Final = 32
# A listener is removed after this many failed announcements; a live host joins again.
MAX_ANNOUNCE_FAILURES: Final = 100
# Maximum number of links opened ahead of a transfer, those to its own region first. A transfer
# has 7 neighbours and a few hosts that it stands in for. Links to all hosts would carry little but
# heartbeats, whose number grows with the square of the fleet (94 links on each of 60 hosts).
MAX_PREOPENED_LINKS: Final = 24
# Maximum number of hosts to which new chunks of one artifact are announced.
MAX_LISTENERS_PER_ARTIFACT: Final = 64


class Swarm:
    """All transfers and uploads of one process."""

    store: ChunkStore
    # Event counts by name; see TransferContext.
    counts: Counter[str]
    transfers: dict[str, Transfer]
    node: PeerNode
    uploads: Uploads

    def __init__(
        self,
        host: str,
        address: Address,
        store: ChunkStore,
        importer: Importer,
        uplink: LinkRate,
        downlink: LinkRate,
        settings: SwarmSettings = LARGE_WEIGHTS,
        *,
        lane_per_requester: bool = False,
    ) -> None:
        self.store = store
        self.counts = Counter()
        self.transfers = {}
        self.uploads = Uploads(
            host, store, uplink, settings, lane_per_requester=lane_per_requester
        )
        self.node = PeerNode(address, self._handle, LINK_QUEUE_LENGTH, MAX_CHUNK_BYTES)
        self._host = host
        self._hosts: HostList = EMPTY_HOST_LIST
        self._addresses: dict[str, Address] = {}
        # Hosts that joined an artifact, by artifact and host name.
        self._listeners: dict[str, dict[str, _Listener]] = {}
        # Hosts that wait for a chunk that this one imports, by artifact and chunk index.
        self._watchers: dict[tuple[str, int], dict[str, Send]] = {}
        # Indexes of new chunks that were not announced yet, by artifact.
        self._unannounced: dict[str, list[int]] = {}
        self._announce_event = trio.Event()
        self._locks: dict[str, trio.Lock] = {}
        self._nursery: trio.Nursery | None = None
        self._context = TransferContext(
            host,
            store,
            importer,
            downlink,
            self._send_to,
            self._reset_link,
            self._send_awaited_manifests,
            self._announce,
            self.counts,
            settings,
        )

    async def run(self) -> None:
        """Serve chunks and announce new ones until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.node.run)
            await keep_running("announce chunks", self._announce_chunks)

    def update_hosts(self, hosts: HostList) -> None:
        """Replace the known hosts and their addresses."""
        self._hosts = hosts
        self._addresses = {h.name: h.swarm_address for h in hosts.hosts if h.swarm}

    def open_links(self) -> None:
        """Open links ahead of a transfer, to at most MAX_PREOPENED_LINKS hosts."""
        me = self._hosts.find(self._host)
        others = [host for host in self._hosts.hosts if host.name in self._addresses]
        others = [host for host in others if host.name != self._host]
        if len(others) > MAX_PREOPENED_LINKS and me is not None:
            order = rendezvous_order(self._host, (host.name for host in others))
            rank = {name: number for number, name in enumerate(order)}
            others.sort(key=lambda host: (host.region != me.region, rank[host.name]))
        for host in others[:MAX_PREOPENED_LINKS]:
            self.node.connect(self._addresses[host.name])

    async def fetch(
        self, artifact: Artifact, host_names: list[str], origin_copies: int
    ) -> Ok[StoredArtifact] | Failure:
        """Fetch an artifact completely and return it.

        `host_names` are all hosts that need the artifact. Fails if it cannot be admitted.
        """
        # Upstreams of one host share one transfer of an artifact.
        async with self._locks.setdefault(artifact.digest, trio.Lock()):
            return await self._fetch(artifact, host_names, origin_copies)

    async def _fetch(
        self, artifact: Artifact, host_names: list[str], origin_copies: int
    ) -> Ok[StoredArtifact] | Failure:
        stored = self.store.get(artifact.digest)
        if stored is not None and stored.is_complete:
            return Ok(stored)
        hosts = [host for host in self._hosts.hosts if host.name in host_names]
        me = self._hosts.find(self._host)
        neighbours = (
            pick_neighbours(artifact.digest, me.name, me.region, me.zone, hosts) if me else hosts
        )
        order = ImportOrder(artifact.digest, hosts, self._host, origin_copies)
        mirrors = frozenset(host.name for host in hosts if host.is_mirror)
        transfer = Transfer(artifact, neighbours, mirrors, order, self._context)
        self.transfers[artifact.digest] = transfer
        try:
            return await transfer.run()
        finally:
            if self.transfers.get(artifact.digest) is transfer:
                del self.transfers[artifact.digest]

    def progress(self, digest: str) -> float:
        """Return the share of an artifact's chunks that is stored, 0 to 1."""
        stored = self.store.get(digest)
        return stored.progress if stored is not None else 0.0

    def _send_to(self, host: str, message: PeerMessage) -> bool:
        address = self._addresses.get(host)
        return address is not None and self.node.send(address, message)

    def _reset_link(self, host: str) -> None:
        if host in self._addresses:
            self.node.reset(self._addresses[host])

    # Incoming messages.

    def _handle(self, incoming: IncomingMessage) -> None:
        message, payload, reply = incoming.message, incoming.payload, incoming.reply
        match message:
            case Join():
                self._handle_join(message, reply)
            case Have(host=host, artifact=artifact, indexes=indexes):
                if artifact in self.transfers:
                    self.transfers[artifact].receive_have(host, indexes)
            case AskChunk() as request:
                if self._nursery is not None:
                    self.uploads.handle_request(self._nursery, request, reply)
            case Chunk() if payload is not None:
                self._handle_chunk(message, payload)
            case NoChunk(host=host, artifact=artifact, index=index, busy=busy):
                if artifact in self.transfers:
                    self.transfers[artifact].receive_no_chunk(host, index, busy)
            case AskManifest(artifact=artifact):
                self._answer_manifest(artifact, reply)
            case ManifestBody(artifact=artifact) if payload is not None:
                if artifact in self.transfers:
                    self.transfers[artifact].receive_manifest(payload)
            case AskIntent():
                self._answer_intent(message, reply)
            case Intent(host=host, artifact=artifact):
                if artifact in self.transfers:
                    transfer = self.transfers[artifact]
                    transfer.receive_intent(transfer.view(host, _sender(reply)), message)
            case _:
                self.node.malformed += 1

    def _handle_join(self, join: Join, reply: Reply) -> None:
        stored = self.store.get(join.artifact)
        transfer = self.transfers.get(join.artifact)
        if stored is None and transfer is None:
            return
        listener = self._add_listener(join.artifact, join.host, _sender(reply))
        if not join.bitmap:
            if stored is not None:
                reply(ManifestBody(join.artifact), stored.manifest_body)
            elif listener is not None:
                listener.manifest = reply
        if transfer is not None:
            transfer.receive_join(transfer.view(join.host, _sender(reply)), join.bitmap)
        if join.wants_answer:
            bitmap = stored.bitmap() if stored is not None else b""
            reply(Join(self._host, join.artifact, bitmap, wants_answer=False), None)

    def _handle_chunk(self, message: Chunk, payload: bytes) -> None:
        transfer = self.transfers.get(message.artifact)
        if transfer is None:
            # The transfer ended or was cancelled before the chunk arrived.
            self.counts["late_bytes"] += len(payload)
            return
        transfer.receive_part(message, payload)

    def _answer_manifest(self, artifact: str, reply: Reply) -> None:
        stored = self.store.get(artifact)
        if stored is not None:
            reply(ManifestBody(artifact), stored.manifest_body)

    def _answer_intent(self, question: AskIntent, reply: Reply) -> None:
        stored = self.store.get(question.artifact)
        transfer = self.transfers.get(question.artifact)
        has = [i for i in question.indexes if stored is not None and stored.chunk(i) is not None]
        pending = transfer.pending(question) if transfer is not None else []
        for index in pending:
            # Only this chunk is announced to the requester: it may be in another region, where
            # only the first host of a region fetches a chunk from outside it.
            watchers = self._watchers.setdefault((question.artifact, index), {})
            watchers[question.host] = _sender(reply)
        reply(Intent(self._host, question.artifact, has, pending), None)

    # Announcements.

    def _add_listener(self, artifact: str, host: str, send: Send) -> "_Listener | None":
        listeners = self._listeners.setdefault(artifact, {})
        if host in listeners:
            listeners[host].send = send
        elif len(listeners) < MAX_LISTENERS_PER_ARTIFACT:
            listeners[host] = _Listener(send)
        return listeners.get(host)

    def _send_awaited_manifests(self, stored: StoredArtifact) -> None:
        """Send the manifest to the hosts that joined before it was known."""
        for listener in self._listeners.get(stored.digest, {}).values():
            if listener.manifest is not None:
                listener.manifest(ManifestBody(stored.digest), stored.manifest_body)
                listener.manifest = None

    def _announce(self, artifact: str, index: int) -> None:
        self._unannounced.setdefault(artifact, []).append(index)
        self._announce_event.set()

    async def _announce_chunks(self) -> None:
        while True:
            await self._announce_event.wait()
            self._announce_event = trio.Event()
            # Chunks added in the meantime go into the same messages.
            await trio.sleep(ANNOUNCE_INTERVAL_SECONDS)
            unannounced, self._unannounced = self._unannounced, {}
            for artifact, indexes in unannounced.items():
                for listener in self._listeners.get(artifact, {}).values():
                    listener.unsent += indexes
                for index in indexes:
                    for send in self._watchers.pop((artifact, index), {}).values():
                        send(Have(self._host, artifact, [index]))
            for artifact, listeners in self._listeners.items():
                self._send_announcements(artifact, listeners)
            self._remove_stale_listeners()

    def _send_announcements(self, artifact: str, listeners: dict[str, "_Listener"]) -> None:
        """Announce new chunks; a failed announcement is repeated with the next batch."""
        for host, listener in list(listeners.items()):
            if not listener.unsent:
                continue
            if listener.send(Have(self._host, artifact, listener.unsent)):
                listener.unsent, listener.failures = [], 0
                continue
            listener.failures += 1
            self._announce_event.set()
            if listener.failures > MAX_ANNOUNCE_FAILURES:
                del listeners[host]

    def _remove_stale_listeners(self) -> None:
        for artifact in list(self._listeners):
            if artifact not in self.transfers and self.store.get(artifact) is None:
                del self._listeners[artifact]
        for artifact, index in list(self._watchers):
            if artifact not in self.transfers:
                del self._watchers[artifact, index]


@dataclass(slots=True)
class _Listener:
    """A host to which new chunks of one artifact are announced."""

    send: Send
    manifest: Reply | None = None  # set while the host waits for the manifest
    unsent: list[int] = field(default_factory=list)
    failures: int = 0


def _sender(reply: Reply) -> Send:
    """Return a function that sends messages without payload as replies."""
    return lambda message: reply(message, None)
