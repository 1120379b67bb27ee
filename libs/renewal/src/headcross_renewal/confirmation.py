"""Tracks whether the weights that a replica has loaded are known to be intact.

It collects the evidence about the replica's newest load; `loadevidence` decides what follows from
it. Evidence comes from the answer to the load's order, from read-backs of the staged chunks, and
from other processes, which remember what an earlier process of this daemon found.
"""

import logging
from dataclasses import replace
from typing import Final

from headcross_facts.loadevidence import LoadEvidence, LoadStatus, ReadBack, combine, judge
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaReport

from headcross_renewal.loadkey import LoadKey, key_of

# For how long an outstanding read-back of a load blocks puts of other versions' chunks.
READ_BACK_PRIORITY_SECONDS: Final = 2.0
# Number of loads of which the statements of other processes are kept.
MAX_TOLD_LOADS: Final = 8
NEVER: Final = float("-inf")

logger = logging.getLogger(__name__)


class Confirmation:
    """The status of one replica's newest load; all times are monotonic, in seconds.

    >>> confirmation = Confirmation()
    >>> held = (LoadedModel("m", 2),)
    >>> confirmation.observe(ReplicaReport(held, False, 3, 0, 0, 0, 0, 1.0), 1.0)
    >>> confirmation.status
    <LoadStatus.UNCONFIRMED: 'unconfirmed'>
    >>> confirmation.note_read_back(LoadKey(None, 3), frozenset(), NEVER)
    >>> confirmation.status
    <LoadStatus.CONFIRMED: 'confirmed'>
    """

    def __init__(self) -> None:
        self._key: LoadKey | None = None
        self._evidence = LoadEvidence()
        # When the last report before the load was requested; the load began after that.
        self._load_began_after = NEVER
        self._last_report_at = NEVER
        self._load_seen_at = NEVER
        # The load whose order was answered as accepted, and the version ordered.
        self._answered_order: tuple[LoadKey, LoadedModel] | None = None
        # What other processes know about loads, by load and version; the oldest first.
        self._told: dict[tuple[LoadKey, LoadedModel], LoadStatus] = {}

    @property
    def status(self) -> LoadStatus:
        """Whether the load is known to be intact."""
        return judge(self._evidence)

    @property
    def is_inherited(self) -> bool:
        """Whether the load was already in the first report that this process read."""
        return self._key is not None and not self._evidence.saw_beginning

    def observe(self, report: ReplicaReport, asked_at: float) -> None:
        """Process a report that was requested at `asked_at`."""
        key, before = key_of(report), self._key
        if key != before:
            self._load_began_after = self._last_report_at
            self._load_seen_at = asked_at
            self._key = key
            self._begin_load(key, before)
        self._last_report_at = asked_at
        self._apply_told(report)

    def record_accepted_order(self, goal: LoadedModel, expected: ReplicaReport) -> None:
        """Record that an order, sent right after a successful read-back, was accepted.

        `expected` is the report that the order was based on. Must not be called while puts of an
        earlier process may have taken effect since the read-back.
        """
        key = LoadKey(expected.started_ms, expected.order_sequence + 1)
        self._answered_order = (key, goal)
        if key == self._key:
            self._evidence = replace(self._evidence, order_answered=True)

    def record_told(self, key: LoadKey, loaded: LoadedModel, status: LoadStatus) -> None:
        """Record what another process knows about a load of this replica.

        It applies from the next report on, if the replica holds that load then.
        """
        told = combine(status, self._told.pop((key, loaded), LoadStatus.UNCONFIRMED))
        self._told[key, loaded] = told
        while len(self._told) > MAX_TOLD_LOADS:
            del self._told[next(iter(self._told))]

    def needs_read_back(self, report: ReplicaReport) -> bool:
        """Return whether a read-back of the loaded version could change the load's status."""
        held = bool(report.loaded) and not report.busy_loading
        return held and self._awaits_read_back() and key_of(report) == self._key

    def blocks_other_versions(self, now: float) -> bool:
        """Return whether chunks of other versions must wait for this load's read-back."""
        return self._awaits_read_back() and now - self._load_seen_at < READ_BACK_PRIORITY_SECONDS

    def put_since_load(self, put_at: float) -> bool:
        """Return whether a put that ended at `put_at` may have taken effect after the load."""
        return put_at > NEVER and put_at >= self._load_began_after

    def note_read_back(self, key: LoadKey, bad: frozenset[int], last_put_at: float) -> None:
        """Record the outcome of a read-back of the loaded version that began after the load.

        `bad` holds the indexes of the chunks whose digests did not match, `last_put_at` is until
        when puts of this process may have taken effect. If the load is older than this process, an
        earlier process may have overwritten its chunks since, so bad chunks do not make such a
        load suspect.
        """
        if key != self._key or not self._awaits_read_back():
            return
        put_since = self.put_since_load(last_put_at)
        self._evidence = replace(self._evidence, read_back=ReadBack(bad, put_since))
        fields = {"started_ms": key.started_ms, "orders": key.sequence, "chunks": sorted(bad)}
        match self.status:
            case LoadStatus.CONFIRMED:
                logger.info("load confirmed", extra=fields)
            case LoadStatus.UNCONFIRMED:
                logger.warning("load not confirmed", extra={**fields, "put_since": put_since})
            case LoadStatus.SUSPECT:
                logger.error("load not whole", extra={**fields, "put_since": put_since})

    def confirmed(self, report: ReplicaReport) -> dict[str, int]:
        """Return, by model, the version known to be intact, whether loaded or being loaded."""
        if self._answered_order is not None and self._answered_order[0] == self._key:
            goal = self._answered_order[1]
            return {goal.model: goal.version}
        return self._versions_with_status(report, LoadStatus.CONFIRMED)

    def suspect(self, report: ReplicaReport) -> dict[str, int]:
        """Return, by model, the version that must not get requests."""
        return self._versions_with_status(report, LoadStatus.SUSPECT)

    def _versions_with_status(self, report: ReplicaReport, status: LoadStatus) -> dict[str, int]:
        # During a load the replica still reports the version from before it.
        if self.status is not status or report.busy_loading or key_of(report) != self._key:
            return {}
        return {held.model: held.version for held in report.loaded}

    def _awaits_read_back(self) -> bool:
        if self._key is None or self._evidence.read_back is not None:
            return False
        return self.status is LoadStatus.UNCONFIRMED

    def _begin_load(self, key: LoadKey, before: LoadKey | None) -> None:
        if self._answered_order is not None and self._answered_order[0] != key:
            self._answered_order = None
        orders: int | None = key.sequence
        if _order_count_fell(before, key):
            logger.warning("orders taken go back within a life", extra={"orders": key.sequence})
            orders = None
        self._evidence = LoadEvidence(
            orders=orders,
            order_answered=self._answered_order is not None,
            saw_beginning=before is not None,
        )

    def _apply_told(self, report: ReplicaReport) -> None:
        """Use what other processes know about the load that a report describes."""
        if report.busy_loading:
            return  # the report still describes the version from before the load
        told = LoadStatus.UNCONFIRMED
        for loaded in report.loaded:
            known = self._told.get((key_of(report), loaded), LoadStatus.UNCONFIRMED)
            told = combine(told, known)
        if told is self._evidence.told:
            return
        self._evidence = replace(self._evidence, told=told)
        fields = {"orders": report.order_sequence, "told": told.value, "load": self.status.value}
        logger.info("load known to others", extra=fields)


def _order_count_fell(before: LoadKey | None, key: LoadKey) -> bool:
    """Return whether a replica reports fewer accepted orders than before in one incarnation."""
    if before is None or before.started_ms is None:
        return False
    return before.started_ms == key.started_ms and key.sequence < before.sequence
