"""How requests and answers carry what the product needs to know.

The headers differ between platforms. A dialect reads them into the types below and writes them.
"""

from dataclasses import dataclass
from typing import Protocol

from headcross_wire.httpserver import Headers


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a caller says of its request."""

    id: str
    deadline_seconds: float | None  # how long the caller waits from now on
    key: str | None
    resume_after: str | None  # the last event the caller has, if it resumes a stream
    model: str | None
    # The hashes and sizes of its prompt's parts, None if it has none; the same for each try.
    prompt: str | None = None


@dataclass(frozen=True, slots=True)
class RequestProblem:
    """Why a caller's headers cannot be served."""

    detail: str


@dataclass(frozen=True, slots=True)
class HandOver:
    """What an attempt tells the replica beside the caller's own words."""

    replica: str  # the incarnation that is meant; any other must not run the request
    remaining_seconds: float
    team: str | None
    priority: int | None
    weights_version: int | None  # any other version must not run the request
    resume_after: str | None


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Something that a replica said and that cannot be what it means."""

    text: str


@dataclass(frozen=True, slots=True)
class BackpressureSignals:
    """What a replica asks of its callers in the head of an answer."""

    # The requests a second that it takes from all entries together; None if it names none.
    limit: float | Unreadable | None = None
    leaving: bool | Unreadable = False  # it takes nothing new any more
    # For how long it wants nothing more from this process; None if it asks for no rest.
    rest_seconds: float | Unreadable | None = None


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the headers of a replica's answer say."""

    id: str | None  # of the request it answers
    sealed: bool  # it bears the replica's signature
    not_run: bool  # the replica states that it did not run the request
    elsewhere: bool  # another replica, or other weights, are at this address
    encoded: bool  # the body is not the plain one
    weights_version: int | None
    signals: BackpressureSignals


class RequestDialect(Protocol):
    """Reads and writes the headers of requests and answers."""

    def read_request(self, headers: Headers) -> RequestFacts | RequestProblem:
        """Return what a caller's headers say."""

    def upstream_headers(self, headers: Headers, hand_over: HandOver) -> Headers:
        """Return the headers for a replica, from those of the caller."""

    def immediate_target(self) -> str:
        """Return the target of a GET that a replica answers at once, whatever it runs."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what a replica's headers say."""

    def own_answer_headers(self, request_id: str | None, retry_after: float | None) -> Headers:
        """Return the headers of an answer that the product itself gives."""
