"""Implements the entry role on the machines: forwards callers' requests directly to replicas.

An entry holds no state that another entry needs, so it can be killed and replaced at any time.
"""

import logging
import random
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Final

import msgspec
import trio
from headcross_base.addresses import Address, parse_address
from headcross_base.clocks import now_ms
from headcross_base.monotonic import monotonic
from headcross_base.supervision import keep_running, run_guarded
from headcross_facts.polling import entry_polling
from headcross_gateway.admission import Admission
from headcross_gateway.attribution import Standing
from headcross_gateway.budget import RetryBudget
from headcross_gateway.containment import Containment
from headcross_gateway.directory import Directory
from headcross_gateway.loadnews import answer_question, receive_load_news
from headcross_gateway.losscatchup import LossCatchUp
from headcross_gateway.overload import Overload
from headcross_gateway.picking import Picker
from headcross_gateway.requestpath import RequestPath
from headcross_gateway.subsetting import every_other
from headcross_gateway.weightsrules import ENDING_SECONDS, WeightsRules
from headcross_ports.adapter import Adapter
from headcross_ports.published import LoadedModel
from headcross_renewal.mirrors import replicas_in_region_of, replicas_with_digests
from headcross_renewal.plan import plan_of
from headcross_wire.bodymemory import AnswerMemory, RequestMemory
from headcross_wire.httpexchange import Exchange
from headcross_wire.httprequest import ServerLimits
from headcross_wire.httpserver import HttpServer
from headcross_wire.peermessages import (
    AskLoads,
    AskLosses,
    AskPlan,
    KnownPlan,
    LoadNews,
    LossNews,
    RefusedNews,
    ReplicaLoad,
    ReplicaNews,
    Subscribe,
    WeightsPlan,
)
from headcross_wire.peernode import IncomingMessage
from headcross_wire.plannedstop import LAST_REFUSALS_SECONDS, stop_server
from prometheus_client import Histogram

from headcross_daemon.entrynews import EntryNews
from headcross_daemon.loadinquiry import LoadInquiry
from headcross_daemon.machineprocess import AdminPages, MachineProcess
from headcross_daemon.machinesettings import MachineSettings
from headcross_daemon.metrics import Samples, sample
from headcross_daemon.readiness import Readiness
from headcross_daemon.versionnews import (
    VERSION_NEWS_SECONDS,
    receive_version_news,
    recent_version_news,
)

if TYPE_CHECKING:
    from headcross_daemon.mirrorparts import MirrorParts

LATENCY_BUCKETS_SECONDS: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12)
SUBSCRIBE_INTERVAL_SECONDS: Final = 1.0
# Interval of subscriptions while a link is not open. No replica with weights gets requests before
# its daemon, or another entry, has told this entry of its load, so a starting entry tries often.
SUBSCRIBE_RETRY_SECONDS: Final = 0.2
START_RETRY_SECONDS: Final = 0.05
START_SECONDS: Final = 2.0
# Shortly before the bound on old weights, requests are sent only over links that are known to
# deliver subscriptions (see replicastate). Subscriptions are then sent at PROOF_INTERVAL_SECONDS,
# from PROOF_LEAD_SECONDS before the bound on, so that this is known in time.
PROOF_INTERVAL_SECONDS: Final = 0.3
PROOF_LEAD_SECONDS: Final = ENDING_SECONDS + 1.5
HOUSEKEEPING_INTERVAL_SECONDS: Final = 1.0
# Refused callers retry after 0.4 s at the earliest, at another entry of the zone, which must know
# of the refusal by then.
OVERLOAD_CHECK_SECONDS: Final = 0.2
# How long after its start an entry requests the losses that daemons keep.
REQUEST_LOSSES_SECONDS: Final = 6.0
# File descriptors for everything except connections from callers and to replicas.
RESERVED_DESCRIPTORS: Final = 300
# Shares of the memory limit for the bodies of requests and of answers. The rest is needed by the
# interpreter, the modules and the connections, and by a body that is copied as it is finished.
REQUESTS_MEMORY_SHARE: Final = 0.2
ANSWERS_MEMORY_SHARE: Final = 0.15
# How long connections are accepted after a stop signal. The platform checks readiness once a
# second and needs two answers before it stops sending callers.
ACCEPT_AFTER_STOP_SECONDS: Final = 4.0
# For this long after a stop signal, requests are accepted even if their deadline is after the end
# of the stop. Later such requests are refused as not run, since the end could cut them off.
ACCEPT_ALL_AFTER_STOP_SECONDS: Final = 2.6
# Requests end this long before the platform would kill the process.
STOP_MARGIN_SECONDS: Final = 0.5
# Added to the idle timeout of the configuration, which callers know, so that they stop using an
# idle connection before the entry closes it.
IDLE_MARGIN_SECONDS: Final = 3.0
BODY_TIMEOUT_SECONDS: Final = 20.0

logger = logging.getLogger(__name__)

# Makes the mirror of an entry from its process, the adapter, the daemons of its subset, and the
# daemons that may have the digests of a version.
MakeMirror = Callable[
    [MachineProcess, Adapter, Callable[[], list[Address]], Callable[[LoadedModel], list[Address]]],
    "MirrorParts",
]


class GatewayRole:
    """Runs the process of one entry."""

    process: MachineProcess

    def __init__(
        self,
        settings: MachineSettings,
        path: Path,
        adapter: Adapter,
        make_mirror: "MakeMirror | None",
    ) -> None:
        """Create the parts of an entry; without `make_mirror` it mirrors no weights."""
        self.process = MachineProcess(
            settings,
            path,
            adapter,
            self._daemons,
            self._handle_message,
            entry_polling(settings.bounds.fact_bounds),
            self._other_entries,
        )
        facts = self.process.facts
        self._overload = Overload()
        self._directory = Directory(
            facts,
            host=settings.host,
            zone=settings.zone,
            leaving_seconds=settings.bounds.fact_bounds.leaving,
        )
        rules = WeightsRules(facts, settings.bounds.weights_seconds)
        self._rules = rules
        picker = Picker(settings.zone, self._directory, rules)
        self._admission = Admission(picker, self._overload.reserved_share)
        budget = RetryBudget(settings.bounds.retry_ratio, settings.bounds.retry_slack)
        self._catch_up = LossCatchUp(
            self.process.pauses, lambda number: self._news.ask_losses(number)
        )
        self._containment = Containment(
            self._directory.find, lambda: facts.complete, self._catch_up
        )
        self._news = EntryNews(
            self.process.node,
            self._directory,
            self._overload,
            self._containment,
            entries=self.process.known_entries,
            zone_entries=self._zone_entries,
            daemons=self._daemons,
            control_port=lambda: self.process.settings.peers.control_port,
        )
        self._load_inquiry = LoadInquiry(
            self.process.node,
            self._directory,
            adapter.reports,
            entries=self.process.known_entries,
            notify=lambda state: self._admission.notify(state.replica.service),
        )
        self._path = RequestPath(
            facts,
            adapter.dialect,
            self._admission,
            rules,
            budget,
            self._overload,
            self._containment,
            self._observe,
            AnswerMemory(settings.limits.memory_bytes * ANSWERS_MEMORY_SHARE),
        )
        self._request_memory = RequestMemory(settings.limits.memory_bytes * REQUESTS_MEMORY_SHARE)
        self._mirror = (
            make_mirror(self.process, adapter, self._daemons, self._daemons_for_digests)
            if make_mirror is not None
            else None
        )
        self._pages = AdminPages(self.dump, self._samples)
        self._latency = Histogram(
            "headcross_request_seconds",
            "Time from a request's arrival to the end of its answer",
            ["service", "verdict"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._pages.metrics.registry,
        )
        self._server = HttpServer(
            self._path.handle,
            self._limits(),
            self._path.refuse,
            self._request_memory,
            self._path.note_unread,
        )
        self._readiness = Readiness(
            lambda: self._has_applied_facts,
            self._directory.has_most_reports,
            self._directory.knows_most_loads,
        )
        # Whether the directory shows all replicas that were listed once the facts were complete.
        self._has_applied_facts = False
        # Number of rounds in which this mirror was announced to daemons outside of the subset.
        self._announcements = 0
        # When to stop requesting losses from daemons (monotonic time).
        self._request_losses_until = monotonic() + REQUEST_LOSSES_SECONDS
        # Estimated number of entries, including this one.
        self._entry_count = 1

    async def run(self, stop: trio.Event) -> None:
        """Serve until `stop` is set, then drain and return."""
        settings = self.process.settings
        async with trio.open_nursery() as nursery:
            caller_listeners, _ = await self._server.listen(parse_address(settings.listen.callers))
            readiness = HttpServer(self._answer_readiness, ServerLimits(max_body_bytes=1024))
            readiness_listeners, _ = await readiness.listen(
                parse_address(settings.listen.readiness)
            )
            nursery.start_soon(readiness.serve, readiness_listeners)
            await self._pages.serve(nursery, settings.listen.metrics)
            nursery.start_soon(self.process.run)
            nursery.start_soon(
                keep_running, "apply facts", partial(self.process.on_change, self._apply_facts)
            )
            nursery.start_soon(keep_running, "subscribe", self._subscribe)
            nursery.start_soon(keep_running, "housekeeping", self._run_housekeeping)
            nursery.start_soon(keep_running, "overload", partial(self._watch_overload, nursery))
            nursery.start_soon(keep_running, "send losses", self._news.send_losses)
            nursery.start_soon(keep_running, "loss catch-up", self._catch_up.run)
            nursery.start_soon(keep_running, "load inquiry", self._load_inquiry.run)
            nursery.start_soon(keep_running, "unbegun attempts", self._path.unbegun.run)
            if self._mirror is not None:
                nursery.start_soon(keep_running, "mirror", self._mirror.run)
            nursery.start_soon(self._server.serve, caller_listeners)
            logger.info("listening", extra={"callers": settings.listen.callers})
            await stop.wait()
            await self._drain()
            nursery.cancel_scope.cancel()

    def dump(self) -> dict[str, object]:
        """Return the state of the process for the administration address."""
        return {
            **self.process.dump(),
            "ready": self._is_ready(),
            "in_flight": self._path.in_flight,
            "connections": self._server.connections,
            "connections_refused": self._server.refused_connections,
            "requests": dict(self._path.counts),
            "attempts": self._path.attempts.made,
            "attempts_withdrawn": self._path.unbegun.withdrawn,
            "connections_opened": self._path.attempts.connections.opened,
            "reserved_shares": self._reserved_shares(),
            "retries": {"spent": self._path.budget.spent, "denied": self._path.budget.denied},
            "suspects": self._containment.shared.dump(monotonic()),
            "mirror": self._mirror.dump() if self._mirror is not None else None,
            "replica_states": [
                {
                    "id": state.replica.id,
                    "service": state.replica.service,
                    "address": str(state.replica.address),
                    "in_flight": state.in_flight,
                    "slots": state.replica.slots,
                    "load": round(state.load(), 2),
                    "limit": state.backpressure.limit.per_second,
                    "told_age": round(min(state.report_age(), 1e9), 3),
                    "draining": state.replica.draining,
                    "leaving": state.backpressure.leaving,
                    "between_lives": state.has_conflicting_incarnations(),
                    "loads": state.confirmed_loads.dump(),
                    "resting": state.health.is_ejected(),
                    "seconds_to_next": round(state.seconds_to_next(), 3),
                    "in_subset": state.in_subset,
                    "failures": state.health.failures,
                }
                for state in self._directory.states()
            ],
        }

    def _reserved_shares(self) -> dict[str, float]:
        """Return, by service, the share of slots that is reserved for first tries."""
        configuration = self.process.facts.configuration
        services = configuration.services if configuration is not None else ()
        return {name: round(self._overload.reserved_share(name), 3) for name in services}

    # Callers.

    async def _answer_readiness(self, exchange: Exchange) -> None:
        ready = self._is_ready()
        await exchange.respond_json(200 if ready else 503, {"ready": ready})

    def _is_ready(self) -> bool:
        return self._readiness.is_ready(trio.current_time())

    def _limits(self) -> ServerLimits:
        """Return the limits on callers under the configuration in force."""
        settings = self.process.settings
        connections = max(64, (settings.limits.descriptors - RESERVED_DESCRIPTORS) * 2 // 3)
        configuration = self.process.facts.configuration
        if configuration is None:
            return ServerLimits(max_connections=connections, cancel_on_eof=True)
        limits = configuration.limits
        return ServerLimits(
            max_body_bytes=limits.max_body_bytes,
            receive_seconds=BODY_TIMEOUT_SECONDS,
            idle_seconds=limits.idle_seconds + IDLE_MARGIN_SECONDS,
            max_connections=connections,
            max_header_bytes=limits.max_header_bytes,
            header_seconds=limits.header_seconds,
            cancel_on_eof=True,
        )

    async def _drain(self) -> None:
        """Report not ready, serve requests that still arrive, then wait for running ones."""
        self._readiness.stop()
        now = trio.current_time()
        logger.info("stopping", extra={"in_flight": self._path.in_flight})
        limit = self.process.settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running,
                "refuse long requests",
                partial(self._refuse_long_requests, now, limit),
            )
            await stop_server(
                self._server,
                accept_until=now + min(ACCEPT_AFTER_STOP_SECONDS, limit / 2),
                end=now + limit + LAST_REFUSALS_SECONDS,
            )
            nursery.cancel_scope.cancel()
        logger.info("stopped", extra={"in_flight": self._path.in_flight})

    async def _refuse_long_requests(self, stop_began: float, limit: float) -> None:
        """Refuse requests that may outlast the stop, after a time in which all are accepted.

        Callers still arrive in that time, and most requests are short.
        """
        await trio.sleep_until(stop_began + min(ACCEPT_ALL_AFTER_STOP_SECONDS, limit / 3))
        self._path.refuse_ending_after(stop_began + limit)

    # Facts.

    def _apply_facts(self) -> None:
        self._directory.entries = len(self.process.known_entries()) + 1
        self._update_directory()
        self._directory.choose_subset()
        self._has_applied_facts = self.process.facts.complete
        self._is_ready()  # starts the wait for daemons once the facts are complete
        self._server.limits = self._limits()
        configuration = self.process.facts.configuration
        if configuration is not None:
            for service in configuration.services:
                self._admission.notify(service)

    def _update_directory(self) -> None:
        """Apply the list of replicas; drop idle connections to replicas that have ended."""
        for address in self._directory.update():
            self._path.attempts.connections.forget(address)

    def _daemons(self) -> list[Address]:
        """Return the daemons in the subset of this entry."""
        port = self.process.settings.peers.control_port
        return [Address(address.ip, port) for address in self._directory.subset_daemons()]

    def _daemons_for_digests(self, goal: LoadedModel) -> list[Address]:
        """Return the daemons of this region that have a version's digests or will read them."""
        settings = self.process.settings
        replicas = self._directory.replicas_with_daemons()
        near = replicas_in_region_of(settings.zone, replicas, settings.zones)
        sources = replicas_with_digests(near, goal)
        return [Address(r.address.ip, settings.peers.control_port) for r in sources]

    def _other_entries(self) -> list[Address]:
        """Return the known entries that mirror weights."""
        port = parse_address(self.process.settings.listen.peers).port
        mirrors = self._mirror.known_mirrors() if self._mirror is not None else []
        return [Address(mirror.ip, port) for mirror in mirrors]

    def _zone_entries(self) -> list[Address]:
        """Return the other known entries of this zone, at which refused callers retry."""
        settings = self.process.settings
        port = parse_address(settings.listen.peers).port
        mirrors = self._mirror.known_mirrors() if self._mirror is not None else []
        return [
            Address(m.ip, port) for m in mirrors if m.zone == settings.zone and m.ip != settings.ip
        ]

    def _handle_message(self, incoming: IncomingMessage) -> None:
        if isinstance(incoming.message, AskPlan):
            plan = self._plan()
            if plan is not None:
                incoming.reply(KnownPlan(plan), None)
            return
        if self._mirror is not None and self._mirror.handle_message(incoming):
            return
        if isinstance(incoming.message, RefusedNews):
            self._overload.refused.receive(incoming.message.fingerprints, trio.current_time())
            return
        if isinstance(incoming.message, LossNews):
            self._containment.receive(incoming.message)
            return
        if isinstance(incoming.message, AskLosses):
            self._news.answer_losses(incoming.message, incoming.reply)
            return
        if isinstance(incoming.message, AskLoads):
            incoming.reply(answer_question(incoming.message, self._directory.find), None)
            return
        if isinstance(incoming.message, LoadNews):
            for changed in receive_load_news(incoming.message, self._directory.find):
                self._admission.notify(changed.replica.service)
            return
        if isinstance(incoming.message, ReplicaNews):
            for changed in self._news.receive_replica_news(incoming.message):
                self._admission.notify(changed.replica.service)
            return
        if not isinstance(incoming.message, ReplicaLoad):
            self.process.node.malformed += 1
            return
        receive_version_news(self.process.facts, incoming.message.named)
        state = self._directory.record_report(incoming.message)
        if state is not None:
            self._admission.notify(state.replica.service)

    async def _subscribe(self) -> None:
        """Subscribe to the load of the daemons in the subset, until cancelled."""
        start_ends_at = monotonic() + START_SECONDS
        while True:
            self._directory.choose_subset()
            self._update_entry_count()
            daemons = self._daemons()
            messages = map(self._with_news, self._subscriptions(daemons), daemons)
            send = self.process.node.send
            accepted = [send(*pair) for pair in zip(daemons, messages, strict=True)]
            if self._mirror is not None:
                self._announce_mirror(self._mirror)
            # Retry sooner if no daemon is known yet, as at a start, or if a link was not open: the
            # first message to a daemon only opens it.
            all_accepted = bool(daemons) and all(accepted)
            retry_seconds = (
                START_RETRY_SECONDS if monotonic() < start_ends_at else SUBSCRIBE_RETRY_SECONDS
            )
            seconds = SUBSCRIBE_INTERVAL_SECONDS if all_accepted else retry_seconds
            if self._rules.any_ends_within(PROOF_LEAD_SECONDS):
                seconds = min(seconds, PROOF_INTERVAL_SECONDS)
            await trio.sleep(seconds * random.uniform(0.8, 1.2))

    def _update_entry_count(self) -> None:
        entries = self._directory.estimate_entries()
        if entries is not None:
            self._entry_count = entries
            self._path.budget.note_entries(entries)

    def _announce_mirror(self, mirror: "MirrorParts") -> None:
        """Announce the mirror to daemons outside of the subset, to half of them in each round.

        All hosts of a transfer must use the same order of mirrors.
        """
        message = mirror.announcement(self._readiness.is_stopping)
        if message is None:
            return
        self._announcements += 1
        port = self.process.settings.peers.control_port
        for address in every_other(self._directory.other_daemons(), self._announcements):
            self.process.node.send(Address(address.ip, port), message)

    def _subscriptions(self, daemons: list[Address]) -> list[Subscribe]:
        plan = self._plan()
        sent_ms = now_ms() if self._rules.any_ends_within(PROOF_LEAD_SECONDS) else 0
        if self._mirror is not None:
            return self._mirror.subscriptions(
                daemons, self._entry_count, self._readiness.is_stopping, plan, sent_ms
            )
        host = self.process.settings.host
        return [Subscribe(host, plan=plan, sent_ms=sent_ms)] * len(daemons)

    def _with_news(self, message: Subscribe, daemon: Address) -> Subscribe:
        """Add the news that a daemon lacks if its process has just started."""
        return msgspec.structs.replace(
            message,
            named=recent_version_news(self.process.facts),
            loaded=self._directory.recently_loaded(daemon.ip, VERSION_NEWS_SECONDS),
            first_heard_age=self._directory.first_heard_age(daemon.ip),
            verdicts=self._directory.verdicts_on(daemon.ip),
            wants_losses=monotonic() < self._request_losses_until,
        )

    def _plan(self) -> WeightsPlan | None:
        """Return the part of the configuration in force that daemons need."""
        configuration = self.process.facts.configuration
        return plan_of(configuration) if configuration is not None else None

    async def _watch_overload(self, nursery: trio.Nursery) -> None:
        """Measure demand, detect lost replicas and send news, at short intervals."""
        while True:
            await trio.sleep(OVERLOAD_CHECK_SECONDS)
            self._overload.measure(trio.current_time())
            self._containment.update()
            self._news.send_refused()
            nursery.start_soon(run_guarded, "send replica news", self._news.send_replica_news)

    async def _run_housekeeping(self) -> None:
        """Once a second, apply the list of replicas, repeat news and close expired connections."""
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
            self._update_directory()
            self._news.repeat_news()
            await self._path.attempts.connections.close_expired()

    # Metrics.

    def _observe(self, service: str, verdict: str, seconds: float) -> None:
        self._latency.labels(service, verdict).observe(seconds)

    def _samples(self) -> Samples:
        samples = self.process.samples()
        for outcome, count in self._path.counts.items():
            verdict, _, reason = outcome.partition(" ")
            samples[sample("requests_total", verdict=verdict, reason=reason)] = count
        samples[sample("ready")] = float(self._is_ready())
        samples[sample("request_body_bytes")] = self._request_memory.held_bytes
        samples[sample("requests_without_memory_total")] = self._request_memory.refused
        samples[sample("answer_body_bytes")] = self._path.attempts.memory.held_bytes
        samples[sample("answers_given_up_total")] = self._path.attempts.memory.given_up
        samples[sample("handler_faults_total")] = self._server.faults
        samples[sample("requests_in_flight")] = self._path.in_flight
        samples[sample("attempts_total")] = self._path.attempts.made
        samples[sample("attempts_withdrawn_total")] = self._path.unbegun.withdrawn
        samples[sample("link_proofs_total")] = self._path.attempts.proofs.asked
        samples[sample("link_proofs_missed_total")] = self._path.attempts.proofs.missed
        samples[sample("retries_total")] = self._path.budget.spent
        samples[sample("retries_denied_total")] = self._path.budget.denied
        standings = self._containment.shared.count_standings()
        limits = [state.backpressure.limit.per_second for state in self._directory.states()]
        for status, count in self._load_inquiry.count_kept().items():
            samples[sample("replicas_kept_from_service", load=status.value)] = count
        samples[sample("replicas_limited")] = sum(limit is not None for limit in limits)
        samples[sample("requests_suspect")] = standings[Standing.SUSPECT]
        samples[sample("requests_barred")] = standings[Standing.BARRED]
        samples[sample("prompt_parts_barred")] = self._containment.shared.count_barred_parts()
        samples[sample("loss_news_rejected_total")] = self._containment.shared.rejected
        samples[sample("replica_connections_total")] = self._path.attempts.connections.opened
        return samples
