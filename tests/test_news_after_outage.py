"""Tests that changes published right after an outage of the store take effect within their bound.

Guards against an entry that uses an old configuration for 3.9 s or more, past the bound of 2 s.
Such an entry ran a request that a newer version routed elsewhere, and refused a new route with
404. Its calls had begun in the last second of an outage of 8 s and were never answered; it waited
for them for up to 4.5 s (a watch of 3 s and 1.5 s for the answer) while the store answered other
entries. Peers did not help: a process without a configuration did not answer, not even once it had
one, and was asked again only after up to 5 s.
"""

from pathlib import Path

import pytest
import trio
from headcross_facts.bounds import FactBounds

from testing.machinecaller import ask
from testing.machinelayout import PLAIN_SERVICE
from testing.machines import Machines, running_machines, small_site
from testing.platformstore import StoreCondition
from tests.test_machine_facts import wait_version

BOUNDS = FactBounds()
# A call younger than this counts as just begun.
JUST_BEGUN_SECONDS = 0.15
SHORT_SILENCE_SECONDS = 0.2
# Long enough for the pause after an unanswered question to peers to have grown to 5 s.
OUTAGE_SECONDS = 6.5
WAIT_SECONDS = 20.0
NEW_ROUTE = {"name": "new", "path_prefix": "/new/"}


async def wait_new_call(site: Machines, name: str, *, failing: bool) -> None:
    """Wait until a process has just begun a watch of the configuration.

    If `failing`, its previous call must have failed; otherwise, it must not have failed.
    """
    with trio.fail_after(WAIT_SECONDS):
        while True:
            topic = (await site.state(name))["topics"]["control"]
            if topic["call_seconds"] < JUST_BEGUN_SECONDS and (topic["failing"] > 0) is failing:
                return
            await trio.sleep(0.02)


@pytest.mark.parametrize("silence", ["long", "short"])
async def test_news_are_in_force_in_time_though_a_call_outlives_a_silent_store(
    tmp_path: Path, silence: str
) -> None:
    """There is only one entry, so that it cannot get the change from a peer."""
    async with small_site(tmp_path, models=0) as site:
        if silence == "long":
            site.store.set_condition(StoreCondition.SILENT)
            await wait_new_call(site, "entry0", failing=True)
        else:
            await wait_new_call(site, "entry0", failing=False)
            site.store.set_condition(StoreCondition.SILENT)
            await trio.sleep(SHORT_SILENCE_SECONDS)
        site.store.set_condition(StoreCondition.WELL)
        back_at = trio.current_time()
        added = {**site.configuration["routes"][2], **NEW_ROUTE}
        site.change(routes=[*site.configuration["routes"], added])
        # The bound applies once the store has been answering the entry for `reached` seconds.
        await trio.sleep_until(back_at + max(BOUNDS.reached, BOUNDS.configuration))
        assert (await ask(site.callers("entry0"), "/new/x")).status == 200


async def test_a_process_that_is_turned_away_learns_soon_after_another_one_knows(
    tmp_path: Path,
) -> None:
    """The peer has no configuration when it is first asked, and must answer once it has one."""
    async with running_machines(tmp_path) as site:
        site.add_entry("entry0", "z0")
        late = site.add_entry("late", "z0")
        await site.add_replica(PLAIN_SERVICE, "z0")
        site.start("entry0")
        await site.wait_ready("entry0")
        site.seeds.clear()  # entry0 cannot ask peers
        site.store.set_condition(StoreCondition.BUSY)
        site.start("late")
        await trio.sleep(OUTAGE_SECONDS)
        assert (await site.state("late"))["configuration"] is None
        site.store.set_condition(StoreCondition.WELL, [late.ip])
        site.store.set_condition(StoreCondition.BUSY, [site.machines["entry0"].ip])
        site.change()
        await wait_version(site, "late", 2)
        with trio.fail_after(BOUNDS.configuration):
            while (await site.state("entry0"))["configuration"] != 2:
                await trio.sleep(0.03)
