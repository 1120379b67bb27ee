"""Counts what a soak could judge: updates and planned stops that no fault excused.

A time-bounded promise that never came due is not shown to hold by having no violations.
"""

from dataclasses import dataclass
from typing import Final

from bench.soak.check_disturbances import is_fault_free_everywhere, is_undisturbed
from bench.soak.record import PlannedStop, Record

# How long a promise is observed after its bound has passed.
OBSERVATION_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class Coverage:
    """Counts of what was judged without a fault that excuses it."""

    versions: int  # named, with no fault anywhere until after their bound
    old_starts: int  # runs observed just after the bound of such a version
    configurations: int  # pairs of a publication and an undisturbed entry
    drains: int  # replicas listed as leaving that no fault affected
    stops: int  # planned stops of entries that no fault affected
    stopped_requests: int  # requests in flight when such a stop began


def measure_coverage(record: Record) -> Coverage:
    """Count the judged events of a record."""
    bounds = record.bounds
    named_at = [
        v.at
        for v in record.versions
        if _covers(record, v.at, bounds.weights)
        and is_fault_free_everywhere(
            record, v.at - bounds.reached, v.at + bounds.weights + OBSERVATION_SECONDS
        )
    ]
    windows = [(at + bounds.weights, at + bounds.weights + OBSERVATION_SECONDS) for at in named_at]
    runs = sum(
        any(since < run.began_at <= until for since, until in windows)
        for run in record.runs
        if run.version
    )
    drains = sum(
        _covers(record, d.at, bounds.leaving)
        and record.is_fault_free(
            frozenset({d.replica_id}),
            d.at - bounds.reached,
            d.at + bounds.leaving + OBSERVATION_SECONDS,
        )
        for d in record.draining
    )
    stops = [stop for stop in record.stops if _is_fault_free_stop(record, stop)]
    in_flight = sum(_count_in_flight(record, stop) for stop in stops)
    return Coverage(
        len(named_at), runs, _count_configurations(record), drains, len(stops), in_flight
    )


def _covers(record: Record, at: float, bound: float) -> bool:
    """Return whether the record reaches from a time until its bound has been observed."""
    return record.began_at <= at and at + bound + OBSERVATION_SECONDS <= record.ended_at


def _count_configurations(record: Record) -> int:
    """Return the number of pairs of a publication and an entry undisturbed until its bound."""
    entries = {probe.entry for probe in record.probes}
    bounds = record.bounds
    return sum(
        _covers(record, c.at, bounds.configuration)
        and is_undisturbed(
            record,
            frozenset({entry}),
            c.at - bounds.reached,
            c.at + bounds.configuration + OBSERVATION_SECONDS,
        )
        for c in record.configurations
        for entry in entries
    )


def _is_fault_free_stop(record: Record, stop: PlannedStop) -> bool:
    until = record.ended_at if stop.ended_at is None else stop.ended_at
    return record.is_fault_free(frozenset({stop.entry}), stop.at - record.bounds.reached, until)


def _count_in_flight(record: Record, stop: PlannedStop) -> int:
    """Return the number of requests in flight when a stop began."""
    return sum(
        request.entry == stop.entry
        and request.sent_at <= stop.at
        and (request.ended_at is None or request.ended_at > stop.at)
        for request in record.requests.values()
    )
