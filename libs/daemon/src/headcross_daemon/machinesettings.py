"""Reads the settings of a process on machines whose platform publishes what is to run.

The settings are one TOML file, which is validated completely: unknown keys are rejected, and every
address must be an IP address with a port.
"""

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Final, Literal

import msgspec
from headcross_base.addresses import Address, parse_address
from headcross_base.errorcodes import SETTINGS_INVALID
from headcross_base.errors import Failure, Ok
from headcross_base.units import BITS_PER_BYTE, MEGABYTE

from headcross_daemon.settingsfile import read_settings_file

if TYPE_CHECKING:
    from headcross_facts.bounds import FactBounds

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Common options of all sections."""


class ListenSection(_Section, frozen=True, kw_only=True):
    """Where this process listens, IP:PORT; addresses that the role does not use may be empty."""

    callers: str = ""  # entry: requests
    readiness: str = ""  # entry: readiness checks of the platform
    peers: Text  # messages from other daemons of the system
    swarm: str = ""  # chunks of weights; an entry without it mirrors no weights
    metrics: str = ""  # metrics and the state dump; empty for none


class PeersSection(_Section, frozen=True, kw_only=True):
    """How other daemons are found."""

    seeds: list[str] = []  # peer addresses of some entries, which may be down
    control_port: Port  # of the daemon beside a replica, on the replica's machine
    swarm_port: Port  # of the same daemon, for chunks


class ReplicaSection(_Section, frozen=True, kw_only=True):
    """The replica beside this daemon."""

    address: Text  # as in the list of replicas
    service: Text


class StoreSection(_Section, frozen=True, kw_only=True):
    """The store where the platform publishes."""

    address: Text


class LimitsSection(_Section, frozen=True, kw_only=True):
    """Resources that this process may use."""

    memory_mb: Annotated[float, msgspec.Meta(gt=0)]
    descriptors: Annotated[int, msgspec.Meta(ge=64)]
    link_mbits: Annotated[float, msgspec.Meta(gt=0)]  # per second, in each direction

    @property
    def memory_bytes(self) -> float:
        """The memory, in bytes."""
        return self.memory_mb * MEGABYTE

    @property
    def link_bytes_per_second(self) -> float:
        """The link's rate in each direction, in bytes per second."""
        return self.link_mbits * MEGABYTE / BITS_PER_BYTE


class BoundsSection(_Section, frozen=True, kw_only=True):
    """Bounds set by the operators."""

    # A named version must have replaced the older one within this time.
    weights_milliseconds: Annotated[float, msgspec.Meta(gt=0)] = 8000.0
    # A new configuration must be in force everywhere within this time.
    configuration_milliseconds: Annotated[float, msgspec.Meta(gt=0)] = 2000.0
    # A leaving replica must get no new requests after this time.
    leaving_milliseconds: Annotated[float, msgspec.Meta(gt=0)] = 2000.0
    # These bounds apply to a process once the platform's store has answered it for this long.
    reached_milliseconds: Annotated[float, msgspec.Meta(gt=0)] = 3000.0
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.2
    retry_slack: Annotated[float, msgspec.Meta(ge=0)] = 100.0
    stop_seconds: Seconds = 8.0  # from a stop signal to the end of the process

    @property
    def weights_seconds(self) -> float:
        """The bound on old weights, in seconds."""
        return self.weights_milliseconds / 1000

    @property
    def fact_bounds(self) -> "FactBounds":
        """The bounds on the age of facts from the platform."""
        from headcross_facts.bounds import FactBounds

        return FactBounds(
            configuration=self.configuration_milliseconds / 1000,
            leaving=self.leaving_milliseconds / 1000,
            reached=self.reached_milliseconds / 1000,
        )


class MachineSettings(_Section, frozen=True, kw_only=True):
    """The contents of a settings file."""

    host: Text  # unique in the fleet
    role: Literal["entry", "upstream"]
    ip: Text
    zone: Text
    region: Text
    zones: dict[str, str] = {}  # all zones, each with its region
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    listen: ListenSection
    peers: PeersSection
    replica: ReplicaSection | None = None
    store: StoreSection
    limits: LimitsSection
    bounds: BoundsSection = BoundsSection()

    @property
    def seed_addresses(self) -> list[Address]:
        """The peer addresses of some entries."""
        return [parse_address(seed) for seed in self.peers.seeds]

    @property
    def replica_address(self) -> Address | None:
        """The address of the replica beside this daemon, None if there is none."""
        return None if self.replica is None else parse_address(self.replica.address)


REQUIRED_ADDRESSES: Final = {
    "entry": ("listen.callers", "listen.readiness"),
    "upstream": ("listen.swarm", "replica.address"),
}


def read_machine_settings(path: Path) -> Ok[MachineSettings] | Failure:
    """Read and validate a settings file; a failure's detail gives file, field and reason."""
    settings = read_settings_file(path, MachineSettings)
    if isinstance(settings, Failure):
        return settings
    problem = _find_problem(settings.value)
    return Failure(SETTINGS_INVALID, f"{path}: {problem}") if problem else settings


def _find_problem(settings: MachineSettings) -> str:
    addresses = _addresses(settings)
    for field, text in addresses.items():
        try:
            parse_address(text)
        except ValueError as error:
            return f"{field}: {error}"
    missing = [field for field in REQUIRED_ADDRESSES[settings.role] if field not in addresses]
    return f"{missing[0]}: needed by the role {settings.role}" if missing else ""


def _addresses(settings: MachineSettings) -> dict[str, str]:
    """Return the addresses that are not empty, by field."""
    listen: dict[str, Any] = msgspec.structs.asdict(settings.listen)
    addresses = {f"listen.{name}": text for name, text in listen.items()}
    addresses |= {f"peers.seeds[{i}]": seed for i, seed in enumerate(settings.peers.seeds)}
    addresses["store.address"] = settings.store.address
    if settings.replica is not None:
        addresses["replica.address"] = settings.replica.address
    return {field: text for field, text in addresses.items() if text}
