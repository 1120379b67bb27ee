"""A test harness that runs real headcross processes on loopback against a fake platform.

Every host has an IP address of its own in a randomly chosen block; the ports are the same on all
hosts. Replicas run in the test process, which lists them in the store as the platform does.
"""

import os
import random
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import msgspec
import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure
from headcross_platform import names
from headcross_wire.httpclient import SOURCE_IP, call
from headcross_wire.httprequest import ServerLimits
from headcross_wire.httpserver import HttpServer

from deploy.start import SETTINGS_VARIABLE
from testing.machinelayout import (
    CALLERS,
    CHUNK_BYTES,
    CHUNKS,
    METRICS,
    MODEL,
    MODEL_SERVICE,
    ORIGIN,
    ORIGIN_SERVICE,
    PEERS,
    PLAIN_SERVICE,
    READINESS,
    REPLICA,
    SETTINGS,
    STORE,
    SWARM,
    WAIT_SECONDS,
    default_configuration,
)
from testing.platformorigin import FakePlatformOrigin
from testing.platformreplica import Ending, FakeReplica, new_replica_id
from testing.platformstore import FakePlatformStore

ROOT: Final = Path(__file__).resolve().parent.parent
START_PROGRAM: Final = ROOT / "deploy" / "start.py"
VERSION_KEY: Final = f"{names.VERSION_PREFIX}{MODEL}"


@dataclass
class Machine:
    """A host with one headcross process."""

    name: str
    ip: str
    zone: str
    role: str
    process: subprocess.Popen[bytes] | None = None


@dataclass
class ListedReplica:
    """A replica with its address and its entry in the replica list."""

    replica: FakeReplica
    ip: str
    zone: str
    service: str
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ended: trio.Event = field(default_factory=trio.Event)
    writes_entry: bool = True  # whether its entry in the list is kept current
    writes: int = 0  # how often this incarnation has written its entry

    @property
    def address(self) -> Address:
        """The address at which it accepts requests."""
        return Address(self.ip, REPLICA)


@dataclass
class Machines:
    """A running set of hosts with their platform."""

    directory: Path
    block: str  # second and third octet of the public IP addresses, such as "20.7"
    nursery: trio.Nursery
    store: FakePlatformStore = field(default_factory=FakePlatformStore)
    origin: FakePlatformOrigin = field(default_factory=lambda: FakePlatformOrigin(CHUNK_BYTES))
    machines: dict[str, Machine] = field(default_factory=dict)
    replicas: dict[str, ListedReplica] = field(default_factory=dict)
    configuration: dict[str, Any] = field(default_factory=default_configuration)
    seeds: list[str] = field(default_factory=list)
    link_mbits: float = 1000.0  # of the hosts of replicas
    entry_link_mbits: float = 1000.0
    weights_ms: float = 8000.0
    stop_seconds: float = 4.0
    mirrors: bool = True  # whether entries mirror weights
    entry_memory_mb: float = 200.0
    # If set, all listeners bind to addresses of this private block, and the caller of
    # `running_machines` runs proxies between them and the public addresses that clients use.
    private_block: str = ""
    program: Path = START_PROGRAM  # run by processes that are started
    listing_seconds: float = 0.01  # interval at which entries in the list are updated
    # From a restore of the store until replicas write again what it lost.
    rewrite_seconds: float = 0.3
    _last_ip_number: int = 10  # last octet of the IP address assigned last

    # The platform.

    async def open_platform(self) -> None:
        """Start the store and the origin, and publish the configuration."""
        server = HttpServer(
            self.store.handle, ServerLimits(cancel_on_eof=True, max_body_bytes=1024)
        )
        listeners, _ = await server.listen(self.private(self.address(STORE)))
        self.nursery.start_soon(server.serve, listeners)
        await self._listen(self.private(self.address(ORIGIN)), self.origin.serve_connection)
        origin = {"name": ORIGIN_SERVICE, "max_conns": 48, "origin": str(self.address(ORIGIN))}
        self.configuration["services"].append(origin)
        self.publish()

    def address(self, port: int) -> Address:
        """Return the address of a platform service."""
        return Address(f"127.{self.block}.1", port)

    def private(self, address: Address) -> Address:
        """Return the address that the listener of a public address binds to."""
        if not self.private_block:
            return address
        return Address(address.ip.replace(self.block, self.private_block, 1), address.port)

    def publish(self) -> int:
        """Publish the current configuration; return the store's revision."""
        return self.store.put(names.CONFIGURATION_KEY, self.configuration)

    def is_published(self) -> bool:
        """Return whether the store has the current configuration."""
        return self.store.holds(names.CONFIGURATION_KEY, self.configuration)

    def change(self, **changes: object) -> int:
        """Publish the next configuration version with changes; return the store's revision."""
        self.configuration = {**self.configuration, **changes}
        self.configuration["version"] += 1
        return self.publish()

    def name_version(self, version: int) -> None:
        """Publish the version to serve, after adding its weights to the origin if needed."""
        if version not in self.origin.versions:
            chunks = [random.randbytes(CHUNK_BYTES) for _ in range(CHUNKS)]
            self.origin.versions[version] = chunks
        self.store.put(VERSION_KEY, {"model": MODEL, "version": version})

    def is_named(self, version: int) -> bool:
        """Return whether the store has a version as the one to serve."""
        return self.store.holds(VERSION_KEY, {"model": MODEL, "version": version})

    async def add_replica(
        self, service: str, zone: str, *, ip: str = "", version: int = 0, slots: int = 8
    ) -> ListedReplica:
        """Start a replica and list it."""
        model = MODEL if service == MODEL_SERVICE else None
        replica = FakeReplica(new_replica_id(), model=model, version=version, slots=slots)
        if version:
            replica.staged = dict(enumerate(self.origin.versions[version]))
        listed = ListedReplica(replica, ip or self.new_ip(), zone, service)
        self.replicas[replica.id] = listed
        await self.start_replica(listed)
        return listed

    async def start_replica(self, listed: ListedReplica) -> None:
        """Start the listener of a replica and keep its entry in the list current."""
        listed.scope = trio.CancelScope()
        listed.ended = trio.Event()
        listed.writes = 0
        private = self.private(listed.address)
        listeners = await trio.open_tcp_listeners(private.port, host=private.ip)

        async def run() -> None:
            with listed.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        trio.serve_listeners, listed.replica.serve_connection, listeners
                    )
                    await self._keep_listed(listed)
            for listener in listeners:
                listener.socket.close()
            listed.ended.set()

        self.nursery.start_soon(run)

    def list_replica(self, listed: ListedReplica) -> None:
        """Write a replica's entry to the store."""
        listed.writes += 1
        self.store.put(f"{names.REPLICA_PREFIX}{listed.replica.id}", self._entry_of(listed))

    def _entry_of(self, listed: ListedReplica) -> dict[str, object]:
        replica = listed.replica
        loaded = [{"name": MODEL, "version": replica.version}] if replica.version else []
        entry = {
            "service": listed.service,
            "addr": str(listed.address),
            "zone": listed.zone,
            "version": "v1",
            "slots": replica.slots,
            "state": "draining" if replica.draining else "ready",
            names.SLOW_START_MS: 0,
            "models": loaded,
            "seq": listed.writes,
        }
        if replica.reports_start:
            entry[names.STARTED_MS] = replica.started_ms
        return entry

    def _is_entry_lost(self, listed: ListedReplica) -> bool:
        """Return whether the store does not have the entry as it was last written."""
        key = f"{names.REPLICA_PREFIX}{listed.replica.id}"
        return not self.store.holds(key, self._entry_of(listed))

    def crash_replica(self, listed: ListedReplica) -> None:
        """Stop a replica abruptly; its entry stays in the list."""
        listed.scope.cancel()

    async def restart_replica(self, listed: ListedReplica, clock_step_ms: int = 0) -> None:
        """Crash a replica and restart it at once under the same id."""
        self.crash_replica(listed)
        await listed.ended.wait()
        listed.replica.start_again(clock_step_ms)
        await self.start_replica(listed)

    async def revive_replicas(self, service: str, seconds: float) -> None:
        """Restart replicas of a service `seconds` after each failure, until cancelled.

        A restarted replica has the same address, a new id and the weights of its first start.
        """
        async with trio.open_nursery() as nursery:
            for listed in list(self.replicas.values()):
                if listed.service == service:
                    nursery.start_soon(self._revive, listed, seconds)

    async def _revive(self, listed: ListedReplica, seconds: float) -> None:
        replica = listed.replica
        version = replica.version
        while True:
            await replica.ended.wait()
            if replica.ending is not Ending.SILENCE:
                self.crash_replica(listed)
            await trio.sleep(seconds)
            self.crash_replica(listed)
            await listed.ended.wait()
            self.unlist(listed)
            del self.replicas[replica.id]
            replica.id = new_replica_id()
            replica.start_again()
            replica.version = version
            self.replicas[replica.id] = listed
            await self.start_replica(listed)

    def unlist(self, listed: ListedReplica) -> None:
        """Remove a replica's entry from the store."""
        self.store.remove(f"{names.REPLICA_PREFIX}{listed.replica.id}")

    async def _keep_listed(self, listed: ListedReplica) -> None:
        """Complete due loads and write the entry whenever it changes, until cancelled.

        It is written again if the store was restored and has lost it.
        """
        listed_state: object = None
        era, restored_at = self.store.era, float("inf")
        while True:
            listed.replica.complete_load()
            replica = listed.replica
            state = (replica.version, replica.draining, replica.started_ms)
            if self.store.era != era:
                era, restored_at = self.store.era, trio.current_time()
            is_lost = False
            if trio.current_time() - restored_at >= self.rewrite_seconds:
                restored_at, is_lost = float("inf"), self._is_entry_lost(listed)
            if (state != listed_state or is_lost) and listed.writes_entry:
                listed_state = state
                self.list_replica(listed)
            await trio.sleep(self.listing_seconds)

    async def _listen(self, address: Address, serve: Any) -> None:  # noqa: ANN401
        listeners = await trio.open_tcp_listeners(address.port, host=address.ip)
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)

    # Processes.

    def new_ip(self) -> str:
        """Return an unused IP address."""
        self._last_ip_number += 1
        return f"127.{self.block}.{self._last_ip_number}"

    def add_entry(self, name: str, zone: str) -> Machine:
        """Add an entry host without starting its process."""
        machine = Machine(name, self.new_ip(), zone, "entry")
        self.machines[name] = machine
        self.seeds.append(f"{machine.ip}:{PEERS}")
        return machine

    def add_daemon(self, name: str, listed: ListedReplica) -> Machine:
        """Add the daemon on a replica's host without starting its process."""
        machine = Machine(name, listed.ip, listed.zone, "upstream")
        self.machines[name] = machine
        return machine

    def start(self, name: str) -> None:
        """Write the settings of a host's process and start it."""
        machine = self.machines[name]
        path = self.directory / f"{name}.toml"
        path.write_text(self._settings(machine))
        environment = {**os.environ, SETTINGS_VARIABLE: str(path)}
        with (self.directory / f"{name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                [sys.executable, str(self.program)],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=ROOT,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a host's process."""
        process = self.machines[name].process
        assert process is not None
        process.send_signal(number)

    async def wait_exit(self, name: str) -> int:
        """Wait until a host's process has exited; return its exit code."""
        process = self.machines[name].process
        assert process is not None
        with trio.fail_after(WAIT_SECONDS):
            while process.poll() is None:
                await trio.sleep(0.02)
        return int(process.returncode)

    def log(self, name: str) -> list[dict[str, Any]]:
        """Return the JSON log lines of a host's processes so far."""
        text = (self.directory / f"{name}.log").read_bytes()
        lines = text.split(b"\n")[:-1]
        return [msgspec.json.decode(line) for line in lines if line.startswith(b"{")]

    async def state(self, name: str) -> dict[str, Any]:
        """Return a process's state dump; empty if it does not answer within 2 s."""
        address = Address(self.machines[name].ip, METRICS)
        outcome = await call(address, "GET", "/state", seconds=2, max_bytes=1 << 20)
        if isinstance(outcome, Failure):
            return {}
        state: dict[str, Any] = msgspec.json.decode(outcome.value.body)
        return state

    async def ready(self, name: str) -> bool:
        """Return whether an entry reports that it is ready."""
        address = self.private(Address(self.machines[name].ip, READINESS))
        outcome = await call(address, "GET", "/ready", seconds=1, max_bytes=1 << 16)
        return not isinstance(outcome, Failure) and outcome.value.status == 200

    async def wait_ready(self, *entries: str) -> None:
        """Wait until entries report that they are ready."""
        for name in entries:
            with trio.fail_after(WAIT_SECONDS):
                while not await self.ready(name):
                    await trio.sleep(0.03)

    def callers(self, name: str) -> Address:
        """Return the address of an entry's listener for callers."""
        return Address(self.machines[name].ip, CALLERS)

    def stop_all(self) -> None:
        """Kill all processes that are still running, paused ones too."""
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()

    def _seeds_of(self, machine: Machine) -> list[str]:
        """Return the seeds for a process's settings.

        A process recognises itself among the seeds by its listening address. If it listens on a
        private address, it would take its own public address for another entry, so the public
        address is left out.
        """
        own = f"{machine.ip}:{PEERS}"
        return [seed for seed in self.seeds if not self.private_block or seed != own]

    def _settings(self, machine: Machine) -> str:
        ip = self.private(Address(machine.ip, PEERS)).ip
        listen = f'peers = "{ip}:{PEERS}"'
        replica = ""
        if machine.role == "entry":
            if self.mirrors:
                listen += f'\nswarm = "{ip}:{SWARM}"'
            listen += f'\ncallers = "{ip}:{CALLERS}"'
            listen += f'\nreadiness = "{ip}:{READINESS}"'
        else:
            listen += f'\nswarm = "{ip}:{SWARM}"'
            address = f"{machine.ip}:{REPLICA}"
            replica = f'[replica]\naddress = "{address}"\nservice = "{MODEL_SERVICE}"'
        zones = sorted({m.zone for m in self.machines.values()})
        return SETTINGS.format(
            name=machine.name,
            ip=machine.ip,
            zone=machine.zone,
            role=machine.role,
            zones="\n".join(f'{zone} = "r-{zone}"' for zone in zones),
            listen=listen,
            seeds=msgspec.json.encode(self._seeds_of(machine)).decode(),
            replica=replica,
            store=self.address(STORE),
            link=self.entry_link_mbits if machine.role == "entry" else self.link_mbits,
            memory=self.entry_memory_mb if machine.role == "entry" else 200,
            weights_ms=self.weights_ms,
            stop=self.stop_seconds,
        )


@asynccontextmanager
async def running_machines(
    directory: Path, *, interposed: bool = False
) -> AsyncIterator[Machines]:
    """Run a platform without hosts; all processes are killed on exit from the context.

    With `interposed`, all listeners bind to private addresses, and the caller runs the proxies.
    """
    seed = random.randrange(1 << 30)
    generator = random.Random(os.getpid() * 7919 + seed)
    block = f"{generator.randrange(16, 250)}.{generator.randrange(1, 250)}"
    private_block = f"{generator.randrange(16, 250)}.{generator.randrange(1, 250)}"
    # With proxies, the run depends on the seed of its plan, not on this one.
    print(f"addresses in 127.{block}.0" if interposed else f"seed {seed}")
    async with trio.open_nursery() as nursery:
        machines = Machines(directory, block, nursery)
        if interposed:
            machines.private_block = private_block
        SOURCE_IP.set(f"127.{block}.2")
        try:
            await machines.open_platform()
            yield machines
        finally:
            SOURCE_IP.set(None)
            machines.stop_all()
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def small_site(
    directory: Path,
    *,
    models: int = 2,
    plain: int = 2,
    entries: int = 1,
    zones: Sequence[str] = ("z0",),
    daemons: bool = False,
    named: int = 0,
    link_mbits: float = 1000.0,
    entry_link_mbits: float = 1000.0,
    entry_memory_mb: float = 200.0,
    mirrors: bool = True,
    weights_ms: float = 8000.0,
    program: Path = START_PROGRAM,
) -> AsyncIterator[Machines]:
    """Run entries and replicas that serve version 1; wait until the entries are ready.

    `named`, if not 0, is the version that the platform names from the start.
    """
    async with running_machines(directory) as site:
        site.link_mbits = link_mbits
        site.entry_link_mbits = entry_link_mbits
        site.entry_memory_mb = entry_memory_mb
        site.mirrors = mirrors
        site.weights_ms = weights_ms
        site.program = program
        site.origin.versions[1] = [random.randbytes(CHUNK_BYTES) for _ in range(CHUNKS)]
        if named:
            site.name_version(named)
        for index in range(entries):
            site.add_entry(f"entry{index}", zones[index % len(zones)])
        for index in range(models):
            listed = await site.add_replica(MODEL_SERVICE, zones[index % len(zones)], version=1)
            if daemons:
                site.add_daemon(f"daemon{index}", listed)
        for index in range(plain):
            await site.add_replica(PLAIN_SERVICE, zones[index % len(zones)])
        # Entries that start before all replicas are listed would begin with an incomplete list.
        with trio.fail_after(WAIT_SECONDS):
            while sum(key.startswith(names.REPLICA_PREFIX) for key in site.store.items) < len(
                site.replicas
            ):
                await trio.sleep(0.01)
        for name in site.machines:
            site.start(name)
        await site.wait_ready(*(f"entry{index}" for index in range(entries)))
        yield site


def replicas_of(site: Machines, service: str) -> list[FakeReplica]:
    """Return the replicas of a service in start order."""
    return [r.replica for r in site.replicas.values() if r.service == service]
