"""When a request is sent to a second replica."""

from dataclasses import dataclass
from typing import cast

from headcross_gateway.admission import Admission
from headcross_gateway.admitted import Admitted
from headcross_gateway.budget import RetryBudget
from headcross_gateway.containment import Containment
from headcross_gateway.retries import Retries
from headcross_ports.configuration import Repetition


@dataclass(frozen=True)
class StubRoute:
    """The part of a route that decides about repeats."""

    repetition = Repetition.REPEATABLE
    max_attempts: int = 2


@dataclass
class StubRequest:
    """The part of an admitted request that decides about its repeats."""

    retry_paid: bool
    runs: int = 1
    service: str = "api"
    route: StubRoute = StubRoute()


class StubContainment:
    """Every request is suspect."""

    def is_clear(self, request: Admitted) -> bool:
        """Tell that the request is not clear."""
        return False


def may_run_again(request: StubRequest) -> bool:
    budget = RetryBudget(ratio=1.0, slack=100.0)
    retries = Retries(cast(Admission, None), budget, cast(Containment, StubContainment()))
    return retries.may_run_again(cast(Admitted, request))


def test_a_request_that_left_a_silent_replica_runs_again_though_it_is_suspect_now() -> None:
    request = StubRequest(retry_paid=True)
    assert may_run_again(request)
    assert not may_run_again(request)


def test_a_suspect_request_does_not_run_again() -> None:
    assert not may_run_again(StubRequest(retry_paid=False))
