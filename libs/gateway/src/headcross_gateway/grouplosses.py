"""Limits teams whose requests on a route crash replicas although no two requests are the same.

A caller that varies the body sends a different request each time, and each of them may crash
several replicas before it is barred. The requests of one team on one route are therefore also
judged as a group. If several replicas were lost under them within the window, and more of the
group's requests were lost than answered, the group is restricted: each entry runs one of them at a
time, and none during a pause after the last loss. The pause doubles with each further loss.

Requests of other groups that ran on the same replicas are lost too, but most of their requests are
answered. The module does no I/O and reads no clock; `now` is in seconds on one monotonic clock.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

# Outcomes of requests and losses of replicas older than this are ignored.
WINDOW_SECONDS: Final = 30.0
# Losses of replicas within the window from which on a group is restricted.
RESTRICTED_LOSSES: Final = 3
# The pause after RESTRICTED_LOSSES losses; it doubles with each further one.
FIRST_PAUSE_SECONDS: Final = 2.0
MAX_PAUSE_SECONDS: Final = 30.0
MAX_GROUPS: Final = 1024
MAX_ENTRIES: Final = 512


@dataclass(frozen=True, slots=True)
class GroupOutcomes:
    """The numbers of a group's requests that were lost and answered at one entry in the window."""

    lost: int
    answered: int


@dataclass(slots=True)
class _Counts:
    """Numbers of ended requests by second; the seconds outside the window are dropped."""

    lost: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    answered: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    _pruned_at: int = -1  # the second of the last removal of old counts

    def total(self, now: float) -> GroupOutcomes:
        """Return the sums over the window; removes older counts."""
        self._prune(now)
        return GroupOutcomes(sum(self.lost.values()), sum(self.answered.values()))

    def note_lost(self, now: float) -> None:
        """Count a request whose replica was lost."""
        self._prune(now)
        self.lost[int(now)] += 1

    def note_answered(self, now: float) -> None:
        """Count a request that was answered."""
        self._prune(now)
        self.answered[int(now)] += 1

    def _prune(self, now: float) -> None:
        second = int(now)
        if second == self._pruned_at:
            return
        self._pruned_at = second
        horizon = int(now - WINDOW_SECONDS)
        for counts in (self.lost, self.answered):
            for expired in [second for second in counts if second < horizon]:
                del counts[expired]


@dataclass(frozen=True, slots=True)
class _PeerReport:
    """The outcomes of a group that another entry reported."""

    outcomes: GroupOutcomes
    at: float


class GroupLosses:
    """The outcomes of each group at this entry and as reported by other entries."""

    def __init__(self) -> None:
        self._own: dict[bytes, _Counts] = {}
        self._reports: dict[bytes, dict[str, _PeerReport]] = {}

    def note_answered(self, group: bytes, now: float) -> None:
        """Count a request that this entry answered completely."""
        self._counts_of(group).note_answered(now)

    def note_lost(self, group: bytes, now: float) -> None:
        """Count a request of this entry that was on a replica when the replica was lost."""
        self._counts_of(group).note_lost(now)

    def own(self, group: bytes, now: float) -> GroupOutcomes:
        """Return a group's outcomes at this entry within the window."""
        counts = self._own.get(group)
        return counts.total(now) if counts is not None else GroupOutcomes(0, 0)

    def receive(self, group: bytes, entry: str, outcomes: GroupOutcomes, now: float) -> None:
        """Store what another entry reports for a group, unless a size bound is reached."""
        if group not in self._reports and len(self._reports) >= MAX_GROUPS:
            return
        reports = self._reports.setdefault(group, {})
        if entry in reports or len(reports) < MAX_ENTRIES:
            reports[entry] = _PeerReport(outcomes, now)

    def is_mostly_lost(self, group: bytes, now: float) -> bool:
        """Return whether more of a group's requests were lost than answered at all known entries.

        >>> losses = GroupLosses()
        >>> losses.note_lost(b"t", 1.0)
        >>> losses.is_mostly_lost(b"t", 2.0)
        True
        >>> losses.receive(b"t", "entry1", GroupOutcomes(lost=0, answered=1), 2.0)
        >>> losses.is_mostly_lost(b"t", 2.0)
        False
        """
        reports = self._reports.get(group, {}).values()
        outcomes = [report.outcomes for report in reports if now - report.at < WINDOW_SECONDS]
        outcomes.append(self.own(group, now))
        return sum(o.lost for o in outcomes) > sum(o.answered for o in outcomes)

    def _counts_of(self, group: bytes) -> _Counts:
        if len(self._own) >= MAX_GROUPS and group not in self._own:
            self._own.pop(next(iter(self._own)))
        return self._own.setdefault(group, _Counts())


def paused_until(lost_at: list[float], now: float) -> float:
    """Return the time until which a group must pause, given when its replicas were lost.

    The result is -inf if the group is not restricted.

    >>> paused_until([1.0, 2.0], 3.0), paused_until([1.0, 2.0, 3.0], 3.5)
    (-inf, 5.0)
    >>> paused_until([1.0, 2.0, 3.0, 5.0], 5.5)
    9.0
    """
    recent = [at for at in lost_at if now - at < WINDOW_SECONDS]
    if len(recent) < RESTRICTED_LOSSES:
        return float("-inf")
    pause = FIRST_PAUSE_SECONDS * 2.0 ** (len(recent) - RESTRICTED_LOSSES)
    return max(recent) + min(pause, MAX_PAUSE_SECONDS)
