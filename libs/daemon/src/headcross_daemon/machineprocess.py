"""Holds the parts that both roles on the machines share: facts, peers, metrics and settings."""

import logging
from collections.abc import Callable
from pathlib import Path
from typing import Final

import trio
import trio.lowlevel
from headcross_base.addresses import Address, parse_address
from headcross_base.clocks import PauseWatch
from headcross_base.errors import Failure
from headcross_base.supervision import keep_running, task_failures
from headcross_facts.facts import Facts
from headcross_facts.following import Follower
from headcross_facts.peerfacts import PeerFacts
from headcross_facts.polling import PollingSettings
from headcross_ports.adapter import Adapter
from headcross_ports.published import Topic
from headcross_wire.httpexchange import Exchange
from headcross_wire.httprequest import ServerLimits
from headcross_wire.httpserver import HttpServer
from headcross_wire.peermessages import (
    AskFacts,
    AskRevision,
    KnownRevision,
    TopicFacts,
)
from headcross_wire.peernode import Handler, IncomingMessage, PeerNode

from headcross_daemon.machinesettings import MachineSettings, read_machine_settings
from headcross_daemon.metrics import MetricsPage, Samples, sample

SETTINGS_CHECK_SECONDS: Final = 1.0
MAX_ADMIN_BODY_BYTES: Final = 1024

logger = logging.getLogger(__name__)


class MachineProcess:
    """The parts of one process that do not depend on its role.

    `peers` returns the peers that are asked for facts, `entries` the entries learned from peers.
    `handle_other` receives the messages that the common parts do not handle.
    """

    settings: MachineSettings
    facts: Facts
    follower: Follower
    node: PeerNode
    peer_facts: PeerFacts
    pauses: PauseWatch

    def __init__(
        self,
        settings: MachineSettings,
        path: Path,
        adapter: Adapter,
        peers: Callable[[], list[Address]],
        handle_other: Handler,
        polling: PollingSettings,
        entries: Callable[[], list[Address]] = list,
    ) -> None:
        self.settings = settings
        self.facts = Facts(adapter.store)
        self.pauses = PauseWatch(limit_seconds=0.8)
        self.follower = Follower(adapter.store, self.facts, self.pauses, polling)
        self.node = PeerNode(parse_address(settings.listen.peers), self._handle)
        self.peer_facts = PeerFacts(
            self.facts, self.follower, self.node, self._known_peers, self.known_entries
        )
        self._path = path
        self._adapter = adapter
        self._peers = peers
        self._entries = entries
        self._handle_other = handle_other
        self._file_signature = _file_signature(path)

    async def run(self) -> None:
        """Follow the platform's store and exchange messages with peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.node.run)
            # The node must run before the other tasks send messages to peers.
            await trio.lowlevel.checkpoint()
            nursery.start_soon(self.follower.run)
            nursery.start_soon(keep_running, "facts of peers", self.peer_facts.run)
            nursery.start_soon(keep_running, "settings", self._watch_settings)

    async def on_change(self, callback: Callable[[], None]) -> None:
        """Call `callback` now and whenever a fact changes."""
        while True:
            callback()
            await self.facts.wait_change()

    def reload(self, why: str) -> None:
        """Read the settings file again; invalid settings are logged and change nothing."""
        self._file_signature = _file_signature(self._path)
        outcome = read_machine_settings(self._path)
        if isinstance(outcome, Failure):
            logger.error("settings rejected", extra={"why": why, "reason": outcome.detail})
            return
        changed = outcome.value != self.settings
        self.settings = outcome.value
        self._adapter.store.use_address(parse_address(self.settings.store.address))
        logger.info("settings read", extra={"why": why, "changed": changed})

    def dump(self) -> dict[str, object]:
        """Return the state of the common parts."""
        facts = self.facts
        return {
            "host": self.settings.host,
            "role": self.settings.role,
            "zone": self.settings.zone,
            "configuration": facts.configuration.version if facts.configuration else None,
            "versions": {model: facts.newest_version(model) for model in facts.versions},
            "topics": {
                topic.value: {
                    "revision": state.revision,
                    "epoch": state.epoch,
                    "calls": self.follower.calls[topic],
                    "age": round(min(state.age(), 1e9), 3),
                    "failing": self.follower.failing.get(topic, 0),
                    "call_seconds": round(self.follower.call_age(topic), 3),
                }
                for topic, state in facts.topics.items()
            },
            "replicas": len(facts.replicas),
            "fact_counts": dict(facts.counts),
            "peer_questions": self.peer_facts.asked,
            "peer_listings": self.peer_facts.taken,
            "pauses": self.pauses.pauses,
            "task_failures": dict(task_failures),
        }

    def samples(self) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
        """Return the samples of the common parts."""
        samples: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {
            sample("facts_complete"): float(self.follower.complete),
            sample("pauses_total"): self.pauses.pauses,
            sample("peer_questions_total"): self.peer_facts.asked,
            sample("peer_sent_bytes_total"): self.node.sent_bytes,
            sample("peer_messages_malformed_total"): self.node.malformed,
            sample("peer_messages_failed_total"): self.node.failed,
            sample("peer_received_bytes_total"): self.node.received_bytes,
        }
        for task, count in task_failures.items():
            samples[sample("task_failures_total", task=task)] = count
        for topic in Topic:
            state = self.facts.topics[topic]
            samples[sample("topic_revision", topic=topic.value)] = state.revision
            samples[sample("topic_epoch", topic=topic.value)] = state.epoch
            samples[sample("store_calls_total", topic=topic.value)] = self.follower.calls[topic]
            samples[sample("topic_age_seconds", topic=topic.value)] = state.age()
            call_age = self.follower.call_age(topic)
            samples[sample("store_call_age_seconds", topic=topic.value)] = call_age
        return samples

    def known_entries(self) -> list[Address]:
        """Return the other entries: those learned from peers and those named in the settings."""
        own = parse_address(self.settings.listen.peers)
        entries = {*self._entries(), *self.settings.seed_addresses}
        return [address for address in entries if address != own]

    def _known_peers(self) -> list[Address]:
        """Return the other peers that are asked for facts, and then the known entries."""
        own = parse_address(self.settings.listen.peers)
        return [address for address in self._peers() if address != own] + self.known_entries()

    def _handle(self, incoming: IncomingMessage) -> None:
        match incoming.message:
            case AskRevision() as asked:
                self.peer_facts.answer_revision(asked, incoming.reply)
            case KnownRevision() as known:
                self.peer_facts.receive_revision(known, incoming.reply)
            case AskFacts() as question:
                self.peer_facts.answer(question, incoming.reply)
            case TopicFacts() as facts:
                self.peer_facts.receive(facts, "peer")
            case _:
                self._handle_other(incoming)

    async def _watch_settings(self) -> None:
        while True:
            await trio.sleep(SETTINGS_CHECK_SECONDS)
            if _file_signature(self._path) != self._file_signature:
                self.reload("file changed")


class AdminPages:
    """Serves metrics and the state dump to operators."""

    def __init__(
        self, dump: Callable[[], dict[str, object]], samples: Callable[[], Samples]
    ) -> None:
        self._dump = dump
        self.metrics = MetricsPage(samples)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        match exchange.request.path:
            case "/metrics":
                body = self.metrics.render()
                await exchange.respond(200, [("content-type", "text/plain; version=0.0.4")], body)
            case "/state":
                await exchange.respond_json(200, self._dump())
            case _:
                await exchange.respond_json(404, {"error": "no such page"})

    async def serve(self, nursery: trio.Nursery, address: str) -> None:
        """Listen in the background; does nothing if `address` is empty."""
        if not address:
            return
        server = HttpServer(self.handle, ServerLimits(max_body_bytes=MAX_ADMIN_BODY_BYTES))
        listeners, _ = await server.listen(parse_address(address))
        nursery.start_soon(server.serve, listeners)


def _file_signature(path: Path) -> tuple[int, int]:
    """Return modification time (ns) and size of a file, zeros if it cannot be read."""
    try:
        status = path.stat()
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size
