"""Assigns replicas to groups that load a version one after another, without a coordinator.

A replica takes no requests while it loads. Every daemon computes the same groups from the list of
replicas. A group loads once the list shows that all earlier groups have loaded, or at its latest
start, so that a slow host does not delay the others. The latest start of the last group is the
time from which entries no longer route to the old version.
"""

from collections.abc import Iterable
from typing import Final

from headcross_base.hashing import rendezvous_order
from headcross_ports.published import LoadedModel, Replica

GROUP_COUNT: Final = 3
# Time between the latest starts of two groups: enough for a load and for the list to show it.
GROUP_INTERVAL_SECONDS: Final = 0.45


def group_of(address: str, goal: LoadedModel, replicas: Iterable[Replica]) -> int | None:
    """Return the group of the replica at an address (0 loads first); None if it has no group."""
    return _groups(goal, replicas).get(address)


def earlier_groups(group: int, goal: LoadedModel, replicas: Iterable[Replica]) -> set[str]:
    """Return the addresses of the replicas in the groups that load before `group`."""
    groups = _groups(goal, replicas)
    return {address for address, number in groups.items() if number < group}


def latest_start(group: int, last_start: float) -> float:
    """Return the latest start of a group, given that of the last group.

    >>> latest_start(GROUP_COUNT - 1, 10.0), latest_start(GROUP_COUNT - 2, 10.0)
    (10.0, 9.55)
    """
    return last_start - (GROUP_COUNT - 1 - group) * GROUP_INTERVAL_SECONDS


def _groups(goal: LoadedModel, replicas: Iterable[Replica]) -> dict[str, int]:
    """Map the address of every replica that is not draining to its group.

    Replicas are assigned round-robin zone by zone, so that no zone loads all at once.
    """
    zones: dict[str, list[str]] = {}
    for replica in replicas:
        if not replica.draining:
            zones.setdefault(replica.zone, []).append(str(replica.address))
    key = f"{goal.model} {goal.version}"
    ordered = [address for zone in sorted(zones) for address in rendezvous_order(key, zones[zone])]
    return {address: position % GROUP_COUNT for position, address in enumerate(ordered)}
