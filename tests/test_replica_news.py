"""Tests of the news that entries exchange about limits and leaving replicas."""

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


def receive(state: ReplicaState, item: ReplicaBackpressure, now: float = 100.0) -> bool:
    return bool(receive_news(ReplicaNews([item]), {state.replica.id: state}.get, now))


def test_a_limit_from_an_answer_is_pending_once_and_stays_in_all_news() -> None:
    state = state_of("a")
    state.backpressure.limit.note_answer(2.0, 0.0, 1.0, 99.0)
    news = pending_news([state], 100.0)
    assert news == ReplicaNews([ReplicaBackpressure("a", 7, 1.0, 2.0)])
    assert decode(encode(news)) == news
    assert pending_news([state], 100.0) is None
    assert all_news([state], 100.0) == news


def test_received_news_are_not_forwarded_at_once() -> None:
    state = state_of("a")
    assert receive(state, ReplicaBackpressure("a", 7, 1.0, 2.0))
    assert pending_news([state], 100.0) is None


def test_the_newer_item_applies() -> None:
    state = state_of("a")
    assert receive(state, ReplicaBackpressure("a", 7, 1.0, 2.0))
    assert not receive(state, ReplicaBackpressure("a", 7, 3.0, None))
    assert receive(state, ReplicaBackpressure("a", 7, 0.5, None))
    assert state.backpressure.limit.per_second is None


def test_items_of_an_earlier_incarnation_or_unknown_replica_are_ignored() -> None:
    state = state_of("a")
    assert not receive(state, ReplicaBackpressure("a", 6, 0.0, 2.0))
    assert not receive(state, ReplicaBackpressure("b", 7, 0.0, 2.0))
    assert state.backpressure.limit.per_second is None


@pytest.mark.parametrize(
    "wrong",
    [{"age": -1.0}, {"age": math.nan}, {"age": math.inf}, {"limit": -1.0}, {"limit": math.nan}],
)
def test_implausible_items_are_ignored(wrong: dict[str, float]) -> None:
    state = state_of("a")
    item = msgspec.structs.replace(ReplicaBackpressure("a", 7, 0.0, 2.0), **wrong)
    assert not receive(state, item)
    assert state.backpressure.limit.per_second is None
