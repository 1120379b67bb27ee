"""When an entry calls itself ready."""

from dataclasses import dataclass

from headcross_daemon.readiness import MAX_REPORT_WAIT_SECONDS, Readiness


@dataclass
class Knowledge:
    """What an entry knows."""

    complete: bool = False
    has_most_reports: bool = False

    def readiness(self) -> Readiness:
        """Return the readiness of an entry that knows this."""
        return Readiness(lambda: self.complete, lambda: self.has_most_reports)


def test_without_facts_an_entry_is_never_ready() -> None:
    knowledge = Knowledge(has_most_reports=True)
    readiness = knowledge.readiness()
    assert not readiness.is_ready(0.0) and not readiness.is_ready(100.0)


def test_it_is_ready_as_soon_as_it_hears_most_daemons_and_stays_so() -> None:
    """One that was ready before had a request refused by two replicas that loaded."""
    knowledge = Knowledge(complete=True)
    readiness = knowledge.readiness()
    assert not readiness.is_ready(0.0)
    knowledge.has_most_reports = True
    assert readiness.is_ready(0.1)
    knowledge.has_most_reports = False
    assert readiness.is_ready(0.2)


def test_daemons_that_stay_silent_keep_it_back_for_a_moment_only() -> None:
    knowledge = Knowledge()
    readiness = knowledge.readiness()
    assert not readiness.is_ready(50.0)
    knowledge.complete = True
    assert not readiness.is_ready(60.0)
    assert not readiness.is_ready(60.0 + MAX_REPORT_WAIT_SECONDS - 0.01)
    assert readiness.is_ready(60.0 + MAX_REPORT_WAIT_SECONDS)


def test_one_that_stops_is_ready_no_more() -> None:
    readiness = Knowledge(complete=True, has_most_reports=True).readiness()
    assert readiness.is_ready(0.0)
    readiness.stop()
    assert not readiness.is_ready(1.0) and readiness.is_stopping
