"""Computes which hosts import a chunk from the origin or from another region.

All hosts that need an artifact compute the same order for each chunk by rendezvous hash. The first
`origin_copies` hosts of the order import the chunk from the store or origin at once. In every
region without one of these, the first host of the region fetches it from them. All other hosts
wait for a neighbour to offer it. The next hosts in the order are stand-ins: they ask the hosts
before them and take over when those stay silent, so that a dead host delays the chunk by
seconds and does not cause a read from the origin by every other host.

The links of mirrors carry no other traffic, so mirrors come first in each order. The stand-ins are
other hosts, since all mirrors may fail at once.

The order is computed for buckets of chunks, since 2,000 hosts times 10,000 chunks would be too
many hashes for one process. With up to `BUCKETS` chunks, each chunk has its own order.
"""

import heapq
from dataclasses import dataclass
from typing import Final

from headcross_base.hashing import rendezvous_weight
from headcross_native.hostlist import Host

BUCKETS: Final = 256
# Number of stand-ins after the first hosts of an order.
STAND_IN_COUNT: Final = 4

# The manifest is imported like a chunk and has its own order under this index.
MANIFEST_INDEX: Final = -1


@dataclass(frozen=True, slots=True)
class ChunkDuty:
    """The role of this host in importing one chunk."""

    # 0 for a host that imports the chunk at once, n for the n-th stand-in, None for other hosts.
    rank: int | None
    # Hosts before this one in the order; it asks them whether they are importing the chunk.
    predecessors: tuple[str, ...]
    # Whether the chunk comes from a host in another region rather than from the origin.
    from_peer: bool


class ImportOrder:
    """The import orders of the chunks of one artifact, from the view of one host."""

    def __init__(self, artifact: str, hosts: list[Host], me: str, origin_copies: int) -> None:
        self._artifact = artifact
        self._hosts = hosts
        self._me = me
        self._copies = max(1, origin_copies)
        self._region_of = {host.name: host.region for host in hosts}
        self._region = next((host.region for host in hosts if host.name == me), "")
        self._duties: dict[int, ChunkDuty] = {}

    def duty(self, index: int) -> ChunkDuty:
        """Return this host's duty for a chunk, or for the manifest at MANIFEST_INDEX."""
        bucket = index if index == MANIFEST_INDEX else index % BUCKETS
        if bucket not in self._duties:
            self._duties[bucket] = self._compute(bucket)
        return self._duties[bucket]

    def is_same_region(self, host: str) -> bool:
        """Return whether a host is in the region of this host.

        True for hosts that are not known to need the artifact, and for all hosts if this host is
        not known to need it.
        """
        return not self._region or self._region_of.get(host, self._region) == self._region

    def _compute(self, bucket: int) -> ChunkDuty:
        key = f"{self._artifact} {bucket}"
        ranked = self._first_in_order(key, self._hosts)
        importing_hosts = ranked[: self._copies]
        if self._me in ranked:
            position = ranked.index(self._me)
            if position < self._copies:
                return ChunkDuty(0, (), from_peer=False)
        has_importing_host = any(
            host.region == self._region for host in self._hosts if host.name in importing_hosts
        )
        if has_importing_host or not self._region:
            return _stand_in_duty(self._me, ranked, self._copies, from_peer=False)
        local_hosts = [host for host in self._hosts if host.region == self._region]
        local = self._first_in_order(key, local_hosts)
        if local[0] == self._me:
            return ChunkDuty(0, tuple(ranked), from_peer=True)
        return _stand_in_duty(self._me, local, 1, from_peer=True)

    def _first_in_order(self, key: str, hosts: list[Host]) -> list[str]:
        """Return the names of the importing hosts and the stand-ins among `hosts`, in order."""

        def weight(name: str) -> int:
            return rendezvous_weight(key, name)

        count = self._copies + STAND_IN_COUNT
        mirrors = (host.name for host in hosts if host.is_mirror)
        others = (host.name for host in hosts if not host.is_mirror)
        first = heapq.nlargest(self._copies, mirrors, key=weight)
        return first + heapq.nlargest(count - len(first), others, key=weight)


def _stand_in_duty(
    me: str, order: list[str], importing_count: int, *, from_peer: bool
) -> ChunkDuty:
    """Return the duty of a host that is not among the first `importing_count` of an order."""
    if me not in order:
        return ChunkDuty(None, (), from_peer)
    position = order.index(me)
    return ChunkDuty(position - importing_count + 1, tuple(order[:position]), from_peer)
