"""Placement of pools on upstreams, as a pure function of the fleet file and the host list.

Pools are filled in the order of the file. Within a pool, upstreams are taken from its zones
round-robin until all replicas are placed or no candidate is left; within a zone they are ranked by
rendezvous hashing on the pool's name. A host that joins or leaves therefore moves only its own
share. A new version moves nothing, since the ranking does not depend on it. Upstreams that are
assigned to no pool are spares of every pool that uses their zone.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from headcross_base.hashing import rendezvous_order
from headcross_fleet.fleetfile import FleetFile, Pool
from headcross_native.hostlist import HostList


@dataclass(slots=True)
class PoolPlacement:
    """The upstreams assigned to one pool, and its spares."""

    assigned: list[str] = field(default_factory=list)  # in rank order
    spares: list[str] = field(default_factory=list)  # in the order in which they stand in


@dataclass(slots=True)
class Placement:
    """The assignment of upstreams to all pools."""

    pools: dict[str, PoolPlacement] = field(default_factory=dict)
    pool_by_upstream: dict[str, str] = field(default_factory=dict)  # assigned upstream to pool


def compute_placement(fleet: FleetFile, hosts: HostList) -> Placement:
    """Return the placement; it is the same in every process that has the same two documents."""
    zone_of = {
        upstream.name: host.zone
        for host in hosts.hosts
        if host.role == "upstream" and not host.leaving
        for upstream in host.upstreams
        if upstream.kind == "model"
    }
    placement = Placement()
    for name, pool in fleet.pools.items():
        unassigned = {
            u: zone for u, zone in zone_of.items() if u not in placement.pool_by_upstream
        }
        assigned = _assign_upstreams(name, pool, unassigned)
        placement.pools[name] = PoolPlacement(assigned)
        placement.pool_by_upstream.update(dict.fromkeys(assigned, name))
    for name, pool in fleet.pools.items():
        spares = (
            u for u in zone_of if u not in placement.pool_by_upstream and zone_of[u] in pool.zones
        )
        placement.pools[name].spares = rendezvous_order(f"spare {name}", spares)
    return placement


def _assign_upstreams(name: str, pool: Pool, unassigned: dict[str, str]) -> list[str]:
    queues = {zone: _rank_zone(name, zone, unassigned) for zone in pool.zones}
    zone_order = rendezvous_order(f"zones {name}", pool.zones)
    chosen: list[str] = []
    while len(chosen) < pool.replicas and any(queues.values()):
        for zone in zone_order:
            if queues[zone] and len(chosen) < pool.replicas:
                chosen.append(queues[zone].pop(0))
    return chosen


def _rank_zone(pool: str, zone: str, unassigned: dict[str, str]) -> list[str]:
    candidates: Iterable[str] = (
        upstream for upstream, upstream_zone in unassigned.items() if upstream_zone == zone
    )
    return rendezvous_order(f"pool {pool}", candidates)
