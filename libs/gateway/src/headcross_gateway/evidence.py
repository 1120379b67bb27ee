"""Decides what the end of an attempt says about its request and about its replica.

A replica may crash under a request at any point of the answer, and it may close its connections in
order as it crashes. An answer whose end is marked by a length or by chunks is complete, and shows
that the request does not crash replicas. An answer that ends with its connection looks the same
whether it is complete or its replica crashed, so it counts for neither until that is known.
"""

from enum import Enum, auto

from headcross_gateway.attempts import SUCCESS, AttemptTimes
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun, MayRun, Outcome, Streamed


class Sign(Enum):
    """What the end of an attempt shows."""

    ANSWERED = auto()  # a complete answer: neither the request nor its traits crash replicas
    CLOSED = auto()  # a complete answer, or a crash that closed the connection in order
    BROKEN = auto()  # the connection broke: the replica may have crashed, or only the connection
    SILENT = auto()  # nothing of an answer arrived in time: the replica may be lost
    PAUSED = auto()  # the answer began and paused: counts if the replica is known to have ended
    ABANDONED = auto()  # this entry ended the attempt, with the same consequence
    REFUSED = auto()  # nothing listens at the replica's address any more
    NOTHING = auto()


def sign_of(outcome: Outcome | None, times: AttemptTimes) -> Sign:
    """Return what the end of an attempt shows; `outcome` is None if it was cancelled."""
    match outcome:
        case None | MayRun(withdrawn=True):
            return Sign.ABANDONED
        case CompleteAnswer(answer=answer) if answer.status not in SUCCESS:
            return Sign.NOTHING
        case CompleteAnswer() | Streamed():
            return Sign.CLOSED if outcome.ends_with_connection else Sign.ANSWERED
        case MayRun(broken=True):
            return Sign.BROKEN
        case MayRun(silent=True):
            return Sign.SILENT if times.began_at is None else Sign.PAUSED
        case DidNotRun(refused=True):
            return Sign.REFUSED
        case _:
            return Sign.NOTHING
