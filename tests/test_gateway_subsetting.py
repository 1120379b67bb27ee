"""Tests subsets of replicas: bounded, stable, evenly spread; their use in picking and counting."""

import random
from collections import Counter

import pytest
from headcross_base.addresses import Address
from headcross_base.monotonic import monotonic
from headcross_gateway.directory import SUBSET_EXCLUSION_SECONDS, Directory
from headcross_gateway.picking import Picker, Requirements
from headcross_gateway.replicastate import (
    MAX_PLACED_BETWEEN_REPORTS,
    REPORT_LATE_SECONDS,
    LoadReport,
    draw_allowance,
)
from headcross_gateway.subsetting import (
    OWN_ZONE_SIZE,
    SUBSET_SIZE,
    choose_subset,
    every_other,
)
from headcross_gateway.weightsrules import WeightsRules
from headcross_ports.configuration import CallerLimits, Configuration, Service, WeightsLayout
from headcross_ports.published import LoadedModel, Replica
from headcross_wire.peermessages import ReplicaLoad
from hypothesis import given
from hypothesis import strategies as st

from testing.platformloads import with_platform_loads
from tests.test_gateway_rules import rules

WEIGHTS = Service("lm", 100, WeightsLayout(("m",), 1, 1))
CONFIGURATION = Configuration(1, (), {"lm": WEIGHTS}, (), CallerLimits(1, 1, 1.0, 1.0))
REQUIREMENTS = Requirements("lm", "m", None, (), True)


def fleet(zones: int, in_each: int) -> list[Replica]:
    """Return model replicas, `in_each` in each zone."""
    return [
        Replica(
            f"i-{zone}-{number}",
            "lm",
            Address(f"10.{zone}.0.{number + 1}", 80),
            f"z{zone}",
            8,
            False,
            (LoadedModel("m", 1),),
        )
        for zone in range(zones)
        for number in range(in_each)
    ]


def directory_of(replicas: list[Replica], host: str = "entry-0") -> Directory:
    """Return the directory of an entry in the first zone, with its subset chosen."""
    facts = rules([]).facts
    facts.configuration = CONFIGURATION
    facts.replicas.update({replica.id: replica for replica in replicas})
    directory = Directory(facts, host=host, zone="z0")
    directory.update()
    directory.choose_subset()
    for state in directory.states():
        with_platform_loads(state)
    return directory


def usable(replica: Replica) -> bool:
    """Treat every replica as usable."""
    return bool(replica.id)


@given(st.integers(1, 9), st.integers(1, 60))
def test_a_subset_does_not_grow_with_the_fleet_and_contains_all_of_a_small_fleet(
    zones: int, in_each: int
) -> None:
    replicas = fleet(zones, in_each)
    chosen = choose_subset("entry", "z0", replicas, usable)
    assert len(chosen) == min(SUBSET_SIZE, len(replicas))
    own_zone = sum(replica.id in chosen for replica in replicas if replica.zone == "z0")
    if zones > 2 and len(replicas) > SUBSET_SIZE:
        assert own_zone == min(in_each, OWN_ZONE_SIZE)


def test_entries_are_spread_over_the_replicas_and_keep_theirs_when_one_leaves() -> None:
    replicas = fleet(5, 12)
    subset_counts: Counter[str] = Counter()
    for number in range(35):
        zone = f"z{number % 5}"
        chosen = choose_subset(f"entry-{number}", zone, replicas, usable)
        subset_counts.update(chosen)
        chosen_without_first = choose_subset(f"entry-{number}", zone, replicas[1:], usable)
        assert len(chosen - chosen_without_first - {replicas[0].id}) == 0
    assert len(subset_counts) == len(replicas)
    assert max(subset_counts.values()) <= 20  # the mean is 14; without subsets it would be 35


def test_what_serves_and_answers_is_chosen_before_what_does_not() -> None:
    replicas = fleet(5, 12)
    dead = {replica.id for replica in replicas if replica.zone == "z0"}
    chosen = choose_subset("entry", "z0", replicas, lambda replica: replica.id not in dead)
    assert len(chosen) == SUBSET_SIZE and not chosen & dead


def test_a_replica_whose_daemon_fell_silent_is_replaced_in_the_subset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = monotonic()
    for module in ("directory", "replicastate"):
        monkeypatch.setattr(f"headcross_gateway.{module}.monotonic", lambda: now)
    directory = directory_of(fleet(5, 12))
    state = next(s for s in directory.states() if s.in_subset)
    load = ReplicaLoad(str(state.replica.address), 1, True, False, {"m": 1}, 0, 0, 0.0, 1.0, 5)
    directory.record_report(load)
    directory.choose_subset()
    assert state.in_subset
    now += REPORT_LATE_SECONDS + 0.1
    directory.choose_subset()
    assert not state.in_subset
    assert len(directory.subset_daemons()) == SUBSET_SIZE
    state.last_report = None  # the entry no longer receives its reports
    now += SUBSET_EXCLUSION_SECONDS + 0.1
    directory.choose_subset()
    assert state.in_subset


def test_a_replica_outside_of_the_subset_is_the_last_resort() -> None:
    """Guards against treating a replica of unknown load as empty and picking it first."""
    directory = directory_of(fleet(5, 12))
    picker = Picker("z0", directory, WeightsRules(rules([]).facts, 8.0))
    inside = [state for state in directory.states() if state.in_subset]
    for state in inside:
        busy = state.replica.slots - 1
        address = str(state.replica.address)
        load = ReplicaLoad(address, 1, True, False, {"m": 1}, busy, 0, 0.0, 1.0, 1)
        directory.record_report(load)
    for _ in inside:
        picked = picker.pick(REQUIREMENTS, CONFIGURATION)
        assert picked is not None and picked.in_subset
        picked.reserve_slot()
    picked = picker.pick(REQUIREMENTS, CONFIGURATION)
    assert picked is not None and not picked.in_subset


@pytest.mark.parametrize(
    ("zones", "in_each", "entries"), [(3, 2, 5), (5, 7, 11), (5, 12, 35), (5, 20, 35)]
)
def test_entries_are_counted_though_each_daemon_reports_a_different_number(
    zones: int, in_each: int, entries: int
) -> None:
    """Guards against an estimate from the last report alone, which gave 8 to 15 for 11 entries.

    With such an estimate, slow links were mirrored only intermittently.
    """
    replicas = fleet(zones, in_each)
    listeners: Counter[str] = Counter()
    for number in range(entries):
        listeners.update(choose_subset(f"entry-{number}", f"z{number % zones}", replicas, usable))
    directory = directory_of(replicas)
    assert directory.estimate_entries() is None  # there are no reports yet
    for replica in replicas:
        count = listeners[replica.id]
        load = (str(replica.address), 1, True, False, {"m": 1}, 0, 0, 0.0, 1.0, count)
        directory.record_report(ReplicaLoad(*load))
        if (
            sum(state.last_report is not None and state.in_subset for state in directory.states())
            >= 12
        ):
            estimate = directory.estimate_entries()
            assert estimate is not None and entries * 0.8 <= estimate <= entries * 1.25
    estimate = directory.estimate_entries()
    assert estimate is not None and entries <= estimate <= entries * 1.15


def test_many_entries_together_place_only_a_few_requests_between_two_reports() -> None:
    """Guards against each of 35 entries sending a request to every replica that seems free."""
    placed = sum(draw_allowance(35) for _ in range(35 * 1000)) / 1000
    assert 0.9 * MAX_PLACED_BETWEEN_REPORTS < placed < 1.1 * MAX_PLACED_BETWEEN_REPORTS
    state = next(iter(directory_of(fleet(1, 1)).states()))
    address = str(state.replica.address)
    load = ReplicaLoad(address, 1, True, False, {"m": 1}, 0, 0, 0.0, 1.0, 35)
    state.last_report = LoadReport(load, monotonic(), 0, allowance=0)
    assert not state.has_room()


@given(st.integers(0, 200), st.integers(1, 1000), st.randoms(use_true_random=False))
def test_two_rounds_cover_every_daemon_once_in_any_order(
    count: int, first: int, generator: random.Random
) -> None:
    """Guards against rounds by list position: a list change left a daemon out for three rounds."""
    daemons = [Address(f"10.0.{number // 250}.{number % 250 + 1}", 80) for number in range(count)]
    shuffled = generator.sample(daemons, count)
    covered = [*every_other(daemons, first), *every_other(shuffled, first + 1)]
    assert sorted(covered) == sorted(daemons)


def test_an_entry_has_most_reports_once_half_of_its_subset_has_reported() -> None:
    assert directory_of([]).has_most_reports()  # there are none
    replicas = fleet(zones=1, in_each=4)
    directory = directory_of(replicas)
    for replica, expected in zip(replicas, (False, True, True, True), strict=True):
        load = ReplicaLoad(str(replica.address), 1, True, False, {}, 0, 0, 0.0, 1.0, 1)
        directory.record_report(load)
        assert directory.has_most_reports() is expected
