"""Identifies what different requests to a service share: their caller and parts of their prompts.

A trait is a digest, so that what callers state has a bounded size in memory and in messages. The
same part at another service is another trait, because other software runs there.
"""

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import Final

DIGEST_BYTES: Final = 8
TRAIT_BYTES: Final = 1 + DIGEST_BYTES
# The number of parts of a prompt that are considered.
MAX_PARTS: Final = 64


class TraitKind(Enum):
    """What a trait is a digest of."""

    PART = "part"  # of a prompt
    CALLER = "caller"  # a team on a route


_CODES: Final = {TraitKind.PART: b"p", TraitKind.CALLER: b"c"}
_KINDS: Final = {code: kind for kind, code in _CODES.items()}


@dataclass(frozen=True, slots=True)
class SharedTrait:
    """Something that different requests to a service may have in common.

    >>> SharedTrait(TraitKind.PART, bytes(8)).to_bytes()
    b'p\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00'
    >>> str(SharedTrait(TraitKind.PART, bytes(8)))
    'part-0000000000000000'
    """

    kind: TraitKind
    digest: bytes

    def to_bytes(self) -> bytes:
        """Return the encoding that is sent to other entries."""
        return _CODES[self.kind] + self.digest

    @classmethod
    def from_bytes(cls, data: bytes) -> "SharedTrait":
        """Decode a trait; raises ValueError if it is not one of TRAIT_BYTES."""
        kind = _KINDS.get(data[:1])
        if kind is None or len(data) != TRAIT_BYTES:
            raise ValueError(f"not an encoded trait: {data[:TRAIT_BYTES].hex()}")
        return cls(kind, data[1:])

    def __str__(self) -> str:
        return f"{self.kind.value}-{self.digest.hex()}"


def part_traits(service: str, prompt_parts: tuple[str, ...]) -> dict[SharedTrait, str]:
    """Return the traits of the parts that a prompt may share with others, with the parts' ids.

    The last part is the request's own and left out.

    >>> list(part_traits("lm", ("a", "b", "c")).values())
    ['a', 'b']
    """
    shared = prompt_parts[:-1][:MAX_PARTS]
    return {_part_trait(service, part): part for part in shared}


def _part_trait(service: str, part: str) -> SharedTrait:
    digest = hashlib.blake2b(f"{service}\0{part}".encode(), digest_size=DIGEST_BYTES).digest()
    return SharedTrait(TraitKind.PART, digest)
