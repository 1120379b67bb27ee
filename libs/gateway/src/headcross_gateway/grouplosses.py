"""Teams whose requests on a route end replicas although no two of them are the same.

Whoever changes the body has another request, which may end replicas of its own before it is
barred. So the requests of one team on one route, a group, are looked at together: where replicas
were lost under them lately and more of them were lost than answered, one at a time may run at each
entry, and after each further loss only after a pause that doubles.

Requests of other groups that stood on the same replicas were lost as well, but most of theirs are
answered. No decision here needs a network or a clock; `now` is on one monotonic clock, in seconds.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

# What counts of the past.
WINDOW_SECONDS: Final = 30.0
# Replicas that the requests of one group may be lost with in that time before it is restrained.
UNRESTRAINED_LOSSES: Final = 3
# The pause after that many losses; it doubles with each further one.
FIRST_PAUSE_SECONDS: Final = 2.0
MAX_PAUSE_SECONDS: Final = 30.0
MAX_GROUPS: Final = 1024
MAX_ENTRIES: Final = 512


@dataclass(frozen=True, slots=True)
class GroupOutcomes:
    """How the requests of a group ended at one entry within the window."""

    lost: int
    answered: int


@dataclass(slots=True)
class _Counts:
    """Ends of requests by second, so that old ones can be forgotten."""

    lost: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    answered: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    _forgotten_at: int = -1  # the second in which what is too old was last forgotten

    def total(self, now: float) -> GroupOutcomes:
        """Return the sums over the window, and forget what is older."""
        self._forget_old(now)
        return GroupOutcomes(sum(self.lost.values()), sum(self.answered.values()))

    def note_lost(self, now: float) -> None:
        """Count a request that was lost."""
        self._forget_old(now)
        self.lost[int(now)] += 1

    def note_answered(self, now: float) -> None:
        """Count a request that was answered."""
        self._forget_old(now)
        self.answered[int(now)] += 1

    def _forget_old(self, now: float) -> None:
        second = int(now)
        if second == self._forgotten_at:
            return
        self._forgotten_at = second
        horizon = int(now - WINDOW_SECONDS)
        for counts in (self.lost, self.answered):
            for old in [second for second in counts if second < horizon]:
                del counts[old]


@dataclass(frozen=True, slots=True)
class _Told:
    """What another entry said of a group."""

    outcomes: GroupOutcomes
    at: float


class GroupLosses:
    """How the requests of each group end, at this entry and by the word of others."""

    def __init__(self) -> None:
        self._own: dict[bytes, _Counts] = {}
        self._told: dict[bytes, dict[str, _Told]] = {}

    def note_answered(self, group: bytes, now: float) -> None:
        """Count a whole answer at this entry."""
        self._of(group).note_answered(now)

    def note_lost(self, group: bytes, now: float) -> None:
        """Count a request of this entry that was on a replica as it was lost."""
        self._of(group).note_lost(now)

    def own(self, group: bytes, now: float) -> GroupOutcomes:
        """Return how a group's requests ended at this entry."""
        counts = self._own.get(group)
        return counts.total(now) if counts is not None else GroupOutcomes(0, 0)

    def hear(self, group: bytes, entry: str, outcomes: GroupOutcomes, now: float) -> None:
        """Take what another entry says of a group."""
        if group not in self._told and len(self._told) >= MAX_GROUPS:
            return
        told = self._told.setdefault(group, {})
        if entry in told or len(told) < MAX_ENTRIES:
            told[entry] = _Told(outcomes, now)

    def is_mostly_lost(self, group: bytes, now: float) -> bool:
        """Tell whether more requests of a group were lost than answered, over all entries heard.

        >>> losses = GroupLosses()
        >>> losses.note_lost(b"t", 1.0)
        >>> losses.is_mostly_lost(b"t", 2.0)
        True
        >>> losses.hear(b"t", "entry1", GroupOutcomes(lost=0, answered=1), 2.0)
        >>> losses.is_mostly_lost(b"t", 2.0)
        False
        """
        told = self._told.get(group, {}).values()
        known = [each.outcomes for each in told if now - each.at < WINDOW_SECONDS]
        known.append(self.own(group, now))
        return sum(each.lost for each in known) > sum(each.answered for each in known)

    def _of(self, group: bytes) -> _Counts:
        if len(self._own) >= MAX_GROUPS and group not in self._own:
            self._own.pop(next(iter(self._own)))
        return self._own.setdefault(group, _Counts())


def paused_until(lost_at: list[float], now: float) -> float:
    """Return until when a group whose replicas were lost at these moments has to wait.

    >>> paused_until([1.0, 2.0], 3.0), paused_until([1.0, 2.0, 3.0], 3.5)
    (-inf, 5.0)
    >>> paused_until([1.0, 2.0, 3.0, 5.0], 5.5)
    9.0
    """
    recent = [at for at in lost_at if now - at < WINDOW_SECONDS]
    if len(recent) < UNRESTRAINED_LOSSES:
        return float("-inf")
    pause = FIRST_PAUSE_SECONDS * 2.0 ** (len(recent) - UNRESTRAINED_LOSSES)
    return max(recent) + min(pause, MAX_PAUSE_SECONDS)
