"""The interface to a platform's headers of requests and answers.

Header names and formats differ between platforms. A dialect parses them into the types below and
writes them.
"""

from dataclasses import dataclass
from typing import Protocol

from headcross_wire.httpcodec import Headers


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the headers of a caller's request state."""

    id: str
    deadline_seconds: float | None  # remaining time that the caller waits
    key: str | None
    resume_after: str | None  # id of the last event received, if a stream is resumed
    model: str | None
    # Hashes and sizes of the prompt's parts, the same for each try; None without a prompt.
    prompt: str | None = None
    # Ids of the prompt's parts in order, in a form that is the same for each spelling of an id.
    # Requests may share all parts but the last, which is the request's or its session's own.
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestProblem:
    """Why a request with these headers is refused."""

    detail: str


@dataclass(frozen=True, slots=True)
class HandOver:
    """What an attempt adds to the caller's headers for the replica."""

    replica: str  # id of the replica; any other must not run the request
    remaining_seconds: float
    team: str | None
    priority: int | None
    weights_version: int | None  # a replica with another version must not run the request
    resume_after: str | None


@dataclass(frozen=True, slots=True)
class Unreadable:
    """The text of a header with an invalid value."""

    text: str


@dataclass(frozen=True, slots=True)
class BackpressureSignals:
    """Limits that a replica sets for its callers in the headers of an answer."""

    # Requests per second that it accepts from all entries together; None if it names no limit.
    limit: float | Unreadable | None = None
    leaving: bool | Unreadable = False  # it accepts no new requests
    # Time for which this process must send it no requests (a rest); None if it asks for none.
    rest_seconds: float | Unreadable | None = None


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the status and headers of a replica's answer state."""

    id: str | None  # of the request that it answers
    sealed: bool  # it has the replica's signature
    not_run: bool  # the replica states that it did not run the request
    elsewhere: bool  # the address now has another replica, or a replica with other weights
    encoded: bool  # the body has a content encoding
    weights_version: int | None
    signals: BackpressureSignals


class RequestDialect(Protocol):
    """Parses and writes the headers of requests and answers."""

    def read_request(self, headers: Headers) -> RequestFacts | RequestProblem:
        """Parse a caller's headers."""

    def upstream_headers(self, headers: Headers, hand_over: HandOver) -> Headers:
        """Return the headers of an attempt: the caller's and those of the hand-over."""

    def immediate_target(self) -> str:
        """Return the target of a GET that a replica answers at once under any load."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Parse the status and headers of a replica's answer."""

    def own_answer_headers(self, request_id: str | None, retry_after: float | None) -> Headers:
        """Return the headers of an answer of headcross itself; `retry_after` is in seconds."""
