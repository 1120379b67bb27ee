"""Bounds the time that this process spends on decoding what one connection receives.

Buffered bytes are decoded without a wait for the network, and a peer that sends many small pieces
without end would keep the process from everything else. So each connection may decode pieces at
a rate of its own, which is far above that of any stream of events. All that exceed it share
another rate: together they take a small part of the processor's time, however many they are.
"""

from typing import Final

import trio

from headcross_wire.linkrate import LinkRate

# Pieces that a connection may decode at once, and for each second since.
BURST_PIECES: Final = 256
PIECES_PER_SECOND: Final = 200.0
# The rate at which all connections together decode pieces beyond their own rate.
SHARED_PIECES_PER_SECOND: Final = 2000.0
SHARED_BURST_PIECES: Final = 100.0

# One for the process, whose processor time it protects.
_SHARED: Final = LinkRate(SHARED_PIECES_PER_SECOND, SHARED_BURST_PIECES)


class DecodePace:
    """The pieces that one connection has decoded, and may decode now."""

    def __init__(self) -> None:
        self._allowance = float(BURST_PIECES)
        self._counted_at = trio.current_time()

    def note(self, pieces: int) -> None:
        """Record that pieces were decoded."""
        self._allowance -= pieces

    async def wait(self) -> None:
        """Wait until more pieces may be decoded, if too many were decoded lately."""
        if self._allowance >= 0:
            return
        now = trio.current_time()
        earned = (now - self._counted_at) * PIECES_PER_SECOND
        self._counted_at = now
        self._allowance = min(float(BURST_PIECES), self._allowance + earned)
        if self._allowance < 0:
            excess, self._allowance = -self._allowance, 0.0
            await _SHARED.take(round(excess))
