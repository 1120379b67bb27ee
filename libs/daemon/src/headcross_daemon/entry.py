"""Implements the entry role: forwards callers' requests to upstreams.

An entry also receives the heartbeats of upstream daemons and answers their requests for turns in a
rollout. It holds no state that another entry needs, so it can be killed and replaced at any time.
"""

import logging
from functools import partial
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.supervision import keep_running
from headcross_base.verdicts import Verdict, verdict_name
from headcross_fleet.membership import StatusTable
from headcross_rollout.turnresponder import TurnResponder
from headcross_routing.entryhandler import EntryHandler
from headcross_routing.picking import Picker
from headcross_routing.requestmeta import RequestMeta
from headcross_wire.httprequest import ServerLimits
from headcross_wire.httpserver import HttpServer
from headcross_wire.peermessages import AskTurn, ShutdownNotice, Status
from headcross_wire.peernode import IncomingMessage
from headcross_wire.plannedstop import LAST_REFUSALS_SECONDS, stop_server
from prometheus_client import Histogram

from headcross_daemon.admin import MAX_ADMIN_BODY_BYTES, AdminApi
from headcross_daemon.metrics import MetricsPage, Samples, sample
from headcross_daemon.process import Process, serve_http
from headcross_daemon.processmetrics import process_samples
from headcross_daemon.settings import Settings

LATENCY_BUCKETS_SECONDS: Final = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60, 120, 300)

logger = logging.getLogger(__name__)


class EntryDaemon:
    """Runs the process of one entry."""

    def __init__(self, settings: Settings) -> None:
        self.process = Process(settings, self._handle_message)
        self.statuses = StatusTable()
        self._turn_responder = TurnResponder(self.process.documents, self.statuses)
        self.picker = Picker(settings.zone, self.statuses)
        self.handler = EntryHandler(
            self.process.documents,
            self.statuses,
            self.picker,
            self.process.follower.settled,
            self._observe,
        )
        self._metrics = MetricsPage(self._samples)
        self._latency = Histogram(
            "headcross_request_seconds",
            "Time from a request's arrival to the end of its answer",
            ["target", "verdict"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._metrics.registry,
        )
        self._admin = AdminApi(
            self.process,
            self.dump,
            self.list_upstreams,
            self.team_summary,
            self._metrics.render,
        )

    async def run(self, stop: trio.Event) -> None:
        """Serve until `stop` is set, then drain and return."""
        settings = self.process.settings
        limits = ServerLimits(
            max_body_bytes=settings.limits.max_body_bytes,
            receive_seconds=settings.limits.receive_seconds,
            write_seconds=settings.limits.write_seconds,
            max_connections=settings.limits.max_connections,
        )
        async with trio.open_nursery() as nursery:
            admin_limits = ServerLimits(max_body_bytes=MAX_ADMIN_BODY_BYTES)
            admin = HttpServer(self._admin.handle, admin_limits)
            await serve_http(nursery, admin, settings.listen.admin)
            server = HttpServer(self.handler.handle, limits, self.handler.refuse)
            http_address = await serve_http(nursery, server, settings.listen.http)
            nursery.start_soon(self.process.run)
            nursery.start_soon(
                keep_running, "remove absent", partial(self.process.on_change, self._remove_absent)
            )
            _log_listening(http_address)
            await stop.wait()
            await self._drain(server)
            nursery.cancel_scope.cancel()

    async def _drain(self, server: HttpServer) -> None:
        """Report unhealthy, stop accepting after the notice, then wait for running requests."""
        stop = self.process.settings.stop
        now = trio.current_time()
        self.process.unhealthy_reason = "draining"
        logger.info("draining", extra={"in_flight": self.handler.in_flight})
        end = now + stop.limit_seconds
        self.handler.end_requests_at(end - LAST_REFUSALS_SECONDS)
        await stop_server(server, accept_until=now + stop.notice_seconds, end=end)
        logger.info("drained", extra={"in_flight": self.handler.in_flight})

    def dump(self) -> dict[str, object]:
        """Return the state of the process for the administration address."""
        return {
            **self.process.dump(),
            "requests": dict(self.handler.counts),
            "in_flight": self.handler.in_flight,
            "attempts": self.handler.attempts,
            "retries": {"spent": self.handler.budget.spent, "denied": self.handler.budget.denied},
            "teams": self.handler.limits.dump(),
            "upstreams": self.list_upstreams(),
            "picker": self.picker.dump(),
            "stale_heartbeats": self.statuses.stale,
        }

    def list_upstreams(self) -> list[dict[str, object]]:
        """Return the state of every upstream as known from heartbeats."""
        return [
            {
                "host": daemon.status.host,
                "upstream": upstream.name,
                "state": upstream.state,
                "pool": upstream.pool,
                "digest": upstream.digest,
                "revision": daemon.status.revision,
                "progress": round(upstream.progress, 4),
                "in_flight": upstream.in_flight,
                "queued": upstream.queued,
                "engine_load": upstream.engine_load,
                "engine_load_age": round(upstream.engine_load_age, 3),
                "age": round(daemon.age(), 3),
                "silent": daemon.silent(),
            }
            for daemon, upstream in self.statuses.upstreams()
        ]

    def team_summary(self, team: str) -> dict[str, object] | None:
        """Return one team's limits, counters here and routes, or None if the team is unknown."""
        fleet = self.process.documents.fleet
        if team not in fleet.teams:
            return None
        limits = fleet.teams[team]
        routes = [r.path for r in fleet.routes if r.teams is None or team in r.teams]
        return {
            "team": team,
            "revision": self.process.documents.revision,
            "limits": {
                "requests_per_second": limits.requests_per_second,
                "burst": limits.burst,
                "max_in_flight": limits.max_in_flight,
            },
            "here": self.handler.limits.dump().get(team, {}),
            "routes": routes,
        }

    def _handle_message(self, incoming: IncomingMessage) -> None:
        match incoming.message:
            case Status() as status:
                if self.statuses.record(status):
                    for upstream in status.upstreams:
                        load = upstream.in_flight + upstream.queued
                        self.picker.report_load(upstream.name, load)
            case ShutdownNotice(host=host, incarnation=incarnation):
                self.statuses.mark_departed(host, incarnation)
            case AskTurn() as question:
                incoming.reply(self._turn_responder.answer(question), None)
            case _:
                self.process.node.malformed += 1

    def _remove_absent(self) -> None:
        hosts = self.process.documents.hosts
        self.statuses.drop_silent_unlisted({host.name for host in hosts.hosts})
        self.picker.remove_absent({u.name for host in hosts.hosts for u in host.upstreams})

    def _observe(self, meta: RequestMeta, verdict: Verdict, seconds: float) -> None:
        self._latency.labels(meta.target, verdict_name(verdict)).observe(seconds)

    def _samples(self) -> Samples:
        samples = process_samples(self.process)
        for outcome, count in self.handler.counts.items():
            verdict, _, reason = outcome.partition(" ")
            samples[sample("requests_total", verdict=verdict, reason=reason)] = count
        samples[sample("requests_in_flight")] = self.handler.in_flight
        samples[sample("attempts_total")] = self.handler.attempts
        samples[sample("retries_denied_total")] = self.handler.budget.denied
        for daemon, upstream in self.statuses.upstreams():
            labels = {"upstream": upstream.name, "state": upstream.state, "pool": upstream.pool}
            samples[sample("upstream_silent", **labels)] = float(daemon.silent())
        return samples


def _log_listening(address: Address) -> None:
    logger.info("listening", extra={"http": str(address)})
