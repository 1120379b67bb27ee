"""Client of a model engine: its state, orders to it, and headers of requests to it.

Assumed protocol (the real one is not specified yet), HTTP/1.1 with JSON:

    GET  /v1/state     the loaded weights, the highest fence seen, the load
    POST /v1/orders    set the weights to load; 409 if the fence is too low

An order is declarative: it names all weights the engine is to hold. The engine fetches them over
loopback from the daemon on its host and reports digests computed from the loaded bytes. Not all
engines check fences; those that do set `checks_fences`.
"""

from typing import Final

import msgspec
from headcross_base.addresses import Address
from headcross_base.decoding import Int64, JsonDecoder
from headcross_base.errorcodes import ORDER_FAILED, ORDER_REFUSED
from headcross_base.errors import Failure, Ok
from headcross_base.hashing import digest_of
from headcross_wire.httpclient import call

# Headers of a request to an engine: the token to resume from, the priority (0 is the highest), and
# the required weights as an entity tag; an engine with other weights answers 412 and runs nothing.
ENGINE_RESUME_HEADER: Final = "resume-from"
ENGINE_PRIORITY_HEADER: Final = "priority"
ENGINE_MATCH_HEADER: Final = "if-match"
WEIGHTS_MISMATCH_STATUS: Final = 412

CALL_TIMEOUT_SECONDS: Final = 2.0
MAX_STATE_BYTES: Final = 64 * 1024


class Fence(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The fencing token of an order; engines that check it refuse one below the highest seen."""

    revision: Int64  # of the fleet file that the order is derived from
    incarnation: Int64  # of the daemon that issues it
    sequence: Int64  # number of the order within that incarnation


class WeightsOrder(msgspec.Struct, frozen=True):
    """One artifact to load."""

    name: str
    digest: str  # of the manifest


class Order(msgspec.Struct, frozen=True):
    """The weights that the engine is to hold; an empty list unloads everything."""

    fence: Fence
    weights: list[WeightsOrder]
    source: str  # IP:PORT of the daemon's weights listener


class EngineState(msgspec.Struct, frozen=True):
    """The state that an engine reports."""

    loaded: list[WeightsOrder]  # digests computed by the engine from the loaded bytes
    loading: bool  # whether an order is being executed
    error: str  # why the last order failed; empty if it succeeded
    fence: Fence  # highest fence seen
    checks_fences: bool
    load: float  # from 0 (idle) to 1 (full)
    load_age: float  # seconds since the load was measured, which lags
    running: Int64  # number of requests being served


def serving_digest(digests: list[str]) -> str:
    """Return the digest that identifies a set of loaded weights.

    For a model alone this is its own digest; with adapters, the digest of all digests in order.
    Requests send it in `If-Match`; an engine with other weights answers 412 and runs nothing.

    >>> serving_digest(["a" * 64]) == "a" * 64
    True
    """
    return digests[0] if len(digests) == 1 else digest_of("\n".join(digests).encode())


_STATE_DECODER: Final = JsonDecoder(EngineState, MAX_STATE_BYTES, ORDER_FAILED)


class Engine:
    """Client of the engine at one address."""

    def __init__(self, address: Address) -> None:
        self.address = address

    async def read_state(self) -> Ok[EngineState] | Failure:
        """Return the engine's state; fail with ORDER_FAILED if its answer cannot be decoded."""
        outcome = await call(
            self.address,
            "GET",
            "/v1/state",
            seconds=CALL_TIMEOUT_SECONDS,
            max_bytes=MAX_STATE_BYTES,
        )
        if isinstance(outcome, Failure):
            return outcome
        state = _STATE_DECODER.decode(outcome.value.body)
        if isinstance(state, Failure):
            return Failure(state.reason, f"engine state: {state.detail}")
        return state

    async def send_order(self, order: Order) -> Ok[None] | Failure:
        """Send an order.

        Fails with ORDER_REFUSED if the fence is too low, and with ORDER_FAILED if it is unknown
        whether the engine accepted the order.
        """
        outcome = await call(
            self.address,
            "POST",
            "/v1/orders",
            body=msgspec.json.encode(order),
            seconds=CALL_TIMEOUT_SECONDS,
            max_bytes=MAX_STATE_BYTES,
        )
        if isinstance(outcome, Failure):
            return Failure(ORDER_FAILED, outcome.detail)
        if outcome.value.status == 409:
            return Failure(ORDER_REFUSED, outcome.value.body.decode(errors="replace"))
        if outcome.value.status != 202:
            return Failure(ORDER_FAILED, f"status {outcome.value.status}")
        return Ok(None)
