"""One transfer: one host filling its store with one artifact.

The tasks of a transfer:

* join: enter the transfer with the neighbours, again until they answer;
* manifest: get it from a neighbour, or from outside when this host is among the first;
* schedule: ask neighbours for chunks, the rarest of a random sample first, a few requests in
  flight for each neighbour, paced by the link;
* import: read the chunks this host has to bring in from the store or the origin;
* watch: ask the hosts before this one in a chunk's order whether they are at work on it, and take
  over when they stay silent (see `sourcing`);
* expire: give up requests that take much longer than usual.

Bytes from anywhere are verified before they are kept. A transfer is cancelled by its caller's
cancel scope, at once.
"""

import logging
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.clocks import monotonic
from headcross_base.errorcodes import MANIFEST_MISMATCH
from headcross_base.errors import Failure, Ok
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
    SLOW_LINK_PART,
    choose_chunk,
    chunks_in_flight,
    is_link_slow,
    offered_chunks,
)
from headcross_weights.chunkstore import ChunkStore, StoredArtifact, bitmap_indexes
from headcross_weights.importduties import ImportDuties
from headcross_weights.imports import Importer
from headcross_weights.manifest import ChunkPlace, parse_manifest
from headcross_weights.manifestfetch import ManifestFetch
from headcross_weights.neighbourview import NeighbourView
from headcross_weights.pace import SwarmPace
from headcross_weights.sourcing import ImportOrder

IMPORT_RETRY_SECONDS: Final = 0.2
EXPIRE_SECONDS: Final = 0.1
# After a refusal a neighbour is asked again after this share of its usual time, give or take half.
BUSY_PAUSE: Final = 0.3
BUSY_PAUSE_SECONDS: Final = 0.05  # while the usual time is not known
# How long a task sleeps at most before it looks for work again.
NEWS_SECONDS: Final = 0.25

logger = logging.getLogger(__name__)

Connect = Callable[[str, PeerMessage], bool]


@dataclass(slots=True)
class TransferContext:
    """What a transfer shares with the rest of the process."""

    host: str
    store: ChunkStore
    importer: Importer
    downlink: LinkRate
    # Sends a message to a host by name, opening the link if needed.
    connect: Connect
    # Closes the link to a host by name, so that the next message opens a new one.
    reset: Callable[[str], None]
    # Tells others that the manifest is here.
    admitted: Callable[[StoredArtifact], None]
    # Tells others of a new chunk.
    announce: Callable[[str, int], None]
    # Counts, by name: peer_bytes, duplicate_bytes, corrupt_peer, takeovers, stalled, ...
    counts: Counter[str]
    pace: SwarmPace


class Transfer:
    """The filling of one artifact on this host."""

    artifact: Artifact
    # Every other host this transfer knows of.
    views: dict[str, NeighbourView]
    # The chunks, once the manifest is known.
    stored: StoredArtifact | None
    # The last trouble worth showing, empty if there was none.
    trouble: str

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
        self.trouble = ""
        self._neighbours = neighbours
        self._mirrors = mirrors
        self._duties = ImportDuties(order, context.pace)
        self._manifest = ManifestFetch(artifact, context.importer)
        self._context = context
        self._started_at = monotonic()
        self._progress_at = self._started_at
        self._importing: set[int] = set()
        self._news = trio.Event()

    async def run(self) -> Ok[StoredArtifact] | Failure:
        """Fetch the whole artifact; a failure is one that trying again does not mend."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_joined)
            body = await self._obtain_manifest()
            outcome = self._admit(body)
            if isinstance(outcome, Ok):
                for worker in (self._watch_importers, self._expire_requests):
                    nursery.start_soon(worker, outcome.value)
                for _ in range(self._context.pace.imports_of_one(len(self._mirrors))):
                    nursery.start_soon(self._import_chunks, outcome.value)
                await self._schedule(outcome.value)
            nursery.cancel_scope.cancel()
        return outcome

    # Messages, handed over by the swarm.

    def view(self, host: str, send: Callable[[PeerMessage], bool]) -> NeighbourView:
        """Return what is known of a host, and how it is reached from now on."""
        view = self.views.get(host)
        if view is None:
            mirror = host in self._mirrors
            view = NeighbourView(host, send, self._context.pace, is_mirror=mirror)
            self.views[host] = view
        view.send = send
        return view

    def receive_join(self, view: NeighbourView, bitmap: bytes) -> None:
        """A neighbour told what it has."""
        view.joined = True
        if self.stored is None:
            view.bitmap = bitmap
            return
        view.has = bitmap_indexes(bitmap, len(self.stored.places))
        self._wake()

    def receive_have(self, host: str, indexes: list[int]) -> None:
        """A neighbour, or a host that was asked about its intent, has more chunks."""
        view = self.views.get(host)
        if view is not None and self.stored is not None:
            known = (i for i in indexes if 0 <= i < len(self.stored.places))
            view.has.update(i for i in known if self._duties.may_fetch_from(host, i))
            self._wake()

    def receive_manifest(self, body: bytes) -> None:
        """A neighbour sent the manifest."""
        if not self._manifest.offer(body):
            self._context.counts["corrupt_peer"] += 1

    def receive_part(self, message: Chunk, payload: bytes) -> None:
        """A part of a chunk arrived; take the chunk once it is there whole."""
        view = self.views.get(message.host)
        if view is None:
            self._context.counts["late_bytes"] += len(payload)
            return
        data = view.assemble(message.index, message.offset, message.size, payload)
        if data is not None:
            self._receive_chunk(message.host, message.index, data)

    def _receive_chunk(self, host: str, index: int, data: bytes) -> None:
        """Keep a chunk if it is what it should be."""
        view = self.views.get(host)
        if self.stored is None or not 0 <= index < len(self.stored.places):
            return
        if view is not None:
            view.received(index)
        self._context.counts["peer_bytes"] += len(data)
        self._context.counts[f"peer_bytes_from {host}"] += len(data)
        outcome = self.stored.add(index, data)
        if isinstance(outcome, Failure):
            self._reject_peer_chunk(host, view, index)
        elif outcome.value:
            self._added(index)
        else:
            self._context.counts["duplicate_bytes"] += len(data)
        self._wake()

    def receive_no_chunk(self, host: str, index: int, busy: bool) -> None:
        """A neighbour cannot send a chunk now."""
        view = self.views.get(host)
        if view is None or self.stored is None or not 0 <= index < len(self.stored.places):
            return
        if not busy:
            view.has.discard(index)
        usual = BUSY_PAUSE * view.latency or BUSY_PAUSE_SECONDS
        view.busy(index, usual * random.uniform(0.5, 1.5))
        self._context.downlink.refund(self.stored.places[index].size)
        self._context.counts["refused"] += 1
        self._wake()

    def receive_intent(self, view: NeighbourView, intent: Intent) -> None:
        """A host before this one in the order told what it is at work on."""
        if not view.hopeful:
            # It may say what it likes: chunks do not come whole from there, so it is stood in for.
            return
        self._duties.receive_intent(intent)
        view.has.update(i for i in intent.has if self._duties.may_fetch_from(view.host, i))
        self._wake()

    def pending(self, question: AskIntent) -> list[int]:
        """Return those chunks that this host will bring in."""
        return self._duties.pending(question)

    # Manifest.

    async def _obtain_manifest(self) -> bytes:
        if self.stored is not None:
            return self.stored.manifest_body
        while True:
            for host in self._duties.before_manifest():
                self._context.connect(host, AskManifest(self.artifact.digest))
            body = await self._manifest.wait_or_import(self._duties.manifest_due())
            if body is not None:
                return body
            self.trouble = self._manifest.trouble

    def _admit(self, body: bytes) -> Ok[StoredArtifact] | Failure:
        manifest = parse_manifest(body, self.artifact.digest)
        if isinstance(manifest, Failure):
            return Failure(MANIFEST_MISMATCH, manifest.detail)
        outcome = self._context.store.admit(self.artifact.digest, manifest.value, body)
        if isinstance(outcome, Failure):
            self.trouble = str(outcome)
            return outcome
        self.stored = outcome.value
        self._duties.start_listening()
        self._context.admitted(self.stored)
        for view in self.views.values():
            view.has |= bitmap_indexes(view.bitmap, len(self.stored.places))
        return outcome

    # Joining.

    async def _keep_joined(self) -> None:
        while True:
            quiet = monotonic() - self._progress_at > self._context.pace.join_again
            for host in self._neighbours:
                view = self.views.get(host.name)
                if view is None or not view.joined or quiet:
                    self._context.connect(host.name, self._join_message())
            # The first message to a host only opens the link, so a young transfer tries often.
            young = monotonic() - self._started_at < self._context.pace.join
            await trio.sleep(
                self._context.pace.join * random.uniform(0.3, 0.6) * (0.1 if young else 1)
            )

    def _join_message(self) -> Join:
        bitmap = self.stored.bitmap() if self.stored is not None else b""
        return Join(self._context.host, self.artifact.digest, bitmap, wants_answer=True)

    # Asking neighbours.

    async def _schedule(self, stored: StoredArtifact) -> None:
        while stored.missing:
            choice = choose_chunk(
                stored,
                self.views,
                self._importing,
                self._context.pace.requests_in_flight,
            )
            if choice is None:
                await self._wait_news()
                continue
            view, index = choice
            size = stored.places[index].size
            view.in_flight[index] = monotonic()
            await self._context.downlink.take(size)
            rate = self._context.downlink.bytes_per_second
            if is_link_slow(self.views, monotonic()):
                rate *= SLOW_LINK_PART
            asked = AskChunk(self._context.host, self.artifact.digest, index, rate)
            view.in_flight[index] = monotonic()
            if index not in stored.missing or not view.send(asked):
                self._context.downlink.refund(size)
                if index in stored.missing:
                    view.stalled()
                else:
                    view.in_flight.pop(index, None)

    # Bringing in from outside.

    async def _import_chunks(self, stored: StoredArtifact) -> None:
        while True:
            index = self._choose_import(stored)
            if index is None:
                await self._wait_news()
                continue
            self._importing.add(index)
            try:
                arrived = await self._import_chunk(stored, stored.places[index])
            finally:
                self._importing.discard(index)
            if not arrived:
                await trio.sleep(IMPORT_RETRY_SECONDS * random.uniform(0.5, 1.5))

    def _choose_import(self, stored: StoredArtifact) -> int | None:
        if self._importing and is_link_slow(self.views, monotonic()):
            return None
        taken = chunks_in_flight(self.views).keys() | self._importing
        mine = [i for i in stored.missing - taken if self._duties.is_mine(i)]
        if mine:
            return random.choice(mine)
        if monotonic() - self._progress_at < self._context.pace.stuck * random.uniform(1, 2):
            return None
        orphans = list(stored.missing - offered_chunks(self.views))
        return random.choice(orphans) if orphans and not self._importing else None

    async def _import_chunk(self, stored: StoredArtifact, place: ChunkPlace) -> bool:
        outcome = await self._context.importer.read_chunk(self.artifact.name, place)
        if isinstance(outcome, Failure):
            self.trouble = str(outcome)
            return False
        source, data = outcome.value
        added = stored.add(place.index, data)
        if isinstance(added, Failure):
            self._context.importer.report_corrupt(source, str(added))
            self.trouble = f"{source.name}: {added}"
            return False
        if added.value:
            self._added(place.index)
        else:
            self._context.counts["duplicate_bytes"] += len(data)
        self._wake()
        return True

    # Watching those who should bring chunks in.

    async def _watch_importers(self, stored: StoredArtifact) -> None:
        while True:
            unattended = sorted(stored.missing - self._importing - offered_chunks(self.views))
            for (host, origin_only), indexes in self._duties.questions(unattended).items():
                question = AskIntent(
                    self._context.host, self.artifact.digest, indexes, origin_only
                )
                self._context.connect(host, question)
            self._report_taken_over(self._duties.take_over(unattended))
            await trio.sleep(self._context.pace.watch * random.uniform(0.8, 1.2))

    def _report_taken_over(self, indexes: list[int]) -> None:
        if indexes:
            self._context.counts["takeovers"] += len(indexes)
            fields = {"digest": self.artifact.digest, "chunks": indexes}
            logger.info("chunks taken over", extra=fields)
            self._wake()

    # Time and events.

    async def _expire_requests(self, stored: StoredArtifact) -> None:
        while stored.missing:
            await trio.sleep(EXPIRE_SECONDS)
            now = monotonic()
            for view in self.views.values():
                late = [i for i, at in view.in_flight.items() if now - at > view.timeout()]
                if late:
                    self._context.counts["stalled"] += 1
                    view.stalled()
                    if not view.hopeful:
                        self._context.reset(view.host)
                    self._wake()

    def _added(self, index: int) -> None:
        self._progress_at = monotonic()
        self._duties.arrived(index)
        self._context.announce(self.artifact.digest, index)

    def _reject_peer_chunk(self, host: str, view: NeighbourView | None, index: int) -> None:
        self._context.counts["corrupt_peer"] += 1
        self.trouble = f"{host} sent a corrupt chunk"
        logger.error("corrupt chunk", extra={"peer": host, "chunk": index})
        if view is not None:
            view.corrupt += 1

    def _wake(self) -> None:
        self._news.set()

    async def _wait_news(self) -> None:
        if self._news.is_set():
            self._news = trio.Event()
        news = self._news
        with trio.move_on_after(NEWS_SECONDS):
            await news.wait()
