"""Mirrors new weights in a process that serves no model itself.

The hosts of replicas have narrow links, and every chunk that such a host uploads delays its
replica's answers. Entries have wide links. Each entry stores the newest versions named while it
runs, and uploads chunks to the daemons at the rate of their links; together, the mirrors read each
chunk from the origin about once. Mirrors are optional: without them, daemons fetch from the origin
and from one another. A process whose own link is narrow does not mirror.

A version that was named before the process started is not mirrored if a replica serves it,
because the daemons have its chunks. After a restart of all processes no replica may hold it, and
then it is mirrored like a new version; otherwise daemons would have to fetch it from one another
at 3.8 Mbit/s each.
"""

import logging
from functools import partial
from typing import Final

import trio
from headcross_base.errors import Failure
from headcross_base.monotonic import monotonic
from headcross_base.supervision import keep_running
from headcross_facts.facts import Facts, VersionNotice
from headcross_fleet.fleetfile import Artifact
from headcross_native.hostlist import HostList
from headcross_ports.published import LoadedModel, Replica, Topic
from headcross_weights.chunkstore import ChunkStore
from headcross_weights.swarm import Swarm

from headcross_renewal.digestregistry import DigestRegistry
from headcross_renewal.mirrors import (
    MirrorRegistry,
    SwarmPorts,
    has_loaded,
    swarm_hosts,
    upload_seconds,
)
from headcross_renewal.sources import OriginSource, manifest_of
from headcross_renewal.versionchoice import ESTIMATED_LOAD_SECONDS, SEND_MARGIN_SECONDS
from headcross_renewal.weightsname import weights_name

# The newest versions of a model that are stored and fetched: one may be named before the previous
# one is loaded everywhere.
VERSIONS_KEPT_PER_MODEL: Final = 2
RETRY_SECONDS: Final = 0.3
# A version that is superseded sooner than this is not mirrored: it would serve for no longer than
# this once older versions end, and its chunks would delay the newer ones on the origin's link.
MIN_SERVICE_SECONDS: Final = 1.0
# A superseded version is finished first if at least this share is stored. Otherwise it is
# cancelled once the digests of the newer version are known, to free the origin's link. At 0.8 the
# rest takes a daemon 1.1 s over 3.8 Mbit/s, and the origin 0.6 s over 5.94 Mbit/s.
FINISH_OLDER_MIN_SHARE: Final = 0.8
# Time limit for finishing the older version first, however slow the origin is.
FINISH_OLDER_TIMEOUT_SECONDS: Final = 1.5
OLDER_POLL_INTERVAL_SECONDS: Final = 0.05
# A process does not mirror if uploading its share of the copies takes more than this share of the
# bound on a new version. Daemons ask mirrors first and would wait for this one: with links of
# 3.8 Mbit/s at the entries, as at the daemons, transfers take 13 to 17 s instead of the possible
# 4.4 s.
MAX_UPLOAD_SHARE_TO_START: Final = 0.5
# The same limit for a process that mirrors already. It is higher because all hosts use the same
# order of mirrors, which must not change with every replica that is added or removed.
MAX_UPLOAD_SHARE_TO_CONTINUE: Final = 0.75

logger = logging.getLogger(__name__)


class Mirror:
    """Fetches new versions into one process, for upload to the daemons."""

    # The mirrors that were announced.
    registry: MirrorRegistry
    digests: DigestRegistry
    # The number of processes that share the uploads, as far as this one knows.
    mirror_count: int

    def __init__(
        self,
        region_of_zone: dict[str, str],
        ports: SwarmPorts,
        facts: Facts,
        store: ChunkStore,
        swarm: Swarm,
        origin: OriginSource,
        digests: DigestRegistry,
        bytes_per_second: float,
        bound_seconds: float,
    ) -> None:
        self.registry = MirrorRegistry()
        self.digests = digests
        self.mirror_count = 1
        self._bytes_per_second = bytes_per_second
        self._bound = bound_seconds
        self._region_of_zone = region_of_zone
        self._ports = ports
        self._facts = facts
        self._store = store
        self._swarm = swarm
        self._origin = origin
        self._is_mirroring = False  # the last decision
        self._scopes: dict[LoadedModel, trio.CancelScope] = {}

    async def run(self) -> None:
        """Fetch and upload versions until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._swarm.run)
            await keep_running("mirror versions", partial(self._mirror_versions, nursery))

    async def _mirror_versions(self, nursery: trio.Nursery) -> None:
        while True:
            self._swarm.update_hosts(self._hosts())
            for goal in self._goals():
                if goal not in self._scopes:
                    self._scopes[goal] = trio.CancelScope()
                    mirror = partial(self._mirror, goal, self._scopes[goal])
                    nursery.start_soon(keep_running, "mirror a version", mirror)
            self._cancel_superseded()
            await self._facts.wait_change()

    def decide_to_mirror(self) -> bool:
        """Decide whether this process mirrors; return whether it can upload its share in time.

        A process that mirrors continues until the uploads would take 1.5 times as long as the
        limit for starting.
        """
        configuration = self._facts.configuration
        if configuration is None:
            return False
        layouts = [s.weights for s in configuration.services.values() if s.weights is not None]
        size = max((layout.chunk_count * layout.chunk_bytes for layout in layouts), default=0)
        daemons = len(self._replicas(None))
        seconds = upload_seconds(size, daemons, self.mirror_count, self._bytes_per_second)
        share = MAX_UPLOAD_SHARE_TO_CONTINUE if self._is_mirroring else MAX_UPLOAD_SHARE_TO_START
        should_mirror = seconds <= share * self._bound
        if should_mirror != self._is_mirroring:
            self._is_mirroring = should_mirror
            fields = {
                "sharers": self.mirror_count,
                "daemons": daemons,
                "seconds": round(seconds, 2),
            }
            logger.info("mirrors" if should_mirror else "does not mirror", extra=fields)
        return should_mirror

    def _goals(self) -> list[LoadedModel]:
        """Return the versions to mirror."""
        if not self.decide_to_mirror():
            return []
        return [
            LoadedModel(model, notice.version)
            for model, notices in self._facts.versions.items()
            for notice in self._worth_mirroring(notices)
            if self._is_wanted(LoadedModel(model, notice.version), notice)
        ]

    def _is_wanted(self, goal: LoadedModel, notice: VersionNotice) -> bool:
        """Return whether daemons need a version from mirrors, or its mirroring was begun."""
        if goal in self._scopes or self._facts.named_since_start(notice):
            return True
        if not self._facts.topics[Topic.REPLICAS].known:
            return False
        return not any(has_loaded(replica, goal) for replica in self._replicas(goal.model))

    def _worth_mirroring(self, notices: list[VersionNotice]) -> list[VersionNotice]:
        """Return the newest version, and the previous one while it is worth serving."""
        if not notices:
            return []
        *older, newest = notices[-VERSIONS_KEPT_PER_MODEL:]
        now = monotonic()
        ends_at = newest.seen_at + self._bound - SEND_MARGIN_SECONDS - ESTIMATED_LOAD_SECONDS
        return [
            *(
                n
                for n in older
                if newest.seen_at - n.seen_at >= MIN_SERVICE_SECONDS and now < ends_at
            ),
            newest,
        ]

    def _cancel_superseded(self) -> None:
        """Cancel the mirroring of versions that are no longer goals."""
        goals = self._goals()
        for goal, scope in self._scopes.items():
            if goal not in goals:
                scope.cancel()

    async def _mirror(self, goal: LoadedModel, scope: trio.CancelScope) -> None:
        with scope:
            digests = await self.digests.obtain(goal)
            self._origin.use_chunk_bytes(digests.chunk_bytes)
            for older in self._older_than(goal):
                await self._wait_if_nearly_complete(older)
                self._cancel_unless_complete(older)
            manifest, body, digest = manifest_of(digests)
            self._store.pin(weights_name(goal), {digest})
            admitted = self._store.admit(digest, manifest, body)
            if isinstance(admitted, Failure):
                logger.warning("weights not mirrored", extra={"reason": admitted.detail})
                return
            logger.info("mirroring", extra={"goal": weights_name(goal)})
            artifact = Artifact(name=weights_name(goal), digest=digest)
            while not admitted.value.is_complete:
                self._swarm.update_hosts(self._hosts())
                outcome = await self._swarm.fetch(artifact, self._participants(goal), 1)
                if isinstance(outcome, Failure):
                    logger.warning("weights not mirrored", extra={"reason": outcome.detail})
                    await trio.sleep(RETRY_SECONDS)
            logger.info("mirrored", extra={"goal": weights_name(goal)})
        if scope.cancelled_caught:
            self._store.pin(weights_name(goal), set())

    def _older_than(self, goal: LoadedModel) -> list[LoadedModel]:
        """Return the older versions of the goal's model whose mirroring was begun."""
        begun = (other for other in self._scopes if other.model == goal.model)
        return [other for other in begun if other.version < goal.version]

    async def _wait_if_nearly_complete(self, goal: LoadedModel) -> None:
        """Wait until a version is complete, if `FINISH_OLDER_MIN_SHARE` of it is stored.

        Waits for `FINISH_OLDER_TIMEOUT_SECONDS` at most.
        """
        with trio.move_on_after(FINISH_OLDER_TIMEOUT_SECONDS):
            while True:
                if not FINISH_OLDER_MIN_SHARE <= self._progress(goal) < 1:
                    return
                await trio.sleep(OLDER_POLL_INTERVAL_SECONDS)

    def _cancel_unless_complete(self, goal: LoadedModel) -> None:
        scope = self._scopes[goal]
        if self._progress(goal) < 1 and not scope.cancel_called:
            logger.info("mirroring given up", extra={"goal": weights_name(goal)})
            scope.cancel()

    def _progress(self, goal: LoadedModel) -> float:
        """Return the share of a version's chunks that is stored, from 0 to 1."""
        digests = self.digests.settled.get(goal)
        stored = self._store.get(manifest_of(digests)[2]) if digests is not None else None
        return stored.progress if stored is not None else 0.0

    def _replicas(self, model: str | None) -> list[Replica]:
        """Return the listed replicas of one model, or of all models if `model` is None."""
        configuration = self._facts.configuration
        if configuration is None:
            return []
        services = {
            service.name
            for service in configuration.services.values()
            if service.weights is not None and (not model or model in service.weights.models)
        }
        return [r for r in self._facts.replicas.values() if r.service in services]

    def _hosts(self) -> HostList:
        return swarm_hosts(
            self._replicas(None), self.registry.known(), self._region_of_zone, self._ports
        )

    def _participants(self, goal: LoadedModel) -> list[str]:
        daemons = [replica.address.ip for replica in self._replicas(goal.model)]
        # All hosts must compute the same order, so this mirror takes part only once a daemon
        # reports it among the known mirrors.
        return [*daemons, *(mirror.ip for mirror in self.registry.known())]
