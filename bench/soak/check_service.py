"""Checks the promises on overall service: planned stops, retries, recovery after faults."""

from bisect import bisect_left
from collections.abc import Iterator
from typing import Final

from bench.soak.check_answers import is_served
from bench.soak.check_violations import Promise, Violation
from bench.soak.record import Bounds, CallerRequest, PlannedStop, Record

# The loss of a request counts if it had used less than this share of its deadline (LOST in the
# users' rules).
DEADLINE_SHARE: Final = 0.7
# The bounds are decimal fractions, so sums in binary floating point differ from them slightly.
ROUNDING_TOLERANCE: Final = 1e-9
# Recovery is shown by this share of requests served, and judged on at least so many requests.
MIN_RECOVERY_SHARE: Final = 0.5
MIN_RECOVERY_REQUESTS: Final = 20
# Too few requests to judge recovery are a violation only if callers were observed for longer.
RECOVERY_OBSERVATION_SECONDS: Final = 5.0


def check_planned_stop(record: Record) -> list[Violation]:
    """Find requests that got no answer because of a planned stop."""
    arrived = {arrival.request_id for arrival in record.arrivals}
    return [
        Violation(
            Promise.PLANNED_STOP,
            ended_at,
            request.id,
            f"sent to {request.entry} at {request.sent_at:.3f}, no answer",
        )
        for request in record.requests.values()
        if (ended_at := request.ended_at) is not None
        and not _crossed_connection_close(record.bounds, request, ended_at, arrived)
        and _lost_without_fault(record, request, ended_at)
        and any(_is_cut_by(record, stop, request, ended_at) for stop in record.stops)
    ]


def _crossed_connection_close(
    bounds: Bounds, request: CallerRequest, ended_at: float, arrived: set[str]
) -> bool:
    """Return whether a request crossed the close of an idle connection, so nobody read it."""
    return request.id not in arrived and ended_at - request.sent_at <= bounds.loss_slack


def _lost_without_fault(record: Record, request: CallerRequest, ended_at: float) -> bool:
    if not request.written or request.status != 0 or request.caller_left:
        return False
    since = request.sent_at - record.bounds.reached
    return record.is_fault_free(frozenset({request.entry}), since, ended_at)


def _is_cut_by(record: Record, stop: PlannedStop, request: CallerRequest, ended_at: float) -> bool:
    process_ended_at = record.ended_at if stop.ended_at is None else stop.ended_at
    if stop.entry != request.entry or request.sent_at >= process_ended_at:
        return False
    if ended_at < stop.at:
        return False
    if request.deadline_seconds == 0.0:
        return True
    # A caller may notice the end of the connection late.
    used_seconds = min(ended_at, process_ended_at) - request.sent_at
    return used_seconds < DEADLINE_SHARE * request.deadline_seconds


def check_retry_bound(record: Record) -> list[Violation]:
    """Find windows in which replicas got more repeated requests than the bound allows.

    Of overlapping windows, only the first is reported.
    """
    requests = sorted(request.sent_at for request in record.requests.values())
    repeats = _repeats(record)
    violations: list[Violation] = []
    reported_until = float("-inf")
    for start in _window_starts(requests, repeats, record.bounds.retry_window):
        if start < reported_until:
            continue
        count = _count_in_window(repeats, start, record.bounds.retry_window)
        if count <= record.bounds.retry_slack:
            continue
        allowed = _allowed_repeats(requests, start, record.bounds)
        if count <= allowed + ROUNDING_TOLERANCE:
            continue
        reported_until = start + record.bounds.retry_window
        detail = f"{count} repeats from {start:.3f} to {reported_until:.3f}, {allowed:.2f} allowed"
        violations.append(Violation(Promise.RETRY_BOUND, start, "all replicas", detail))
    return violations


def _repeats(record: Record) -> list[float]:
    """Return the times of arrivals of requests that had already arrived at some replica."""
    arrived: set[str] = set()
    repeats = []
    for arrival in sorted(record.arrivals, key=lambda arrival: arrival.at):
        if arrival.request_id in arrived:
            repeats.append(arrival.at)
        arrived.add(arrival.request_id)
    return repeats


def _window_starts(requests: list[float], repeats: list[float], window: float) -> list[float]:
    """Return the starts of the windows that leave the fewest repeats allowed.

    A window includes its start and excludes its end. As it moves later, its remaining allowance
    does not grow until one of its repeats drops out or a request enters one of the windows that
    determine the allowance; the allowance is least just before that, and nowhere else.
    """
    starts = set(repeats)
    starts.update(at - ahead for at in requests for ahead in (0.0, window / 2, window))
    return sorted(starts)


def _allowed_repeats(requests: list[float], start: float, bounds: Bounds) -> float:
    """Return the number of repeats allowed in the window that begins at `start`."""
    window = bounds.retry_window
    begins = (start, start - window, start - window / 2)
    max_requests = max(_count_in_window(requests, begin, window) for begin in begins)
    return bounds.retry_ratio * max_requests + bounds.retry_slack


def _count_in_window(moments: list[float], start: float, window: float) -> int:
    """Return how many of the sorted times are in a window; it excludes its end."""
    return bisect_left(moments, start + window) - bisect_left(moments, start)


def check_recovery(record: Record) -> list[Violation]:
    """Check that ordinary service returned after the last fault."""
    return list(_recovery_faults(record))


def _recovery_faults(record: Record) -> Iterator[Violation]:
    if record.last_fault_ended_at is None:
        return
    due_at = record.last_fault_ended_at + record.bounds.recovery
    judged_requests = [
        request
        for request in record.requests.values()
        if request.sent_at > due_at and not request.caller_left
    ]
    if len(judged_requests) < MIN_RECOVERY_REQUESTS:
        if record.ended_at - due_at > RECOVERY_OBSERVATION_SECONDS:
            yield _not_recovered(due_at, f"only {len(judged_requests)} requests were sent")
        return
    served = sum(is_served(request) for request in judged_requests)
    if served < MIN_RECOVERY_SHARE * len(judged_requests):
        yield _not_recovered(due_at, f"{served} of {len(judged_requests)} requests were served")


def _not_recovered(due_at: float, detail: str) -> Violation:
    return Violation(Promise.RECOVERY, due_at, "all entries", detail)
