"""Reads the TOML settings file of one daemon and validates it completely before the start.

docs/operators/settings.md describes every field for operators; a test checks that it names each.
Sizes are in bytes, times in seconds, rates in bytes per second; addresses are IP:PORT.
"""

import ipaddress
from pathlib import Path
from typing import Annotated

import msgspec
from headcross_base.addresses import parse_address
from headcross_base.errorcodes import SETTINGS_INVALID
from headcross_base.errors import Failure, Ok
from headcross_base.logs import LEVELS
from headcross_base.units import GIB, MIB
from headcross_native.hostlist import Role, UpstreamKind

from headcross_daemon.settingsfile import read_settings_file

Positive = Annotated[int, msgspec.Meta(ge=1)]
Rate = Annotated[float, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Common options of all tables."""


class Listen(_Table, frozen=True, kw_only=True):
    """Where the daemon listens; the host list publishes the same addresses to others."""

    control: str  # control channel, from daemons
    http: str  # requests: from callers (entry) or from entries (upstream)
    admin: str  # administration API, from operators
    swarm: str = ""  # chunks, from upstream daemons; upstream role only
    weights: str = ""  # weights for the engines beside it, on loopback; upstream role only
    source_ip: str = ""  # source IP address of outgoing connections; empty for any


class Platform(_Table, frozen=True, kw_only=True):
    """Addresses of the platform's services."""

    config: Annotated[list[str], msgspec.Meta(min_length=1)]  # configuration service
    peers: list[str] = []  # control addresses asked if the service is down at a start
    store: str = ""  # weight store, tried first; empty if there is none
    origin: str = ""  # origin of weights; upstream role only


class Weights(_Table, frozen=True, kw_only=True):
    """Bounds on the memory and bandwidth for weights, separate from memory for control."""

    memory_bytes: Positive = 64 * GIB
    uplink_bytes_per_second: Rate = 0.0  # bound on sending chunks; 0 for none
    downlink_bytes_per_second: Rate = 0.0
    burst_bytes: Positive = 4 * MIB  # size of a burst on an idle link


class Upstream(_Table, frozen=True, kw_only=True):
    """An upstream beside the daemon."""

    name: str
    kind: UpstreamKind
    address: str
    service: str = ""  # the plain service that it belongs to
    max_concurrent: Positive = 64  # requests handed over concurrently
    max_queued: Annotated[int, msgspec.Meta(ge=0)] = 256


class Limits(_Table, frozen=True, kw_only=True):
    """Bounds on connections and requests of callers."""

    max_body_bytes: Positive = 8 * MIB
    receive_seconds: Seconds = 20.0  # for a complete request
    write_seconds: Seconds = 30.0  # for a caller to accept a piece of an answer
    max_connections: Positive = 4096


class Ledger(_Table, frozen=True, kw_only=True):
    """Bounds on the ledgers of requests and keys."""

    entries: Positive = 200_000
    # How long a key is remembered, and thus how long callers may resubmit it.
    remember_seconds: Seconds = 120.0


class Stop(_Table, frozen=True, kw_only=True):
    """A planned stop (SIGTERM)."""

    # How long an entry still serves after it reports unhealthy, so that load balancers notice.
    notice_seconds: Seconds = 3.0
    # How long running requests may take to end; then resumable streams move to other upstreams.
    drain_seconds: Seconds = 60.0
    # Total time after which the process exits, even if requests are still running.
    limit_seconds: Seconds = 300.0


class Settings(_Table, frozen=True, kw_only=True):
    """The contents of a settings file."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=63)]  # of this host
    role: Role
    region: str
    zone: str  # availability zone
    listen: Listen
    platform: Platform
    log_level: str = "info"
    weights: Weights = Weights()
    upstreams: list[Upstream] = []
    limits: Limits = Limits()
    ledger: Ledger = Ledger()
    stop: Stop = Stop()


def read_settings(path: Path) -> Ok[Settings] | Failure:
    """Read and validate a settings file; a failure names file, field and reason."""
    settings = read_settings_file(path, Settings)
    if isinstance(settings, Failure):
        return settings
    problem = _find_problem(settings.value)
    return settings if problem is None else Failure(SETTINGS_INVALID, f"{path}: {problem}")


def _find_problem(settings: Settings) -> str | None:
    """Return the first problem that the types of the fields do not exclude, or None."""
    if settings.log_level not in LEVELS:
        return f"log_level: one of {', '.join(LEVELS)}"
    for field, text in _addresses(settings):
        try:
            parse_address(text)
        except ValueError as error:
            return f"{field}: {error}"
    if settings.listen.source_ip:
        try:
            ipaddress.ip_address(settings.listen.source_ip)
        except ValueError as error:
            return f"listen.source_ip: {error}"
    if settings.role == "entry":
        return "upstreams: an entry has none" if settings.upstreams else None
    return _find_upstream_problem(settings)


def _find_upstream_problem(settings: Settings) -> str | None:
    for field in ("swarm", "weights"):
        if not getattr(settings.listen, field):
            return f"listen.{field}: needed in the role upstream"
    if not settings.upstreams:
        return "upstreams: needed in the role upstream"
    names = [upstream.name for upstream in settings.upstreams]
    if len(set(names)) != len(names):
        return "upstreams: a name stands twice"
    has_models = any(upstream.kind == "model" for upstream in settings.upstreams)
    if has_models and not (settings.platform.origin or settings.platform.store):
        return "platform.origin: needed with model upstreams"
    for index, upstream in enumerate(settings.upstreams):
        if (upstream.kind == "plain") != bool(upstream.service):
            return f"upstreams[{index}].service: given for plain upstreams, and only for them"
    return None


def _addresses(settings: Settings) -> list[tuple[str, str]]:
    """Return the addresses that are not empty, each with the name of its field."""
    listen, platform = settings.listen, settings.platform
    addresses = [
        ("listen.control", listen.control),
        ("listen.http", listen.http),
        ("listen.admin", listen.admin),
        ("listen.swarm", listen.swarm),
        ("listen.weights", listen.weights),
        ("platform.store", platform.store),
        ("platform.origin", platform.origin),
    ]
    addresses += [(f"platform.config[{i}]", text) for i, text in enumerate(platform.config)]
    addresses += [(f"platform.peers[{i}]", text) for i, text in enumerate(platform.peers)]
    addresses += [(f"upstreams[{i}].address", u.address) for i, u in enumerate(settings.upstreams)]
    return [(field, text) for field, text in addresses if text]
