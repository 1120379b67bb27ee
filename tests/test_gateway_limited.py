"""Tests of the admission of requests if replicas name limits or ask for rest."""

import math
from typing import Final

import pytest
import trio
import trio.testing
from headcross_base.addresses import Address
from headcross_base.monotonic import monotonic
from headcross_gateway.admission import Admission, QueueOrder
from headcross_gateway.directory import Directory
from headcross_gateway.overload import Overload
from headcross_gateway.picking import Picker, Requirements
from headcross_gateway.weightsrules import WeightsRules
from headcross_ports.configuration import CallerLimits, Configuration, Service
from headcross_ports.published import Replica
from headcross_ports.requests import BackpressureSignals

from tests.test_gateway_rules import rules

REQUIREMENTS: Final = Requirements("api", None, None, (), True)
CONFIGURATION: Final = Configuration(
    1, (), {"api": Service("api", 1)}, (), CallerLimits(1, 1, 1.0, 1.0)
)
ORDER: Final = QueueOrder(1, False, 100.0)


def admission_and_directory(count: int) -> tuple[Admission, Directory]:
    """Return the admission and the directory of an entry with `count` replicas of a service."""
    facts = rules([]).facts
    for number in range(count):
        address = Address("127.0.0.1", 1 + number)
        facts.replicas[f"r{number}"] = Replica(f"r{number}", "api", address, "z", 8, False)
    directory = Directory(facts)
    directory.update()
    return Admission(Picker("z", directory, WeightsRules(facts, 8.0))), directory


def exhaust(directory: Directory, limit: float) -> None:
    """Let every replica name a limit, and count requests until none is allowed now."""
    for state in directory.states():
        state.note_signals(BackpressureSignals(limit=limit), 0.0)
        for _ in range(100):
            state.backpressure.limit.count(state.own_share, monotonic())


async def test_a_request_is_refused_at_once_if_no_limit_allows_it_in_time(
    mock_clock: trio.testing.MockClock,
) -> None:
    mock_clock.autojump_threshold = 0
    admission, directory = admission_and_directory(2)
    exhaust(directory, 0.5)
    before = trio.current_time()
    assert await admission.acquire_slot(REQUIREMENTS, CONFIGURATION, ORDER, before + 1.0) is None
    assert trio.current_time() == before
    assert admission.seconds_to_opening(REQUIREMENTS, CONFIGURATION) > 1.0


async def test_a_request_goes_to_the_one_replica_without_a_limit() -> None:
    admission, directory = admission_and_directory(3)
    exhaust(directory, 0.5)
    unlimited = next(iter(directory.states()))
    unlimited.note_signals(BackpressureSignals(), monotonic() + 1)
    for _ in range(unlimited.replica.slots):
        acquired = await admission.acquire_slot(
            REQUIREMENTS, CONFIGURATION, ORDER, trio.current_time()
        )
        assert acquired is unlimited


async def test_a_request_that_waits_is_placed_when_a_limit_allows_it() -> None:
    admission, directory = admission_and_directory(1)
    state = next(iter(directory.states()))
    state.note_signals(BackpressureSignals(limit=50.0), 0.0)
    for _ in range(2):
        until = trio.current_time() + 5.0
        assert await admission.acquire_slot(REQUIREMENTS, CONFIGURATION, ORDER, until) is state


@pytest.mark.parametrize("opening", [0.0, 3.0, 30.0])
def test_retry_after_times_are_no_earlier_than_a_limit_allows_and_vary(
    opening: float,
) -> None:
    overload = Overload()
    delays = {overload.retry_after_seconds("api", opening) for _ in range(100)}
    assert len(delays) > 50
    assert min(delays) >= opening


async def test_a_resting_replica_gets_no_request_and_then_one_until_it_has_answered() -> None:
    admission, directory = admission_and_directory(1)
    state = next(iter(directory.states()))
    state.note_signals(BackpressureSignals(rest_seconds=0.2), 0.0)
    now = trio.current_time()
    assert await admission.acquire_slot(REQUIREMENTS, CONFIGURATION, ORDER, now) is None
    assert await admission.acquire_slot(REQUIREMENTS, CONFIGURATION, ORDER, now + 5.0) is state
    now = trio.current_time()
    assert await admission.acquire_slot(REQUIREMENTS, CONFIGURATION, ORDER, now) is None
    state.note_signals(BackpressureSignals(), 0.0)
    assert await admission.acquire_slot(REQUIREMENTS, CONFIGURATION, ORDER, now) is state


async def test_a_trial_request_after_a_rest_that_is_cancelled_allows_another_one() -> None:
    admission, directory = admission_and_directory(1)
    state = next(iter(directory.states()))
    state.note_signals(BackpressureSignals(rest_seconds=0.0), 0.0)
    acquired = await admission.acquire_slot(
        REQUIREMENTS, CONFIGURATION, ORDER, trio.current_time()
    )
    assert acquired is state
    admission.release_slot(acquired)
    assert (
        await admission.acquire_slot(REQUIREMENTS, CONFIGURATION, ORDER, trio.current_time())
        is state
    )


async def test_a_shorter_rest_does_not_end_a_longer_one() -> None:
    _, directory = admission_and_directory(1)
    state = next(iter(directory.states()))
    state.note_signals(BackpressureSignals(rest_seconds=30.0), 0.0)
    state.note_signals(BackpressureSignals(rest_seconds=1.0), 0.0)
    assert state.seconds_to_next() > 20.0


def test_an_entry_outside_the_subset_of_a_limited_replica_does_not_use_it() -> None:
    _, directory = admission_and_directory(1)
    state = next(iter(directory.states()))
    state.in_subset = False
    assert state.has_room()
    state.note_signals(BackpressureSignals(limit=100.0), 0.0)
    assert not state.has_room()
    assert state.seconds_to_next() == math.inf
