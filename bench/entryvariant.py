"""Runs an entry daemon with the baseline routing policy that HEADCROSS_BENCH_PICK names."""

import itertools
import os
import random

from headcross_daemon.main import main
from headcross_routing.picking import Candidate, Picker

_counter = itertools.count()


def pick_at_random(
    self: Picker, candidates: list[Candidate], prefix: str | None
) -> Candidate | None:
    """Pick a candidate at random."""
    return random.choice(candidates) if candidates else None


def pick_round_robin(
    self: Picker, candidates: list[Candidate], prefix: str | None
) -> Candidate | None:
    """Pick the candidates in round-robin order."""
    ordered = sorted(candidates, key=lambda candidate: candidate.upstream)
    return ordered[next(_counter) % len(ordered)] if ordered else None


if __name__ == "__main__":
    policy = os.environ.get("HEADCROSS_BENCH_PICK", "")
    if policy == "random":
        Picker.pick = pick_at_random  # type: ignore[method-assign]
    elif policy == "round-robin":
        Picker.pick = pick_round_robin  # type: ignore[method-assign]
    main()
