"""Tests that a chunk that turns bad around a restart of the daemon is repaired before its load.

An order of the daemon's earlier process is in doubt meanwhile: the replica may still accept it. A
daemon cannot prevent the load of a chunk that turned bad less than 3 s before, or while no process
was running, or while the replica did not answer. It must prevent all others.
"""

import random
from dataclasses import dataclass
from pathlib import Path

import pytest
import trio

from testing.machines import Machines, small_site
from testing.platformreplica import FakeReplica
from tests.test_beside_replica import corrupt_chunk, kill_with_order_in_doubt
from tests.test_machine_weights import LOADED_SECONDS, check_loads, wait_offered

SEEDS = range(4400, 4410)
HISTORIES = 3  # of each seed
# Range of the time from the kill to the next process's start, and the time its repair takes.
AWAY_SECONDS = (0.5, 6.0)
REPAIR_SECONDS = 1.0
# A chunk turns bad at some time between the kill and this long after the next process's start.
AFTER_START_SECONDS = 0.5
# A chunk that has been bad for less than this may be loaded.
ALLOWED_SECONDS = 3.0


@dataclass(frozen=True)
class History:
    """The event times of one history, in seconds since the kill."""

    starts: float
    turns_bad: float

    @staticmethod
    def drawn(generator: random.Random) -> "History":
        """Return a random history."""
        starts = generator.uniform(*AWAY_SECONDS)
        return History(starts, generator.uniform(0.0, starts + AFTER_START_SECONDS))


async def wait_started(site: Machines, times: int) -> None:
    """Wait until a site's daemon has logged `times` starts."""
    with trio.fail_after(LOADED_SECONDS):
        while sum(line["message"] == "started" for line in site.log("daemon0")) < times:
            await trio.sleep(0.02)


async def run_history(directory: Path, history: History) -> None:
    """Run a history; the order is accepted as soon as a bad chunk is no longer allowed."""
    async with small_site(directory, models=1, daemons=True) as site:
        await wait_offered(site)

        async def turn_bad(replica: FakeReplica) -> None:
            await trio.sleep_until(killed_at + history.turns_bad)
            corrupt_chunk(replica, 0)

        async with trio.open_nursery() as nursery:
            replica = await kill_with_order_in_doubt(site)
            killed_at = trio.current_time()
            nursery.start_soon(turn_bad, replica)
            site.name_version(3)
            await trio.sleep_until(killed_at + history.starts)
            site.start("daemon0")
            await wait_started(site, 2)
            await trio.sleep(REPAIR_SECONDS)
            await trio.sleep_until(killed_at + history.turns_bad + ALLOWED_SECONDS)
        replica.take_held_orders()
        assert replica.loads, "the order was not taken"
        check_loads(site)


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_bad_chunk_is_repaired_whenever_its_daemon_restarts(
    tmp_path: Path, seed: int
) -> None:
    """Guards against loading a chunk that has been bad for over 3 s by a killed daemon's order."""
    generator = random.Random(seed)
    directories = [tmp_path / str(number) for number in range(HISTORIES)]
    for directory in directories:
        await trio.Path(directory).mkdir()
    async with trio.open_nursery() as nursery:
        for number in range(HISTORIES):
            history = History.drawn(generator)
            print(seed, history)
            nursery.start_soon(run_history, directories[number], history)
