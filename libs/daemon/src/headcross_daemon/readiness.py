"""Decides when an entry reports itself ready, so that the platform sends callers to it.

An entry needs a configuration and the list of replicas. It also waits for a limited time for
reports of most daemons in its subset: without them it knows neither the load of replicas nor which
of them are about to load new weights, and would treat those as idle replicas with the old weights.
Nor does it send any request to weights of which nobody has told it that they were loaded intact.
"""

from collections.abc import Callable
from typing import Final

# The longest wait for reports of daemons once the facts are complete. The first subscription only
# opens the link and the second follows 0.2 s later; daemons that start together with this entry
# take longer. Without the wait, a request 0.9 s after a start was refused by two replicas that
# were loading weights.
MAX_REPORT_WAIT_SECONDS: Final = 1.0
# The longest wait, from the same moment, until it is known of most loads whether they were intact.
# Until then, requests would be refused here that other entries can serve.
MAX_LOADS_WAIT_SECONDS: Final = 3.0


class Readiness:
    """Decides whether one entry is ready.

    An entry that has once had enough reports needs no further ones to stay ready.
    """

    def __init__(
        self,
        facts_complete: Callable[[], bool],
        has_most_reports: Callable[[], bool],
        knows_most_loads: Callable[[], bool] = lambda: True,
    ) -> None:
        """Take predicates on the facts, on the reports of daemons and on the loads of replicas."""
        self._facts_complete = facts_complete
        self._has_most_reports = has_most_reports
        self._knows_most_loads = knows_most_loads
        self._complete_since: float | None = None
        self._was_ready = False
        self._stopping = False

    @property
    def is_stopping(self) -> bool:
        """Whether the entry is stopping."""
        return self._stopping

    def stop(self) -> None:
        """Report not ready from now on."""
        self._stopping = True

    def is_ready(self, now: float) -> bool:
        """Return whether callers may be sent; `now` is in seconds, on one clock for all calls."""
        if self._stopping or not self._facts_complete():
            return False
        if self._complete_since is None:
            self._complete_since = now
        if not self._was_ready:
            self._was_ready = self._knows_enough(now - self._complete_since)
        return self._was_ready

    def _knows_enough(self, waited: float) -> bool:
        if waited < MAX_REPORT_WAIT_SECONDS and not self._has_most_reports():
            return False
        return waited >= MAX_LOADS_WAIT_SECONDS or self._knows_most_loads()
