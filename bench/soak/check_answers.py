"""Promises on single requests, which hold at any moment and under any fault."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from bench.soak.check_violations import Promise, Violation
from bench.soak.record import CallerRequest, Record, ReplicaRun, RequestKind

AT_MOST_ONCE_KINDS: Final = frozenset({RequestKind.ONCE, RequestKind.STRICT_STREAM})
STREAM_KINDS: Final = frozenset({RequestKind.STREAM, RequestKind.STRICT_STREAM})
# Answers of the system itself which promise that the request has not run and never will
# (REFUSED in the users' rules).
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


def is_success(request: CallerRequest) -> bool:
    """Tell whether the head of an answer tells success."""
    return 200 <= request.status < 300


def is_served(request: CallerRequest) -> bool:
    """Tell whether a request got a success that ended as it should."""
    return is_success(request) and request.whole


def is_refused(request: CallerRequest) -> bool:
    """Tell whether the system, and no replica, answered that the request has not run."""
    return request.status in NOT_RUN_STATUSES and not request.sealed


def check_whole_own(record: Record) -> list[Violation]:
    """Find successes that are not what a replica answered to this request."""
    return [
        Violation(Promise.WHOLE_OWN, _answered_at(request), request.id, fault)
        for request in record.requests.values()
        if is_success(request)
        for fault in _answer_faults(request)
    ]


def check_at_most_once(record: Record) -> list[Violation]:
    """Find requests that ran again though they may not."""
    return [
        Violation(Promise.AT_MOST_ONCE, runs[1].began_at, request.id, f"runs: {_tell(runs)}")
        for request, runs in _requests_with_runs(record)
        if request.kind in AT_MOST_ONCE_KINDS and len(runs) > 1
    ]


def check_not_run_true(record: Record) -> list[Violation]:
    """Find requests that ran, before or after their callers were told that they did not.

    Requests that may run more than once lose nothing by a run, so they are not judged.
    """
    return [
        Violation(
            Promise.NOT_RUN_TRUE,
            runs[0].began_at,
            request.id,
            f"status {request.status} at {_answered_at(request):.3f}, runs: {_tell(runs)}",
        )
        for request, runs in _requests_with_runs(record)
        if request.kind in AT_MOST_ONCE_KINDS and is_refused(request)
    ]


def check_one_version(record: Record) -> list[Violation]:
    """Find whole streams that were made from more than one version of the weights."""
    return [
        Violation(Promise.ONE_VERSION, _answered_at(request), request.id, f"runs: {_tell(runs)}")
        for request, runs in _requests_with_runs(record)
        if request.kind in STREAM_KINDS
        and is_served(request)
        and len(_versions_of_answer(request, runs)) > 1
    ]


def _answer_faults(request: CallerRequest) -> Iterator[str]:
    """Yield what is wrong with a success."""
    if not request.sealed:
        yield f"status {request.status} without a seal"
    elif request.whole and not request.own:
        yield "a whole answer that is not the request's own"
    if request.kind in STREAM_KINDS:
        yield from _stream_faults(request)


def _stream_faults(request: CallerRequest) -> Iterator[str]:
    """Yield what is wrong with the events of a stream; a cut one is a stream's beginning."""
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
    """Return the versions that an answer was made from.

    A run whose link broke before its first event has no part in the answer. Only the events can
    tell; without their word each run counts.
    """
    return set(request.event_versions) or {run.version for run in runs}


def _requests_with_runs(record: Record) -> Iterator[tuple[CallerRequest, list[ReplicaRun]]]:
    """Yield the requests that ran, each with its runs in the order of their beginnings."""
    runs: defaultdict[str, list[ReplicaRun]] = defaultdict(list)
    for run in sorted(record.runs, key=lambda run: run.began_at):
        runs[run.request_id].append(run)
    for request in record.requests.values():
        if request.id in runs:
            yield request, runs[request.id]


def _answered_at(request: CallerRequest) -> float:
    return request.sent_at if request.ended_at is None else request.ended_at


def _tell(runs: list[ReplicaRun]) -> str:
    return ", ".join(f"{run.replica_id} v{run.version} at {run.began_at:.3f}" for run in runs)
