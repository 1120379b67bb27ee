"""Tests that facts published after the store was restored from an older copy take effect in time.

The restored store has lost its newest writes and gives out their revisions again. Guards against
processes that take what has a lower revision than they have seen for outdated.
"""

from collections.abc import Callable
from enum import Enum
from pathlib import Path

import pytest
import trio
from headcross_facts.bounds import FactBounds
from headcross_platform import names

from testing.machinecaller import ask
from testing.machinelayout import MODEL_SERVICE, PLAIN_SERVICE
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
    with trio.fail_after(10):
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
