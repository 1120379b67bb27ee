"""Attempts that their replicas have not begun, taken back before old weights end.

An entry cannot see how long a request waits on its way and in the replica's own queue. Streams
that were sent 1.4 s before the bound on their weights were begun 1.5 and 1.6 s after they reached
the replica (times of arrival and begin told by the users), although entries stop sending 1.6 s
before it. A margin on the sending therefore bounds nothing: what has not begun shortly before the
bound is withdrawn, and the replica drops it with its connection.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.weightsrules import WeightsRules


@dataclass(eq=False, slots=True)
class _Unbegun:
    """One attempt, from its placing to the first piece of its answer."""

    model: str
    place: ReplicaState
    scope: trio.CancelScope


class UnbegunAttempts:
    """The attempts of one entry that wait for their replicas to begin."""

    # Attempts withdrawn so far.
    withdrawn: int

    def __init__(self, rules: WeightsRules) -> None:
        self.withdrawn = 0
        self._rules = rules
        self._attempts: set[_Unbegun] = set()

    @contextmanager
    def waiting(self, model: str | None, place: ReplicaState) -> Iterator[trio.CancelScope]:
        """Cancel what the block does once its replica's weights may begin nothing any more.

        Wrap what comes before the first piece of the answer, and only that: what has come must be
        passed on whole.
        """
        with trio.CancelScope() as scope:
            if model is None:
                yield scope
                return
            attempt = _Unbegun(model, place, scope)
            self._attempts.add(attempt)
            self._withdraw_if_ended(attempt)
            try:
                yield scope
            finally:
                self._attempts.discard(attempt)

    async def run(self) -> None:
        """Withdraw attempts whenever a version's time to begin is over, until cancelled."""
        while True:
            for attempt in tuple(self._attempts):
                self._withdraw_if_ended(attempt)
            with trio.move_on_after(self._rules.seconds_to_next_end()):
                await self._rules.facts.wait_change()

    def _withdraw_if_ended(self, attempt: _Unbegun) -> None:
        # A replica that has taken a newer version meanwhile begins what waits there on that one.
        version = attempt.place.version_of(attempt.model)
        if version is None or attempt.scope.cancel_called:
            return
        if version < self._rules.lowest_to_begin(attempt.model):
            self.withdrawn += 1
            attempt.scope.cancel()
