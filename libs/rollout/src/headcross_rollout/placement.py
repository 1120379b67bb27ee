"""Placement: which upstream belongs to which pool, a pure function of (fleet file, host list).

Pools choose in the file's order. Within a pool, zones take turns until the replicas are placed or
the candidates run out, and within a zone upstreams come by falling rendezvous weight for the pool.
So a host that comes or goes moves only its own share, and a new version moves nothing: the order
does not depend on it. Upstreams that no pool took are spares of the pools whose zones they are in.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from headcross_base.hashing import rendezvous_order
from headcross_fleet.fleetfile import FleetFile, Pool
from headcross_native.hostlist import HostList


@dataclass(slots=True)
class PoolPlacement:
    """The upstreams of one pool."""

    assigned: list[str] = field(default_factory=list)  # in rank order
    spares: list[str] = field(default_factory=list)  # who stands in, in order


@dataclass(slots=True)
class Placement:
    """The upstreams of all pools."""

    pools: dict[str, PoolPlacement] = field(default_factory=dict)
    pool_of: dict[str, str] = field(default_factory=dict)  # assigned upstream to pool


def place(fleet: FleetFile, hosts: HostList) -> Placement:
    """Return the placement; the same in every process with the same two documents."""
    zone_of = {
        upstream.name: host.zone
        for host in hosts.hosts
        if host.role == "upstream" and not host.leaving
        for upstream in host.upstreams
        if upstream.kind == "model"
    }
    placement = Placement()
    for name, pool in fleet.pools.items():
        free = {u: zone for u, zone in zone_of.items() if u not in placement.pool_of}
        assigned = _choose(name, pool, free)
        placement.pools[name] = PoolPlacement(assigned)
        placement.pool_of.update(dict.fromkeys(assigned, name))
    for name, pool in fleet.pools.items():
        spares = (u for u in zone_of if u not in placement.pool_of and zone_of[u] in pool.zones)
        placement.pools[name].spares = rendezvous_order(f"spare {name}", spares)
    return placement


def _choose(name: str, pool: Pool, free: dict[str, str]) -> list[str]:
    queues = {zone: _ranked(name, zone, free) for zone in pool.zones}
    turns = rendezvous_order(f"zones {name}", pool.zones)
    chosen: list[str] = []
    while len(chosen) < pool.replicas and any(queues.values()):
        for zone in turns:
            if queues[zone] and len(chosen) < pool.replicas:
                chosen.append(queues[zone].pop(0))
    return chosen


def _ranked(pool: str, zone: str, free: dict[str, str]) -> list[str]:
    here: Iterable[str] = (upstream for upstream, at in free.items() if at == zone)
    return rendezvous_order(f"pool {pool}", here)
