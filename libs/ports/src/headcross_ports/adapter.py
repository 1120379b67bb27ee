"""The whole of an adapter, as the product is given it at its start."""

from dataclasses import dataclass

from headcross_ports.published import PublishedStore
from headcross_ports.replicas import ReplicaControl, WeightsOrigin
from headcross_ports.requests import RequestDialect


@dataclass(frozen=True, slots=True)
class Adapter:
    """One platform, seen through the product's interfaces."""

    store: PublishedStore
    dialect: RequestDialect
    origin: WeightsOrigin
    replica: ReplicaControl | None  # the replica beside this daemon, if there is one
