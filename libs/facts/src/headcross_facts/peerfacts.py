"""Fetches topics from other processes while the store does not answer this one.

Only a process whose own calls to the store fail asks its peers. A topic may be hundreds of
kilobytes: requesting all of it from several peers, and again before the answer could arrive,
filled the links between regions when all processes restarted at once. So a process first asks a
few peers periodically for their revision, which takes a few bytes, and then requests the whole
topic from one that has a newer revision. A process that has no listing answers that at once:
without an answer it could not be distinguished from one whose answer is still in transit, and
waiting for that kept an entry from asking peers that had the topic.

Messages carry the epoch of their revision. Peers of releases that do not send it are taken to be
before every epoch, so a process that knows an epoch takes nothing from them.

Entries are asked first, since they follow every topic; one other process is asked in addition
while the store does not answer any entry either. A process that lists a topic only on demand does
not ask peers for it, and lists it when a peer asks for its revision. Nothing is pushed, so there
is no traffic between peers while the store answers every process.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.monotonic import monotonic
from headcross_ports.published import UNKNOWN_EPOCH, Item, Listing, Position, Topic
from headcross_wire.peermessages import (
    AskFacts,
    AskRevision,
    KnownRevision,
    PublishedItem,
    TopicFacts,
)
from headcross_wire.peernode import PeerNode, Reply

from headcross_facts.facts import Facts
from headcross_facts.following import Follower
from headcross_facts.order.topicitems import UNKNOWN_REVISION
from headcross_facts.topicstate import TopicState

ASK_INTERVAL_SECONDS: Final = 0.3
# Entries asked for their revision per round. In the worst outage observed three of four entries
# had no listing; three rounds out of four then reach the one that does.
ENTRIES_ASKED: Final = 3
# Another process is asked in addition once no peer has had fresh facts for FALLBACK_DELAY_SECONDS.
# The same one is asked for FALLBACK_PEER_SECONDS, since a process that lists the topic on demand
# has to list it over a narrow link to answer.
FALLBACK_DELAY_SECONDS: Final = 0.9
FALLBACK_PEER_SECONDS: Final = 3.0
# Time that a requested topic may take to arrive before it is requested again. It doubles with each
# request, up to the maximum, until the topic arrives.
FIRST_TRANSFER_SECONDS: Final = 0.9
MAX_TRANSFER_SECONDS: Final = 5.0
# A peer's answer does not count as fresh if the store last answered that peer longer ago.
STALE_SECONDS: Final = 2.0
# A process that lists a topic on demand lists it again when a peer asks for its revision, unless
# its state is no older than this.
FRESH_SECONDS: Final = 0.7

# Earlier than the position of every listing.
UNKNOWN_POSITION: Final = Position(UNKNOWN_EPOCH, UNKNOWN_REVISION)

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _TopicFetch:
    """The state of fetching one topic from peers (times are monotonic)."""

    # When a peer with fresh facts last answered.
    fresh_at: float
    # A process other than an entry that is asked in addition, and until when.
    fallback_peer: Address | None = None
    fallback_until: float = float("-inf")
    # Until when a requested topic may still arrive.
    transfer_until: float = float("-inf")
    transfer_timeout: float = FIRST_TRANSFER_SECONDS
    transferring: bool = False

    def begin_transfer(self, now: float) -> None:
        """Record that the whole topic was requested, and double the next timeout."""
        self.transferring = True
        self.transfer_until = now + self.transfer_timeout
        self.transfer_timeout = min(MAX_TRANSFER_SECONDS, 2 * self.transfer_timeout)

    def end_transfer(self) -> None:
        """Record that the topic arrived, and reset the timeout."""
        self.transferring = False
        self.transfer_until = float("-inf")
        self.transfer_timeout = FIRST_TRANSFER_SECONDS


class PeerFacts:
    """Requests topics from peers while the store fails, and answers such requests of peers."""

    # Number of questions sent for a revision, and of listings taken from peers.
    asked: int
    taken: int

    def __init__(
        self,
        facts: Facts,
        follower: Follower,
        node: PeerNode,
        peers: Callable[[], list[Address]],
        entries: Callable[[], list[Address]],
    ) -> None:
        self.asked = 0
        self.taken = 0
        self._facts = facts
        self._follower = follower
        self._node = node
        self._peers = peers
        self._entries = entries
        # Fetches of the topics whose calls to the store fail.
        self._fetches: dict[Topic, _TopicFetch] = {}

    async def run(self) -> None:
        """Ask peers for the topics whose calls to the store fail, until cancelled."""
        while True:
            await trio.sleep(ASK_INTERVAL_SECONDS * random.uniform(0.7, 1.3))
            failing = {t for t in self._follower.failing if self._follower.watches(t)}
            for topic in set(self._fetches) - failing:
                del self._fetches[topic]
            for topic in failing:
                self._ask(topic)

    def answer_revision(self, question: AskRevision, reply: Reply) -> None:
        """Answer a peer with the revision that this process has, even if it has none.

        A revision of an epoch that is not confirmed is not reported, since peers could not tell if
        the store's answer was malformed.
        """
        topic = _parse_topic(question.topic)
        if topic is None:
            return
        state = self._facts.topic_state(topic)
        if state.age() > FRESH_SECONDS:
            self._follower.list_now(topic)
        position = _position_of(state) if self._is_reportable(state) else UNKNOWN_POSITION
        answer = KnownRevision(question.topic, position.revision, state.age(), position.epoch)
        reply(answer, None)

    def receive_revision(self, message: KnownRevision, reply: Reply) -> None:
        """Request the whole topic from a peer that has a newer revision.

        Nothing is requested while an earlier request may still be answered.
        """
        topic = _parse_topic(message.topic)
        fetch = self._fetches.get(topic) if topic is not None else None
        if topic is None or fetch is None:
            return
        now = monotonic()
        if message.age <= STALE_SECONDS:
            fetch.fresh_at = now
        held = _position_of(self._facts.topics[topic])
        offered = Position(message.epoch, message.revision)
        if offered <= held or now < fetch.transfer_until:
            return
        fields = {"topic": topic.value, "held": held.revision, "held_epoch": held.epoch}
        if fetch.transferring:
            logger.info("facts not answered", extra=fields)
        if reply(AskFacts(topic.value, held.revision, held.epoch), None):
            fetch.begin_transfer(now)
            detail = {"revision": message.revision, "epoch": message.epoch}
            logger.info("facts asked", extra={**fields, **detail})

    def answer(self, question: AskFacts, reply: Reply) -> None:
        """Answer a peer with the topic; without its items if the peer has the same position.

        A peer that has a later position gets no answer. Only the revision of a peer that does not
        know its epoch is compared.
        """
        topic = _parse_topic(question.topic)
        if topic is None:
            return
        state = self._facts.topic_state(topic)
        known_epoch = question.epoch if question.epoch != UNKNOWN_EPOCH else state.epoch
        asked = Position(known_epoch, question.revision)
        if not self._is_reportable(state) or state.position < asked:
            return
        items: list[PublishedItem] = []
        if state.position > asked:
            items = [
                PublishedItem(item.key, item.revision, item.value or b"")
                for item in state.items.values()
            ]
        answer = TopicFacts(question.topic, state.revision, state.age(), items, state.epoch)
        reply(answer, None)

    def receive(self, message: TopicFacts, sender: str) -> None:
        """Apply a topic that a peer sent, if its position is later."""
        topic = _parse_topic(message.topic)
        if topic is None:
            return
        if topic in self._fetches:
            self._fetches[topic].end_transfer()
        held = _position_of(self._facts.topics[topic])
        fields = {"topic": topic.value, "revision": message.revision, "epoch": message.epoch}
        known = {"held": held.revision, "held_epoch": held.epoch}
        age = round(min(message.age, 1e9), 3)
        logger.info("facts answered", extra={**fields, **known, "age": age})
        if Position(message.epoch, message.revision) <= held:
            return
        items = tuple(Item(item.key, item.revision, item.value) for item in message.items)
        self.taken += 1
        listing = Listing(items, message.revision, message.epoch)
        self._facts.take_listing(topic, listing, message.age, sender)

    def _is_reportable(self, state: TopicState) -> bool:
        return state.known and self._facts.epochs.is_confirmed(state.epoch)

    def _ask(self, topic: Topic) -> None:
        """Ask some peers for their revision, unless a requested topic may still arrive."""
        now = monotonic()
        fetch = self._fetches.setdefault(topic, _TopicFetch(fresh_at=now))
        if now < fetch.transfer_until:
            return
        for peer in self._peers_to_ask(fetch, now):
            # The first message to a peer only opens the link and is not sent.
            self.asked += self._node.send(peer, AskRevision(topic.value))

    def _peers_to_ask(self, fetch: _TopicFetch, now: float) -> list[Address]:
        """Return a random sample of entries, and another process if none has fresh facts."""
        entries = self._entries()
        asked = random.sample(entries, min(ENTRIES_ASKED, len(entries)))
        if entries and now - fetch.fresh_at < FALLBACK_DELAY_SECONDS:
            return asked
        if now >= fetch.fallback_until:
            peers = self._peers()
            fetch.fallback_peer = random.choice(peers) if peers else None
            fetch.fallback_until = now + FALLBACK_PEER_SECONDS
        if fetch.fallback_peer is not None and fetch.fallback_peer not in asked:
            asked.append(fetch.fallback_peer)
        return asked


def _position_of(state: TopicState) -> Position:
    """Return the known position of a topic, `UNKNOWN_POSITION` if there is no listing yet."""
    return state.position if state.known else UNKNOWN_POSITION


def _parse_topic(name: str) -> Topic | None:
    """Return the topic that a message names, None if this release does not know it."""
    try:
        return Topic(name)
    except ValueError:
        return None
