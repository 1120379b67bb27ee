"""Facts from other daemons, for a process that the store does not serve.

Only a process whose own calls fail asks, one other at a time; whoever knows a newer state of the
topic answers with all of it, which may be hundreds of kilobytes: asking several at once, and again
before the answer could be here, had filled the links between regions after a restart of all. An
entry is asked first, since entries follow everything; another process when the entry was silent or
is not served by the store either. A process that only lists a topic asks nobody for it, and lists
it when it is asked. Nothing is pushed, so a store that serves everyone costs no traffic.
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
from headcross_wire.peermessages import AskFacts, PublishedItem, TopicFacts
from headcross_wire.peernode import PeerNode, Reply

from headcross_facts.facts import Facts
from headcross_facts.following import Follower

ASK_SECONDS: Final = 0.3
# A question waits so long for its answer before another process is asked; twice as long after each
# that brought none, up to a limit.
FIRST_ANSWER_SECONDS: Final = 0.9
MAX_ANSWER_SECONDS: Final = 5.0
# An answer from one that was itself last served so long ago is none to rely on.
STALE_SECONDS: Final = 2.0
# A process that is asked for a topic that it only lists lists it anew, unless it is this fresh.
FRESH_SECONDS: Final = 0.7

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Question:
    """The last question for a topic."""

    # Whether the next one goes to any process instead of an entry.
    asks_any: bool = False
    peer: Address | None = None
    sent: bool = False
    waits_until: float = 0.0  # monotonic
    patience: float = FIRST_ANSWER_SECONDS

    def begin(self, peer: Address, now: float) -> None:
        """Turn to a process; should no answer come, the next one is of the other kind."""
        self.peer = peer
        self.sent = False
        self.waits_until = now + self.patience
        self.patience = min(MAX_ANSWER_SECONDS, 2 * self.patience)
        self.asks_any = not self.asks_any


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
        self._questions: dict[Topic, _Question] = {}

    async def run(self) -> None:
        """Ask for topics that the store does not serve, until cancelled."""
        while True:
            await trio.sleep(ASK_SECONDS * random.uniform(0.7, 1.3))
            failing = {t for t in self._follower.failing if self._follower.watches(t)}
            for topic in set(self._questions) - failing:
                del self._questions[topic]
            for topic in failing:
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
        if topic in self._questions:
            stale = message.age > STALE_SECONDS
            self._questions[topic] = _Question(asks_any=stale)
        state = self._facts.topics[topic]
        fields = {"topic": topic.value, "revision": message.revision, "held": state.revision}
        logger.info("facts answered", extra={**fields, "age": round(min(message.age, 1e9), 3)})
        if state.known and message.revision <= state.revision:
            return
        items = tuple(Item(item.key, item.revision, item.value) for item in message.items)
        self.taken += 1
        self._facts.take_listing(topic, Listing(items, message.revision), message.age, sender)

    def _ask(self, topic: Topic) -> None:
        question = self._questions.setdefault(topic, _Question())
        now = monotonic()
        if now >= question.waits_until:
            peers = self._peers() if question.asks_any else self._entries() or self._peers()
            if not peers:
                return
            if question.peer is not None:
                fields = {"topic": topic.value, "peer": str(question.peer), "sent": question.sent}
                logger.info("facts not answered", extra=fields)
            question.begin(random.choice(peers), now)
        if question.peer is None or question.sent:
            return
        state = self._facts.topics[topic]
        # A listing is asked for even at revision 0, by a process that knows nothing yet.
        revision = state.revision if state.known else -1
        # The first message to a process only opens the link.
        question.sent = self._node.send(question.peer, AskFacts(topic.value, revision))
        self.asked += question.sent
        if question.sent:
            asked = {"topic": topic.value, "peer": str(question.peer), "revision": revision}
            logger.info("facts asked", extra=asked)
