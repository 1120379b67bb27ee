"""Selects the version that a replica should be updated to (the goal).

The goal is the newest named version. While that one is unavailable, it is an older version that
would still serve for some time.
"""

import logging
from typing import Final

from headcross_base.monotonic import monotonic
from headcross_facts.facts import Facts
from headcross_ports.published import LoadedModel, Topic
from headcross_weights.chunkstore import ChunkStore, StoredArtifact

from headcross_renewal.digestregistry import DigestRegistry
from headcross_renewal.loading import Loading
from headcross_renewal.plan import PlanRegistry
from headcross_renewal.reporting import Reporter
from headcross_renewal.sources import manifest_of
from headcross_renewal.versionchoice import FetchEstimate
from headcross_renewal.weightsname import weights_name

FIRST_VERSION: Final = 1
# A version whose digests or chunks are unavailable yields to an older one for this long.
DEFERRAL_SECONDS: Final = 1.5

logger = logging.getLogger(__name__)


class GoalSelector:
    """Selects the goal of one replica."""

    def __init__(
        self,
        service: str,
        link_bytes_per_second: float,
        facts: Facts,
        reporter: Reporter,
        store: ChunkStore,
        digests: DigestRegistry,
        loading: Loading,
        plans: PlanRegistry,
    ) -> None:
        """Select for a replica of `service`.

        `link_bytes_per_second` is the least rate that the link leaves for weights.
        """
        self._service = service
        self._link_bytes_per_second = link_bytes_per_second
        self._facts = facts
        self._reporter = reporter
        self._store = store
        self._digests = digests
        self._loading = loading
        self._plans = plans
        # Versions that were unavailable recently, and until when others are preferred (monotonic).
        self._deferred_until: dict[LoadedModel, float] = {}

    def choose(self) -> LoadedModel | None:
        """Return the version that the replica should be updated to now.

        Returns None while the list of replicas or the model is not known.
        """
        if not self._facts.topics[Topic.REPLICAS].known:
            return None
        model = self._model()
        if model is None:
            return None
        named = [LoadedModel(model, n.version) for n in self._facts.versions.get(model, [])]
        if not named:
            return self._goal_from_replicas(model)
        newest = named[-1]
        if not self._is_deferred(newest):
            return newest
        worthwhile = [goal for goal in named[:-1] if self._is_worth_resuming(goal)]
        return worthwhile[-1] if worthwhile else newest

    def is_worth_fetching(self, goal: LoadedModel, *, delays_newer: bool) -> bool:
        """Return whether finishing an older version is worthwhile; False without its digests."""
        digests = self._digests.settled.get(goal)
        if digests is None:
            return False
        stored = self._store.get(manifest_of(digests)[2])
        missing = len(stored.missing) if stored is not None else len(digests.digests)
        estimate = self._estimate(goal, missing * digests.chunk_bytes)
        return estimate.is_worthwhile(monotonic(), delays_newer=delays_newer)

    def is_older_more_complete(self, goal: LoadedModel, stored: StoredArtifact) -> bool:
        """Return whether the store has a larger share of an older version that is not loaded."""
        named = [n.version for n in self._facts.versions.get(goal.model, [])]
        for version in named:
            older = LoadedModel(goal.model, version)
            if version >= goal.version or not self._is_obtainable(older):
                continue
            older_stored = self._store.get(manifest_of(self._digests.settled[older])[2])
            if older_stored is not None and older_stored.progress > stored.progress:
                return True
        return False

    def is_outdated(self, goal: LoadedModel) -> bool:
        """Return whether a newer version is complete in the store, so `goal` need not load."""
        newest = self._facts.newest_version(goal.model)
        if newest is None or newest <= goal.version:
            return False
        digests = self._digests.settled.get(LoadedModel(goal.model, newest))
        stored = self._store.get(manifest_of(digests)[2]) if digests is not None else None
        return stored is not None and stored.is_complete

    def defer(self, goal: LoadedModel) -> None:
        """Prefer older versions to `goal` for `DEFERRAL_SECONDS`, if one is worthwhile."""
        self._deferred_until[goal] = monotonic() + DEFERRAL_SECONDS
        logger.info("version cannot be had", extra={"goal": weights_name(goal)})

    def held_version(self, model: str) -> int:
        """Return the newest version of a model that the replica has loaded, 0 if none."""
        report = self._reporter.report
        loaded = report.loaded if report is not None else ()
        return max((held.version for held in loaded if held.model == model), default=0)

    def _goal_from_replicas(self, model: str) -> LoadedModel:
        """Return the newest version held by a listed replica or this one, or `FIRST_VERSION`.

        A listed version that cannot be had yields to an older one, as other writers may list any.
        """
        listed = [m for r in self._loading.service_replicas() for m in r.loaded]
        report = self._reporter.report
        held = report.loaded if report is not None else ()
        goals = {m for m in (*listed, *held) if m.model == model}
        obtainable = [goal for goal in goals if not self._is_deferred(goal)]
        versions = [goal.version for goal in obtainable or goals]
        return LoadedModel(model, max(versions, default=FIRST_VERSION))

    def _is_deferred(self, goal: LoadedModel) -> bool:
        return self._deferred_until.get(goal, 0.0) > monotonic()

    def _is_worth_resuming(self, goal: LoadedModel) -> bool:
        """Return whether an older version is worthwhile while the newest is unavailable.

        A version whose digests are not known here counts as complete: other hosts may have it, and
        selecting it makes this daemon request the digests.
        """
        if self._is_deferred(goal) or self._reporter.holds(goal):
            return False
        if goal in self._digests.settled:
            return self.is_worth_fetching(goal, delays_newer=False)
        return self._estimate(goal, 0).is_worthwhile(monotonic(), delays_newer=False)

    def _estimate(self, goal: LoadedModel, missing_bytes: int) -> FetchEstimate:
        return FetchEstimate(
            missing_bytes,
            self._link_bytes_per_second,
            self._loading.serves_until(goal.model, goal.version),
            self._loading.serves_until(goal.model, self.held_version(goal.model)),
        )

    def _is_obtainable(self, goal: LoadedModel) -> bool:
        """Return whether a version has settled digests and is not loaded yet."""
        return goal in self._digests.settled and not self._reporter.holds(goal)

    def _model(self) -> str | None:
        """Return the model that is loaded, else the planned one; None if neither is known."""
        report = self._reporter.report
        if report is not None and report.loaded:
            return report.loaded[0].model
        plan = self._plans.newest()
        return plan.models.get(self._service) if plan is not None else None
