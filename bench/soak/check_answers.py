"""Checks the promises on single requests, which hold at all times and under any fault."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from bench.soak.check_violations import Promise, Violation
from bench.soak.record import CallerRequest, Record, ReplicaRun, RequestKind

AT_MOST_ONCE_KINDS: Final = frozenset({RequestKind.ONCE, RequestKind.STRICT_STREAM})
STREAM_KINDS: Final = frozenset({RequestKind.STREAM, RequestKind.STRICT_STREAM})
# With these statuses the system itself guarantees that the request has not run and never will
# (REFUSED in the users' rules).
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


def is_success(request: CallerRequest) -> bool:
    """Return whether the status of an answer is a success."""
    return 200 <= request.status < 300


def is_served(request: CallerRequest) -> bool:
    """Return whether a request got a complete success."""
    return is_success(request) and request.whole


def is_refused(request: CallerRequest) -> bool:
    """Return whether the system, not a replica, answered that the request has not run."""
    return request.status in NOT_RUN_STATUSES and not request.sealed


def check_complete_answers(record: Record) -> list[Violation]:
    """Find successes that differ from what a replica answered to the request."""
    return [
        Violation(Promise.COMPLETE_ANSWERS, _answered_at(request), request.id, fault)
        for request in record.requests.values()
        if is_success(request)
        for fault in _answer_faults(request)
    ]


def check_at_most_once(record: Record) -> list[Violation]:
    """Find requests that ran more than once though at most one run is allowed."""
    return [
        Violation(
            Promise.AT_MOST_ONCE, runs[1].began_at, request.id, f"runs: {_format_runs(runs)}"
        )
        for request, runs in _requests_with_runs(record)
        if request.kind in AT_MOST_ONCE_KINDS and len(runs) > 1
    ]


def check_refused_not_run(record: Record) -> list[Violation]:
    """Find requests that ran, before or after their callers were told that they had not.

    Requests that may run more than once are not judged, since a run does no harm.
    """
    return [
        Violation(
            Promise.REFUSED_NOT_RUN,
            runs[0].began_at,
            request.id,
            f"status {request.status} at {_answered_at(request):.3f}, runs: {_format_runs(runs)}",
        )
        for request, runs in _requests_with_runs(record)
        if request.kind in AT_MOST_ONCE_KINDS and is_refused(request)
    ]


def check_one_version(record: Record) -> list[Violation]:
    """Find complete streams that more than one version of the weights produced."""
    return [
        Violation(
            Promise.ONE_VERSION, _answered_at(request), request.id, f"runs: {_format_runs(runs)}"
        )
        for request, runs in _requests_with_runs(record)
        if request.kind in STREAM_KINDS
        and is_served(request)
        and len(_versions_of_answer(request, runs)) > 1
    ]


def _answer_faults(request: CallerRequest) -> Iterator[str]:
    """Yield the faults of a successful answer."""
    if not request.sealed:
        yield f"status {request.status} without a seal"
    elif request.whole and not request.own:
        yield "a whole answer that is not the request's own"
    if request.kind in STREAM_KINDS:
        yield from _stream_faults(request)


def _stream_faults(request: CallerRequest) -> Iterator[str]:
    """Yield the faults in the events of a stream; a truncated stream must be a valid prefix."""
    events = request.events
    if events != list(range(len(events))):
        yield f"events with a gap, a double or in disorder: {events}"
        return
    if not request.whole:
        return
    if not events:
        yield "a whole stream without any event"
    elif request.event_count is not None and len(events) != request.event_count:
        yield f"a whole stream of {len(events)} events that should be {request.event_count}"


def _versions_of_answer(request: CallerRequest, runs: list[ReplicaRun]) -> set[int]:
    """Return the versions of the weights that produced an answer.

    The events name these versions; a run whose link broke before its first event contributes none.
    If no event names a version, the versions of all runs are returned.
    """
    return set(request.event_versions) or {run.version for run in runs}


def _requests_with_runs(record: Record) -> Iterator[tuple[CallerRequest, list[ReplicaRun]]]:
    """Yield the requests that ran, each with its runs in order of their start."""
    runs: defaultdict[str, list[ReplicaRun]] = defaultdict(list)
    for run in sorted(record.runs, key=lambda run: run.began_at):
        runs[run.request_id].append(run)
    for request in record.requests.values():
        if request.id in runs:
            yield request, runs[request.id]


def _answered_at(request: CallerRequest) -> float:
    return request.sent_at if request.ended_at is None else request.ended_at


def _format_runs(runs: list[ReplicaRun]) -> str:
    return ", ".join(f"{run.replica_id} v{run.version} at {run.began_at:.3f}" for run in runs)
