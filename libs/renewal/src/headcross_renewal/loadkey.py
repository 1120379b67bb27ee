"""The key that tells one load of a replica from all others."""

import msgspec
from headcross_ports.replicas import ReplicaReport


class LoadKey(msgspec.Struct, frozen=True):
    """Identifies one load of a replica."""

    started_ms: int | None  # start time of the replica's incarnation, None if it reports none
    sequence: int  # number of orders accepted, including the one that started the load


def key_of(report: ReplicaReport) -> LoadKey:
    """Return the key of the newest load that a report covers."""
    return LoadKey(report.started_ms, report.order_sequence)
