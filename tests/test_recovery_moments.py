"""A chunk turns bad beside an order of a killed daemon, at any moment around the next one's start.

Three loads no process can prevent: a chunk that turned bad less than 3 s before; one while no
process was there; one while the replica answered nothing. All others are prevented.
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
# For how long the next process is away after the kill, and how long it needs once it runs.
AWAY_SECONDS = (0.5, 6.0)
REPAIR_SECONDS = 1.0
# A chunk turns bad from the kill until so long after the start of the process.
AFTER_START_SECONDS = 0.5
# A chunk that has been bad for less may be loaded.
ALLOWED_SECONDS = 3.0


@dataclass(frozen=True)
class History:
    """The moments of one history, in seconds since the kill."""

    starts: float
    turns_bad: float

    @staticmethod
    def drawn(draw: random.Random) -> "History":
        """Return a history drawn from a generator."""
        starts = draw.uniform(*AWAY_SECONDS)
        return History(starts, draw.uniform(0.0, starts + AFTER_START_SECONDS))


async def wait_started(site: Machines, times: int) -> None:
    """Wait until a site's daemon has logged so many starts."""
    with trio.fail_after(LOADED_SECONDS):
        while sum(line["message"] == "started" for line in site.log("daemon0")) < times:
            await trio.sleep(0.02)


async def play(directory: Path, history: History) -> None:
    """Play a history; the order is taken as soon as its load may be judged."""
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
        replica.take_kept_orders()
        assert replica.loads, "the order was not taken"
        check_loads(site)


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_chunk_that_turned_bad_is_mended_whenever_its_daemon_comes_back(
    tmp_path: Path, seed: int
) -> None:
    """An order of a killed daemon was taken with a chunk that had been bad for over 3 s."""
    draw = random.Random(seed)
    directories = [tmp_path / str(number) for number in range(HISTORIES)]
    for directory in directories:
        await trio.Path(directory).mkdir()
    async with trio.open_nursery() as nursery:
        for number in range(HISTORIES):
            history = History.drawn(draw)
            print(seed, history)
            nursery.start_soon(play, directories[number], history)
