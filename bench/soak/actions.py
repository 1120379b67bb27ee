"""The kinds of things that a soak does to the system, and one timed action."""

from dataclasses import dataclass
from enum import Enum

from testing.platformreplica import Fault
from testing.platformstore import StoreCondition


class ActionKind(Enum):
    """What an action does; its targets are names of machines, or of seats of replicas."""

    # Faults of links, at the proxies. With two targets they strike the pair, else all links.
    LINK_DELAY = "link delay"
    LINK_RESET = "link reset"
    LINK_CUT = "link cut"  # both ways
    LINK_SILENCE = "link silence"  # from the first target on, nothing comes
    LINK_NARROW = "link narrow"
    # Signals to processes.
    KILL = "kill"  # SIGKILL, then a start
    PAUSE = "pause"  # SIGSTOP, then SIGCONT
    STOP = "stop"  # SIGTERM, then a start
    RELOAD = "reload"  # SIGHUP with a changed settings file
    # Replicas.
    REPLICA_CRASH = "replica crash"  # comes back as a new incarnation
    REPLICA_REBORN = "replica reborn"  # loses power and starts again at once under its id
    REPLICA_SLOW = "replica slow"
    REPLICA_WAIT = "replica wait"  # requests wait there before they run
    REPLICA_FAULT = "replica fault"
    ORDERS_LATE = "orders late"  # the daemon's orders get no answer, and are taken at the end
    # What replicas ask in their answers, which is no fault.
    REPLICA_LIMIT = "replica limit"  # it names `amount` requests a second
    REPLICA_REST = "replica rest"  # it turns all away and asks for `amount` seconds of rest
    REPLICA_LEAVES = "replica leaves"  # it says so, and comes back as a new incarnation
    # The platform.
    STORE_MOOD = "store mood"  # for the targets, or for all if there are none
    STORE_FORGET = "store forget"
    ORIGIN_DOWN = "origin down"
    ORIGIN_SLOW = "origin slow"
    ORIGIN_CORRUPT = "origin corrupt"
    # The operator's work, which is no fault.
    NAME_VERSIONS = "name versions"
    PUBLISH = "publish"
    DRAIN = "drain"  # the replica leaves and comes back as a new incarnation
    ADD_REPLICA = "add replica"
    ADD_ENTRY = "add entry"


BACKPRESSURE_KINDS = frozenset(
    {ActionKind.REPLICA_LIMIT, ActionKind.REPLICA_REST, ActionKind.REPLICA_LEAVES}
)
# What is no fault.
OPERATOR_KINDS = BACKPRESSURE_KINDS | frozenset(
    {
        ActionKind.NAME_VERSIONS,
        ActionKind.PUBLISH,
        ActionKind.DRAIN,
        ActionKind.ADD_REPLICA,
        ActionKind.ADD_ENTRY,
        ActionKind.RELOAD,
        ActionKind.STOP,
    }
)


@dataclass(frozen=True, slots=True)
class Action:
    """One thing that is done at a moment of the soak."""

    at: float  # seconds from the begin of the soak
    kind: ActionKind
    targets: tuple[str, ...] = ()
    seconds: float = 0.0  # how long it lasts, or how long a process or replica is away
    amount: float = 0.0  # delay in seconds, rate in bytes a second, or a count
    mood: StoreCondition | None = None  # of STORE_MOOD
    faults: tuple[Fault, ...] = ()  # of REPLICA_FAULT
