"""When a host counts as silent, so that another stands in for it."""

import random
from types import SimpleNamespace

import pytest
import trio
from trio.testing import MockClock

from testing.answeringpeers import AnsweringPeers
from testing.small import CHUNK_BYTES, WEIGHTS_BYTES


@pytest.fixture
def simulated_clock(monkeypatch: pytest.MonkeyPatch, autojump_clock: MockClock) -> MockClock:
    """Let the product's clock be trio's, which jumps ahead while every task sleeps."""
    clock = SimpleNamespace(CLOCK_BOOTTIME=0, clock_gettime=lambda _: trio.current_time())
    monkeypatch.setattr("headcross_base.clocks.time", clock)
    return autojump_clock


async def test_a_manifest_that_comes_late_makes_no_chunks_host_seem_silent(
    simulated_clock: MockClock,
) -> None:
    seed = random.randrange(1 << 30)
    print(f"seed {seed}")
    random.seed(seed)
    peers = AnsweringPeers(random.randbytes(WEIGHTS_BYTES), CHUNK_BYTES, 5)
    dead, me, *_ = peers.manifest_hosts()
    peers.silent = {dead}
    # Only chunks that are this host's, or that it is the dead one's first stand-in for.
    assert await peers.transfer(me) == peers.duties_of(me)
