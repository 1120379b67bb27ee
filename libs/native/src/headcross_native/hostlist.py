"""Parses the platform's list of live and leaving hosts, which lags behind their actual state.

Assumed format (the real one is not specified yet): a JSON document of the configuration service,
validated by msgspec. It lists every host that runs a daemon with the daemon's addresses and, for
an upstream daemon, the upstreams on that host.
"""

from typing import Final, Literal

import msgspec
from headcross_base.addresses import Address, parse_address
from headcross_base.decoding import JsonDecoder
from headcross_base.errorcodes import FILE_REJECTED
from headcross_base.errors import Failure, Ok

Role = Literal["entry", "upstream"]
UpstreamKind = Literal["model", "plain"]


class HostUpstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One upstream of a host."""

    name: str  # unique in the fleet
    kind: UpstreamKind
    service: str = ""  # the plain service it belongs to; empty for model engines


class Host(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One host that runs a daemon."""

    name: str
    role: Role
    region: str
    zone: str  # availability zone, unique across regions
    control: str  # control channel, IP:PORT
    http: str  # requests from entries, IP:PORT
    swarm: str = ""  # swarm channel, IP:PORT; empty for entries that do not mirror weights
    leaving: bool = False  # the platform is about to remove the host
    upstreams: list[HostUpstream] = []

    @property
    def control_address(self) -> Address:
        """Parsed address of the control channel."""
        return parse_address(self.control)

    @property
    def is_mirror(self) -> bool:
        """Whether it stores weights only to upload them; its link carries no other traffic."""
        return self.role == "entry" and bool(self.swarm)

    @property
    def swarm_address(self) -> Address:
        """Parsed address of the swarm channel; only valid for upstream hosts and mirrors."""
        return parse_address(self.swarm)

    @property
    def http_address(self) -> Address:
        """Parsed address that entries send requests to."""
        return parse_address(self.http)


class HostList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All hosts known to the platform."""

    hosts: list[Host]

    def find(self, name: str) -> Host | None:
        """Return the host with that name, or None."""
        return next((host for host in self.hosts if host.name == name), None)


EMPTY_HOST_LIST: Final = HostList([])

# The largest document that the configuration service holds.
MAX_LIST_BYTES: Final = 1024 * 1024
_DECODER: Final = JsonDecoder(HostList, MAX_LIST_BYTES, FILE_REJECTED)


def parse_host_list(body: bytes) -> Ok[HostList] | Failure:
    """Parse and validate a host list; a single invalid host rejects the entire list."""
    decoded = _DECODER.decode(body)
    if isinstance(decoded, Failure):
        return Failure(decoded.reason, f"host list: {decoded.detail}")
    hosts = decoded.value
    try:
        for host in hosts.hosts:
            _check_host(host)
    except ValueError as error:
        return Failure(FILE_REJECTED, f"host list: {error}")
    names = [host.name for host in hosts.hosts]
    names += [upstream.name for host in hosts.hosts for upstream in host.upstreams]
    if len(set(names)) != len(names):
        return Failure(FILE_REJECTED, "host list: a name stands twice")
    return Ok(hosts)


def _check_host(host: Host) -> None:
    parse_address(host.control)
    parse_address(host.http)
    if host.role == "upstream":
        parse_address(host.swarm)
