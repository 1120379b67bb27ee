"""When an entry calls itself ready."""

from dataclasses import dataclass

from headcross_daemon.readiness import INFORMED_SECONDS, Readiness


@dataclass
class Knowledge:
    """What an entry knows."""

    complete: bool = False
    hears_most: bool = False

    def readiness(self) -> Readiness:
        """Return the readiness of an entry that knows this."""
        return Readiness(lambda: self.complete, lambda: self.hears_most)


def test_without_facts_an_entry_is_never_ready() -> None:
    knowledge = Knowledge(hears_most=True)
    readiness = knowledge.readiness()
    assert not readiness.is_ready(0.0) and not readiness.is_ready(100.0)


def test_it_is_ready_as_soon_as_it_hears_most_daemons_and_stays_so() -> None:
    """One that was ready before had a request refused by two replicas that loaded."""
    knowledge = Knowledge(complete=True)
    readiness = knowledge.readiness()
    assert not readiness.is_ready(0.0)
    knowledge.hears_most = True
    assert readiness.is_ready(0.1)
    knowledge.hears_most = False
    assert readiness.is_ready(0.2)


def test_daemons_that_stay_silent_keep_it_back_for_a_moment_only() -> None:
    knowledge = Knowledge()
    readiness = knowledge.readiness()
    assert not readiness.is_ready(50.0)
    knowledge.complete = True
    assert not readiness.is_ready(60.0)
    assert not readiness.is_ready(60.0 + INFORMED_SECONDS - 0.01)
    assert readiness.is_ready(60.0 + INFORMED_SECONDS)


def test_one_that_stops_is_ready_no_more() -> None:
    readiness = Knowledge(complete=True, hears_most=True).readiness()
    assert readiness.is_ready(0.0)
    readiness.stop()
    assert not readiness.is_ready(1.0) and readiness.is_stopping
