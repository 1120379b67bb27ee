"""Runs background tasks so that none of them ends the process by an exception nobody expected.

A process that ends loses every request under way and all that it knows, and reads the same input
again after its start. So a background task that fails is logged with its stack and run again after
a pause, with the state that it has: what is kept for safety, such as an order in doubt, is kept.

A process does end if it cannot listen, at its start or later, since nothing reaches it then; and
where the interpreter cannot go on.
"""

import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final

import trio

FIRST_RETRY_SECONDS: Final = 0.1
MAX_RETRY_SECONDS: Final = 5.0
# A task that has run for longer is run again after the first pause.
STEADY_SECONDS: Final = 10.0

# Number of failures by task, since the start of the process.
task_failures: Final[Counter[str]] = Counter()

logger = logging.getLogger(__name__)


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; run it again after each unexpected exception."""
    pause = FIRST_RETRY_SECONDS
    began = trio.current_time()
    while not await run_guarded(name, run):
        if trio.current_time() - began > STEADY_SECONDS:
            pause = FIRST_RETRY_SECONDS
        await trio.sleep(pause)
        pause = min(MAX_RETRY_SECONDS, 2 * pause)
        began = trio.current_time()


async def run_guarded(name: str, run: Callable[[], Awaitable[None]]) -> bool:
    """Run a task once; log an unexpected exception. Return whether the task returned."""
    try:
        await run()
    except* Exception:
        note_failure(name)
    else:
        return True
    return False


def note_failure(name: str) -> None:
    """Count and log the exception that is being handled as a failure of a task."""
    task_failures[name] += 1
    logger.exception("task failed", extra={"task": name, "failures": task_failures[name]})
