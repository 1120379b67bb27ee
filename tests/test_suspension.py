"""A machine that is suspended: its steady clock stands still while the world goes on.

A test cannot suspend a machine, so the clocks are passed in.
"""

import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import SimpleNamespace
from typing import TypeVar, cast
from unittest.mock import Mock

import pytest
import trio
from headcross_base.clocks import COMPARE_INTERVAL_SECONDS, SuspensionClock
from headcross_base.errors import Ok
from headcross_daemon import machinemain
from headcross_daemon import main as nativemain
from headcross_daemon.settings import Settings
from headcross_ports.adapter import Adapter

T = TypeVar("T")
SUSPENSIONS = [1.0, 5.0, 30.0]


class Machine:
    """A machine whose clock goes on while it is suspended."""

    def __init__(self) -> None:
        self._suspended = 0.0

    def clock(self) -> float:
        """Return seconds, those of suspensions among them."""
        return time.monotonic() + self._suspended

    def suspend(self, seconds: float) -> None:
        """Be suspended for some seconds, and wake."""
        self._suspended += seconds

    def run(self, main: Callable[[], Awaitable[T]]) -> T:
        """Run a process on the machine."""
        return trio.run(main, clock=SuspensionClock(time.monotonic, self.clock))


@pytest.mark.parametrize("seconds", SUSPENSIONS)
def test_a_deadline_passes_while_the_machine_is_suspended(seconds: float) -> None:
    machine = Machine()

    async def tick() -> None:
        """Wake the process now and then, as the timers of every process do."""
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
def test_what_is_left_of_a_request_shrinks_while_the_machine_is_suspended(seconds: float) -> None:
    machine = Machine()

    async def main() -> float:
        deadline = trio.current_time() + 60.0
        machine.suspend(seconds)
        await trio.sleep(COMPARE_INTERVAL_SECONDS)
        return deadline - trio.current_time()

    assert machine.run(main) == pytest.approx(60.0 - seconds, abs=0.5)


def test_timers_of_a_machine_that_was_not_suspended_fire_in_time() -> None:
    machine = Machine()

    async def main() -> float:
        started = time.monotonic()
        await trio.sleep(0.2)
        return time.monotonic() - started

    assert machine.run(main) == pytest.approx(0.2, abs=0.15)


@pytest.fixture
def clocks(monkeypatch: pytest.MonkeyPatch) -> list[object]:
    """Return the clocks that processes are run by, which are not run here."""
    used: list[object] = []
    monkeypatch.setattr(trio, "run", lambda *args, clock=None: used.append(clock))
    return used


def test_an_upstream_or_entry_daemon_goes_by_the_clock_that_counts_suspension(
    clocks: list[object],
) -> None:
    nativemain.run(cast(Settings, None))
    assert isinstance(clocks[0], SuspensionClock)


def test_a_process_on_the_machines_goes_by_the_clock_that_counts_suspension(
    clocks: list[object], monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = SimpleNamespace(
        host="h",
        log_level="error",
        store=SimpleNamespace(address="127.0.0.1:1"),
        replica_address=None,
    )
    monkeypatch.setattr(machinemain, "read_machine_settings", lambda path: Ok(settings))
    monkeypatch.setattr(machinemain, "configure_line_log", lambda host, level: Mock())
    machinemain.run(Path(), lambda store, replica: cast(Adapter, None))
    assert isinstance(clocks[0], SuspensionClock)


def test_a_pause_of_the_process_between_the_two_readings_is_not_a_suspension() -> None:
    steady = 0.0

    def counting() -> float:
        nonlocal steady
        now = steady
        steady += 3.0
        return now

    clock = SuspensionClock(lambda: steady, counting)
    for _ in range(10):
        assert clock.current_time() <= steady


def test_the_clock_never_goes_back_and_reads_the_costly_one_rarely() -> None:
    read = 0
    steady = 0.0

    def counting() -> float:
        nonlocal read
        read += 1
        return steady + (5.0 if steady < 1.0 else 4.0)

    clock = SuspensionClock(lambda: steady, counting)
    last = clock.current_time()
    for _ in range(20_000):
        steady += 0.0001
        assert clock.current_time() >= last
        last = clock.current_time()
    assert read <= 2.0 / COMPARE_INTERVAL_SECONDS + 2
