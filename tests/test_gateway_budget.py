"""The bound on retries that all entries have in common."""

import random

from headcross_gateway.budget import FEWEST_ENTRIES, STARTS_COUNTED_ON, RetryBudget
from hypothesis import given
from hypothesis import strategies as st


@given(st.lists(st.integers(0, 11), min_size=1, max_size=600), st.integers(0, 1 << 30))
def test_the_retries_of_all_entries_together_stay_within_the_common_bound(
    requests: list[int], seed: int
) -> None:
    """Whatever share of the requests each entry has, and however each spends (BUDGET)."""
    ratio, slack = 0.2, 104.0
    generator = random.Random(seed)
    budgets = [RetryBudget(ratio, slack) for _ in range(STARTS_COUNTED_ON)]
    for budget in budgets:
        budget.note_entries(STARTS_COUNTED_ON)
    spent = 0
    for entry in requests:
        budgets[entry].earn("s")
        for budget in generator.sample(budgets, 4):
            spent += budget.spend("s")
    assert spent <= ratio * len(requests) + slack


@given(
    st.lists(st.integers(0, FEWEST_ENTRIES - 1), max_size=600),
    st.lists(st.integers(0, 599), max_size=FEWEST_ENTRIES),
    st.integers(0, 1 << 30),
)
def test_the_bound_holds_when_entries_that_saved_up_spend_all_and_start_anew(
    requests: list[int], restarts: list[int], seed: int
) -> None:
    ratio, slack = 0.2, 104.0
    generator = random.Random(seed)
    budgets = [RetryBudget(ratio, slack) for _ in range(FEWEST_ENTRIES)]
    for budget in budgets:
        for _ in range(1000):
            budget.earn("s")
    spent = sum(budget.spend("s") for budget in budgets for _ in range(100))
    for place, entry in enumerate(requests):
        if place in restarts:
            budgets[restarts.index(place)] = RetryBudget(ratio, slack)
        budgets[entry].earn("s")
        for budget in generator.sample(budgets, 4):
            spent += budget.spend("s")
    assert spent <= ratio * len(requests) + slack
