"""A model of a replica whose calls are lost, answered late or take effect late; in memory.

It checks each load itself: what staged beside it as it takes an order has to be whole and of the
version ordered, but for chunks that turned bad within the last 3 s. All is drawn from one
generator, so that a seed plays again. Times are trio's.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

import trio
from headcross_base.errorcodes import CONNECT_FAILED, LINK_LOST, ORDER_FAILED
from headcross_base.errors import Failure, Ok
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import OrderLine, OrderRefused, OrderTaken, ReplicaReport

MODEL: Final = "m"
CHUNKS: Final = 8
LATE_SECONDS: Final = 12.0
BAD_SECONDS: Final = 3.0
SILENT_SECONDS: Final = 1.0
LOAD_SECONDS: Final = 0.3


class Fate(Enum):
    """What becomes of one call."""

    ANSWERED = "answered"
    LOST = "lost"
    UNANSWERED = "done, not answered"
    LATE = "done late, not answered"


@dataclass(frozen=True)
class FaultRates:
    """How often each kind of fault_rates comes: parts of the calls, and events a second."""

    lost: float = 0.0
    unanswered: float = 0.0
    late: float = 0.0
    rot: float = 0.0
    crash: float = 0.0
    power: float = 0.0
    slow_seconds: float = 0.0  # the longest time that a call takes
    orders_only: bool = False  # whether all calls but orders are answered


@dataclass(frozen=True)
class CorruptedChunk:
    """A chunk that turned bad."""

    at: float
    before: bytes


def chunk_of(version: int, index: int) -> bytes:
    """Return the bytes of a version's chunk."""
    return f"{version:03}:{index}".encode()


class LateReplica:
    """One replica, through several lives."""

    # Loads of mixed, missing or long corrupted chunks.
    violations: list[str]
    loaded: int
    loaded_at: float
    loads: int
    # Whether what it holds was whole as it was loaded.
    whole: bool
    # Words of its daemon that called a load confirmed that was not whole.
    false_confirmations: list[str]

    def __init__(
        self, generator: random.Random, nursery: trio.Nursery, fault_rates: FaultRates
    ) -> None:
        self.violations = []
        self.false_confirmations = []
        self.loads = 0
        self.loaded = 1
        self.loaded_at = float("-inf")
        self.whole = True
        self.fault_rates = fault_rates
        self._generator = generator
        self._nursery = nursery
        self._staged = {index: chunk_of(1, index) for index in range(CHUNKS)}
        self._corrupted: dict[int, CorruptedChunk] = {}
        self._orders = 0
        self._loading = False
        self._life = 1
        self._reports_start = generator.random() < 0.5

    # What befalls it.

    async def inject_faults(self) -> None:
        """Have chunks turn bad and lives end at random, for ever."""
        step = 0.1
        while True:
            await trio.sleep(step)
            if self._generator.random() < self.fault_rates.rot * step:
                self.corrupt_chunk()
            if self._generator.random() < self.fault_rates.crash * step:
                self.end_life(power=False)
            if self._generator.random() < self.fault_rates.power * step:
                self.end_life(power=True)

    def corrupt_chunk(self) -> None:
        """Have a chunk turn bad."""
        if self._staged:
            index = self._generator.choice(sorted(self._staged))
            # One that is bad already has been so since it was corrupted first.
            self._corrupted.setdefault(
                index, CorruptedChunk(trio.current_time(), self._staged[index])
            )
            self._staged[index] = b"bad"

    def end_life(self, *, power: bool) -> None:
        """Begin another life, which holds nothing; what is staged outlasts a crash only."""
        self._life += 1
        self._orders = 0
        self.loaded = 0
        self.whole = True
        self._loading = False
        if power:
            self._staged.clear()
            self._corrupted.clear()

    # Calls of the daemon.

    async def report(self) -> Ok[ReplicaReport] | Failure:
        """Return its state."""
        if not await self._answers():
            return Failure(LINK_LOST, "no answer")
        held = (LoadedModel(MODEL, self.loaded),) if self.loaded else ()
        started = self._life if self._reports_start else None
        return Ok(
            ReplicaReport(held, self._loading, self._orders, 0, 0, 0, 1, 1.0, started_ms=started)
        )

    async def staged_chunks(self, model: str) -> Ok[frozenset[int]] | Failure:
        """Return which chunks lie there."""
        if not await self._answers():
            return Failure(LINK_LOST, "no answer")
        return Ok(frozenset(self._staged))

    async def read_chunk(self, model: str, index: int) -> Ok[bytes | None] | Failure:
        """Return a chunk."""
        if not await self._answers():
            return Failure(LINK_LOST, "no answer")
        return Ok(self._staged.get(index))

    async def stage_chunk(self, model: str, index: int, data: bytes) -> Ok[None] | Failure:
        """Put a chunk."""

        def store_chunk() -> None:
            self._staged[index] = data
            self._corrupted.pop(index, None)

        fate = Fate.ANSWERED if self.fault_rates.orders_only else self._draw()
        if await self._carry_out(store_chunk, fate):
            return Ok(None)
        return Failure(LINK_LOST, "no answer")

    async def open_line(self) -> Ok[OrderLine] | Failure:
        """Open a line to the present life."""
        if self._generator.random() < self.fault_rates.lost / 2:
            return Failure(CONNECT_FAILED, "refused")
        return Ok(_Line(self, self._life))

    # Orders.

    async def take_order(
        self, life: int, version: int, expected: ReplicaReport
    ) -> Ok[OrderTaken | OrderRefused] | Failure:
        """Take an order that came over a line to a life."""
        if life != self._life:
            return Ok(OrderRefused("not sent: another life"))
        outcomes: list[OrderTaken | OrderRefused] = []

        def take() -> None:
            outcomes.append(self._take(version, expected.order_sequence))

        if not await self._carry_out(take, self._draw()):
            return Failure(ORDER_FAILED, "no answer")
        return Ok(outcomes[0])

    def _take(self, version: int, sequence: int) -> OrderTaken | OrderRefused:
        if sequence != self._orders or self._loading:
            return OrderRefused("state or sequence")
        if self.loaded == version:
            return OrderTaken(done=True)
        self._orders += 1
        self.loads += 1
        whole = self._check(version)
        self._loading = True
        self._nursery.start_soon(self._load, version, self._life, whole)
        return OrderTaken(done=False)

    async def _load(self, version: int, life: int, whole: bool) -> None:
        await trio.sleep(LOAD_SECONDS)
        if life == self._life:
            self._loading = False
            self.loaded = version
            self.loaded_at = trio.current_time()
            self.whole = whole

    def _check(self, version: int) -> bool:
        """Check what staged there as an order is taken; return whether it is whole."""
        now = trio.current_time()
        before = len(self.violations)
        for index in range(CHUNKS):
            wanted, staged = chunk_of(version, index), self._staged.get(index)
            corrupted = self._corrupted.get(index)
            recent = corrupted is not None and now - corrupted.at <= BAD_SECONDS
            if staged == wanted or (
                recent and corrupted is not None and corrupted.before == wanted
            ):
                continue
            self.violations.append(f"{now:.2f}: version {version}, chunk {index} is {staged!r}")
        return len(self.violations) == before

    # Fates.

    async def _answers(self) -> bool:
        """Let a call that changes nothing take its time; return whether it is answered.

        Few are lost: a read-back needs all chunks answered, and without one nothing is loaded.
        """
        life = self._life
        await trio.sleep(self._generator.uniform(0, self.fault_rates.slow_seconds))
        lost = 0.0 if self.fault_rates.orders_only else self.fault_rates.lost / CHUNKS
        if self._generator.random() < lost:
            await trio.sleep(SILENT_SECONDS)
            return False
        return life == self._life

    async def _carry_out(self, effect: Callable[[], None], fate: Fate) -> bool:
        """Let a call take its time and effect; return whether it is answered."""
        life = self._life
        if fate is Fate.LATE:
            delay = self._generator.uniform(0, LATE_SECONDS)
            self._nursery.start_soon(self._later, life, delay, effect)
        await trio.sleep(self._generator.uniform(0, self.fault_rates.slow_seconds))
        if life != self._life:
            return False
        if fate in (Fate.ANSWERED, Fate.UNANSWERED):
            effect()
        if fate is Fate.ANSWERED:
            return True
        await trio.sleep(SILENT_SECONDS)
        return False

    async def _later(self, life: int, delay: float, effect: Callable[[], None]) -> None:
        await trio.sleep(delay)
        if life == self._life:
            effect()

    def _draw(self) -> Fate:
        drawn = self._generator.random()
        fault_rates = self.fault_rates
        for fate, part in (
            (Fate.LOST, fault_rates.lost),
            (Fate.UNANSWERED, fault_rates.unanswered),
            (Fate.LATE, fault_rates.late),
        ):
            if drawn < part:
                return fate
            drawn -= part
        return Fate.ANSWERED


class _Line:
    """A line to one life of the replica."""

    def __init__(self, replica: LateReplica, life: int) -> None:
        self._replica = replica
        self._life = life

    async def start(
        self, model: str, version: int, expected: ReplicaReport, *, break_off: bool
    ) -> Ok[OrderTaken | OrderRefused] | Failure:
        """Give an order to that life."""
        return await self._replica.take_order(self._life, version, expected)

    async def close(self) -> None:
        """Close the line."""
