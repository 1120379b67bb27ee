"""What tells one request from others, whoever sends it again and at whichever entry.

Each try of a caller has an id of its own. Two tries are the same request if they have the same
method, host, path with query, key and body. What a caller says of its prompt in headers is not
part of it.
"""

import hashlib
from dataclasses import dataclass
from typing import Final

from headcross_wire.httpserver import Request

PART_BYTES: Final = 8
IDENTITY_BYTES: Final = 3 * PART_BYTES


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Digests of a request: of its group and scope, which are cheap to compute, and of its body.

    >>> RequestIdentity.from_bytes(bytes(24)).to_bytes() == bytes(24)
    True
    """

    group: bytes  # of team and route
    scope: bytes  # of method, host, path with query, and key
    body: bytes

    def to_bytes(self) -> bytes:
        """Return the identity as it is sent to other entries."""
        return self.group + self.scope + self.body

    @classmethod
    def from_bytes(cls, data: bytes) -> "RequestIdentity":
        """Read an identity; raise ValueError if `data` has another length."""
        if len(data) != IDENTITY_BYTES:
            raise ValueError(f"an identity of {len(data)} bytes, expected {IDENTITY_BYTES}")
        group_end, scope_end = PART_BYTES, 2 * PART_BYTES
        return cls(data[:group_end], data[group_end:scope_end], data[scope_end:])

    def __str__(self) -> str:
        return self.to_bytes().hex()


def scope_of(request: Request, key: str | None) -> bytes:
    """Return the digest of what a request asks for and as whom, without its body."""
    host = request.header("host") or ""
    parts = (request.method, host, request.target, "" if key is None else f"key {key}")
    return _digest("\0".join(parts).encode())


def group_of(team: str | None, route: str) -> bytes:
    """Return the digest of a team and a route, whose requests are also looked at together."""
    return _digest("\0".join((route, "" if team is None else f"team {team}")).encode())


def identity_of(request: Request, key: str | None, group: bytes) -> RequestIdentity:
    """Return the identity of a request.

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
