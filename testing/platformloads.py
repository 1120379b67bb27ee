"""Replicas that hold what the platform loaded, so that an entry knows that it was intact."""

from headcross_gateway.replicastate import ReplicaState
from headcross_ports.replicas import ReplicaReport


def with_platform_loads(state: ReplicaState) -> ReplicaState:
    """Record that a replica holds its listed versions without having accepted an order."""
    report = ReplicaReport(state.replica.loaded, False, 0, 0, 0, 0, 1, 1.0)
    state.confirmed_loads.record_replica_report(report)
    return state
