"""Exchanges what is known of replicas' loads between entries, and with the daemons beside them.

What one running process knows of a load is enough for all. An entry tells a daemon in each
subscription what it knows of the loads of that daemon's replica, for a process that has just
started. Entries ask one another about replicas whose loads they know nothing about.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from headcross_facts.loadevidence import LoadStatus
from headcross_ports.published import Incarnation, LoadedModel
from headcross_wire.peermessages import AskLoads, LoadNews, LoadVerdict

from headcross_gateway.replicastate import ReplicaState

# Maximum numbers of replicas in one question and of verdicts in one answer.
MAX_REPLICAS: Final = 256
MAX_VERDICTS: Final = 1024

logger = logging.getLogger(__name__)

FindReplica = Callable[[str], ReplicaState | None]


def verdicts_of(state: ReplicaState) -> list[LoadVerdict]:
    """Return what this entry knows of the loads of one replica."""
    return [
        LoadVerdict(
            state.replica.id,
            state.replica.started_ms,
            known.orders,
            loaded_model.model,
            loaded_model.version,
            known.status is LoadStatus.CONFIRMED,
        )
        for loaded_model, known in state.confirmed_loads.known().items()
    ]


def answer_question(question: AskLoads, find: FindReplica) -> LoadNews:
    """Return what this entry knows of the replicas that another one asks about.

    `find` returns a listed replica by its id, None if it is not listed.
    """
    states = (find(replica_id) for replica_id in question.replicas[:MAX_REPLICAS])
    verdicts = [v for state in states if state is not None for v in verdicts_of(state)]
    return LoadNews(verdicts[:MAX_VERDICTS])


def receive_load_news(news: LoadNews, find: FindReplica) -> list[ReplicaState]:
    """Apply the verdicts of another entry; return the replicas whose loads' status changed."""
    changed: dict[str, ReplicaState] = {}
    for verdict in news.verdicts[:MAX_VERDICTS]:
        state = find(verdict.replica)
        if state is None or not _is_plausible(verdict) or _is_of_other_incarnation(verdict, state):
            continue
        loaded_model = LoadedModel(verdict.model, verdict.version)
        status = LoadStatus.CONFIRMED if verdict.intact else LoadStatus.SUSPECT
        if state.confirmed_loads.record_verdict(loaded_model, verdict.orders, status):
            changed[verdict.replica] = state
            fields = {"replica": verdict.replica, **state.confirmed_loads.dump()}
            logger.info("load judged", extra={**fields, "source": "entry"})
    return list(changed.values())


def unknown_loads(states: Iterable[ReplicaState]) -> list[ReplicaState]:
    """Return the replicas that hold a version whose load this entry knows nothing about."""
    return [
        state
        for state in states
        if any(status is LoadStatus.UNCONFIRMED for _, status in state.unserved_loads())
    ]


def _is_plausible(verdict: LoadVerdict) -> bool:
    return verdict.version > 0 and (verdict.orders is None or verdict.orders >= 0)


def _is_of_other_incarnation(verdict: LoadVerdict, state: ReplicaState) -> bool:
    stated = Incarnation(verdict.replica, verdict.started_ms)
    return stated.differs_from(state.replica.incarnation)
