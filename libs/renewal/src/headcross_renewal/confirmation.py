"""Whether the load that a replica holds is known to be whole.

A replica checks nothing of what it loads. A load is confirmed if its order was answered, since its
chunks were read back whole right before, or if a read-back that began after the load finds every
chunk whole with none put since before the load: a chunk that is bad stays so until somebody puts
it again. A load that was taken late, or given by another process, has the second way only. One
whose chunks were not whole is suspect and takes no requests.
"""

import logging
from dataclasses import dataclass
from enum import Enum
from typing import Final

from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaReport

# Chunks of another version are kept away for so long while a load has yet to be read back.
READ_BACK_FIRST_SECONDS: Final = 2.0
NEVER: Final = float("-inf")

logger = logging.getLogger(__name__)


class Standing(Enum):
    """What is known of a load."""

    CONFIRMED = "confirmed"
    UNCONFIRMED = "unconfirmed"
    SUSPECT = "suspect"


@dataclass(frozen=True, slots=True)
class LoadKey:
    """What tells one load of a replica from others."""

    started_ms: int | None  # the life of the replica, if it tells that
    sequence: int  # orders taken, the one that began the load among them


def key_of(report: ReplicaReport) -> LoadKey:
    """Return the key of the newest load that a report knows of."""
    return LoadKey(report.started_ms, report.order_sequence)


class Confirmation:
    """The standing of one replica's newest load; all times are monotonic.

    >>> confirmation = Confirmation()
    >>> held = (LoadedModel("m", 2),)
    >>> confirmation.see(ReplicaReport(held, False, 3, 0, 0, 0, 0, 1.0), 1.0)
    >>> confirmation.standing
    <Standing.UNCONFIRMED: 'unconfirmed'>
    >>> confirmation.note_read_back(LoadKey(None, 3), frozenset(), NEVER)
    >>> confirmation.standing
    <Standing.CONFIRMED: 'confirmed'>
    """

    standing: Standing

    def __init__(self) -> None:
        self.standing = Standing.UNCONFIRMED
        self._key: LoadKey | None = None
        # Whether the load was there before the first report that this process read.
        self._inherited = False
        # When the newest report that did not know of the load yet was asked for.
        self._began_after = NEVER
        self._seen_at = NEVER
        self._changed_at = NEVER
        self._awaits_read_back = False
        # The load whose order was answered, and the version ordered.
        self._answered: tuple[LoadKey, LoadedModel] | None = None

    def see(self, report: ReplicaReport, asked_at: float) -> None:
        """Take a report that was asked for at some time."""
        key, before = key_of(report), self._key
        if key != before:
            self._inherited = before is None
            self._began_after = self._seen_at
            self._changed_at = asked_at
            self._key = key
            self._begin(key, goes_back=_goes_back(before, key))
        self._seen_at = asked_at

    def order_taken(self, goal: LoadedModel, expected: ReplicaReport) -> None:
        """Note that an order was answered as taken, right after a whole read-back.

        `expected` is the report that it went with. Not to be called while calls of an earlier
        process may have put something there since the read-back.
        """
        key = LoadKey(expected.started_ms, expected.order_sequence + 1)
        self._answered = (key, goal)
        if key == self._key:
            self._confirm()

    def awaits_read_back(self, report: ReplicaReport) -> bool:
        """Tell whether a read-back of what a replica holds would tell more."""
        held = bool(report.loaded) and not report.busy_loading
        return held and self._awaits_read_back and key_of(report) == self._key

    def keeps_others_away(self, now: float) -> bool:
        """Tell whether chunks of another version would be put before this load is read back."""
        return self._awaits_read_back and now - self._changed_at < READ_BACK_FIRST_SECONDS

    def note_read_back(self, key: LoadKey, bad: frozenset[int], last_put_at: float) -> None:
        """Take the outcome of a read-back of the version held that began after the load.

        `bad` are the chunks that were not the version's, `last_put_at` is when this process last
        put a chunk there. What an earlier process left may have been overwritten by it since the
        load, so its chunks show nothing where they are bad.
        """
        if key != self._key or not self._awaits_read_back:
            return
        self._awaits_read_back = False
        fields = {"started_ms": key.started_ms, "orders": key.sequence, "chunks": sorted(bad)}
        put_since = last_put_at > NEVER and last_put_at >= self._began_after
        if not bad and not put_since:
            logger.info("load confirmed", extra=fields)
            self._confirm()
        elif self._inherited:
            logger.warning("load not confirmed", extra=fields)
        else:
            self.standing = Standing.SUSPECT
            logger.error("load not whole", extra={**fields, "put_since": put_since})

    def confirmed(self, report: ReplicaReport) -> dict[str, int]:
        """Return the version of each model that is known to be whole, held or being loaded."""
        if self._answered is not None and self._answered[0] == self._key:
            goal = self._answered[1]
            return {goal.model: goal.version}
        return self._held_as(report, Standing.CONFIRMED)

    def suspect(self, report: ReplicaReport) -> dict[str, int]:
        """Return the version of each model that must take no requests."""
        return self._held_as(report, Standing.SUSPECT)

    def _held_as(self, report: ReplicaReport, standing: Standing) -> dict[str, int]:
        # While another load is being carried out, what is held is the one before it.
        if self.standing is not standing or report.busy_loading or key_of(report) != self._key:
            return {}
        return {held.model: held.version for held in report.loaded}

    def _begin(self, key: LoadKey, *, goes_back: bool) -> None:
        self.standing = Standing.UNCONFIRMED
        self._awaits_read_back = True
        if self._answered is not None and self._answered[0] != key:
            self._answered = None
        if goes_back:
            logger.warning("orders taken go back within a life", extra={"orders": key.sequence})
        elif key.sequence == 0 or self._answered is not None:
            # Without an order it holds what the platform gave it, or nothing.
            self._confirm()

    def _confirm(self) -> None:
        self.standing = Standing.CONFIRMED
        self._awaits_read_back = False


def _goes_back(before: LoadKey | None, key: LoadKey) -> bool:
    """Tell whether a replica says that it has taken fewer orders than before in the same life."""
    if before is None or before.started_ms is None:
        return False
    return before.started_ms == key.started_ms and key.sequence < before.sequence
