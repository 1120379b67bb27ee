"""Who reads the service and who tells whom: pure functions of the host list.

A few readers in each availability zone, picked by rendezvous hash, keep a watch. News travels
along a bounded graph over all daemons: each tells the next ones on a ring of its zone (so that a
zone is connected for certain) and some others, near and far, picked by hash (so that the way is
short and does not depend on one host).
"""

from typing import Final

from headcross_base.hashing import rendezvous_order
from headcross_native.hostlist import Host, HostList

# Readers of each key in each zone. Three leave one when two die at once; at 7 zones and two keys
# that is 42 waiting watches of the service's two thousand.
READERS_PER_ZONE: Final = 3
RING_NEIGHBOURS: Final = 2
NEAR_NEIGHBOURS: Final = 2
FAR_NEIGHBOURS: Final = 2


def readers_of(hosts: HostList, zone: str, key: str) -> list[str]:
    """Return the hosts of a zone that watch a key, first choice first."""
    names = [host.name for host in hosts.hosts if host.zone == zone and not host.leaving]
    return rendezvous_order(f"reader {key}", names)[:READERS_PER_ZONE]


def neighbours_of(hosts: HostList, me: Host) -> list[Host]:
    """Return the hosts that `me` tells of changes; about six whatever the fleet's size."""
    zone = [host for host in hosts.hosts if host.zone == me.zone and host.name != me.name]
    far = [host for host in hosts.hosts if host.zone != me.zone]
    chosen = _ring_successors(zone, me)
    rest = [host for host in zone if host not in chosen]
    chosen += _pick(f"near {me.name}", rest, NEAR_NEIGHBOURS)
    return chosen + _pick(f"far {me.name}", far, FAR_NEIGHBOURS)


def _ring_successors(zone: list[Host], me: Host) -> list[Host]:
    by_name = {host.name: host for host in zone}
    ring = rendezvous_order("ring", [*by_name, me.name])
    place = ring.index(me.name)
    after = (ring[place + 1 :] + ring[:place])[:RING_NEIGHBOURS]
    return [by_name[name] for name in after]


def _pick(key: str, hosts: list[Host], count: int) -> list[Host]:
    by_name = {host.name: host for host in hosts}
    return [by_name[name] for name in rendezvous_order(key, by_name)[:count]]
