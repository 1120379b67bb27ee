"""Finds undisturbed machines: promises with a time bound hold only for these."""

from bench.soak.record import PlannedStop, Record


def is_undisturbed(record: Record, machines: frozenset[str], since: float, until: float) -> bool:
    """Return whether neither a fault nor a planned stop affected any of the machines."""
    if not record.is_fault_free(machines, since, until):
        return False
    stops = (stop for stop in record.stops if stop.entry in machines)
    return not any(stop.at <= until and _earliest_return(stop) >= since for stop in stops)


def is_fault_free_everywhere(record: Record, since: float, until: float) -> bool:
    """Return whether no fault affected any machine between two times."""
    return record.is_fault_free(_machines_with_faults(record), since, until)


def sender_machines(record: Record, request_id: str) -> frozenset[str]:
    """Return the entry of a request; for an unknown request, every machine ever disturbed."""
    request = record.requests.get(request_id)
    if request is not None:
        return frozenset({request.entry})
    return _machines_with_faults(record) | {stop.entry for stop in record.stops}


def _machines_with_faults(record: Record) -> frozenset[str]:
    return frozenset().union(*(fault.machines for fault in record.disturbances))


def _earliest_return(stop: PlannedStop) -> float:
    """Return the earliest time at which, by the record, the stopped entry can serve again."""
    if stop.restarted_at is not None:
        return stop.restarted_at
    return float("inf") if stop.ended_at is None else stop.ended_at
