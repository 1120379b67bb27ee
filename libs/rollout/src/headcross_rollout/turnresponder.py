"""Decides at an entry whether an upstream may stop serving, on behalf of its daemon.

Entries receive all heartbeats, so an entry can decide alone, and its answer takes a few bytes. The
rules are in `turns`. An entry decides only for a daemon that has the same two documents in force:
both then compute the same placement. It keeps no state about its answers.
"""

from headcross_fleet.documents import DocumentRevisions, Documents
from headcross_fleet.fleetfile import Pool
from headcross_fleet.membership import StatusTable
from headcross_wire.peermessages import AskTurn, TurnAnswer

from headcross_rollout.placement import PoolPlacement
from headcross_rollout.target import Targets
from headcross_rollout.turns import Turn, may_leave, may_stand_in, may_swap


class TurnResponder:
    """Answers questions of daemons about turns at one entry."""

    def __init__(self, documents: Documents, statuses: StatusTable) -> None:
        self._documents = documents
        self._statuses = statuses
        self._targets = Targets(documents)

    def answer(self, question: AskTurn) -> TurnAnswer:
        """Return the answer to a daemon's question; a refusal if its documents differ."""
        turn = self._decide(question)
        return TurnAnswer(question.question, turn.now, turn.reason, turn.before)

    def _decide(self, question: AskTurn) -> Turn:
        revisions = DocumentRevisions(question.revision, question.hosts_revision)
        pool = self._targets.pool(question.pool)
        if revisions != self._documents.revisions or pool is None:
            return Turn(False, "the entry has other documents in force")
        placement = self._targets.placement.pools[question.pool]
        rows = self._statuses.pool_rows(question.pool)
        upstream = question.upstream
        match question.kind:
            case "swap":
                order = _rank_order_with(upstream, placement)
                return may_swap(upstream, pool, order, rows, question.digest, revisions)
            case "leave":
                return may_leave(upstream, pool, placement.assigned, rows, revisions)
            case "stand-in":
                return self._decide_stand_in(upstream, pool, placement)

    def _decide_stand_in(self, upstream: str, pool: Pool, placement: PoolPlacement) -> Turn:
        if upstream not in placement.spares:
            return Turn(False, "no spare")
        rows = self._statuses.named_rows(placement.assigned)
        return may_stand_in(upstream, pool, placement.assigned, placement.spares, rows)


def _rank_order_with(upstream: str, placement: PoolPlacement) -> list[str]:
    """Return the rank order, with an upstream that stands in appended at the end."""
    return (
        placement.assigned if upstream in placement.assigned else [*placement.assigned, upstream]
    )
