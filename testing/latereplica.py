"""An in-memory model of a replica whose calls are lost, stay unanswered or take effect late.

It checks every load: when an order takes effect, the staged chunks must be complete and of the
ordered version, except for chunks that were corrupted within the last 3 s. All randomness comes
from one generator, so a seed reproduces a run. Times are those of the trio clock.
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
LATE_SECONDS: Final = 12.0  # longest delay of a call that takes effect late
BAD_SECONDS: Final = 3.0  # longest time for which a corrupted chunk excuses a load
SILENT_SECONDS: Final = 1.0  # time until a call without an answer fails
LOAD_SECONDS: Final = 0.3


class CallResult(Enum):
    """The result of one call: whether it takes effect, and whether it is answered."""

    ANSWERED = "answered"
    LOST = "lost"
    UNANSWERED = "done, not answered"
    LATE = "done late, not answered"


@dataclass(frozen=True)
class FaultRates:
    """Rates of injected faults.

    `lost`, `unanswered` and `late` are shares of the calls; `corruption`, `crash` and `power`
    (power loss) are events per second.
    """

    lost: float = 0.0
    unanswered: float = 0.0
    late: float = 0.0
    corruption: float = 0.0
    crash: float = 0.0
    power: float = 0.0
    slow_seconds: float = 0.0  # longest duration of a call
    orders_only: bool = False  # whether all calls but orders are answered


@dataclass(frozen=True)
class CorruptedChunk:
    """The time at which a chunk was corrupted, and its previous bytes."""

    at: float
    before: bytes


def chunk_of(version: int, index: int) -> bytes:
    """Return the bytes of a version's chunk."""
    return f"{version:03}:{index}".encode()


class LateReplica:
    """A replica over several incarnations."""

    # Chunks that were wrong, missing or corrupted for over 3 s when a load was ordered.
    violations: list[str]
    loaded: int
    loaded_at: float
    loads: int
    # Whether the staged chunks were correct when the loaded version was ordered.
    whole: bool
    incarnation: int  # its number, which is also its start time
    began_at: float  # when the incarnation began
    reports_start: bool
    # Loads with wrong chunks that its daemon nevertheless confirmed.
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
        self.incarnation = 1
        self.began_at = trio.current_time()
        self.reports_start = generator.random() < 0.5

    # Fault injection.

    async def inject_faults(self) -> None:
        """Corrupt chunks and end incarnations at random until cancelled."""
        step = 0.1
        while True:
            await trio.sleep(step)
            if self._generator.random() < self.fault_rates.corruption * step:
                self.corrupt_chunk()
            if self._generator.random() < self.fault_rates.crash * step:
                self.end_incarnation(power=False)
            if self._generator.random() < self.fault_rates.power * step:
                self.end_incarnation(power=True)

    def corrupt_chunk(self) -> None:
        """Corrupt a random staged chunk."""
        if self._staged:
            index = self._generator.choice(sorted(self._staged))
            # A chunk that is corrupted twice counts as bad since the first time.
            self._corrupted.setdefault(
                index, CorruptedChunk(trio.current_time(), self._staged[index])
            )
            self._staged[index] = b"bad"

    def end_incarnation(self, *, power: bool) -> None:
        """Begin an incarnation without weights; staged chunks survive a crash only."""
        self.incarnation += 1
        self.began_at = trio.current_time()
        self._orders = 0
        self.loaded = 0
        self.whole = True
        self._loading = False
        if power:
            self._staged.clear()
            self._corrupted.clear()

    # Calls from the daemon.

    async def report(self) -> Ok[ReplicaReport] | Failure:
        """Return the state of the replica."""
        if not await self._delay_read():
            return Failure(LINK_LOST, "no answer")
        loaded = (LoadedModel(MODEL, self.loaded),) if self.loaded else ()
        started = self.incarnation if self.reports_start else None
        return Ok(
            ReplicaReport(loaded, self._loading, self._orders, 0, 0, 0, 1, 1.0, started_ms=started)
        )

    async def staged_chunks(self, model: str) -> Ok[frozenset[int]] | Failure:
        """Return the numbers of the staged chunks."""
        if not await self._delay_read():
            return Failure(LINK_LOST, "no answer")
        return Ok(frozenset(self._staged))

    async def read_chunk(self, model: str, index: int) -> Ok[bytes | None] | Failure:
        """Return a staged chunk, None if it is not staged."""
        if not await self._delay_read():
            return Failure(LINK_LOST, "no answer")
        return Ok(self._staged.get(index))

    async def stage_chunk(self, model: str, index: int, data: bytes) -> Ok[None] | Failure:
        """Stage a chunk."""

        def store_chunk() -> None:
            self._staged[index] = data
            self._corrupted.pop(index, None)

        result = CallResult.ANSWERED if self.fault_rates.orders_only else self._draw_result()
        if await self._apply(store_chunk, result):
            return Ok(None)
        return Failure(LINK_LOST, "no answer")

    async def open_line(self) -> Ok[OrderLine] | Failure:
        """Open an order line to the current incarnation."""
        if self._generator.random() < self.fault_rates.lost / 2:
            return Failure(CONNECT_FAILED, "refused")
        return Ok(_OrderLine(self, self.incarnation))

    # Orders.

    async def take_order(
        self, incarnation: int, version: int, expected: ReplicaReport
    ) -> Ok[OrderTaken | OrderRefused] | Failure:
        """Take an order that was sent over a line to an incarnation."""
        if incarnation != self.incarnation:
            return Ok(OrderRefused("not sent: another life"))
        outcomes: list[OrderTaken | OrderRefused] = []

        def take() -> None:
            outcomes.append(self._take(version, expected.order_sequence))

        if not await self._apply(take, self._draw_result()):
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
        self._nursery.start_soon(self._load, version, self.incarnation, whole)
        return OrderTaken(done=False)

    async def _load(self, version: int, incarnation: int, whole: bool) -> None:
        await trio.sleep(LOAD_SECONDS)
        if incarnation == self.incarnation:
            self._loading = False
            self.loaded = version
            self.loaded_at = trio.current_time()
            self.whole = whole

    def _check(self, version: int) -> bool:
        """Check the staged chunks against a version; return whether they are correct."""
        now = trio.current_time()
        before = len(self.violations)
        for index in range(CHUNKS):
            wanted, staged = chunk_of(version, index), self._staged.get(index)
            corrupted = self._corrupted.get(index)
            is_recent = corrupted is not None and now - corrupted.at <= BAD_SECONDS
            if staged == wanted or (
                is_recent and corrupted is not None and corrupted.before == wanted
            ):
                continue
            self.violations.append(f"{now:.2f}: version {version}, chunk {index} is {staged!r}")
        return len(self.violations) == before

    # Results of calls.

    async def _delay_read(self) -> bool:
        """Delay a read-only call; return whether it is answered.

        The loss rate is divided by the number of chunks: reading back needs an answer for every
        chunk, and nothing is loaded unless the chunks were read back.
        """
        incarnation = self.incarnation
        await trio.sleep(self._generator.uniform(0, self.fault_rates.slow_seconds))
        lost = 0.0 if self.fault_rates.orders_only else self.fault_rates.lost / CHUNKS
        if self._generator.random() < lost:
            await trio.sleep(SILENT_SECONDS)
            return False
        return incarnation == self.incarnation

    async def _apply(self, effect: Callable[[], None], result: CallResult) -> bool:
        """Delay a call and apply its effect; return whether it is answered."""
        incarnation = self.incarnation
        if result is CallResult.LATE:
            delay = self._generator.uniform(0, LATE_SECONDS)
            self._nursery.start_soon(self._apply_later, incarnation, delay, effect)
        await trio.sleep(self._generator.uniform(0, self.fault_rates.slow_seconds))
        if incarnation != self.incarnation:
            return False
        if result in (CallResult.ANSWERED, CallResult.UNANSWERED):
            effect()
        if result is CallResult.ANSWERED:
            return True
        await trio.sleep(SILENT_SECONDS)
        return False

    async def _apply_later(
        self, incarnation: int, delay: float, effect: Callable[[], None]
    ) -> None:
        await trio.sleep(delay)
        if incarnation == self.incarnation:
            effect()

    def _draw_result(self) -> CallResult:
        threshold = self._generator.random()
        fault_rates = self.fault_rates
        for result, share in (
            (CallResult.LOST, fault_rates.lost),
            (CallResult.UNANSWERED, fault_rates.unanswered),
            (CallResult.LATE, fault_rates.late),
        ):
            if threshold < share:
                return result
            threshold -= share
        return CallResult.ANSWERED


class _OrderLine:
    """An order line to one incarnation of the replica."""

    def __init__(self, replica: LateReplica, incarnation: int) -> None:
        self._replica = replica
        self.incarnation = incarnation

    async def start(
        self, model: str, version: int, expected: ReplicaReport, *, break_off: bool
    ) -> Ok[OrderTaken | OrderRefused] | Failure:
        """Send an order to the incarnation of this line."""
        return await self._replica.take_order(self.incarnation, version, expected)

    async def close(self) -> None:
        """Do nothing: the line holds no resources."""
