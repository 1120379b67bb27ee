"""Chooses the replicas whose load an entry subscribes to: all in a small fleet, else a subset.

If every daemon reported to every entry seven times a second, 35 entries and 60 replicas would
exchange 14,000 messages a second, more than the processes can handle and four fifths of them
between regions. With subsets of a fixed size, the number of reports that an entry receives and
that a daemon sends does not grow with the fleet. Rendezvous hashing gives each entry a subset of
its own that hardly changes when replicas come and go, and spreads the entries over the replicas.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from headcross_base.addresses import Address
from headcross_base.hashing import rendezvous_order, rendezvous_weight
from headcross_ports.published import Replica

# Number of replicas in the subset of one entry. With 7 reports a second from each daemon, an entry
# receives 160 a second. In fleets of up to this size every entry subscribes to all replicas.
SUBSET_SIZE: Final = 24
# Maximum number of replicas of the subset that are in the entry's own zone, which is preferred
# because traffic between zones is charged and slower. The others are used when the own zone is
# full or down.
OWN_ZONE_SIZE: Final = 16


def choose_subset(
    host: str,
    zone: str,
    replicas: Iterable[Replica],
    is_usable: Callable[[Replica], bool],
) -> set[str]:
    """Return the ids of the replicas in the subset of the entry on a host.

    Usable replicas come first, those of the entry's own zone before others. Unusable ones fill up
    the subset, since they may become usable soon.
    """
    all_replicas = list(replicas)
    if len(all_replicas) <= SUBSET_SIZE:
        return {replica.id for replica in all_replicas}
    order = rendezvous_order(host, (replica.id for replica in all_replicas))
    by_id = {replica.id: replica for replica in all_replicas}
    usable = [replica_id for replica_id in order if is_usable(by_id[replica_id])]
    own_zone = [replica_id for replica_id in usable if by_id[replica_id].zone == zone][
        :OWN_ZONE_SIZE
    ]
    other_zones = [replica_id for replica_id in usable if by_id[replica_id].zone != zone]
    return set(_first_unique(SUBSET_SIZE, [own_zone, other_zones, usable, order]))


def every_other(addresses: Iterable[Address], round_number: int) -> list[Address]:
    """Return about half of the addresses; two successive rounds cover all, in any order.

    >>> both = [Address("10.0.0.1", 1), Address("10.0.0.2", 1), Address("10.0.0.3", 1)]
    >>> sorted(every_other(both, 1) + every_other(both, 2)) == both
    True
    """
    return [a for a in addresses if (rendezvous_weight("", a.ip) + round_number) % 2]


def _first_unique(count: int, lists: Sequence[list[str]]) -> list[str]:
    """Return the first `count` distinct strings of the concatenated lists."""
    unique = dict.fromkeys(string for strings in lists for string in strings)
    return list(unique)[:count]
