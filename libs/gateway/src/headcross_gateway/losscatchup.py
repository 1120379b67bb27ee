"""Delays the requests of an entry that may have missed news of losses.

An entry that has just started, or whose process was paused, does not know what the others learned
meanwhile: it would send a replica what is known to crash replicas. It asks other entries for all
they know, and holds its requests until one has answered, or for a limited time.
"""

from collections.abc import Callable
from typing import Final

import trio
from headcross_base.clocks import PauseWatch

# The longest delay. The first message to a peer only opens the link.
MAX_DELAY_SECONDS: Final = 0.5
ASK_INTERVAL_SECONDS: Final = 0.1


class LossCatchUp:
    """The state of one entry's catching up."""

    def __init__(self, pauses: PauseWatch, ask: Callable[[], bool]) -> None:
        """Begin behind the others.

        `ask` asks other entries, and returns whether any other entry is known.
        """
        self._pauses = pauses
        self._handled_pauses = pauses.pauses
        self._ask = ask
        self._began = trio.Event()
        self._began.set()
        self._answered = trio.Event()
        self._is_behind = True

    def is_behind(self) -> bool:
        """Return whether requests have to wait; a pause of the process is noticed here first."""
        if self._pauses.check() != self._handled_pauses:
            self._handled_pauses = self._pauses.pauses
            self._is_behind = True
            self._answered = trio.Event()
            self._began.set()
        return self._is_behind

    async def wait(self) -> None:
        """Wait until another entry has answered, or for MAX_DELAY_SECONDS."""
        with trio.move_on_after(MAX_DELAY_SECONDS):
            await self._answered.wait()

    def note_answer(self) -> None:
        """Record that another entry has sent what it knows."""
        self._is_behind = False
        self._answered.set()

    async def run(self) -> None:
        """Ask other entries whenever this one is behind; never returns."""
        while True:
            await self._began.wait()
            self._began = trio.Event()
            with trio.move_on_after(MAX_DELAY_SECONDS):
                while self._ask() and self._is_behind:
                    with trio.move_on_after(ASK_INTERVAL_SECONDS):
                        await self._answered.wait()
            self.note_answer()
