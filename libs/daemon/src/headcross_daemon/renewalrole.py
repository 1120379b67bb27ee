"""Implements the upstream role on the machines: renews the weights of the replica beside it."""

import logging
from functools import partial
from pathlib import Path
from typing import Final

import trio
from headcross_base.addresses import Address, parse_address
from headcross_base.monotonic import monotonic
from headcross_base.supervision import keep_running
from headcross_facts.loadevidence import LoadStatus
from headcross_facts.polling import daemon_polling
from headcross_ports.adapter import Adapter
from headcross_ports.published import LoadedModel, Replica, Topic
from headcross_renewal.digestregistry import DigestRegistry
from headcross_renewal.earlyrepair import EarlyResults
from headcross_renewal.fetching import DaemonLocation, Fetcher
from headcross_renewal.goalchoice import GoalSelector
from headcross_renewal.loading import Loading
from headcross_renewal.mirrors import (
    MirrorRegistry,
    SwarmPorts,
    replicas_in_region_of,
    replicas_with_digests,
)
from headcross_renewal.orders import Orders
from headcross_renewal.plan import DAEMONS_ASKED, PlanRegistry, listing_order, obtain_plan
from headcross_renewal.renewer import Renewer
from headcross_renewal.reporting import Reporter
from headcross_renewal.sources import DEFAULT_CHUNK_BYTES, OriginSource
from headcross_weights.chunkstore import ChunkStore
from headcross_weights.imports import Importer
from headcross_weights.pace import SMALL_WEIGHTS
from headcross_weights.swarm import Swarm
from headcross_wire.linkrate import LinkRate
from headcross_wire.peermessages import (
    AskDigests,
    AskPlan,
    KnownDigests,
    KnownMirrors,
    KnownPlan,
    LossNews,
    ReplicaNews,
    Subscribe,
    WeightsPlan,
)
from headcross_wire.peernode import IncomingMessage

from headcross_daemon.lossregistry import LossRegistry
from headcross_daemon.machineprocess import AdminPages, MachineProcess
from headcross_daemon.machinesettings import MachineSettings
from headcross_daemon.metrics import Samples, sample
from headcross_daemon.versionnews import receive_version_news, recent_version_news

# Share of the process's memory that may hold weights.
WEIGHTS_MEMORY_SHARE: Final = 0.3
# Shares of the link's rate that chunks may use. The rest is for requests to the replica, their
# answers and, on the downlink, the acknowledgements of those answers, for which each running
# request takes DOWNLINK_SHARE_PER_REQUEST.
MAX_DOWNLINK_SHARE: Final = 0.94
DOWNLINK_SHARE_PER_REQUEST: Final = 0.0075
MIN_DOWNLINK_SHARE: Final = 0.80
UPLINK_SHARE: Final = 0.82
# Share for chunks while the replica accepts no requests, because it holds no weights that may
# serve.
IDLE_LINK_SHARE: Final = 0.97
LINK_BURST_BYTES: Final = 8 * 1024
# The configuration gives the address of the origin. While the origin is needed and fails, the
# configuration is listed again when it is older than this. Not more often, as it may be hundreds
# of kilobytes over a link of 3.8 Mbit/s.
MAX_CONFIGURATION_AGE_SECONDS: Final = 8.0

logger = logging.getLogger(__name__)


class RenewalRole:
    """Runs the process of one daemon beside a replica."""

    process: MachineProcess

    def __init__(
        self,
        settings: MachineSettings,
        path: Path,
        adapter: Adapter,
        early: EarlyResults,
    ) -> None:
        """Create the role; `early` are the results of the early repair."""
        assert settings.replica is not None and adapter.replica is not None
        self.process = MachineProcess(
            settings,
            path,
            adapter,
            self._daemons,
            self._handle_message,
            daemon_polling(settings.bounds.fact_bounds),
        )
        facts = self.process.facts
        if early.versions is not None:
            age = monotonic() - early.versions_read_at
            self.process.follower.take_listing(Topic.VERSIONS, early.versions, age)
        address = parse_address(settings.replica.address)
        self._reporter = Reporter(address, adapter.replica, partial(recent_version_news, facts))
        self._store = ChunkStore(int(settings.limits.memory_bytes * WEIGHTS_MEMORY_SHARE))
        rate = settings.limits.link_bytes_per_second
        downlink = LinkRate(rate * MIN_DOWNLINK_SHARE, LINK_BURST_BYTES)
        uplink = LinkRate(rate * UPLINK_SHARE, LINK_BURST_BYTES)
        self._downlink = downlink
        self._uplink = uplink
        self._plans = PlanRegistry(facts)
        origin = OriginSource(
            self._plans.origin,
            adapter.origin,
            DEFAULT_CHUNK_BYTES,
            lambda: self._reporter.answered,
            self._refresh_origin,
        )
        self._importer = Importer([origin], downlink, SMALL_WEIGHTS)
        self._swarm = Swarm(
            settings.ip,
            parse_address(settings.listen.swarm),
            self._store,
            self._importer,
            uplink,
            downlink,
            SMALL_WEIGHTS,
        )
        location = DaemonLocation(
            host=settings.ip,
            region_of_zone=settings.zones,
            replica_address=str(address),
            service=settings.replica.service,
            ports=SwarmPorts(settings.peers.control_port, settings.peers.swarm_port),
            link_bytes_per_second=rate * MIN_DOWNLINK_SHARE,
        )
        self._mirrors = MirrorRegistry()
        self._losses = LossRegistry()
        self._digests = DigestRegistry(
            origin, self.process.node, self._daemons, settings.ip, self._daemons_for_digests
        )
        self._orders = Orders(str(address), facts, adapter.replica, self._reporter)
        self._orders.in_doubt.record_early_puts(
            early.last_put_at, early.unanswered_puts, early.last_replaced
        )
        self._loading = Loading(
            str(address),
            settings.replica.service,
            facts,
            self._reporter,
            self._orders,
            settings.bounds.weights_seconds,
        )
        goal_selector = GoalSelector(
            settings.replica.service,
            location.link_bytes_per_second,
            facts,
            self._reporter,
            self._store,
            self._digests,
            self._loading,
            self._plans,
        )
        fetcher = Fetcher(
            location,
            self._store,
            self._swarm,
            origin,
            self._digests,
            self._mirrors,
            self._loading,
            goal_selector,
        )
        self._renewer = Renewer(
            facts,
            adapter.replica,
            self._reporter,
            origin,
            self._digests,
            goal_selector,
            fetcher,
            self._loading,
            self._orders,
            self._plans,
            self._set_link_rates,
            self._set_updating,
        )
        # Set when the plan is needed but not known.
        self._plan_needed = trio.Event()
        self._pages = AdminPages(self.dump, self._samples)

    async def run(self, stop: trio.Event) -> None:
        """Renew the weights until `stop` is set."""
        async with trio.open_nursery() as nursery:
            await self._pages.serve(nursery, self.process.settings.listen.metrics)
            nursery.start_soon(self.process.run)
            nursery.start_soon(self._swarm.run)
            nursery.start_soon(keep_running, "reporter", self._reporter.run)
            nursery.start_soon(keep_running, "renewer", self._renewer.run)
            nursery.start_soon(keep_running, "request plan", self._request_plan_if_empty)
            nursery.start_soon(keep_running, "obtain plans", self._obtain_plans)
            logger.info("listening", extra={"peers": self.process.settings.listen.peers})
            await stop.wait()
            logger.info("stopped", extra={"step": self._renewer.step})
            nursery.cancel_scope.cancel()

    def dump(self) -> dict[str, object]:
        """Return the state of the process for the administration address."""
        report = self._reporter.report
        plan = self._plans.newest()
        return {
            **self.process.dump(),
            "plan_version": plan.version if plan is not None else None,
            "step": self._renewer.step,
            "orders": self._orders.issued,
            "orders_refused": self._orders.refused,
            "loaded": {m.model: m.version for m in report.loaded} if report else None,
            "load": self._reporter.confirmation.status.value,
            "weights": {a.digest[:12]: round(a.progress, 3) for a in self._store.artifacts()},
            "swarm": dict(self._swarm.counts),
            "uploads": {"sent": self._swarm.uploads.sent, "refused": self._swarm.uploads.refused},
            "origin_bytes": sum(self._importer.received_bytes.values()),
            "mirrors": [mirror.ip for mirror in self._mirrors.known()],
            "losses_kept": self._losses.count(),
        }

    def _set_link_rates(self, running: int | None) -> None:
        """Leave bandwidth for the running requests; `running` is None if none can arrive."""
        rate = self.process.settings.limits.link_bytes_per_second
        if running is None:
            self._downlink.set_rate(rate * IDLE_LINK_SHARE)
            self._uplink.set_rate(rate * IDLE_LINK_SHARE)
            return
        share = max(MIN_DOWNLINK_SHARE, MAX_DOWNLINK_SHARE - DOWNLINK_SHARE_PER_REQUEST * running)
        self._downlink.set_rate(rate * share)
        self._uplink.set_rate(rate * UPLINK_SHARE)

    async def _request_plan_if_empty(self) -> None:
        """Request the plan at once if the replica holds no weights at all."""
        while not self._reporter.answered:
            await self._reporter.wait_change()
        report = self._reporter.report
        if report is not None and not report.loaded:
            self._plan_needed.set()

    async def _obtain_plans(self) -> None:
        """Obtain the plan whenever it is needed."""
        while True:
            await self._plan_needed.wait()
            await obtain_plan(
                self._plans,
                self.process.node,
                self._plan_sources,
                self._listing_rank,
                lambda: self.process.follower.list_now(Topic.CONTROL),
            )
            self._plan_needed = trio.Event()

    def _plan_sources(self) -> list[Address]:
        """Return the peers to ask for the plan: entries and the first daemons of the region."""
        port = self.process.settings.peers.control_port
        daemon_ips = [ip for ip in self._region_order() if ip != self.process.settings.ip]
        return [
            *self.process.known_entries(),
            *(Address(ip, port) for ip in daemon_ips[:DAEMONS_ASKED]),
        ]

    def _listing_rank(self) -> int | None:
        """Return this daemon's rank in its region's order, None before the replicas are listed."""
        if not self.process.facts.topics[Topic.REPLICAS].known:
            return None
        order = self._region_order()
        ip = self.process.settings.ip
        return order.index(ip) if ip in order else len(order)

    def _region_order(self) -> list[str]:
        """Return the IP addresses of this region's daemons.

        They are in the order in which the daemons list the configuration.
        """
        return listing_order(replica.address.ip for replica in self._region_replicas())

    def _set_updating(self, updating: bool) -> None:
        """Follow the list of replicas with shorter delays while an update is running."""
        self.process.follower.set_urgent(Topic.REPLICAS, updating)

    def _refresh_origin(self) -> None:
        """Request the plan if unknown, else list the configuration, as the origin may have moved.

        The configuration is not listed if it was listed, or the plan was received, recently.
        """
        if self._plans.newest() is None:
            self._plan_needed.set()
            return
        age = self.process.facts.topics[Topic.CONTROL].age()
        if age > MAX_CONFIGURATION_AGE_SECONDS and not self._plans.received_recently():
            self.process.follower.list_now(Topic.CONTROL)

    def _daemons(self) -> list[Address]:
        """Return the daemons beside the replicas of this service."""
        return self._daemons_of(self._loading.service_replicas())

    def _daemons_for_digests(self, goal: LoadedModel) -> list[Address]:
        """Return the daemons of this region that have a version's digests or will read them."""
        return self._daemons_of(replicas_with_digests(self._region_replicas(), goal))

    def _region_replicas(self) -> list[Replica]:
        """Return the replicas of this service in this region."""
        settings = self.process.settings
        return replicas_in_region_of(
            settings.zone, self._loading.service_replicas(), settings.zones
        )

    def _daemons_of(self, replicas: list[Replica]) -> list[Address]:
        port = self.process.settings.peers.control_port
        return [Address(replica.address.ip, port) for replica in replicas]

    def _handle_message(self, incoming: IncomingMessage) -> None:
        match incoming.message:
            case Subscribe() as subscription:
                if subscription.wants_load:
                    self._reporter.add_listener(
                        subscription.host,
                        incoming.reply,
                        subscription.sent_ms,
                        needs_state=subscription.first_heard_age is None,
                    )
                if subscription.plan is not None:
                    self._receive_plan(subscription.plan)
                receive_version_news(self.process.facts, subscription.named)
                self._record_earlier_process(subscription)
                self._reporter.receive_verdicts(subscription.verdicts, self._listed_ids())
                if subscription.mirror is not None:
                    self._mirrors.record(subscription.mirror)
                if subscription.wants_losses:
                    self._losses.answer(incoming.reply)
                if subscription.wants_mirrors:
                    incoming.reply(KnownMirrors(self._mirrors.known()), None)
            case LossNews() as news:
                self._losses.receive(news)
            case ReplicaNews() as replica_news:
                self._receive_replica_news(replica_news)
            case AskPlan():
                known_plan = self._plans.newest()
                if known_plan is not None:
                    incoming.reply(KnownPlan(known_plan), None)
            case KnownPlan(plan=plan):
                self._receive_plan(plan)
            case AskDigests() as question:
                self._digests.answer(question, incoming.reply)
            case KnownDigests() as known:
                self._digests.receive(known)
            case _:
                self.process.node.malformed += 1

    def _listed_ids(self) -> set[str]:
        """Return the ids under which replicas are listed at the address of this one."""
        assert self.process.settings.replica is not None
        address = parse_address(self.process.settings.replica.address)
        listed = self.process.facts.replicas.values()
        return {replica.id for replica in listed if replica.address == address}

    def _receive_plan(self, plan: WeightsPlan) -> None:
        """Record the plan; what waits for the origin's address goes on at once."""
        origin = self._plans.origin()
        self._plans.receive(plan)
        if self._plans.origin() != origin:
            self._digests.retry()

    def _receive_replica_news(self, news: ReplicaNews) -> None:
        """Record that the replica beside this process is leaving, if an entry says so."""
        assert self.process.settings.replica is not None
        address = parse_address(self.process.settings.replica.address)
        for item in news.items:
            replica = self.process.facts.replicas.get(item.replica)
            if item.leaving and replica is not None and replica.address == address:
                self._reporter.receive_shutdown_notice(item.started_ms)

    def _record_earlier_process(self, subscription: Subscribe) -> None:
        """Record what an entry knows of this daemon from before this process started."""
        now = monotonic()
        for news in subscription.loaded:
            loaded = LoadedModel(news.model, news.version)
            self._orders.in_doubt.record_loaded_at(loaded, now - news.age)
        if subscription.first_heard_age is not None:
            self._orders.in_doubt.record_process_seen(now - subscription.first_heard_age)
        self._orders.in_doubt.record_entry_reply()

    def _samples(self) -> Samples:
        samples = self.process.samples()
        samples[sample("orders_total")] = self._orders.issued
        samples[sample("orders_refused_total")] = self._orders.refused
        suspect = self._reporter.confirmation.status is LoadStatus.SUSPECT
        samples[sample("load_suspect")] = float(suspect)
        samples[sample("weights_bytes")] = self._store.used_bytes
        for name, count in self._swarm.counts.items():
            if " " not in name:
                samples[sample(f"swarm_{name}_total")] = count
        for source, count in self._importer.received_bytes.items():
            samples[sample("source_bytes_total", source=source)] = count
        return samples
