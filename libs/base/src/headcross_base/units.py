"""Units of sizes and rates, and their formatting.

Sizes are whole bytes, times are seconds as floats, rates are bytes per second. Names contain the
unit (`memory_bytes`, `wait_seconds`); the constants here keep large numbers readable.
"""

from typing import Final

KIB: Final = 1024
MIB: Final = 1024 * KIB
GIB: Final = 1024 * MIB
# Settings give memory in megabytes and link rates in megabits per second, both decimal.
MEGABYTE: Final = 1_000_000
BITS_PER_BYTE: Final = 8


def format_bytes(count: float) -> str:
    """Return a size for display, in the largest unit in which it is at least 1.

    >>> format_bytes(1536)
    '1.5 KiB'
    >>> format_bytes(12)
    '12 B'
    """
    for unit, name in ((GIB, "GiB"), (MIB, "MiB"), (KIB, "KiB")):
        if count >= unit:
            return f"{count / unit:.1f} {name}"
    return f"{int(count)} B"
