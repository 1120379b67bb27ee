"""Tests when an importing host counts as silent, so that another host takes over its chunks."""

import random
from types import SimpleNamespace

import pytest
import trio
from headcross_native.hostlist import Host
from headcross_weights.importduties import ImportDuties
from headcross_weights.pace import LARGE_WEIGHTS
from headcross_weights.sourcing import ImportOrder
from headcross_wire.peermessages import Intent
from trio.testing import MockClock

from testing.answeringpeers import AnsweringPeers
from testing.small import CHUNK_BYTES, WEIGHTS_BYTES

NAMES = [f"host{i}" for i in range(4)]


@pytest.fixture
def simulated_clock(monkeypatch: pytest.MonkeyPatch, autojump_clock: MockClock) -> MockClock:
    """Replace the product's clock by trio's, which jumps ahead while every task sleeps."""
    clock = SimpleNamespace(CLOCK_BOOTTIME=0, clock_gettime=lambda _: trio.current_time())
    monkeypatch.setattr("headcross_base.monotonic.time", clock)
    return autojump_clock


async def test_a_late_manifest_does_not_make_importing_hosts_count_as_silent(
    simulated_clock: MockClock,
) -> None:
    seed = random.randrange(1 << 30)
    print(f"seed {seed}")
    random.seed(seed)
    peers = AnsweringPeers(random.randbytes(WEIGHTS_BYTES), CHUNK_BYTES, 5)
    dead, me, *_ = peers.manifest_hosts()
    peers.silent = {dead}
    # This host imports only its own chunks and those for which it is the first stand-in behind the
    # dead host.
    assert await peers.transfer(me) == peers.duties_of(me)


@pytest.mark.parametrize("near", [True, False], ids=["same-region", "other-region"])
@pytest.mark.parametrize("is_stored", [True, False], ids=["has", "pending"])
async def test_only_a_copy_that_may_be_fetched_delays_a_takeover(
    simulated_clock: MockClock, near: bool, is_stored: bool
) -> None:
    """The first host of a chunk is silent, the second answers, and this host is the third."""
    seed = random.randrange(1 << 30)
    print(f"seed {seed}")
    artifact = f"artifact {seed}"
    second, me = _order(artifact)[1:3]
    hosts = [_host(name, "r0" if near or name != second else "r1") for name in NAMES]
    duties = ImportDuties(ImportOrder(artifact, hosts, me, 1))
    answer = Intent(second, artifact, [0] if is_stored else [], [] if is_stored else [0])
    # The third host waits for two takeover times.
    for _ in range(4):
        await trio.sleep(LARGE_WEIGHTS.takeover_seconds)
        duties.receive_intent(answer)
    assert duties.take_over([0]) == ([] if near else [0])


def _host(name: str, region: str) -> Host:
    return Host(name, "upstream", region, "z0", "127.0.0.1:1", "127.0.0.1:2")


def _order(artifact: str) -> list[str]:
    """Return the hosts in the import order of chunk 0, which does not depend on their regions."""
    hosts = [_host(name, "r0") for name in NAMES]
    last = next(
        duty
        for duty in (ImportOrder(artifact, hosts, name, 1).duty(0) for name in NAMES)
        if duty.rank == len(NAMES) - 1
    )
    return list(last.predecessors)
