"""Chooses which hosts watch the service and which hosts each one notifies of changes.

All functions are pure and depend only on the host list. A few readers in each availability zone,
picked by rendezvous hashing, watch the service. Changes spread along a graph of bounded degree
over all daemons. Each daemon notifies its successors on a ring of its zone, which connects all
hosts of the zone, and some hosts of its own and of other zones picked by hash, which keeps paths
short and independent of any one host.
"""

from typing import Final

from headcross_base.hashing import rendezvous_order
from headcross_native.hostlist import Host, HostList

# Readers of each key in each zone. With three, one remains if two fail at once; with 7 zones and
# two keys they use 42 of the two thousand watches that the service allows.
READERS_PER_ZONE: Final = 3
RING_NEIGHBOURS: Final = 2
NEAR_NEIGHBOURS: Final = 2  # in the host's own zone, besides those on the ring
FAR_NEIGHBOURS: Final = 2  # in other zones


def readers_of(hosts: HostList, zone: str, key: str) -> list[str]:
    """Return the hosts of a zone that watch a key, in order of preference."""
    names = [host.name for host in hosts.hosts if host.zone == zone and not host.leaving]
    return rendezvous_order(f"reader {key}", names)[:READERS_PER_ZONE]


def neighbours_of(hosts: HostList, sender: Host) -> list[Host]:
    """Return the hosts that `sender` notifies of changes, at most six in a fleet of any size."""
    near = [host for host in hosts.hosts if host.zone == sender.zone and host.name != sender.name]
    far = [host for host in hosts.hosts if host.zone != sender.zone]
    chosen = _ring_successors(near, sender)
    others = [host for host in near if host not in chosen]
    chosen += _pick(f"near {sender.name}", others, NEAR_NEIGHBOURS)
    return chosen + _pick(f"far {sender.name}", far, FAR_NEIGHBOURS)


def _ring_successors(near: list[Host], sender: Host) -> list[Host]:
    """Return the next hosts after `sender` on the ring of its zone; `near` are the other hosts."""
    by_name = {host.name: host for host in near}
    ring = rendezvous_order("ring", [*by_name, sender.name])
    position = ring.index(sender.name)
    successors = (ring[position + 1 :] + ring[:position])[:RING_NEIGHBOURS]
    return [by_name[name] for name in successors]


def _pick(key: str, hosts: list[Host], count: int) -> list[Host]:
    by_name = {host.name: host for host in hosts}
    return [by_name[name] for name in rendezvous_order(key, by_name)[:count]]
