"""Holds the parts that both roles share: documents, follower, control channel, HTTP servers."""

import time
from collections.abc import Callable

import trio
import trio.lowlevel
from headcross_base.addresses import Address, parse_address
from headcross_base.clocks import PauseWatch
from headcross_base.decisions import Journal
from headcross_base.supervision import keep_running
from headcross_fleet.documents import Documents
from headcross_fleet.following import ConfigFollower
from headcross_native.configservice import FLEET_KEY, HOSTS_KEY, ConfigService
from headcross_wire.httpserver import HttpServer
from headcross_wire.peernode import Handler, IncomingMessage, PeerNode

from headcross_daemon.settings import Settings


class Process:
    """The parts of one daemon that do not depend on its role."""

    settings: Settings
    journal: Journal
    documents: Documents
    config_service: ConfigService
    node: PeerNode
    follower: ConfigFollower
    pauses: PauseWatch
    # Increases with every start (Unix time in ms). Orders to an engine carry a higher number if
    # the engine has already accepted one that is as high.
    incarnation: int
    # Why the process does not serve, empty if it does. Shown by the health check.
    unhealthy_reason: str

    def __init__(self, settings: Settings, handle_other: Handler) -> None:
        self.settings = settings
        self.journal = Journal()
        self.documents = Documents(self.journal)
        self.config_service = ConfigService([parse_address(a) for a in settings.platform.config])
        self.node = PeerNode(parse_address(settings.listen.control), self._handle)
        self.follower = ConfigFollower(
            settings.name,
            settings.zone,
            self.documents,
            self.config_service,
            self.node,
            [parse_address(address) for address in settings.platform.peers],
        )
        self.pauses = PauseWatch()
        self.incarnation = time.time_ns() // 1_000_000
        self.unhealthy_reason = "starting"
        self._handle_other = handle_other

    async def run(self) -> None:
        """Run the control channel and follow the configuration until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, "pauses", self.pauses.run)
            nursery.start_soon(self.node.run)
            # The node must run before the follower sends messages to peers.
            await trio.lowlevel.checkpoint()
            nursery.start_soon(keep_running, "follower", self.follower.run)
            await self.follower.settled.wait()
            self.unhealthy_reason = ""

    async def on_change(self, callback: Callable[[], None]) -> None:
        """Call `callback` now and whenever another document comes into force."""
        while True:
            callback()
            await self.documents.wait_change()

    def dump(self) -> dict[str, object]:
        """Return the state of the common parts."""
        return {
            "name": self.settings.name,
            "role": self.settings.role,
            "region": self.settings.region,
            "zone": self.settings.zone,
            "incarnation": self.incarnation,
            "settled": self.follower.settled.is_set(),
            "unhealthy": self.unhealthy_reason,
            "documents": {key: self._dump_document(key) for key in (FLEET_KEY, HOSTS_KEY)},
            "document_events": dict(self.documents.counts),
            "contact_age": _rounded(self.documents.contact_age()),
            "config_reads": self.config_service.reads,
            "control": self.dump_node(self.node),
            "pauses": self.pauses.pauses,
            "last_pause_seconds": round(self.pauses.last_pause_seconds, 3),
            "decision_counts": dict(self.journal.counts),
        }

    def _dump_document(self, key: str) -> dict[str, object]:
        held = self.documents.held(key)
        return {
            "revision": held.accepted_revision,
            "digest": held.accepted_digest,
            "newest_revision": held.revision,
            "rejection": held.rejection,
            "age": _rounded(held.age()),
            "reader": self.follower.is_reader(key),
        }

    @staticmethod
    def dump_node(node: PeerNode) -> dict[str, int]:
        """Return the counters of one peer node."""
        return {
            "sent_bytes": node.sent_bytes,
            "received_bytes": node.received_bytes,
            "links": node.link_count,
            "malformed": node.malformed,
            "unsent": node.unsent,
        }

    def _handle(self, incoming: IncomingMessage) -> None:
        if not self.follower.handle(incoming.message, incoming.reply):
            self._handle_other(incoming)


async def serve_http(nursery: trio.Nursery, server: HttpServer, address: str) -> Address:
    """Listen at `address` and serve in the background; return the bound address."""
    listeners, bound = await server.listen(parse_address(address))
    nursery.start_soon(server.serve, listeners)
    return bound


def _rounded(seconds: float) -> float | None:
    """Return an age rounded for a dump, None if infinite (nothing was ever received)."""
    return round(seconds, 3) if seconds < float("inf") else None
