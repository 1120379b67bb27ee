"""Keeps signals that arrive while a process starts, until they can be handled."""

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
        for number in numbers:
            signal.signal(number, self._record)

    def _record(self, number: int, frame: FrameType | None) -> None:
        self.received.append(number)
