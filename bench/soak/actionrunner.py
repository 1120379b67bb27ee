"""Performs the actions of a plan on a running system."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from bench.soak.actions import OPERATOR_KINDS, Action, ActionKind
from bench.soak.processes import Processes
from bench.soak.proxies import LinkFault, LinkKind
from bench.soak.record import ReplicaLeaves, ReplicaLimit
from bench.soak.restore import restore_store, unlist_ended_replicas
from bench.soak.site import ReplicaHostState, Site
from bench.soak.sizes import ReplicaHost, daemon_of
from testing.machinelayout import MODEL_SERVICE
from testing.platformstore import StoreCondition

RESET_INTERVAL_SECONDS: Final = 0.5
# The store removes the listing of a crashed replica after three missed heartbeats.
LISTING_EXPIRY_SECONDS: Final = 3.6
RESTART_SECONDS: Final = 0.3  # between the end of a drained replica and its next incarnation
MAX_FAULTY_REQUEST_SECONDS: Final = 10.0  # longer than any caller's timeout
LINK_KINDS: Final = {
    ActionKind.LINK_DELAY: LinkKind.DELAY,
    ActionKind.LINK_CUT: LinkKind.CUT,
    ActionKind.LINK_SILENCE: LinkKind.SILENCE,
    ActionKind.LINK_NARROW: LinkKind.NARROW,
}


class ActionRunner:
    """Performs the actions of a plan, each in its own task."""

    def __init__(self, site: Site, processes: Processes) -> None:
        self.last_fault_ended_at = site.record.began_at
        self._site = site
        self._processes = processes
        self._under_way = 0
        handlers: dict[ActionKind, Callable[[Action], Awaitable[None]]] = {
            ActionKind.LINK_RESET: self._reset_links,
            ActionKind.KILL: self._kill,
            ActionKind.PAUSE: self._pause,
            ActionKind.STOP: self._stop,
            ActionKind.RELOAD: self._reload,
            ActionKind.REPLICA_CRASH: self._crash_replica,
            ActionKind.REPLICA_RESTART: self._restart_replica,
            ActionKind.REPLICA_SLOW: self._slow_replica,
            ActionKind.REPLICA_WAIT: self._delay_requests,
            ActionKind.REPLICA_FAULT: self._break_answers,
            ActionKind.ORDERS_LATE: self._hold_orders,
            ActionKind.REPLICA_LIMIT: self._limit_replica,
            ActionKind.REPLICA_REST: self._request_rest,
            ActionKind.REPLICA_LEAVES: self._announce_leaving,
            ActionKind.STORE_MOOD: self._set_store_condition,
            ActionKind.STORE_FORGET: self._forget_history,
            ActionKind.STORE_RESTORE: self._restore_store,
            ActionKind.ORIGIN_DOWN: self._take_origin_down,
            ActionKind.ORIGIN_SLOW: self._slow_origin,
            ActionKind.ORIGIN_CORRUPT: self._corrupt_origin,
            ActionKind.NAME_VERSIONS: self._name_versions,
            ActionKind.PUBLISH: self._publish,
            ActionKind.DRAIN: self._drain,
            ActionKind.ADD_REPLICA: self._add_replica,
            ActionKind.ADD_ENTRY: self._add_entry,
        }
        self._handlers = {**handlers, **dict.fromkeys(LINK_KINDS, self._fault_links)}

    async def run_all(self, actions: tuple[Action, ...]) -> None:
        """Perform all actions at their times; return when the last one has ended."""
        async with trio.open_nursery() as nursery:
            for action in actions:
                await trio.sleep_until(self._site.record.began_at + action.at)
                nursery.start_soon(self._run_action, action)

    async def _run_action(self, action: Action) -> None:
        self._site.faults[action.kind.value] += 1
        self._site.print_progress(describe(action))
        await self._handlers[action.kind](action)
        if action.kind not in OPERATOR_KINDS:
            self.last_fault_ended_at = trio.current_time()

    # Links.

    async def _fault_links(self, action: Action) -> None:
        first, second = self._sides(action)
        disturbance = self._site.begin_disturbance(
            action.kind.value, self._affected_machines(action)
        )
        with self._site.links.active(
            LinkFault(LINK_KINDS[action.kind], first, second, action.amount)
        ):
            await trio.sleep(action.seconds)
        # Bytes that were held back are still in transit.
        await trio.sleep(action.amount if action.kind is ActionKind.LINK_DELAY else 0.1)
        disturbance.ended_at = trio.current_time()

    async def _reset_links(self, action: Action) -> None:
        first, second = self._sides(action)
        disturbance = self._site.begin_disturbance(
            action.kind.value, self._affected_machines(action)
        )
        with trio.move_on_after(action.seconds):
            while True:
                self._site.links.reset(first, second)
                await trio.sleep(RESET_INTERVAL_SECONDS)
        disturbance.ended_at = trio.current_time()

    def _sides(self, action: Action) -> tuple[frozenset[str], frozenset[str]]:
        """Return the addresses of both sides of a link; an empty second side is every address."""
        ips = [self._site.ip_of(target) for target in action.targets]
        return frozenset(ips[:1]), frozenset(ips[1:])

    def _affected_machines(self, action: Action) -> frozenset[str]:
        affected = (self._site.machines_at(target) for target in action.targets)
        return frozenset().union(*affected)

    # Processes.

    async def _kill(self, action: Action) -> None:
        await self._processes.kill(action.targets[0], action.seconds)

    async def _pause(self, action: Action) -> None:
        await self._processes.pause(action.targets[0], action.seconds)

    async def _stop(self, action: Action) -> None:
        await self._processes.stop(action.targets[0], action.seconds)

    async def _reload(self, action: Action) -> None:
        self._processes.reload(action.targets[0], action.amount)

    # Replicas. Faulty answers of a replica excuse no broken promise at an entry, so they are not
    # recorded as disturbances.

    async def _crash_replica(self, action: Action) -> None:
        replica_host = self._replica_host(action)
        disturbance = self._site.begin_disturbance(
            action.kind.value, self._site.machines_at(replica_host.host.name)
        )
        crashed = replica_host.listed
        self._site.end_replica(replica_host)
        await trio.sleep(action.seconds)
        await self._site.start_replica(replica_host)
        disturbance.ended_at = trio.current_time()
        await trio.sleep(max(0.0, LISTING_EXPIRY_SECONDS - action.seconds))
        if crashed is not None:
            self._site.machines.unlist(crashed)

    async def _restart_replica(self, action: Action) -> None:
        replica_host = self._replica_host(action)
        disturbance = self._site.begin_disturbance(
            action.kind.value, self._site.machines_at(replica_host.host.name)
        )
        await self._site.restart_replica(replica_host, clock_step_ms=round(action.amount))
        disturbance.ended_at = trio.current_time()

    async def _slow_replica(self, action: Action) -> None:
        replica = self._replica_host(action).replica
        if replica is None:
            return
        before = replica.event_seconds, replica.service_seconds
        replica.event_seconds, replica.service_seconds = action.amount / 2, action.amount
        await trio.sleep(action.seconds)
        replica.event_seconds, replica.service_seconds = before

    async def _delay_requests(self, action: Action) -> None:
        replica = self._replica_host(action).replica
        if replica is None:
            return
        replica.wait_seconds = action.amount
        await trio.sleep(action.seconds)
        replica.wait_seconds = 0.0

    async def _break_answers(self, action: Action) -> None:
        replica = self._replica_host(action).replica
        if replica is None:
            return
        replica.faults.extend(action.faults)
        await trio.sleep(action.seconds)
        replica.faults.clear()
        with trio.move_on_after(MAX_FAULTY_REQUEST_SECONDS):
            while replica.faulty:
                await trio.sleep(0.05)

    async def _hold_orders(self, action: Action) -> None:
        replica = self._replica_host(action).replica
        if replica is None:
            return
        replica.orders_to_hold = round(action.amount)
        await trio.sleep(action.seconds)
        replica.orders_to_hold = 0
        if self._replica_host(action).replica is replica:
            replica.take_held_orders()

    async def _limit_replica(self, action: Action) -> None:
        replica = self._replica_host(action).replica
        if replica is None:
            return
        replica.limit = f"{action.amount:.1f}"
        limit = ReplicaLimit(replica.id, action.amount, trio.current_time())
        self._site.record.limits.append(limit)
        await trio.sleep(action.seconds)
        replica.limit = None
        limit.ended_at = trio.current_time()

    async def _request_rest(self, action: Action) -> None:
        replica = self._replica_host(action).replica
        if replica is None:
            return
        replica.rest = f"{action.amount:.2f}"
        await trio.sleep(action.seconds)
        replica.rest = None

    async def _announce_leaving(self, action: Action) -> None:
        replica_host = self._replica_host(action)
        if replica_host.replica is None:
            return
        replica_host.replica.announces_leaving = True
        announcement = ReplicaLeaves(replica_host.replica.id, trio.current_time())
        self._site.record.leaving.append(announcement)
        await self._replace_later(replica_host, action.seconds)

    async def _drain(self, action: Action) -> None:
        replica_host = self._replica_host(action)
        self._site.drain(replica_host)
        await self._replace_later(replica_host, action.seconds)

    async def _replace_later(self, replica_host: ReplicaHostState, seconds: float) -> None:
        """End a leaving replica after some seconds, and start its next incarnation."""
        leaving = replica_host.listed
        await trio.sleep(seconds)
        if leaving is None or replica_host.listed is not leaving:
            return  # the replica crashed meanwhile
        self._site.end_replica(replica_host)
        self._site.unlist_replica(replica_host)
        await trio.sleep(RESTART_SECONDS)
        await self._site.start_replica(replica_host)

    def _replica_host(self, action: Action) -> ReplicaHostState:
        return self._site.replica_hosts[action.targets[0]]

    # The platform.

    async def _set_store_condition(self, action: Action) -> None:
        assert action.condition is not None
        targets = [self._site.ip_of(target) for target in action.targets] or None
        disturbance = self._site.begin_disturbance(
            f"store {action.condition.value}", self._affected_machines(action)
        )
        store = self._site.machines.store
        store.set_condition(action.condition, targets)
        await trio.sleep(action.seconds)
        store.set_condition(StoreCondition.WELL, targets)
        disturbance.ended_at = trio.current_time()

    async def _forget_history(self, action: Action) -> None:
        disturbance = self._site.begin_disturbance(action.kind.value, frozenset())
        self._site.machines.store.forget_history()
        disturbance.ended_at = trio.current_time()

    async def _restore_store(self, action: Action) -> None:
        disturbance = self._site.begin_disturbance(action.kind.value, frozenset())
        await restore_store(self._site, action.seconds, copy_age=action.amount)
        disturbance.ended_at = trio.current_time()
        await trio.sleep(LISTING_EXPIRY_SECONDS)
        unlist_ended_replicas(self._site)

    async def _take_origin_down(self, action: Action) -> None:
        self._site.machines.origin.down = True
        await trio.sleep(action.seconds)
        self._site.machines.origin.down = False

    async def _slow_origin(self, action: Action) -> None:
        self._site.machines.origin.seconds_per_chunk = action.amount
        await trio.sleep(action.seconds)
        self._site.machines.origin.seconds_per_chunk = 0.0

    async def _corrupt_origin(self, action: Action) -> None:
        origin = self._site.machines.origin
        origin.corrupt_next += round(action.amount)
        await trio.sleep(action.seconds)
        origin.corrupt_next = 0

    # The operator.

    async def _name_versions(self, action: Action) -> None:
        for _ in range(round(action.amount)):
            self._site.name_version()
            await trio.sleep(action.seconds)

    async def _publish(self, action: Action) -> None:
        for _ in range(round(action.amount)):
            self._site.publish()
            await trio.sleep(action.seconds)

    async def _add_replica(self, action: Action) -> None:
        name = action.targets[0]
        first_host = self._site.plan.replica_hosts[0]
        host = ReplicaHost(name, first_host.service_seconds, first_host.slots)
        await self._site.add_replica_host(host, "z0", MODEL_SERVICE, 0)
        await self._site.start_process(daemon_of(name))

    async def _add_entry(self, action: Action) -> None:
        name = action.targets[0]
        self._site.machines.add_entry(name, "z0")
        disturbance = self._site.begin_disturbance(action.kind.value, frozenset({name}))
        await self._site.start_process(name)
        await self._site.wait_until_up(name)
        disturbance.ended_at = trio.current_time()


def describe(action: Action) -> str:
    """Return an action as one line of text."""
    parts = [action.kind.value, *action.targets]
    parts += [f"{action.seconds:.2f} s"] if action.seconds else []
    parts += [f"amount {action.amount:.3g}"] if action.amount else []
    parts += [action.condition.value] if action.condition is not None else []
    parts += [fault.value for fault in action.faults]
    return " ".join(parts)
