"""Tests the order of published facts across restores of the store, without clocks or processes."""

from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from headcross_base.addresses import Address
from headcross_base.errors import Ok
from headcross_facts.facts import FROM_STORE, Facts
from headcross_facts.order.positions import (
    ANSWERS_TO_GO_BACK,
    EpochTracker,
    ListingVerdict,
    WatchVerdict,
    judge_listing,
    judge_watch,
)
from headcross_facts.order.replicahistory import MAX_UNLISTED, ReplicaHistory
from headcross_facts.order.topicitems import TopicItems
from headcross_facts.replicalist import RENEWED_SECONDS
from headcross_gateway.directory import Directory
from headcross_platform import names
from headcross_platform.store import MetadataStore
from headcross_ports.published import (
    UNKNOWN_EPOCH,
    Changes,
    Incarnation,
    Item,
    Listing,
    Position,
    Replica,
    Topic,
)
from hypothesis import given
from hypothesis import strategies as st

from tests.test_foreign_entries import list_entry


def tracker_of(*epochs: int) -> EpochTracker:
    """Return a tracker that has seen answers with some epochs."""
    tracker = EpochTracker()
    for epoch in epochs:
        tracker.note_answer(epoch)
    return tracker


# Positions and verdicts.


@pytest.mark.parametrize("revision", [10, 90, 170])
def test_a_later_epoch_outranks_an_earlier_one_whatever_the_revision(revision: int) -> None:
    tracker = tracker_of(3, 3, 4, 4)
    assert judge_listing(Position(3, 90), Position(4, revision), tracker) is ListingVerdict.TAKE
    assert (
        judge_listing(Position(4, 90), Position(3, revision), tracker) is ListingVerdict.OUTDATED
    )


def test_an_epoch_that_one_answer_states_is_not_taken_for_a_restore() -> None:
    tracker = tracker_of(3, 3, 900)
    assert judge_listing(Position(3, 9), Position(900, 9), tracker) is ListingVerdict.UNCONFIRMED
    tracker.note_answer(3)
    assert tracker.confirmed == 3
    assert judge_listing(Position(3, 9), Position(3, 10), tracker) is ListingVerdict.TAKE


def test_a_first_epoch_that_no_other_answer_states_is_given_up() -> None:
    """A process that starts takes what it gets, and must not be bound to a malformed number."""
    tracker = tracker_of(900)
    assert judge_listing(None, Position(900, 9), tracker) is ListingVerdict.TAKE
    held = Position(900, 9)
    tracker.note_answer(3)
    assert judge_watch(held, held, 3, tracker, has_changes=True) is WatchVerdict.LIST
    tracker.note_answer(3)
    assert judge_listing(held, Position(3, 5), tracker) is ListingVerdict.TAKE


def test_a_wrong_epoch_that_several_answers_state_is_given_up_in_the_end() -> None:
    """A process must not be bound to a number until it starts again."""
    tracker = tracker_of(3, 3, 900, 900)
    held = Position(900, 9)
    for answers in range(1, ANSWERS_TO_GO_BACK):
        tracker.note_answer(3)
        verdict = judge_watch(held, held, 3, tracker, has_changes=True)
        assert verdict is WatchVerdict.REJECT, answers
    tracker.note_answer(3)
    assert judge_watch(held, held, 3, tracker, has_changes=True) is WatchVerdict.LIST
    assert judge_listing(held, Position(3, 5), tracker) is ListingVerdict.TAKE


def test_a_store_that_no_longer_states_its_epoch_is_followed_in_the_end() -> None:
    tracker = tracker_of(3, 3, *[UNKNOWN_EPOCH] * ANSWERS_TO_GO_BACK)
    held, unknown = Position(3, 9), Position(UNKNOWN_EPOCH, 12)
    assert judge_listing(held, unknown, tracker) is ListingVerdict.TAKE
    tracker.note_answer(4)
    assert judge_listing(unknown, Position(4, 2), tracker) is ListingVerdict.TAKE


def test_a_peer_does_not_lead_back_to_an_earlier_epoch() -> None:
    tracker = tracker_of(4, 4)
    for epoch in (3, UNKNOWN_EPOCH):
        for _ in range(2 * ANSWERS_TO_GO_BACK):
            tracker.note_peer(epoch)
    assert tracker.confirmed == 4


def test_an_answer_without_an_epoch_changes_nothing_that_has_one() -> None:
    tracker = tracker_of(3, 3)
    held, unknown = Position(3, 9), Position(UNKNOWN_EPOCH, 99)
    assert judge_listing(held, unknown, tracker) is ListingVerdict.OUTDATED
    verdict = judge_watch(held, held, UNKNOWN_EPOCH, tracker, has_changes=True)
    assert verdict is WatchVerdict.REJECT


def test_a_store_that_states_no_epoch_is_followed_by_revision() -> None:
    tracker = tracker_of(UNKNOWN_EPOCH)
    held = Position(UNKNOWN_EPOCH, 9)
    assert judge_listing(None, held, tracker) is ListingVerdict.TAKE
    newer, older = Position(UNKNOWN_EPOCH, 10), Position(UNKNOWN_EPOCH, 8)
    assert judge_listing(held, newer, tracker) is ListingVerdict.TAKE
    assert judge_listing(held, older, tracker) is ListingVerdict.OUTDATED
    apply = judge_watch(held, held, UNKNOWN_EPOCH, tracker, has_changes=True)
    assert apply is WatchVerdict.APPLY
    assert judge_listing(held, Position(0, 1), tracker) is ListingVerdict.TAKE


def test_an_answer_to_a_watch_in_an_earlier_epoch_is_not_applied() -> None:
    """A peer has sent a listing of the next epoch while the watch was under way."""
    tracker = tracker_of(3, 3)
    tracker.note_peer(4)
    for epoch in (3, 4, UNKNOWN_EPOCH):
        for has_changes in (True, False):
            verdict = judge_watch(
                Position(4, 5), Position(3, 90), epoch, tracker, has_changes=has_changes
            )
            assert verdict is WatchVerdict.REPEAT


# Items.


@dataclass
class ModelStore:
    """The states of a store by epoch and revision; each epoch begins from a copy of the last."""

    states: list[list[dict[str, Item]]] = field(default_factory=lambda: [[{}]])

    def write(self, key: str, is_set: bool) -> None:
        """Write or remove an item."""
        items = dict(self.states[-1][-1])
        revision = len(self.states[-1])
        if is_set:
            value = f"{len(self.states)}.{revision}".encode()
            items[key] = Item(key, revision, value)
        else:
            items.pop(key, None)
        self.states[-1].append(items)

    def restore(self, lost: int) -> None:
        """Go back to the copy from before the last `lost` writes."""
        kept = max(1, len(self.states[-1]) - lost)
        self.states.append(self.states[-1][:kept])

    def listing(self, epoch: int, revision: int) -> Listing:
        """Return the listing at a position."""
        return Listing(tuple(self.states[epoch][revision].values()), revision, epoch)

    def changes(self, epoch: int, after: int, until: int) -> Changes:
        """Return the changes between two revisions of an epoch."""
        before, now = self.states[epoch][after], self.states[epoch][until]
        changed = [item for key, item in now.items() if before.get(key) != item]
        gone = [Item(key, until, None) for key in before if key not in now]
        return Changes((*changed, *gone), until, epoch)


EVENTS = st.one_of(
    st.tuples(st.just("write"), st.sampled_from("abc"), st.booleans()),
    st.tuples(st.just("restore"), st.integers(0, 6)),
)
DELIVERIES = st.tuples(st.booleans(), st.integers(0, 4), st.integers(0, 20), st.integers(0, 20))


@given(st.lists(EVENTS, max_size=25), st.lists(DELIVERIES, max_size=15))
def test_items_are_those_of_one_position_in_one_epoch_whatever_arrives(
    events: list[tuple[object, ...]], deliveries: list[tuple[bool, int, int, int]]
) -> None:
    """Listings of any position, and answers to watches from the position known at their time."""
    model = ModelStore()
    for event in events:
        match event:
            case ("write", str(key), bool(is_set)):
                model.write(key, is_set)
            case ("restore", int(lost)):
                model.restore(lost)
    held = TopicItems(Topic.REPLICAS)
    newest = Position(UNKNOWN_EPOCH, -1)
    for is_listing, epoch, revision, other in deliveries:
        epoch = min(epoch, len(model.states) - 1)
        last = len(model.states[epoch]) - 1
        if is_listing:
            listing = model.listing(epoch, min(revision, last))
            held.epochs.note_peer(epoch)
            if held.judge(listing) is ListingVerdict.TAKE:
                held.apply_listing(listing)
        elif held.known:
            after = min(revision, held.revision, last)
            asked = Position(held.epoch, after)
            if (
                judge_watch(held.position, asked, epoch, held.epochs, has_changes=True)
                is WatchVerdict.APPLY
            ):
                held.apply_changes(model.changes(epoch, after, max(after, min(other, last))))
        if held.known:
            assert held.position >= newest
            newest = held.position
            assert held.items == model.states[held.epoch][held.revision]


# Replicas.


def replica(
    *, writes: int, draining: bool = False, started_ms: int | None = None, id_: str = "i-1"
) -> Replica:
    """Return a list entry."""
    address = Address("10.0.0.1", 80)
    return Replica(id_, "lm", address, "z", 8, draining, (), started_ms, writes)


def test_a_replica_that_leaves_does_not_stay_after_all() -> None:
    history = ReplicaHistory()
    history.admit(replica(writes=3, draining=True), restored=False)
    for restored, writes in ((True, 2), (True, 3), (True, 9), (False, 10)):
        admitted = history.admit(replica(writes=writes), restored=restored)
        assert admitted is not None and admitted.draining
    history.note_unlisted("i-1", lapsed=False)
    admitted = history.admit(replica(writes=11), restored=False)
    assert admitted is not None and admitted.draining
    later = history.admit(replica(writes=1, started_ms=5), restored=False)
    assert later is not None and later.draining  # its start is unknown, so it may be the same


def test_a_later_incarnation_of_a_replica_that_left_is_used() -> None:
    history = ReplicaHistory()
    history.admit(replica(writes=3, draining=True, started_ms=1), restored=False)
    later = history.admit(replica(writes=1, started_ms=2), restored=False)
    assert later is not None and not later.draining
    copied = history.admit(replica(writes=2, started_ms=1), restored=True)
    assert copied == later


def test_a_replica_that_is_gone_is_not_used_until_it_has_written_again() -> None:
    history = ReplicaHistory()
    history.admit(replica(writes=3), restored=False)
    history.note_unlisted("i-1", lapsed=False)
    assert history.admit(replica(writes=2), restored=True) is None
    assert history.admit(replica(writes=3), restored=True) is None
    assert history.admit(replica(writes=4), restored=True) is not None


def test_a_lapsed_replica_that_the_copy_lists_is_used() -> None:
    history = ReplicaHistory()
    history.admit(replica(writes=3), restored=False)
    history.note_unlisted("i-1", lapsed=True)
    assert history.admit(replica(writes=2), restored=True) == replica(writes=3)


def test_the_history_of_replicas_is_bounded() -> None:
    history = ReplicaHistory()
    for number in range(MAX_UNLISTED + 50):
        history.admit(replica(writes=1, id_=f"i-{number}"), restored=False)
        history.note_unlisted(f"i-{number}", lapsed=False)
    assert len(history._known) == MAX_UNLISTED
    assert history.admit(replica(writes=1, id_=f"i-{MAX_UNLISTED}"), restored=True) is None


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ready", "draining", "gone", "restore", "lapse"]), st.integers(0, 5)
        ),
        max_size=20,
    )
)
def test_no_history_of_one_incarnation_ends_its_leaving(steps: list[tuple[str, int]]) -> None:
    history = ReplicaHistory()
    entries: list[Replica] = []
    left = gone = False
    for step, back in steps:
        if step in ("ready", "draining"):
            entries.append(replica(writes=len(entries) + 1, draining=step == "draining"))
            admitted = history.admit(entries[-1], restored=False)
            left, gone = left or step == "draining", False
            assert admitted is not None and admitted.draining == left
        elif step == "restore" and entries:
            admitted = history.admit(entries[max(0, len(entries) - 1 - back)], restored=True)
            assert (admitted is None) == gone
            assert admitted is None or admitted.draining == left
        elif step in ("gone", "lapse") and entries:
            history.note_unlisted("i-1", lapsed=step == "lapse")
            gone = step == "gone"


# Facts of one process.


def take(facts: Facts, position: Position, *items: Item) -> ListingVerdict:
    """Take a listing of replicas from a store that states its epoch in every answer."""
    facts.epochs.note_answer(position.epoch)
    listing = Listing(items, position.revision, position.epoch)
    return facts.take_listing(Topic.REPLICAS, listing, 0.0, FROM_STORE)


def entry(revision: int, **fields: object) -> Item:
    """Return the item of a replica's list entry."""
    return Item(f"{names.REPLICA_PREFIX}i-1", revision, list_entry(**fields))


def new_facts() -> Facts:
    """Return the facts of a process that has just started."""
    return Facts(MetadataStore(Address("127.0.0.1", 1)))


def leave_by_list(facts: Facts, directory: Directory) -> None:
    facts.take_changes(Topic.REPLICAS, Changes((entry(8, state="draining", seq=5),), 8, 3))
    directory.update()


def leave_by_answer(facts: Facts, directory: Directory) -> None:
    state = directory.find("i-1")
    assert state is not None
    state.backpressure.leave("answer")


@pytest.mark.parametrize("leave", [leave_by_list, leave_by_answer])
@pytest.mark.parametrize("copy_lists_it", [True, False])
def test_a_replica_that_left_gets_nothing_after_the_store_was_restored(
    leave: Callable[[Facts, Directory], None], copy_lists_it: bool
) -> None:
    facts = new_facts()
    take(facts, Position(3, 7), entry(5, seq=4))
    directory = Directory(facts)
    directory.update()
    leave(facts, directory)
    take(facts, Position(4, 6), *([entry(5, seq=4)] if copy_lists_it else []))
    directory.update()
    for state in directory.states():
        assert state.is_unavailable()
    facts.lapsed_at.clear()  # as after some seconds
    directory.update()
    facts.take_changes(Topic.REPLICAS, Changes((entry(7, seq=6),), 7, 4))
    directory.update()
    listed_again = directory.find("i-1")
    assert listed_again is not None and listed_again.is_leaving()


def test_a_replica_that_the_copy_lacks_may_still_run() -> None:
    facts = new_facts()
    take(facts, Position(3, 7), entry(5, seq=4))
    take(facts, Position(4, 4))
    assert not facts.replicas and set(facts.lapsed_at) == {"i-1"}
    take(facts, Position(5, 6), entry(5, seq=4))
    assert set(facts.replicas) == {"i-1"} and not facts.lapsed_at


def test_numbers_of_the_operators_do_not_go_back() -> None:
    facts = new_facts()
    key = f"{names.VERSION_PREFIX}m"

    def named(revision: int, version: int) -> Item:
        return Item(key, revision, f'{{"model":"m","version":{version}}}'.encode())

    for epoch, revision, version in ((3, 9, 4), (4, 5, 2), (4, 6, 3), (4, 7, 5)):
        facts.epochs.note_peer(epoch)
        listing = Listing((named(revision, version),), revision, epoch)
        facts.take_listing(Topic.VERSIONS, listing, 0.0, FROM_STORE)
        assert facts.newest_version("m") == max(4, version)


def test_a_replica_that_was_gone_and_renews_the_entry_of_the_copy_is_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its entry is as it was, so it does not write it again."""
    now = 100.0
    for module in ("replicalist", "topicstate"):
        monkeypatch.setattr(f"headcross_facts.{module}.monotonic", lambda: now)
    facts = new_facts()
    take(facts, Position(3, 7), entry(5, seq=4))
    facts.take_changes(Topic.REPLICAS, Changes((Item(f"{names.REPLICA_PREFIX}i-1", 8, None),), 8))
    take(facts, Position(4, 6), entry(5, seq=4))
    now += RENEWED_SECONDS
    facts.readmit_renewed()
    assert not facts.replicas  # the store has not answered since
    facts.take_changes(Topic.REPLICAS, Changes((), 6, 4))
    facts.readmit_renewed()
    assert set(facts.replicas) == {"i-1"}


def test_a_listing_of_a_restored_store_leaves_unchanged_entries_as_they_are() -> None:
    facts = new_facts()
    take(facts, Position(3, 7), entry(5, seq=4))
    directory = Directory(facts)
    directory.update()
    before = directory.find("i-1")
    assert take(facts, Position(4, 6), entry(5, seq=4)) is ListingVerdict.TAKE
    directory.update()
    assert directory.find("i-1") is before and not facts.lapsed_at


def test_an_incarnation_keeps_its_id_when_noted_as_leaving() -> None:
    history = ReplicaHistory()
    history.admit(replica(writes=1, started_ms=2), restored=False)
    history.note_leaving(Incarnation("i-1", 1))
    history.note_leaving(Incarnation("i-2", 1))
    admitted = history.admit(replica(writes=2, started_ms=2), restored=False)
    assert admitted is not None and not admitted.draining
    history.note_leaving(Incarnation("i-1", 2))
    admitted = history.admit(replica(writes=3, started_ms=2), restored=False)
    assert admitted is not None and admitted.draining


def test_entries_state_how_often_they_were_written() -> None:
    outcome = MetadataStore(Address("127.0.0.1", 1)).decode(entry(5, seq=4))
    assert isinstance(outcome, Ok) and isinstance(outcome.value, Replica)
    assert outcome.value.writes == 4
