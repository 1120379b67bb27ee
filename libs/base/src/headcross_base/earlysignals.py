"""Signals that arrive outside the time in which a process handles them: as it starts and ends."""

import signal
from collections.abc import Iterable
from types import FrameType


class EarlySignals:
    """Records signals instead of taking their default action, which ends the process."""

    # The numbers of the signals received so far, in order.
    received: list[int]

    def __init__(self, numbers: Iterable[signal.Signals]) -> None:
        """Record some kinds of signals from now on; to be called in the main thread."""
        self.received = []
        self._numbers = tuple(numbers)
        for number in self._numbers:
            signal.signal(number, self._record)

    def ignore(self) -> None:
        """Ignore the signals until the process has ended.

        The interpreter resets handlers to the default action as it ends, so that a repeated stop
        request would end the process by that signal.
        """
        for number in self._numbers:
            signal.signal(number, signal.SIG_IGN)

    def _record(self, number: int, frame: FrameType | None) -> None:
        self.received.append(number)
