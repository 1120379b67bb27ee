"""Which hosts take part in moving weights: the daemons beside replicas, and the mirrors.

Daemons are found by the list of replicas. Mirrors are in no list: each tells every daemon about
itself once a second, and asks a few of them which others they heard of.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from headcross_base.clocks import monotonic
from headcross_native.hostlist import Host, HostList
from headcross_ports.published import LoadedModel, Replica
from headcross_wire.peermessages import MirrorPlace

# A mirror that nobody heard of for so long is no longer counted on.
HEARD_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class SwarmPorts:
    """Where processes listen; the same on all machines."""

    control: int
    swarm: int


class MirrorBook:
    """The mirrors that one process heard of lately."""

    def __init__(self) -> None:
        self._heard_at: dict[MirrorPlace, float] = {}

    def hear(self, place: MirrorPlace) -> None:
        """Note that a mirror is there."""
        self._heard_at[place] = monotonic()

    def known(self) -> list[MirrorPlace]:
        """Return the mirrors heard of lately, in an order of their own.

        >>> book = MirrorBook()
        >>> book.hear(MirrorPlace("10.0.0.2", "a")); book.hear(MirrorPlace("10.0.0.1", "a"))
        >>> [place.ip for place in book.known()]
        ['10.0.0.1', '10.0.0.2']
        """
        horizon = monotonic() - HEARD_SECONDS
        self._heard_at = {p: at for p, at in self._heard_at.items() if at >= horizon}
        return sorted(self._heard_at, key=lambda place: place.ip)


def hand_out_seconds(
    weights_bytes: int, daemons: int, mirrors: int, bytes_per_second: float
) -> float:
    """Return how long a mirror sends until its share of the daemons has a version.

    >>> hand_out_seconds(2_000_000, daemons=6, mirrors=3, bytes_per_second=1_000_000)
    4.0
    """
    return weights_bytes * daemons / max(1, mirrors) / bytes_per_second


def swarm_hosts(
    replicas: Iterable[Replica],
    mirrors: Iterable[MirrorPlace],
    region_of_zone: dict[str, str],
    ports: SwarmPorts,
) -> HostList:
    """Return all that may take part in a transfer, each under its IP number."""
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
    """Tell whether a replica serves a version, or a newer one."""
    return any(
        loaded.model == goal.model and loaded.version >= goal.version for loaded in replica.loaded
    )


def replicas_in_region_of(
    zone: str, replicas: Iterable[Replica], region_of_zone: dict[str, str]
) -> list[Replica]:
    """Return the replicas of a zone's region.

    >>> replicas_in_region_of("a", [], {"a": "r"})
    []
    """
    region = region_of_zone.get(zone)
    return [replica for replica in replicas if region_of_zone.get(replica.zone) == region]


def knowing_digests(replicas: Iterable[Replica], goal: LoadedModel) -> list[Replica]:
    """Return the replicas whose daemons know a version's digests, or all if none is known to.

    A daemon whose replica serves the version has them. One that was just added has not, and asking
    it cost other added replicas 0.35 s.
    """
    everyone = list(replicas)
    return [replica for replica in everyone if has_loaded(replica, goal)] or everyone
