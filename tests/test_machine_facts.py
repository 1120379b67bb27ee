"""Facts from the platform: in force in time, whole, never back, whatever the store does."""

from pathlib import Path
from typing import Any

import pytest
import trio
import trio.lowlevel
import trio.testing
from headcross_base.addresses import Address
from headcross_base.clocks import PauseWatch
from headcross_base.errors import Failure, Ok
from headcross_facts.facts import Facts
from headcross_facts.following import Follower, FollowingPace
from headcross_facts.topicstate import TopicState
from headcross_platform import names
from headcross_platform.store import MetadataStore
from headcross_ports.published import Changes, Fact, HistoryLost, Item, Listing, Topic
from hypothesis import given
from hypothesis import strategies as st

from testing.machinecaller import ask
from testing.machines import MODEL_SERVICE, PLAIN_SERVICE, Machines, replicas_of, small_site
from testing.platformstore import Mood
from tests.test_machine_weights import wait_loaded, wait_offered

IN_FORCE_SECONDS = 15.0


async def wait_version(site: Machines, name: str, version: int) -> None:
    """Wait until a process has a configuration in force."""
    with trio.fail_after(IN_FORCE_SECONDS):
        while (await site.state(name)).get("configuration") != version:
            await trio.sleep(0.03)


def taken_from_peers(state: dict[str, Any]) -> int:
    """Return how many listings a process took from other daemons."""
    return int(state["peer_listings"])


async def test_a_change_is_in_force_and_a_burst_of_changes_ends_with_the_last(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=0, entries=2) as site:
        for _ in range(20):
            site.change()
        for name in ("entry0", "entry1"):
            await wait_version(site, name, 21)


async def test_a_document_that_cannot_be_read_changes_nothing_and_is_told(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0) as site:
        broken = {**site.configuration, "version": 2, "routes": [{"name": "half"}]}
        site.store.put(names.CONFIGURATION_KEY, broken)
        site.store.put(f"{names.REPLICA_PREFIX}i-broken", {"service": "api"})
        site.store.put(f"{names.VERSION_PREFIX}m", b"no json")
        with trio.fail_after(IN_FORCE_SECONDS):
            while True:
                lines = [x for x in site.log("entry0") if x["message"] == "fact rejected"]
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


@pytest.mark.parametrize("mood", [Mood.BUSY, Mood.LIMITED, Mood.RESET, Mood.SILENT])
async def test_a_store_that_was_away_is_followed_again(tmp_path: Path, mood: Mood) -> None:
    async with small_site(tmp_path, models=0) as site:
        site.store.set_mood(mood)
        site.change()
        await trio.sleep(0.3)
        assert (await ask(site.callers("entry0"), "/again/x")).status == 200
        site.store.set_mood(Mood.WELL)
        await wait_version(site, "entry0", 2)


@pytest.mark.parametrize("mood", [Mood.BUSY, Mood.SILENT])
async def test_a_process_that_the_store_turns_away_learns_from_others(
    tmp_path: Path, mood: Mood
) -> None:
    async with small_site(tmp_path, models=2, daemons=True) as site:
        turned_away = site.machines["entry0"].ip
        site.store.set_mood(mood, [turned_away])
        site.change(tenants=[{"name": "team-1", "api_keys": ["other-key"]}])
        await wait_version(site, "entry0", 2)
        assert taken_from_peers(await site.state("entry0")) > 0
        assert (await ask(site.callers("entry0"), "/again/x")).status == 401
        assert (await ask(site.callers("entry0"), "/again/x", key="other-key")).status == 200


async def test_a_process_that_starts_while_the_store_turns_it_away_becomes_ready(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=2, daemons=True) as site:
        late = site.add_entry("late", "z0")
        site.store.set_mood(Mood.BUSY, [late.ip])
        site.start("late")
        await site.wait_ready("late")
        assert (await ask(site.callers("late"), "/again/x")).status == 200


async def test_no_process_is_ready_before_it_has_facts(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0) as site:
        late = site.add_entry("late", "z0")
        site.seeds.clear()
        site.store.set_mood(Mood.BUSY, [late.ip])
        site.start("late")
        with trio.fail_after(IN_FORCE_SECONDS):
            while not await site.state("late"):
                await trio.sleep(0.03)
        assert not await site.ready("late")
        reply = await ask(site.callers("late"), "/again/x")
        assert reply.status == 503 and float(reply.headers[names.RETRY_AFTER]) > 0
        site.store.set_mood(Mood.WELL)
        await site.wait_ready("late")


async def test_changes_that_the_store_forgot_are_read_anew(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0) as site:
        gone = replicas_of(site, PLAIN_SERVICE)[0]
        site.store.set_mood(Mood.BUSY)
        site.change()
        site.crash_replica(site.replicas[gone.id])
        site.unlist(site.replicas[gone.id])
        site.store.forget_history()
        site.store.set_mood(Mood.WELL)
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


async def test_a_listing_in_pages_is_whole(tmp_path: Path) -> None:
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
def test_items_are_those_of_the_newest_revision_heard_of_in_whatever_order_news_arrive(
    history: list[tuple[str, bool]], deliveries: list[tuple[bool, int, int]]
) -> None:
    """Listings of any age, and changes that were asked for before newer listings came."""
    events = [
        Item(key, revision, b"" if there else None)
        for revision, (key, there) in enumerate(history, start=1)
    ]

    def truth(revision: int) -> dict[str, Item]:
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
            state.take_listing(Listing(tuple(truth(until).values()), until), 0.0)
        else:
            after = min(after, state.revision)
            state.take_changes(Changes(tuple(events[after:until]), max(after, until)))
        assert state.items == truth(state.revision)


async def test_a_daemon_learns_of_a_version_at_once_and_not_of_every_configuration(
    tmp_path: Path,
) -> None:
    """A burst of configurations filled the narrow links beside replicas (scale-1)."""
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
    """Counts the listings it gives."""

    def __init__(self) -> None:
        self.listings = 0

    async def read(self, topic: Topic) -> Ok[Listing] | Failure:
        """Give an empty listing, newer each time."""
        await trio.lowlevel.checkpoint()
        self.listings += 1
        return Ok(Listing((), self.listings))

    async def watch(
        self, topic: Topic, after: int, wait_seconds: float
    ) -> Ok[Changes] | HistoryLost | Failure:
        """Tell of no change."""
        await trio.sleep(wait_seconds)
        return Ok(Changes((), after))

    def use_address(self, address: Address) -> None:
        """Have no address."""

    def covers(self, topic: Topic, key: str) -> bool:
        """Have no keys."""
        return False

    def decode(self, item: Item) -> Ok[Fact | None] | Failure:
        """Know nothing."""
        return Ok(None)


async def test_a_topic_that_is_listed_now_and_then_is_listed_at_once_when_asked_for(
    mock_clock: trio.testing.MockClock,
) -> None:
    store = CountingStore()
    facts = Facts(store)
    pace = FollowingPace(watched=(), listed=(Topic.CONTROL,))
    follower = Follower(store, facts, PauseWatch(limit_seconds=1e9), pace)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.testing.wait_all_tasks_blocked()
        assert store.listings == 1
        mock_clock.jump(1.0)
        await trio.testing.wait_all_tasks_blocked()
        assert store.listings == 1
        follower.list_now(Topic.CONTROL)
        await trio.testing.wait_all_tasks_blocked()
        assert store.listings == 2
        mock_clock.jump(1.3 * pace.listing_seconds)
        await trio.testing.wait_all_tasks_blocked()
        assert store.listings == 3
        nursery.cancel_scope.cancel()


def test_an_entry_knows_the_versions_from_the_whole_that_it_follows() -> None:
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    assert not facts.topic_known(Topic.VERSIONS).known
    name = Item(f"{names.VERSION_PREFIX}m", 5, b'{"model":"m","version":2}')
    other = Item(f"{names.CONTROL_PREFIX}else", 7, b"{}")
    facts.take_listing(Topic.CONTROL, Listing((name, other), 9), 0.0, "store")
    known = facts.topic_known(Topic.VERSIONS)
    assert known.known and known.revision == 9 and list(known.items) == [name.key]
