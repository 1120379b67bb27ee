"""Decides which chunks one host imports and when it takes over chunks from other hosts.

The import order of a chunk (see `sourcing`) names the hosts before this one. While no neighbour
offers the chunk, those hosts are asked whether they have it or are importing it. If they stay
silent for long enough, this host takes the chunk over.

An answer restarts the wait for the chunks that it names, so that a host that is busy but alive is
waited for, however long the origin takes. Only chunks that this host may fetch from the answering
host count: a copy in another region that it may not fetch is of no use here. A host that answers
without naming any chunk does not know of the artifact yet, because hosts learn of it at different
times; the wait for it is longer. No host can be asked about a chunk before the manifest is known,
so the wait starts then.
"""

from collections.abc import Iterable
from typing import Final

from headcross_base.monotonic import monotonic
from headcross_wire.peermessages import AskIntent, Intent

from headcross_weights.pace import LARGE_WEIGHTS, SwarmSettings
from headcross_weights.sourcing import MANIFEST_INDEX, ChunkDuty, ImportOrder

# The first host of a region without an importing host waits this many takeover times before it
# reads from the origin itself, so that the importing hosts and their stand-ins go first.
CROSS_REGION_TAKEOVERS: Final = 2

IntentTarget = tuple[str, bool]  # host to ask, and whether only imports from the origin count


class ImportDuties:
    """The import duties of one host in one transfer."""

    def __init__(self, order: ImportOrder, settings: SwarmSettings = LARGE_WEIGHTS) -> None:
        self._order = order
        self._settings = settings
        # Start of the wait for hosts that have not answered.
        self._silence_since = monotonic()
        self._taken_over: set[int] = set()
        # When a host before this one last stated that it has a chunk or is importing it.
        self._last_intent_at: dict[int, float] = {}
        # When each host last answered any question.
        self._answered_at: dict[str, float] = {}

    def start_silence_timer(self) -> None:
        """Start the wait for silent hosts; called once the manifest is known."""
        self._silence_since = monotonic()

    def should_import(self, index: int) -> bool:
        """Return whether this host is to read a chunk from the origin now."""
        duty = self._order.duty(index)
        return (duty.rank == 0 and not duty.from_peer) or index in self._taken_over

    def pending(self, question: AskIntent) -> list[int]:
        """Return the chunks asked about that this host will import."""
        if question.origin_only:
            return [index for index in question.indexes if self.should_import(index)]
        return [
            index
            for index in question.indexes
            if self._order.duty(index).rank == 0 or index in self._taken_over
        ]

    def receive_intent(self, intent: Intent) -> None:
        """Record which chunks another host has and which it is importing."""
        now = monotonic()
        self._answered_at[intent.host] = now
        for index in [*intent.has, *intent.pending]:
            if self.may_fetch_from(intent.host, index):
                self._last_intent_at[index] = now

    def may_fetch_from(self, host: str, index: int) -> bool:
        """Return whether a chunk may be fetched from a host that has it.

        Only the first host of a region fetches from other regions. All others fetch from their
        own region.
        """
        duty = self._order.duty(index)
        return self._order.is_same_region(host) or (duty.from_peer and duty.rank == 0)

    def note_arrival(self, index: int) -> None:
        """Stop tracking the importing hosts of a stored chunk."""
        self._last_intent_at.pop(index, None)

    def intent_queries(self, indexes: Iterable[int]) -> dict[IntentTarget, list[int]]:
        """Return the hosts to ask about chunks that no neighbour offers, with their chunks."""
        queries: dict[IntentTarget, list[int]] = {}
        for index in indexes:
            duty = self._order.duty(index)
            if self.should_import(index):
                continue
            for host in duty.predecessors:
                queries.setdefault((host, duty.rank == 0), []).append(index)
        return queries

    def take_over(self, indexes: Iterable[int]) -> list[int]:
        """Take over and return the chunks whose importing hosts were silent for too long."""
        taken = [index for index in indexes if self._is_takeover_due(index)]
        self._taken_over.update(taken)
        return taken

    def manifest_import_delay(self) -> float:
        """Return the seconds to wait for other hosts before importing the manifest."""
        duty = self._order.duty(MANIFEST_INDEX)
        if duty.rank is None:
            return self._settings.stuck_seconds
        if duty.from_peer:
            return self._settings.takeover_seconds * (duty.rank + CROSS_REGION_TAKEOVERS)
        return self._settings.takeover_seconds * duty.rank

    def manifest_predecessors(self) -> tuple[str, ...]:
        """Return the hosts before this one in the import order of the manifest."""
        return self._order.duty(MANIFEST_INDEX).predecessors

    def _is_takeover_due(self, index: int) -> bool:
        duty: ChunkDuty = self._order.duty(index)
        if duty.rank is None or self.should_import(index):
            return False
        now = monotonic()
        silent_seconds = now - self._last_intent_at.get(index, self._silence_since)
        wait_seconds = self._settings.takeover_seconds * (duty.rank or CROSS_REGION_TAKEOVERS)
        # An answer without the chunk is evidence only from the first host: those after it in
        # the order are waiting as well.
        first = duty.predecessors[0] if duty.predecessors else ""
        if now - self._answered_at.get(first, float("-inf")) < self._settings.takeover_seconds:
            wait_seconds *= self._settings.responsive_takeover_factor
        return silent_seconds >= wait_seconds
