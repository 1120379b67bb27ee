"""Tests of the restriction of teams whose requests on a route crash replicas."""

import pytest
from headcross_gateway.grouplosses import (
    MAX_GROUPS,
    WINDOW_SECONDS,
    GroupLosses,
    GroupOutcomes,
    paused_until,
)

GROUP = b"a team and a route"


def test_a_group_whose_requests_are_mostly_answered_is_not_restricted() -> None:
    losses = GroupLosses()
    for number in range(10):
        losses.note_lost(GROUP, 1.0 + number)
        losses.note_answered(GROUP, 1.0 + number)
    assert not losses.is_mostly_lost(GROUP, 12.0)
    losses.note_lost(GROUP, 12.0)
    assert losses.is_mostly_lost(GROUP, 12.0)


def test_reports_of_other_entries_count_while_they_are_recent() -> None:
    losses = GroupLosses()
    losses.note_lost(GROUP, 1.0 + WINDOW_SECONDS)
    losses.receive(GROUP, "entry1", GroupOutcomes(lost=1, answered=2), 2.0)
    assert not losses.is_mostly_lost(GROUP, 1.0 + WINDOW_SECONDS)
    assert losses.is_mostly_lost(GROUP, 3.0 + WINDOW_SECONDS)


def test_stored_counts_do_not_grow_with_time_or_groups() -> None:
    losses = GroupLosses()
    for second in range(1000):
        losses.note_answered(GROUP, float(second))
    assert losses.own(GROUP, 999.0).answered <= WINDOW_SECONDS + 1
    assert len(losses._own[GROUP].answered) <= WINDOW_SECONDS + 1
    for number in range(2 * MAX_GROUPS):
        losses.note_lost(number.to_bytes(8, "big"), 1000.0)
        losses.receive(number.to_bytes(8, "big"), "entry1", GroupOutcomes(1, 0), 1000.0)
    assert len(losses._own) <= MAX_GROUPS and len(losses._reports) <= MAX_GROUPS


@pytest.mark.parametrize(("count", "pause"), [(2, float("-inf")), (3, 2.0), (4, 4.0), (9, 30.0)])
def test_the_pause_doubles_with_each_loss_up_to_a_maximum(count: int, pause: float) -> None:
    lost_at = [10.0] * count
    assert paused_until(lost_at, 11.0) == pytest.approx(10.0 + pause)
