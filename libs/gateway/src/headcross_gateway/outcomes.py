"""The possible outcomes of one attempt at one replica."""

from dataclasses import dataclass
from typing import Final

from headcross_base.errorcodes import ErrorCode
from headcross_wire.httpcodec import Answer

SERVER_ERRORS: Final = range(500, 600)


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """The replica's answer was received completely."""

    answer: Answer
    body: bytes

    @property
    def failed(self) -> bool:
        """Whether the replica answered with a server error."""
        return self.answer.status in SERVER_ERRORS

    @property
    def ends_with_connection(self) -> bool:
        """Whether neither a length nor chunks show that the body is complete."""
        return self.answer.ends_with_connection


@dataclass(frozen=True, slots=True)
class Streamed:
    """The stream was received and forwarded completely."""

    ends_with_connection: bool = False  # neither a length nor chunks show that it is complete


@dataclass(frozen=True, slots=True)
class DidNotRun:
    """The request certainly did not run at the replica."""

    reason: ErrorCode
    detail: str
    arrived: bool  # the replica received the request
    elsewhere: bool = False  # another incarnation, or other weights, are at that address
    withdrawn: bool = False  # this entry withdrew it, which says nothing about the replica
    unproven: bool = False  # not sent, because the proof of its link timed out
    refused: bool = False  # nothing listens at the replica's address


@dataclass(frozen=True, slots=True)
class MayRun:
    """The request may have run at the replica, or may still be running."""

    reason: ErrorCode
    detail: str
    silent: bool = False  # the replica sent nothing within the time limit
    withdrawn: bool = False  # this entry withdrew it, which says nothing about the replica
    broken: bool = False  # the connection broke and was not closed by this entry


Outcome = CompleteAnswer | Streamed | DidNotRun | MayRun
