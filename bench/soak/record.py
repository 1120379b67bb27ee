"""The record of a soak: what callers, replicas and the operator observed from outside.

All times are in seconds on the soak's trio clock. The runner fills a record, the checks read it.

`CallerRequest.event_count` and `event_versions` let the checks find streams that end early or mix
weights; `PlannedStop.restarted_at` excuses an entry that has just restarted. A planned stop is not
also a `Disturbance`, because a disturbance would excuse the requests that the stop cuts off.
`RouteProbe.answered_at` is needed for overlapping probes: one sent later may be answered earlier.
"""

from dataclasses import dataclass, field
from enum import Enum


class RequestKind(Enum):
    """How often a request may run, which its route determines."""

    REPEATABLE = "repeatable"  # may run more than once
    ONCE = "once"  # runs at most once
    STREAM = "stream"  # events; may be resumed at another replica
    STRICT_STREAM = "strict stream"  # events; runs at most once


@dataclass(slots=True)
class CallerRequest:
    """One request of a caller and its answer."""

    id: str
    kind: RequestKind
    entry: str  # name of the machine that the request was sent to
    sent_at: float
    written: bool = False  # the whole request was written
    ended_at: float | None = None  # None while it is in flight
    status: int = 0  # 0: the connection ended without the head of an answer
    sealed: bool = False  # the answer has a replica's seal
    whole: bool = False  # the answer is complete
    own: bool = False  # every byte of the answer belongs to this request
    events: list[int] = field(default_factory=list)  # event numbers in order of arrival
    # Versions of the weights named by the events, in order of arrival; empty if none is named.
    event_versions: list[int] = field(default_factory=list)
    event_count: int | None = None  # events in a complete answer, None if unknown
    caller_left: bool = False  # the caller closed the connection before the end
    deadline_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a replica, whether it ran or not."""

    request_id: str
    replica_id: str
    at: float
    rest_seconds: float = 0.0  # rest asked for in its refusal; 0 if none


@dataclass(slots=True)
class ReplicaLimit:
    """A rate limit that a replica announces in its answers."""

    replica_id: str
    per_second: float
    began_at: float
    ended_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class ReplicaLeaves:
    """A replica that announces in its answers that it leaves."""

    replica_id: str
    at: float


@dataclass(frozen=True, slots=True)
class ReplicaRun:
    """A request that a replica began to execute."""

    request_id: str
    replica_id: str
    service: str
    version: int  # of the weights, 0 for a service without weights
    began_at: float


@dataclass(frozen=True, slots=True)
class VersionNamed:
    """The naming of a new version of the weights by the operator."""

    version: int
    at: float


@dataclass(frozen=True, slots=True)
class ConfigurationPublished:
    """A configuration that the store has accepted."""

    version: int
    at: float


@dataclass(frozen=True, slots=True)
class ReplicaDrains:
    """A replica that the store lists as leaving."""

    replica_id: str
    at: float


@dataclass(frozen=True, slots=True)
class RouteProbe:
    """A request to a route that exists only from one configuration on."""

    entry: str
    life: int  # the number of starts of the entry's process
    configuration: int  # the first version that has the route
    sent_at: float
    found: bool | None  # None if there was no answer
    # None if unknown; the time of sending is then used.
    answered_at: float | None = None


@dataclass(slots=True)
class PlannedStop:
    """A SIGTERM to an entry."""

    entry: str
    at: float
    ended_at: float | None = None
    restarted_at: float | None = None  # when the entry's next process became ready


@dataclass(slots=True)
class Disturbance:
    """An injected or observed fault and its duration."""

    kind: str
    # Machine names and replica ids; empty for a fault of the platform, which affects everybody.
    machines: frozenset[str]
    began_at: float
    ended_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class Bounds:
    """The limits within which promises must hold, in seconds unless said otherwise."""

    weights: float  # from the naming of new weights to the last start on older ones
    leaving: float  # from the announcement that a replica leaves to the last request to it
    configuration: float  # from a publication until it is in force at every entry
    reached: float  # how long a process must have been undisturbed for these to apply
    # Repeats allowed in a window: retry_ratio times the requests, plus retry_slack.
    retry_ratio: float
    retry_slack: float  # number of requests
    retry_window: float
    recovery: float  # from the end of the last fault to ordinary service
    loss_slack: float  # a request lost this soon may have crossed its connection's close
    told: float = 0.5  # from an answer that asks for less load until the entry must comply


@dataclass(slots=True)
class Record:
    """All observations of one soak."""

    bounds: Bounds
    began_at: float
    requests: dict[str, CallerRequest] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    runs: list[ReplicaRun] = field(default_factory=list)
    versions: list[VersionNamed] = field(default_factory=list)
    configurations: list[ConfigurationPublished] = field(default_factory=list)
    draining: list[ReplicaDrains] = field(default_factory=list)
    limits: list[ReplicaLimit] = field(default_factory=list)
    leaving: list[ReplicaLeaves] = field(default_factory=list)
    probes: list[RouteProbe] = field(default_factory=list)
    stops: list[PlannedStop] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    last_fault_ended_at: float | None = None  # None: recovery was not awaited
    ended_at: float = 0.0

    def is_fault_free(self, machines: frozenset[str], since: float, until: float) -> bool:
        """Return whether no fault affected the platform or the machines between two times."""
        return not any(
            fault.began_at <= until
            and fault.ended_at >= since
            and (not fault.machines or fault.machines & machines)
            for fault in self.disturbances
        )
