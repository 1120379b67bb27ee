"""Tests that peers neither mix the histories of a restored store nor bring an earlier one back."""

from typing import cast

import msgspec
import pytest
from headcross_base.clocks import PauseWatch
from headcross_facts.bounds import FactBounds
from headcross_facts.facts import FROM_STORE, Facts
from headcross_facts.following import Follower
from headcross_facts.order.topicitems import UNKNOWN_REVISION
from headcross_facts.peerfacts import PeerFacts
from headcross_facts.polling import entry_polling
from headcross_ports.published import Item, Listing, Position, Topic
from headcross_wire.peermessages import (
    AskFacts,
    AskRevision,
    KnownRevision,
    PeerMessage,
    PublishedItem,
    TopicFacts,
    decode,
    encode,
)
from headcross_wire.peernode import PeerNode

from tests.test_machine_facts import CountingStore

TOPIC = Topic.CONTROL
HELD = Position(4, 50)


class Process:
    """A process whose own calls to the store fail, and the messages that it sent."""

    def __init__(self, held: Position | None, answers: int = 2) -> None:
        """Create it with a listing that the store gave in `answers` answers."""
        store = CountingStore()
        self.facts = Facts(store)
        follower = Follower(store, self.facts, PauseWatch(1e9), entry_polling(FactBounds()))
        follower.failing[TOPIC] = 1
        self.peers = PeerFacts(self.facts, follower, cast(PeerNode, None), list, list)
        self.peers._ask(TOPIC)
        self.sent: list[PeerMessage] = []
        if held is not None:
            listing = Listing((Item("held", 1, b""),), held.revision, held.epoch)
            for _ in range(answers):
                self.facts.take_listing(TOPIC, listing, 0.0, FROM_STORE)

    def reply(self, message: PeerMessage, payload: bytes | None) -> bool:
        """Record a reply."""
        self.sent.append(message)
        return True

    @property
    def position(self) -> Position:
        """The known position of the topic."""
        return self.facts.topics[TOPIC].position

    def receive(self, position: Position) -> None:
        """Receive all items of the topic at a position of a peer."""
        items = [PublishedItem("peer", position.revision, b"")]
        facts = TopicFacts(TOPIC.value, position.revision, 0.1, items, position.epoch)
        self.peers.receive(facts, "peer")


@pytest.mark.parametrize(
    ("offered", "is_later"),
    [
        (Position(5, 10), True),
        (Position(4, 51), True),
        (Position(4, 50), False),
        (Position(4, 49), False),
        (Position(3, 900), False),
        (Position(-1, 900), False),  # of a peer of the release before
    ],
)
def test_only_a_later_position_is_requested_and_taken_from_a_peer(
    offered: Position, is_later: bool
) -> None:
    process = Process(HELD)
    news = KnownRevision(TOPIC.value, offered.revision, 0.1, offered.epoch)
    process.peers.receive_revision(news, process.reply)
    assert process.sent == ([AskFacts(TOPIC.value, 50, 4)] if is_later else [])
    process.receive(offered)
    assert process.position == (offered if is_later else HELD)
    assert set(process.facts.topics[TOPIC].items) == ({"peer"} if is_later else {"held"})


def test_a_process_without_facts_takes_those_of_the_release_before_until_it_has_others() -> None:
    process = Process(None)
    process.receive(Position(-1, 900))
    assert process.position == Position(-1, 900)
    process.receive(Position(3, 7))
    assert process.position == Position(3, 7)
    process.receive(Position(-1, 901))
    assert process.position == Position(3, 7)


def test_a_peer_gets_what_is_later_than_its_own_position() -> None:
    process = Process(HELD)
    cases = {
        AskFacts(TOPIC.value, 49, 4): 1,
        AskFacts(TOPIC.value, 50, 4): 0,
        AskFacts(TOPIC.value, 900, 3): 1,
        AskFacts(TOPIC.value, 10, 5): None,
        # Of a peer of the release before, only the revision is known.
        AskFacts(TOPIC.value, 49): 1,
        AskFacts(TOPIC.value, 50): 0,
        AskFacts(TOPIC.value, 51): None,
    }
    for question, items in cases.items():
        process.sent.clear()
        process.peers.answer(question, process.reply)
        answers = [message for message in process.sent if isinstance(message, TopicFacts)]
        assert [len(answer.items) for answer in answers] == ([] if items is None else [items])
        assert all((a.epoch, a.revision) == (4, 50) for a in answers)


def test_an_epoch_that_only_one_answer_stated_is_not_passed_on() -> None:
    process = Process(HELD, answers=1)
    process.peers.answer_revision(AskRevision(TOPIC.value), process.reply)
    process.peers.answer(AskFacts(TOPIC.value, UNKNOWN_REVISION), process.reply)
    (answer,) = process.sent
    assert isinstance(answer, KnownRevision) and answer.revision == UNKNOWN_REVISION
    process.facts.epochs.note_answer(HELD.epoch)
    process.sent.clear()
    process.peers.answer_revision(AskRevision(TOPIC.value), process.reply)
    (answer,) = process.sent
    assert isinstance(answer, KnownRevision) and (answer.epoch, answer.revision) == (4, 50)


class EarlierKnownRevision(msgspec.Struct, array_like=True, frozen=True, tag=51):
    """The message as the release before sends it."""

    topic: str
    revision: int
    age: float


def test_messages_of_both_releases_are_read_by_the_other() -> None:
    earlier = EarlierKnownRevision("control", 7, 0.5)
    assert decode(msgspec.msgpack.encode(earlier)) == KnownRevision("control", 7, 0.5, -1)
    later = encode(KnownRevision("control", 7, 0.5, 4))
    assert msgspec.msgpack.decode(later, type=EarlierKnownRevision) == earlier
