"""Tests slots at replicas: which request gets one, how many an entry uses, and refusals."""

from dataclasses import replace

import msgspec
import pytest
import trio
import trio.testing
from headcross_base.addresses import Address
from headcross_base.clocks import now_ms
from headcross_base.monotonic import monotonic
from headcross_facts.facts import VersionNotice
from headcross_gateway.admission import Admission, QueueOrder
from headcross_gateway.demand import DemandMeter
from headcross_gateway.directory import Directory
from headcross_gateway.health import Health
from headcross_gateway.overload import MAX_RETRY_AFTER_SECONDS, Overload
from headcross_gateway.picking import Picker, Requirements
from headcross_gateway.replicastate import (
    MAX_PLACED_BETWEEN_REPORTS,
    REPORT_VALID_SECONDS,
    LoadReport,
    ReplicaState,
)
from headcross_gateway.weightsrules import WeightsRules
from headcross_ports.configuration import CallerLimits, Configuration, Service, WeightsLayout
from headcross_ports.published import LoadedModel, Replica
from headcross_wire.peermessages import ReplicaLoad

from testing.platformloads import with_platform_loads
from tests.test_gateway_rules import rules


def model_replica_state(name: str, version: int, busy: int) -> ReplicaState:
    """Return a replica of a model whose daemon has just reported its load."""
    address = Address("127.0.0.1", 1 + len(name))
    replica = Replica(name, "lm", address, "z", 8, False, (LoadedModel("m", version),))
    load = ReplicaLoad(
        str(address), 1, True, False, {"m": version}, busy, 0, 0.0, 1.0, 5, orders=0
    )
    last_report = LoadReport(msgspec.structs.replace(load, subscribed_ms=now_ms()), monotonic(), 0)
    state = ReplicaState(replica, last_report=last_report, own_share=1 / load.listeners)
    return with_platform_loads(state)


def report_now(directory: Directory, load: ReplicaLoad, now: float) -> None:
    """Record a load report that acknowledges a subscription sent at `now`."""
    directory.record_report(msgspec.structs.replace(load, subscribed_ms=int(now * 1000)))


@pytest.mark.parametrize(
    ("age", "busy", "exact", "taken"),
    [
        (5.0, 8, None, False),
        (5.0, 6, None, True),
        # From 5.4 s on, the allowed share of its 8 slots falls: 0.81 here, 0.45 at 6.3 s.
        (5.5, 7, None, False),
        (5.5, 6, None, True),
        (6.3, 4, None, False),
        (6.3, 3, None, True),
        (6.5, 2, None, False),
        (9.0, 0, None, False),
        # A stream that began on the old version is not resumed on it either.
        (5.0, 2, 1, True),
        (6.3, 6, 1, True),
        (6.5, 0, 1, False),
        (9.0, 0, 1, False),
    ],
)
def test_shortly_before_the_bound_an_old_version_takes_only_what_starts_at_once(
    age: float, busy: int, exact: int | None, taken: bool
) -> None:
    """Guards against a request that waits at its replica and begins after the bound."""
    state = model_replica_state("old", 1, busy)
    weights_rules = rules([VersionNotice(2, monotonic() - age, False)])
    directory = Directory(weights_rules.facts)
    weights = Service("lm", 100, WeightsLayout(("m",), 1, 1))
    limits = CallerLimits(1, 1, 1.0, 1.0)
    configuration = Configuration(1, (), {"lm": weights}, (), limits)
    weights_rules.facts.replicas["old"] = state.replica
    directory.update()
    assert state.last_report is not None
    directory.record_report(state.last_report.load)
    picker = Picker("z", directory, weights_rules)
    picked = picker.pick(Requirements("lm", "m", exact, (), True), configuration)
    assert (picked is not None) == taken


def test_shortly_before_the_bound_nothing_goes_where_requests_were_recently_delayed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a slow link that delivers a request 2 s late, after the bound."""
    start = monotonic()
    now = start
    for module in ("health", "directory", "replicastate", "weightsrules"):
        monkeypatch.setattr(f"headcross_gateway.{module}.monotonic", lambda: now)
    state = model_replica_state("old", 1, 0)
    weights_rules = rules([VersionNotice(2, start - 1.0, False)])
    directory = Directory(weights_rules.facts)
    weights = Service("lm", 100, WeightsLayout(("m",), 1, 1))
    limits = CallerLimits(1, 1, 1.0, 1.0)
    configuration = Configuration(1, (), {"lm": weights}, (), limits)
    weights_rules.facts.replicas["old"] = state.replica
    directory.update()
    picker = Picker("z", directory, weights_rules)
    taken = {}
    for moment, silent_at in ((3.9, 2.0), (4.1, 2.0), (4.9, 2.0), (4.9, 1.8)):
        now = start + silent_at
        replica_state = directory.serving("lm")[0]
        replica_state.health.note_silence()
        replica_state.health.note_failure(certain=False)
        replica_state.health.note_success()  # a later success is no proof that the link delivers
        now = start + moment
        assert state.last_report is not None
        report_now(directory, state.last_report.load, now)
        requirements = Requirements("lm", "m", None, (), True)
        taken[moment, silent_at] = picker.pick(requirements, configuration) is not None
        replica_state.health = Health()
    # The bound is 7 s after the start here; links are judged from 3 s before it.
    assert taken == {(3.9, 2.0): True, (4.1, 2.0): False, (4.9, 2.0): False, (4.9, 1.8): True}


@pytest.mark.parametrize(
    ("age", "subscribed_ago", "taken"),
    [(4.5, 5.0, True), (5.2, 1.0, True), (5.2, 1.3, False), (6.0, 2.0, False)],
)
def test_shortly_before_the_bound_nothing_goes_where_the_link_does_not_deliver_in_time(
    age: float, subscribed_ago: float, taken: bool
) -> None:
    """Guards against a slow link that delivers a request 3 s late while load reports arrive.

    The entry that sent the request had seen no time-out itself; only other entries had.
    """
    weights_rules = rules([VersionNotice(2, monotonic() - age, False)])
    directory = Directory(weights_rules.facts)
    weights = Service("lm", 100, WeightsLayout(("m",), 1, 1))
    configuration = Configuration(1, (), {"lm": weights}, (), CallerLimits(1, 1, 1.0, 1.0))
    state = model_replica_state("old", 1, 0)
    weights_rules.facts.replicas["old"] = state.replica
    directory.update()
    assert state.last_report is not None
    report_now(directory, state.last_report.load, monotonic() - subscribed_ago)
    picked = Picker("z", directory, weights_rules).pick(
        Requirements("lm", "m", None, (), True), configuration
    )
    assert (picked is not None) == taken


@pytest.mark.parametrize(
    ("age", "waited", "taken"),
    # A request that has not begun 0.8 s before the bound of 8 s is withdrawn.
    [(2.0, 5.0, True), (2.0, 5.5, False), (6.0, 1.0, True), (6.0, 1.4, False), (6.3, 0.5, True)],
)
def test_nothing_goes_to_old_weights_where_it_would_wait_until_it_is_withdrawn(
    age: float, waited: float, taken: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = monotonic()
    for module in ("health", "directory", "replicastate", "weightsrules", "waittimes"):
        monkeypatch.setattr(f"headcross_gateway.{module}.monotonic", lambda: now)
    weights_rules = rules([VersionNotice(2, now - age, False)])
    directory = Directory(weights_rules.facts)
    weights = Service("lm", 100, WeightsLayout(("m",), 1, 1))
    configuration = Configuration(1, (), {"lm": weights}, (), CallerLimits(1, 1, 1.0, 1.0))
    weights_rules.facts.replicas["old"] = model_replica_state("old", 1, 0).replica
    directory.update()
    replica_state = directory.serving("lm")[0]
    start = now
    with replica_state.waits.waiting():
        now = start + waited / 2
        assert replica_state.waits.expected() == pytest.approx(waited / 2)
        now = start + waited
    weights_rules.facts.versions["m"] = [VersionNotice(2, now - age, False)]
    last_report = model_replica_state("old", 1, 0).last_report
    assert last_report is not None
    report_now(directory, last_report.load, now)
    picked = Picker("z", directory, weights_rules).pick(
        Requirements("lm", "m", None, (), True), configuration
    )
    assert (picked is not None) == taken


@pytest.mark.parametrize("exact", [None, 1])
def test_a_replica_that_is_about_to_load_gets_nothing_even_if_it_is_the_last(
    exact: int | None,
) -> None:
    """Guards against broken streams that spend their retries at replicas that are loading."""
    state = model_replica_state("old", 1, 0)
    weights_rules = rules([VersionNotice(2, monotonic() - 5.6, False)])
    weights_rules.facts.replicas["old"] = state.replica
    directory = Directory(weights_rules.facts)
    directory.update()
    limits = CallerLimits(1, 1, 1.0, 1.0)
    weights = Service("lm", 100, WeightsLayout(("m",), 1, 1))
    configuration = Configuration(1, (), {"lm": weights}, (), limits)
    picker = Picker("z", directory, weights_rules)
    assert state.last_report is not None
    directory.record_report(state.last_report.load)
    assert picker.pick(Requirements("lm", "m", exact, (), True), configuration) is not None
    directory.record_report(msgspec.structs.replace(state.last_report.load, leaving=True))
    assert picker.pick(Requirements("lm", "m", exact, (), True), configuration) is None


def test_entries_do_not_rush_to_a_replica_that_has_become_free() -> None:
    """Guards against too many requests at a replica that has just loaded: they wait 1.5 s."""
    entries = [model_replica_state("fresh", 2, 0) for _ in range(5)]
    placed = 0
    for state in entries:
        while state.has_room():
            state.reserve_slot()
            placed += 1
    assert placed <= MAX_PLACED_BETWEEN_REPORTS
    for state in entries:
        assert state.last_report is not None
        state.last_report = LoadReport(state.last_report.load, monotonic(), state.in_flight)
        assert state.has_room()


async def test_slots_go_by_priority_then_by_earliest_deadline(
    mock_clock: trio.testing.MockClock,
) -> None:
    mock_clock.autojump_threshold = 0
    facts = rules([]).facts
    replica = Replica("r", "api", Address("127.0.0.1", 1), "z", 1, False)
    facts.replicas["r"] = replica
    directory = Directory(facts)
    directory.update()
    admission = Admission(Picker("z", directory, WeightsRules(facts, 8.0)))
    limits = CallerLimits(1, 1, 1.0, 1.0)
    configuration = Configuration(1, (), {"api": Service("api", 1)}, (), limits)
    order: list[str] = []

    async def wait(
        name: str, priority: int, deadline: float, requirements: Requirements, until: float
    ) -> None:
        queue_order = QueueOrder(priority, False, deadline)
        replica_state = await admission.acquire_slot(
            requirements, configuration, queue_order, until
        )
        order.append(name if replica_state is not None else f"{name} refused")
        if replica_state is not None:
            await trio.sleep(0.01)
            admission.release_slot(replica_state)

    unconstrained = Requirements("api", None, None, (), True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait, "first", 1, 9.0, unconstrained, 5.0)
        await trio.testing.wait_all_tasks_blocked()
        for name, priority, deadline, requirements in [
            ("fresh", 1, 8.0, unconstrained),
            ("returned", 1, 7.0, unconstrained),
            ("urgent", 0, 9.0, unconstrained),
            ("tried there", 0, 1.0, replace(unconstrained, tried=("r",))),
        ]:
            nursery.start_soon(wait, name, priority, deadline, requirements, 5.0)
    assert order == ["first", "urgent", "returned", "fresh", "tried there refused"]
    assert admission.waiting("api") == 0
    assert next(iter(directory.states())).in_flight == 0


def test_demand_is_what_came_in_the_last_seconds() -> None:
    now = 0.0
    meter = DemandMeter()
    meter.measure(now)
    rates = []
    for count in (20, 20, 0, 0, 0):
        for _ in range(count):
            meter.note("lm")
        now += 1.0
        meter.measure(now)
        rates.append(meter.rate("lm"))
    assert rates == [20.0, 20.0, 10.0, 5.0, 2.5]
    assert meter.rate("never asked for") == 0.0


def test_an_entry_without_valid_reports_keeps_to_its_share_of_the_slots() -> None:
    """Guards against entries that each fill all slots after a restart: requests queue for 2 s."""
    last_report = model_replica_state("r", 1, 0).last_report
    assert last_report is not None
    old = replace(last_report, at=monotonic() - 2 * REPORT_VALID_SECONDS)
    for report in (None, old):
        for share, expected_slots in ((0.0, 1), (0.5, 4), (1.0, 8)):  # of 8 slots
            state = model_replica_state("r", 1, 0)
            state.last_report, state.own_share = report, share
            assert fill_slots(state) == expected_slots


def fill_slots(state: ReplicaState) -> int:
    """Fill the replica without further reports; return how many requests one entry sends."""
    while state.has_room():
        state.reserve_slot()
    return state.in_flight


def test_a_lasting_overload_gives_longer_retry_after_times() -> None:
    """Guards against callers that return during the same overload and are refused again."""
    now = 0.0
    overload = Overload()
    overload.measure(now)
    waits = []
    for refused in (0, 5, 10):
        for _ in range(10):
            overload.note_request("lm", is_caller_retry=False)
        for _ in range(refused):
            overload.note_refused("lm", is_caller_retry=False)
        now += 100.0  # earlier refusals no longer count
        overload.measure(now)
        waits.append([overload.retry_after_seconds("lm") for _ in range(200)])
    means = [sum(delays) / len(delays) for delays in waits]
    assert means == sorted(means) and means[2] > 2 * means[0]
    assert all(0 < seconds <= MAX_RETRY_AFTER_SECONDS for delays in waits for seconds in delays)
    # The times vary, so that callers do not return all at once.
    assert all(len(set(delays)) > 1 for delays in waits)


def test_ended_requests_do_not_use_up_the_allowance_until_the_next_report() -> None:
    state = model_replica_state("idle", 1, 0)
    assert state.last_report is not None
    for _ in range(3):
        assert state.has_room()
        state.reserve_slot()
        assert not state.has_room()
        state.in_flight -= 1
