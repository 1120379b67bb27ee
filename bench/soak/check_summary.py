"""Summarizes a soak: violations by promise, and requests by kind and outcome."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from bench.soak.check_answers import is_refused, is_served, is_success
from bench.soak.check_violations import Promise, Violation
from bench.soak.record import CallerRequest, Record, RequestKind


class Outcome(Enum):
    """How a request ended from its caller's point of view."""

    SERVED = "served"  # a complete success
    CUT = "cut"  # a success whose answer is incomplete
    REFUSED = "refused"  # answered by the system itself: the request has not run
    FAILED = "failed"  # any other answer
    NO_ANSWER = "no answer"
    LEFT = "left"  # the caller closed the connection before the end
    UNDER_WAY = "under way"  # still running when the soak ended


@dataclass(frozen=True, slots=True)
class PromiseCount:
    """The number of violations of one promise."""

    promise: Promise
    violations: int


@dataclass(frozen=True, slots=True)
class OutcomeCount:
    """The number of requests of one kind with one outcome."""

    kind: RequestKind
    outcome: Outcome
    requests: int


@dataclass(frozen=True, slots=True)
class Summary:
    """The counts of a soak: every promise, and the outcomes that occurred."""

    promises: tuple[PromiseCount, ...]
    outcomes: tuple[OutcomeCount, ...]


def summarize(record: Record, violations: Iterable[Violation]) -> Summary:
    """Count violations by promise and requests by kind and outcome."""
    violation_counts = Counter(violation.promise for violation in violations)
    outcome_counts = Counter(
        (request.kind, outcome_of(request)) for request in record.requests.values()
    )
    return Summary(
        promises=tuple(PromiseCount(promise, violation_counts[promise]) for promise in Promise),
        outcomes=tuple(
            OutcomeCount(kind, outcome, outcome_counts[kind, outcome])
            for kind in RequestKind
            for outcome in Outcome
            if outcome_counts[kind, outcome]
        ),
    )


def outcome_of(request: CallerRequest) -> Outcome:
    """Classify how a request ended."""
    if request.caller_left:
        return Outcome.LEFT
    if request.ended_at is None:
        return Outcome.UNDER_WAY
    if request.status == 0:
        return Outcome.NO_ANSWER
    if is_served(request):
        return Outcome.SERVED
    if is_success(request):
        return Outcome.CUT
    return Outcome.REFUSED if is_refused(request) else Outcome.FAILED
