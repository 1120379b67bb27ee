"""Parses and validates the fleet file, which defines pools, services, teams and routes in TOML.

The types below are the file's schema. `parse_fleet_file` is a pure function of the bytes, so every
process accepts or rejects a file alike; anything that depends on the current hosts (such as too
few of them) is not checked here. Each error names the field and the reason.
"""

from collections.abc import Iterator
from typing import Annotated, Any, Final

import msgspec
from headcross_base.decoding import decode_toml
from headcross_base.errorcodes import FILE_REJECTED
from headcross_base.errors import Failure, Ok

MAX_FILE_BYTES: Final = 1024 * 1024  # the configuration service's limit for a value
MAX_TABLE_ENTRIES: Final = 1000  # entries of each table: models, pools, teams, ...

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of all tables: unknown fields are rejected."""


class Weights(_Table, frozen=True, kw_only=True):
    """The weights of one version of a model or an adapter."""

    digest: Digest  # SHA-256 of the manifest, as `headcross manifest` prints it
    weights: Name  # name of the weights at the store and the origin


class Model(_Table, frozen=True, kw_only=True):
    """A model and the weights of its versions."""

    versions: dict[Name, Weights]


class Adapter(_Table, frozen=True, kw_only=True):
    """An adapter (a small set of weights on top of a model) and its versions."""

    model: Name
    versions: dict[Name, Weights]


class Pool(_Table, frozen=True, kw_only=True):
    """Replicas of one model version, and how they are rolled out to another one."""

    model: Name
    version: Name
    adapters: dict[Name, Name] = {}  # version by adapter
    replicas: Count
    zones: Annotated[list[Name], msgspec.Meta(min_length=1, max_length=64)]
    # Number of hosts of the pool that fetch each chunk from the origin: 1 keeps the load on the
    # origin lowest, a higher number saves time when one of these hosts is slow.
    origin_copies: Annotated[int, msgspec.Meta(ge=1, le=16)] = 1
    max_unavailable: Count = 1  # replicas that may be unavailable at once during a rollout
    # Time for the requests of a leaving replica to end; after that, streams that can be resumed
    # continue at another replica.
    drain_seconds: Seconds = 60.0
    # Time without heartbeats after which a spare replaces a silent replica.
    stand_in_seconds: Seconds = 30.0


class Service(_Table, frozen=True, kw_only=True):
    """A plain service; the host list names its upstreams."""

    drain_seconds: Seconds = 60.0


class Team(_Table, frozen=True, kw_only=True):
    """A team and its limits for the whole fleet; each entry enforces its share of them."""

    requests_per_second: Rate
    burst: Count = 20
    max_in_flight: Count = 100
    weight: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1  # relative share of a busy upstream
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5  # 0 is highest; passed to engines


class Route(_Table, frozen=True, kw_only=True):
    """Maps the requests under a path to a pool or a service."""

    path: Annotated[str, msgspec.Meta(pattern=r"^/[!-~]*$", max_length=512)]  # path prefix
    pool: Name | None = None
    service: Name | None = None
    repeatable: bool = False  # whether a POST may run twice unless its caller says otherwise
    deadline_seconds: Annotated[float, msgspec.Meta(gt=0, le=86_400)] = 60.0
    teams: list[Name] | None = None  # who may use it; None for every team


class FleetFile(_Table, frozen=True, kw_only=True):
    """The top level of the fleet file."""

    models: dict[Name, Model] = {}
    adapters: dict[Name, Adapter] = {}
    pools: dict[Name, Pool] = {}
    services: dict[Name, Service] = {}
    teams: dict[Name, Team] = {}
    routes: list[Route] = []


class Artifact(_Table, frozen=True, kw_only=True):
    """Weights as they are transferred: a name at the origin and the digest of the manifest."""

    name: str
    digest: str


EMPTY_FLEET: Final = FleetFile()
_TABLE_TYPES: Final[dict[str, type[_Table]]] = {
    "models": Model,
    "adapters": Adapter,
    "pools": Pool,
    "services": Service,
    "teams": Team,
}


def parse_fleet_file(body: bytes) -> Ok[FleetFile] | Failure:
    """Parse and validate a fleet file; a failure's detail gives the first bad field and why."""
    raw = decode_toml(body, MAX_FILE_BYTES)
    if isinstance(raw, Failure):
        return Failure(FILE_REJECTED, f"file: {raw.detail}")
    try:
        fleet = _convert_file(raw.value)
    except _FieldError as error:
        return Failure(FILE_REJECTED, str(error))
    problem = next(_problems(fleet), None)
    return Ok(fleet) if problem is None else Failure(FILE_REJECTED, problem)


def pool_artifacts(fleet: FleetFile, pool: Pool) -> list[Artifact]:
    """Return the weights of a replica of `pool`: the model's first, then its adapters'."""
    model = fleet.models[pool.model].versions[pool.version]
    artifacts = [Artifact(name=model.weights, digest=model.digest)]
    for adapter, version in sorted(pool.adapters.items()):
        weights = fleet.adapters[adapter].versions[version]
        artifacts.append(Artifact(name=weights.weights, digest=weights.digest))
    return artifacts


class _FieldError(Exception):
    """A field is invalid; the text is `field: reason`."""


def _convert_file(raw: dict[str, Any]) -> FleetFile:
    unknown = sorted(set(raw) - set(_TABLE_TYPES) - {"routes"})
    if unknown:
        raise _FieldError(f"{unknown[0]}: no such table")
    tables: dict[str, Any] = {}
    for table, entry_type in _TABLE_TYPES.items():
        entries: dict[str, Any] = _convert(table, raw.get(table, {}), dict[str, Any])
        if len(entries) > MAX_TABLE_ENTRIES:
            raise _FieldError(f"{table}: {len(entries)} entries, at most {MAX_TABLE_ENTRIES}")
        tables[table] = {
            _convert(f"{table}.{name}", name, Name): _convert(f"{table}.{name}", value, entry_type)
            for name, value in entries.items()
        }
    routes: list[Any] = _convert("routes", raw.get("routes", []), list[Any])
    tables["routes"] = [
        _convert(f"routes[{index}]", route, Route) for index, route in enumerate(routes)
    ]
    return FleetFile(**tables)


def _convert(field: str, value: object, target_type: Any) -> Any:  # noqa: ANN401
    """Convert and validate the value of a field; raise _FieldError if it is invalid."""
    try:
        return msgspec.convert(value, target_type)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$")
        raise _FieldError(f"{field}{path.rstrip('`')}: {reason}") from None


def _problems(fleet: FleetFile) -> Iterator[str]:
    """Yield the errors that span several fields: undefined names and impossible counts."""
    yield from _adapter_problems(fleet)
    for name, pool in fleet.pools.items():
        yield from _pool_problems(fleet, f"pools.{name}", pool)
    yield from _route_problems(fleet)
    yield from _artifact_problems(fleet)
    shared_names = sorted(set(fleet.pools) & set(fleet.services))
    if shared_names:
        yield f"services.{shared_names[0]}: a pool has this name too"


def _adapter_problems(fleet: FleetFile) -> Iterator[str]:
    for name, adapter in fleet.adapters.items():
        if adapter.model not in fleet.models:
            yield f"adapters.{name}.model: no model {adapter.model!r}"


def _pool_problems(fleet: FleetFile, field: str, pool: Pool) -> Iterator[str]:
    if pool.model not in fleet.models:
        yield f"{field}.model: no model {pool.model!r}"
    elif pool.version not in fleet.models[pool.model].versions:
        yield f"{field}.version: model {pool.model!r} has no version {pool.version!r}"
    for name, version in pool.adapters.items():
        if name not in fleet.adapters:
            yield f"{field}.adapters.{name}: no adapter {name!r}"
        elif version not in fleet.adapters[name].versions:
            yield f"{field}.adapters.{name}: adapter {name!r} has no version {version!r}"
        elif fleet.adapters[name].model != pool.model:
            yield f"{field}.adapters.{name}: adapter {name!r} is not for model {pool.model!r}"
    if len(set(pool.zones)) != len(pool.zones):
        yield f"{field}.zones: a zone stands twice"
    if pool.max_unavailable > pool.replicas:
        yield f"{field}.max_unavailable: more than the {pool.replicas} replicas"
    if pool.origin_copies > pool.replicas:
        yield f"{field}.origin_copies: more than the {pool.replicas} replicas"


def _route_problems(fleet: FleetFile) -> Iterator[str]:
    seen: set[str] = set()
    for index, route in enumerate(fleet.routes):
        field = f"routes[{index}]"
        if (route.pool is None) == (route.service is None):
            yield f"{field}: give either a pool or a service"
        if route.pool is not None and route.pool not in fleet.pools:
            yield f"{field}.pool: no pool {route.pool!r}"
        if route.service is not None and route.service not in fleet.services:
            yield f"{field}.service: no service {route.service!r}"
        for team in route.teams or []:
            if team not in fleet.teams:
                yield f"{field}.teams: no team {team!r}"
        if route.path in seen:
            yield f"{field}.path: {route.path!r} stands twice"
        seen.add(route.path)


def _artifact_problems(fleet: FleetFile) -> Iterator[str]:
    """Yield an error for each name at the origin that has two digests, which is ambiguous."""
    digests: dict[str, str] = {}
    for kind, owners in (("models", fleet.models), ("adapters", fleet.adapters)):
        for name, owner in owners.items():
            for version, weights in owner.versions.items():
                if digests.setdefault(weights.weights, weights.digest) != weights.digest:
                    yield (
                        f"{kind}.{name}.versions.{version}.digest: weights"
                        f" {weights.weights!r} already have another digest"
                    )
