"""Withdraws attempts that replicas have not begun shortly before their weights expire.

An entry cannot observe how long a request takes to arrive at its replica, nor how long it waits
there. Although entries stop sending 1.6 s before the bound on the weights, two streams arrived
1.42 s before it, and their replicas began them 1.48 s and 1.63 s later. A time limit for sending
is therefore not sufficient. In addition, attempts that have not begun shortly before the bound are
withdrawn by resetting their connections; replicas then drop them from their queues.

An attempt counts as begun when the first piece of its answer's body has arrived. An answer that is
not streamed arrives only when it is complete, so such an attempt at a model service is withdrawn
although its replica may be running it.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.supervision import keep_running

from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.weightsrules import WeightsRules

# A timer may fire this much early, as measured by another clock.
TIMER_TOLERANCE_SECONDS: Final = 0.001


@dataclass(eq=False, slots=True)
class _WaitingAttempt:
    """One attempt, from its assignment to a replica to the first piece of its answer."""

    model: str
    replica_state: ReplicaState
    version: int  # the newest that the replica was known to hold since the assignment
    scope: trio.CancelScope

    def update_version(self) -> None:
        """Raise `version` to the held one; an older version from a stale list is ignored."""
        self.version = max(self.version, self.replica_state.held_version(self.model) or 0)


class UnbegunAttempts:
    """Tracks and withdraws the attempts of one entry that replicas have not begun."""

    # The number of attempts withdrawn so far.
    withdrawn: int

    def __init__(self, rules: WeightsRules) -> None:
        self.withdrawn = 0
        self._rules = rules
        self._attempts: set[_WaitingAttempt] = set()
        self._recheck_requested = trio.Event()
        # The time of the next check, on trio's clock.
        self._next_check_at = float("inf")

    @contextmanager
    def waiting(
        self, model: str | None, replica_state: ReplicaState
    ) -> Iterator[trio.CancelScope]:
        """Cancel the block when the replica may no longer begin requests on the weights it holds.

        The block must end with the first piece of the answer: what has begun to arrive must be
        forwarded completely.
        """
        version = replica_state.version_of(model) if model is not None else None
        with trio.CancelScope() as scope, replica_state.waits.waiting():
            if model is None or version is None:
                yield scope
                return
            attempt = _WaitingAttempt(model, replica_state, version, scope)
            self._attempts.add(attempt)
            try:
                if trio.current_time() + self._withdraw_if_due(attempt) < self._next_check_at:
                    self._recheck_requested.set()
                yield scope
            finally:
                self._attempts.discard(attempt)

    async def run(self) -> None:
        """Withdraw attempts when requests may no longer begin on their version; never returns."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, "recheck attempts", self._recheck_on_news)
            while True:
                self._recheck_requested = trio.Event()
                seconds = self._withdraw()
                self._next_check_at = trio.current_time() + seconds
                with trio.move_on_after(seconds):
                    await self._recheck_requested.wait()

    async def _recheck_on_news(self) -> None:
        while True:
            await self._rules.facts.wait_change()
            self._recheck_requested.set()

    def _withdraw(self) -> float:
        """Withdraw due attempts; return the seconds until the next may be due, inf if none."""
        return min(map(self._withdraw_if_due, tuple(self._attempts)), default=float("inf"))

    def _withdraw_if_due(self, attempt: _WaitingAttempt) -> float:
        """Withdraw an attempt if due; return the seconds until it may be, inf once withdrawn."""
        # A replica that has loaded a newer version meanwhile begins its waiting requests on it.
        attempt.update_version()
        seconds = self._rules.seconds_to_begin(attempt.model, attempt.version)
        if seconds > TIMER_TOLERANCE_SECONDS:
            return seconds
        if not attempt.scope.cancel_called:
            self.withdrawn += 1
            attempt.scope.cancel()
        return float("inf")
