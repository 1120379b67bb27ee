"""Computes what a fleet file would change, compared with the documents in force.

The placement is computed by the same pure function that the daemons use, so the plan names exactly
the upstreams that would be reassigned.
"""

from collections.abc import Iterator, Mapping

import msgspec
from headcross_fleet.fleetfile import FleetFile, pool_artifacts
from headcross_native.hostlist import HostList
from headcross_rollout.placement import Placement, compute_placement


class Change(msgspec.Struct, frozen=True):
    """One change in a plan."""

    kind: str  # pool-added, pool-removed, version, upstream-joins, upstream-leaves, ...
    subject: str
    text: str


def plan_changes(old: FleetFile, new: FleetFile, hosts: HostList) -> list[Change]:
    """Return the changes: pools first, then upstreams, then teams, services and routes."""
    before, after = compute_placement(old, hosts), compute_placement(new, hosts)
    changes = list(_pool_changes(old, new, after))
    changes += _upstream_changes(before, after)
    changes += _table_changes("team", old.teams, new.teams)
    changes += _table_changes("service", old.services, new.services)
    changes += _table_changes(
        "route", {r.path: r for r in old.routes}, {r.path: r for r in new.routes}
    )
    return changes


def _pool_changes(old: FleetFile, new: FleetFile, after: Placement) -> Iterator[Change]:
    for name in old.pools.keys() - new.pools.keys():
        yield Change("pool-removed", name, f"its {old.pools[name].replicas} replicas leave")
    for name, pool in new.pools.items():
        assigned = len(after.pools[name].assigned)
        if assigned < pool.replicas:
            yield Change("pool-short", name, f"{assigned} hosts for {pool.replicas} replicas")
        previous = old.pools.get(name)
        if previous is None:
            yield Change("pool-added", name, f"{pool.replicas} replicas of {pool.model}")
        elif pool_artifacts(old, previous) != pool_artifacts(new, pool):
            text = f"{previous.model} {previous.version} becomes {pool.model} {pool.version}"
            yield Change("version", name, f"{text}, {pool.max_unavailable} at a time")
        elif previous != pool:
            yield Change("pool-changed", name, "replicas, zones or rules")


def _upstream_changes(before: Placement, after: Placement) -> Iterator[Change]:
    for upstream in sorted(before.pool_by_upstream.keys() | after.pool_by_upstream.keys()):
        old_pool, new_pool = before.pool_by_upstream.get(upstream), after.pool_by_upstream.get(
            upstream
        )
        if old_pool == new_pool:
            continue
        if old_pool is not None:
            yield Change("upstream-leaves", upstream, old_pool)
        if new_pool is not None:
            yield Change("upstream-joins", upstream, new_pool)


def _table_changes(
    kind: str, old: Mapping[str, object], new: Mapping[str, object]
) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield Change(f"{kind}-removed", name, "")
        elif name not in old:
            yield Change(f"{kind}-added", name, "")
        elif old[name] != new[name]:
            yield Change(f"{kind}-changed", name, "")
