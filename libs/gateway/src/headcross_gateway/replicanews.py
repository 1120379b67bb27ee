"""Exchanges what replicas ask of entries (limits, leaving) between entries.

An entry learns from the answers to its own requests what a replica asks of all entries. It sends
this to the others at once. It also sends everything it knows to a few of them at intervals, so
that entries that start or were disconnected learn it too. News may arrive late, twice or never; of
two items about a replica, the newer one applies. Implausible items are ignored.
"""

import logging
import math
from collections.abc import Callable, Iterable
from typing import Final

from headcross_ports.published import Incarnation
from headcross_wire.peermessages import ReplicaBackpressure, ReplicaNews

from headcross_gateway.backpressure import Backpressure
from headcross_gateway.replicastate import ReplicaState

# Maximum number of items in one message; a fleet of the intended size never has that many.
MAX_ITEMS: Final = 1024
# An older item says nothing about the present state of the replica.
MAX_AGE_SECONDS: Final = 3600.0

logger = logging.getLogger(__name__)


def pending_news(states: Iterable[ReplicaState], now: float) -> ReplicaNews | None:
    """Return what this entry learned from answers since the last call, None if nothing."""
    pending = [state for state in states if state.backpressure.has_pending_news()]
    for state in pending:
        state.backpressure.mark_sent()
    return _news(pending, now)


def all_news(states: Iterable[ReplicaState], now: float) -> ReplicaNews | None:
    """Return news of all replicas that have a limit or leave, None if there are none."""
    return _news([state for state in states if _has_limit_or_leaves(state.backpressure)], now)


def receive_news(
    news: ReplicaNews, find: Callable[[str], ReplicaState | None], now: float
) -> list[ReplicaState]:
    """Apply the news of another entry; return the replicas whose state it changes.

    `find` returns a listed replica by its id, None if it is not listed.
    """
    changed: list[ReplicaState] = []
    rejected = 0
    for item in news.items[:MAX_ITEMS]:
        if not _is_plausible(item):
            rejected += 1
            continue
        state = find(item.replica)
        if state is None or _is_of_other_incarnation(item, state):
            continue
        backpressure = state.backpressure
        has_new_limit = backpressure.receive_limit(
            item.limit, now - item.age, state.own_share, now
        )
        if (item.leaving and backpressure.leave("entry")) or has_new_limit:
            changed.append(state)
    if rejected:
        logger.warning("news of replicas rejected", extra={"items": rejected, "reason": "range"})
    return changed


def _news(states: list[ReplicaState], now: float) -> ReplicaNews | None:
    items = [
        ReplicaBackpressure(
            state.replica.id,
            state.replica.started_ms,
            min(MAX_AGE_SECONDS, max(0.0, now - state.backpressure.limit.stated_at)),
            state.backpressure.limit.per_second,
            state.backpressure.leaving,
        )
        for state in states[:MAX_ITEMS]
    ]
    return ReplicaNews(items) if items else None


def _has_limit_or_leaves(backpressure: Backpressure) -> bool:
    return backpressure.leaving or backpressure.limit.per_second is not None


def _is_plausible(item: ReplicaBackpressure) -> bool:
    if not 0 <= item.age <= MAX_AGE_SECONDS:
        return False
    return item.limit is None or (math.isfinite(item.limit) and item.limit >= 0)


def _is_of_other_incarnation(item: ReplicaBackpressure, state: ReplicaState) -> bool:
    reported = Incarnation(item.replica, item.started_ms)
    return reported.differs_from(state.replica.incarnation)
