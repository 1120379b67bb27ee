"""Identifies a request independently of who sends it again and at which entry.

Each try of a caller has its own request id. Two tries are the same request if they have the same
method, host, path with query, key and body. Headers that describe the prompt are not part of the
identity.
"""

import hashlib
from dataclasses import dataclass
from typing import Final

from headcross_wire.httprequest import Request

PART_BYTES: Final = 8
IDENTITY_BYTES: Final = 3 * PART_BYTES


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Digests of a request's group and scope, which are cheap to compute, and of its body.

    >>> RequestIdentity.from_bytes(bytes(24)).to_bytes() == bytes(24)
    True
    """

    group: bytes  # of team and route
    scope: bytes  # of method, host, path with query, and key
    body: bytes

    def to_bytes(self) -> bytes:
        """Return the encoding that is sent to other entries."""
        return self.group + self.scope + self.body

    @classmethod
    def from_bytes(cls, data: bytes) -> "RequestIdentity":
        """Decode an identity; raises ValueError if `data` is not IDENTITY_BYTES long."""
        if len(data) != IDENTITY_BYTES:
            raise ValueError(f"request identity has {len(data)} bytes, expected {IDENTITY_BYTES}")
        group_end, scope_end = PART_BYTES, 2 * PART_BYTES
        return cls(data[:group_end], data[group_end:scope_end], data[scope_end:])

    def __str__(self) -> str:
        return self.to_bytes().hex()


def scope_of(request: Request, key: str | None) -> bytes:
    """Return the digest of a request's method, host, path with query, and key."""
    host = request.header("host") or ""
    parts = (request.method, host, request.target, "" if key is None else f"key {key}")
    return _digest("\0".join(parts).encode())


def group_of(team: str | None, route: str) -> bytes:
    """Return the digest of a team, None if there is none, and a route."""
    return _digest("\0".join((route, "" if team is None else f"team {team}")).encode())


def identity_of(request: Request, key: str | None, group: bytes) -> RequestIdentity:
    """Return the identity of a request: the same for each try, whatever its request id.

    >>> first = Request("POST", "/x", [("host", "a.example"), ("id", "1")], b"body")
    >>> again = Request("POST", "/x", [("host", "a.example"), ("id", "2")], b"body")
    >>> other = Request("POST", "/x", [("host", "a.example"), ("id", "3")], b"another body")
    >>> group = group_of("team", "route")
    >>> identity_of(first, "k", group) == identity_of(again, "k", group)
    True
    >>> identity_of(first, "k", group) == identity_of(other, "k", group)
    False
    """
    return RequestIdentity(group, scope_of(request, key), _digest(request.body))


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=PART_BYTES).digest()
