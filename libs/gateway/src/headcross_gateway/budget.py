"""How many requests may be sent to a second replica, without shared counters.

Every request to a service earns a part of a retry, and a few can be saved up. All entries together
stay within the common bound, whatever share of the requests each has: the earned parts add up to
less than the bound's ratio, and the savings of all entries to less than its slack.
"""

from dataclasses import dataclass
from typing import Final

# Parts of the common bound that the entries use; the rest covers what they cannot see.
USED_PART: Final = 0.75
# The slack is divided among this many entries; some of them start during the day.
ENTRIES_COUNTED_ON: Final = 12


@dataclass(slots=True)
class _Savings:
    retries: float


class RetryBudget:
    """The retries that one entry may make, for each service."""

    # Retries made, and refused for want of budget.
    spent: int
    denied: int

    def __init__(self, ratio: float, slack: float) -> None:
        self.spent = 0
        self.denied = 0
        self._earned = ratio * USED_PART
        self._most = max(1.0, slack * USED_PART / ENTRIES_COUNTED_ON)
        self._savings: dict[str, _Savings] = {}

    def earn(self, service: str) -> None:
        """Count a caller's request for a service.

        >>> budget = RetryBudget(ratio=0.2, slack=0)
        >>> budget.spend("s"), budget.spend("s")
        (True, False)
        >>> for _ in range(8): budget.earn("s")
        >>> budget.spend("s")
        True
        """
        savings = self._of(service)
        savings.retries = min(self._most, savings.retries + self._earned)

    def spend(self, service: str) -> bool:
        """Take one retry if there is one left."""
        savings = self._of(service)
        if savings.retries < 1:
            self.denied += 1
            return False
        savings.retries -= 1
        self.spent += 1
        return True

    def _of(self, service: str) -> _Savings:
        return self._savings.setdefault(service, _Savings(self._most))
