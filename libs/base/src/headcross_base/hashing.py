"""Digests and rendezvous hashing.

A digest is the SHA-256 of some bytes in lower-case hexadecimal. With rendezvous hashing (highest
random weight) all processes compute the same order of the same hosts for a key, without
communication. When a host is added or removed, only the keys of that host move.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

DIGEST_LENGTH: Final = 64  # SHA-256 in hexadecimal


def digest_of(data: bytes | memoryview) -> str:
    """Return the SHA-256 of `data` in lower-case hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def is_digest(text: str) -> bool:
    """Return whether `text` has the form of a digest.

    >>> is_digest(digest_of(b"")), is_digest("ABC")
    (True, False)
    """
    return len(text) == DIGEST_LENGTH and all(c in "0123456789abcdef" for c in text)


def rendezvous_weight(key: str, member: str) -> int:
    """Return the 64-bit weight of `member` for `key`."""
    raw = hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(raw, "big")


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` in descending order of weight for `key`, the same in every process.

    >>> order = rendezvous_order("k", ["a", "b", "c"])
    >>> [m for m in order if m != "b"] == rendezvous_order("k", ["a", "c"])
    True
    """
    return sorted(members, key=lambda member: (-rendezvous_weight(key, member), member))


def rendezvous_first(key: str, members: Iterable[str]) -> str | None:
    """Return the first of `rendezvous_order` without sorting; None if there are no members.

    >>> rendezvous_first("k", "abc") == rendezvous_order("k", "abc")[0]
    True
    """
    return min(members, key=lambda member: (-rendezvous_weight(key, member), member), default=None)
