"""Runs all checks of a soak on its record and collects the broken promises.

Each check is a pure function of a record and judges one promise.
"""

from collections.abc import Callable
from typing import Final

from bench.soak.check_answers import (
    check_at_most_once,
    check_complete_answers,
    check_one_version,
    check_refused_not_run,
)
from bench.soak.check_backpressure import check_announced_leaving, check_limits, check_rests
from bench.soak.check_propagation import check_configuration, check_leaving, check_old_weights
from bench.soak.check_service import check_planned_stop, check_recovery, check_retry_bound
from bench.soak.check_summary import Summary, summarize
from bench.soak.check_violations import Promise, Violation
from bench.soak.record import Record

__all__ = ["CHECKS", "Promise", "Summary", "Violation", "check_all", "summarize"]

CHECKS: Final[dict[Promise, Callable[[Record], list[Violation]]]] = {
    Promise.COMPLETE_ANSWERS: check_complete_answers,
    Promise.AT_MOST_ONCE: check_at_most_once,
    Promise.REFUSED_NOT_RUN: check_refused_not_run,
    Promise.ONE_VERSION: check_one_version,
    Promise.OLD_WEIGHTS: check_old_weights,
    Promise.LEAVING: check_leaving,
    Promise.ANNOUNCED_LEAVING: check_announced_leaving,
    Promise.LIMIT: check_limits,
    Promise.REST: check_rests,
    Promise.PLANNED_STOP: check_planned_stop,
    Promise.CONFIGURATION: check_configuration,
    Promise.RETRY_BOUND: check_retry_bound,
    Promise.RECOVERY: check_recovery,
}


def check_all(record: Record) -> list[Violation]:
    """Run all checks; return their violations in order of time."""
    violations = [violation for check in CHECKS.values() for violation in check(record)]
    return sorted(violations, key=lambda violation: violation.at)
