"""Requests that were refused lately, so that a caller that comes back is known again.

A caller that returns has an id of its own and reaches another entry of its zone, but it asks for
the same: same path, same key, same prompt. Entries of a zone tell one another what they refused,
as hashes of that. Told apart by their deadlines alone, callers with a short time limit of their
own were taken for returning ones.

Only requests that say what their prompt is are remembered: others cannot be told from their like.
"""

import hashlib
from collections import OrderedDict
from typing import Final

# Callers honour up to a third of their time limit, 2 s of 6 s on the users' pages; the rest is for
# the way and a queue. One that returns later counts as fresh.
REMEMBERED_SECONDS: Final = 4.0
# An entry refuses some tens of requests a second at most, and hears of as many from each of a few
# others.
MAX_REMEMBERED: Final = 4096
HASH_BYTES: Final = 8


def fingerprint_of(host: str, target: str, key: str | None, prompt: str) -> int:
    """Return what tells a request from others: the same for each try of a caller.

    >>> first = fingerprint_of("a.example", "/x", "key", "5c:800,91:410")
    >>> first == fingerprint_of("a.example", "/x", "key", "5c:800,91:410")
    True
    >>> first == fingerprint_of("a.example", "/x", "key", "5c:800,92:410")
    False
    """
    text = "\0".join((host, target, key or "", prompt))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


class RefusedRequests:
    """The fingerprints of requests that were refused here and at other entries.

    `now` is always on one monotonic clock, in seconds.
    """

    def __init__(self) -> None:
        self._refused_at: OrderedDict[int, float] = OrderedDict()
        self._untold: list[int] = []

    def note(self, fingerprint: int, now: float) -> None:
        """Remember a request that this entry refuses."""
        self._remember(fingerprint, now)
        self._untold.append(fingerprint)

    def hear(self, fingerprints: list[int], now: float) -> None:
        """Remember requests that another entry has refused."""
        for fingerprint in fingerprints[:MAX_REMEMBERED]:
            self._remember(fingerprint, now)

    def take_untold(self) -> list[int]:
        """Return what was refused here since the last call, for the other entries."""
        untold, self._untold = self._untold, []
        return untold

    def returns(self, fingerprint: int, now: float) -> bool:
        """Tell whether a request was refused lately."""
        return now - self._refused_at.get(fingerprint, float("-inf")) < REMEMBERED_SECONDS

    def _remember(self, fingerprint: int, now: float) -> None:
        self._refused_at[fingerprint] = now
        self._refused_at.move_to_end(fingerprint)
        while len(self._refused_at) > MAX_REMEMBERED:
            self._refused_at.popitem(last=False)
