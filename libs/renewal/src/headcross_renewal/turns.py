"""Which replicas load at once, without a coordinator.

While a replica loads it takes no requests. Every daemon computes the same two groups from the
list of replicas; the second waits until the first has loaded, as far as its members tell, but not
beyond the moment from which nobody sends requests to the old version anyway.
"""

from collections.abc import Iterable
from typing import Final

from headcross_base.hashing import rendezvous_order
from headcross_ports.published import LoadedModel, Replica

GROUPS: Final = 2


def first_group(goal: LoadedModel, replicas: Iterable[Replica]) -> frozenset[str]:
    """Return the addresses of the replicas that load first.

    The groups are even in each zone, so that no zone is without replicas while one loads.
    """
    zones: dict[str, list[str]] = {}
    for replica in replicas:
        if not replica.draining:
            zones.setdefault(replica.zone, []).append(str(replica.address))
    key = f"{goal.model} {goal.version}"
    first: list[str] = []
    for place, zone in enumerate(sorted(zones)):
        order = rendezvous_order(key, zones[zone])
        # Odd zones are rounded up and down in turn.
        half = (len(order) + place % GROUPS) // GROUPS
        first += order[:half]
    return frozenset(first)
