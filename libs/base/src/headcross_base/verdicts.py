"""Verdicts: whether a request may have run.

Every request ends with exactly one verdict. `Completed` means that the caller has the complete
answer. `NotRun` guarantees that the request was not handed to any upstream, so it may safely be
sent again. `MayHaveRun` means that this cannot be guaranteed.
Callers get the verdict in the `Headcross-Verdict` header of every error.
"""

from dataclasses import dataclass
from typing import Final

from headcross_base.errorcodes import ErrorCode

VERDICT_HEADER: Final = "Headcross-Verdict"
NOT_RUN: Final = "not-run"
MAY_HAVE_RUN: Final = "may-have-run"
COMPLETED: Final = "completed"


@dataclass(frozen=True, slots=True)
class Completed:
    """The upstream's complete answer was forwarded to the caller."""

    status: int  # the HTTP status of the upstream's answer


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not handed to any upstream."""

    reason: ErrorCode
    detail: str = ""
    retry_after_seconds: float | None = None  # when to send it again, if known


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request was, or may have been, handed to an upstream."""

    reason: ErrorCode
    detail: str = ""


Verdict = Completed | NotRun | MayHaveRun
Refusal = NotRun | MayHaveRun


def verdict_name(verdict: Verdict) -> str:
    """Return the name that a verdict has in headers, logs and metrics."""
    match verdict:
        case Completed():
            return COMPLETED
        case NotRun():
            return NOT_RUN
        case MayHaveRun():
            return MAY_HAVE_RUN
