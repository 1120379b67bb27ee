"""Follows the configuration service: a few hosts watch it and spread changes to all others.

The tasks of a follower:

* start: ask the service and the peers for their newest documents; `settled` is set when both
  answered or `SETTLE_SECONDS` are over, and until then the daemon takes no work and issues no
  orders;
* watch: if this host is a reader of a key (see `topology`), keep a long poll on it;
* notice: on a change, send key, revision and digest to the neighbours at once; they ask for the
  body. Repeated notices also spread the readers' freshness;
* fallback: when the document has not been confirmed as fresh for too long, read the service, with
  jitter and backoff.

A change reaches every process within a few message delays, or, if every notice is lost and all
readers have failed, within `FRESH_SECONDS` + jitter + a read.
"""

import random
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure
from headcross_base.hashing import digest_of
from headcross_base.monotonic import monotonic
from headcross_native.configservice import KEYS, ConfigService, Snapshot, Unchanged
from headcross_native.hostlist import Host
from headcross_wire.peermessages import AskDocument, Document, DocumentNotice, PeerMessage
from headcross_wire.peernode import PeerNode, Reply

from headcross_fleet.documents import NO_REVISION, Documents
from headcross_fleet.topology import neighbours_of, readers_of

# Duration of a reader's long poll, and so the interval at which it confirms freshness. With 42
# watches the service gets 21 calls a second.
WATCH_SECONDS: Final = 2.0
# Minimum interval between notices that only improve freshness.
NOTICE_INTERVAL_SECONDS: Final = 1.5
# An improvement of freshness by less than this causes no notice.
MIN_NOTICE_GAIN_SECONDS: Final = 1.0
# A process reads the service itself if its document was last confirmed as fresh longer ago than
# this. With a jitter of 1 s and a read of at most 2 s, that is just within the 8 s allowed for a
# change to reach every process.
FRESH_SECONDS: Final = 5.0
READ_JITTER_SECONDS: Final = 1.0
# Maximum backoff between these reads while the service is down.
MAX_READ_BACKOFF_SECONDS: Final = 20.0
# Time that a starting process waits for answers of both the service and the peers.
SETTLE_SECONDS: Final = 10.0
SETTLE_RETRY_SECONDS: Final = 0.5
# Time to wait for an answer of any peer when peers are asked instead of the service.
PEER_ANSWER_SECONDS: Final = 2.0


class ConfigFollower:
    """Keeps the documents of one process up to date from the service and its peers."""

    # Set once the process may take work and issue orders.
    settled: trio.Event

    def __init__(
        self,
        host: str,
        zone: str,
        documents: Documents,
        service: ConfigService,
        node: PeerNode,
        seeds: list[Address],
    ) -> None:
        self.settled = trio.Event()
        self._host = host
        self._zone = zone
        self._documents = documents
        self._service = service
        self._node = node
        self._seeds = seeds  # peers from the settings, used to start while the service is down
        self._service_answered: set[str] = set()
        self._peer_answered: set[str] = set()
        self._documents_received = dict.fromkeys(KEYS, 0)
        self._notified_at = {key: float("-inf") for key in KEYS}
        self._notified_fresh_at = {key: float("-inf") for key in KEYS}
        self._notified_revision = {key: NO_REVISION for key in KEYS}

    async def run(self) -> None:
        """Follow all documents until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._settle)
            for key in KEYS:
                nursery.start_soon(self._watch, key)
                nursery.start_soon(self._read_when_stale, key)
                nursery.start_soon(self._repeat_notices, key)

    def handle(self, message: PeerMessage, reply: Reply) -> bool:
        """Handle a message of the control channel; return whether it was about a document."""
        match message:
            case DocumentNotice(key=key) if key in KEYS:
                self._handle_notice(message, reply)
            case AskDocument(key=key) if key in KEYS:
                self._send_document(key, reply)
            case Document(key=key) if key in KEYS:
                self._handle_document(message)
            case _:
                return False
        return True

    async def refresh(self) -> bool:
        """Read all documents from the service, or else from peers; return whether all were read.

        Only documents that arrive from now on count: a process that resumes after a pause finds
        old messages in its queues.
        """
        answers = [await self._read(key) or await self._ask_peers(key) for key in KEYS]
        return all(answers)

    async def _ask_peers(self, key: str) -> bool:
        """Ask the peers for a document; return whether one arrived in time."""
        received_before = self._documents_received[key]
        with trio.move_on_after(PEER_ANSWER_SECONDS):
            while self._documents_received[key] == received_before:
                for address in self._peer_addresses():
                    self._node.send(address, AskDocument(key))
                await trio.sleep(PEER_ANSWER_SECONDS / 4)
        return self._documents_received[key] > received_before

    def is_reader(self, key: str) -> bool:
        """Return whether this host should watch a key."""
        readers = readers_of(self._documents.hosts, self._zone, key)
        # A host that is not listed yet is no host's neighbour and gets no notices.
        return self._host in readers or self._documents.hosts.find(self._host) is None

    # Messages from peers.

    def _handle_notice(self, notice: DocumentNotice, reply: Reply) -> None:
        self._peer_answered.add(notice.key)
        held = self._documents.held(notice.key)
        if notice.revision > held.revision or notice.accepted > held.accepted_revision:
            reply(AskDocument(notice.key), None)
        elif notice.revision < held.revision:
            # The peer has an older revision.
            reply(self._make_notice(notice.key), None)
        else:
            self._documents.confirm(notice.key, notice.revision, notice.digest, notice.age)
            self._send_notice_if_due(notice.key)

    def _handle_document(self, document: Document) -> None:
        self._peer_answered.add(document.key)
        if document.digest != digest_of(document.body):
            self._documents.counts["damaged"] += 1
            return
        self._documents_received[document.key] += 1
        self._documents.offer(document.key, document.revision, document.body, document.age)
        self._send_notice_if_due(document.key)

    def _send_document(self, key: str, reply: Reply) -> None:
        held = self._documents.held(key)
        if held.revision == NO_REVISION:
            reply(self._make_notice(key), None)
            return
        if held.accepted_revision not in (NO_REVISION, held.revision):
            # The newest revision was rejected; a starting process also needs the last valid one.
            last_valid = held.accepted_revision, held.accepted_digest, held.age()
            reply(Document(key, *last_valid, held.accepted_body), None)
        reply(Document(key, held.revision, held.digest, held.age(), held.body), None)

    def _make_notice(self, key: str) -> DocumentNotice:
        held = self._documents.held(key)
        return DocumentNotice(key, held.revision, held.digest, held.accepted_revision, held.age())

    # Notices to neighbours.

    def _send_notice_if_due(self, key: str) -> None:
        """Send a notice at once for a new revision, and at intervals for improved freshness."""
        held = self._documents.held(key)
        if held.revision > self._notified_revision[key]:
            self._send_notice(key)
            return
        due = monotonic() - self._notified_at[key] >= NOTICE_INTERVAL_SECONDS
        if due and held.fresh_at - self._notified_fresh_at[key] >= MIN_NOTICE_GAIN_SECONDS:
            self._send_notice(key)

    def _send_notice(self, key: str) -> None:
        held = self._documents.held(key)
        self._notified_at[key] = monotonic()
        self._notified_fresh_at[key] = held.fresh_at
        self._notified_revision[key] = held.revision
        notice = self._make_notice(key)
        for address in self._peer_addresses():
            self._node.send(address, notice)

    async def _repeat_notices(self, key: str) -> None:
        """Repeat notices to make up for lost ones and for network partitions that have ended."""
        while True:
            await trio.sleep(NOTICE_INTERVAL_SECONDS * random.uniform(1.5, 2.5))
            if monotonic() - self._notified_at[key] >= NOTICE_INTERVAL_SECONDS:
                self._send_notice(key)

    def _peer_addresses(self) -> list[Address]:
        """Return the neighbours' addresses, or the seeds while this host is not listed."""
        own_host = self._own_host()
        if own_host is None:
            return self._seeds
        return [host.control_address for host in neighbours_of(self._documents.hosts, own_host)]

    def _own_host(self) -> Host | None:
        return self._documents.hosts.find(self._host)

    # Reading the service.

    async def _watch(self, key: str) -> None:
        """Keep a long poll on a key while this host is a reader of it."""
        while True:
            if not self.is_reader(key):
                await trio.sleep(WATCH_SECONDS)
                continue
            held = self._documents.held(key)
            outcome = await self._service.watch(key, held.revision, WATCH_SECONDS)
            if isinstance(outcome, Failure):
                await trio.sleep(random.uniform(0.5, 1.5))
                continue
            self._handle_service_answer(key, outcome.value)

    async def _read_when_stale(self, key: str) -> None:
        """Read the service when the document has not been confirmed as fresh for too long."""
        backoff = FRESH_SECONDS
        while True:
            await trio.sleep(random.uniform(0.5, READ_JITTER_SECONDS))
            if self._documents.held(key).age() < FRESH_SECONDS or self.is_reader(key):
                backoff = FRESH_SECONDS
                continue
            await self._read(key)
            if self._documents.held(key).age() < FRESH_SECONDS:
                continue
            await trio.sleep(random.uniform(backoff / 2, backoff))
            backoff = min(backoff * 2, MAX_READ_BACKOFF_SECONDS)

    async def _read(self, key: str) -> bool:
        """Read a document from the service; return whether that succeeded."""
        outcome = await self._service.read(key)
        if isinstance(outcome, Failure):
            return False
        self._handle_service_answer(key, outcome.value)
        return True

    def _handle_service_answer(self, key: str, answer: Snapshot | Unchanged) -> None:
        self._service_answered.add(key)
        held = self._documents.held(key)
        if isinstance(answer, Unchanged):
            self._documents.confirm(key, held.revision, held.digest, 0.0)
        else:
            self._documents.offer(key, answer.revision, answer.body, 0.0)
        self._send_notice_if_due(key)

    # Starting.

    async def _settle(self) -> None:
        """Set `settled` when both service and peers answered or `SETTLE_SECONDS` are over.

        It is not set while no fleet file is in force.
        """
        with trio.move_on_after(SETTLE_SECONDS):
            while not self._all_answered():
                await self._ask_service_and_peers()
                await trio.sleep(SETTLE_RETRY_SECONDS if not self._all_answered() else 0)
        while self._documents.revision == NO_REVISION:
            await self._ask_service_and_peers()
            await trio.sleep(SETTLE_RETRY_SECONDS)
        self.settled.set()

    async def _ask_service_and_peers(self) -> None:
        """Read the documents for which the service has not answered yet, and ask all peers."""
        for key in KEYS:
            if key not in self._service_answered:
                await self._read(key)
        for address in [*self._seeds, *self._peer_addresses()]:
            for key in KEYS:
                self._node.send(address, AskDocument(key))

    def _all_answered(self) -> bool:
        peers_needed = bool(self._seeds or self._peer_addresses())
        peers_done = not peers_needed or self._peer_answered.issuperset(KEYS)
        return peers_done and self._service_answered.issuperset(KEYS)
