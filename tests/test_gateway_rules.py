"""Which versions and which replicas may take a request: bounds and rests."""

from collections.abc import Callable

import pytest
from headcross_base.addresses import Address
from headcross_facts.facts import Facts, VersionNotice
from headcross_gateway.health import Health
from headcross_gateway.weightsrules import WeightsRules
from headcross_platform.store import MetadataStore


def rules(notices: list[VersionNotice]) -> WeightsRules:
    """Return the rules after some versions were named."""
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    facts.versions["m"] = notices
    return WeightsRules(facts, 8.0)


@pytest.mark.parametrize(
    ("age", "lowest"), [(0.0, 0), (5.0, 0), (6.3, 0), (6.5, 2), (8.0, 2), (60.0, 2)]
)
def test_an_old_version_takes_requests_until_shortly_before_the_bound(
    age: float, lowest: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("headcross_gateway.weightsrules.monotonic", lambda: 100.0)
    assert rules([VersionNotice(2, 100.0 - age, False)]).lowest_allowed("m") == lowest


def test_each_named_version_has_a_bound_of_its_own(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 100.0
    monkeypatch.setattr("headcross_gateway.weightsrules.monotonic", lambda: now)
    both = rules([VersionNotice(2, 100.0, False), VersionNotice(3, 102.0, False)])
    assert both.lowest_allowed("m") == 0
    now = 108.0
    assert both.lowest_allowed("m") == 2
    now = 110.0
    assert both.lowest_allowed("m") == 3


def test_one_failure_is_no_verdict_and_a_rest_grows(monkeypatch: pytest.MonkeyPatch) -> None:
    clock: Callable[[], float] = lambda: 10.0  # noqa: E731
    monkeypatch.setattr("headcross_gateway.health.monotonic", lambda: clock())
    health = Health()
    health.failed(certain=False)
    assert not health.resting()
    health.failed(certain=False)
    assert health.resting()
    first = health.resting_until
    clock = lambda: first + 0.1  # noqa: E731
    assert not health.resting() and health.needs_trial()
    health.failed(certain=False)
    assert health.resting_until - clock() > first - 10.0
    health.succeeded()
    assert not health.needs_trial()
