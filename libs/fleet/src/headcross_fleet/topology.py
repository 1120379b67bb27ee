"""Chooses which hosts watch the service and which hosts each one notifies of changes.

All functions are pure and depend only on the host list. A few readers in each availability zone,
picked by rendezvous hash, watch the service. Changes spread along a graph of bounded degree over
all daemons: each notifies its successors on a ring of its zone, so that every zone is connected,
and some hosts of its own and other zones picked by hash, so that paths are short and do not depend
on one host.
"""

from typing import Final

from headcross_base.hashing import rendezvous_order
from headcross_native.hostlist import Host, HostList

# Readers of each key in each zone. With three, one remains if two fail at once; with 7 zones and
# two keys they use 42 of the two thousand watches that the service allows.
READERS_PER_ZONE: Final = 3
RING_NEIGHBOURS: Final = 2
NEAR_NEIGHBOURS: Final = 2
FAR_NEIGHBOURS: Final = 2


def readers_of(hosts: HostList, zone: str, key: str) -> list[str]:
    """Return the hosts of a zone that watch a key, in order of preference."""
    names = [host.name for host in hosts.hosts if host.zone == zone and not host.leaving]
    return rendezvous_order(f"reader {key}", names)[:READERS_PER_ZONE]


def neighbours_of(hosts: HostList, me: Host) -> list[Host]:
    """Return the hosts that `me` notifies of changes, at most six in a fleet of any size."""
    zone = [host for host in hosts.hosts if host.zone == me.zone and host.name != me.name]
    far = [host for host in hosts.hosts if host.zone != me.zone]
    chosen = _ring_successors(zone, me)
    others = [host for host in zone if host not in chosen]
    chosen += _pick(f"near {me.name}", others, NEAR_NEIGHBOURS)
    return chosen + _pick(f"far {me.name}", far, FAR_NEIGHBOURS)


def _ring_successors(zone: list[Host], me: Host) -> list[Host]:
    by_name = {host.name: host for host in zone}
    ring = rendezvous_order("ring", [*by_name, me.name])
    position = ring.index(me.name)
    after = (ring[position + 1 :] + ring[:position])[:RING_NEIGHBOURS]
    return [by_name[name] for name in after]


def _pick(key: str, hosts: list[Host], count: int) -> list[Host]:
    by_name = {host.name: host for host in hosts}
    return [by_name[name] for name in rendezvous_order(key, by_name)[:count]]
