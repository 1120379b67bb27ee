"""What a soak saw from outside the system: what callers, replicas and the operator know.

All moments are on trio's clock of the soak. The runner fills a record, the checkers read it.

To find streams that end early or mix weights, the checkers need `CallerRequest.event_count` and
`event_versions`; to excuse an entry that has just started again, `PlannedStop.restarted_at`. A
planned stop is not a `Disturbance` as well: whatever is one excuses the requests cut by the stop.
Probes that overlap need `RouteProbe.answered_at`: one sent later may be answered earlier.
"""

from dataclasses import dataclass, field
from enum import Enum


class RequestKind(Enum):
    """What the route of a request allows."""

    REPEATABLE = "repeatable"  # may run more than once
    ONCE = "once"  # runs at most once
    STREAM = "stream"  # events; may go on at another replica
    STRICT_STREAM = "strict stream"  # events; runs at most once


@dataclass(slots=True)
class CallerRequest:
    """One request of a caller, from its sending to what came back."""

    id: str
    kind: RequestKind
    entry: str  # name of the machine that it was sent to
    sent_at: float
    written: bool = False  # the whole request was written
    ended_at: float | None = None  # None while it is under way
    status: int = 0  # 0: the connection ended without the head of an answer
    sealed: bool = False  # the answer bears a replica's signature
    whole: bool = False  # the answer ended as it should
    own: bool = False  # every byte of the answer belongs to this request
    events: list[int] = field(default_factory=list)  # numbers of a stream's events, as they came
    # Versions of the weights that the events name, as they came; empty if they name none.
    event_versions: list[int] = field(default_factory=list)
    event_count: int | None = None  # how many events a whole answer has, None if not known
    caller_left: bool = False  # the caller closed the connection before the end
    deadline_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a replica, whether it ran or not."""

    request_id: str
    replica_id: str
    at: float
    rest_seconds: float = 0.0  # it was turned away, and its entry asked for so much rest


@dataclass(slots=True)
class ReplicaLimit:
    """A limit that a replica names in its answers."""

    replica_id: str
    per_second: float
    began_at: float
    ended_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class ReplicaLeaves:
    """A replica that says in its answers that it leaves."""

    replica_id: str
    at: float


@dataclass(frozen=True, slots=True)
class ReplicaRun:
    """A request that a replica began to work on."""

    request_id: str
    replica_id: str
    service: str
    version: int  # of the weights, 0 for a service without any
    began_at: float


@dataclass(frozen=True, slots=True)
class VersionNamed:
    """New weights named by the operator."""

    version: int
    at: float


@dataclass(frozen=True, slots=True)
class ConfigurationPublished:
    """A configuration that the store has taken."""

    version: int
    at: float


@dataclass(frozen=True, slots=True)
class ReplicaDrains:
    """A replica that the store shows as leaving."""

    replica_id: str
    at: float


@dataclass(frozen=True, slots=True)
class RouteProbe:
    """A request to the route that only one configuration and those after it have."""

    entry: str
    life: int  # counts the starts of that entry's process
    configuration: int  # the first version that has the route
    sent_at: float
    found: bool | None  # None if there was no answer
    # None if not known: probes are then taken to be answered at once, in the order of sending.
    answered_at: float | None = None


@dataclass(slots=True)
class PlannedStop:
    """A SIGTERM to an entry."""

    entry: str
    at: float
    ended_at: float | None = None
    restarted_at: float | None = None  # when the entry's next process was ready


@dataclass(slots=True)
class Disturbance:
    """A fault, from its beginning to its end."""

    kind: str
    # Names of machines and ids of replicas; empty if it concerns the platform, so everybody.
    machines: frozenset[str]
    began_at: float
    ended_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the system promises, in seconds where nothing else is said."""

    weights: float  # from the naming of new weights to the last start on older ones
    leaving: float  # from the news that a replica leaves to the last request sent there
    configuration: float  # from a publication to its effect at every entry
    reached: float  # how long a process must be undisturbed for these to count
    retry_ratio: float
    retry_slack: float
    retry_window: float
    recovery: float  # from the end of the last fault to ordinary service
    loss_slack: float  # a request whose connection ends so soon may have crossed its close
    told: float = 0.5  # from an answer that asks for less to the moment from which it counts


@dataclass(slots=True)
class Record:
    """Everything that one soak saw."""

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
    last_fault_ended_at: float | None = None  # None: the soak did not wait for recovery
    ended_at: float = 0.0

    def is_quiet(self, machines: frozenset[str], since: float, until: float) -> bool:
        """Tell whether no fault concerned the platform or some machines between two moments."""
        return not any(
            fault.began_at <= until
            and fault.ended_at >= since
            and (not fault.machines or fault.machines & machines)
            for fault in self.disturbances
        )
