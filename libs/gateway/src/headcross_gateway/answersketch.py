"""Approximates, in constant memory, when requests with a trait were last answered.

Callers choose the parts of their prompts, so a table of them could be filled with invented ones
until it has no room for others. The sketch has no entries to evict: each trait has one cell in
each row, which keeps the latest time of all traits that share the cell. The earliest time in a
trait's cells is that of its own last answer, or later if others were answered in all of them.
"""

import struct
from array import array
from typing import Final

from headcross_gateway.sharedtraits import SharedTrait

NEVER: Final = float("-inf")
ROWS: Final = 4
COLUMNS: Final = 1 << 16
_INDICES: Final = struct.Struct(f"<{ROWS}H")  # a digest holds one index for each row


class AnswerSketch:
    """The times of the last answers, in seconds on one monotonic clock.

    >>> from headcross_gateway.sharedtraits import TraitKind
    >>> sketch, trait = AnswerSketch(), SharedTrait(TraitKind.PART, b"8 bytes.")
    >>> sketch.answered_at(trait)
    -inf
    >>> sketch.note(trait, 5.0)
    >>> sketch.note(trait, 3.0)
    >>> sketch.answered_at(trait)
    5.0
    """

    def __init__(self) -> None:
        self._rows: list[array[float]] | None = None

    def note(self, trait: SharedTrait, at: float) -> None:
        """Record an answer to a request with a trait."""
        if self._rows is None:
            self._rows = [array("d", [NEVER]) * COLUMNS for _ in range(ROWS)]
        for row, column in zip(self._rows, _INDICES.unpack(trait.digest), strict=True):
            row[column] = max(row[column], at)

    def answered_at(self, trait: SharedTrait) -> float:
        """Return when a request with a trait was last answered, NEVER if none is known."""
        if self._rows is None:
            return NEVER
        columns = _INDICES.unpack(trait.digest)
        times: list[float] = [row[col] for row, col in zip(self._rows, columns, strict=True)]
        return min(times)
