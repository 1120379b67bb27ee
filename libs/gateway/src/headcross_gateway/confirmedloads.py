"""Decides which weights versions of one replica may take requests.

A load here is the loading of a weights version. The list and a replica's own report say which
version it holds, but not whether the weights were complete and correct when they were loaded. The
daemon on the replica's host checks that. If the replica loads a version after this entry first
knew the replica, that version takes requests only once the daemon has confirmed the load. A
version whose load the daemon found to be bad takes none.
"""

from collections.abc import Iterable

from headcross_ports.published import LoadedModel
from headcross_wire.peermessages import ReplicaLoad


class ConfirmedLoads:
    """The loaded versions of one incarnation of a replica, and which of them are confirmed.

    >>> loads = ConfirmedLoads([LoadedModel("m", 1)])
    >>> load = ReplicaLoad("10.0.0.1:80", 1, True, False, {"m": 1}, 0, 0, 0.0, 1.0, 1)
    >>> loads.record_report(load, 5.0)
    False
    >>> loads.may_serve("m", 1), loads.may_serve("m", 2)
    (True, False)
    """

    # When this entry first saw each version that the replica loaded since (monotonic).
    first_seen_at: dict[LoadedModel, float]

    def __init__(self, held_versions: Iterable[LoadedModel]) -> None:
        """`held_versions` are those that the replica held when this entry first learned of it."""
        self.first_seen_at = {}
        self._held_at_first = set(held_versions)
        self._confirmed: set[LoadedModel] = set()
        self._suspect: set[LoadedModel] = set()
        self._receives_reports = False

    def record_report(self, load: ReplicaLoad, now: float) -> bool:
        """Record a daemon's report on this incarnation; return whether any load's status changed.

        A load stays suspect until the same version is confirmed, because a daemon that was
        restarted does not know what the previous process found.
        """
        before = (self._confirmed, self._suspect)
        self.note_held(_loaded_models(load.versions), now)
        self._receives_reports = True
        confirmed, suspect = _loaded_models(load.confirmed), _loaded_models(load.suspect)
        self._confirmed = (self._confirmed | confirmed) - suspect
        self._suspect = (self._suspect | suspect) - confirmed
        return before != (self._confirmed, self._suspect)

    def note_held(self, held_versions: Iterable[LoadedModel], now: float) -> None:
        """Note the versions that the replica holds, by the list or by its daemon's report."""
        for loaded_model in held_versions:
            if loaded_model not in self._held_at_first:
                self.first_seen_at.setdefault(loaded_model, now)

    def rely_on_list(self) -> None:
        """Rely on the list alone, because this entry no longer subscribes to the daemon."""
        self._receives_reports = False

    def may_serve(self, model: str, version: int) -> bool:
        """Return whether a version that the replica holds may take requests."""
        loaded_model = LoadedModel(model, version)
        if loaded_model in self._suspect:
            return False
        return not self._receives_reports or loaded_model in self._confirmed | self._held_at_first

    def dump(self) -> dict[str, object]:
        """Return the state for the administration page and the log."""
        return {
            "hears_daemon": self._receives_reports,
            "held_at_first": _names(self._held_at_first),
            "confirmed": _names(self._confirmed),
            "suspect": _names(self._suspect),
        }


def _loaded_models(versions: dict[str, int]) -> set[LoadedModel]:
    return {LoadedModel(model, version) for model, version in versions.items()}


def _names(loaded_models: set[LoadedModel]) -> list[str]:
    return sorted(f"{loaded_model.model}@{loaded_model.version}" for loaded_model in loaded_models)
