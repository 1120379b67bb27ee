"""What entries take of one another's news of replicas, without a network."""

import math

import msgspec
import pytest
from headcross_base.addresses import Address
from headcross_gateway.replicanews import all_news, pending_news, receive_news
from headcross_gateway.replicastate import ReplicaState
from headcross_ports.published import Replica
from headcross_wire.peermessages import ReplicaBackpressure, ReplicaNews, decode, encode


def state_of(name: str, started_ms: int | None = 7) -> ReplicaState:
    replica = Replica(name, "lm", Address("127.0.0.1", 1), "z", 8, False, (), started_ms)
    return ReplicaState(replica)


def receive(state: ReplicaState, word: ReplicaBackpressure, now: float = 100.0) -> bool:
    return bool(receive_news(ReplicaNews([word]), {state.replica.id: state}.get, now))


def test_what_an_answer_told_is_told_once_and_repeated_while_it_holds() -> None:
    state = state_of("a")
    state.backpressure.limit.note_answer(2.0, 0.0, 1.0, 99.0)
    news = pending_news([state], 100.0)
    assert news == ReplicaNews([ReplicaBackpressure("a", 7, 1.0, 2.0)])
    assert decode(encode(news)) == news
    assert pending_news([state], 100.0) is None
    assert all_news([state], 100.0) == news


def test_what_was_heard_is_not_told_on_at_once() -> None:
    state = state_of("a")
    assert receive(state, ReplicaBackpressure("a", 7, 1.0, 2.0))
    assert pending_news([state], 100.0) is None


def test_the_newer_word_counts() -> None:
    state = state_of("a")
    assert receive(state, ReplicaBackpressure("a", 7, 1.0, 2.0))
    assert not receive(state, ReplicaBackpressure("a", 7, 3.0, None))
    assert receive(state, ReplicaBackpressure("a", 7, 0.5, None))
    assert state.backpressure.limit.per_second is None


def test_the_word_of_an_earlier_life_or_of_an_unknown_replica_changes_nothing() -> None:
    state = state_of("a")
    assert not receive(state, ReplicaBackpressure("a", 6, 0.0, 2.0))
    assert not receive(state, ReplicaBackpressure("b", 7, 0.0, 2.0))
    assert state.backpressure.limit.per_second is None


@pytest.mark.parametrize(
    "wrong",
    [{"age": -1.0}, {"age": math.nan}, {"age": math.inf}, {"limit": -1.0}, {"limit": math.nan}],
)
def test_news_that_cannot_be_right_change_nothing(wrong: dict[str, float]) -> None:
    state = state_of("a")
    word = msgspec.structs.replace(ReplicaBackpressure("a", 7, 0.0, 2.0), **wrong)
    assert not receive(state, word)
    assert state.backpressure.limit.per_second is None
