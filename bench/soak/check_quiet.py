"""Which machines were undisturbed: promises with a time bound hold for these only."""

from bench.soak.record import PlannedStop, Record


def undisturbed(record: Record, machines: frozenset[str], since: float, until: float) -> bool:
    """Tell whether neither a fault nor a planned stop concerned some machines."""
    if not record.is_quiet(machines, since, until):
        return False
    stops = (stop for stop in record.stops if stop.entry in machines)
    return not any(stop.at <= until and _back_at(stop) >= since for stop in stops)


def quiet_everywhere(record: Record, since: float, until: float) -> bool:
    """Tell whether no fault concerned anybody between two moments."""
    return record.is_quiet(_machines_with_faults(record), since, until)


def sender_machines(record: Record, request_id: str) -> frozenset[str]:
    """Return the entry of a request; all machines that were ever disturbed if it is not known."""
    request = record.requests.get(request_id)
    if request is not None:
        return frozenset({request.entry})
    return _machines_with_faults(record) | {stop.entry for stop in record.stops}


def _machines_with_faults(record: Record) -> frozenset[str]:
    return frozenset().union(*(fault.machines for fault in record.disturbances))


def _back_at(stop: PlannedStop) -> float:
    """Return when the entry was there again, at the earliest that the record allows."""
    if stop.restarted_at is not None:
        return stop.restarted_at
    return float("inf") if stop.ended_at is None else stop.ended_at
