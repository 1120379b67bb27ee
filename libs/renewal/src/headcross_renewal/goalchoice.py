"""Which version a replica should be brought to now, and which others are worth it meanwhile.

The newest named version, but for moments in which it cannot be had: then an older one that would
still serve for a while is gone on with.
"""

import logging
from typing import Final

from headcross_base.clocks import monotonic
from headcross_facts.facts import Facts
from headcross_ports.published import LoadedModel, Topic
from headcross_weights.chunkstore import ChunkStore, StoredArtifact

from headcross_renewal.digestbook import DigestBook
from headcross_renewal.loading import Loading
from headcross_renewal.plan import PlanBook
from headcross_renewal.reporting import Reporter
from headcross_renewal.sources import manifest_of, weights_name
from headcross_renewal.versionchoice import Bringing

FIRST_VERSION: Final = 1
# While digests cannot be had for so long, or chunks do not come, an older version goes first for
# a moment.
WITHHELD_SECONDS: Final = 1.5

logger = logging.getLogger(__name__)


class GoalChoice:
    """The choice of versions for one replica."""

    def __init__(
        self,
        service: str,
        link_bytes_per_second: float,
        facts: Facts,
        reporter: Reporter,
        store: ChunkStore,
        book: DigestBook,
        loading: Loading,
        plans: PlanBook,
    ) -> None:
        """Make a choice over a link that gives weights so many bytes a second at least."""
        self._service = service
        self._link_bytes_per_second = link_bytes_per_second
        self._facts = facts
        self._reporter = reporter
        self._store = store
        self._book = book
        self._loading = loading
        self._plans = plans
        # Versions that could not be had lately, with the moment until which others go first.
        self._withheld: dict[LoadedModel, float] = {}

    def choose(self) -> LoadedModel | None:
        """Return the version that the replica should be brought to now."""
        if not self._facts.topics[Topic.REPLICAS].known:
            return None
        model = self._model()
        if model is None:
            return None
        named = [LoadedModel(model, n.version) for n in self._facts.versions.get(model, [])]
        if not named:
            return self._goal_without_name(model)
        newest = named[-1]
        if not self._is_withheld(newest):
            return newest
        worth = [goal for goal in named[:-1] if self._is_worth_going_on_with(goal)]
        return worth[-1] if worth else newest

    def is_worth_bringing(self, goal: LoadedModel, *, delays_newer: bool) -> bool:
        """Tell whether an older version is worth finishing; not if nothing is known of it yet."""
        digests = self._book.settled.get(goal)
        if digests is None:
            return False
        held = self._store.get(manifest_of(digests)[2])
        missing = len(held.missing) if held is not None else len(digests.digests)
        bringing = self._bringing(goal, missing * digests.chunk_bytes)
        return bringing.is_worth_it(monotonic(), delays_newer=delays_newer)

    def older_is_closer(self, goal: LoadedModel, stored: StoredArtifact) -> bool:
        """Tell whether more of an older version that is still wanted is here."""
        named = [n.version for n in self._facts.versions.get(goal.model, [])]
        for version in named:
            older = LoadedModel(goal.model, version)
            if version >= goal.version or not self._is_under_way(older):
                continue
            held = self._store.get(manifest_of(self._book.settled[older])[2])
            if held is not None and held.progress > stored.progress:
                return True
        return False

    def is_outdated(self, goal: LoadedModel) -> bool:
        """Tell whether a newer version is here whole, so that this one need not be loaded."""
        newest = self._facts.newest_version(goal.model)
        if newest is None or newest <= goal.version:
            return False
        digests = self._book.settled.get(LoadedModel(goal.model, newest))
        held = self._store.get(manifest_of(digests)[2]) if digests is not None else None
        return held is not None and held.whole

    def withhold(self, goal: LoadedModel) -> None:
        """Leave a version alone for a moment, if there is an older one to go on with."""
        self._withheld[goal] = monotonic() + WITHHELD_SECONDS
        logger.info("version cannot be had", extra={"goal": weights_name(goal)})

    def version_held(self, model: str) -> int:
        """Return the version that the replica serves, 0 if none."""
        report = self._reporter.report
        loaded = report.loaded if report is not None else ()
        return max((held.version for held in loaded if held.model == model), default=0)

    def _goal_without_name(self, model: str) -> LoadedModel:
        """Return the version that others serve, where the operators named none."""
        listed = [m.version for r in self._loading.peers() for m in r.loaded if m.model == model]
        report = self._reporter.report
        held = [m.version for m in report.loaded if m.model == model] if report else []
        return LoadedModel(model, max([*listed, *held], default=FIRST_VERSION))

    def _is_withheld(self, goal: LoadedModel) -> bool:
        return self._withheld.get(goal, 0.0) > monotonic()

    def _is_worth_going_on_with(self, goal: LoadedModel) -> bool:
        """Tell whether an older version is worth bringing in while the newest cannot be had.

        Others may have one whose digests are not known here yet, so these are asked for.
        """
        if self._is_withheld(goal) or self._reporter.holds(goal):
            return False
        if goal in self._book.settled:
            return self.is_worth_bringing(goal, delays_newer=False)
        return self._bringing(goal, 0).is_worth_it(monotonic(), delays_newer=False)

    def _bringing(self, goal: LoadedModel, missing_bytes: int) -> Bringing:
        return Bringing(
            missing_bytes,
            self._link_bytes_per_second,
            self._loading.serves_until(goal.model, goal.version),
            self._loading.serves_until(goal.model, self.version_held(goal.model)),
        )

    def _is_under_way(self, goal: LoadedModel) -> bool:
        """Tell whether an older version is wanted still and can be had."""
        return goal in self._book.settled and not self._reporter.holds(goal)

    def _model(self) -> str | None:
        report = self._reporter.report
        if report is not None and report.loaded:
            return report.loaded[0].model
        plan = self._plans.newest()
        return plan.models.get(self._service) if plan is not None else None
