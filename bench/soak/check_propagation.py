"""Checks how soon new weights, leaving replicas and new configurations take effect."""

from collections import defaultdict
from collections.abc import Iterator

from bench.soak.check_disturbances import is_fault_free_everywhere, is_undisturbed, sender_machines
from bench.soak.check_violations import Promise, Violation
from bench.soak.record import (
    Arrival,
    Record,
    ReplicaDrains,
    ReplicaRun,
    RouteProbe,
    VersionNamed,
)


def check_old_weights(record: Record) -> list[Violation]:
    """Find runs that began on old weights too long after the naming of newer ones."""
    violations = []
    for run in record.runs:
        named = next((n for n in record.versions if _is_late_start(record, run, n)), None)
        if named is None:
            continue
        detail = (
            f"request {run.request_id} began on version {run.version} "
            f"{run.began_at - named.at:.3f} s after version {named.version} was named"
        )
        violations.append(Violation(Promise.OLD_WEIGHTS, run.began_at, run.replica_id, detail))
    return violations


def _is_late_start(record: Record, run: ReplicaRun, named: VersionNamed) -> bool:
    if run.version == 0 or named.version <= run.version:
        return False
    if run.began_at <= named.at + record.bounds.weights:
        return False
    since = named.at - record.bounds.reached
    sender = sender_machines(record, run.request_id)
    return is_fault_free_everywhere(record, since, run.began_at) and is_undisturbed(
        record, sender, since, run.began_at
    )


def check_leaving(record: Record) -> list[Violation]:
    """Find requests that reached a replica too long after the store listed it as leaving."""
    draining: defaultdict[str, list[ReplicaDrains]] = defaultdict(list)
    for drains in record.draining:
        draining[drains.replica_id].append(drains)
    violations = []
    for arrival in record.arrivals:
        listings = draining[arrival.replica_id]
        listing = next((s for s in listings if _is_late_arrival(record, arrival, s)), None)
        if listing is None:
            continue
        detail = (
            f"request {arrival.request_id} arrived {arrival.at - listing.at:.3f} s "
            "after the replica was shown as leaving"
        )
        violations.append(Violation(Promise.LEAVING, arrival.at, arrival.replica_id, detail))
    return violations


def _is_late_arrival(record: Record, arrival: Arrival, listing: ReplicaDrains) -> bool:
    if arrival.at <= listing.at + record.bounds.leaving:
        return False
    machines = sender_machines(record, arrival.request_id) | {arrival.replica_id}
    return is_undisturbed(record, machines, listing.at - record.bounds.reached, arrival.at)


def check_configuration(record: Record) -> list[Violation]:
    """Find routes that an entry learned too late, or lost again within one process lifetime."""
    return [*_late_routes(record), *_lost_routes(record)]


def _late_routes(record: Record) -> Iterator[Violation]:
    for probe in record.probes:
        published_at = _published_at(record, probe.configuration)
        if probe.found or published_at is None:
            continue
        if probe.sent_at <= published_at + record.bounds.configuration:
            continue
        if not _is_entry_undisturbed(record, probe):
            continue
        outcome = "no answer" if probe.found is None else "not found"
        detail = (
            f"configuration {probe.configuration}: {outcome} "
            f"{probe.sent_at - published_at:.3f} s after its publication"
        )
        yield Violation(Promise.CONFIGURATION, probe.sent_at, probe.entry, detail)


def _published_at(record: Record, configuration: int) -> float | None:
    """Return when a configuration, or a later one, which includes it, was first published."""
    return min((c.at for c in record.configurations if c.version >= configuration), default=None)


def _is_entry_undisturbed(record: Record, probe: RouteProbe) -> bool:
    bounds = record.bounds
    # The required undisturbed time is counted back from the probe and overlaps the time since the
    # publication: a call that a silent store delays may last no longer than either.
    since = probe.sent_at - bounds.reached
    # A fault that begins while the probe is in flight explains a missing answer, but not an answer
    # that the route does not exist.
    until = probe.sent_at + (bounds.reached if probe.found is None else 0.0)
    return is_undisturbed(record, frozenset({probe.entry}), since, until)


def _lost_routes(record: Record) -> Iterator[Violation]:
    """Yield the probes whose answers show that an entry went back to an older configuration."""
    probes_by_process: defaultdict[tuple[str, int], list[RouteProbe]] = defaultdict(list)
    for probe in record.probes:
        probes_by_process[probe.entry, probe.life].append(probe)
    for probes in probes_by_process.values():
        yield from _lost_in_life(probes)


def _lost_in_life(probes: list[RouteProbe]) -> Iterator[Violation]:
    """Yield the probes of one process that missed a route after it had found a newer one."""
    found_probes = [probe for probe in probes if probe.found]
    for probe in probes:
        if probe.found is not False:
            continue
        earlier_versions = (
            p.configuration for p in found_probes if _answered_at(p) < probe.sent_at
        )
        newest = max(earlier_versions, default=0)
        if probe.configuration <= newest:
            detail = (
                f"life {probe.life}: the route of configuration {probe.configuration} not found "
                f"after that of {newest} was"
            )
            yield Violation(Promise.CONFIGURATION, probe.sent_at, probe.entry, detail)


def _answered_at(probe: RouteProbe) -> float:
    return probe.sent_at if probe.answered_at is None else probe.answered_at
