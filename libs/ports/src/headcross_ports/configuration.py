"""The configuration: routes, services, teams and limits for callers.

Each version is one immutable value, so that the same version applies to a request from start to
end.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from headcross_base.addresses import Address


class Repetition(Enum):
    """Whether a request that may have run may be run again."""

    ONCE = "once"  # it runs at most once
    REPEATABLE = "repeatable"  # it may run again
    STREAM = "stream"  # it runs at most once; its answer is a stream of events
    RESUMABLE_STREAM = "resumable-stream"  # its stream of events may be resumed at another replica

    @property
    def may_run_again(self) -> bool:
        """Whether a second run is harmless."""
        return self in (Repetition.REPEATABLE, Repetition.RESUMABLE_STREAM)

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (Repetition.STREAM, Repetition.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class Share:
    """A service and its share of a route's requests."""

    service: str
    weight: float  # relative to the other shares of the route


@dataclass(frozen=True, slots=True)
class Route:
    """Assigns requests to services by host and path, with their limits."""

    name: str
    host: str  # lower case, without a port
    prefix: str  # of the path; begins and ends with a slash
    repetition: Repetition
    shares: tuple[Share, ...]
    timeout_seconds: float  # maximum duration of an answer
    aim_seconds: float  # target time for an answer, or for a stream's first event
    max_attempts: int  # maximum number of replicas that may run one request
    priority: int  # 0 is the highest
    public: bool  # callers need no key

    def pick_service(self) -> str:
        """Return a service at random, with probabilities by the weights of the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


@dataclass(frozen=True, slots=True)
class WeightsLayout:
    """How the weights of a service's models are split into chunks."""

    models: tuple[str, ...]
    chunk_count: int
    chunk_bytes: int


@dataclass(frozen=True, slots=True)
class Service:
    """A set of replicas that answer the same requests."""

    name: str
    max_connections: int  # per replica, for all its clients together
    weights: WeightsLayout | None = None  # None for a plain service
    origin: Address | None = None  # set if the service is the origin of weights


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the sizes of callers' requests, and on the times to send them and to idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class Team:
    """A customer of the platform."""

    name: str
    keys: frozenset[str]
    priority: int | None  # overrides a route's priority; 0 is the highest


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of all settings that the operators publish."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    teams: tuple[Team, ...]
    limits: CallerLimits
    _routes_by_place: dict[tuple[str, str], Route] = field(init=False, repr=False, compare=False)
    _team_by_key: dict[str, Team] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        routes = {(route.host, route.prefix): route for route in self.routes}
        keys = {key: team for team in self.teams for key in team.keys}
        object.__setattr__(self, "_routes_by_place", routes)
        object.__setattr__(self, "_team_by_key", keys)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix, None if none matches.

        A port in `host` is ignored.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        name = name.lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes_by_place.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def team_of(self, key: str) -> Team | None:
        """Return the team that holds a key, None if no team does."""
        return self._team_by_key.get(key)

    def origin_of_weights(self) -> Address | None:
        """Return the address of the origin of weights, None if no service is one."""
        origins = (service.origin for service in self.services.values())
        return next((origin for origin in origins if origin is not None), None)
