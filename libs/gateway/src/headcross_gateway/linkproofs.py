"""Proves that a link delivers, by a call on a request's own connection just before it is sent.

A link that has too little bandwidth, or is cut in one direction, can delay a request and deliver
it after the reset of its connection. The replica then begins it on weights whose bound has passed.
Therefore a request to old weights is sent only over a connection on which a call was answered just
before. A delay that starts during that round trip goes unnoticed, since no sender can detect it.

A daemon's load reports are no proof, because they may take another link.
"""

from typing import Final

import trio
from headcross_ports.requests import RequestDialect
from headcross_wire.httpclient import HttpConnection, exchange
from headcross_wire.httpcodec import LinkLostError

from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.weightsrules import WeightsRules

# Time limit of a proof, after which another replica is tried. A round trip over a link that is
# saturated by chunks takes most of it.
PROOF_SECONDS: Final = 0.4
MAX_ANSWER_BYTES: Final = 64 * 1024


class LinkUnprovenError(Exception):
    """A connection did not pass its proof; nothing of the request was sent."""

    def __init__(self, detail: str, *, silent: bool) -> None:
        super().__init__(detail)
        # Whether the call timed out, so that the link may be delaying it; otherwise the connection
        # was closed.
        self.silent = silent


class LinkProofs:
    """Makes the proofs of one entry."""

    # Numbers of proofs started so far, and of those that timed out.
    asked: int
    missed: int

    def __init__(self, rules: WeightsRules, dialect: RequestDialect) -> None:
        self.asked = 0
        self.missed = 0
        self._rules = rules
        self._target = dialect.immediate_target()

    def is_needed(self, model: str | None, replica_state: ReplicaState) -> bool:
        """Return whether a request delayed by its link could begin on weights past their bound."""
        version = replica_state.version_of(model) if model is not None else None
        if model is None or version is None:
            return False
        return self._rules.may_arrive_past_bound(model, version)

    async def prove(self, connection: HttpConnection) -> None:
        """Make a call on a connection; when it returns, the connection may carry a request.

        Raises LinkUnprovenError if there is no answer within PROOF_SECONDS, or if the connection
        is closed before or with the answer.
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
