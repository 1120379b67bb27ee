"""Writes the log lines of requests: one for each attempt and one for the end of each request.

The line for the end says who ended the request and why, however it ended.
"""

import logging
import math
from dataclasses import dataclass
from enum import Enum
from itertools import islice
from typing import Final

import trio
from headcross_base.errorcodes import ENDS_REPLICAS, WITHDRAWN
from headcross_base.verdicts import Completed, Refusal, verdict_name

from headcross_gateway.admitted import Admitted
from headcross_gateway.attempts import AttemptTimes
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun, MayRun, Outcome, Streamed
from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.sharedtraits import SharedTrait

MAX_LOGGED_PARTS: Final = 16
MAX_LOGGED_ID_LENGTH: Final = 64

logger = logging.getLogger(__name__)


class Ender(Enum):
    """Who ended a request."""

    REPLICA = "replica"  # its answer was forwarded to the end
    CALLER = "caller"  # it left, or accepted nothing of the answer
    ENTRY = "entry"


@dataclass(frozen=True, slots=True)
class AttemptWeights:
    """The weights that a replica held when an attempt was sent to it."""

    version: int | None  # None for a service without weights
    seconds_left: float  # how long the version still took requests; infinite if none is newer


def log_attempt(
    request: Admitted,
    replica_state: ReplicaState,
    outcome: Outcome,
    weights: AttemptWeights,
    times: AttemptTimes,
) -> None:
    """Log an attempt with the data by which its replica was picked.

    Must be called after the outcome was recorded in `replica_state`.
    """
    result, detail = _result_of(outcome)
    fields: dict[str, object] = {
        "request": request.facts.id,
        "replica": replica_state.replica.id,
        "address": str(replica_state.replica.address),
        "load": round(replica_state.load(), 1),
        "told_age": round(min(999.0, replica_state.report_age()), 2),
        "share": round(replica_state.own_share, 2),
        "ms": _milliseconds_since(request.arrived_at),
        "outcome": result,
        "detail": detail,
        "health_failures": replica_state.health.failures,
    }
    if weights.version is not None:
        fields["weights_version"] = weights.version
    if not math.isinf(weights.seconds_left):
        fields["weights_left"] = round(weights.seconds_left, 2)
    if isinstance(outcome, MayRun) and not outcome.withdrawn:
        fields["request_digest"] = str(request.identity)
        fields["prompt_parts"] = _named_parts(request.parts)
    if isinstance(outcome, CompleteAnswer | Streamed) and outcome.ends_with_connection:
        fields["ends_with_connection"] = True
    if times.proof_seconds is not None:
        fields["proof_ms"] = round(times.proof_seconds * 1000, 1)
    for name, moment in (("sent_ms", times.sent_at), ("began_ms", times.began_at)):
        if moment is not None:
            fields[name] = round((moment - request.arrived_at) * 1000, 1)
    logger.info("attempt", extra=fields)


def log_silent(
    request: Admitted, replica_state: ReplicaState, decision: str, times: AttemptTimes
) -> None:
    """Log that data of an attempt is overdue, and whether another replica is tried beside it."""
    began_at = times.began_at
    fields: dict[str, object] = {
        "request": request.facts.id,
        "replica": replica_state.replica.id,
        "address": str(replica_state.replica.address),
        "told_age": round(min(999.0, replica_state.report_age()), 2),
        "ms": _milliseconds_since(request.arrived_at),
        "began": began_at is not None,
        "another_replica": decision,
        "runs": request.runs,
    }
    logger.info("replica silent", extra=fields)


def log_completed(request: Admitted, verdict: Completed) -> None:
    """Log a request that was answered."""
    fields = {"status": verdict.status, "ended_by": Ender.REPLICA.value}
    logger.info("completed", extra={**_request_fields(request), **fields})


def log_caller_gone(request: Admitted, detail: str) -> None:
    """Log a request whose caller left, or accepted nothing, before its end."""
    fields = {"detail": detail, "ended_by": Ender.CALLER.value}
    logger.info("caller gone", extra={**_request_fields(request), **fields})


def log_unread(request_id: str | None) -> None:
    """Log a request whose caller left before it had sent the whole body."""
    fields = {"detail": "the caller left within its body", "ended_by": Ender.CALLER.value}
    logger.info("caller gone", extra={"request": request_id, **fields})


def log_failed(request: Admitted | None) -> None:
    """Log the exception that is being handled, which nobody expected from a request's handling.

    `request` is None for one that was not admitted.
    """
    logger.exception("request failed", extra=_request_fields(request) if request else {})


def log_refused(
    refusal: Refusal,
    request_id: str | None,
    request: Admitted | None = None,
    ended_by: Ender = Ender.ENTRY,
) -> None:
    """Log a refusal; `request` is None for one that was not admitted."""
    request_fields = _request_fields(request) if request is not None else {"request": request_id}
    fields: dict[str, object] = {
        "verdict": verdict_name(refusal),
        "reason": refusal.reason.code,
        "detail": refusal.detail,
        "ended_by": ended_by.value,
    }
    if request is not None and refusal.reason in (ENDS_REPLICAS, WITHDRAWN):
        fields["request_digest"] = str(request.identity)
        fields |= _cause_fields(request)
    logger.info("refused", extra={**request_fields, **fields})


def _result_of(outcome: Outcome) -> tuple[str, str]:
    """Return the name of an outcome in the log and its detail."""
    match outcome:
        case CompleteAnswer():
            return "answered", str(outcome.answer.status)
        case Streamed():
            return "streamed", ""
        case DidNotRun():
            return "did-not-run", outcome.detail
        case MayRun():
            return "may-have-run", f"{outcome.reason.code}: {outcome.detail}"


def _request_fields(request: Admitted) -> dict[str, object]:
    """Return the fields of the line for the end of a request."""
    relay = request.relay
    times: dict[str, object] = {}
    if relay is not None and relay.first_at is not None:
        times["first_ms"] = round((relay.first_at - request.arrived_at) * 1000, 1)
        times["longest_pause_ms"] = round(relay.longest_pause * 1000, 1)
    return {
        **times,
        "request": request.facts.id,
        "returning": request.is_caller_retry,
        "route": request.route.name,
        "service": request.service,
        "version": request.configuration.version,
        "ms": _milliseconds_since(request.arrived_at),
        "runs": request.runs,
        "refusals": request.refusals,
        "unreached": request.unreached,
    }


def _cause_fields(request: Admitted) -> dict[str, object]:
    """Return what replicas were lost to that affects a request, with the parts it is made of."""
    cause = request.barring_cause
    if cause is None:
        return {}
    parts = {trait: part for trait, part in request.parts.items() if trait in cause.shared_traits}
    return {"cause": str(cause), "prompt_parts": _named_parts(parts)}


def _named_parts(parts: dict[SharedTrait, str]) -> dict[str, str]:
    """Return the ids of parts by the names that their traits have in the log."""
    logged = islice(parts.items(), MAX_LOGGED_PARTS)
    return {str(trait): part[:MAX_LOGGED_ID_LENGTH] for trait, part in logged}


def _milliseconds_since(moment: float) -> float:
    return round((trio.current_time() - moment) * 1000, 1)
