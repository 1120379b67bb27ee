"""Determines which hosts take part in transfers of weights: the replicas' daemons and the mirrors.

Daemons are known from the list of replicas. Mirrors are not listed: each one announces itself to
every daemon once a second, and asks a few daemons which other mirrors they know.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from headcross_base.monotonic import monotonic
from headcross_native.hostlist import Host, HostList
from headcross_ports.published import LoadedModel, Replica
from headcross_wire.peermessages import MirrorLocation

# A mirror without an announcement for this long is dropped.
MIRROR_EXPIRY_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class SwarmPorts:
    """The ports that processes listen on, the same on all hosts."""

    control: int
    swarm: int


class MirrorRegistry:
    """The mirrors that were announced to this process recently."""

    def __init__(self) -> None:
        self._announced_at: dict[MirrorLocation, float] = {}

    def record(self, location: MirrorLocation) -> None:
        """Record an announcement of a mirror, received now."""
        self._announced_at[location] = monotonic()

    def known(self) -> list[MirrorLocation]:
        """Return the mirrors that have not expired, sorted by IP address.

        >>> registry = MirrorRegistry()
        >>> registry.record(MirrorLocation("10.0.0.2", "a"))
        >>> registry.record(MirrorLocation("10.0.0.1", "a"))
        >>> [location.ip for location in registry.known()]
        ['10.0.0.1', '10.0.0.2']
        """
        oldest = monotonic() - MIRROR_EXPIRY_SECONDS
        self._announced_at = {m: at for m, at in self._announced_at.items() if at >= oldest}
        return sorted(self._announced_at, key=lambda location: location.ip)


def upload_seconds(
    weights_bytes: int, daemons: int, mirrors: int, bytes_per_second: float
) -> float:
    """Return how many seconds one mirror needs to send a version to its share of the daemons.

    >>> upload_seconds(2_000_000, daemons=6, mirrors=3, bytes_per_second=1_000_000)
    4.0
    """
    return weights_bytes * daemons / max(1, mirrors) / bytes_per_second


def swarm_hosts(
    replicas: Iterable[Replica],
    mirrors: Iterable[MirrorLocation],
    region_of_zone: dict[str, str],
    ports: SwarmPorts,
) -> HostList:
    """Return all hosts that may take part in a transfer, each named by its IP address."""
    hosts: dict[str, Host] = {}
    for mirror in mirrors:
        control = f"{mirror.ip}:{ports.control}"
        hosts[mirror.ip] = Host(
            name=mirror.ip,
            role="entry",
            region=region_of_zone.get(mirror.zone, mirror.zone),
            zone=mirror.zone,
            control=control,
            http=control,
            swarm=f"{mirror.ip}:{ports.swarm}",
        )
    for replica in replicas:
        ip = replica.address.ip
        hosts[ip] = Host(
            name=ip,
            role="upstream",
            region=region_of_zone.get(replica.zone, replica.zone),
            zone=replica.zone,
            control=f"{ip}:{ports.control}",
            http=str(replica.address),
            swarm=f"{ip}:{ports.swarm}",
        )
    return HostList(list(hosts.values()))


def has_loaded(replica: Replica, goal: LoadedModel) -> bool:
    """Return whether a replica has loaded a version or a newer one of the same model."""
    return any(
        loaded.model == goal.model and loaded.version >= goal.version for loaded in replica.loaded
    )


def holds_exactly(replica: Replica, goal: LoadedModel) -> bool:
    """Return whether a replica has loaded a version, so that its daemon has the chunks."""
    return goal in replica.loaded


def replicas_in_region_of(
    zone: str, replicas: Iterable[Replica], region_of_zone: dict[str, str]
) -> list[Replica]:
    """Return the replicas in the region that a zone belongs to.

    >>> replicas_in_region_of("a", [], {"a": "r"})
    []
    """
    region = region_of_zone.get(zone)
    return [replica for replica in replicas if region_of_zone.get(replica.zone) == region]


def replicas_with_digests(replicas: Iterable[Replica], goal: LoadedModel) -> list[Replica]:
    """Return the replicas whose daemons are known to have a version's digests, or all if none is.

    A daemon has the digests if its replica serves the version. A daemon that was just added does
    not have them, and asking it delays other added replicas by 0.35 s.
    """
    all_replicas = list(replicas)
    return [replica for replica in all_replicas if has_loaded(replica, goal)] or all_replicas
