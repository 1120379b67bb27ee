"""Tests that facts published after the store was restored from an older copy take effect in time.

The restored store has lost its newest writes and gives out their revisions again. Guards against
processes that take what has a lower revision than they have seen for outdated.
"""

import signal
from collections.abc import Awaitable, Callable
from enum import Enum
from pathlib import Path
from typing import Any

import pytest
import trio
from headcross_facts.bounds import FactBounds
from headcross_platform import names

from testing.machinecaller import ask
from testing.machinelayout import MODEL, MODEL_SERVICE, PLAIN_SERVICE
from testing.machines import Machines, replicas_of, small_site
from testing.platformstore import StoreCondition
from tests.test_machine_weights import wait_loaded, wait_offered

BOUNDS = FactBounds()
# Bounds apply once the store has been answering for `reached` seconds.
IN_FORCE_SECONDS = max(BOUNDS.reached, BOUNDS.configuration)
AWAY_SECONDS = 0.5
LOST_WRITES = 6
ENTRIES = ("entry0", "entry1")
ADDED_ROUTE = {"name": "new", "path_prefix": "/new/"}
# A daemon knows a revision of other topics when its watch ends without changes, after up to 8.7 s.
KNOWN_SECONDS = 30.0
# Within this time, a process has enough answers to believe a store that goes on stating an earlier
# epoch, or none.
BELIEVED_SECONDS = 8.0
# Calls of one process to the store in the seconds after a restore: listings and watches of two
# topics, some changes, and retries.
COUNTED_SECONDS = 4.0
MAX_CALLS = 40


class Revision(Enum):
    """The revision of what is published after a restore, compared with the newest one before."""

    LOWER = "lower"
    EQUAL = "equal"
    HIGHER = "higher"


def write_unused(site: Machines, count: int) -> None:
    """Write items that no process uses."""
    for number in range(count):
        site.store.put(f"{names.CONTROL_PREFIX}unused/{number}", {"number": number})


async def wait_known_revision(site: Machines, revision: int) -> None:
    """Wait until all processes know a revision of all topics that they watch."""
    with trio.fail_after(KNOWN_SECONDS):
        for name in site.machines:
            while True:
                topics = (await site.state(name))["topics"].values()
                if all(t["revision"] >= revision for t in topics if t["revision"]):
                    break
                await trio.sleep(0.03)


async def restore(site: Machines, revision: Revision, publish: Callable[[], object]) -> None:
    """Restore the store from before its last writes; `publish` makes one write after that.

    With `Revision.EQUAL` and `Revision.HIGHER`, the store gives out the lost revisions before any
    process reaches it again, so that no watch gets status 410.
    """
    copied = site.store.revision
    write_unused(site, LOST_WRITES)
    await wait_known_revision(site, site.store.revision)
    site.store.set_condition(StoreCondition.RESET)
    site.store.restore(copied)
    if revision is not Revision.LOWER:
        write_unused(site, LOST_WRITES - 1)
    publish()
    if revision is Revision.HIGHER:
        write_unused(site, LOST_WRITES)
    await trio.sleep(AWAY_SECONDS)
    site.store.set_condition(StoreCondition.WELL)


@pytest.mark.parametrize("revision", Revision)
async def test_a_configuration_published_after_a_restore_is_in_force_at_all_entries(
    tmp_path: Path, revision: Revision
) -> None:
    async with small_site(tmp_path, models=0, entries=2) as site:
        site.rewrite_seconds = float("inf")
        added = {**site.configuration["routes"][2], **ADDED_ROUTE}
        await restore(
            site, revision, lambda: site.change(routes=[*site.configuration["routes"], added])
        )
        await trio.sleep(IN_FORCE_SECONDS)
        for name in ENTRIES:
            assert (await ask(site.callers(name), "/new/x")).status == 200


@pytest.mark.parametrize("revision", Revision)
async def test_a_replica_that_leaves_after_a_restore_gets_nothing_new(
    tmp_path: Path, revision: Revision
) -> None:
    async with small_site(tmp_path, models=0, entries=2) as site:
        site.rewrite_seconds = float("inf")
        leaving = replicas_of(site, PLAIN_SERVICE)[0]
        listed = site.replicas[leaving.id]
        listed.writes_entry = False

        def announce() -> None:
            leaving.draining = True
            site.list_replica(listed)

        await restore(site, revision, announce)
        await trio.sleep(max(BOUNDS.reached, BOUNDS.leaving))
        before = leaving.arrivals
        for name in ENTRIES:
            for _ in range(10):
                assert (await ask(site.callers(name), "/once/x")).status == 200
        assert leaving.arrivals == before


@pytest.mark.parametrize("revision", Revision)
async def test_a_version_named_after_a_restore_is_loaded(
    tmp_path: Path, revision: Revision
) -> None:
    async with small_site(tmp_path, models=2, plain=0, daemons=True) as site:
        site.rewrite_seconds = float("inf")
        await wait_offered(site)
        await restore(site, revision, lambda: site.name_version(2))
        with trio.fail_after(BOUNDS.reached + site.weights_ms / 1000):
            await wait_loaded(replicas_of(site, MODEL_SERVICE), 2)


async def test_calls_to_the_store_stay_few_after_a_restore(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=1, entries=2, daemons=True) as site:
        await restore(site, Revision.LOWER, site.change)
        site.store.calls.clear()
        await trio.sleep(COUNTED_SECONDS)
        for machine in site.machines.values():
            calls = sum(
                count for call, count in site.store.calls.items() if call.startswith(machine.ip)
            )
            assert calls <= MAX_CALLS, f"{machine.name}: {calls} calls"


async def publish_route(site: Machines, path: str) -> None:
    """Publish a configuration with another route."""
    added = {**site.configuration["routes"][2], "name": path, "path_prefix": path}
    site.change(routes=[*site.configuration["routes"], added])


async def wait_state(site: Machines, name: str, holds: Callable[[dict[str, Any]], bool]) -> None:
    """Wait until the state that a process shows fulfils a condition."""
    with trio.fail_after(10):
        while not holds(await site.state(name)):
            await trio.sleep(0.03)


async def test_what_is_known_does_not_go_back_to_the_copy(tmp_path: Path) -> None:
    """Nothing is written again after the restore."""
    async with small_site(tmp_path, models=0, plain=3, entries=2, named=1) as site:
        site.rewrite_seconds = float("inf")
        leaving, gone, _ = replicas_of(site, PLAIN_SERVICE)
        copied = site.store.revision
        leaving.draining = True
        site.list_replica(site.replicas[leaving.id])
        site.replicas[gone.id].writes_entry = False
        site.unlist(site.replicas[gone.id])
        site.name_version(2)
        await publish_route(site, "/new/")
        await wait_known_revision(site, site.store.revision)
        arrivals = leaving.arrivals + gone.arrivals
        site.store.restore(copied)
        end = trio.current_time() + IN_FORCE_SECONDS
        while trio.current_time() < end:
            for name in ENTRIES:
                assert (await ask(site.callers(name), "/new/x")).status == 200
                assert (await site.state(name))["versions"] == {MODEL: 2}
        assert leaving.arrivals + gone.arrivals == arrivals
        for name in ENTRIES:
            assert (await site.state(name))["topics"]["control"]["epoch"] == site.store.era


async def test_a_replica_that_the_copy_lacks_is_served_again_once_it_has_written(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=0, plain=1) as site:
        copied = site.store.revision
        added = await site.add_replica(PLAIN_SERVICE, "z0")
        await wait_state(site, "entry0", lambda state: state["replicas"] == 2)
        site.store.restore(copied)
        await wait_state(site, "entry0", lambda state: state["replicas"] == 1)
        await wait_state(site, "entry0", lambda state: state["replicas"] == 2)
        before = added.replica.arrivals
        for _ in range(10):
            assert (await ask(site.callers("entry0"), "/again/x")).status == 200
        assert added.replica.arrivals > before


async def leave_alone(site: Machines) -> None:
    """Restore the store, which is never away."""
    site.store.restore(site.store.revision_before(1.0))


async def restore_twice(site: Machines) -> None:
    """Restore the store twice, each time to before the first restore."""
    copied = site.store.revision_before(1.0)
    for _ in range(2):
        site.store.set_condition(StoreCondition.RESET)
        await trio.sleep(0.2)
        site.store.restore(copied)
        site.store.set_condition(StoreCondition.WELL)
        await trio.sleep(0.2)
        await publish_route(site, "/between/")


async def restore_in_silence(site: Machines) -> None:
    """Restore the store during an outage in which it does not answer."""
    site.store.set_condition(StoreCondition.SILENT)
    await trio.sleep(2.5)
    site.store.restore(site.store.revision_before(4.0))
    site.store.set_condition(StoreCondition.WELL)


async def restore_beside_a_freeze(site: Machines) -> None:
    """Restore the store while an entry is suspended."""
    site.signal("entry0", signal.SIGSTOP)
    await trio.sleep(0.3)
    site.store.restore(site.store.revision_before(1.0))
    await trio.sleep(0.7)
    site.signal("entry0", signal.SIGCONT)


async def restore_beside_a_restart(site: Machines) -> None:
    """Restore the store while an entry starts again."""
    site.signal("entry0", signal.SIGKILL)
    await site.wait_exit("entry0")
    site.start("entry0")
    await trio.sleep(0.2)
    site.store.restore(site.store.revision_before(1.0))
    await site.wait_ready("entry0")


async def restore_behind_a_cut(site: Machines) -> None:
    """Restore the store, which does not answer one entry from then on."""
    site.store.set_condition(StoreCondition.SILENT, [site.machines["entry0"].ip])
    await trio.sleep(1.0)
    site.store.restore(site.store.revision_before(2.0))


async def restore_and_turn_away(site: Machines) -> None:
    """Restore the store, which refuses the calls of one entry from then on."""
    site.store.set_condition(StoreCondition.BUSY, [site.machines["entry0"].ip])
    site.store.restore(site.store.revision_before(1.0))


async def restore_without_an_epoch(site: Machines) -> None:
    """Restore the store, whose answers state no epoch for a while."""
    site.store.era_header = ""
    site.store.restore(site.store.revision_before(1.0))
    await trio.sleep(1.5)
    site.store.era_header = None


async def restore_with_a_malformed_epoch(site: Machines) -> None:
    """Restore the store, whose answers state no number as their epoch for a while."""
    site.store.era_header = "2 or 3"
    site.store.restore(site.store.revision_before(1.0))
    await trio.sleep(1.5)
    site.store.era_header = None


async def restore_with_a_wrong_epoch(site: Machines) -> None:
    """Restore the store, one of whose answers to each process states a far too high epoch."""
    site.store.wrong_eras = {machine.ip: "900" for machine in site.machines.values()}
    site.store.restore(site.store.revision_before(1.0))


@pytest.mark.parametrize(
    "restore_store",
    [
        leave_alone,
        restore_twice,
        restore_in_silence,
        restore_beside_a_freeze,
        restore_beside_a_restart,
        restore_behind_a_cut,
        restore_and_turn_away,
        restore_without_an_epoch,
        restore_with_a_malformed_epoch,
        restore_with_a_wrong_epoch,
    ],
)
async def test_news_after_a_restore_are_in_force_in_time(
    tmp_path: Path, restore_store: Callable[[Machines], Awaitable[None]]
) -> None:
    async with small_site(tmp_path, models=0, entries=2) as site:
        await trio.sleep(1.5)
        await publish_route(site, "/lost/")
        await wait_known_revision(site, site.store.revision)
        await restore_store(site)
        leaving = replicas_of(site, PLAIN_SERVICE)[0]
        leaving.draining = True
        site.list_replica(site.replicas[leaving.id])
        await publish_route(site, "/new/")
        await trio.sleep(IN_FORCE_SECONDS)
        before = leaving.arrivals
        for name in ENTRIES:
            for path in ("/new/x", "/lost/x"):
                assert (await ask(site.callers(name), path)).status == 200
            for _ in range(5):
                assert (await ask(site.callers(name), "/once/x")).status == 200
        assert leaving.arrivals == before


@pytest.mark.parametrize("header", ["900", ""])
async def test_a_wrong_epoch_in_all_answers_of_a_second_does_not_hide_what_follows(
    tmp_path: Path, header: str
) -> None:
    """All processes believe the wrong number, since several answers state it."""
    async with small_site(tmp_path, models=0, entries=2) as site:
        site.store.restore(site.store.revision_before(1.0))
        site.store.era_header = header
        await publish_route(site, "/lost/")
        await trio.sleep(1.0 if header else BELIEVED_SECONDS)
        if header:
            site.store.era_header = None
            await trio.sleep(BELIEVED_SECONDS)
        await publish_route(site, "/new/")
        await trio.sleep(BOUNDS.configuration)
        for name in ENTRIES:
            for path in ("/new/x", "/lost/x"):
                assert (await ask(site.callers(name), path)).status == 200


async def test_a_daemon_that_starts_around_a_restore_loads_the_version_named_after_it(
    tmp_path: Path,
) -> None:
    """The restore comes right after the daemon's first listing, which precedes its role."""
    async with small_site(tmp_path, models=2, plain=0, daemons=True) as site:
        await wait_offered(site)
        copied = site.store.revision
        write_unused(site, LOST_WRITES)
        site.signal("daemon0", signal.SIGKILL)
        await site.wait_exit("daemon0")
        ip = site.machines["daemon0"].ip
        listings = site.store.calls[f"{ip} {names.STORE_RANGE}"]
        site.start("daemon0")
        with trio.fail_after(10):
            while site.store.calls[f"{ip} {names.STORE_RANGE}"] == listings:
                await trio.sleep(0.002)
        await trio.sleep(0.02)
        site.store.restore(copied)
        site.name_version(2)
        with trio.fail_after(BOUNDS.reached + site.weights_ms / 1000):
            await wait_loaded(replicas_of(site, MODEL_SERVICE), 2)
