"""Tracks whether the weights that a replica has loaded are known to be intact.

A replica does not verify what it loads. A load is confirmed in one of two ways:

- Its order was answered: the chunks were read back and verified right before the order was sent.
- A read-back that began after the load finds every chunk intact, and no chunk has been put since
  before the load. A bad chunk stays bad until it is put again.

Only the second way applies to a load whose order was accepted late or was sent by another process.
A load whose chunks were not intact is suspect and gets no requests.
"""

import logging
from enum import Enum
from typing import Final

from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaReport

from headcross_renewal.loadkey import LoadKey, key_of

# For how long an outstanding read-back of a load blocks puts of other versions' chunks.
READ_BACK_PRIORITY_SECONDS: Final = 2.0
NEVER: Final = float("-inf")

logger = logging.getLogger(__name__)


class LoadStatus(Enum):
    """Whether a load is known to be intact."""

    CONFIRMED = "confirmed"
    UNCONFIRMED = "unconfirmed"
    SUSPECT = "suspect"


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

    status: LoadStatus

    def __init__(self) -> None:
        self.status = LoadStatus.UNCONFIRMED
        self._key: LoadKey | None = None
        # Whether the load was already in the first report that this process read.
        self._inherited = False
        # When the last report before the load was requested; the load began after that.
        self._load_began_after = NEVER
        self._last_report_at = NEVER
        self._load_seen_at = NEVER
        self._needs_read_back = False
        # The load whose order was answered as accepted, and the version ordered.
        self._answered_order: tuple[LoadKey, LoadedModel] | None = None

    def observe(self, report: ReplicaReport, asked_at: float) -> None:
        """Process a report that was requested at `asked_at`."""
        key, before = key_of(report), self._key
        if key != before:
            self._inherited = before is None
            self._load_began_after = self._last_report_at
            self._load_seen_at = asked_at
            self._key = key
            self._begin_load(key, order_count_fell=_order_count_fell(before, key))
        self._last_report_at = asked_at

    def record_accepted_order(self, goal: LoadedModel, expected: ReplicaReport) -> None:
        """Record that an order, sent right after a successful read-back, was accepted.

        `expected` is the report that the order was based on. Must not be called while puts of an
        earlier process may have taken effect since the read-back.
        """
        key = LoadKey(expected.started_ms, expected.order_sequence + 1)
        self._answered_order = (key, goal)
        if key == self._key:
            self._confirm()

    def needs_read_back(self, report: ReplicaReport) -> bool:
        """Return whether a read-back of the loaded version could change the load's status."""
        held = bool(report.loaded) and not report.busy_loading
        return held and self._needs_read_back and key_of(report) == self._key

    def blocks_other_versions(self, now: float) -> bool:
        """Return whether chunks of other versions must wait for this load's read-back."""
        return self._needs_read_back and now - self._load_seen_at < READ_BACK_PRIORITY_SECONDS

    def note_read_back(self, key: LoadKey, bad: frozenset[int], last_put_at: float) -> None:
        """Record the outcome of a read-back of the loaded version that began after the load.

        `bad` holds the indexes of the chunks whose digests did not match, `last_put_at` is when
        this process last put a chunk. If the load is older than this process, an earlier process
        may have overwritten its chunks since, so bad chunks do not make such a load suspect.
        """
        if key != self._key or not self._needs_read_back:
            return
        self._needs_read_back = False
        fields = {"started_ms": key.started_ms, "orders": key.sequence, "chunks": sorted(bad)}
        put_since = last_put_at > NEVER and last_put_at >= self._load_began_after
        if not bad and not put_since:
            logger.info("load confirmed", extra=fields)
            self._confirm()
        elif self._inherited:
            logger.warning("load not confirmed", extra=fields)
        else:
            self.status = LoadStatus.SUSPECT
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

    def _begin_load(self, key: LoadKey, *, order_count_fell: bool) -> None:
        self.status = LoadStatus.UNCONFIRMED
        self._needs_read_back = True
        if self._answered_order is not None and self._answered_order[0] != key:
            self._answered_order = None
        if order_count_fell:
            logger.warning("orders taken go back within a life", extra={"orders": key.sequence})
        elif key.sequence == 0 or self._answered_order is not None:
            # Either the replica has accepted no order and holds what the platform loaded, or
            # nothing, or the order was sent right after a successful read-back.
            self._confirm()

    def _confirm(self) -> None:
        self.status = LoadStatus.CONFIRMED
        self._needs_read_back = False


def _order_count_fell(before: LoadKey | None, key: LoadKey) -> bool:
    """Return whether a replica reports fewer accepted orders than before in one incarnation."""
    if before is None or before.started_ms is None:
        return False
    return before.started_ms == key.started_ms and key.sequence < before.sequence
