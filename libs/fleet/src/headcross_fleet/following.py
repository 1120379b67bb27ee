"""Following the configuration: few readers, everyone told, nobody left behind.

The tasks of a follower:

* start: ask the service and the peers for their newest; `settled` is set when both answered or the
  stated time is over, and the daemon takes no work and gives no order before that;
* watch: if this host is a reader of a key (see `topology`), keep a long poll on it;
* tell: on a change, tell the neighbours (key, revision, digest) at once; they ask for the body.
  The same hint, repeated, carries freshness outwards from the readers;
* guard: when no word of freshness came for too long, read for itself, with jitter and backoff.

A change reaches everyone within `FRESH_SECONDS` + jitter + a read even if every hint is lost and
all readers are dead; with them alive it takes a few message delays.
"""

import random
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.clocks import monotonic
from headcross_base.errors import Failure
from headcross_base.hashing import digest_of
from headcross_native.configservice import KEYS, ConfigService, Snapshot, Unchanged
from headcross_native.hostlist import Host
from headcross_wire.peermessages import AskDocument, Document, DocumentNotice, PeerMessage
from headcross_wire.peernode import PeerNode, Reply

from headcross_fleet.documents import NO_REVISION, Documents
from headcross_fleet.topology import neighbours_of, readers_of

# A reader's long poll; it confirms freshness this often, at 21 calls a second for 42 watches.
WATCH_SECONDS: Final = 2.0
# Freshness is passed on at most this often.
HINT_SECONDS: Final = 1.5
# Hints that improve freshness by less than this are not passed on.
HINT_GAIN_SECONDS: Final = 1.0
# Without word of freshness for so long, a process reads for itself: with a jitter of 1 s and a
# read of at most 2 s that is just within the 8 s of letter 1.
FRESH_SECONDS: Final = 5.0
GUARD_JITTER_SECONDS: Final = 1.0
# While the service is down, own reads back off up to this.
GUARD_BACKOFF_MAX_SECONDS: Final = 20.0
# A starting process waits this long for both service and peers.
SETTLE_SECONDS: Final = 10.0
SETTLE_RETRY_SECONDS: Final = 0.5
# Peers that are asked in place of the service answer within this, or there are none.
PEER_ANSWER_SECONDS: Final = 2.0


class ConfigFollower:
    """Keeps the documents of one process up to date."""

    # Set once the process may take work and give orders.
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
        self._seeds = seeds  # peers from the settings, for a start with the service down
        self._service_answered: set[str] = set()
        self._peer_answered: set[str] = set()
        self._documents_received = dict.fromkeys(KEYS, 0)
        self._told_at = {key: float("-inf") for key in KEYS}
        self._told_fresh = {key: float("-inf") for key in KEYS}
        self._told_revision = {key: NO_REVISION for key in KEYS}

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._settle)
            for key in KEYS:
                nursery.start_soon(self._watch, key)
                nursery.start_soon(self._guard, key)
                nursery.start_soon(self._tell_regularly, key)

    def handle(self, message: PeerMessage, reply: Reply) -> bool:
        """Take a message of the control channel; return whether it was one of ours."""
        match message:
            case DocumentNotice(key=key) if key in KEYS:
                self._handle_hint(message, reply)
            case AskDocument(key=key) if key in KEYS:
                self._answer(key, reply)
            case Document(key=key) if key in KEYS:
                self._handle_document(message)
            case _:
                return False
        return True

    async def refresh(self) -> bool:
        """Read everything anew, of the service or else of peers; return whether that worked.

        Only answers to questions asked now count: a process that wakes up after a pause finds old
        messages in its queues.
        """
        answers = [await self._read(key) or await self._ask_peers(key) for key in KEYS]
        return all(answers)

    async def _ask_peers(self, key: str) -> bool:
        """Ask the peers for a document and wait for one of them."""
        before = self._documents_received[key]
        with trio.move_on_after(PEER_ANSWER_SECONDS):
            while self._documents_received[key] == before:
                for address in self._peer_addresses():
                    self._node.send(address, AskDocument(key))
                await trio.sleep(PEER_ANSWER_SECONDS / 4)
        return self._documents_received[key] > before

    def is_reader(self, key: str) -> bool:
        """Tell whether this host is to watch a key."""
        readers = readers_of(self._documents.hosts, self._zone, key)
        # A host that is not listed yet must not wait for others to tell it.
        return self._host in readers or self._documents.hosts.find(self._host) is None

    # Messages from peers.

    def _handle_hint(self, hint: DocumentNotice, reply: Reply) -> None:
        self._peer_answered.add(hint.key)
        held = self._documents.held(hint.key)
        if hint.revision > held.revision or hint.accepted > held.accepted_revision:
            reply(AskDocument(hint.key), None)
        elif hint.revision < held.revision:
            # The peer is behind; tell it what is held here.
            reply(self._hint(hint.key), None)
        else:
            self._documents.confirm(hint.key, hint.revision, hint.digest, hint.age)
            self._tell_if_due(hint.key)

    def _handle_document(self, document: Document) -> None:
        self._peer_answered.add(document.key)
        if document.digest != digest_of(document.body):
            self._documents.counts["damaged"] += 1
            return
        self._documents_received[document.key] += 1
        self._documents.offer(document.key, document.revision, document.body, document.age)
        self._tell_if_due(document.key)

    def _answer(self, key: str, reply: Reply) -> None:
        held = self._documents.held(key)
        if held.revision == NO_REVISION:
            reply(self._hint(key), None)
            return
        if held.accepted_revision not in (NO_REVISION, held.revision):
            # The newest was rejected; who starts now needs the last good one as well.
            last_good = held.accepted_revision, held.accepted_digest, held.age()
            reply(Document(key, *last_good, held.accepted_body), None)
        reply(Document(key, held.revision, held.digest, held.age(), held.body), None)

    def _hint(self, key: str) -> DocumentNotice:
        held = self._documents.held(key)
        return DocumentNotice(key, held.revision, held.digest, held.accepted_revision, held.age())

    # Telling others.

    def _tell_if_due(self, key: str) -> None:
        """Tell the neighbours of a new revision at once, and of better freshness if it is due."""
        held = self._documents.held(key)
        if held.revision > self._told_revision[key]:
            self._tell(key)
            return
        due = monotonic() - self._told_at[key] >= HINT_SECONDS
        if due and held.fresh_at - self._told_fresh[key] >= HINT_GAIN_SECONDS:
            self._tell(key)

    def _tell(self, key: str) -> None:
        held = self._documents.held(key)
        self._told_at[key] = monotonic()
        self._told_fresh[key] = held.fresh_at
        self._told_revision[key] = held.revision
        hint = self._hint(key)
        for address in self._peer_addresses():
            self._node.send(address, hint)

    async def _tell_regularly(self, key: str) -> None:
        """Repeat hints so that a lost one, or a healed partition, is made good."""
        while True:
            await trio.sleep(HINT_SECONDS * random.uniform(1.5, 2.5))
            if monotonic() - self._told_at[key] >= HINT_SECONDS:
                self._tell(key)

    def _peer_addresses(self) -> list[Address]:
        me = self._me()
        if me is None:
            return self._seeds
        return [host.control_address for host in neighbours_of(self._documents.hosts, me)]

    def _me(self) -> Host | None:
        return self._documents.hosts.find(self._host)

    # Reading the service.

    async def _watch(self, key: str) -> None:
        while True:
            if not self.is_reader(key):
                await trio.sleep(WATCH_SECONDS)
                continue
            held = self._documents.held(key)
            outcome = await self._service.watch(key, held.revision, WATCH_SECONDS)
            if isinstance(outcome, Failure):
                await trio.sleep(random.uniform(0.5, 1.5))
                continue
            self._take(key, outcome.value)

    async def _guard(self, key: str) -> None:
        """Read for itself when news stay away."""
        backoff = FRESH_SECONDS
        while True:
            await trio.sleep(random.uniform(0.5, GUARD_JITTER_SECONDS))
            if self._documents.held(key).age() < FRESH_SECONDS or self.is_reader(key):
                backoff = FRESH_SECONDS
                continue
            await self._read(key)
            if self._documents.held(key).age() < FRESH_SECONDS:
                continue
            await trio.sleep(random.uniform(backoff / 2, backoff))
            backoff = min(backoff * 2, GUARD_BACKOFF_MAX_SECONDS)

    async def _read(self, key: str) -> bool:
        outcome = await self._service.read(key)
        if isinstance(outcome, Failure):
            return False
        self._take(key, outcome.value)
        return True

    def _take(self, key: str, news: Snapshot | Unchanged) -> None:
        self._service_answered.add(key)
        held = self._documents.held(key)
        if isinstance(news, Unchanged):
            self._documents.confirm(key, held.revision, held.digest, 0.0)
        else:
            self._documents.offer(key, news.revision, news.body, 0.0)
        self._tell_if_due(key)

    # Starting.

    async def _settle(self) -> None:
        """Set `settled` when service and peers answered, or after the stated time."""
        with trio.move_on_after(SETTLE_SECONDS):
            while not self._all_answered():
                await self._ask_everyone()
                await trio.sleep(SETTLE_RETRY_SECONDS if not self._all_answered() else 0)
        while self._documents.revision == NO_REVISION:
            await self._ask_everyone()
            await trio.sleep(SETTLE_RETRY_SECONDS)
        self.settled.set()

    async def _ask_everyone(self) -> None:
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
