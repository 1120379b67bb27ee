"""A model engine: what it has loaded, its load, orders to it, and headers of requests to it.

Assumed protocol (the real one is not given yet), HTTP/1.1 with JSON:

    GET  /v1/state     what is loaded, the highest fence seen, the load
    POST /v1/orders    set what is to be loaded; 409 when the fence is too low

An order sets a state: it names all weights the engine is to hold. The engine fetches them from the
daemon beside it over loopback and reports the digest of the bytes it really loaded. Not all
engines check fences; `checks_fences` says which do.
"""

from typing import Final

import msgspec
from headcross_base.addresses import Address
from headcross_base.errorcodes import ORDER_FAILED, ORDER_REFUSED
from headcross_base.errors import Failure, Ok
from headcross_base.hashing import digest_of
from headcross_wire.httpclient import call

# Headers of a request to an engine: the token to go on from, the priority (0 goes first), and the
# weights it must hold, as an entity tag; it answers 412 and runs nothing if it holds others.
ENGINE_RESUME_HEADER: Final = "resume-from"
ENGINE_PRIORITY_HEADER: Final = "priority"
ENGINE_MATCH_HEADER: Final = "if-match"
NOT_HELD_STATUS: Final = 412

CALL_SECONDS: Final = 2.0
MAX_STATE_BYTES: Final = 64 * 1024


class Fence(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The token of an order; engines that check refuse one below the highest they saw."""

    revision: int  # fleet file the order follows from
    incarnation: int  # start of the daemon that gives it
    sequence: int  # order of that incarnation


class WeightsOrder(msgspec.Struct, frozen=True):
    """One artifact to load."""

    name: str
    digest: str  # of the manifest


class Order(msgspec.Struct, frozen=True):
    """What the engine is to hold; an empty list unloads everything."""

    fence: Fence
    weights: list[WeightsOrder]
    source: str  # IP:PORT of the daemon's weights listener


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself."""

    loaded: list[WeightsOrder]  # digests computed by the engine from the bytes it loaded
    loading: bool  # an order is being carried out
    error: str  # why the last order failed, empty if it did not
    fence: Fence  # highest fence seen
    checks_fences: bool
    load: float  # 0 idle to 1 full
    load_age: float  # seconds since the load was measured; it lags
    running: int  # requests being served


def serving_digest(digests: list[str]) -> str:
    """Return the one digest that stands for a set of loaded weights.

    A model alone goes by its own digest; with adapters, by the digest of all in order. Requests
    name it in `If-Match`; an engine that holds anything else answers 412 and runs nothing.

    >>> serving_digest(["a" * 64]) == "a" * 64
    True
    """
    return digests[0] if len(digests) == 1 else digest_of("\n".join(digests).encode())


_STATE_DECODER: Final = msgspec.json.Decoder(EngineState)


class Engine:
    """The engine at one address."""

    def __init__(self, address: Address) -> None:
        self.address = address

    async def read_state(self) -> Ok[EngineState] | Failure:
        """Ask the engine what it holds."""
        outcome = await call(
            self.address,
            "GET",
            "/v1/state",
            seconds=CALL_SECONDS,
            max_bytes=MAX_STATE_BYTES,
        )
        if isinstance(outcome, Failure):
            return outcome
        try:
            return Ok(_STATE_DECODER.decode(outcome.value.body))
        except msgspec.MsgspecError as error:
            return Failure(ORDER_FAILED, f"engine state: {error}")

    async def send_order(self, order: Order) -> Ok[None] | Failure:
        """Give an order; ORDER_FAILED means that nobody knows whether it was taken."""
        outcome = await call(
            self.address,
            "POST",
            "/v1/orders",
            body=msgspec.json.encode(order),
            seconds=CALL_SECONDS,
            max_bytes=MAX_STATE_BYTES,
        )
        if isinstance(outcome, Failure):
            return Failure(ORDER_FAILED, outcome.detail)
        if outcome.value.status == 409:
            return Failure(ORDER_REFUSED, outcome.value.body.decode(errors="replace"))
        if outcome.value.status != 202:
            return Failure(ORDER_FAILED, f"status {outcome.value.status}")
        return Ok(None)
