"""Mirroring new weights in a process that serves no model itself.

The machines beside replicas have narrow links, and every chunk that one of them hands on takes the
link from its replica's answers. Entries have wide links. Each keeps the newest versions that are
named while it runs, brings each chunk in from the origin about once together with the other
mirrors, and hands chunks to the daemons at the rate of their links. Nothing depends on a mirror:
without one, daemons fetch from the origin and from one another. A process whose own link is narrow
does not mirror.

A version that was named before the process started is left alone if a replica serves it: its
chunks are with the daemons. After a restart of all nobody may hold it, and then it is mirrored
like a new one: daemons alone, with 3.8 Mbit/s each, would bring it in from one another.
"""

import logging
from typing import Final

import trio
from headcross_base.clocks import monotonic
from headcross_base.errors import Failure
from headcross_facts.facts import Facts, VersionNotice
from headcross_fleet.fleetfile import Artifact
from headcross_native.hostlist import HostList
from headcross_ports.published import LoadedModel, Replica, Topic
from headcross_weights.chunkstore import ChunkStore
from headcross_weights.swarm import Swarm

from headcross_renewal.digestbook import DigestBook
from headcross_renewal.mirrors import (
    MirrorBook,
    SwarmPorts,
    hand_out_seconds,
    has_loaded,
    swarm_hosts,
)
from headcross_renewal.sources import OriginSource, manifest_of, weights_name
from headcross_renewal.versionchoice import LEAVE_SECONDS, LOAD_SECONDS

# The versions of a model that are kept and fetched: one may be named before the last is in place.
VERSIONS_KEPT: Final = 2
RETRY_SECONDS: Final = 0.3
# A version that a newer one follows so soon is not mirrored: it would serve for no longer than
# that once the older ones end, and its chunks would take the origin's link from the newer one's.
LEAST_GAIN_SECONDS: Final = 1.0
# A version of which this share is here is finished before the one that follows it; of others the
# origin's link is spared for the newer one once its digests are known. At 0.8 the rest takes a
# daemon 1.1 s over 3.8 Mbit/s, and the origin 0.6 s over 5.94 Mbit/s.
FINISHED_FIRST_SHARE: Final = 0.8
# ... and waited for no longer than this, whatever the origin gives.
FINISHED_FIRST_SECONDS: Final = 1.5
OLDER_CHECK_SECONDS: Final = 0.05
# A process whose link needs more than this part of the bound on a new version to send its share of
# the copies does not mirror: daemons turn to mirrors first, and would wait for it (the demo, with
# the daemons' own 3.8 Mbit/s at the entries: transfers of 13 to 17 s where 4.4 s are the floor).
HAND_OUT_PART: Final = 0.5
# ... and one that mirrors goes on up to this part: all hosts go by the same order of mirrors, and
# it must not change with every replica that comes or goes.
HAND_OUT_PART_TO_STOP: Final = 0.75

logger = logging.getLogger(__name__)


class Mirror:
    """The mirroring of one process."""

    # The other mirrors.
    book: MirrorBook
    digests: DigestBook
    # How many processes share the work, as far as this one knows.
    sharers: int

    def __init__(
        self,
        region_of_zone: dict[str, str],
        ports: SwarmPorts,
        facts: Facts,
        store: ChunkStore,
        swarm: Swarm,
        origin: OriginSource,
        digests: DigestBook,
        bytes_per_second: float,
        bound_seconds: float,
    ) -> None:
        self.book = MirrorBook()
        self.digests = digests
        self.sharers = 1
        self._bytes_per_second = bytes_per_second
        self._bound = bound_seconds
        self._region_of_zone = region_of_zone
        self._ports = ports
        self._facts = facts
        self._store = store
        self._swarm = swarm
        self._origin = origin
        self._mirrors = False  # what was decided last
        self._scopes: dict[LoadedModel, trio.CancelScope] = {}

    async def run(self) -> None:
        """Mirror until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._swarm.run)
            while True:
                self._swarm.update_hosts(self._hosts())
                for goal in self._goals():
                    if goal not in self._scopes:
                        self._scopes[goal] = trio.CancelScope()
                        nursery.start_soon(self._mirror, goal, self._scopes[goal])
                self._drop_old()
                await self._facts.wait_change()

    def decide_to_mirror(self) -> bool:
        """Decide whether this process mirrors: whether its link carries its share in time.

        One that mirrors goes on until that would take longer by half.
        """
        configuration = self._facts.configuration
        if configuration is None:
            return False
        layouts = [s.weights for s in configuration.services.values() if s.weights is not None]
        size = max((layout.chunk_count * layout.chunk_bytes for layout in layouts), default=0)
        daemons = len(self._replicas(None))
        seconds = hand_out_seconds(size, daemons, self.sharers, self._bytes_per_second)
        part = HAND_OUT_PART_TO_STOP if self._mirrors else HAND_OUT_PART
        decided = seconds <= part * self._bound
        if decided != self._mirrors:
            self._mirrors = decided
            fields = {"sharers": self.sharers, "daemons": daemons, "seconds": round(seconds, 2)}
            logger.info("mirrors" if decided else "does not mirror", extra=fields)
        return decided

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
        """Tell whether daemons need a version from mirrors; one that is begun is gone on with."""
        if goal in self._scopes or self._facts.named_since_start(notice):
            return True
        if not self._facts.topics[Topic.REPLICAS].known:
            return False
        return not any(has_loaded(replica, goal) for replica in self._replicas(goal.model))

    def _worth_mirroring(self, notices: list[VersionNotice]) -> list[VersionNotice]:
        """Return the newest version, and the one before it while that may serve for a moment."""
        if not notices:
            return []
        *older, newest = notices[-VERSIONS_KEPT:]
        now = monotonic()
        ends_at = newest.seen_at + self._bound - LEAVE_SECONDS - LOAD_SECONDS
        return [
            *(
                n
                for n in older
                if newest.seen_at - n.seen_at >= LEAST_GAIN_SECONDS and now < ends_at
            ),
            newest,
        ]

    def _drop_old(self) -> None:
        """End the fetching of versions that are superseded twice."""
        goals = self._goals()
        for goal, scope in self._scopes.items():
            if goal not in goals:
                scope.cancel()

    async def _mirror(self, goal: LoadedModel, scope: trio.CancelScope) -> None:
        with scope:
            digests = await self.digests.obtain(goal)
            self._origin.use_chunk_bytes(digests.chunk_bytes)
            for older in self._older_than(goal):
                await self._finish_if_near(older)
                self._give_up_unless_whole(older)
            manifest, body, digest = manifest_of(digests)
            self._store.pin(weights_name(goal), {digest})
            admitted = self._store.admit(digest, manifest, body)
            if isinstance(admitted, Failure):
                logger.warning("weights not mirrored", extra={"reason": admitted.detail})
                return
            logger.info("mirroring", extra={"goal": weights_name(goal)})
            artifact = Artifact(name=weights_name(goal), digest=digest)
            while not admitted.value.whole:
                self._swarm.update_hosts(self._hosts())
                outcome = await self._swarm.fetch(artifact, self._wanting(goal), 1)
                if isinstance(outcome, Failure):
                    logger.warning("weights not mirrored", extra={"reason": outcome.detail})
                    await trio.sleep(RETRY_SECONDS)
            logger.info("mirrored", extra={"goal": weights_name(goal)})
        if scope.cancelled_caught:
            self._store.pin(weights_name(goal), set())

    def _older_than(self, goal: LoadedModel) -> list[LoadedModel]:
        """Return the older versions of a model whose mirroring was begun."""
        begun = (each for each in self._scopes if each.model == goal.model)
        return [each for each in begun if each.version < goal.version]

    async def _finish_if_near(self, goal: LoadedModel) -> None:
        """Wait until a version is whole, but not for one of which much is missing."""
        with trio.move_on_after(FINISHED_FIRST_SECONDS):
            while True:
                if not FINISHED_FIRST_SHARE <= self._progress(goal) < 1:
                    return
                await trio.sleep(OLDER_CHECK_SECONDS)

    def _give_up_unless_whole(self, goal: LoadedModel) -> None:
        scope = self._scopes[goal]
        if self._progress(goal) < 1 and not scope.cancel_called:
            logger.info("mirroring given up", extra={"goal": weights_name(goal)})
            scope.cancel()

    def _progress(self, goal: LoadedModel) -> float:
        """Return which part of a version is here."""
        digests = self.digests.settled.get(goal)
        held = self._store.get(manifest_of(digests)[2]) if digests is not None else None
        return held.progress if held is not None else 0.0

    def _replicas(self, model: str | None) -> list[Replica]:
        """Return the replicas of one model, or of all."""
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
            self._replicas(None), self.book.known(), self._region_of_zone, self._ports
        )

    def _wanting(self, goal: LoadedModel) -> list[str]:
        daemons = [replica.address.ip for replica in self._replicas(goal.model)]
        # This mirror counts itself in once a daemon has told that it counts on it: all hosts must
        # go by the same order.
        return [*daemons, *(mirror.ip for mirror in self.book.known())]
