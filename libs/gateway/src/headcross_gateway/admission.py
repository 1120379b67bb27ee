"""Assigns the slots of replicas to requests, and queues requests that find none.

A request that finds a replica with a free slot gets it at once. Otherwise it waits briefly, in
order of priority, and is refused while its caller still has time to retry. A caller's retry after
a refusal may queue behind first tries of the same priority, and gets a slot only at a replica with
enough slots left for first tries (see `overload`). Of requests that are otherwise equal, the one
with the earliest deadline goes first.
"""

import bisect
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import trio
from headcross_ports.configuration import Configuration

from headcross_gateway.picking import Picker, Requirements
from headcross_gateway.replicastate import ReplicaState

# Maximum number of waiting requests per service at one entry; further ones are refused at once.
MAX_WAITING: Final = 256


@dataclass(order=True, frozen=True, slots=True)
class QueueOrder:
    """The position of a request in the queue; the smallest value goes first."""

    priority: int
    queues_last: bool  # behind all others of its priority
    deadline: float  # trio's clock


@dataclass(order=True, slots=True)
class _Waiter:
    """A request in the queue."""

    order: "QueueOrder"
    sequence_number: int
    requirements: Requirements = field(compare=False)
    configuration: Configuration = field(compare=False)
    assigned: trio.Event = field(compare=False, default_factory=trio.Event)
    replica_state: ReplicaState | None = field(compare=False, default=None)
    is_caller_retry: bool = field(compare=False, default=False)
    done: bool = field(compare=False, default=False)


class Admission:
    """Assigns the slots of all services on behalf of one entry."""

    def __init__(
        self, picker: Picker, reserved_share: Callable[[str], float] = lambda service: 0.0
    ) -> None:
        """`reserved_share` returns the share of a service's slots reserved for first tries."""
        self._picker = picker
        self._reserved_share = reserved_share
        self._queues: dict[str, list[_Waiter]] = {}
        self._sequence_numbers = itertools.count()

    def waiting(self, service: str) -> int:
        """Return how many requests wait for a slot."""
        return sum(not waiter.done for waiter in self._queues.get(service, []))

    def seconds_to_opening(
        self, requirements: Requirements, configuration: Configuration
    ) -> float:
        """Return the seconds until a replica accepts a request, room permitting.

        Infinite if none may serve it.
        """
        return self._picker.seconds_to_opening(requirements, configuration)

    async def acquire_slot(
        self,
        requirements: Requirements,
        configuration: Configuration,
        order: QueueOrder,
        until: float,
        *,
        is_caller_retry: bool = False,
    ) -> ReplicaState | None:
        """Return a replica with a slot reserved on it, None if there is none by `until`.

        Returns None at once if no replica accepts the request before `until` (trio's clock).
        `is_caller_retry` is true if the caller was refused before. The caller of this method must
        release the slot with `release_slot`.
        """
        queue = self._queues.setdefault(requirements.service, [])
        if not queue:
            replica_state = self._pick(requirements, configuration, is_caller_retry)
            if replica_state is not None:
                replica_state.reserve_slot()
                return replica_state
        seconds_left = until - trio.current_time()
        if len(queue) >= MAX_WAITING or seconds_left <= 0:
            return None
        if seconds_left < self.seconds_to_opening(requirements, configuration) < math.inf:
            return None
        sequence_number = next(self._sequence_numbers)
        waiter = _Waiter(
            order, sequence_number, requirements, configuration, is_caller_retry=is_caller_retry
        )
        bisect.insort(queue, waiter)
        self.notify(requirements.service)
        try:
            await self._wait(waiter, until)
        except trio.Cancelled:
            if waiter.replica_state is not None:
                self.release_slot(waiter.replica_state)
            raise
        finally:
            waiter.done = True
            self._drop_done(requirements.service)
        return waiter.replica_state

    async def _wait(self, waiter: _Waiter, until: float) -> None:
        """Wait for a slot until `until`; pick again when a rate limit allows the next request."""
        while waiter.replica_state is None and trio.current_time() < until:
            seconds = self.seconds_to_opening(waiter.requirements, waiter.configuration)
            opening_at = trio.current_time() + seconds if seconds > 0 else until
            with trio.move_on_at(min(until, opening_at)):
                await waiter.assigned.wait()
            if waiter.replica_state is None:
                self.notify(waiter.requirements.service)

    def release_slot(self, replica_state: ReplicaState) -> None:
        """Release the slot of a request and assign it to the next one that waits."""
        replica_state.release_slot()
        self.notify(replica_state.replica.service)

    def notify(self, service: str) -> None:
        """Assign slots to waiting requests after a change of the service's replicas.

        Called for each load report, 160 times a second, while hundreds of callers' retries may be
        waiting: once one of them finds no free slot, the others are skipped.
        """
        caller_retries_blocked = False
        for waiter in list(self._queues.get(service, [])):
            if waiter.done or (waiter.is_caller_retry and caller_retries_blocked):
                continue
            replica_state = self._pick(
                waiter.requirements, waiter.configuration, waiter.is_caller_retry
            )
            if replica_state is None:
                if waiter.requirements.is_constrained:
                    continue
                if waiter.is_caller_retry:
                    caller_retries_blocked = True
                    continue
                break
            replica_state.reserve_slot()
            waiter.replica_state = replica_state
            waiter.done = True
            waiter.assigned.set()
        self._drop_done(service)

    def _pick(
        self, requirements: Requirements, configuration: Configuration, is_caller_retry: bool
    ) -> ReplicaState | None:
        reserved = self._reserved_share(requirements.service) if is_caller_retry else 0.0
        return self._picker.pick(requirements, configuration, reserved)

    def _drop_done(self, service: str) -> None:
        queue = self._queues.get(service, [])
        queue[:] = [waiter for waiter in queue if not waiter.done]
