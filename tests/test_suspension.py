"""Tests timers on a machine that is suspended, where the monotonic clock does not advance.

A test cannot suspend a machine, so the clocks are passed in.
"""

import time
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import TypeVar, cast
from unittest.mock import Mock

import pytest
import trio
from headcross_base.clocks import COMPARE_INTERVAL_SECONDS, SuspensionClock
from headcross_base.earlylog import EarlyLog
from headcross_daemon import machinerole
from headcross_daemon import main as nativemain
from headcross_daemon.machinesettings import MachineSettings
from headcross_daemon.settings import Settings

T = TypeVar("T")
SUSPENSIONS = [1.0, 5.0, 30.0]


class Machine:
    """A machine with a clock that advances during suspension."""

    def __init__(self) -> None:
        self._suspended = 0.0

    def clock(self) -> float:
        """Return the time in seconds, including suspensions."""
        return time.monotonic() + self._suspended

    def suspend(self, seconds: float) -> None:
        """Suspend the machine for some seconds and resume it."""
        self._suspended += seconds

    def run(self, main: Callable[[], Awaitable[T]]) -> T:
        """Run a process on the machine."""
        return trio.run(main, clock=SuspensionClock(time.monotonic, self.clock))


@pytest.mark.parametrize("seconds", SUSPENSIONS)
def test_a_deadline_passes_while_the_machine_is_suspended(seconds: float) -> None:
    machine = Machine()

    async def tick() -> None:
        """Wake the process at intervals, as the timers of every process do."""
        while True:
            await trio.sleep(0.1)

    async def main() -> bool:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tick)
            with trio.move_on_after(seconds - 0.5) as scope:
                machine.suspend(seconds)
                await trio.sleep_forever()
            nursery.cancel_scope.cancel()
        return scope.cancelled_caught

    started = time.monotonic()
    assert machine.run(main)
    assert time.monotonic() - started < 0.5


@pytest.mark.parametrize("seconds", SUSPENSIONS)
def test_the_time_left_for_a_request_shrinks_while_the_machine_is_suspended(
    seconds: float,
) -> None:
    machine = Machine()

    async def main() -> float:
        deadline = trio.current_time() + 60.0
        machine.suspend(seconds)
        await trio.sleep(COMPARE_INTERVAL_SECONDS)
        return deadline - trio.current_time()

    assert machine.run(main) == pytest.approx(60.0 - seconds, abs=0.5)


def test_timers_fire_on_time_without_suspension() -> None:
    machine = Machine()

    async def main() -> float:
        started = time.monotonic()
        await trio.sleep(0.2)
        return time.monotonic() - started

    assert machine.run(main) == pytest.approx(0.2, abs=0.15)


@pytest.fixture
def clocks(monkeypatch: pytest.MonkeyPatch) -> list[object]:
    """Replace trio.run and return the list of the clocks that are passed to it."""
    used: list[object] = []
    monkeypatch.setattr(trio, "run", lambda *args, clock=None: used.append(clock))
    return used


def test_an_upstream_or_entry_daemon_uses_the_clock_that_counts_suspension(
    clocks: list[object],
) -> None:
    nativemain.run(cast(Settings, None), Mock())
    assert isinstance(clocks[0], SuspensionClock)


def test_a_process_on_the_machines_uses_the_clock_that_counts_suspension(
    clocks: list[object], monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = cast(MachineSettings, SimpleNamespace(host="h", log_level="error"))
    monkeypatch.setattr(machinerole, "configure_line_log", lambda host, level: Mock())
    machinerole.run_role(settings, Mock(), EarlyLog(), Mock())
    assert isinstance(clocks[0], SuspensionClock)


def test_a_pause_of_the_process_between_the_two_readings_is_not_a_suspension() -> None:
    monotonic = 0.0

    def clock_with_suspension() -> float:
        nonlocal monotonic
        now = monotonic
        monotonic += 3.0
        return now

    clock = SuspensionClock(lambda: monotonic, clock_with_suspension)
    for _ in range(10):
        assert clock.current_time() <= monotonic


def test_the_clock_never_goes_back_and_rarely_reads_the_clock_that_counts_suspension() -> None:
    reads = 0
    monotonic = 0.0

    def clock_with_suspension() -> float:
        nonlocal reads
        reads += 1
        return monotonic + (5.0 if monotonic < 1.0 else 4.0)

    clock = SuspensionClock(lambda: monotonic, clock_with_suspension)
    last = clock.current_time()
    for _ in range(20_000):
        monotonic += 0.0001
        assert clock.current_time() >= last
        last = clock.current_time()
    assert reads <= 2.0 / COMPARE_INTERVAL_SECONDS + 2
