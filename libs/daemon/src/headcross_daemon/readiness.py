"""When an entry calls itself ready, so that the platform sends callers to it.

It needs a configuration and the list of replicas. It also waits for a moment until it has heard
most of the daemons that it keeps itself informed by: before that it knows neither loads nor which
replicas are about to load new weights, and takes them for idle ones that hold the old.
"""

from collections.abc import Callable
from typing import Final

# The longest wait for the daemons once facts are complete, in seconds. The first subscription only
# opens a link and the second comes 0.2 s later; daemons that started together with this entry take
# longer. A request that came 0.9 s after a start had been refused by two replicas that loaded.
INFORMED_SECONDS: Final = 1.0


class Readiness:
    """Decides whether one entry is ready; once it knew enough it stays so until it stops."""

    def __init__(self, facts_complete: Callable[[], bool], hears_most: Callable[[], bool]) -> None:
        """Ask `facts_complete` for what may be served, `hears_most` whether loads are known."""
        self._facts_complete = facts_complete
        self._hears_most = hears_most
        self._complete_since: float | None = None
        self._informed = False
        self._stopping = False

    @property
    def is_stopping(self) -> bool:
        """Whether the entry has been told to stop."""
        return self._stopping

    def stop(self) -> None:
        """Be ready no more."""
        self._stopping = True

    def is_ready(self, now: float) -> bool:
        """Tell whether callers may come; `now` is any clock in seconds, the same for all calls."""
        if self._stopping or not self._facts_complete():
            return False
        if self._complete_since is None:
            self._complete_since = now
        waited = now - self._complete_since >= INFORMED_SECONDS
        self._informed = self._informed or waited or self._hears_most()
        return self._informed
