"""What both roles have in common: documents, the follower, the control channel, the admin API."""

import time
from collections.abc import Callable

import trio
import trio.lowlevel
from headcross_base.addresses import Address, parse_address
from headcross_base.clocks import PauseWatch
from headcross_base.decisions import Journal
from headcross_fleet.documents import Documents
from headcross_fleet.following import ConfigFollower
from headcross_native.configservice import FLEET_KEY, HOSTS_KEY, ConfigService
from headcross_wire.httpserver import HttpHandler, HttpServer, ServerLimits
from headcross_wire.peernode import Handler, IncomingMessage, PeerNode

from headcross_daemon.settings import Settings


class Process:
    """The common parts of one daemon."""

    settings: Settings
    journal: Journal
    documents: Documents
    service: ConfigService
    node: PeerNode
    follower: ConfigFollower
    pauses: PauseWatch
    # Grows with every start; a daemon whose engine saw a higher one starts above that.
    incarnation: int
    # Why the process does not serve, empty if it does; shown by the health check.
    unhealthy: str

    def __init__(self, settings: Settings, handle_rest: Handler) -> None:
        self.settings = settings
        self.journal = Journal()
        self.documents = Documents(self.journal)
        self.service = ConfigService([parse_address(a) for a in settings.platform.config])
        self.node = PeerNode(parse_address(settings.listen.control), self._handle)
        self.follower = ConfigFollower(
            settings.name,
            settings.zone,
            self.documents,
            self.service,
            self.node,
            [parse_address(address) for address in settings.platform.peers],
        )
        self.pauses = PauseWatch()
        self.incarnation = time.time_ns() // 1_000_000
        self.unhealthy = "starting"
        self._handle_rest = handle_rest

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.pauses.run)
            nursery.start_soon(self.node.run)
            # The node must run before the follower speaks to peers.
            await trio.lowlevel.checkpoint()
            nursery.start_soon(self.follower.run)
            await self.follower.settled.wait()
            self.unhealthy = ""

    async def on_change(self, act: Callable[[], None]) -> None:
        """Call `act` now and whenever another document comes into force."""
        while True:
            act()
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
            "unhealthy": self.unhealthy,
            "documents": {key: self._dump_document(key) for key in (FLEET_KEY, HOSTS_KEY)},
            "document_events": dict(self.documents.counts),
            "contact_age": _rounded(self.documents.contact_age()),
            "config_reads": self.service.reads,
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
        """Return the numbers of one peer channel."""
        return {
            "sent_bytes": node.sent_bytes,
            "received_bytes": node.received_bytes,
            "links": node.link_count,
            "malformed": node.malformed,
            "unsent": node.unsent,
        }

    def _handle(self, incoming: IncomingMessage) -> None:
        if not self.follower.handle(incoming.message, incoming.reply):
            self._handle_rest(incoming)


async def serve_http(
    nursery: trio.Nursery, handler: HttpHandler, address: str, limits: ServerLimits
) -> tuple[HttpServer, Address, trio.CancelScope]:
    """Listen and serve in the background; the scope stops accepting, connections live on."""
    server = HttpServer(handler, limits)
    listeners, bound = await server.listen(parse_address(address))
    scope = trio.CancelScope()

    async def serve() -> None:
        with scope:
            await server.serve(listeners, nursery)

    nursery.start_soon(serve)
    return server, bound, scope


def _rounded(seconds: float) -> float | None:
    """Return an age for a dump; None when there never was anything."""
    return round(seconds, 3) if seconds < float("inf") else None
