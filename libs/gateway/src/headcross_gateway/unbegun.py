"""Attempts that their replicas have not begun, taken back before old weights end.

An entry cannot see how long a request waits on its way and at its replica. Two streams reached
theirs 1.42 s before the bound on its weights and were begun 1.48 and 1.63 s later (moments noted
at the replica), although entries stop sending 1.6 s before the bound. A margin on the sending
therefore bounds nothing: what has not begun shortly before the bound is withdrawn by a reset of
its connection, at which replicas drop what waits.

An attempt has begun when the first piece of its answer's body is here. A whole answer comes only
when it is ready, so one to a model service is withdrawn although its replica may be at work on it.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

import trio

from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.weightsrules import WeightsRules

# A timer may fire so much before the moment that another clock tells.
TIMER_SECONDS: Final = 0.001


@dataclass(eq=False, slots=True)
class _Unbegun:
    """One attempt, from its placing to the first piece of its answer."""

    model: str
    place: ReplicaState
    version: int  # the newest that the replica was known to hold since
    scope: trio.CancelScope

    def learn_version(self) -> None:
        """Note newer weights of the replica; old news of it, from the list, do not count."""
        self.version = max(self.version, self.place.held_version(self.model) or 0)


class UnbegunAttempts:
    """The attempts of one entry that wait for their replicas to begin."""

    # Attempts withdrawn so far.
    withdrawn: int

    def __init__(self, rules: WeightsRules) -> None:
        self.withdrawn = 0
        self._rules = rules
        self._attempts: set[_Unbegun] = set()
        self._woken = trio.Event()
        # When attempts are looked at next (trio's clock).
        self._looks_at = float("inf")

    @contextmanager
    def waiting(self, model: str | None, place: ReplicaState) -> Iterator[trio.CancelScope]:
        """Cancel what the block does once its replica's weights may begin nothing any more.

        Wrap what comes before the first piece of the answer, and only that: what has come must be
        passed on whole.
        """
        version = place.version_of(model) if model is not None else None
        with trio.CancelScope() as scope, place.waits.waiting():
            if model is None or version is None:
                yield scope
                return
            attempt = _Unbegun(model, place, version, scope)
            self._attempts.add(attempt)
            try:
                if trio.current_time() + self._withdraw_if_ended(attempt) < self._looks_at:
                    self._woken.set()
                yield scope
            finally:
                self._attempts.discard(attempt)

    async def run(self) -> None:
        """Withdraw attempts whenever their version's time to begin is over, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wake_on_news)
            while True:
                self._woken = trio.Event()
                seconds = self._withdraw()
                self._looks_at = trio.current_time() + seconds
                with trio.move_on_after(seconds):
                    await self._woken.wait()

    async def _wake_on_news(self) -> None:
        while True:
            await self._rules.facts.wait_change()
            self._woken.set()

    def _withdraw(self) -> float:
        """Withdraw what is due; return the seconds until more may be, infinite if none may."""
        return min(map(self._withdraw_if_ended, tuple(self._attempts)), default=float("inf"))

    def _withdraw_if_ended(self, attempt: _Unbegun) -> float:
        """Withdraw an attempt if it is due; return the seconds until it may be."""
        # A replica that has taken a newer version meanwhile begins what waits there on that one.
        attempt.learn_version()
        seconds = self._rules.seconds_to_begin(attempt.model, attempt.version)
        if seconds > TIMER_SECONDS:
            return seconds
        if not attempt.scope.cancel_called:
            self.withdrawn += 1
            attempt.scope.cancel()
        return float("inf")
