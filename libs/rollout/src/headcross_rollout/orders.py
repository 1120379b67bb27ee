"""Fenced orders to one engine: only from a process that is sure of its facts.

A process that was paused wakes up with old facts and does not know it. So each order goes through
`give`: it looks at the clock for a pause, and unless the process heard from the service or a peer
since, it re-reads everything first; the caller decides anew on what it then knows. The engine's
fence, where it has one, refuses what still slips through; where it has none, the port of the slot
keeps a second daemon out, and orders set a state, so that one given twice does no harm.
"""

from typing import Final

from headcross_base.clocks import PauseWatch
from headcross_base.decisions import Journal
from headcross_base.errorcodes import FACTS_OLD
from headcross_base.errors import Failure, Ok
from headcross_fleet.documents import Documents
from headcross_fleet.following import ConfigFollower
from headcross_native.engine import Engine, EngineState, Fence, Order, WeightsOrder

# A process that heard nothing from the service or any peer for so long gives no order.
CONTACT_SECONDS: Final = 10.0


class OrderGiver:
    """Gives orders to one engine."""

    # Orders given, refused and withheld.
    given: int
    refused: int
    withheld: int

    def __init__(
        self,
        engine: Engine,
        documents: Documents,
        follower: ConfigFollower,
        pauses: PauseWatch,
        journal: Journal,
        incarnation: int,
        source: str,
    ) -> None:
        self.given = 0
        self.refused = 0
        self.withheld = 0
        self._engine = engine
        self._documents = documents
        self._follower = follower
        self._pauses = pauses
        self._journal = journal
        self._incarnation = incarnation
        self._source = source
        self._sequence = 0
        self._pauses_seen = pauses.check()

    def start_above(self, state: EngineState) -> None:
        """Make sure that this process's orders pass an engine that saw higher fences."""
        if state.checks_fences:
            self._incarnation = max(self._incarnation, state.fence.incarnation + 1)

    async def ensure_facts(self) -> bool:
        """Return whether the facts are sure; re-read them if there is any doubt.

        After False, or after a re-read, the caller must decide anew.
        """
        paused = self._pauses.check() != self._pauses_seen
        if not paused and self._documents.contact_age() < CONTACT_SECONDS:
            return True
        revision = self._documents.revision
        refreshed = await self._follower.refresh()
        self._journal.record(FACTS_OLD.code, self._engine_name(), "re-read before an order")
        if refreshed:
            self._pauses_seen = self._pauses.check()
        return refreshed and self._documents.revision == revision

    async def give(self, weights: list[WeightsOrder], revision: int) -> Ok[None] | Failure:
        """Give an order that follows from the fleet file `revision`."""
        if not await self.ensure_facts() or revision != self._documents.revision:
            self.withheld += 1
            return Failure(FACTS_OLD, f"order for revision {revision} withheld")
        self._sequence += 1
        fence = Fence(revision, self._incarnation, self._sequence)
        outcome = await self._engine.give_order(Order(fence, weights, self._source))
        if isinstance(outcome, Failure):
            self.refused += 1
            self._journal.record(outcome.reason.code, self._engine_name(), outcome.detail)
        else:
            self.given += 1
        return outcome

    def _engine_name(self) -> str:
        return str(self._engine.address)
