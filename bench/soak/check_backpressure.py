"""Promises on what replicas ask in their answers: limits, rests, leavings.

An entry counts as told once a request that it sent there after the replica began to ask has been
answered.
"""

import math
from collections.abc import Iterator
from typing import Final

from bench.soak.check_quiet import sender_machines, undisturbed
from bench.soak.check_violations import Promise, Violation
from bench.soak.record import Arrival, Record, ReplicaLimit

# What a limit allows in any span (source: the platform's pages on replicas in need).
SPAN_SECONDS: Final = 4.0
SPAN_PART: Final = 1.5
SPAN_EXTRA: Final = 5
# Requests of one entry that may reach a replica in a rest (source: the same).
MOST_IN_REST: Final = 2


def check_limits(record: Record) -> list[Violation]:
    """Find spans in which a replica got more than its limit allows, the first one of each."""
    return [found for limit in record.limits for found in _over_limit(record, limit)]


def _over_limit(record: Record, limit: ReplicaLimit) -> Iterator[Violation]:
    told = _told_at(record, limit.replica_id, limit.began_at)
    first = limit.began_at + record.bounds.reached
    moments = sorted(
        arrival.at
        for arrival in record.arrivals
        if arrival.replica_id == limit.replica_id
        and first <= arrival.at < limit.ended_at
        and _counts(record, arrival, told)
    )
    allowed = math.floor(SPAN_PART * SPAN_SECONDS * limit.per_second + SPAN_EXTRA)
    for start in moments:
        count = sum(start <= at < start + SPAN_SECONDS for at in moments)
        if count > allowed:
            detail = f"{count} requests in 4 s at a limit of {limit.per_second}, {allowed} allowed"
            yield Violation(Promise.LIMIT, start, limit.replica_id, detail)
            return


def check_rests(record: Record) -> list[Violation]:
    """Find requests of one entry, beyond two, within a rest that it was asked for."""
    return [
        found
        for arrival in record.arrivals
        if arrival.rest_seconds
        for found in _within_rest(record, arrival)
    ]


def _within_rest(record: Record, asked: Arrival) -> Iterator[Violation]:
    entry = _entry_of(record, asked)
    first, last = asked.at + record.bounds.told, asked.at + asked.rest_seconds
    within = [
        arrival
        for arrival in record.arrivals
        if arrival.replica_id == asked.replica_id
        and first < arrival.at < last
        and entry is not None
        and _entry_of(record, arrival) == entry
        and _is_undisturbed(record, arrival, asked.at)
    ]
    if len(within) > MOST_IN_REST:
        detail = f"{len(within)} requests of {entry} in a rest of {asked.rest_seconds:.2f} s"
        yield Violation(Promise.REST, asked.at, asked.replica_id, detail)


def check_said_leaving(record: Record) -> list[Violation]:
    """Find requests sent too long after their entry was told that the replica leaves."""
    violations = []
    for said in record.leaving:
        told = _told_at(record, said.replica_id, said.at)
        for arrival in record.arrivals:
            request = record.requests.get(arrival.request_id)
            if arrival.replica_id != said.replica_id or request is None:
                continue
            told_at = told.get(request.entry, math.inf)
            if request.sent_at <= told_at + record.bounds.leaving:
                continue
            if not _is_undisturbed(record, arrival, told_at):
                continue
            detail = (
                f"request {request.id} was sent {request.sent_at - told_at:.3f} s "
                f"after {request.entry} was told"
            )
            violations.append(Violation(Promise.SAID_LEAVING, arrival.at, said.replica_id, detail))
    return violations


def _told_at(record: Record, replica_id: str, since: float) -> dict[str, float]:
    """Return when entries were first answered by a replica that they asked after a moment."""
    told: dict[str, float] = {}
    for arrival in record.arrivals:
        request = record.requests.get(arrival.request_id)
        if arrival.replica_id != replica_id or arrival.at < since or request is None:
            continue
        if request.ended_at is not None and request.status:
            told[request.entry] = min(told.get(request.entry, math.inf), request.ended_at)
    return told


def _counts(record: Record, arrival: Arrival, told: dict[str, float]) -> bool:
    """Tell whether a request came from an entry that had been told for long enough."""
    entry = _entry_of(record, arrival)
    told_at = told.get(entry, math.inf) if entry is not None else math.inf
    if arrival.at < told_at + record.bounds.told:
        return False
    return _is_undisturbed(record, arrival, told_at)


def _entry_of(record: Record, arrival: Arrival) -> str | None:
    request = record.requests.get(arrival.request_id)
    return request.entry if request is not None else None


def _is_undisturbed(record: Record, arrival: Arrival, since: float) -> bool:
    concerned = sender_machines(record, arrival.request_id) | {arrival.replica_id}
    return undisturbed(record, concerned, since, arrival.at)
