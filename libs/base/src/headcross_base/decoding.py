"""Decoders of bytes from outside: each returns a value of its type, or a failure.

All JSON, MessagePack and TOML that a process receives is decoded here, so that no input raises an
exception in the task that handles it, or keeps it busy for long. A decoder bounds the size of its
input and the depth of what it decodes.

JSON that is nested too deeply for the interpreter can only stand in a field that this release does
not read. It is replaced by null, so that it costs no other field, unless there is too much of it.

Types that are decoded from JSON bound their whole numbers by `Int64`, `Count` or `PositiveCount`,
since a larger number could not be sent to a peer. Those decoded from MessagePack bound their
floats by `Real`, since nothing can be compared with NaN. Numbers in headers are read by
`parse_whole_number` and `parse_decimal`.
"""

import math
import re
import tomllib
from typing import Annotated, Any, Final, Generic, TypeVar

import msgspec

from headcross_base.errorcodes import MALFORMED, ErrorCode
from headcross_base.errors import Failure, Ok

T = TypeVar("T")

MAX_INT64: Final = 2**63 - 1
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=MAX_INT64)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_INT64)]
Real = Annotated[float, msgspec.Meta(ge=-1e300)]

# Levels of arrays and objects that are kept where JSON is nested too deeply; no type that is
# decoded has more.
MAX_DEPTH: Final = 16
# JSON that is nested too deeply is rejected if it has more strings and brackets.
MAX_PRUNED_TOKENS: Final = 50_000
# The longest whole number in a header; any number of so many digits fits into 64 bits.
MAX_DIGITS: Final = 18

# A string, or the rest of the input if the string does not end, or a bracket. Possessive, so that
# no input is searched more than once.
_TOKEN: Final = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?|[\[\]{}]', re.DOTALL)
_DECIMAL: Final = re.compile(r"[0-9]+(\.[0-9]+)?")
_OPENING: Final = b"[{"
_STRING_START: Final = b'"'

# All decoders of the process, in the order of their creation.
DECODERS: Final[list["JsonDecoder[Any] | MessagePackDecoder[Any]"]] = []


class JsonDecoder(Generic[T]):
    """Decodes JSON into one type."""

    def __init__(self, kind: type[T], max_bytes: int, reason: ErrorCode = MALFORMED) -> None:
        """Decode `kind` from up to `max_bytes`; failures are of the kind `reason`."""
        self.kind = kind
        self.max_bytes = max_bytes
        self._reason = reason
        self._decoder: msgspec.json.Decoder[T] = msgspec.json.Decoder(kind)
        DECODERS.append(self)

    def decode(self, data: bytes | msgspec.Raw) -> Ok[T] | Failure:
        """Decode a document."""
        if len(memoryview(data)) > self.max_bytes:
            return Failure(self._reason, f"over {self.max_bytes} bytes")
        try:
            return Ok(self._decoder.decode(data))
        except RecursionError:
            return self._decode_without_deep_values(bytes(data))
        except (msgspec.MsgspecError, ValueError) as error:
            return Failure(self._reason, str(error))

    def _decode_without_deep_values(self, data: bytes) -> Ok[T] | Failure:
        if sum(map(data.count, (b"[", b"]", b"{", b"}", _STRING_START))) > MAX_PRUNED_TOKENS:
            return Failure(self._reason, "nested too deeply")
        try:
            return Ok(self._decoder.decode(replace_deep_values(data)))
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return Failure(self._reason, f"nested too deeply: {error}")


class MessagePackDecoder(Generic[T]):
    """Decodes MessagePack into one type; its whole numbers have at most 64 bits by nature."""

    def __init__(
        self,
        kind: Any,  # noqa: ANN401  # a type or a union of types
        max_bytes: int,
        reason: ErrorCode = MALFORMED,
    ) -> None:
        """Decode `kind` from up to `max_bytes`; failures are of the kind `reason`."""
        self.kind = kind
        self.max_bytes = max_bytes
        self._reason = reason
        self._decoder: msgspec.msgpack.Decoder[T] = msgspec.msgpack.Decoder(kind)
        DECODERS.append(self)

    def decode(self, data: bytes) -> Ok[T] | Failure:
        """Decode a message."""
        if len(data) > self.max_bytes:
            return Failure(self._reason, f"over {self.max_bytes} bytes")
        try:
            return Ok(self._decoder.decode(data))
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return Failure(self._reason, str(error))


def decode_toml(data: bytes, max_bytes: int) -> Ok[dict[str, Any]] | Failure:
    """Decode a TOML document of up to `max_bytes`.

    >>> decode_toml(b"a = 1", 10)
    Ok(value={'a': 1})
    >>> decode_toml(b"a = ", 10).detail
    'Invalid value (at end of document)'
    """
    if len(data) > max_bytes:
        return Failure(MALFORMED, f"{len(data)} bytes, at most {max_bytes}")
    try:
        return Ok(tomllib.loads(data.decode("utf-8")))
    except (ValueError, RecursionError) as error:
        return Failure(MALFORMED, str(error))


def replace_deep_values(data: bytes) -> bytes:
    """Replace by null each array or object in JSON that stands below `MAX_DEPTH` others.

    What is not JSON before is not JSON afterwards.

    >>> replace_deep_values(b'{"a": "[", "b": [1]}')
    b'{"a": "[", "b": [1]}'
    >>> replace_deep_values(b'{"a": ' + b"[" * 16 + b"]" * 16 + b', "b": 2}')
    b'{"a": [[[[[[[[[[[[[[[null]]]]]]]]]]]]]]], "b": 2}'
    """
    kept: list[bytes] = []
    depth = 0
    kept_until = 0
    for token in _TOKEN.finditer(data):
        text = token.group()
        if text.startswith(_STRING_START):
            continue
        if text in _OPENING:
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept += (data[kept_until : token.start()], b"null")
                kept_until = len(data)
        else:
            if depth == MAX_DEPTH + 1:
                kept_until = token.end()
            depth -= 1
    kept.append(data[kept_until:])
    return b"".join(kept)


def parse_whole_number(text: str) -> int | None:
    """Return the number that up to `MAX_DIGITS` decimal digits stand for, else None.

    >>> parse_whole_number("042"), parse_whole_number("-1"), parse_whole_number("")
    (42, None, None)
    >>> parse_whole_number("9" * 19) is None
    True
    """
    if len(text) > MAX_DIGITS or not text.isascii() or not text.isdecimal():
        return None
    return int(text)


def parse_decimal(text: str) -> float | None:
    """Return the number that decimal digits with an optional fraction stand for, else None.

    >>> parse_decimal("1.5"), parse_decimal("-1"), parse_decimal("nan"), parse_decimal("9" * 400)
    (1.5, None, None, None)
    """
    if not _DECIMAL.fullmatch(text):
        return None
    number = float(text)
    return number if math.isfinite(number) else None
