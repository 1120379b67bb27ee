"""What one host has to bring in from outside, and when it stands in for another.

The order of a chunk (see `sourcing`) names the hosts before this one. While nobody offers the
chunk, they are asked whether they are at work on it; when they stay silent for long enough this
host takes the chunk over. Every answer counts for the chunks it names, so that a host that is busy
but alive is waited for, however long the origin takes. It counts only where this host may fetch
the chunk from the one that answers: a copy in another region brings nothing here. One that answers
without naming any has not heard of the weights yet, which hosts learn at different times: it is
waited for a while longer. Nobody can be asked about a chunk before the manifest names it, so
silence counts from then on.
"""

from collections.abc import Iterable
from typing import Final

from headcross_base.clocks import monotonic
from headcross_wire.peermessages import AskIntent, Intent

from headcross_weights.pace import LARGE_WEIGHTS, SwarmPace
from headcross_weights.sourcing import MANIFEST_INDEX, ChunkDuty, ImportOrder

# A region's first host waits so many take-over times before it goes to the origin itself: the
# origin's side moves first.
WAIT_FOR_HOME: Final = 2

Question = tuple[str, bool]  # host to ask, and whether only the origin's side counts


class ImportDuties:
    """The duties of one host in one transfer."""

    def __init__(self, order: ImportOrder, pace: SwarmPace = LARGE_WEIGHTS) -> None:
        self._order = order
        self._pace = pace
        # Silence counts from here.
        self._listening_since = monotonic()
        self._taken_over: set[int] = set()
        # When a host before this one was last known to be at work on a chunk.
        self._attended_at: dict[int, float] = {}
        # When each host last answered at all.
        self._answered_at: dict[str, float] = {}

    def start_listening(self) -> None:
        """The manifest is here: hosts are asked about chunks, and may be silent, from now on."""
        self._listening_since = monotonic()

    def is_mine(self, index: int) -> bool:
        """Tell whether this host is to bring a chunk in from the origin now."""
        duty = self._order.duty(index)
        return (duty.rank == 0 and not duty.from_peer) or index in self._taken_over

    def pending(self, question: AskIntent) -> list[int]:
        """Return those chunks of a question that this host will bring in."""
        if question.origin_only:
            return [index for index in question.indexes if self.is_mine(index)]
        return [
            index
            for index in question.indexes
            if self._order.duty(index).rank == 0 or index in self._taken_over
        ]

    def receive_intent(self, intent: Intent) -> None:
        """A host before this one told what it has and what it is at work on."""
        now = monotonic()
        self._answered_at[intent.host] = now
        for index in [*intent.has, *intent.pending]:
            if self.may_fetch_from(intent.host, index):
                self._attended_at[index] = now

    def may_fetch_from(self, host: str, index: int) -> bool:
        """Tell whether a chunk may be fetched from a host that says it has it.

        Only a region's first host fetches from another region; all others wait for their own.
        """
        duty = self._order.duty(index)
        return self._order.is_near(host) or (duty.from_peer and duty.rank == 0)

    def arrived(self, index: int) -> None:
        """A chunk is here; nobody need be watched for it."""
        self._attended_at.pop(index, None)

    def questions(self, indexes: Iterable[int]) -> dict[Question, list[int]]:
        """Return whom to ask about which of these chunks, none of which anybody offers."""
        asked: dict[Question, list[int]] = {}
        for index in indexes:
            duty = self._order.duty(index)
            if self.is_mine(index):
                continue
            for host in duty.before:
                asked.setdefault((host, duty.rank == 0), []).append(index)
        return asked

    def take_over(self, indexes: Iterable[int]) -> list[int]:
        """Take over those chunks whose hosts were silent for too long; return them."""
        taken = [index for index in indexes if self._is_due(index)]
        self._taken_over.update(taken)
        return taken

    def manifest_due(self) -> float:
        """Return how long (seconds) to wait for others before fetching the manifest oneself."""
        duty = self._order.duty(MANIFEST_INDEX)
        if duty.rank is None:
            return self._pace.stuck
        if duty.from_peer:
            return self._pace.takeover * (duty.rank + WAIT_FOR_HOME)
        return self._pace.takeover * duty.rank

    def before_manifest(self) -> tuple[str, ...]:
        """Return the hosts that fetch the manifest before this one."""
        return self._order.duty(MANIFEST_INDEX).before

    def _is_due(self, index: int) -> bool:
        duty: ChunkDuty = self._order.duty(index)
        if duty.rank is None or self.is_mine(index):
            return False
        now = monotonic()
        quiet = now - self._attended_at.get(index, self._listening_since)
        patience = self._pace.takeover * (duty.rank or WAIT_FOR_HOME)
        # Only of the first is it known what an answer without the chunk means: those behind it
        # wait as this host does.
        first = duty.before[0] if duty.before else ""
        if now - self._answered_at.get(first, float("-inf")) < self._pace.takeover:
            patience *= self._pace.alive_patience
        return quiet >= patience
