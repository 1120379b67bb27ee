"""Transfers one artifact into the chunk store of one host.

The tasks of a transfer:

* join: send join messages to the neighbours until they answer;
* manifest: obtain it from another host, or import it if this host is due to;
* schedule: request chunks from neighbours, the rarest of a random sample first, with a few
  requests in flight to each neighbour, limited by the rate of the link;
* import: read the chunks that this host has to import from the store or the origin;
* watch: ask the hosts before this one in a chunk's import order whether they are importing it,
  and take over if they stay silent (see `sourcing`);
* expire: time out requests that take much longer than usual.

All bytes are verified before they are stored. A transfer ends at once when the caller's cancel
scope is cancelled.
"""

import logging
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.errorcodes import MANIFEST_MISMATCH
from headcross_base.errors import Failure, Ok
from headcross_base.monotonic import monotonic
from headcross_fleet.fleetfile import Artifact
from headcross_native.hostlist import Host
from headcross_wire.linkrate import LinkRate
from headcross_wire.peermessages import (
    AskChunk,
    AskIntent,
    AskManifest,
    Chunk,
    Intent,
    Join,
    PeerMessage,
)

from headcross_weights.chunkchoice import (
    SLOW_LINK_RATE_SHARE,
    choose_chunk,
    chunks_in_flight,
    is_link_slow,
    offered_chunks,
)
from headcross_weights.chunkstore import ChunkStore, StoredArtifact, bitmap_indexes
from headcross_weights.importduties import ImportDuties
from headcross_weights.imports import Importer
from headcross_weights.manifest import ChunkLocation, parse_manifest
from headcross_weights.manifestfetch import ManifestFetch
from headcross_weights.neighbourview import NeighbourView
from headcross_weights.pace import SwarmSettings
from headcross_weights.sourcing import ImportOrder

IMPORT_RETRY_SECONDS: Final = 0.2
EXPIRY_CHECK_SECONDS: Final = 0.1
# After a refusal, a neighbour gets the next request after this share of its average latency,
# varied at random by up to half.
BUSY_PAUSE_SHARE: Final = 0.3
DEFAULT_BUSY_PAUSE_SECONDS: Final = 0.05  # until a latency is known
# A task without work checks for new work at least this often.
MAX_IDLE_SECONDS: Final = 0.25

logger = logging.getLogger(__name__)

SendToHost = Callable[[str, PeerMessage], bool]


@dataclass(slots=True)
class TransferContext:
    """Dependencies of a transfer that the process shares between its transfers."""

    host: str
    store: ChunkStore
    importer: Importer
    downlink: LinkRate
    # Sends a message to a host by name, opening the link if needed; returns whether it was queued.
    send_to: SendToHost
    # Closes the link to a host by name; the next message opens a new one.
    reset_link: Callable[[str], None]
    # Called when the artifact has been admitted to the store.
    manifest_admitted: Callable[[StoredArtifact], None]
    # Called with the digest of the artifact and the index of a new chunk.
    chunk_added: Callable[[str, int], None]
    # Event counts by name: peer_bytes, duplicate_bytes, corrupt_peer, takeovers, stalled, ...
    counts: Counter[str]
    settings: SwarmSettings


class Transfer:
    """The transfer of one artifact to this host."""

    artifact: Artifact
    # State of every other host known to this transfer, by name.
    views: dict[str, NeighbourView]
    # The stored chunks, None until the manifest is known.
    stored: StoredArtifact | None
    # Text of the last error, empty if there was none.
    last_error: str

    def __init__(
        self,
        artifact: Artifact,
        neighbours: list[Host],
        mirrors: frozenset[str],
        order: ImportOrder,
        context: TransferContext,
    ) -> None:
        self.artifact = artifact
        self.views = {}
        self.stored = context.store.get(artifact.digest)
        self.last_error = ""
        self._neighbours = neighbours
        self._mirrors = mirrors
        self._duties = ImportDuties(order, context.settings)
        self._manifest = ManifestFetch(artifact, context.importer)
        self._context = context
        self._started_at = monotonic()
        self._progress_at = self._started_at
        self._importing: set[int] = set()
        self._change = trio.Event()

    async def run(self) -> Ok[StoredArtifact] | Failure:
        """Fetch the complete artifact and return it; fail only where a retry would not help."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_joined)
            body = await self._obtain_manifest()
            outcome = self._admit(body)
            if isinstance(outcome, Ok):
                for worker in (self._watch_importers, self._expire_requests):
                    nursery.start_soon(worker, outcome.value)
                for _ in range(self._context.settings.imports_per_host(len(self._mirrors))):
                    nursery.start_soon(self._import_chunks, outcome.value)
                await self._schedule(outcome.value)
            nursery.cancel_scope.cancel()
        return outcome

    # Messages forwarded by the swarm.

    def view(self, host: str, send: Callable[[PeerMessage], bool]) -> NeighbourView:
        """Return the state of a host, creating it if needed, and set its send function."""
        view = self.views.get(host)
        if view is None:
            mirror = host in self._mirrors
            view = NeighbourView(host, send, self._context.settings, is_mirror=mirror)
            self.views[host] = view
        view.send = send
        return view

    def receive_join(self, view: NeighbourView, bitmap: bytes) -> None:
        """Record the chunks of a host that sent a join message."""
        view.joined = True
        if self.stored is None:
            view.bitmap = bitmap
            return
        view.has = bitmap_indexes(bitmap, len(self.stored.locations))
        self._wake()

    def receive_have(self, host: str, indexes: list[int]) -> None:
        """Record new chunks of a neighbour or of a host that was asked about its imports."""
        view = self.views.get(host)
        if view is not None and self.stored is not None:
            known = (i for i in indexes if 0 <= i < len(self.stored.locations))
            view.has.update(i for i in known if self._duties.may_fetch_from(host, i))
            self._wake()

    def receive_manifest(self, body: bytes) -> None:
        """Handle a manifest from another host."""
        if not self._manifest.offer(body):
            self._context.counts["corrupt_peer"] += 1

    def receive_part(self, message: Chunk, payload: bytes) -> None:
        """Handle a part of a chunk; store the chunk once it is complete."""
        view = self.views.get(message.host)
        if view is None:
            self._context.counts["late_bytes"] += len(payload)
            return
        data = view.assemble(message.index, message.offset, message.size, payload)
        if data is not None:
            self._receive_chunk(message.host, message.index, data)

    def _receive_chunk(self, host: str, index: int, data: bytes) -> None:
        """Verify a chunk from a host and store it."""
        view = self.views.get(host)
        if self.stored is None or not 0 <= index < len(self.stored.locations):
            return
        if view is not None:
            view.note_received(index)
        self._context.counts["peer_bytes"] += len(data)
        self._context.counts[f"peer_bytes_from {host}"] += len(data)
        outcome = self.stored.add(index, data)
        if isinstance(outcome, Failure):
            self._reject_peer_chunk(host, view, index)
        elif outcome.value:
            self._note_added(index)
        else:
            self._context.counts["duplicate_bytes"] += len(data)
        self._wake()

    def receive_no_chunk(self, host: str, index: int, busy: bool) -> None:
        """Handle a refusal: the host is busy or does not have the chunk."""
        view = self.views.get(host)
        if view is None or self.stored is None or not 0 <= index < len(self.stored.locations):
            return
        if not busy:
            view.has.discard(index)
        pause_seconds = BUSY_PAUSE_SHARE * view.latency or DEFAULT_BUSY_PAUSE_SECONDS
        view.note_busy(index, pause_seconds * random.uniform(0.5, 1.5))
        self._context.downlink.refund(self.stored.locations[index].size)
        self._context.counts["refused"] += 1
        self._wake()

    def receive_intent(self, view: NeighbourView, intent: Intent) -> None:
        """Handle an answer about the chunks that a host has or is importing."""
        if not view.is_usable:
            # Chunks from this host are corrupt or do not arrive, so its answers do not delay a
            # takeover.
            return
        self._duties.receive_intent(intent)
        view.has.update(i for i in intent.has if self._duties.may_fetch_from(view.host, i))
        self._wake()

    def pending(self, question: AskIntent) -> list[int]:
        """Return the chunks asked about that this host will import."""
        return self._duties.pending(question)

    # Manifest.

    async def _obtain_manifest(self) -> bytes:
        if self.stored is not None:
            return self.stored.manifest_body
        while True:
            for host in self._duties.manifest_predecessors():
                self._context.send_to(host, AskManifest(self.artifact.digest))
            body = await self._manifest.wait_or_import(self._duties.manifest_import_delay())
            if body is not None:
                return body
            self.last_error = self._manifest.last_error

    def _admit(self, body: bytes) -> Ok[StoredArtifact] | Failure:
        manifest = parse_manifest(body, self.artifact.digest)
        if isinstance(manifest, Failure):
            return Failure(MANIFEST_MISMATCH, manifest.detail)
        outcome = self._context.store.admit(self.artifact.digest, manifest.value, body)
        if isinstance(outcome, Failure):
            self.last_error = str(outcome)
            return outcome
        self.stored = outcome.value
        self._duties.start_silence_timer()
        self._context.manifest_admitted(self.stored)
        for view in self.views.values():
            view.has |= bitmap_indexes(view.bitmap, len(self.stored.locations))
        return outcome

    # Joining.

    async def _keep_joined(self) -> None:
        while True:
            is_stalled = monotonic() - self._progress_at > self._context.settings.rejoin_seconds
            for host in self._neighbours:
                view = self.views.get(host.name)
                if view is None or not view.joined or is_stalled:
                    self._context.send_to(host.name, self._join_message())
            # The first message to a host only opens the link, so a new transfer sends more often.
            is_recent = monotonic() - self._started_at < self._context.settings.join_seconds
            await trio.sleep(
                self._context.settings.join_seconds
                * random.uniform(0.3, 0.6)
                * (0.1 if is_recent else 1)
            )

    def _join_message(self) -> Join:
        bitmap = self.stored.bitmap() if self.stored is not None else b""
        return Join(self._context.host, self.artifact.digest, bitmap, wants_answer=True)

    # Requests to neighbours.

    async def _schedule(self, stored: StoredArtifact) -> None:
        while stored.missing:
            choice = choose_chunk(
                stored,
                self.views,
                self._importing,
                self._context.settings.requests_in_flight,
            )
            if choice is None:
                await self._wait_for_change()
                continue
            view, index = choice
            size = stored.locations[index].size
            view.in_flight[index] = monotonic()
            await self._context.downlink.take(size)
            rate = self._context.downlink.bytes_per_second
            if is_link_slow(self.views, monotonic()):
                rate *= SLOW_LINK_RATE_SHARE
            request = AskChunk(self._context.host, self.artifact.digest, index, rate)
            view.in_flight[index] = monotonic()
            if index not in stored.missing or not view.send(request):
                self._context.downlink.refund(size)
                if index in stored.missing:
                    view.note_timeout()
                else:
                    view.in_flight.pop(index, None)

    # Imports from weight sources.

    async def _import_chunks(self, stored: StoredArtifact) -> None:
        while True:
            index = self._choose_import(stored)
            if index is None:
                await self._wait_for_change()
                continue
            self._importing.add(index)
            try:
                arrived = await self._import_chunk(stored, stored.locations[index])
            finally:
                self._importing.discard(index)
            if not arrived:
                await trio.sleep(IMPORT_RETRY_SECONDS * random.uniform(0.5, 1.5))

    def _choose_import(self, stored: StoredArtifact) -> int | None:
        if self._importing and is_link_slow(self.views, monotonic()):
            return None
        taken = chunks_in_flight(self.views).keys() | self._importing
        due = [i for i in stored.missing - taken if self._duties.should_import(i)]
        if due:
            return random.choice(due)
        if monotonic() - self._progress_at < self._context.settings.stuck_seconds * random.uniform(
            1, 2
        ):
            return None
        not_offered = list(stored.missing - offered_chunks(self.views))
        return random.choice(not_offered) if not_offered and not self._importing else None

    async def _import_chunk(self, stored: StoredArtifact, location: ChunkLocation) -> bool:
        outcome = await self._context.importer.read_chunk(self.artifact.name, location)
        if isinstance(outcome, Failure):
            self.last_error = str(outcome)
            return False
        source, data = outcome.value
        added = stored.add(location.index, data)
        if isinstance(added, Failure):
            self._context.importer.report_corrupt(source, str(added))
            self.last_error = f"{source.name}: {added}"
            return False
        if added.value:
            self._note_added(location.index)
        else:
            self._context.counts["duplicate_bytes"] += len(data)
        self._wake()
        return True

    # Takeover from silent hosts.

    async def _watch_importers(self, stored: StoredArtifact) -> None:
        while True:
            not_offered = sorted(stored.missing - self._importing - offered_chunks(self.views))
            for (host, origin_only), indexes in self._duties.intent_queries(not_offered).items():
                question = AskIntent(
                    self._context.host, self.artifact.digest, indexes, origin_only
                )
                self._context.send_to(host, question)
            self._log_takeover(self._duties.take_over(not_offered))
            await trio.sleep(self._context.settings.watch_seconds * random.uniform(0.8, 1.2))

    def _log_takeover(self, indexes: list[int]) -> None:
        if indexes:
            self._context.counts["takeovers"] += len(indexes)
            fields = {"digest": self.artifact.digest, "chunks": indexes}
            logger.info("chunks taken over", extra=fields)
            self._wake()

    # Timeouts and events.

    async def _expire_requests(self, stored: StoredArtifact) -> None:
        while stored.missing:
            await trio.sleep(EXPIRY_CHECK_SECONDS)
            now = monotonic()
            for view in self.views.values():
                late = [i for i, at in view.in_flight.items() if now - at > view.timeout()]
                if late:
                    self._context.counts["stalled"] += 1
                    view.note_timeout()
                    if not view.is_usable:
                        self._context.reset_link(view.host)
                    self._wake()

    def _note_added(self, index: int) -> None:
        self._progress_at = monotonic()
        self._duties.note_arrival(index)
        self._context.chunk_added(self.artifact.digest, index)

    def _reject_peer_chunk(self, host: str, view: NeighbourView | None, index: int) -> None:
        self._context.counts["corrupt_peer"] += 1
        self.last_error = f"{host} sent a corrupt chunk"
        logger.error("corrupt chunk", extra={"peer": host, "chunk": index})
        if view is not None:
            view.corrupt_chunks += 1

    def _wake(self) -> None:
        self._change.set()

    async def _wait_for_change(self) -> None:
        if self._change.is_set():
            self._change = trio.Event()
        change = self._change
        with trio.move_on_after(MAX_IDLE_SECONDS):
            await change.wait()
