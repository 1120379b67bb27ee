"""Clocks that include the time of a suspension, and detection of pauses of the process.

Ages are measured on the monotonic clock of one process and never compared between hosts. A
process that was stopped (SIGSTOP, a suspended machine) resumes with outdated facts. `PauseWatch`
checks the clock at a fixed interval and counts each gap that is much longer than the interval.
"""

import time
from collections.abc import Callable
from typing import Final

import trio
import trio.abc

from headcross_base.monotonic import monotonic

TICK_SECONDS: Final = 0.5
# How often CLOCK_MONOTONIC is compared with CLOCK_BOOTTIME. Trio reads the time thousands of times
# a second, and reading CLOCK_BOOTTIME may take a system call.
COMPARE_INTERVAL_SECONDS: Final = 0.01
# A longer gap between two checks counts as a pause; a busy event loop stays well below it.
MIN_PAUSE_SECONDS: Final = 1.5


def now_ms() -> int:
    """Return `monotonic()` in whole milliseconds."""
    return int(monotonic() * 1000)


class SuspensionClock(trio.abc.Clock):
    """Clock for trio that includes the time for which the machine was suspended.

    Trio's default clock does not advance during a suspension, so request deadlines, the ages of
    refusals and the idle times of connections would ignore it.
    """

    def __init__(
        self,
        monotonic_clock: Callable[[], float] = time.monotonic,
        boottime_clock: Callable[[], float] = monotonic,
    ) -> None:
        """Use two clocks: `monotonic_clock` is cheap to read but stops during a suspension.

        `boottime_clock` does not stop.
        """
        self._monotonic_clock = monotonic_clock
        self._boottime_clock = boottime_clock
        boottime = boottime_clock()
        self._compared_at = monotonic_clock()
        self._suspended_seconds = boottime - self._compared_at

    def start_clock(self) -> None:
        """Do nothing: the clock needs no start."""

    def current_time(self) -> float:
        """Return seconds; a suspension is included at most 0.01 s after its end."""
        monotonic_now = self._monotonic_clock()
        if monotonic_now - self._compared_at >= COMPARE_INTERVAL_SECONDS:
            self._compared_at = monotonic_now
            # The monotonic clock is read last: a pause of the process between the two reads must
            # not count as a suspension.
            boottime = self._boottime_clock()
            monotonic_now = self._monotonic_clock()
            self._suspended_seconds = max(self._suspended_seconds, boottime - monotonic_now)
        return monotonic_now + self._suspended_seconds

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline.

        Timers of the operating system do not advance during a suspension, so a timer that was set
        before the suspension fires late by up to the length of the suspension. Other timers of the
        process wake it earlier, and all deadlines are checked then.
        """
        return deadline - self.current_time()


class PauseWatch:
    """Counts pauses of this process."""

    # Number of pauses since the start.
    pauses: int
    # Length of the last pause, 0 if there was none.
    last_pause_seconds: float

    def __init__(self, limit_seconds: float = MIN_PAUSE_SECONDS) -> None:
        self.pauses = 0
        self.last_pause_seconds = 0.0
        self._limit = limit_seconds
        self._last_tick = monotonic()

    def check(self) -> int:
        """Check for a pause now and return the number of pauses so far.

        This is also called right before an order is sent: after a pause, the task that checks
        periodically may not be the first to run.
        """
        now = monotonic()
        gap = now - self._last_tick
        self._last_tick = now
        if gap > self._limit:
            self.pauses += 1
            self.last_pause_seconds = gap
        return self.pauses

    async def run(self) -> None:
        """Check for pauses every TICK_SECONDS, without end."""
        while True:
            self.check()
            await trio.sleep(TICK_SECONDS)
