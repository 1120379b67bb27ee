"""Facts from the platform: in force in time, whole, never back, whatever the store does."""

from pathlib import Path
from typing import Any

import pytest
import trio
from headcross_facts.topicstate import TopicState
from headcross_platform import names
from headcross_ports.published import Changes, Item, Listing, Topic
from hypothesis import given
from hypothesis import strategies as st

from testing.machinecaller import ask
from testing.machines import PLAIN_SERVICE, Machines, replicas_of, small_site
from testing.platformstore import Mood

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
