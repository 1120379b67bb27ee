"""Facts from other processes, for a process that the store does not serve.

Only a process whose own calls fail asks. A topic may be hundreds of kilobytes: asking several
processes for all of it, and again before the answer could be here, had filled the links between
regions after a restart of all. So it first asks some, again and again, how much they know, which
takes a few bytes, and then one that knows more for the whole. A process that knows nothing says so
at once: its silence cannot be told from an answer that is on its way, and waiting for that had
kept an entry from asking those that knew.

Entries are asked first, since they follow everything, and another process beside them when no
entry is served by the store either. A process that only lists a topic asks nobody for it, and
lists it when it is asked. Nothing is pushed, so a store that serves everyone costs no traffic.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.clocks import monotonic
from headcross_ports.published import Item, Listing, Topic
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
from headcross_facts.topicstate import NOTHING

ASK_SECONDS: Final = 0.3
# Entries that are asked at a time how much they know. In the worst outage seen three of four knew
# nothing; three rounds of four then reach the one that does.
ENTRIES_ASKED: Final = 3
# Another process is asked beside them when nobody has had fresh facts for so long, and the same
# one for so long: one that only lists the topic lists it for this, on a narrow link.
ENTRIES_SECONDS: Final = 0.9
OTHER_SECONDS: Final = 3.0
# A whole topic that was asked for may be on its way for so long before it is asked for again;
# twice as long after each that did not come, up to a limit.
FIRST_TRANSFER_SECONDS: Final = 0.9
MAX_TRANSFER_SECONDS: Final = 5.0
# An answer from one that was itself last served so long ago is none to rely on.
STALE_SECONDS: Final = 2.0
# A process that is asked for a topic that it only lists lists it anew, unless it is this fresh.
FRESH_SECONDS: Final = 0.7

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Search:
    """What a process does to learn of a topic from others (times monotonic)."""

    # When a process that the store serves was last heard from.
    fresh_at: float
    # A process other than an entry that is asked beside them, and until when.
    other: Address | None = None
    other_until: float = float("-inf")
    # The whole topic was asked for and may be on its way until then.
    transfer_until: float = float("-inf")
    patience: float = FIRST_TRANSFER_SECONDS
    transferring: bool = False

    def begin_transfer(self, now: float) -> None:
        """Note that the whole topic was asked for."""
        self.transferring = True
        self.transfer_until = now + self.patience
        self.patience = min(MAX_TRANSFER_SECONDS, 2 * self.patience)

    def end_transfer(self) -> None:
        """Note that it came."""
        self.transferring = False
        self.transfer_until = float("-inf")
        self.patience = FIRST_TRANSFER_SECONDS


class PeerFacts:
    """Asks and answers for topics."""

    # Questions for how much others know, and listings taken from them.
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
        self._searches: dict[Topic, _Search] = {}

    async def run(self) -> None:
        """Ask for topics that the store does not serve, until cancelled."""
        while True:
            await trio.sleep(ASK_SECONDS * random.uniform(0.7, 1.3))
            failing = {t for t in self._follower.failing if self._follower.watches(t)}
            for topic in set(self._searches) - failing:
                del self._searches[topic]
            for topic in failing:
                self._ask(topic)

    def tell_revision(self, question: AskRevision, reply: Reply) -> None:
        """Tell another process how much this one knows, even if that is nothing."""
        topic = _topic_named(question.topic)
        if topic is None:
            return
        state = self._facts.topic_known(topic)
        if state.age() > FRESH_SECONDS:
            self._follower.list_now(topic)
        revision = state.revision if state.known else NOTHING
        reply(KnownRevision(question.topic, revision, state.age()), None)

    def hear_revision(self, message: KnownRevision, reply: Reply) -> None:
        """Ask a process that knows more for all of it, unless that is on its way already."""
        topic = _topic_named(message.topic)
        search = self._searches.get(topic) if topic is not None else None
        if topic is None or search is None:
            return
        now = monotonic()
        if message.age <= STALE_SECONDS:
            search.fresh_at = now
        held = self._revision_held(topic)
        if message.revision <= held or now < search.transfer_until:
            return
        fields = {"topic": topic.value, "held": held}
        if search.transferring:
            logger.info("facts not answered", extra=fields)
        if reply(AskFacts(topic.value, held), None):
            search.begin_transfer(now)
            logger.info("facts asked", extra={**fields, "revision": message.revision})

    def answer(self, question: AskFacts, reply: Reply) -> None:
        """Tell another process all that this one knows of a topic, if that is newer."""
        topic = _topic_named(question.topic)
        if topic is None:
            return
        state = self._facts.topic_known(topic)
        if not state.known or state.revision < question.revision:
            return
        items: list[PublishedItem] = []
        if state.revision > question.revision:
            items = [
                PublishedItem(item.key, item.revision, item.value or b"")
                for item in state.items.values()
            ]
        reply(TopicFacts(question.topic, state.revision, state.age(), items), None)

    def receive(self, message: TopicFacts, sender: str) -> None:
        """Take what another process knows."""
        topic = _topic_named(message.topic)
        if topic is None:
            return
        if topic in self._searches:
            self._searches[topic].end_transfer()
        held = self._revision_held(topic)
        fields = {"topic": topic.value, "revision": message.revision, "held": held}
        logger.info("facts answered", extra={**fields, "age": round(min(message.age, 1e9), 3)})
        if message.revision <= held:
            return
        items = tuple(Item(item.key, item.revision, item.value) for item in message.items)
        self.taken += 1
        self._facts.take_listing(topic, Listing(items, message.revision), message.age, sender)

    def _revision_held(self, topic: Topic) -> int:
        """Return the revision of what is known here; a whole topic may have revision 0."""
        state = self._facts.topics[topic]
        return state.revision if state.known else NOTHING

    def _ask(self, topic: Topic) -> None:
        """Ask some processes how much they know, unless the whole topic is on its way."""
        now = monotonic()
        search = self._searches.setdefault(topic, _Search(fresh_at=now))
        if now < search.transfer_until:
            return
        for peer in self._to_ask(search, now):
            # The first message to a process only opens the link.
            self.asked += self._node.send(peer, AskRevision(topic.value))

    def _to_ask(self, search: _Search, now: float) -> list[Address]:
        """Return some entries, and another process if none of them has fresh facts."""
        entries = self._entries()
        asked = random.sample(entries, min(ENTRIES_ASKED, len(entries)))
        if entries and now - search.fresh_at < ENTRIES_SECONDS:
            return asked
        if now >= search.other_until:
            peers = self._peers()
            search.other = random.choice(peers) if peers else None
            search.other_until = now + OTHER_SECONDS
        if search.other is not None and search.other not in asked:
            asked.append(search.other)
        return asked


def _topic_named(name: str) -> Topic | None:
    """Return the topic that a message is about, None for one of a newer version."""
    try:
        return Topic(name)
    except ValueError:
        return None
