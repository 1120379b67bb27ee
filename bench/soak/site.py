"""The system under test: processes, replicas and platform, with a proxy before each listener.

All parts listen on private IP addresses and connect to public ones, on which the proxies listen.
"""

import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import trio
from headcross_base.addresses import Address
from headcross_platform import names

from bench.soak.bounds import BOUNDS, STOP_SECONDS
from bench.soak.plan import Plan
from bench.soak.proxies import LinkFaults, Proxy
from bench.soak.record import (
    ConfigurationPublished,
    Disturbance,
    Record,
    ReplicaDrains,
    VersionNamed,
)
from bench.soak.sizes import ReplicaHost, daemon_of, entry_names
from testing.machinelayout import (
    CALLERS,
    HOST,
    MODEL,
    MODEL_SERVICE,
    ORIGIN,
    PEERS,
    PLAIN_SERVICE,
    READINESS,
    REPLICA,
    STORE,
    SWARM,
)
from testing.machines import ListedReplica, Machines, running_machines
from testing.platformreplica import FakeReplica, new_replica_id

PROBE_SERVICE: Final = "probe"  # its replicas are fault-free, so probes test the entry only
PROBE_HOSTS: Final = 2
PROBE_SLOTS: Final = 64
ENTRY_PORTS: Final = (CALLERS, READINESS, PEERS, SWARM)
DAEMON_PORTS: Final = (PEERS, SWARM)
LISTING_INTERVAL_SECONDS: Final = 0.03  # how often a replica checks its listing for changes
STREAM_EVENTS: Final = 4
ROUTE_TIMEOUT_MS: Final = 4000


def probe_prefix(version: int) -> str:
    """Return the path prefix of the route that exists from a configuration version on.

    >>> probe_prefix(3)
    '/since/3/'
    """
    return f"/since/{version}/"


@dataclass
class ReplicaHostState:
    """A host of replicas and its current replica incarnation."""

    host: ReplicaHost
    ip: str
    zone: str
    service: str
    listed: ListedReplica | None = None

    @property
    def replica(self) -> FakeReplica | None:
        """The current incarnation; None before the first start."""
        return None if self.listed is None else self.listed.replica


@dataclass
class Site:
    """A running system and what was observed of it."""

    plan: Plan
    machines: Machines
    nursery: trio.Nursery
    record: Record
    links: LinkFaults = field(default_factory=LinkFaults)
    replica_hosts: dict[str, ReplicaHostState] = field(default_factory=dict)
    start_counts: Counter[str] = field(default_factory=Counter)  # by process
    ready: set[str] = field(default_factory=set)  # entries to which the platform routes callers
    faults: Counter[str] = field(default_factory=Counter)  # by kind
    proxies: dict[str, list[Proxy]] = field(default_factory=dict)  # by process or replica host
    newest_version: int = 1

    # Progress and disturbances.

    def print_progress(self, text: str) -> None:
        """Print a line of progress to standard error, with the time since the start."""
        elapsed = trio.current_time() - self.record.began_at
        print(f"{elapsed:7.2f} {text}", file=sys.stderr, flush=True)

    def begin_disturbance(self, kind: str, machines: frozenset[str]) -> Disturbance:
        """Record the start of a disturbance; the caller sets its end."""
        disturbance = Disturbance(kind, machines, trio.current_time())
        self.record.disturbances.append(disturbance)
        return disturbance

    def machines_at(self, target: str) -> frozenset[str]:
        """Return the names of everything on the machine of a process or replica host."""
        replica_host = self.replica_hosts.get(target.replace("daemon", "model"))
        if replica_host is None:
            return frozenset({target})
        own = {target, replica_host.host.name, daemon_of(replica_host.host.name)}
        return frozenset(own | ({replica_host.replica.id} if replica_host.replica else set()))

    def ip_of(self, target: str) -> str:
        """Return the IP address of a process or replica host."""
        if target in self.replica_hosts:
            return self.replica_hosts[target].ip
        return self.machines.machines[target].ip

    # Operator actions.

    def publish(self) -> None:
        """Publish a configuration with one additional route."""
        version = self.machines.configuration["version"] + 1
        route = _probe_route(version)
        self.machines.change(routes=[*self.machines.configuration["routes"], route])
        self.record.configurations.append(ConfigurationPublished(version, trio.current_time()))

    def publish_again(self) -> None:
        """Write the newest configuration and the newest version again if the store lost them."""
        if not self.machines.is_published():
            self.machines.publish()
        if not self.machines.is_named(self.newest_version):
            self.machines.name_version(self.newest_version)

    def name_version(self) -> None:
        """Name the next version of the weights."""
        self.newest_version += 1
        self.machines.name_version(self.newest_version)
        self.record.versions.append(VersionNamed(self.newest_version, trio.current_time()))

    def drain(self, replica_host: ReplicaHostState) -> None:
        """List a replica as leaving; it continues to serve."""
        if replica_host.listed is None:
            return
        replica_host.listed.replica.draining = True
        self.machines.list_replica(replica_host.listed)
        self.record.draining.append(
            ReplicaDrains(replica_host.listed.replica.id, trio.current_time())
        )

    # Replicas.

    async def start_replica(self, replica_host: ReplicaHostState, version: int = 0) -> None:
        """Start a replica host's next incarnation, with the staged chunks of the previous one."""
        model = MODEL if replica_host.service == MODEL_SERVICE else None
        replica = FakeReplica(new_replica_id(), model, version, replica_host.host.slots)
        replica.events = STREAM_EVENTS
        replica.serves_draining = True
        replica.names_versions = True
        replica.service_seconds = 0.0 if model else replica_host.host.service_seconds
        replica.event_seconds = replica_host.host.service_seconds
        if version:
            replica.staged = dict(enumerate(self.machines.origin.versions[version]))
        elif replica_host.listed is not None:
            replica.staged = replica_host.listed.replica.staged
        replica_host.listed = ListedReplica(
            replica, replica_host.ip, replica_host.zone, replica_host.service
        )
        self.machines.replicas[replica.id] = replica_host.listed
        await self.machines.start_replica(replica_host.listed)
        await self._open_proxies(replica_host.host.name, replica_host.ip, (REPLICA,))

    def end_replica(self, replica_host: ReplicaHostState) -> None:
        """End an incarnation; its listing remains."""
        if replica_host.listed is None:
            return
        self._stop_proxies(replica_host.host.name)
        self.machines.crash_replica(replica_host.listed)
        replica_host.listed.replica.held_orders.clear()

    async def restart_replica(self, replica_host: ReplicaHostState, clock_step_ms: int) -> None:
        """Restart a running incarnation under its id, without any of its state."""
        listed = replica_host.listed
        if listed is None or listed.ended.is_set():
            return
        self.end_replica(replica_host)
        await listed.ended.wait()
        listed.replica.start_again(clock_step_ms)
        await self.machines.start_replica(listed)
        await self._open_proxies(replica_host.host.name, replica_host.ip, (REPLICA,))

    def unlist_replica(self, replica_host: ReplicaHostState) -> None:
        """Remove the listing of an incarnation."""
        if replica_host.listed is not None:
            self.machines.unlist(replica_host.listed)

    async def add_replica_host(
        self, host: ReplicaHost, zone: str, service: str, version: int
    ) -> ReplicaHostState:
        """Add a machine with a replica, and with a daemon if the replica has weights."""
        state = ReplicaHostState(host, self.machines.new_ip(), zone, service)
        self.replica_hosts[host.name] = state
        await self.start_replica(state, version)
        if service == MODEL_SERVICE:
            assert state.listed is not None
            self.machines.add_daemon(daemon_of(host.name), state.listed)
        return state

    # Processes.

    async def start_process(self, name: str) -> None:
        """Start a process and its proxies."""
        machine = self.machines.machines[name]
        self.start_counts[name] += 1
        self.machines.start(name)
        ports = ENTRY_PORTS if machine.role == "entry" else DAEMON_PORTS
        await self._open_proxies(name, machine.ip, ports)

    def note_exit(self, name: str) -> None:
        """Stop the proxies of a process that has ended."""
        self.ready.discard(name)
        self._stop_proxies(name)

    async def is_up(self, name: str) -> bool:
        """Return whether an entry is ready, or a daemon answers."""
        if self.machines.machines[name].role == "entry":
            return await self.machines.ready(name)
        return bool(await self.machines.state(name))

    async def wait_until_up(self, name: str) -> None:
        """Wait until a process is up."""
        while not await self.is_up(name):
            await trio.sleep(0.05)

    def running_entries(self) -> list[str]:
        """Return the entries whose process is running."""
        return [
            name
            for name, machine in self.machines.machines.items()
            if machine.role == "entry"
            and machine.process is not None
            and machine.process.poll() is None
        ]

    # Proxies.

    async def open_platform_proxies(self) -> None:
        """Start the proxies of the store and the origin."""
        await self._open_proxies("platform", self.machines.address(STORE).ip, (STORE, ORIGIN))

    async def _open_proxies(self, owner: str, ip: str, ports: tuple[int, ...]) -> None:
        if owner not in self.proxies:
            addresses = [Address(ip, port) for port in ports]
            private = self.machines.private
            self.proxies[owner] = [Proxy(a, private(a), self.links) for a in addresses]
        for proxy in self.proxies[owner]:
            await proxy.open(self.nursery)

    def _stop_proxies(self, owner: str) -> None:
        for proxy in self.proxies.get(owner, []):
            proxy.stop_accepting()


def _probe_route(version: int) -> dict[str, Any]:
    return {
        "name": f"since-{version}",
        "host": HOST,
        "path_prefix": probe_prefix(version),
        "kind": names.KIND_REPEATABLE,
        "timeout_ms": ROUTE_TIMEOUT_MS,
        names.AIM_MS: 500,
        "max_attempts": 2,
        "priority": 0,
        "service": PROBE_SERVICE,
    }


@asynccontextmanager
async def running_site(directory: Path, plan: Plan) -> AsyncIterator[Site]:
    """Run the system of a plan for the length of the block; it is ready when the block starts."""
    async with running_machines(directory, interposed=True) as machines:
        machines.weights_ms = BOUNDS.weights * 1000
        machines.stop_seconds = STOP_SECONDS
        machines.listing_seconds = LISTING_INTERVAL_SECONDS
        record = Record(BOUNDS, trio.current_time())
        site = Site(plan, machines, machines.nursery, record)
        await site.open_platform_proxies()
        machines.configuration["services"].append({"name": PROBE_SERVICE, "max_conns": 200})
        site.publish()
        site.name_version()
        await _add_initial_machines(site)
        for name in list(machines.machines):
            await site.start_process(name)
        for name in machines.machines:
            await site.wait_until_up(name)
        site.ready.update(entry_names(plan.sizes))
        record.began_at = trio.current_time()
        site.print_progress(f"{len(machines.machines)} processes are up")
        yield site


async def _add_initial_machines(site: Site) -> None:
    """Add the machines that exist from the start."""
    sizes = site.plan.sizes
    zones = [f"z{index}" for index in range(sizes.zones)]
    for index, name in enumerate(entry_names(sizes)):
        site.machines.add_entry(name, zones[index % len(zones)])
    for index, host in enumerate(site.plan.replica_hosts):
        is_model = host.name.startswith("model")
        service = MODEL_SERVICE if is_model else PLAIN_SERVICE
        version = site.newest_version if is_model else 0
        await site.add_replica_host(host, zones[index % len(zones)], service, version)
    for index in range(PROBE_HOSTS):
        host = ReplicaHost(f"probe{index}", 0.0, PROBE_SLOTS)
        await site.add_replica_host(host, zones[index % len(zones)], PROBE_SERVICE, 0)
