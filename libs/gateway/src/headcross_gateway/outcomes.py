"""What is known after one attempt at one replica."""

from dataclasses import dataclass
from typing import Final

from headcross_base.errorcodes import ErrorCode
from headcross_wire.httpclient import Answer

SERVER_ERRORS: Final = range(500, 600)


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """The replica's whole answer."""

    answer: Answer
    body: bytes

    @property
    def failed(self) -> bool:
        """Whether the replica itself failed to serve the request."""
        return self.answer.status in SERVER_ERRORS


@dataclass(frozen=True, slots=True)
class Streamed:
    """The stream ended whole and was passed on."""


@dataclass(frozen=True, slots=True)
class DidNotRun:
    """The request certainly did not run there."""

    reason: ErrorCode
    detail: str
    arrived: bool  # the replica has seen the request
    elsewhere: bool = False  # another incarnation, or other weights, are at that address
    withdrawn: bool = False  # this entry took it back; that tells nothing of the replica
    unproven: bool = False  # not sent, since the link was not shown to deliver


@dataclass(frozen=True, slots=True)
class MayRun:
    """The request may have run there, or still run."""

    reason: ErrorCode
    detail: str
    silent: bool = False  # the replica gave no sign of life in time
    withdrawn: bool = False  # this entry took it back; that tells nothing of the replica
    broken: bool = False  # the connection broke, and not at this end


Outcome = CompleteAnswer | Streamed | DidNotRun | MayRun
