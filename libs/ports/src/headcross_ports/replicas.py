"""The interfaces to a daemon's replica and to the origin of weights."""

from dataclasses import dataclass
from typing import Protocol

import msgspec
from headcross_base.addresses import Address
from headcross_base.errors import Failure, Ok

from headcross_ports.published import LoadedModel


class ReplicaReport(msgspec.Struct, frozen=True):
    """The state that a replica reports of itself."""

    loaded: tuple[LoadedModel, ...]
    busy_loading: bool  # whether an order is being executed
    order_sequence: int  # number of orders accepted since its start
    queued: int
    active: int
    memory_used: int  # tokens
    memory_total: int  # tokens
    pace: float  # above 1 if it is slower than normal
    started_ms: int | None = None  # Unix time of its start, None if not reported
    leaving: bool = False  # whether it announces that it is leaving


@dataclass(frozen=True, slots=True)
class OrderTaken:
    """The replica started to execute an order or, if `done`, was already in the ordered state."""

    done: bool


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The order was not accepted, for the reason in `detail`; nothing was started."""

    detail: str


class OrderLine(Protocol):
    """A connection to one incarnation of a replica, over which one order is sent.

    Chunks that were read back while the connection was open were staged at that incarnation.
    """

    async def start(
        self, model: str, version: int, expected: ReplicaReport, *, break_off: bool
    ) -> Ok[OrderTaken | OrderRefused] | Failure:
        """Order the replica to load the staged chunks; until then it accepts no requests.

        The order applies only to the incarnation and the number of accepted orders in `expected`.
        The replica loads the chunks when its running requests have ended, or at once with
        `break_off`, which interrupts them. A refusal means that nothing was started and no order
        is in flight. A failure means that the order may have been accepted, or may still be.
        """

    async def close(self) -> None:
        """Close the connection."""


class StagedControl(Protocol):
    """Calls that read the state of a daemon's replica and stage one copy of a model's weights."""

    async def report(self) -> Ok[ReplicaReport] | Failure:
        """Return the replica's state."""

    async def staged_chunks(self, model: str) -> Ok[frozenset[int]] | Failure:
        """Return the indexes of the staged chunks, which are unverified."""

    async def read_chunk(self, model: str, index: int) -> Ok[bytes | None] | Failure:
        """Return a staged chunk's unverified bytes, None if the chunk is not staged."""

    async def stage_chunk(self, model: str, index: int, data: bytes) -> Ok[None] | Failure:
        """Stage a chunk, replacing the one staged under its index."""


class ReplicaControl(StagedControl, Protocol):
    """Calls to a daemon's replica, which stages one copy of each model's weights."""

    async def open_line(self) -> "Ok[OrderLine] | Failure":
        """Connect to the current incarnation; the connection does not reach a later one."""


class ReplicaReports(Protocol):
    """Reads the reports of replicas on other hosts."""

    async def read(self, address: Address) -> Ok[ReplicaReport] | Failure:
        """Return a replica's report of its own state, as of some hundred milliseconds earlier."""


class ChunkDigests(msgspec.Struct, frozen=True):
    """The digests of a version's chunks, by index."""

    chunk_bytes: int
    digests: tuple[str, ...]  # SHA-256, lower-case hexadecimal


class WeightsOrigin(Protocol):
    """The source of weights outside the fleet; its answers are untrusted."""

    async def read_digests(
        self, address: Address, model: str, version: int
    ) -> Ok[ChunkDigests] | Failure:
        """Return the digests of a version's chunks."""

    async def read_chunk(
        self, address: Address, model: str, version: int, index: int, seconds: float
    ) -> Ok[bytes] | Failure:
        """Return a chunk's unverified bytes; fail after `seconds`."""
