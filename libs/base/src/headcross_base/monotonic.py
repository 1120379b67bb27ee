"""The monotonic clock by which a process measures the ages of what it knows."""

import time


def monotonic() -> float:
    """Return seconds on this process's monotonic clock.

    The clock is CLOCK_BOOTTIME, which includes the time for which the machine was suspended;
    CLOCK_MONOTONIC does not.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
