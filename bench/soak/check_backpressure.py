"""Checks that entries follow what replicas ask in their answers: limits, rests and leaving.

An entry counts as informed once it got an answer to a request that reached the replica after the
replica began to ask.
"""

import math
from collections.abc import Iterator
from typing import Final

from bench.soak.check_disturbances import is_undisturbed, sender_machines
from bench.soak.check_violations import Promise, Violation
from bench.soak.record import Arrival, Record, ReplicaLimit

# A limit allows, in any span of this length, the limit's requests times a factor and some extra
# (source: the platform's pages on replicas in need).
SPAN_SECONDS: Final = 4.0
SPAN_FACTOR: Final = 1.5
SPAN_EXTRA_REQUESTS: Final = 5
# Requests of one entry that may reach a replica during its rest (source: the same pages).
MAX_REQUESTS_IN_REST: Final = 2


def check_limits(record: Record) -> list[Violation]:
    """Find, for each limit, the first span with more requests than the limit allows."""
    return [violation for limit in record.limits for violation in _over_limit(record, limit)]


def _over_limit(record: Record, limit: ReplicaLimit) -> Iterator[Violation]:
    informed = _informed_times(record, limit.replica_id, limit.began_at)
    first = limit.began_at + record.bounds.reached
    arrival_times = sorted(
        arrival.at
        for arrival in record.arrivals
        if arrival.replica_id == limit.replica_id
        and first <= arrival.at < limit.ended_at
        and _is_counted(record, arrival, informed)
    )
    allowed = math.floor(SPAN_FACTOR * SPAN_SECONDS * limit.per_second + SPAN_EXTRA_REQUESTS)
    for start in arrival_times:
        count = sum(start <= at < start + SPAN_SECONDS for at in arrival_times)
        if count > allowed:
            detail = f"{count} requests in 4 s at a limit of {limit.per_second}, {allowed} allowed"
            yield Violation(Promise.LIMIT, start, limit.replica_id, detail)
            return


def check_rests(record: Record) -> list[Violation]:
    """Find rests in which an entry that knew of the rest sent more than two requests."""
    return [
        violation
        for arrival in record.arrivals
        if arrival.rest_seconds
        for violation in _within_rest(record, arrival)
    ]


def _within_rest(record: Record, refusal: Arrival) -> Iterator[Violation]:
    """Check the rest that a replica asked for when it refused a request."""
    entry = _entry_of(record, refusal)
    first, last = refusal.at + record.bounds.told, refusal.at + refusal.rest_seconds
    in_rest = [
        arrival
        for arrival in record.arrivals
        if arrival.replica_id == refusal.replica_id
        and first < arrival.at < last
        and entry is not None
        and _entry_of(record, arrival) == entry
        and _arrived_undisturbed(record, arrival, refusal.at)
    ]
    if len(in_rest) > MAX_REQUESTS_IN_REST:
        detail = f"{len(in_rest)} requests of {entry} in a rest of {refusal.rest_seconds:.2f} s"
        yield Violation(Promise.REST, refusal.at, refusal.replica_id, detail)


def check_announced_leaving(record: Record) -> list[Violation]:
    """Find requests sent too long after their entry was informed that the replica leaves."""
    violations = []
    for announcement in record.leaving:
        informed = _informed_times(record, announcement.replica_id, announcement.at)
        for arrival in record.arrivals:
            request = record.requests.get(arrival.request_id)
            if arrival.replica_id != announcement.replica_id or request is None:
                continue
            informed_at = informed.get(request.entry, math.inf)
            if request.sent_at <= informed_at + record.bounds.leaving:
                continue
            if not _arrived_undisturbed(record, arrival, informed_at):
                continue
            detail = (
                f"request {request.id} was sent {request.sent_at - informed_at:.3f} s "
                f"after {request.entry} was told"
            )
            violations.append(
                Violation(Promise.ANNOUNCED_LEAVING, arrival.at, announcement.replica_id, detail)
            )
    return violations


def _informed_times(record: Record, replica_id: str, since: float) -> dict[str, float]:
    """Return, by entry, when a replica first answered a request that arrived after `since`."""
    informed: dict[str, float] = {}
    for arrival in record.arrivals:
        request = record.requests.get(arrival.request_id)
        if arrival.replica_id != replica_id or arrival.at < since or request is None:
            continue
        if request.ended_at is not None and request.status:
            informed[request.entry] = min(informed.get(request.entry, math.inf), request.ended_at)
    return informed


def _is_counted(record: Record, arrival: Arrival, informed: dict[str, float]) -> bool:
    """Return whether a request came from an entry that had been informed for long enough."""
    entry = _entry_of(record, arrival)
    informed_at = informed.get(entry, math.inf) if entry is not None else math.inf
    if arrival.at < informed_at + record.bounds.told:
        return False
    return _arrived_undisturbed(record, arrival, informed_at)


def _entry_of(record: Record, arrival: Arrival) -> str | None:
    request = record.requests.get(arrival.request_id)
    return request.entry if request is not None else None


def _arrived_undisturbed(record: Record, arrival: Arrival, since: float) -> bool:
    machines = sender_machines(record, arrival.request_id) | {arrival.replica_id}
    return is_undisturbed(record, machines, since, arrival.at)
