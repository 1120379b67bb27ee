"""Runs the attempts of one request side by side until one of them takes the request over.

A replica that falls silent may still answer, so its attempt continues while others are made. The
first attempt that has something for the caller claims the request, which cancels all others; until
then none is given up. An attempt may write to the caller only after it has claimed the request,
and while it writes it is not silent, so no two attempts ever write.
"""

import math
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Final, Generic, TypeVar

import trio

# Whether an attempt is silent is checked at this interval while it writes.
WRITING_CHECK_SECONDS: Final = 0.2

T = TypeVar("T")
V = TypeVar("V")


class RunningAttempt(Generic[T]):
    """One attempt of a request, as its task reports on it."""

    # Whether another attempt has claimed the request, so that this one is cancelled.
    is_superseded: bool
    # Whether it writes to the caller, so that it is not silent however long that takes.
    is_writing: bool

    def __init__(self, attempts: "AttemptSet[T] | None" = None) -> None:
        """Create an attempt of `attempts`; without it, the only attempt of its request."""
        self.is_superseded = False
        self.is_writing = False
        self._attempts = attempts
        self._due_at = math.inf  # trio's clock
        self._scope = trio.CancelScope()

    @property
    def due_at(self) -> float:
        """When it may be silent at the earliest (trio's clock)."""
        if self.is_writing:
            return max(self._due_at, trio.current_time() + WRITING_CHECK_SECONDS)
        return self._due_at

    @property
    def is_silent(self) -> bool:
        """Whether data is overdue."""
        return not self.is_writing and trio.current_time() >= self._due_at

    def expect_by(self, moment: float) -> None:
        """State that data is due by `moment` (trio's clock)."""
        is_earlier = moment < self._due_at
        self._due_at = moment
        if is_earlier and self._attempts is not None:
            self._attempts.note_change()

    def claim(self) -> None:
        """Take the request over: cancel all other attempts.

        Must not be called by an attempt that was superseded. A check for cancellation since the
        last suspension of its task rules that out.
        """
        assert not self.is_superseded
        if self._attempts is not None:
            self._attempts.supersede_others(self)

    def supersede(self) -> None:
        """Cancel it, since another attempt has claimed the request."""
        self.is_superseded = True
        self._scope.cancel()

    async def run(self, make: Callable[["RunningAttempt[T]"], Awaitable[T]]) -> T | None:
        """Make it; return its outcome, None if it was superseded."""
        with self._scope:
            return await make(self)
        return None


class AttemptSet(Generic[T]):
    """The attempts of one request; `T` is the type of their outcomes."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._running: list[RunningAttempt[T]] = []
        self._ended: deque[tuple[RunningAttempt[T], T]] = deque()
        self._error: Exception | None = None
        self._changed = trio.Event()
        self._interruptible: trio.CancelScope | None = None

    @property
    def running(self) -> list[RunningAttempt[T]]:
        """The attempts that may still answer, oldest first."""
        return list(self._running)

    @property
    def is_silent(self) -> bool:
        """Whether attempts are running and data of all of them is overdue."""
        return bool(self._running) and all(attempt.is_silent for attempt in self._running)

    @property
    def due_at(self) -> float:
        """When all running attempts may be silent at the earliest (trio's clock)."""
        return max((attempt.due_at for attempt in self._running), default=math.inf)

    @property
    def has_ended(self) -> bool:
        """Whether an attempt has ended that was not taken yet."""
        return bool(self._ended) or self._error is not None

    def start(self, make: Callable[[RunningAttempt[T]], Awaitable[T]]) -> RunningAttempt[T]:
        """Start an attempt in a task of its own, which calls `make`."""
        attempt = RunningAttempt(self)
        self._running.append(attempt)
        self._nursery.start_soon(self._run, attempt, make)
        return attempt

    def end(self, attempt: RunningAttempt[T], outcome: T) -> None:
        """End a running attempt with an outcome; it is cancelled."""
        attempt.supersede()
        self._running.remove(attempt)
        self._ended.append((attempt, outcome))
        self.note_change()

    def take_ended(self) -> tuple[RunningAttempt[T], T] | None:
        """Return the next attempt that has ended with its outcome, None if none has.

        Raises what an attempt has raised. Superseded attempts are left out.
        """
        if self._error is not None:
            raise self._error
        return self._ended.popleft() if self._ended else None

    async def wait_change(self, until: float) -> None:
        """Wait until an attempt ends, claims the request or is due earlier, or until `until`."""
        with trio.move_on_at(until):
            await self._changed.wait()

    @contextmanager
    def interruptible(self) -> Iterator[trio.CancelScope]:
        """Cancel the block as soon as an attempt ends or claims the request."""
        with trio.CancelScope() as scope:
            self._interruptible = scope
            try:
                yield scope
            finally:
                self._interruptible = None

    def supersede_others(self, claiming: RunningAttempt[T] | None) -> None:
        """Cancel all attempts but one, or all if the one that claims the request has ended."""
        if self._running == [claiming] and self._interruptible is None:
            return
        for attempt in self._running:
            if attempt is not claiming:
                attempt.supersede()
        self._running = [attempt for attempt in self._running if attempt is claiming]
        self.note_change()

    def note_change(self) -> None:
        """Wake whoever waits for a change."""
        self._changed.set()
        self._changed = trio.Event()
        if self._interruptible is not None:
            self._interruptible.cancel()

    async def _run(
        self,
        attempt: RunningAttempt[T],
        make: Callable[[RunningAttempt[T]], Awaitable[T]],
    ) -> None:
        outcome: T | None = None
        try:
            outcome = await attempt.run(make)
        except Exception as error:
            self._error = self._error or error
        if attempt in self._running:
            self._running.remove(attempt)
        if outcome is not None and not attempt.is_superseded:
            self._ended.append((attempt, outcome))
        self.note_change()


async def with_attempts(decide: Callable[[AttemptSet[T]], Awaitable[V]]) -> V:
    """Return what `decide` returns; cancel the attempts that it leaves running.

    Raises what `decide` raises, not in a group.
    """
    result: V
    failure: Exception | None = None
    try:
        async with trio.open_nursery() as nursery:
            try:
                result = await decide(AttemptSet(nursery))
            except Exception as error:
                failure = error
            nursery.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        if group.split(trio.Cancelled)[1] is not None:
            raise
        # A cancelled nursery raises a group, which no handler of Cancelled would match.
        await trio.lowlevel.checkpoint_if_cancelled()
        raise
    if failure is not None:
        raise failure
    return result
