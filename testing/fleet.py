"""A test harness that runs a fleet of real daemons on loopback against a fake platform.

Every host has an IP address of its own in 127.0.0.0/8, in a randomly chosen block so that
concurrent runs do not collide; the ports are the same on every host. Optionally, fault-injecting
proxies stand before the daemons' listeners.
"""

import json
import os
import random
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure
from headcross_wire.httpclient import SOURCE_IP, call
from headcross_wire.httprequest import ServerLimits
from headcross_wire.httpserver import HttpHandler, HttpServer

from testing.configservice import FakeConfigService
from testing.engine import FakeEngine
from testing.faultproxy import Fault, FaultProxy
from testing.origin import FakeOrigin
from testing.plainservice import FakePlainService

CONTROL, HTTP, ADMIN, SWARM, WEIGHTS, ENGINE = 7000, 7001, 7002, 7003, 7004, 7005
PROXY_OFFSET = 1000
MAX_BYTES = 64 * 1024 * 1024


@dataclass
class Spec:
    """The specification of a host."""

    name: str
    role: str
    zone: str
    region: str
    service: str = ""  # plain service of the upstream; empty for a model upstream
    checks_fences: bool = True
    # TOML to append to the generated settings in place of the default [stop] table.
    settings: str = ""
    upstream: str = ""  # TOML to append to the [[upstreams]] table
    module: str = "headcross_daemon.main"  # module to run as the daemon


@dataclass
class Node:
    """A host of a running fleet."""

    spec: Spec
    ip: str
    process: subprocess.Popen[bytes] | None = None
    engine: FakeEngine | None = None
    plain: FakePlainService | None = None
    leaving: bool = False
    listed: bool = True

    def address(self, port: int) -> Address:
        """Return the host's address for a port."""
        return Address(self.ip, port)


@dataclass
class Fleet:
    """A running fleet with its platform."""

    directory: Path
    block: str  # second and third octet of all IP addresses, such as "20.7"
    nursery: trio.Nursery
    proxied: bool
    config: FakeConfigService = field(default_factory=FakeConfigService)
    origin: FakeOrigin = field(default_factory=FakeOrigin)
    nodes: dict[str, Node] = field(default_factory=dict)
    # Returns the fault to inject between a source and a target IP address.
    fault_of: Callable[[str, str], Fault] = lambda source, target: "pass"
    uplink: float = 0.0  # bytes per second; 0 for no bound
    downlink: float = 0.0
    memory: int = 1 << 30  # bytes for weights

    async def serve(self, handler: HttpHandler, address: Address) -> None:
        """Run an HTTP server for a fake in the background."""
        server = HttpServer(handler, ServerLimits(max_body_bytes=MAX_BYTES))
        listeners, _ = await server.listen(address)
        self.nursery.start_soon(server.serve, listeners)

    async def add(self, spec: Spec) -> Node:
        """Add a host with its fakes and proxies; `start` starts its daemon."""
        node = Node(spec, f"127.{self.block}.{len(self.nodes) + 2}")
        self.nodes[spec.name] = node
        if spec.role == "upstream" and spec.service:
            node.plain = FakePlainService(spec.name)
            await self.serve(node.plain.handle, node.address(ENGINE))
        elif spec.role == "upstream":
            node.engine = FakeEngine(spec.checks_fences)
            await self.serve(node.engine.handle, node.address(ENGINE))
        if self.proxied:
            for port in (CONTROL, HTTP, SWARM):
                proxy = FaultProxy(
                    node.address(port + PROXY_OFFSET),
                    node.address(port),
                    lambda source, target: self.fault_of(source, target),
                )
                await self.nursery.start(proxy.run)
        return node

    def start(self, name: str) -> None:
        """Write a host's settings file and start its daemon."""
        node = self.nodes[name]
        (self.directory / f"{name}.toml").write_text(self._settings(node))
        self.start_again(name)

    def start_again(self, name: str) -> None:
        """Start a host's daemon with its existing settings file."""
        node = self.nodes[name]
        path = self.directory / f"{name}.toml"
        log = (self.directory / f"{name}.log").open("ab")
        command = [sys.executable, "-m", node.spec.module, "--settings", str(path)]
        node.process = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal, SIGKILL by default, to a host's daemon."""
        process = self.nodes[name].process
        assert process is not None
        os.kill(process.pid, number)

    async def wait_exit(self, name: str) -> int:
        """Wait until a daemon has exited; return its exit code."""
        process = self.nodes[name].process
        assert process is not None
        while process.poll() is None:
            await trio.sleep(0.02)
        return process.returncode

    def publish_hosts(self) -> int:
        """Publish the current host list; return its revision."""
        hosts = [self._host(node) for node in self.nodes.values() if node.listed]
        return self.config.publish("hosts", json.dumps({"hosts": hosts}).encode())

    def publish_fleet(self, text: str, revision: int | None = None) -> int:
        """Publish a fleet file; return its revision."""
        return self.config.publish("fleet", text.encode(), revision)

    async def state(self, name: str) -> dict[str, Any]:
        """Return a daemon's state dump; empty if it does not answer within 3 s."""
        outcome = await call(
            self.nodes[name].address(ADMIN), "GET", "/v1/state", seconds=3, max_bytes=MAX_BYTES
        )
        if isinstance(outcome, Failure) or outcome.value.status != 200:
            return {}
        state: dict[str, Any] = json.loads(outcome.value.body)
        return state

    def names(self, role: str) -> list[str]:
        """Return the names of the hosts with a role."""
        return [name for name, node in self.nodes.items() if node.spec.role == role]

    def engines(self) -> dict[str, FakeEngine]:
        """Return the engines by host name."""
        return {n: node.engine for n, node in self.nodes.items() if node.engine is not None}

    async def wait_revision(self, revision: int, names: list[str] | None = None) -> None:
        """Wait until daemons, all by default, use a fleet file of at least this revision."""
        for name in names or list(self.nodes):
            await wait_for(partial(self._has_revision, name, revision), f"{name}@{revision}")

    async def wait_settled(self) -> None:
        """Wait until every daemon reports that it has settled."""
        for name in self.nodes:

            async def settled(name: str = name) -> bool:
                return bool((await self.state(name)).get("settled"))

            await wait_for(settled, f"{name} settled")

    async def wait_serving(self, digest: str, count: int) -> None:
        """Wait until an entry sees at least `count` upstreams serving a digest."""
        entry = self.names("entry")[0]

        async def enough() -> bool:
            rows = (await self.state(entry)).get("upstreams", [])
            serving = [r for r in rows if r["state"] == "serving" and r["digest"] == digest]
            return len(serving) >= count

        await wait_for(enough, f"{count} serving {digest[:8]}")

    async def _has_revision(self, name: str, revision: int) -> bool:
        state = await self.state(name)
        return bool(state) and state["documents"]["fleet"]["revision"] >= revision

    def _host(self, node: Node) -> dict[str, Any]:
        offset = PROXY_OFFSET if self.proxied else 0
        spec = node.spec
        host: dict[str, Any] = {
            "name": spec.name,
            "role": spec.role,
            "region": spec.region,
            "zone": spec.zone,
            "control": str(node.address(CONTROL + offset)),
            "http": str(node.address(HTTP + offset)),
            "leaving": node.leaving,
        }
        if spec.role == "upstream":
            host["swarm"] = str(node.address(SWARM + offset))
            kind = "plain" if spec.service else "model"
            host["upstreams"] = [{"name": f"{spec.name}-u", "kind": kind, "service": spec.service}]
        return host

    def _settings(self, node: Node) -> str:
        spec, address = node.spec, node.address
        text = f"""
name = "{spec.name}"
role = "{spec.role}"
region = "{spec.region}"
zone = "{spec.zone}"
log_level = "info"
[listen]
control = "{address(CONTROL)}"
http = "{address(HTTP)}"
admin = "{address(ADMIN)}"
source_ip = "{node.ip}"
"""
        if spec.role == "upstream":
            text += f'swarm = "{address(SWARM)}"\nweights = "{address(WEIGHTS)}"\n'
        text += f'[platform]\nconfig = ["{self.platform(7100)}"]\n'
        if spec.role == "upstream":
            kind = "plain" if spec.service else "model"
            text += f"""origin = "{self.platform(7101)}"
[weights]
memory_bytes = {self.memory}
uplink_bytes_per_second = {self.uplink}
downlink_bytes_per_second = {self.downlink}
burst_bytes = 65536
[[upstreams]]
name = "{spec.name}-u"
kind = "{kind}"
service = "{spec.service}"
address = "{address(ENGINE)}"
{spec.upstream}
"""
        return text + (spec.settings or "[stop]\nnotice_seconds = 0.5\ndrain_seconds = 20\n")

    def platform(self, port: int) -> Address:
        """Return the address of a fake of the platform."""
        return Address(f"127.{self.block}.1", port)


@asynccontextmanager
async def running_fleet(
    directory: Path,
    specs: list[Spec],
    *,
    proxied: bool = False,
    uplink: float = 0.0,
    downlink: float = 0.0,
    memory: int = 1 << 30,
    origin_rate: float = 0.0,
) -> AsyncIterator[Fleet]:
    """Set up a fleet and its platform without starting daemons.

    Daemons that are still running on exit from the context are killed.
    """
    block = f"{random.randrange(2, 250)}.{random.randrange(1, 250)}"
    SOURCE_IP.set(f"127.{block}.1")
    async with trio.open_nursery() as nursery:
        fleet = Fleet(directory, block, nursery, proxied)
        fleet.uplink, fleet.downlink, fleet.memory = uplink, downlink, memory
        fleet.origin = FakeOrigin(origin_rate)
        await fleet.serve(fleet.config.handle, fleet.platform(7100))
        await fleet.serve(fleet.origin.handle, fleet.platform(7101))
        for spec in specs:
            await fleet.add(spec)
        fleet.publish_hosts()
        try:
            yield fleet
        finally:
            for node in fleet.nodes.values():
                if node.process is not None and node.process.poll() is None:
                    node.process.kill()
                    node.process.wait()
            nursery.cancel_scope.cancel()


async def wait_for(
    condition: Callable[[], Any], what: str, seconds: float = 30.0, poll: float = 0.05
) -> None:
    """Poll an async condition until it holds.

    Raises:
        AssertionError: It did not hold within `seconds`; the text names `what`.
    """
    with trio.move_on_after(seconds):
        while not await condition():
            await trio.sleep(poll)
        return
    raise AssertionError(f"not within {seconds} s: {what}")
