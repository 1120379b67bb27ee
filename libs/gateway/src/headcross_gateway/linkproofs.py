"""Proof that a link delivers, taken on a request's own connection just before it is sent.

A link that is too narrow, or is cut one way, holds a request and delivers it after the reset of
its connection. The replica then begins it on weights whose bound has passed. So a request to old
weights goes only over a connection on which a call was answered a moment before. A link that
begins to hold within that round trip goes unnoticed: no sender can know of it.

What a daemon tells of a link is no proof: its messages may take another one.
"""

from typing import Final

import trio
from headcross_ports.requests import RequestDialect
from headcross_wire.httpclient import HttpConnection, LinkLostError, exchange

from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.weightsrules import WeightsRules

# Callers wait no longer for a proof before another replica is tried. A round trip through a link
# full of chunks takes most of it.
PROOF_SECONDS: Final = 0.4
MAX_ANSWER_BYTES: Final = 64 * 1024


class LinkUnprovenError(Exception):
    """A connection is not fit for a request to old weights; nothing of the request was sent."""

    def __init__(self, detail: str, *, silent: bool) -> None:
        super().__init__(detail)
        # Whether its link may be holding what was sent; else the connection has just ended.
        self.silent = silent


class LinkProofs:
    """The proofs that one entry takes."""

    # Proofs asked for so far, and those that did not come.
    asked: int
    missed: int

    def __init__(self, rules: WeightsRules, dialect: RequestDialect) -> None:
        self.asked = 0
        self.missed = 0
        self._rules = rules
        self._target = dialect.immediate_target()

    def is_needed(self, model: str | None, replica_state: ReplicaState) -> bool:
        """Tell whether a request that its link holds might begin on weights past their bound."""
        version = replica_state.version_of(model) if model is not None else None
        if model is None or version is None:
            return False
        return self._rules.may_arrive_past_bound(model, version)

    async def take(self, connection: HttpConnection) -> None:
        """Have a call answered on a connection, which may carry a request after it.

        Raises LinkUnprovenError if there is no answer within PROOF_SECONDS, or if the connection
        ends before or with it.
        """
        self.asked += 1
        try:
            with trio.fail_after(PROOF_SECONDS):
                await exchange(connection, "GET", self._target, [], b"", MAX_ANSWER_BYTES)
        except trio.TooSlowError:
            self.missed += 1
            detail = f"the link did not show within {PROOF_SECONDS} s that it delivers"
            raise LinkUnprovenError(detail, silent=True) from None
        except LinkLostError as error:
            raise LinkUnprovenError(f"lost before its proof: {error}", silent=False) from None
        if not connection.reusable():
            raise LinkUnprovenError("closed by the replica with its proof", silent=False)
