"""Delays the requests of an entry that may have missed news of losses.

An entry that has just started, or whose process was paused, does not know what the others learned
meanwhile: it would send a replica what is known to crash replicas. It asks other entries for all
they know, and holds its requests until one has answered, or for a limited time.
"""

import logging
from collections.abc import Callable
from typing import Final

import trio
from headcross_base.clocks import PauseWatch

# The longest delay. The first message to a peer only opens the link.
MAX_DELAY_SECONDS: Final = 0.5
ASK_INTERVAL_SECONDS: Final = 0.1

logger = logging.getLogger(__name__)


class LossCatchUp:
    """Whether one entry may have missed news, and its questions to the others."""

    def __init__(self, pauses: PauseWatch, ask: Callable[[int], bool]) -> None:
        """Begin behind the others.

        `ask` asks other entries a question with a number, and returns whether any is known.
        """
        self._pauses = pauses
        self._handled_pauses = pauses.pauses
        self._ask = ask
        self._question = 0  # answers to earlier ones may still arrive
        self._asked = trio.Event()
        self._answered = trio.Event()
        self._begin()

    def is_behind(self) -> bool:
        """Return whether requests have to wait; a pause of the process is noticed here first."""
        if self._pauses.check() != self._handled_pauses:
            self._handled_pauses = self._pauses.pauses
            self._begin()
        return not self._answered.is_set()

    async def wait(self) -> None:
        """Wait until another entry has answered, or for MAX_DELAY_SECONDS."""
        with trio.move_on_after(MAX_DELAY_SECONDS):
            await self._answered.wait()

    def note_answer(self, question: int) -> None:
        """Record that another entry has sent what it knew when it was asked."""
        if question == self._question:
            self._answered.set()

    async def run(self) -> None:
        """Ask other entries whenever this one is behind; never returns."""
        while True:
            await self._asked.wait()
            self._asked = trio.Event()
            answered, began_at = self._answered, trio.current_time()
            with trio.move_on_after(MAX_DELAY_SECONDS):
                while self._ask(self._question) and not answered.is_set():
                    with trio.move_on_after(ASK_INTERVAL_SECONDS):
                        await answered.wait()
            seconds = round(trio.current_time() - began_at, 3)
            fields = {"answered": answered.is_set(), "seconds": seconds}
            logger.info("losses of other entries requested", extra=fields)
            answered.set()

    def _begin(self) -> None:
        self._question += 1
        self._answered = trio.Event()
        self._asked.set()
