"""Remembers refused requests, so that a caller that retries is recognized.

A retry has its own request id and may reach another entry of the zone, but it has the same path,
key and prompt. Entries of a zone send one another hashes of the requests that they refused.
Deadlines alone do not identify retries: callers with a short time limit of their own were mistaken
for callers that retry.

Only requests that describe their prompt are remembered: others cannot be distinguished from
similar requests.
"""

import hashlib
from collections import OrderedDict
from typing import Final

# Callers wait for up to a third of their time limit before they retry, 2 s of 6 s as documented;
# the remaining time allows for transport and a queue. A later request counts as a first try.
REFUSAL_RETENTION_SECONDS: Final = 4.0
# An entry refuses some tens of requests per second at most, and receives as many from each of a
# few others.
MAX_FINGERPRINTS: Final = 4096
HASH_BYTES: Final = 8


def fingerprint_of(host: str, target: str, key: str | None, prompt: str) -> int:
    """Return a hash of a request that is the same for each try of a caller.

    >>> first = fingerprint_of("a.example", "/x", "key", "5c:800,91:410")
    >>> first == fingerprint_of("a.example", "/x", "key", "5c:800,91:410")
    True
    >>> first == fingerprint_of("a.example", "/x", "key", "5c:800,92:410")
    False
    """
    text = "\0".join((host, target, key or "", prompt))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


class RefusedRequests:
    """The fingerprints of requests that were refused at this and at other entries.

    `now` is always on one monotonic clock, in seconds.
    """

    def __init__(self) -> None:
        self._refused_at: OrderedDict[int, float] = OrderedDict()
        self._pending: list[int] = []

    def note(self, fingerprint: int, now: float) -> None:
        """Store a request that this entry refuses."""
        self._remember(fingerprint, now)
        self._pending.append(fingerprint)

    def receive(self, fingerprints: list[int], now: float) -> None:
        """Store requests that another entry has refused."""
        for fingerprint in fingerprints[:MAX_FINGERPRINTS]:
            self._remember(fingerprint, now)

    def take_pending(self) -> list[int]:
        """Return what this entry refused since the last call, to be sent to other entries."""
        pending, self._pending = self._pending, []
        return pending

    def was_refused(self, fingerprint: int, now: float) -> bool:
        """Return whether a request was refused within REFUSAL_RETENTION_SECONDS."""
        return now - self._refused_at.get(fingerprint, float("-inf")) < REFUSAL_RETENTION_SECONDS

    def _remember(self, fingerprint: int, now: float) -> None:
        self._refused_at[fingerprint] = now
        self._refused_at.move_to_end(fingerprint)
        while len(self._refused_at) > MAX_FINGERPRINTS:
            self._refused_at.popitem(last=False)
