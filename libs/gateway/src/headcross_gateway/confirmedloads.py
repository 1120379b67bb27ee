"""Decides which versions of one replica may take requests, by whether their load is confirmed.

The list and a replica's own report say which version it holds, but not whether the weights were
complete and correct when they were loaded. The daemon on the replica's host checks that. So a
version that a replica loaded after this entry first knew it takes requests only once its daemon
has confirmed the load, and a version whose load the daemon found to be bad takes none.
"""

from collections.abc import Iterable

from headcross_ports.published import LoadedModel
from headcross_wire.peermessages import ReplicaLoad


class ConfirmedLoads:
    """The loads of one incarnation of a replica, as known to one entry.

    >>> loads = ConfirmedLoads([LoadedModel("m", 1)])
    >>> load = ReplicaLoad("10.0.0.1:80", 1, True, False, {"m": 1}, 0, 0, 0.0, 1.0, 1)
    >>> loads.record_report(load, 5.0)
    False
    >>> loads.may_serve("m", 1), loads.may_serve("m", 2)
    (True, False)
    """

    # When this entry first saw each version that was not among the first ones (monotonic).
    first_seen_at: dict[LoadedModel, float]

    def __init__(self, held: Iterable[LoadedModel]) -> None:
        """`held` are the versions that the replica held when this entry first learned of it."""
        self.first_seen_at = {}
        self._held_at_first = set(held)
        self._confirmed: set[LoadedModel] = set()
        self._suspect: set[LoadedModel] = set()
        self._receives_reports = False

    def record_report(self, load: ReplicaLoad, now: float) -> bool:
        """Record a daemon's report on this incarnation; return whether any load's status changed.

        A load stays suspect until the same version is confirmed, because a daemon that was
        restarted does not know what the previous process found.
        """
        before = (self._confirmed, self._suspect)
        self.note_held(_loads(load.versions), now)
        self._receives_reports = True
        confirmed, suspect = _loads(load.confirmed), _loads(load.suspect)
        self._confirmed = (self._confirmed | confirmed) - suspect
        self._suspect = (self._suspect | suspect) - confirmed
        return before != (self._confirmed, self._suspect)

    def note_held(self, held: Iterable[LoadedModel], now: float) -> None:
        """Note the versions that the replica holds, by the list or by its daemon's report."""
        for load in held:
            if load not in self._held_at_first:
                self.first_seen_at.setdefault(load, now)

    def rely_on_list(self) -> None:
        """Rely on the list alone, because this entry no longer subscribes to the daemon."""
        self._receives_reports = False

    def may_serve(self, model: str, version: int) -> bool:
        """Return whether a version that the replica holds may take requests."""
        load = LoadedModel(model, version)
        if load in self._suspect:
            return False
        return not self._receives_reports or load in self._confirmed | self._held_at_first

    def dump(self) -> dict[str, object]:
        """Return the state for the administration page and the log."""
        return {
            "hears_daemon": self._receives_reports,
            "held_at_first": _names(self._held_at_first),
            "confirmed": _names(self._confirmed),
            "suspect": _names(self._suspect),
        }


def _loads(versions: dict[str, int]) -> set[LoadedModel]:
    return {LoadedModel(model, version) for model, version in versions.items()}


def _names(loads: set[LoadedModel]) -> list[str]:
    return sorted(f"{load.model}@{load.version}" for load in loads)
