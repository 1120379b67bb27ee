"""The kinds of actions that a soak performs on the system, and one timed action."""

from dataclasses import dataclass
from enum import Enum

from testing.platformreplica import Fault
from testing.platformstore import StoreCondition


class ActionKind(Enum):
    """What an action does; its targets are names of processes or replica hosts."""

    # Link faults, injected by the proxies. Two targets select the links between them, one target
    # all of its links.
    LINK_DELAY = "link delay"
    LINK_RESET = "link reset"
    LINK_CUT = "link cut"  # both ways
    LINK_SILENCE = "link silence"  # nothing sent by the first target arrives
    LINK_NARROW = "link narrow"
    # Signals to processes.
    KILL = "kill"  # SIGKILL, then a restart
    PAUSE = "pause"  # SIGSTOP, then SIGCONT
    STOP = "stop"  # SIGTERM, then a restart
    RELOAD = "reload"  # SIGHUP with a changed settings file
    # Replicas.
    REPLICA_CRASH = "replica crash"  # replaced by a new incarnation
    REPLICA_RESTART = "replica reborn"  # loses power and restarts at once under its id
    REPLICA_SLOW = "replica slow"
    REPLICA_WAIT = "replica wait"  # requests are delayed before they run
    REPLICA_FAULT = "replica fault"
    ORDERS_LATE = "orders late"  # orders get no answer and are executed at the end
    # What replicas ask for in their answers; these are not faults.
    REPLICA_LIMIT = "replica limit"  # announces a limit of `amount` requests a second
    REPLICA_REST = "replica rest"  # refuses all requests, asks for `amount` seconds of rest
    REPLICA_LEAVES = "replica leaves"  # announces it, then is replaced by a new incarnation
    # The platform.
    STORE_MOOD = "store mood"  # for the targets, or for all if there are none
    STORE_FORGET = "store forget"
    STORE_RESTORE = "store restore"  # from a copy that is `amount` seconds old
    ORIGIN_DOWN = "origin down"
    ORIGIN_SLOW = "origin slow"
    ORIGIN_CORRUPT = "origin corrupt"
    # Operator actions; these are not faults.
    NAME_VERSIONS = "name versions"
    PUBLISH = "publish"
    DRAIN = "drain"  # the replica leaves and is replaced by a new incarnation
    ADD_REPLICA = "add replica"
    ADD_ENTRY = "add entry"


BACKPRESSURE_KINDS = frozenset(
    {ActionKind.REPLICA_LIMIT, ActionKind.REPLICA_REST, ActionKind.REPLICA_LEAVES}
)
# Actions that are not faults.
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
    """One action at a given time of the soak."""

    at: float  # seconds from the start of the soak
    kind: ActionKind
    targets: tuple[str, ...] = ()
    seconds: float = 0.0  # duration, downtime, or interval between repeats
    amount: float = 0.0  # delay in seconds, rate in bytes a second, or a count
    condition: StoreCondition | None = None  # of STORE_MOOD
    faults: tuple[Fault, ...] = ()  # of REPLICA_FAULT
