"""The adapter of a platform, which is passed to a process at its start."""

from dataclasses import dataclass

from headcross_ports.published import PublishedStore
from headcross_ports.replicas import ReplicaControl, ReplicaReports, WeightsOrigin
from headcross_ports.requests import RequestDialect


@dataclass(frozen=True, slots=True)
class Adapter:
    """The implementations of all interfaces for one platform."""

    store: PublishedStore
    dialect: RequestDialect
    origin: WeightsOrigin
    reports: ReplicaReports
    replica: ReplicaControl | None  # this daemon's replica, None in other processes
