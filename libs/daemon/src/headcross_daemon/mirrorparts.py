"""Builds the mirror of weights within an entry, and its messages to daemons.

This module is separate from the entry role so that an entry without a mirror does not import the
mirror's libraries.
"""

import random
from collections.abc import Callable
from typing import Final

from headcross_base.addresses import Address, parse_address
from headcross_ports.adapter import Adapter
from headcross_ports.published import LoadedModel
from headcross_renewal.digestregistry import DigestRegistry
from headcross_renewal.mirroring import Mirror
from headcross_renewal.mirrors import SwarmPorts
from headcross_renewal.sources import DEFAULT_CHUNK_BYTES, OriginSource
from headcross_weights.chunkstore import ChunkStore
from headcross_weights.imports import Importer
from headcross_weights.pace import SMALL_WEIGHTS
from headcross_weights.swarm import Swarm
from headcross_wire.linkrate import LinkRate
from headcross_wire.peermessages import (
    AskDigests,
    KnownDigests,
    KnownMirrors,
    MirrorLocation,
    Subscribe,
    WeightsPlan,
)
from headcross_wire.peernode import IncomingMessage

from headcross_daemon.machineprocess import MachineProcess

# Share of the process's memory that may hold weights; larger weights are not mirrored.
WEIGHTS_MEMORY_SHARE: Final = 0.04
# Share of the link's rate that chunks may use.
LINK_SHARE: Final = 0.5
LINK_BURST_BYTES: Final = 64 * 1024
# Number of daemons that are asked for the mirrors they know, in each round of subscriptions.
DAEMONS_ASKED_FOR_MIRRORS: Final = 2


class MirrorParts:
    """The mirror of one entry with its store, swarm and importer."""

    def __init__(
        self,
        process: MachineProcess,
        adapter: Adapter,
        daemons: Callable[[], list[Address]],
        daemons_for_digests: Callable[[LoadedModel], list[Address]],
    ) -> None:
        settings = process.settings
        self._settings = settings
        self._location = MirrorLocation(settings.ip, settings.zone)
        self._store = ChunkStore(int(settings.limits.memory_bytes * WEIGHTS_MEMORY_SHARE))
        rate = settings.limits.link_bytes_per_second * LINK_SHARE
        downlink = LinkRate(rate, LINK_BURST_BYTES)
        self._facts = process.facts
        origin = OriginSource(self._find_origin, adapter.origin, DEFAULT_CHUNK_BYTES, lambda: True)
        self._importer = Importer([origin], downlink, SMALL_WEIGHTS)
        self._swarm = Swarm(
            settings.ip,
            parse_address(settings.listen.swarm),
            self._store,
            self._importer,
            LinkRate(rate, LINK_BURST_BYTES),
            downlink,
            SMALL_WEIGHTS,
            lane_per_requester=True,
        )
        ports = SwarmPorts(settings.peers.control_port, settings.peers.swarm_port)
        self._mirror = Mirror(
            settings.zones,
            ports,
            process.facts,
            self._store,
            self._swarm,
            origin,
            DigestRegistry(origin, process.node, daemons, settings.ip, daemons_for_digests),
            rate,
            settings.bounds.weights_seconds,
        )

    async def run(self) -> None:
        """Mirror weights until cancelled."""
        await self._mirror.run()

    def subscriptions(
        self,
        daemons: list[Address],
        entries: int,
        stopping: bool,
        plan: WeightsPlan | None,
        sent_ms: int,
    ) -> list[Subscribe]:
        """Return the subscription for each daemon; while stopping, it announces no mirror.

        `entries` is the number of entries that share the mirroring, including this one. `plan` is
        the part of the configuration that daemons need. Daemons return `sent_ms` in their reports.
        """
        self._mirror.mirror_count = entries
        location = self._announced_location(stopping)
        asked = set(random.sample(daemons, min(DAEMONS_ASKED_FOR_MIRRORS, len(daemons))))
        host = self._settings.host
        return [
            Subscribe(host, location, address in asked, plan, sent_ms=sent_ms)
            for address in daemons
        ]

    def announcement(self, stopping: bool) -> Subscribe | None:
        """Return a subscription that only announces the mirror, None if it is not announced."""
        location = self._announced_location(stopping)
        return Subscribe(self._settings.host, location, wants_load=False) if location else None

    def _announced_location(self, stopping: bool) -> MirrorLocation | None:
        """Return the location to announce, None if this entry mirrors nothing or is stopping."""
        return self._location if self._mirror.decide_to_mirror() and not stopping else None

    def _find_origin(self) -> Address | None:
        configuration = self._facts.configuration
        return configuration.origin_of_weights() if configuration is not None else None

    def known_mirrors(self) -> list[MirrorLocation]:
        """Return the mirrors known at present, including this one."""
        return self._mirror.registry.known()

    def handle_message(self, incoming: IncomingMessage) -> bool:
        """Handle a message if it is for the mirror; return whether it was."""
        match incoming.message:
            case KnownMirrors(mirrors=mirrors):
                for mirror in mirrors:
                    self._mirror.registry.record(mirror)
            case KnownDigests() as known:
                self._mirror.digests.receive(known)
            case AskDigests() as question:
                self._mirror.digests.answer(question, incoming.reply)
            case _:
                return False
        return True

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "weights": {a.digest[:12]: round(a.progress, 3) for a in self._store.artifacts()},
            "swarm": dict(self._swarm.counts),
            "uploads": {"sent": self._swarm.uploads.sent, "refused": self._swarm.uploads.refused},
            "origin_bytes": sum(self._importer.received_bytes.values()),
            "mirrors": [mirror.ip for mirror in self._mirror.registry.known()],
        }
