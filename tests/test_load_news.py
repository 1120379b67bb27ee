"""Tests what entries and daemons tell one another about loads, also across releases."""

import msgspec
import pytest
from headcross_base.addresses import Address
from headcross_facts.loadevidence import LoadEvidence, LoadStatus, ReadBack, judge
from headcross_gateway.loadnews import (
    answer_question,
    receive_load_news,
    unknown_loads,
    verdicts_of,
)
from headcross_gateway.replicastate import ReplicaState
from headcross_ports.published import LoadedModel, Replica
from headcross_wire.peermessages import (
    AskLoads,
    LoadNews,
    LoadVerdict,
    ReplicaLoad,
    Subscribe,
    decode,
    encode,
)
from hypothesis import given
from hypothesis import strategies as st

LOADED = LoadedModel("m", 2)


def replica_state(replica_id: str = "i-1", started_ms: int | None = 7) -> ReplicaState:
    """Return an entry's state of a replica that holds version 2."""
    address = Address("10.0.0.1", 80)
    replica = Replica(replica_id, "lm", address, "z", 8, False, (LOADED,), started_ms=started_ms)
    return ReplicaState(replica)


def load_of(**fields: object) -> ReplicaLoad:
    """Return a daemon's report on that replica."""
    load = ReplicaLoad("10.0.0.1:80", 1, True, False, {"m": 2}, 0, 0, 0.0, 1.0, 1, started_ms=7)
    return msgspec.structs.replace(load, **fields)


def verdict(**fields: object) -> LoadVerdict:
    """Return a verdict on the load of that replica."""
    return msgspec.structs.replace(LoadVerdict("i-1", 7, 1, "m", 2, intact=True), **fields)


@pytest.mark.parametrize(("confirmed", "suspect"), [({"m": 2}, {}), ({}, {"m": 2})])
def test_an_entry_tells_another_what_it_heard_of_a_daemon(
    confirmed: dict[str, int], suspect: dict[str, int]
) -> None:
    knowing, asking = replica_state(), replica_state()
    knowing.record_report(load_of(confirmed=confirmed, suspect=suspect, orders=1), 1)
    assert unknown_loads([asking]) == [asking]
    news = decode(encode(answer_question(AskLoads(["i-1", "i-2"]), {"i-1": knowing}.get)))
    assert isinstance(news, LoadNews)
    assert receive_load_news(news, {"i-1": asking}.get) == [asking]
    assert asking.confirmed_loads.may_serve("m", 2) == bool(confirmed)
    assert unknown_loads([asking]) == []
    assert verdicts_of(asking) == verdicts_of(knowing)


def test_an_entry_that_knows_nothing_tells_nothing() -> None:
    assert answer_question(AskLoads(["i-1"]), {"i-1": replica_state()}.get) == LoadNews([])


@pytest.mark.parametrize(
    "fields",
    [
        {"started_ms": 8},
        {"replica": "i-2"},
        {"version": 3},
        {"model": "other"},
        {"version": 0},
        {"orders": -1},
    ],
)
def test_a_verdict_on_anything_else_confirms_nothing(fields: dict[str, object]) -> None:
    state = replica_state()
    receive_load_news(LoadNews([verdict(**fields)]), {"i-1": state}.get)
    assert not state.confirmed_loads.may_serve("m", 2)


@given(st.permutations(["confirmed", "suspect", "nothing", "confirmed"]))
def test_one_suspicion_outweighs_all_confirmations_in_any_order(words: list[str]) -> None:
    state = replica_state()
    for word in words:
        said = {word: {"m": 2}} if word != "nothing" else {}
        state.record_report(load_of(orders=1, **said), 1)
    assert not state.confirmed_loads.may_serve("m", 2)


@given(
    orders=st.one_of(st.none(), st.integers(0, 3)),
    answered=st.booleans(),
    began=st.booleans(),
    told=st.sampled_from(LoadStatus),
    read_back=st.one_of(
        st.none(), st.builds(ReadBack, st.frozensets(st.integers(0, 3)), st.booleans())
    ),
)
def test_only_what_shows_that_a_load_was_intact_confirms_it(
    orders: int | None,
    answered: bool,
    began: bool,
    told: LoadStatus,
    read_back: ReadBack | None,
) -> None:
    status = judge(LoadEvidence(orders, answered, began, told, read_back))
    own = orders == 0 or answered
    shown = read_back is not None and read_back.shows_intact
    if own:
        assert status is LoadStatus.CONFIRMED
    elif told is LoadStatus.SUSPECT:
        assert status is LoadStatus.SUSPECT
    elif status is LoadStatus.CONFIRMED:
        assert shown or told is LoadStatus.CONFIRMED
        assert shown or not (began and read_back is not None)


class EarlierReplicaLoad(msgspec.Struct, array_like=True, frozen=True, tag=43):
    """`ReplicaLoad` of the release before."""

    address: str
    sequence: int
    reachable: bool
    leaving: bool
    versions: dict[str, int]
    active: int
    queued: int
    memory_share: float
    pace: float
    listeners: int
    named: list[msgspec.Raw] = []
    subscribed_ms: int = 0
    started_ms: int | None = None
    confirmed: dict[str, int] = {}
    suspect: dict[str, int] = {}
    ends: bool = False


class EarlierSubscribe(msgspec.Struct, array_like=True, frozen=True, tag=42):
    """`Subscribe` of the release before."""

    host: str
    mirror: msgspec.Raw | None = None
    wants_mirrors: bool = False
    plan: msgspec.Raw | None = None
    wants_load: bool = True
    sent_ms: int = 0
    named: list[msgspec.Raw] = []
    loaded: list[msgspec.Raw] = []
    wants_losses: bool = False
    first_heard_age: float | None = None


def test_a_daemon_of_the_release_before_confirms_its_load() -> None:
    earlier = EarlierReplicaLoad(
        "10.0.0.1:80",
        1,
        True,
        False,
        {"m": 2},
        0,
        0,
        0.0,
        1.0,
        1,
        started_ms=7,
        confirmed={"m": 2},
    )
    load = decode(msgspec.msgpack.encode(earlier))
    assert isinstance(load, ReplicaLoad) and load.orders is None
    state = replica_state()
    state.record_report(load, 1)
    assert state.confirmed_loads.may_serve("m", 2)


def test_the_release_before_reads_a_report_and_a_subscription_of_this_one() -> None:
    load = load_of(confirmed={"m": 2}, orders=1)
    earlier_load = msgspec.msgpack.decode(encode(load), type=EarlierReplicaLoad)
    assert (earlier_load.versions, earlier_load.confirmed) == ({"m": 2}, {"m": 2})
    subscription = Subscribe("entry0", verdicts=[verdict()])
    earlier = msgspec.msgpack.decode(encode(subscription), type=EarlierSubscribe)
    assert earlier.host == "entry0"


def test_a_subscription_of_the_release_before_has_no_verdicts() -> None:
    subscription = decode(msgspec.msgpack.encode(EarlierSubscribe("entry0")))
    assert isinstance(subscription, Subscribe) and subscription.verdicts == []
