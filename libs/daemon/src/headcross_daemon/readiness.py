"""Decides when an entry reports itself ready, so that the platform sends callers to it.

An entry needs a configuration and the list of replicas. It also waits for a limited time for
reports of most daemons in its subset: without them it knows neither the load of replicas nor which
of them are about to load new weights, and would treat those as idle replicas with the old weights.
"""

from collections.abc import Callable
from typing import Final

# The longest wait for reports of daemons once the facts are complete. The first subscription only
# opens the link and the second follows 0.2 s later; daemons that start together with this entry
# take longer. Without the wait, a request 0.9 s after a start was refused by two replicas that
# were loading weights.
MAX_REPORT_WAIT_SECONDS: Final = 1.0


class Readiness:
    """Decides whether one entry is ready.

    An entry that has once had enough reports needs no further ones to stay ready.
    """

    def __init__(
        self, facts_complete: Callable[[], bool], has_most_reports: Callable[[], bool]
    ) -> None:
        """Take predicates: `facts_complete` on facts, `has_most_reports` on reports of daemons."""
        self._facts_complete = facts_complete
        self._has_most_reports = has_most_reports
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
        waited = now - self._complete_since >= MAX_REPORT_WAIT_SECONDS
        self._was_ready = self._was_ready or waited or self._has_most_reports()
        return self._was_ready
