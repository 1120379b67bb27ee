"""Bounds the requests that may be sent to a second replica, without counters shared by entries.

The bound on all entries together: within a window, at most `ratio` retries per request plus
`slack`.

Every request to a service earns a fraction of a retry, and some retries can be saved up. All
entries together stay within the bound, whatever share of the requests each has: the earned
fractions add up to less than the ratio, and the savings of all entries to less than the slack.

An entry that starts is granted one retry, and up to a small fraction of its share of the slack
once it knows the number of entries. The grant is small because the previous process may have spent
all its savings just before; the maximum savings leave room for several such starts of every entry.
With a grant of a sixteenth of the slack per start, restarting all 35 entries twice within the
window could exceed the bound.
"""

from dataclasses import dataclass
from typing import Final

# Fraction of the bound's ratio that entries use; the remainder covers what they cannot observe.
USED_FRACTION: Final = 0.75
# The retries granted to an entry when it starts, and the fraction of its share of the slack that
# it is granted instead, if that is more, when it knows the number of entries.
START_RETRIES: Final = 1.0
START_SLACK_FRACTION: Final = 0.125
# Maximum number of starts of each entry within the window of the bound (10 s as documented). A
# process that is killed takes requests again after about 2.5 s: the platform's delay, plus at
# least 1 s to start.
STARTS_PER_WINDOW: Final = 4
# The slack is divided among the known entries, and among at least this many.
MIN_ENTRIES: Final = 5
# Fraction of the slack that entries use; the remainder covers rounding and late news from other
# entries.
SLACK_FRACTION: Final = 0.97


@dataclass(slots=True)
class _Savings:
    retries: float


class RetryBudget:
    """The retries that one entry may make, by service."""

    # The numbers of retries made and of retries denied by the budget.
    spent: int
    denied: int

    def __init__(self, ratio: float, slack: float) -> None:
        self.spent = 0
        self.denied = 0
        self._earned_per_request = ratio * USED_FRACTION
        self._slack = slack * SLACK_FRACTION
        self._entry_count = MIN_ENTRIES
        self._knows_entry_count = False
        self._savings: dict[str, _Savings] = {}

    def note_entries(self, count: int) -> None:
        """Store the number of entries; during the lifetime of a process it never falls."""
        self._entry_count = max(self._entry_count, count)
        if self._knows_entry_count:
            return
        self._knows_entry_count = True
        for savings in self._savings.values():
            savings.retries += self._grant - START_RETRIES

    @property
    def max_saved(self) -> float:
        """The retries that this entry may save up for a service.

        The bound holds for any history if the slack has room for the savings and grants of every
        entry, at least five retries each. The documented slack is 6 to 20 for each.
        """
        share = self._slack / self._entry_count
        return max(START_RETRIES, share - STARTS_PER_WINDOW * self._grant)

    @property
    def _grant(self) -> float:
        """The retries granted to an entry that starts, for the number of entries known so far."""
        return max(START_RETRIES, START_SLACK_FRACTION * self._slack / self._entry_count)

    def earn(self, service: str) -> None:
        """Count a caller's request for a service.

        >>> budget = RetryBudget(ratio=0.2, slack=0)
        >>> budget.spend("s"), budget.spend("s")
        (True, False)
        >>> for _ in range(8): budget.earn("s")
        >>> budget.spend("s")
        True
        """
        savings = self._savings_of(service)
        savings.retries = min(self.max_saved, savings.retries + self._earned_per_request)

    def may_spend(self, service: str) -> bool:
        """Return whether a retry is left, without taking it."""
        return min(self.max_saved, self._savings_of(service).retries) >= 1

    def spend(self, service: str) -> bool:
        """Take one retry if one is left; return whether it was taken."""
        savings = self._savings_of(service)
        savings.retries = min(self.max_saved, savings.retries)
        if savings.retries < 1:
            self.denied += 1
            return False
        savings.retries -= 1
        self.spent += 1
        return True

    def _savings_of(self, service: str) -> _Savings:
        initial_retries = self._grant if self._knows_entry_count else START_RETRIES
        return self._savings.setdefault(service, _Savings(initial_retries))
