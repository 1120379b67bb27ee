"""Tests that invalid entries of the replica list are rejected without effect on the others."""

import base64
import logging
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure, Ok
from headcross_facts.facts import Facts
from headcross_gateway.directory import Directory
from headcross_platform import names, store
from headcross_platform.documents import MAX_VALUE_BYTES, decode
from headcross_platform.store import MetadataStore
from headcross_ports.published import Changes, Item, Listing, Replica, Topic
from headcross_wire.httpcodec import WholeAnswer
from hypothesis import given
from hypothesis import strategies as st

from testing.machinecaller import ask
from testing.machinelayout import PLAIN_SERVICE
from testing.machines import replicas_of, small_site

WAIT_SECONDS = 15.0
VALID_ENTRY: dict[str, Any] = {
    "service": "lm",
    "addr": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "stage": "colocated",
    "models": [{"name": "m", "version": 2, "adapters": []}],
    "born": 1764720000000,
}
# Plain services have no weights, and earlier platform versions do not report the start.
OPTIONAL_FIELDS = {"stage", "models", "born"}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-3, 70000) | st.floats(0, 9) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=5,
)


def list_entry(**changes: object) -> bytes:
    """Return a valid entry with some fields changed; `...` omits a field."""
    fields = {
        name: value for name, value in {**VALID_ENTRY, **changes}.items() if value is not ...
    }
    return msgspec.json.encode(fields)


def item(key: str, revision: int, value: bytes | None) -> Item:
    """Return an item of the list."""
    return Item(f"{names.REPLICA_PREFIX}{key}", revision, value)


def facts_with(*items: Item) -> Facts:
    """Return facts that contain a listing of `items`."""
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    revision = max((i.revision for i in items), default=1)
    facts.take_listing(Topic.REPLICAS, Listing(items, revision), 0.0, "store")
    return facts


INVALID_ENTRIES: dict[str, bytes] = {
    "no text": b"\xff\xfe\x00",
    "no document": b"[]",
    "no address": list_entry(addr=...),
    "no seq": list_entry(seq=...),
    "no time until warm": list_entry(cold_left_ms=...),
    "slots a text": list_entry(slots="8"),
    "zone a number": list_entry(zone=3),
    "seq a text": list_entry(seq="4"),
    "start a text": list_entry(born="1764720000000"),
    "start null": list_entry(born=None),
    "start half a millisecond": list_entry(born=1764720000000.5),
    "another state": list_entry(state="paused"),
    "address a name": list_entry(addr="replica:80"),
    "models a text": list_entry(models="m"),
    "too large": list_entry(note="x" * MAX_VALUE_BYTES),
}


@pytest.mark.parametrize("value", INVALID_ENTRIES.values(), ids=INVALID_ENTRIES.keys())
def test_an_invalid_entry_removes_the_replica_and_a_valid_one_restores_it(
    value: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    facts = facts_with(
        item("i-1", 5, list_entry()), item("i-2", 6, list_entry(addr="10.0.0.2:80"))
    )
    directory = Directory(facts)
    directory.update()
    before = directory.serving("lm")[0]
    with caplog.at_level(logging.INFO):
        for revision in (7, 8, 9):  # rewritten with every heartbeat
            facts.take_changes(Topic.REPLICAS, Changes((item("i-1", revision, value),), revision))
    directory.update()
    assert set(facts.replicas) == {"i-2"} and before.replaced_or_unlisted
    assert [state.replica.id for state in directory.serving("lm")] == ["i-2"]
    assert set(facts.overwritten) == {"i-1"}
    lines = [r for r in caplog.records if r.message == "fact rejected"]
    assert len(lines) == 1 and facts.counts["rejected"] == 3
    facts.take_changes(Topic.REPLICAS, Changes((item("i-1", 10, list_entry()),), 10))
    directory.update()
    assert set(facts.replicas) == {"i-1", "i-2"} and not facts.overwritten
    assert not directory.serving("lm")[0].replaced_or_unlisted


def test_an_unknown_field_is_ignored() -> None:
    outcome = decode(item("i-1", 1, list_entry(colour="red")))
    assert isinstance(outcome, Ok) and isinstance(outcome.value, Replica)


@pytest.mark.parametrize("key", ["", "a/b", "i-1/"])
def test_malformed_keys_neither_add_nor_remove_replicas(key: str) -> None:
    facts = facts_with(item("b", 1, list_entry()), item("i-1", 2, list_entry()))
    for revision, value in ((3, list_entry()), (4, b"junk"), (5, None)):
        facts.take_changes(Topic.REPLICAS, Changes((item(key, revision, value),), revision))
        assert set(facts.replicas) == {"b", "i-1"}


def test_an_unreadable_value_rejects_only_itself() -> None:
    """Guards against an unreadable value that makes every listing of its topic fail."""
    good = {"key": "servers/i-2", "revision": 2, "value": base64.b64encode(list_entry()).decode()}
    bad = [
        {"key": "servers/i-1", "revision": 7, "value": "no base64!"},
        {"key": "servers/i-3", "revision": 7, "value": 5},
        {"key": 9, "revision": 7, "value": ""},
        "no item",
    ]
    body = msgspec.json.encode({"items": [bad[0], good, *bad[1:]], "at": 8, "more": False})
    outcome = store._decode_range(WholeAnswer(200, [], body))
    assert not isinstance(outcome, Failure)
    facts = facts_with(item("i-1", 1, list_entry()))
    facts.take_listing(Topic.REPLICAS, Listing(outcome.value.items, 8), 0.0, "store")
    assert set(facts.replicas) == {"i-2"} and set(facts.overwritten) == {"i-1"}


@st.composite
def list_entries(draw: st.DrawFn) -> tuple[bytes | None, bool]:
    """Draw the value of a key, None if deleted, and whether it is a valid entry."""
    kind = draw(st.sampled_from(["good", "gone", "bytes", "document", "lacking", "mutated"]))
    match kind:
        case "good":
            return list_entry(slots=draw(st.integers(1, 9))), True
        case "gone":
            return None, False
        case "bytes":
            return b"\xff" + draw(st.binary(max_size=20)), False
        case "document":
            return msgspec.json.encode([draw(JSON)]), False
        case "lacking":
            field = draw(st.sampled_from(sorted(set(VALID_ENTRY) - OPTIONAL_FIELDS)))
            return list_entry(**{field: ...}), False
    field = draw(st.sampled_from(sorted(VALID_ENTRY)))
    wrong = [draw(JSON)]  # no field of a valid entry is a list of such a value
    return list_entry(**{field: wrong if field != "models" else "m"}), False


@given(
    st.lists(st.tuples(st.sampled_from(["i-1", "i-2", "i-3"]), list_entries()), max_size=10),
    st.randoms(use_true_random=False),
)
def test_a_replica_is_named_exactly_while_its_newest_entry_is_whole(
    history: list[tuple[str, tuple[bytes | None, bool]]], order: Any  # noqa: ANN401
) -> None:
    """Holds for watches, listings and items received from peers, in any order."""
    items = [item(key, revision, value) for revision, (key, (value, _)) in enumerate(history, 2)]
    newest = {key: valid for key, (_, valid) in history}
    listed = {key for key, valid in newest.items() if valid}
    last_revision = len(items) + 1
    watched = facts_with()
    for change in items:
        watched.take_changes(Topic.REPLICAS, Changes((change,), change.revision))
    reordered = facts_with()
    shuffled = list(items)
    order.shuffle(shuffled)
    reordered.take_changes(Topic.REPLICAS, Changes(tuple(shuffled), last_revision))
    # A peer sends its items as it read them, including values that it could not decode.
    from_peer = facts_with()
    mirrored = tuple(watched.topics[Topic.REPLICAS].items.values())
    from_peer.take_listing(Topic.REPLICAS, Listing(mirrored, last_revision), 0.0, "peer")
    older = items[: len(items) // 2]
    from_peer.take_listing(Topic.REPLICAS, Listing(tuple(older), 1 + len(older)), 0.0, "peer")
    assert set(watched.replicas) == set(reordered.replicas) == set(from_peer.replicas) == listed


@given(JSON)
def test_no_document_raises(document: object) -> None:
    value = msgspec.json.encode(document)
    for key in (names.CONFIGURATION_KEY, "op/version/m", "servers/i-1", "servers/", "other"):
        decode(Item(key, 1, value))


async def test_a_running_request_completes_after_its_entry_becomes_invalid(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=0, plain=1) as site:
        (replica,) = replicas_of(site, PLAIN_SERVICE)
        replica.service_seconds = 1.0
        key = f"{names.REPLICA_PREFIX}{replica.id}"
        good = site.store.items[key].value
        async with trio.open_nursery() as nursery:
            statuses: list[int] = []

            async def call() -> None:
                statuses.append((await ask(site.callers("entry0"), "/once/x")).status)

            nursery.start_soon(call)
            with trio.fail_after(WAIT_SECONDS):
                while not replica.active:
                    await trio.sleep(0.01)
            site.store.put(key, b"another writer's")
            with trio.fail_after(WAIT_SECONDS):
                while (await site.state("entry0"))["replica_states"]:
                    await trio.sleep(0.01)
            arrivals = replica.arrivals
            assert (await ask(site.callers("entry0"), "/once/y")).status == 503
            assert replica.arrivals == arrivals and replica.active == 1
        assert statuses == [200]
        site.store.put(key, good)
        with trio.fail_after(WAIT_SECONDS):
            while (await ask(site.callers("entry0"), "/again/x")).status != 200:
                await trio.sleep(0.05)
