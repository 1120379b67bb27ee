"""Reads the administration API of daemons, the only interface that this tool calls."""

from dataclasses import dataclass
from typing import Final

import msgspec
from headcross_base.addresses import Address
from headcross_base.decoding import Int64, JsonDecoder, parse_whole_number
from headcross_base.errorcodes import SOURCE_FAILED
from headcross_base.errors import Failure, Ok
from headcross_base.version import ADMIN_API
from headcross_fleet.fleetfile import EMPTY_FLEET, FleetFile, parse_fleet_file
from headcross_native.hostlist import EMPTY_HOST_LIST, HostList, parse_host_list
from headcross_wire.httpclient import call
from headcross_wire.httpcodec import WholeAnswer

READ_TIMEOUT_SECONDS: Final = 5.0
MAX_PAGE_BYTES: Final = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class InForce:
    """The documents in force at one daemon."""

    fleet: FleetFile
    hosts: HostList
    revision: int


class UpstreamRow(msgspec.Struct):
    """One upstream as reported by a daemon; unknown fields are ignored."""

    upstream: str
    host: str
    state: str
    pool: str
    digest: str
    revision: Int64
    progress: float
    silent: bool = False


class _UpstreamPage(msgspec.Struct):
    upstreams: list[UpstreamRow]


_UPSTREAM_PAGE: Final = JsonDecoder(_UpstreamPage, MAX_PAGE_BYTES, SOURCE_FAILED)


async def read_page(address: Address, page: str) -> Ok[WholeAnswer] | Failure:
    """Return one page of the API; any status but 200 is a failure."""
    outcome = await call(
        address,
        "GET",
        f"/{ADMIN_API}/{page}",
        seconds=READ_TIMEOUT_SECONDS,
        max_bytes=MAX_PAGE_BYTES,
    )
    if isinstance(outcome, Failure):
        return outcome
    if outcome.value.status != 200:
        return Failure(SOURCE_FAILED, f"{address}/{page}: status {outcome.value.status}")
    return outcome


async def read_upstreams(address: Address) -> Ok[list[UpstreamRow]] | Failure:
    """Return the upstreams known to a daemon."""
    outcome = await read_page(address, "upstreams")
    if isinstance(outcome, Failure):
        return outcome
    decoded = _UPSTREAM_PAGE.decode(outcome.value.body)
    if isinstance(decoded, Failure):
        return Failure(decoded.reason, f"{address}/upstreams: {decoded.detail}")
    return Ok(decoded.value.upstreams)


async def read_in_force(address: Address) -> Ok[InForce] | Failure:
    """Return the documents in force at a daemon; the fleet file is empty if none is."""
    fleet = await read_page(address, "fleet")
    hosts = await read_page(address, "hosts")
    if isinstance(fleet, Failure):
        return fleet
    if isinstance(hosts, Failure):
        return hosts
    parsed_fleet = parse_fleet_file(fleet.value.body)
    parsed_hosts = parse_host_list(hosts.value.body) if hosts.value.body else Ok(EMPTY_HOST_LIST)
    if isinstance(parsed_fleet, Failure):
        return parsed_fleet
    if isinstance(parsed_hosts, Failure):
        return parsed_hosts
    revision = parse_whole_number(dict(fleet.value.headers).get("revision", ""))
    fleet_file = parsed_fleet.value if revision else EMPTY_FLEET
    return Ok(InForce(fleet_file, parsed_hosts.value, revision or 0))
