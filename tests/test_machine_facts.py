"""Tests that facts take effect in time and never revert, whatever the store does.

Facts are what processes read from the platform's store: the configuration, the list of replicas
and the named versions.
"""

import itertools
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, cast

import pytest
import trio
import trio.lowlevel
import trio.testing
from headcross_base.addresses import Address
from headcross_base.clocks import PauseWatch
from headcross_base.errors import Failure, Ok
from headcross_base.monotonic import monotonic
from headcross_facts.bounds import FactBounds
from headcross_facts.facts import Facts
from headcross_facts.following import Follower
from headcross_facts.order.topicitems import UNKNOWN_REVISION
from headcross_facts.peerfacts import (
    ASK_INTERVAL_SECONDS,
    ENTRIES_ASKED,
    FALLBACK_PEER_SECONDS,
    FIRST_TRANSFER_SECONDS,
    MAX_TRANSFER_SECONDS,
    STALE_SECONDS,
    PeerFacts,
)
from headcross_facts.polling import (
    CHANGE_MARGIN_SECONDS,
    FIRST_RETRY_SECONDS,
    MIN_WATCH_SECONDS,
    RETRY_SPREAD,
    PollingSettings,
    daemon_polling,
    entry_polling,
)
from headcross_facts.topicstate import TopicState
from headcross_gateway.weightsrules import WeightsRules
from headcross_platform import names, store
from headcross_platform.store import MetadataStore
from headcross_ports.published import Changes, Fact, HistoryLost, Item, Listing, Topic
from headcross_wire.peermessages import (
    AskFacts,
    AskRevision,
    KnownRevision,
    PeerMessage,
    TopicFacts,
)
from headcross_wire.peernode import PeerNode
from hypothesis import given
from hypothesis import strategies as st

from testing.machinecaller import ask
from testing.machinelayout import MODEL_SERVICE, PLAIN_SERVICE
from testing.machines import Machines, replicas_of, small_site
from testing.platformstore import StoreCondition
from tests.test_machine_weights import wait_loaded, wait_offered

IN_FORCE_SECONDS = 15.0


async def wait_version(site: Machines, name: str, version: int) -> None:
    """Wait until a process has a configuration in force."""
    with trio.fail_after(IN_FORCE_SECONDS):
        while (await site.state(name)).get("configuration") != version:
            await trio.sleep(0.03)


def listings_from_peers(state: dict[str, Any]) -> int:
    """Return the number of listings that a process took from peers."""
    return int(state["peer_listings"])


async def test_a_change_is_in_force_and_a_burst_of_changes_ends_with_the_last(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=0, entries=2) as site:
        for _ in range(20):
            site.change()
        for name in ("entry0", "entry1"):
            await wait_version(site, name, 21)


async def test_a_document_that_cannot_be_decoded_changes_nothing_and_is_logged(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=0) as site:
        broken = {**site.configuration, "version": 2, "routes": [{"name": "half"}]}
        site.store.put(names.CONFIGURATION_KEY, broken)
        site.store.put(f"{names.REPLICA_PREFIX}i-broken", {"service": "api"})
        site.store.put(f"{names.VERSION_PREFIX}m", b"no json")
        with trio.fail_after(IN_FORCE_SECONDS):
            while True:
                lines = [line for line in site.log("entry0") if line["message"] == "fact rejected"]
                if len(lines) == 3:
                    break
                await trio.sleep(0.03)
        assert {line["key"] for line in lines} == {
            names.CONFIGURATION_KEY,
            f"{names.REPLICA_PREFIX}i-broken",
            f"{names.VERSION_PREFIX}m",
        }
        assert any("routes" in line["reason"] for line in lines)
        assert (await ask(site.callers("entry0"), "/again/x")).status == 200
        site.configuration["version"] = 2
        site.change()
        await wait_version(site, "entry0", 3)


async def test_an_older_version_under_a_newer_revision_is_not_taken(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0) as site:
        site.change()
        await wait_version(site, "entry0", 2)
        older = {**site.configuration, "version": 1}
        revision = site.store.put(names.CONFIGURATION_KEY, older)
        with trio.fail_after(IN_FORCE_SECONDS):
            while (await site.state("entry0"))["topics"]["control"]["revision"] < revision:
                await trio.sleep(0.03)
        assert (await site.state("entry0"))["configuration"] == 2


@pytest.mark.parametrize(
    "condition",
    [StoreCondition.BUSY, StoreCondition.LIMITED, StoreCondition.RESET, StoreCondition.SILENT],
)
async def test_the_store_is_followed_again_after_an_outage(
    tmp_path: Path, condition: StoreCondition
) -> None:
    async with small_site(tmp_path, models=0) as site:
        site.store.set_condition(condition)
        site.change()
        await trio.sleep(0.3)
        assert (await ask(site.callers("entry0"), "/again/x")).status == 200
        site.store.set_condition(StoreCondition.WELL)
        await wait_version(site, "entry0", 2)


@pytest.mark.parametrize("condition", [StoreCondition.BUSY, StoreCondition.SILENT])
async def test_a_process_whose_calls_fail_reads_from_peers(
    tmp_path: Path, condition: StoreCondition
) -> None:
    async with small_site(tmp_path, models=2, daemons=True) as site:
        rejected_ip = site.machines["entry0"].ip
        site.store.set_condition(condition, [rejected_ip])
        site.change(tenants=[{"name": "team-1", "api_keys": ["other-key"]}])
        await wait_version(site, "entry0", 2)
        assert listings_from_peers(await site.state("entry0")) > 0
        assert (await ask(site.callers("entry0"), "/again/x")).status == 401
        assert (await ask(site.callers("entry0"), "/again/x", key="other-key")).status == 200


async def test_a_process_that_starts_while_its_calls_fail_becomes_ready(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=2, daemons=True) as site:
        late = site.add_entry("late", "z0")
        site.store.set_condition(StoreCondition.BUSY, [late.ip])
        site.start("late")
        await site.wait_ready("late")
        assert (await ask(site.callers("late"), "/again/x")).status == 200


async def test_no_process_is_ready_before_it_has_facts(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0) as site:
        late = site.add_entry("late", "z0")
        site.seeds.clear()
        site.store.set_condition(StoreCondition.BUSY, [late.ip])
        site.start("late")
        with trio.fail_after(IN_FORCE_SECONDS):
            while not await site.state("late"):
                await trio.sleep(0.03)
        assert not await site.ready("late")
        reply = await ask(site.callers("late"), "/again/x")
        assert reply.status == 503 and float(reply.headers[names.RETRY_AFTER]) > 0
        site.store.set_condition(StoreCondition.WELL)
        await site.wait_ready("late")


async def test_changes_missing_from_the_history_are_read_by_a_listing(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0) as site:
        removed = replicas_of(site, PLAIN_SERVICE)[0]
        site.store.set_condition(StoreCondition.BUSY)
        site.change()
        site.crash_replica(site.replicas[removed.id])
        site.unlist(site.replicas[removed.id])
        site.store.forget_history()
        site.store.set_condition(StoreCondition.WELL)
        await wait_version(site, "entry0", 2)
        with trio.fail_after(IN_FORCE_SECONDS):
            while len((await site.state("entry0"))["replica_states"]) != 1:
                await trio.sleep(0.03)


async def test_a_replica_that_is_leaving_gets_nothing_new(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0) as site:
        leaving, staying = replicas_of(site, PLAIN_SERVICE)
        site.replicas[leaving.id].scope.cancel()
        leaving.draining = True
        await site.start_replica(site.replicas[leaving.id])
        with trio.fail_after(IN_FORCE_SECONDS):
            while not any(
                row["draining"] for row in (await site.state("entry0"))["replica_states"]
            ):
                await trio.sleep(0.03)
        before = leaving.arrivals
        for _ in range(10):
            assert (await ask(site.callers("entry0"), "/once/x")).status == 200
        assert leaving.arrivals == before
        assert staying.arrivals >= 10


async def test_a_listing_in_pages_is_complete(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0, plain=5) as site:
        site.store.page_size = 2
        site.add_entry("late", "z0")
        site.start("late")
        await site.wait_ready("late")
        assert (await site.state("late"))["replicas"] == 5


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12),
    st.lists(st.tuples(st.booleans(), st.integers(0, 12), st.integers(0, 12)), max_size=8),
)
def test_items_are_those_of_the_newest_revision_whatever_the_order_of_arrival(
    history: list[tuple[str, bool]], deliveries: list[tuple[bool, int, int]]
) -> None:
    """Applies listings of any age, and changes requested before newer listings arrived."""
    events = [
        Item(key, revision, b"" if is_set else None)
        for revision, (key, is_set) in enumerate(history, start=1)
    ]

    def items_at(revision: int) -> dict[str, Item]:
        items: dict[str, Item] = {}
        for item in events[:revision]:
            if item.value is None:
                items.pop(item.key, None)
            else:
                items[item.key] = item
        return items

    state = TopicState(Topic.REPLICAS)
    state.take_listing(Listing((), 0), 0.0)
    for as_listing, after, until in deliveries:
        until = min(until, len(events))
        if as_listing:
            state.take_listing(Listing(tuple(items_at(until).values()), until), 0.0)
        else:
            after = min(after, state.revision)
            state.take_changes(Changes(tuple(events[after:until]), max(after, until)))
        assert state.items == items_at(state.revision)


async def test_a_daemon_learns_of_a_version_at_once_and_not_of_every_configuration(
    tmp_path: Path,
) -> None:
    """Guards against bursts of configurations that fill the narrow links of replicas' daemons."""
    async with small_site(tmp_path, models=2, daemons=True) as site:
        await wait_offered(site)
        daemon = site.machines["daemon0"].ip
        before = site.store.calls[f"{daemon} {names.STORE_RANGE}"]
        for _ in range(20):
            site.change()
            await trio.sleep(0.05)
        site.name_version(2)
        await wait_loaded(replicas_of(site, MODEL_SERVICE), 2)
        await wait_version(site, "entry0", 21)
        assert site.store.calls[f"{daemon} {names.STORE_RANGE}"] - before <= 4


class CountingStore:
    """A store that counts the listings requested from it, all of which are empty."""

    def __init__(self) -> None:
        self.listings = 0

    async def read(self, topic: Topic) -> Ok[Listing] | Failure:
        """Return an empty listing with a new revision."""
        await trio.lowlevel.checkpoint()
        self.listings += 1
        return Ok(Listing((), self.listings))

    async def watch(
        self, topic: Topic, after: int, wait_seconds: float, answer_seconds: float
    ) -> Ok[Changes] | HistoryLost | Failure:
        """Wait for `wait_seconds` and return no changes."""
        await trio.sleep(wait_seconds)
        return Ok(Changes((), after))

    def use_address(self, address: Address) -> None:
        """Ignore the address."""

    def covers(self, topic: Topic, key: str) -> bool:
        """Return False: no key belongs to a topic."""
        return False

    def replica_id(self, key: str) -> str | None:
        """Return None: no key belongs to a replica."""
        return None

    def decode(self, item: Item) -> Ok[Fact | None] | Failure:
        """Return no fact."""
        return Ok(None)


def follower_of(store: CountingStore, polling: PollingSettings) -> Follower:
    """Return a follower of a store with facts of its own."""
    return Follower(store, Facts(store), PauseWatch(limit_seconds=1e9), polling)


async def test_a_topic_that_is_not_watched_is_listed_on_demand(
    mock_clock: trio.testing.MockClock,
) -> None:
    """Guards against listings that are not needed.

    When all processes restarted at once, 60 daemons listed a large configuration in addition to 35
    entries.
    """
    store = CountingStore()
    follower = follower_of(store, PollingSettings(watched=(), listed=(Topic.CONTROL,)))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        for listings in (0, 1, 2):
            mock_clock.jump(100.0)
            await trio.testing.wait_all_tasks_blocked()
            assert store.listings == listings
            follower.list_now(Topic.CONTROL)
            follower.list_now(Topic.CONTROL)  # one listing answers both
            await trio.testing.wait_all_tasks_blocked()
            assert store.listings == listings + 1
        nursery.cancel_scope.cancel()


class ChangingStore(CountingStore):
    """A store that has a change of every topic for each watch, and counts the watches."""

    def __init__(self) -> None:
        super().__init__()
        self.watches = 0

    async def watch(
        self, topic: Topic, after: int, wait_seconds: float, answer_seconds: float
    ) -> Ok[Changes] | HistoryLost | Failure:
        """Return one change at once."""
        await trio.lowlevel.checkpoint()
        self.watches += 1
        return Ok(Changes((Item(f"key-{after}", after + 1, b"{}"),), after + 1))


async def test_an_idle_daemon_delays_reading_changes_of_the_list(
    mock_clock: trio.testing.MockClock,
) -> None:
    """Guards against a call to the store by every daemon for each change of the replica list.

    With 102 daemons, these were half of all calls.
    """
    mock_clock.autojump_threshold = 0
    store = ChangingStore()
    polling = daemon_polling(FactBounds())
    follower = follower_of(store, replace(polling, watched=(Topic.REPLICAS,)))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(20)
        idle_watches = store.watches
        assert idle_watches <= 20 / polling.idle_replicas_batch_delay_seconds + 1
        follower.set_urgent(Topic.REPLICAS, urgent=True)
        await trio.sleep(polling.replicas_batch_delay_seconds / 2)
        assert store.watches == idle_watches + 1  # the pause ends at once
        await trio.sleep(20)
        assert store.watches >= idle_watches + 20 / polling.replicas_batch_delay_seconds
        nursery.cancel_scope.cancel()


@given(st.floats(0.5, 10), st.floats(0.5, 10), st.floats(0.5, 10))
def test_a_call_that_a_silent_store_holds_ends_before_a_bound_could_be_missed(
    configuration: float, leaving: float, reached: float
) -> None:
    """Bounds apply from `reached` seconds after the store answers again, whenever a call began."""
    polling = entry_polling(FactBounds(configuration, leaving, reached))
    first_bound = max(reached, min(configuration, leaving))
    for topic in polling.watched:
        watch = polling.watch_limits(topic, lost=False)
        assert watch.longest + FIRST_RETRY_SECONDS * (1 + RETRY_SPREAD) < first_bound or (
            watch.wait == MIN_WATCH_SECONDS
        )
    assert (
        polling.batch_delay_seconds < configuration / 4
        and polling.replicas_batch_delay_seconds < leaving / 4
    )


def test_failed_calls_and_their_pauses_end_before_a_bound_could_be_missed() -> None:
    """Covers a listing, a watch and the pause after each, after an outage of any length."""
    polling = entry_polling(FactBounds())
    longest_pause = max(polling.pause_after(failures) for failures in range(100))
    assert longest_pause <= polling.max_retry_seconds * (1 + RETRY_SPREAD)
    available_seconds = FactBounds().reached - CHANGE_MARGIN_SECONDS
    for longest in (polling.watch_limits(Topic.CONTROL, lost=True).longest, store.READ_SECONDS):
        assert longest + polling.max_retry_seconds * (1 + RETRY_SPREAD) <= available_seconds


def test_a_version_reported_by_a_daemon_counts_from_its_naming() -> None:
    """Guards against an old version served past its bound.

    The store's change arrived 1.9 s late, together with a large configuration.
    """
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    facts.record_named_version("m", 3, 0.0)
    notice = facts.versions["m"][-1]
    assert [n.version for n in facts.versions["m"]] == [3] and facts.named_since_start(notice)
    version_item = Item(f"{names.VERSION_PREFIX}m", 5, b'{"model":"m","version":3}')
    facts.take_listing(Topic.CONTROL, Listing((version_item,), 9), 0.0, "store")
    assert facts.versions["m"] == [notice]
    # A version named before this process started is already with the daemons and is not mirrored.
    facts.record_named_version("m", 4, 60.0)
    earlier_notice = facts.versions["m"][-1]
    assert earlier_notice.version == 4 and not facts.named_since_start(earlier_notice)
    assert earlier_notice.seen_at < notice.seen_at - 50


def test_the_earliest_report_of_a_version_counts() -> None:
    """The bound on older weights runs from the naming of a version, however late that is known."""
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    version_item = Item(f"{names.VERSION_PREFIX}m", 5, b'{"model":"m","version":2}')
    facts.take_listing(Topic.CONTROL, Listing((version_item,), 9), 0.0, "store")
    assert facts.versions["m"][0].at_start
    facts.record_named_version("m", 2, 3.0)
    notice = facts.versions["m"][0]
    assert not notice.at_start and monotonic() - notice.seen_at == pytest.approx(3.0, abs=0.5)
    facts.record_named_version("m", 2, 1.0)  # from a daemon that learned of it later
    assert facts.versions["m"] == [notice]


def test_a_version_that_was_followed_by_another_keeps_its_own_bound() -> None:
    """Guards against a bound that runs from the newest version only.

    An entry that lists the topic again sees only the newest version.
    """
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    version_item = Item(f"{names.VERSION_PREFIX}m", 5, b'{"model":"m","version":3}')
    facts.take_listing(Topic.CONTROL, Listing((version_item,), 9), 0.0, "store")
    rules = WeightsRules(facts, 8.0)
    facts.record_named_version("m", 2, 7.0)
    assert facts.newest_version("m") == 3
    assert [notice.version for notice in facts.versions["m"]] == [2, 3]
    assert rules.lowest_allowed("m") == 2


def test_an_entry_takes_the_named_versions_from_the_control_topic() -> None:
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    assert not facts.topic_state(Topic.VERSIONS).known
    version_item = Item(f"{names.VERSION_PREFIX}m", 5, b'{"model":"m","version":2}')
    other_item = Item(f"{names.CONTROL_PREFIX}else", 7, b"{}")
    facts.take_listing(Topic.CONTROL, Listing((version_item, other_item), 9), 0.0, "store")
    topic = facts.topic_state(Topic.VERSIONS)
    assert topic.known and topic.revision == 9 and list(topic.items) == [version_item.key]


class RecordingNode:
    """A node that records sent messages; the first message to a peer only opens the link."""

    def __init__(self) -> None:
        self.sent: list[tuple[float, Address]] = []
        self._open: set[Address] = set()

    def send(self, address: Address, message: PeerMessage, payload: bytes | None = None) -> bool:
        """Record a message; return whether the link was open."""
        assert isinstance(message, AskRevision)
        opened = address in self._open
        self._open.add(address)
        if opened:
            self.sent.append((trio.current_time(), address))
        return opened


@dataclass
class RejectedProcess:
    """A process whose calls the store rejects, with the messages and requests that it sent."""

    peers: PeerFacts
    node: RecordingNode
    # When a whole topic was requested, and the revision held then.
    transfers: list[tuple[float, int]] = field(default_factory=list)

    def deliver_revision(self, revision: int, age: float) -> None:
        """Deliver a peer's answer with its revision and the age of its facts."""

        def reply(message: PeerMessage, payload: bytes | None) -> bool:
            assert isinstance(message, AskFacts)
            self.transfers.append((trio.current_time(), message.revision))
            return True

        self.peers.receive_revision(KnownRevision(Topic.CONTROL.value, revision, age), reply)


ENTRIES = [Address(f"10.0.0.{number}", 1) for number in range(1, 6)]
DAEMONS = [Address(f"10.0.1.{number}", 1) for number in range(1, 9)]


@pytest.fixture
def rejected_process(
    mock_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> RejectedProcess:
    """Return a process whose calls the store rejects, on simulated time."""
    mock_clock.autojump_threshold = 0
    monkeypatch.setattr("headcross_facts.peerfacts.monotonic", trio.current_time)
    follower = follower_of(CountingStore(), PollingSettings(watched=(Topic.CONTROL,)))
    follower.failing[Topic.CONTROL] = 1
    facts = Facts(CountingStore())
    node = RecordingNode()
    peers = PeerFacts(facts, follower, cast(PeerNode, node), lambda: DAEMONS, lambda: ENTRIES)
    return RejectedProcess(peers, node)


async def test_a_process_whose_calls_fail_requests_one_whole_topic_at_a_time(
    rejected_process: RejectedProcess,
) -> None:
    """Guards against requests to two peers three times a second until the topic arrives."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(rejected_process.peers.run)
        end = trio.current_time() + 60
        while trio.current_time() < end:
            # All peers have a newer revision, and no requested topic arrives: the timeout grows.
            await trio.sleep(0.05)
            rejected_process.deliver_revision(7, 0.1)
        times = [at for at, _ in rejected_process.transfers]
        assert all(b - a >= FIRST_TRANSFER_SECONDS for a, b in itertools.pairwise(times))
        assert len(times) <= 60 / MAX_TRANSFER_SECONDS + 5
        # A topic that arrives resets the timeout.
        rejected_process.peers.receive(TopicFacts(Topic.CONTROL.value, 7, 0.1, []), "peer")
        rejected_process.deliver_revision(7, 0.1)
        transfers_before = len(rejected_process.transfers)
        rejected_process.deliver_revision(8, 0.1)
        assert [held for _, held in rejected_process.transfers[transfers_before:]] == [7]
        nursery.cancel_scope.cancel()


async def test_few_requests_are_sent_and_only_to_entries_while_one_has_fresh_facts(
    rejected_process: RejectedProcess,
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(rejected_process.peers.run)
        for _ in range(40):
            rejected_process.deliver_revision(UNKNOWN_REVISION, 0.1)
            await trio.sleep(0.25)
        sent = rejected_process.node.sent
        assert sent and all(address in ENTRIES for _, address in sent)
        assert len(sent) <= 10 / (0.7 * ASK_INTERVAL_SECONDS) * ENTRIES_ASKED
        # While the store answers no entry either, one other process at a time is asked as well.
        sent.clear()
        for _ in range(40):
            rejected_process.deliver_revision(UNKNOWN_REVISION, STALE_SECONDS + 1)
            await trio.sleep(0.25)
        others = {address for _, address in sent if address in DAEMONS}
        assert 1 <= len(others) <= 10 / FALLBACK_PEER_SECONDS + 1
        assert not rejected_process.transfers
        nursery.cancel_scope.cancel()


async def test_a_process_without_facts_answers_that_it_has_none(
    rejected_process: RejectedProcess,
) -> None:
    answers: list[PeerMessage] = []

    def reply(message: PeerMessage, payload: bytes | None) -> bool:
        answers.append(message)
        return True

    rejected_process.peers.answer_revision(AskRevision(Topic.CONTROL.value), reply)
    assert answers == [KnownRevision(Topic.CONTROL.value, UNKNOWN_REVISION, float("inf"))]
