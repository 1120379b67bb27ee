"""A whole configuration in force: routes, services, teams and what callers may send.

One value holds everything, so that a request is judged by one version from its start to its end.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from headcross_base.addresses import Address


class Repetition(Enum):
    """What may be done with a request that may have run."""

    ONCE = "once"  # it runs at most once
    REPEATABLE = "repeatable"  # it may run again
    STREAM = "stream"  # its answer is a stream of events that runs at most once
    RESUMABLE_STREAM = "resumable-stream"  # its stream may go on at another replica

    @property
    def may_run_again(self) -> bool:
        """Whether a second run does no harm."""
        return self in (Repetition.REPEATABLE, Repetition.RESUMABLE_STREAM)

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (Repetition.STREAM, Repetition.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class Share:
    """A service and its part of a route's requests."""

    service: str
    weight: float  # relative to the other shares of the route


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which service, and what is promised about them."""

    name: str
    host: str  # lower case, without a port
    prefix: str  # begins and ends with a slash
    repetition: Repetition
    shares: tuple[Share, ...]
    timeout_seconds: float  # the longest time an answer may take
    aim_seconds: float  # within this an answer, or a stream's first event, is worth most
    max_attempts: int  # replicas that may run one request
    priority: int  # 0 goes first
    public: bool  # no key is asked for

    def pick_service(self) -> str:
        """Return a service by the weights of the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


@dataclass(frozen=True, slots=True)
class WeightsLayout:
    """How the weights of a service's model are cut."""

    models: tuple[str, ...]
    chunk_count: int
    chunk_bytes: int


@dataclass(frozen=True, slots=True)
class Service:
    """A set of replicas that answer the same requests."""

    name: str
    max_connections: int  # that one replica accepts from all callers together
    weights: WeightsLayout | None = None  # None for a plain service
    origin: Address | None = None  # set if the service hands out weights


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class Team:
    """A customer of the platform."""

    name: str
    keys: frozenset[str]
    priority: int | None  # goes before a route's priority; 0 goes first


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of everything the operators decide."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    teams: tuple[Team, ...]
    limits: CallerLimits
    _routes_by_place: dict[tuple[str, str], Route] = field(init=False, repr=False, compare=False)
    _team_by_key: dict[str, Team] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        places = {(route.host, route.prefix): route for route in self.routes}
        keys = {key: team for team in self.teams for key in team.keys}
        object.__setattr__(self, "_routes_by_place", places)
        object.__setattr__(self, "_team_by_key", keys)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of that host with the longest prefix of the path."""
        name = host.rpartition(":")[0] if ":" in host else host
        name = name.lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes_by_place.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def team_of(self, key: str) -> Team | None:
        """Return the team that holds a key."""
        return self._team_by_key.get(key)

    def origin_of_weights(self) -> Address | None:
        """Return where weights come from."""
        origins = (service.origin for service in self.services.values())
        return next((origin for origin in origins if origin is not None), None)
