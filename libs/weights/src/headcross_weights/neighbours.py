"""Selects the neighbours of a host in a transfer.

Hosts of one region exchange chunks with each other. Chunks cross regions only by the import order
(see `sourcing`). Each host picks some hosts of its own zone and a few of the other zones of its
region by rendezvous hash, mirrors first. Picked hosts become neighbours in both directions. With
six picks by each host, the graph of a region is connected with high probability, and a host has
about twelve neighbours whatever the number of hosts.
"""

from typing import Final

from headcross_base.hashing import rendezvous_order
from headcross_native.hostlist import Host

ZONE_PICKS: Final = 4
REGION_PICKS: Final = 3
# A region with one zone takes all picks from it.
TOTAL_PICKS: Final = ZONE_PICKS + REGION_PICKS


def pick_neighbours(
    artifact: str, me: str, region: str, zone: str, candidates: list[Host]
) -> list[Host]:
    """Return the hosts that `me` joins at the start of a transfer."""
    others = {host.name: host for host in candidates if host.name != me and host.region == region}
    if not others:
        # No other host of this region takes part, so hosts of other regions are picked.
        others = {host.name: host for host in candidates if host.name != me}
    order = rendezvous_order(f"{artifact} {me}", others)
    order.sort(key=lambda name: not others[name].is_mirror)
    same_zone = [name for name in order if others[name].zone == zone]
    other_zones = [name for name in order if others[name].zone != zone]
    picked = same_zone[:ZONE_PICKS]
    picked += other_zones[: TOTAL_PICKS - len(picked)]
    picked += same_zone[ZONE_PICKS : ZONE_PICKS + TOTAL_PICKS - len(picked)]
    return [others[name] for name in picked]
