"""Facts from other daemons, for a process that the store does not serve.

Only a process whose own calls fail asks, an entry and any other at a time; whoever knows a newer
state of the topic answers with all of it. One that lists the topic only now and then lists it at
once when it is asked. Nothing is pushed, so a store that serves everyone costs no traffic.
"""

import random
from collections.abc import Callable
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_ports.published import Item, Listing, Topic
from headcross_wire.peermessages import AskFacts, PublishedItem, TopicFacts
from headcross_wire.peernode import PeerNode, Reply

from headcross_facts.facts import Facts
from headcross_facts.following import Follower

ASK_SECONDS: Final = 0.3
# A process that is asked for a topic it lists now and then lists it anew, unless it is this fresh.
FRESH_SECONDS: Final = 0.7


class PeerFacts:
    """Asks and answers for topics."""

    # Questions asked, and listings taken from others.
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

    async def run(self) -> None:
        """Ask for topics that the store does not serve, until cancelled."""
        while True:
            await trio.sleep(ASK_SECONDS * random.uniform(0.7, 1.3))
            for topic in list(self._follower.failing):
                self._ask(topic)

    def answer(self, question: AskFacts, reply: Reply) -> None:
        """Tell another daemon what this one knows, if that is newer."""
        try:
            topic = Topic(question.topic)
        except ValueError:
            return
        state = self._facts.topic_known(topic)
        if state.age() > FRESH_SECONDS:
            self._follower.list_now(topic)
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
        """Take what another daemon knows."""
        try:
            topic = Topic(message.topic)
        except ValueError:
            return
        state = self._facts.topics[topic]
        if state.known and message.revision <= state.revision:
            return
        items = tuple(Item(item.key, item.revision, item.value) for item in message.items)
        self.taken += 1
        self._facts.take_listing(topic, Listing(items, message.revision), message.age, sender)

    def _ask(self, topic: Topic) -> None:
        state = self._facts.topics[topic]
        # A listing is asked for even at revision 0, by a process that knows nothing yet.
        revision = state.revision if state.known else -1
        asked = {random.choice(among) for among in (self._entries(), self._peers()) if among}
        for peer in asked:
            self.asked += 1
            self._node.send(peer, AskFacts(topic.value, revision))
