"""Clocks, and the watch that tells a process it was paused.

Ages are measured on the monotonic clock of one process and never compared between hosts. A
process that was stopped (SIGSTOP, a frozen machine) wakes up believing old facts; `PauseWatch`
ticks and reports a gap between two ticks that is longer than ticking explains.
"""

import time
from collections.abc import Callable
from typing import Final

import trio
import trio.abc

TICK_SECONDS: Final = 0.5
# How often the steady clock is compared with the one that counts suspensions. Trio asks for the
# time thousands of times a second, and the latter may cost a system call.
COMPARED_SECONDS: Final = 0.01
# A gap this long means that the process did not run; a busy loop stays well under it.
PAUSE_SECONDS: Final = 1.5


def monotonic() -> float:
    """Return seconds on this process's monotonic clock.

    CLOCK_BOOTTIME counts a suspended machine too, which CLOCK_MONOTONIC does not.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_ms() -> int:
    """Return whole milliseconds on the same clock."""
    return int(monotonic() * 1000)


class SuspensionClock(trio.abc.Clock):
    """Trio's clock for a process whose machine may be suspended.

    trio's own one stands still meanwhile: the deadline of a request, the age of a refusal or the
    time for which a connection was idle would be as if no time had passed.
    """

    def __init__(
        self,
        steady: Callable[[], float] = time.monotonic,
        counting: Callable[[], float] = monotonic,
    ) -> None:
        """`steady` stands still during a suspension and is cheap to read; `counting` goes on."""
        self._steady = steady
        self._counting = counting
        counted = counting()
        self._compared_at = steady()
        self._ahead = counted - self._compared_at

    def start_clock(self) -> None:
        """Do nothing; the clock always runs."""

    def current_time(self) -> float:
        """Return seconds, those of a suspension among them 0.01 s after its end at the latest."""
        steady = self._steady()
        if steady - self._compared_at >= COMPARED_SECONDS:
            self._compared_at = steady
            # The steady one is read last: a pause of the process in between must not count.
            counting = self._counting()
            steady = self._steady()
            self._ahead = max(self._ahead, counting - steady)
        return steady + self._ahead

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline.

        The system's own timers stand still during a suspension, so one that is set before it fires
        late by up to that. Other timers of the process wake it earlier, and all deadlines are
        looked at then.
        """
        return deadline - self.current_time()


class PauseWatch:
    """Counts pauses of this process."""

    # How many pauses were seen since the start.
    pauses: int
    # The length of the last pause in seconds, 0 if there was none.
    last_pause_seconds: float

    def __init__(self, limit_seconds: float = PAUSE_SECONDS) -> None:
        self.pauses = 0
        self.last_pause_seconds = 0.0
        self._limit = limit_seconds
        self._last_tick = monotonic()

    def check(self) -> int:
        """Look at the clock now and return the number of pauses so far.

        Called right before an order too, since after a wake-up the ticking task may not be the
        first to run.
        """
        now = monotonic()
        gap = now - self._last_tick
        self._last_tick = now
        if gap > self._limit:
            self.pauses += 1
            self.last_pause_seconds = gap
        return self.pauses

    async def run(self) -> None:
        """Tick for ever."""
        while True:
            self.check()
            await trio.sleep(TICK_SECONDS)
