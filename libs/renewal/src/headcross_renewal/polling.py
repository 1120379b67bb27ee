"""Polling for conditions that no single event signals."""

from collections.abc import Callable
from typing import Final

import trio

POLL_INTERVAL_SECONDS: Final = 0.05


async def poll_until(condition: Callable[[], bool]) -> None:
    """Return once `condition()` is true, checking it every `POLL_INTERVAL_SECONDS`."""
    while True:
        if condition():
            return
        await trio.sleep(POLL_INTERVAL_SECONDS)
