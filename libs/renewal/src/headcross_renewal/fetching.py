"""Bringing a version's chunks to this host, from other daemons, mirrors and the origin."""

import logging
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.errors import Failure
from headcross_fleet.fleetfile import Artifact
from headcross_native.hostlist import HostList
from headcross_ports.published import LoadedModel
from headcross_weights.chunkstore import ChunkStore, StoredArtifact
from headcross_weights.swarm import Swarm

from headcross_renewal.digestbook import DigestBook
from headcross_renewal.goalchoice import GoalChoice
from headcross_renewal.loading import Loading
from headcross_renewal.mirrors import MirrorBook, SwarmPorts, has_loaded, swarm_hosts
from headcross_renewal.sources import OriginSource, manifest_of, weights_name

RETRY_SECONDS: Final = 0.3
# Room for another version is looked for again after this.
NO_ROOM_SECONDS: Final = 0.5
# A transfer that brought nothing for so long begins anew if other hosts have come meanwhile.
STALLED_SECONDS: Final = 0.7

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Place:
    """Where this daemon stands, and how others reach it."""

    host: str  # its IP number, which names it in the swarm
    region_of_zone: dict[str, str]
    replica_address: str
    service: str
    ports: SwarmPorts
    link_bytes_per_second: float  # that weights may take at least


class Fetching:
    """The transfers to one host."""

    def __init__(
        self,
        place: Place,
        store: ChunkStore,
        swarm: Swarm,
        origin: OriginSource,
        book: DigestBook,
        mirrors: MirrorBook,
        loading: Loading,
        choice: GoalChoice,
    ) -> None:
        self._place = place
        self._store = store
        self._swarm = swarm
        self._origin = origin
        self._book = book
        self._mirrors = mirrors
        self._loading = loading
        self._choice = choice
        self._pinned: set[str] = set()

    def open_links(self) -> None:
        """Open links to the other hosts, for the next version."""
        self._swarm.update_hosts(self._hosts())
        self._swarm.open_links()

    async def admit(self, goal: LoadedModel) -> StoredArtifact:
        """Return the place for a version's chunks."""
        digests = await self._book.obtain(goal)
        self._origin.use_chunk_bytes(digests.chunk_bytes)
        manifest, body, digest = manifest_of(digests)
        self._pinned.add(digest)
        self._store.pin(self._place.host, self._pinned)
        while True:
            admitted = self._store.admit(digest, manifest, body)
            if not isinstance(admitted, Failure):
                return admitted.value
            logger.error("no memory for weights", extra={"reason": admitted.detail})
            self._pinned = {digest}
            self._store.pin(self._place.host, self._pinned)
            await trio.sleep(NO_ROOM_SECONDS)

    async def admit_beside(self, goal: LoadedModel) -> StoredArtifact | None:
        """Return the place for a version that is not the goal; None if there is no room for it."""
        manifest, body, digest = manifest_of(await self._book.obtain(goal))
        self._store.pin(f"{self._place.host} beside", {digest})
        admitted = self._store.admit(digest, manifest, body)
        if isinstance(admitted, Failure):
            logger.error("no memory for weights", extra={"reason": admitted.detail})
            return None
        return admitted.value

    async def fetch(self, goal: LoadedModel, stored: StoredArtifact) -> bool:
        """Fetch a version whole; return False if it cannot be had and an older one can."""
        artifact = Artifact(name=weights_name(goal), digest=stored.digest)
        while not stored.whole:
            wanting = self._wanting(goal)
            self._swarm.update_hosts(self._hosts())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._give_up_when_others_have_it, goal, stored, wanting, nursery.cancel_scope
                )
                outcome = await self._swarm.fetch(artifact, wanting, 1)
                if isinstance(outcome, Failure):
                    logger.warning("weights not fetched", extra={"reason": outcome.detail})
                    await trio.sleep(RETRY_SECONDS)
                nursery.cancel_scope.cancel()
            if not stored.whole and self._choice.older_is_closer(goal, stored):
                self._choice.withhold(goal)
                return False
        return True

    async def _give_up_when_others_have_it(
        self,
        goal: LoadedModel,
        stored: StoredArtifact,
        wanting: list[str],
        scope: trio.CancelScope,
    ) -> None:
        """End a transfer that does not get on, to look anew what may be had from whom."""
        while True:
            missing = len(stored.missing)
            await trio.sleep(STALLED_SECONDS)
            if len(stored.missing) != missing:
                continue
            others = set(self._wanting(goal)) != set(wanting)
            if others or self._choice.older_is_closer(goal, stored):
                logger.info("transfer begun anew", extra={"goal": weights_name(goal)})
                scope.cancel()
                return

    def _hosts(self) -> HostList:
        place = self._place
        return swarm_hosts(
            self._loading.peers(), self._mirrors.known(), place.region_of_zone, place.ports
        )

    def _wanting(self, goal: LoadedModel) -> list[str]:
        """Return who takes part in bringing a version in from the origin.

        Once replicas hold the version, they alone are asked: the origin need not send it again.
        """
        holders = [r.address.ip for r in self._loading.peers() if has_loaded(r, goal)]
        others = [ip for ip in holders if ip != self._place.host]
        if others:
            return others
        return [
            *(replica.address.ip for replica in self._loading.peers()),
            *(mirror.ip for mirror in self._mirrors.known()),
        ]
