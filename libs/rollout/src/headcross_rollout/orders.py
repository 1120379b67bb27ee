"""Fenced orders to one engine, sent only while the process's documents are current.

A process that was suspended resumes with outdated documents without noticing. `issue` therefore
checks the clock for a pause before each order. After a pause, or if there was no recent contact
with the configuration service or a peer, it re-reads the documents first, and the caller decides
again on the result. An engine that checks fences refuses an outdated order that is sent
nevertheless. For an engine that does not, the port bound for its upstream keeps a second daemon
out, and a repeated order does no harm because each order names all weights that the engine is to
hold.
"""

from typing import Final

from headcross_base.clocks import PauseWatch
from headcross_base.decisions import Journal
from headcross_base.errorcodes import FACTS_OLD
from headcross_base.errors import Failure, Ok
from headcross_fleet.documents import Documents
from headcross_fleet.following import ConfigFollower
from headcross_native.engine import Engine, EngineState, Fence, Order, WeightsOrder

# If the last contact with the configuration service or a peer is longer ago, documents are re-read
# before an order.
MAX_CONTACT_AGE_SECONDS: Final = 10.0


class OrderIssuer:
    """Sends fenced orders to one engine."""

    # Numbers of orders that the engine accepted, that failed, and that were withheld as outdated.
    issued: int
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
        self.issued = 0
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
        self._handled_pauses = pauses.check()

    def raise_incarnation_above(self, state: EngineState) -> None:
        """Raise the incarnation above that of the last fence accepted by the engine.

        Without this, an engine that has seen a higher fence would refuse this process's orders.
        """
        if state.checks_fences:
            self._incarnation = max(self._incarnation, state.fence.incarnation + 1)

    async def ensure_current_documents(self) -> bool:
        """Re-read the documents if they may be outdated; return whether an order may be sent.

        Returns False if the documents could not be read or the fleet file has a new revision.
        After False, or after a re-read, the caller must decide again.
        """
        paused = self._pauses.check() != self._handled_pauses
        if not paused and self._documents.contact_age() < MAX_CONTACT_AGE_SECONDS:
            return True
        revision = self._documents.revision
        refreshed = await self._follower.refresh()
        self._journal.record(FACTS_OLD.code, self._engine_name(), "re-read before an order")
        if refreshed:
            self._handled_pauses = self._pauses.check()
        return refreshed and self._documents.revision == revision

    async def issue(self, weights: list[WeightsOrder], revision: int) -> Ok[None] | Failure:
        """Send an order that was derived from revision `revision` of the fleet file.

        Returns a failure with the reason FACTS_OLD, without sending anything, if the documents may
        be outdated or another revision is in force.
        """
        if not await self.ensure_current_documents() or revision != self._documents.revision:
            self.withheld += 1
            return Failure(FACTS_OLD, f"order for revision {revision} withheld")
        self._sequence += 1
        fence = Fence(revision, self._incarnation, self._sequence)
        outcome = await self._engine.send_order(Order(fence, weights, self._source))
        if isinstance(outcome, Failure):
            self.refused += 1
            self._journal.record(outcome.reason.code, self._engine_name(), outcome.detail)
        else:
            self.issued += 1
        return outcome

    def _engine_name(self) -> str:
        return str(self._engine.address)
