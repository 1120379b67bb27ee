"""What the system needs to know of a request, and the headers that say it.

Callers may set the headers of the first group. Those of the second group are set by entries for
daemons; whatever a caller sends under these names is dropped at the entry.
"""

import uuid
from dataclasses import dataclass
from typing import Final

from headcross_base.clocks import monotonic
from headcross_base.errorcodes import BAD_REQUEST, NO_ROUTE, UNKNOWN_TEAM
from headcross_base.verdicts import NotRun
from headcross_fleet.fleetfile import FleetFile, Route
from headcross_wire.httpserver import Headers, Request

# Set by callers.
TEAM_HEADER: Final = "headcross-team"
KEY_HEADER: Final = "idempotency-key"
REPEATABLE_HEADER: Final = "headcross-repeatable"  # yes or no
DEADLINE_HEADER: Final = "headcross-deadline-seconds"
RESUBMISSION_HEADER: Final = "headcross-resubmission"  # "no": the key was never sent before

# Set by entries.
REQUEST_HEADER: Final = "headcross-request"
UPSTREAM_HEADER: Final = "headcross-upstream"
POOL_HEADER: Final = "headcross-pool"
DIGEST_HEADER: Final = "headcross-digest"
RESUME_HEADER: Final = "headcross-resume-from"
RESUMABLE_HEADER: Final = "headcross-resumable"  # "yes": a stream may go on elsewhere
PRIORITY_HEADER: Final = "headcross-priority"
WEIGHT_HEADER: Final = "headcross-weight"
REMAINING_HEADER: Final = "headcross-remaining-seconds"

# Set by daemons in answers: requests in flight and queued at the upstream.
LOAD_HEADER: Final = "headcross-load"

INTERNAL_HEADERS: Final = frozenset(
    {
        REQUEST_HEADER,
        UPSTREAM_HEADER,
        POOL_HEADER,
        DIGEST_HEADER,
        RESUME_HEADER,
        RESUMABLE_HEADER,
        PRIORITY_HEADER,
        WEIGHT_HEADER,
        REMAINING_HEADER,
        LOAD_HEADER,
    }
)
# Headers of one connection, never passed on (RFC 9110, section 7.6.1).
HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)
MAX_KEY_LENGTH: Final = 256
REPEATABLE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})  # RFC 9110: safe methods
PASSED_METHODS: Final = REPEATABLE_METHODS | {"POST", "PUT", "PATCH", "DELETE"}


@dataclass(frozen=True, slots=True)
class RequestMeta:
    """A request as the router sees it."""

    id: str  # made by the entry; unique
    request: Request
    route: Route
    team: str
    key: str | None
    repeatable: bool
    first_submission: bool  # the caller says that the key was never sent before
    deadline: float  # monotonic

    @property
    def target(self) -> str:
        """The pool or service that the route names."""
        return self.route.pool or self.route.service or ""

    @property
    def remaining(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - monotonic()


def read_meta(request: Request, fleet: FleetFile) -> RequestMeta | NotRun:
    """Find a request's route and team and check its headers."""
    route = find_route(request.path, fleet)
    if route is None:
        return NotRun(NO_ROUTE, request.path[:200])
    team = request.header(TEAM_HEADER) or ""
    if team not in fleet.teams or (route.teams is not None and team not in route.teams):
        return NotRun(UNKNOWN_TEAM, team[:64])
    if request.method not in PASSED_METHODS:
        return NotRun(BAD_REQUEST, f"method {request.method[:16]}")
    key = request.header(KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        return NotRun(BAD_REQUEST, f"{KEY_HEADER}: 1 to {MAX_KEY_LENGTH} characters")
    seconds = _read_seconds(request.header(DEADLINE_HEADER), route.deadline_seconds)
    if seconds is None:
        return NotRun(BAD_REQUEST, f"{DEADLINE_HEADER}: not a positive number")
    repeatable = _read_repeatable(request, route)
    if repeatable is None:
        return NotRun(BAD_REQUEST, f"{REPEATABLE_HEADER}: yes or no")
    first = request.header(RESUBMISSION_HEADER) == "no"
    deadline = monotonic() + seconds
    return RequestMeta(uuid.uuid4().hex, request, route, team, key, repeatable, first, deadline)


def find_route(path: str, fleet: FleetFile) -> Route | None:
    """Return the route with the longest prefix of whole path segments."""
    matching = [route for route in fleet.routes if _is_below(path, route.path)]
    return max(matching, key=lambda route: len(route.path), default=None)


def passed_headers(request: Request) -> Headers:
    """Return the headers of a caller's request that go on to an upstream."""
    dropped = INTERNAL_HEADERS | HOP_HEADERS
    return [(name, value) for name, value in request.headers if name not in dropped]


def _is_below(path: str, prefix: str) -> bool:
    """Tell whether a path is the prefix or below it.

    >>> _is_below("/v1/x", "/v1"), _is_below("/v10", "/v1"), _is_below("/any", "/")
    (True, False, True)
    """
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def _read_seconds(text: str | None, most: float) -> float | None:
    if text is None:
        return most
    try:
        seconds = float(text)
    except ValueError:
        return None
    return min(seconds, most) if seconds > 0 else None


def _read_repeatable(request: Request, route: Route) -> bool | None:
    said = request.header(REPEATABLE_HEADER)
    if said is None:
        return request.method in REPEATABLE_METHODS or route.repeatable
    return {"yes": True, "no": False}.get(said.strip().lower())
