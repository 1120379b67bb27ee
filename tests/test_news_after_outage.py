"""News that were published right after an outage of the store are in force within their bound.

The story. For eight seconds the store answered nobody. Three of five entries were killed meanwhile
and started again, so that they knew nothing. When the store was back, operators published several
configurations within two seconds. One of the two entries that had lived through it went on by the
configuration of before for at least 3.9 s, past the bound of 2 s: it ran a request that a newer
version sent elsewhere, and refused a new route with 404.

The evidence. The store's own count of calls, by entry and second: that entry's last calls began in
the second before the store's return and got no answer; it made none in the four seconds after
that, while 22 calls of the other entries were answered; its next ones, five seconds later, were
answered at once. A watch lasted 3 s and its answer had 1.5 s more. Nor could another process tell
it: a question to one that knows nothing is never answered, also not once that one knows more, and
the next question waited for up to 5 s.
"""

from pathlib import Path

import pytest
import trio
from headcross_facts.following import FactBounds

from testing.machinecaller import ask
from testing.machinelayout import PLAIN_SERVICE
from testing.machines import Machines, running_machines, small_site
from testing.platformstore import Mood
from tests.test_machine_facts import wait_version

BOUNDS = FactBounds()
# A call that is younger has only just begun.
JUST_BEGUN_SECONDS = 0.15
SHORT_SILENCE_SECONDS = 0.2
# Nearly as long as in the story: a question that nobody answers waits for 5 s by then.
OUTAGE_SECONDS = 6.5
WAIT_SECONDS = 20.0
NEW_ROUTE = {"name": "new", "path_prefix": "/new/"}


async def wait_new_call(site: Machines, name: str, *, lost: bool) -> None:
    """Wait until a process has just begun to watch the configuration, while it is lost or not."""
    with trio.fail_after(WAIT_SECONDS):
        while True:
            topic = (await site.state(name))["topics"]["control"]
            if topic["call_seconds"] < JUST_BEGUN_SECONDS and (topic["failing"] > 0) is lost:
                return
            await trio.sleep(0.02)


@pytest.mark.parametrize("silence", ["long", "short"])
async def test_news_are_in_force_in_time_though_a_call_outlives_a_silent_store(
    tmp_path: Path, silence: str
) -> None:
    """The entry has to find out by itself: there is no other that could tell it."""
    async with small_site(tmp_path, models=0) as site:
        if silence == "long":
            site.store.set_mood(Mood.SILENT)
            await wait_new_call(site, "entry0", lost=True)
        else:
            await wait_new_call(site, "entry0", lost=False)
            site.store.set_mood(Mood.SILENT)
            await trio.sleep(SHORT_SILENCE_SECONDS)
        site.store.set_mood(Mood.WELL)
        back_at = trio.current_time()
        added = {**site.configuration["routes"][2], **NEW_ROUTE}
        site.change(routes=[*site.configuration["routes"], added])
        # The entry counts as reached so long after the store's return, and the bound counts then.
        await trio.sleep_until(back_at + max(BOUNDS.reached, BOUNDS.configuration))
        assert (await ask(site.callers("entry0"), "/new/x")).status == 200


async def test_a_process_that_is_turned_away_learns_soon_after_another_one_knows(
    tmp_path: Path,
) -> None:
    """The other one has only just started: it is asked while it knows nothing."""
    async with running_machines(tmp_path) as site:
        site.add_entry("entry0", "z0")
        late = site.add_entry("late", "z0")
        await site.add_replica(PLAIN_SERVICE, "z0")
        site.start("entry0")
        await site.wait_ready("entry0")
        site.seeds.clear()  # it cannot ask either
        site.store.set_mood(Mood.BUSY)
        site.start("late")
        await trio.sleep(OUTAGE_SECONDS)
        assert (await site.state("late"))["configuration"] is None
        site.store.set_mood(Mood.WELL, [late.ip])
        site.store.set_mood(Mood.BUSY, [site.machines["entry0"].ip])
        site.change()
        await wait_version(site, "late", 2)
        with trio.fail_after(BOUNDS.configuration):
            while (await site.state("entry0"))["configuration"] != 2:
                await trio.sleep(0.03)
