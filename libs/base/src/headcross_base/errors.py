"""Result types: a function that can fail in expected ways returns `Ok` or `Failure`.

Exceptions are reserved for unexpected errors. With `match` on a result, mypy checks that both
cases are handled.
"""

from dataclasses import dataclass
from typing import Generic, TypeVar

from headcross_base.errorcodes import ErrorCode

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """The call succeeded with this value."""

    value: T


@dataclass(frozen=True, slots=True)
class Failure:
    """The call failed; `reason` is the kind of error, `detail` describes this occurrence."""

    reason: ErrorCode
    detail: str

    def __str__(self) -> str:
        return f"{self.reason.code}: {self.detail}"
