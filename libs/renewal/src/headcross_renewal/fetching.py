"""Fetches the chunks of a version to this host from other daemons, mirrors and the origin."""

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

from headcross_renewal.digestregistry import DigestRegistry
from headcross_renewal.goalchoice import GoalSelector
from headcross_renewal.loading import Loading
from headcross_renewal.mirrors import MirrorRegistry, SwarmPorts, holds_exactly, swarm_hosts
from headcross_renewal.sources import OriginSource, manifest_of
from headcross_renewal.weightsname import weights_name

RETRY_SECONDS: Final = 0.3
# Interval between attempts to admit a version that does not fit into memory.
ADMIT_RETRY_SECONDS: Final = 0.5
# A transfer without a new chunk for this long is restarted if its participants have changed, and
# ended if an older version is more complete.
STALLED_SECONDS: Final = 0.7

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DaemonLocation:
    """The location and addresses of a daemon and its replica."""

    host: str  # IP address of the daemon, its name in the swarm
    region_of_zone: dict[str, str]
    replica_address: str
    service: str
    ports: SwarmPorts
    link_bytes_per_second: float  # least rate that the link leaves for weights


class Fetcher:
    """Runs the transfers of weights to one host."""

    def __init__(
        self,
        location: DaemonLocation,
        store: ChunkStore,
        swarm: Swarm,
        origin: OriginSource,
        digests: DigestRegistry,
        mirrors: MirrorRegistry,
        loading: Loading,
        goal_selector: GoalSelector,
    ) -> None:
        self._location = location
        self._store = store
        self._swarm = swarm
        self._origin = origin
        self._digests = digests
        self._mirrors = mirrors
        self._loading = loading
        self._goal_selector = goal_selector
        self._pinned: set[str] = set()
        # Whether the last transfer from the holders of a version alone brought no chunk.
        self._holders_silent = False

    def open_links(self) -> None:
        """Open links to other hosts ahead of the next transfer."""
        self._swarm.update_hosts(self._hosts())
        self._swarm.open_links()

    async def admit(self, goal: LoadedModel) -> StoredArtifact:
        """Return the store's artifact for a version, waiting until memory allows it."""
        digests = await self._digests.obtain(goal)
        self._origin.use_chunk_bytes(digests.chunk_bytes)
        manifest, body, digest = manifest_of(digests)
        self._pinned.add(digest)
        self._store.pin(self._location.host, self._pinned)
        while True:
            admitted = self._store.admit(digest, manifest, body)
            if not isinstance(admitted, Failure):
                return admitted.value
            logger.error("not enough memory to store weights", extra={"reason": admitted.detail})
            self._pinned = {digest}
            self._store.pin(self._location.host, self._pinned)
            await trio.sleep(ADMIT_RETRY_SECONDS)

    async def admit_secondary(self, goal: LoadedModel) -> StoredArtifact | None:
        """Return the artifact of a version other than the goal; None if memory is short."""
        manifest, body, digest = manifest_of(await self._digests.obtain(goal))
        self._store.pin(f"{self._location.host} beside", {digest})
        admitted = self._store.admit(digest, manifest, body)
        if isinstance(admitted, Failure):
            logger.error("not enough memory to store weights", extra={"reason": admitted.detail})
            return None
        return admitted.value

    async def fetch(self, goal: LoadedModel, stored: StoredArtifact) -> bool:
        """Fetch all chunks of a version; return False if an older version is preferred instead."""
        artifact = Artifact(name=weights_name(goal), digest=stored.digest)
        while not stored.is_complete:
            missing = len(stored.missing)
            participants = self._participants(goal)
            self._swarm.update_hosts(self._hosts())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._cancel_when_stalled, goal, stored, participants, nursery.cancel_scope
                )
                outcome = await self._swarm.fetch(artifact, participants, 1)
                if isinstance(outcome, Failure):
                    logger.warning("weights not fetched", extra={"reason": outcome.detail})
                    await trio.sleep(RETRY_SECONDS)
                nursery.cancel_scope.cancel()
            self._holders_silent = len(stored.missing) == missing
            if not stored.is_complete and self._goal_selector.is_older_more_complete(goal, stored):
                self._goal_selector.defer(goal)
                return False
        return True

    async def _cancel_when_stalled(
        self,
        goal: LoadedModel,
        stored: StoredArtifact,
        participants: list[str],
        scope: trio.CancelScope,
    ) -> None:
        """Cancel a stalled transfer if others can take part, or an older version is better."""
        while True:
            missing = len(stored.missing)
            await trio.sleep(STALLED_SECONDS)
            if len(stored.missing) != missing:
                continue
            changed = set(self._all_hosts()) != set(participants)
            if changed or self._goal_selector.is_older_more_complete(goal, stored):
                logger.info("stalled transfer cancelled", extra={"goal": weights_name(goal)})
                scope.cancel()
                return

    def _hosts(self) -> HostList:
        location = self._location
        return swarm_hosts(
            self._loading.service_replicas(),
            self._mirrors.known(),
            location.region_of_zone,
            location.ports,
        )

    def _participants(self, goal: LoadedModel) -> list[str]:
        """Return the hosts that take part in the transfer of a version.

        Once other replicas have loaded the version, only their hosts take part, so that the origin
        does not send it again. All take part if the holders send nothing: the list may name
        replicas that are gone, or never were.
        """
        replicas = self._loading.service_replicas()
        holders = [r.address.ip for r in replicas if holds_exactly(r, goal)]
        others = [ip for ip in holders if ip != self._location.host]
        return others if others and not self._holders_silent else self._all_hosts()

    def _all_hosts(self) -> list[str]:
        """Return the hosts of all replicas of the service, and the mirrors."""
        return [
            *(replica.address.ip for replica in self._loading.service_replicas()),
            *(mirror.ip for mirror in self._mirrors.known()),
        ]
