"""What a daemon does with the replica beside it, and where weights come from."""

from dataclasses import dataclass
from typing import Protocol

from headcross_base.addresses import Address
from headcross_base.errors import Failure, Ok

from headcross_ports.published import LoadedModel


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """The state of a replica, as it tells it."""

    loaded: tuple[LoadedModel, ...]
    busy_loading: bool  # an order is being carried out
    order_sequence: int  # orders taken since its start
    queued: int
    active: int
    memory_used: int  # tokens
    memory_total: int  # tokens
    pace: float  # above 1: slower than it should be
    started_ms: int | None = None  # Unix milliseconds of its start, if it tells that
    leaving: bool = False  # it says that it leaves


@dataclass(frozen=True, slots=True)
class OrderTaken:
    """The replica began to carry out an order, or its state is already the one ordered."""

    done: bool


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The order does not fit the replica's state; nothing was begun."""

    detail: str


class OrderLine(Protocol):
    """A line to one life of a replica, for one order.

    What was read back from beside the replica since the line was opened lay beside the life at
    its other end.
    """

    async def start(
        self, model: str, version: int, expected: ReplicaReport, *, break_off: bool
    ) -> Ok[OrderTaken | OrderRefused] | Failure:
        """Order it to load what is staged; it takes no requests meanwhile.

        The order counts only for the life and the number of orders that `expected` tells. The
        replica loads after the requests that it runs, or at once, breaking them off. A refusal
        means that nothing was begun and nothing is under way. A failure means that nobody knows
        whether the order was taken, or will be.
        """

    async def close(self) -> None:
        """Close the line."""


class ReplicaControl(Protocol):
    """The replica beside a daemon. It keeps one staged copy of each model's weights."""

    async def report(self) -> Ok[ReplicaReport] | Failure:
        """Return its state."""

    async def staged_chunks(self, model: str) -> Ok[frozenset[int]] | Failure:
        """Return which chunks lie beside it, unverified."""

    async def read_chunk(self, model: str, index: int) -> Ok[bytes | None] | Failure:
        """Return a staged chunk's bytes, unverified; None if there is none."""

    async def stage_chunk(self, model: str, index: int, data: bytes) -> Ok[None] | Failure:
        """Put a chunk beside it, over whatever was there."""

    async def open_line(self) -> "Ok[OrderLine] | Failure":
        """Open a line to its present life; nothing goes over it to a later one."""


@dataclass(frozen=True, slots=True)
class ChunkDigests:
    """The digests of one version's chunks, in order."""

    chunk_bytes: int
    digests: tuple[str, ...]  # SHA-256, lower-case hexadecimal


class WeightsOrigin(Protocol):
    """Where weights come from outside the fleet; nothing it sends is trusted."""

    async def read_digests(
        self, address: Address, model: str, version: int
    ) -> Ok[ChunkDigests] | Failure:
        """Return the digests of a version."""

    async def read_chunk(
        self, address: Address, model: str, version: int, index: int, seconds: float
    ) -> Ok[bytes] | Failure:
        """Return a chunk, unverified."""
