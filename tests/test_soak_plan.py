"""Tests that plans of soaks are reproducible and leave time to check time-bounded promises."""

import pytest

from bench.soak.actions import OPERATOR_KINDS, Action, ActionKind
from bench.soak.bounds import BOUNDS
from bench.soak.main import ArgumentError, parse_arguments
from bench.soak.plan import (
    MIN_SOAK_SECONDS,
    QUIET_PHASE_SECONDS,
    RECOVERY_SECONDS,
    Plan,
    draw_plan,
)
from bench.soak.regressions import REGRESSIONS, read_regressions
from bench.soak.sizes import Sizes, daemon_of, entry_names, model_names, plain_names

SEEDS = range(60)
RESTARTING = {ActionKind.KILL, ActionKind.STOP, ActionKind.REPLICA_CRASH, ActionKind.DRAIN}


def faults(plan: Plan) -> list[Action]:
    return [action for action in plan.actions if action.kind not in OPERATOR_KINDS]


def quiet_phases(plan: Plan) -> list[tuple[float, float]]:
    """Return the spans without faults that are long enough to check time-bounded promises."""
    spans, free_since = [], 0.0
    for action in sorted(faults(plan), key=lambda action: action.at):
        if action.at - free_since >= BOUNDS.weights + BOUNDS.reached:
            spans.append((free_since, action.at))
        free_since = max(free_since, action.at + action.seconds)
    spans.append((free_since, plan.seconds))
    return spans


@pytest.mark.parametrize("seconds", [MIN_SOAK_SECONDS, 60.0, 120.0])
def test_the_same_seed_and_length_give_the_same_plan(seconds: float) -> None:
    for seed in SEEDS:
        assert draw_plan(seed, seconds) == draw_plan(seed, seconds)


def test_other_seeds_and_lengths_give_other_plans() -> None:
    assert len({draw_plan(seed, 60.0).actions for seed in SEEDS}) == len(SEEDS)
    assert draw_plan(1, 60.0) != draw_plan(1, 61.0)


def test_sizes_are_within_their_limits_and_follow_the_count_of_processes() -> None:
    for seed in SEEDS:
        sizes = draw_plan(seed, 60.0).sizes
        assert 2 <= sizes.entries <= 5 and 3 <= sizes.models <= 10
        assert 2 <= sizes.plain <= 3 and 2 <= sizes.zones <= 3
        for processes in (20, 60):
            large = draw_plan(seed, 60.0, processes).sizes
            assert large.entries + large.models == processes and large.entries >= 2


def test_sizes_may_be_given() -> None:
    sizes = Sizes(2, 3, 2, 2)
    plan = draw_plan(5, 60.0, sizes=sizes)
    assert plan.sizes == sizes
    assert [host.name for host in plan.replica_hosts] == [*model_names(sizes), *plain_names(sizes)]


def test_every_fault_ends_by_the_end_of_the_last_fault_phase() -> None:
    for seed in SEEDS:
        plan = draw_plan(seed, 120.0)
        assert plan.last_fault_phase_ends_at <= plan.seconds - RECOVERY_SECONDS
        for action in faults(plan):
            assert action.at >= 0
            assert action.at + action.seconds <= plan.last_fault_phase_ends_at + 1e-9, action


def test_quiet_phases_are_frequent_and_contain_operator_actions() -> None:
    for seed in SEEDS:
        plan = draw_plan(seed, 120.0)
        spans = quiet_phases(plan)
        assert len(spans) >= 3, (seed, spans)
        quiet_kinds = [
            action.kind
            for since, until in spans
            for action in plan.actions
            if since + BOUNDS.reached <= action.at <= until - BOUNDS.weights
        ]
        assert ActionKind.NAME_VERSIONS in quiet_kinds and ActionKind.PUBLISH in quiet_kinds, seed
        assert any(action.kind is ActionKind.STOP for action in plan.actions), seed


def test_faults_overlap() -> None:
    for seed in SEEDS:
        plan_faults = faults(draw_plan(seed, 120.0))
        pairs = zip(plan_faults, plan_faults[1:], strict=False)
        assert sum(b.at < a.at + a.seconds for a, b in pairs) >= 5, seed


def test_all_kinds_of_actions_are_drawn_on_some_seeds() -> None:
    drawn = {action.kind for seed in SEEDS for action in draw_plan(seed, 120.0).actions}
    assert drawn == set(ActionKind)


def test_targets_exist_and_actions_are_in_order() -> None:
    for seed in SEEDS:
        plan = draw_plan(seed, 120.0)
        models = model_names(plan.sizes)
        known = {*entry_names(plan.sizes), *models, *map(daemon_of, models)}
        known |= set(plain_names(plan.sizes))
        assert list(plan.actions) == sorted(plan.actions, key=lambda action: action.at)
        for action in plan.actions:
            if action.kind in (ActionKind.ADD_ENTRY, ActionKind.ADD_REPLICA):
                assert action.targets[0] not in known
            else:
                assert set(action.targets) <= known, action


def test_no_process_or_replica_is_ended_again_while_it_is_away() -> None:
    for seed in SEEDS:
        free_at: dict[str, float] = {}
        for action in draw_plan(seed, 120.0).actions:
            if action.kind in RESTARTING:
                name = action.targets[0]
                assert action.at >= free_at.get(name, 0.0), action
                free_at[name] = action.at + action.seconds


def test_quiet_phases_are_longer_than_the_bounds() -> None:
    assert BOUNDS.weights + BOUNDS.reached < QUIET_PHASE_SECONDS
    assert BOUNDS.recovery < RECOVERY_SECONDS


@pytest.mark.parametrize(
    ("arguments", "field"),
    [
        (["x"], "SEED"),
        (["-1"], "-1"),
        (["1", "--minutes=0.1"], "--minutes"),
        (["1", "--minutes=long"], "--minutes"),
        (["1", "--processes=5"], "--processes"),
        (["1", "--processes=61"], "--processes"),
        (["1", "--what"], "--what"),
        ([], "SEED"),
    ],
)
def test_bad_arguments_are_refused_with_their_name(arguments: list[str], field: str) -> None:
    with pytest.raises(ArgumentError) as error:
        parse_arguments(arguments)
    assert field in str(error.value)


def test_good_arguments_are_read() -> None:
    arguments = parse_arguments(["3", "--minutes=1.5", "--processes=24", "--regressions"])
    assert (arguments.seed, arguments.minutes, arguments.processes) == (3, 1.5, 24)
    assert arguments.regressions and arguments.logs is None


def test_the_regressions_file_is_valid() -> None:
    for case in read_regressions(REGRESSIONS):
        assert draw_plan(case.seed, case.minutes * 60, case.processes).actions
