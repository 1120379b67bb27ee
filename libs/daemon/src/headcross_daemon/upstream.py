"""Implements the upstream role: the daemon beside one or more upstreams.

It fetches weights, sends orders to the engines, and forwards every request to its upstreams.
"""

import logging
from functools import partial
from typing import Final

import trio
from headcross_base.addresses import parse_address
from headcross_base.monotonic import monotonic
from headcross_base.supervision import keep_running
from headcross_fleet.upstreamgate import LEAVING, UpstreamGate
from headcross_native.engine import Engine
from headcross_native.weightsource import WeightSource
from headcross_rollout.orders import OrderIssuer
from headcross_rollout.runner import RunnerContext, UpstreamRunner
from headcross_rollout.target import Targets
from headcross_rollout.turnclient import TurnClient
from headcross_routing.fairqueue import FairQueue
from headcross_routing.ledger import KeyLedger, RequestLedger
from headcross_routing.upstreamhandler import LocalUpstream, UpstreamHandler
from headcross_weights.chunkstore import ChunkStore
from headcross_weights.imports import Importer
from headcross_weights.swarm import Swarm
from headcross_wire.httprequest import ServerLimits
from headcross_wire.httpserver import HttpServer
from headcross_wire.linkrate import LinkRate
from headcross_wire.peermessages import TurnAnswer, UpstreamStatus
from headcross_wire.peernode import IncomingMessage
from headcross_wire.plannedstop import stop_server

from headcross_daemon.admin import MAX_ADMIN_BODY_BYTES, AdminApi
from headcross_daemon.heartbeats import Heartbeats
from headcross_daemon.metrics import MetricsPage, Samples, sample
from headcross_daemon.plainrunner import run_plain
from headcross_daemon.process import Process, serve_http
from headcross_daemon.processmetrics import process_samples
from headcross_daemon.settings import Settings, Upstream
from headcross_daemon.weightsserver import WeightsServer

# How long connections are accepted after the notice that this daemon shuts down.
SHUTDOWN_NOTICE_SECONDS: Final = 0.1

logger = logging.getLogger(__name__)


class UpstreamDaemon:
    """Runs the process of one upstream daemon."""

    def __init__(self, settings: Settings) -> None:
        self.process = Process(settings, self._handle_message)
        self.store = ChunkStore(settings.weights.memory_bytes)
        self.swarm, self.importer = _make_swarm(settings, self.store)
        self.local_upstreams = {
            upstream.name: _make_local_upstream(upstream) for upstream in settings.upstreams
        }
        self.runners: dict[str, UpstreamRunner] = {}
        self.keys = KeyLedger(
            settings.name, settings.ledger.entries, settings.ledger.remember_seconds
        )
        self.handler = UpstreamHandler(
            self.local_upstreams,
            RequestLedger(settings.ledger.entries),
            self.keys,
            self.process.documents,
            self.process.incarnation,
        )
        self.heartbeats = Heartbeats(
            settings.name,
            self.process.incarnation,
            self.process.documents,
            self.process.node,
            self._report,
        )
        for local in self.local_upstreams.values():
            local.gate.on_change = self.heartbeats.notify_change
        self._turns = TurnClient(
            settings.name, settings.zone, self.process.documents, self.process.node
        )
        self._targets = Targets(self.process.documents)
        self._metrics = MetricsPage(self._samples)
        self._admin = AdminApi(
            self.process, self.dump, self.list_upstreams, lambda team: None, self._metrics.render
        )

    async def run(self, stop: trio.Event) -> None:
        """Serve until `stop` is set, then drain and return."""
        settings = self.process.settings
        limits = ServerLimits(
            # The entry adds headers of its own to what it accepted from the caller.
            max_body_bytes=settings.limits.max_body_bytes,
            write_seconds=settings.limits.write_seconds,
            max_connections=settings.limits.max_connections,
        )
        async with trio.open_nursery() as nursery:
            # Bound first: prevents a second daemon with the same settings from starting.
            server = HttpServer(self.handler.handle, limits, self.handler.refuse)
            http_address = await serve_http(nursery, server, settings.listen.http)
            weights = HttpServer(WeightsServer(self.store).handle, ServerLimits())
            weights_address = await serve_http(nursery, weights, settings.listen.weights)
            admin_limits = ServerLimits(max_body_bytes=MAX_ADMIN_BODY_BYTES)
            admin = HttpServer(self._admin.handle, admin_limits)
            await serve_http(nursery, admin, settings.listen.admin)
            nursery.start_soon(self.process.run)
            nursery.start_soon(self.swarm.run)
            nursery.start_soon(
                keep_running, "apply hosts", partial(self.process.on_change, self._apply_hosts)
            )
            nursery.start_soon(
                keep_running,
                "notify change",
                partial(self.process.on_change, self.heartbeats.notify_change),
            )
            nursery.start_soon(keep_running, "heartbeats", self.heartbeats.run)
            for upstream in settings.upstreams:
                self._start_runner(nursery, upstream, str(weights_address))
            logger.info("listening", extra={"http": str(http_address)})
            await stop.wait()
            await self._drain(server)
            nursery.cancel_scope.cancel()

    def _start_runner(
        self, nursery: trio.Nursery, upstream: Upstream, weights_address: str
    ) -> None:
        process = self.process
        gate = self.local_upstreams[upstream.name].gate
        if upstream.kind == "plain":
            nursery.start_soon(
                run_plain,
                gate,
                upstream.service,
                process.settings.name,
                process.documents,
                process.follower,
            )
            return
        engine = Engine(parse_address(upstream.address))
        orders = OrderIssuer(
            engine,
            process.documents,
            process.follower,
            process.pauses,
            process.journal,
            process.incarnation,
            weights_address,
        )
        context = RunnerContext(
            process.documents,
            process.follower,
            self._targets,
            self.swarm,
            self._turns,
            process.journal,
        )
        runner = UpstreamRunner(gate, engine, orders, context)
        self.runners[upstream.name] = runner
        nursery.start_soon(keep_running, "rollout", runner.run)

    async def _drain(self, server: HttpServer) -> None:
        """Refuse new requests, notify the entries, then wait for running requests.

        Resumable streams that still run after the drain time are handed off to other upstreams.
        """
        stop = self.process.settings.stop
        end = trio.current_time() + stop.limit_seconds
        self.process.unhealthy_reason = "draining"
        gates = [local.gate for local in self.local_upstreams.values()]
        for gate in gates:
            gate.stop()
        self.heartbeats.send()
        server.announce_close()
        logger.info("draining", extra={"in_flight": sum(gate.in_flight for gate in gates)})
        with trio.move_on_at(end):
            with trio.move_on_after(stop.drain_seconds):
                for gate in gates:
                    await gate.wait_idle()
            for gate in gates:
                gate.hand_off.set()
            for gate in gates:
                await gate.wait_idle()
            # Entries that do not know of the stop yet get a "not run" answer during this time.
            await trio.sleep(stop.notice_seconds)
        self.heartbeats.send_shutdown_notice()
        # Entries that received the notice send nothing more; they receive it in this time.
        accept_until = trio.current_time() + SHUTDOWN_NOTICE_SECONDS
        await stop_server(server, accept_until=accept_until, end=end)
        logger.info("drained", extra={"in_flight": sum(gate.in_flight for gate in gates)})

    def dump(self) -> dict[str, object]:
        """Return the state of the process for the administration address."""
        return {
            **self.process.dump(),
            "upstreams": self.list_upstreams(),
            "requests": dict(self.handler.counts),
            "heartbeats_sent": self.heartbeats.sent,
            "keys": len(self.keys),
            "weights": self._dump_weights(),
            "swarm": {
                "node": self.process.dump_node(self.swarm.node),
                "counts": dict(self.swarm.counts),
                "uploads": {
                    "sent": self.swarm.uploads.sent,
                    "refused": self.swarm.uploads.refused,
                },
                "source_bytes": dict(self.importer.received_bytes),
                "source_failures": dict(self.importer.failures),
                "source_corrupt": dict(self.importer.corrupt),
            },
        }

    def list_upstreams(self) -> list[dict[str, object]]:
        """Return the state of every upstream beside this daemon."""
        rows: list[dict[str, object]] = []
        for status in self._report():
            runner = self.runners.get(status.name)
            target = runner.target if runner is not None else None
            rows.append(
                {
                    "upstream": status.name,
                    "host": self.process.settings.name,
                    "state": status.state,
                    "pool": status.pool,
                    "digest": status.digest,
                    "revision": self.process.documents.revision,
                    "progress": round(status.progress, 4),
                    "in_flight": status.in_flight,
                    "queued": status.queued,
                    "state_seconds": round(
                        monotonic() - self.local_upstreams[status.name].gate.changed_at, 3
                    ),
                    "target_digest": target.digest if target is not None else "",
                    "target_pool": target.pool if target is not None else "",
                }
            )
        return rows

    def _dump_weights(self) -> dict[str, object]:
        return {
            "limit_bytes": self.store.limit_bytes,
            "used_bytes": self.store.used_bytes,
            "artifacts": {
                stored.digest: {"progress": round(stored.progress, 4)}
                for stored in self.store.artifacts()
            },
            "transfers": {
                digest: {
                    "trouble": transfer.last_error,
                    "neighbours": sum(view.joined for view in transfer.views.values()),
                    "quarantined": [v.host for v in transfer.views.values() if v.quarantined],
                }
                for digest, transfer in self.swarm.transfers.items()
            },
        }

    def _report(self) -> list[UpstreamStatus]:
        return [self._report_one(name, local) for name, local in self.local_upstreams.items()]

    def _report_one(self, name: str, local: LocalUpstream) -> UpstreamStatus:
        gate = local.gate
        runner = self.runners.get(name)
        engine = runner.engine_state if runner is not None else None
        age = monotonic() - runner.engine_state_at if runner is not None else 0.0
        return UpstreamStatus(
            name=name,
            state=LEAVING if gate.stopping else gate.state,
            pool=gate.pool,
            digest=gate.digest,
            in_flight=gate.in_flight,
            queued=local.queue.queued,
            slots=local.queue.slots,
            engine_load=engine.load if engine is not None else 0.0,
            engine_load_age=engine.load_age + age if engine is not None else 0.0,
            progress=runner.progress if runner is not None else 1.0,
        )

    def _apply_hosts(self) -> None:
        self.swarm.update_hosts(self.process.documents.hosts)
        self.keys.update_hosts(self.process.documents.hosts)

    def _handle_message(self, incoming: IncomingMessage) -> None:
        if isinstance(incoming.message, TurnAnswer):
            self._turns.receive(incoming.message)
        else:
            self.process.node.malformed += 1

    def _samples(self) -> Samples:
        samples = process_samples(self.process)
        for outcome, count in self.handler.counts.items():
            verdict, _, reason = outcome.partition(" ")
            samples[sample("requests_total", verdict=verdict, reason=reason)] = count
        for status in self._report():
            samples[sample("upstream_in_flight", upstream=status.name)] = status.in_flight
            samples[sample("upstream_queued", upstream=status.name)] = status.queued
            samples[sample("upstream_progress", upstream=status.name)] = status.progress
            state_key = sample("upstream_state", upstream=status.name, state=status.state)
            samples[state_key] = 1.0
        samples[sample("weights_bytes")] = self.store.used_bytes
        for name, count in self.swarm.counts.items():
            if " " not in name:
                samples[sample(f"swarm_{name}_total")] = count
        for source, count in self.importer.received_bytes.items():
            samples[sample("source_bytes_total", source=source)] = count
        for source, count in self.importer.corrupt.items():
            samples[sample("source_corrupt_total", source=source)] = count
        return samples


def _make_local_upstream(upstream: Upstream) -> LocalUpstream:
    return LocalUpstream(
        UpstreamGate(upstream.name),
        FairQueue(upstream.max_concurrent, upstream.max_queued),
        parse_address(upstream.address),
    )


def _make_swarm(settings: Settings, store: ChunkStore) -> tuple[Swarm, Importer]:
    weights, platform = settings.weights, settings.platform
    uplink = LinkRate(weights.uplink_bytes_per_second, weights.burst_bytes)
    downlink = LinkRate(weights.downlink_bytes_per_second, weights.burst_bytes)
    sources = [
        WeightSource(name, parse_address(address))
        for name, address in (("store", platform.store), ("origin", platform.origin))
        if address
    ]
    importer = Importer(sources, downlink)
    address = parse_address(settings.listen.swarm)
    return Swarm(settings.name, address, store, importer, uplink, downlink), importer
