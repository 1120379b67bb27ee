"""A bounded queue in front of one upstream that is fair between teams.

At most `slots` requests are handed over at once. The others wait in one queue per team; a free
slot goes to the team that received the least relative to its weight (start-time fair queueing).
When the queue is full, the newest request of the team with the longest queue relative to its
weight is refused, even if it has just arrived, so a flood from one team does not block the
others.
"""

from collections import deque
from dataclasses import dataclass, field

import trio
from headcross_base.errorcodes import DEADLINE, QUEUE_FULL
from headcross_base.verdicts import NotRun


@dataclass(slots=True, eq=False)
class _Waiter:
    team: str
    granted: bool = False
    refused: bool = False
    event: trio.Event = field(default_factory=trio.Event)


@dataclass(slots=True)
class _TeamQueue:
    weight: int
    virtual_time: float  # grows by 1 / weight with every slot that the team receives
    waiting: deque[_Waiter] = field(default_factory=deque)

    def weighted_length(self) -> float:
        """Return the number of waiting requests divided by the team's weight."""
        return len(self.waiting) / self.weight


class FairQueue:
    """The slots of one upstream and the requests that wait for them."""

    # Requests refused because the queue was full.
    refused: int
    # Requests that may be handed over at once.
    slots: int

    def __init__(self, slots: int, max_queued: int) -> None:
        self.refused = 0
        self.slots = slots
        self._max_queued = max_queued
        self._running = 0
        # The highest virtual time of any team at the moment when it received a slot.
        self._virtual_time = 0.0
        self._teams: dict[str, _TeamQueue] = {}

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return sum(len(queue.waiting) for queue in self._teams.values())

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return self._running

    async def enter(self, team: str, weight: int, seconds: float) -> NotRun | None:
        """Wait up to `seconds` for a slot; return None, or a refusal.

        Unless refused, the caller holds a slot and must release it with `leave`.
        """
        if self._running < self.slots and not self.queued:
            self._running += 1
            self._charge(self._queue_of(team, weight))
            return None
        waiter = _Waiter(team)
        queue = self._queue_of(team, weight)
        queue.waiting.append(waiter)
        if self.queued > self._max_queued:
            self._refuse_one()
        try:
            with trio.move_on_after(max(0.0, seconds)):
                await waiter.event.wait()
        except trio.Cancelled:
            self._withdraw(waiter)
            raise
        if waiter.refused:
            self.refused += 1
            return NotRun(QUEUE_FULL, f"{self._max_queued} requests wait", 1.0)
        if not waiter.granted:
            self._withdraw(waiter)
            return NotRun(DEADLINE, "the deadline passed in the queue")
        return None

    def leave(self) -> None:
        """Release a slot; it goes to the next request."""
        self._running -= 1
        self._grant_next()

    def _queue_of(self, team: str, weight: int) -> _TeamQueue:
        queue = self._teams.get(team)
        if queue is None:
            queue = self._teams[team] = _TeamQueue(weight, self._virtual_time)
        queue.weight = weight
        if not queue.waiting:
            # A team that was idle starts level with the others; it earns no credit while idle.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        return queue

    def _charge(self, queue: _TeamQueue) -> None:
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        queue.virtual_time += 1 / queue.weight

    def _grant_next(self) -> None:
        waiting_queues = [queue for queue in self._teams.values() if queue.waiting]
        if not waiting_queues or self._running >= self.slots:
            return
        queue = min(waiting_queues, key=lambda queue: queue.virtual_time)
        waiter = queue.waiting.popleft()
        self._charge(queue)
        self._running += 1
        waiter.granted = True
        waiter.event.set()

    def _refuse_one(self) -> None:
        longest = max(self._teams.values(), key=_TeamQueue.weighted_length)
        waiter = longest.waiting.pop()
        waiter.refused = True
        waiter.event.set()

    def _withdraw(self, waiter: _Waiter) -> None:
        """Remove a waiter that stops waiting; release its slot if it was just granted one."""
        if waiter.granted:
            self.leave()
            return
        queue = self._teams[waiter.team]
        if waiter in queue.waiting:
            queue.waiting.remove(waiter)
