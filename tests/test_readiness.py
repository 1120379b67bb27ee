"""Tests when an entry reports itself ready."""

from dataclasses import dataclass

from headcross_daemon.readiness import (
    MAX_LOADS_WAIT_SECONDS,
    MAX_REPORT_WAIT_SECONDS,
    Readiness,
)


@dataclass
class Knowledge:
    """Which facts and reports an entry has."""

    complete: bool = False
    has_most_reports: bool = False
    knows_most_loads: bool = True

    def readiness(self) -> Readiness:
        """Return the readiness of an entry with these facts and reports."""
        return Readiness(
            lambda: self.complete, lambda: self.has_most_reports, lambda: self.knows_most_loads
        )


def test_without_facts_an_entry_is_never_ready() -> None:
    knowledge = Knowledge(has_most_reports=True)
    readiness = knowledge.readiness()
    assert not readiness.is_ready(0.0) and not readiness.is_ready(100.0)


def test_an_entry_is_ready_once_it_has_most_reports_and_stays_ready() -> None:
    """Guards against an entry that is ready too early.

    Without load reports, it sent a request to two replicas that were loading; both refused it.
    """
    knowledge = Knowledge(complete=True)
    readiness = knowledge.readiness()
    assert not readiness.is_ready(0.0)
    knowledge.has_most_reports = True
    assert readiness.is_ready(0.1)
    knowledge.has_most_reports = False
    assert readiness.is_ready(0.2)


def test_missing_reports_delay_readiness_for_a_limited_time_only() -> None:
    knowledge = Knowledge()
    readiness = knowledge.readiness()
    assert not readiness.is_ready(50.0)
    knowledge.complete = True
    assert not readiness.is_ready(60.0)
    assert not readiness.is_ready(60.0 + MAX_REPORT_WAIT_SECONDS - 0.01)
    assert readiness.is_ready(60.0 + MAX_REPORT_WAIT_SECONDS)


def test_unknown_loads_delay_readiness_for_a_limited_time_only() -> None:
    """Guards against an entry that is ready and refuses every request for a model."""
    knowledge = Knowledge(complete=True, has_most_reports=True, knows_most_loads=False)
    readiness = knowledge.readiness()
    assert not readiness.is_ready(60.0)
    assert not readiness.is_ready(60.0 + MAX_LOADS_WAIT_SECONDS - 0.01)
    assert readiness.is_ready(60.0 + MAX_LOADS_WAIT_SECONDS)


def test_an_entry_is_ready_once_it_knows_most_loads_and_stays_ready() -> None:
    knowledge = Knowledge(complete=True, has_most_reports=True, knows_most_loads=False)
    readiness = knowledge.readiness()
    assert not readiness.is_ready(0.0)
    knowledge.knows_most_loads = True
    assert readiness.is_ready(0.1)
    knowledge.knows_most_loads = False
    assert readiness.is_ready(0.2)


def test_a_stopping_entry_is_not_ready() -> None:
    readiness = Knowledge(complete=True, has_most_reports=True).readiness()
    assert readiness.is_ready(0.0)
    readiness.stop()
    assert not readiness.is_ready(1.0) and readiness.is_stopping
