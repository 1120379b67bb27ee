"""Simulates callers, entries and replicas of one pool in virtual time.

The entries use the gateway's own code: its replica directory, replica selection, admission queue
and overload control. Callers arrive independently of the service (open loop), retry once after the
Retry-After time if they are refused, and disconnect if the first event takes too long.
"""

import itertools
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

import trio
import trio.testing
from headcross_base.addresses import Address
from headcross_facts.facts import Facts
from headcross_gateway.admission import Admission, QueueOrder
from headcross_gateway.directory import Directory
from headcross_gateway.overload import Overload, OverloadSettings
from headcross_gateway.picking import Picker, Requirements
from headcross_gateway.weightsrules import WeightsRules
from headcross_platform.store import MetadataStore
from headcross_ports.configuration import CallerLimits, Configuration, Service, WeightsLayout
from headcross_ports.published import LoadedModel, Replica
from headcross_wire.peermessages import ReplicaLoad

from bench.pool.engine import BatchReplica, Job
from bench.pool.specs import ExperimentSpec, KindSpec

SERVICE: Final = "lm"
MODEL: Final = "m"
# A caller disconnects if its first event has not arrived by then.
FIRST_EVENT_TIMEOUT_SECONDS: Final = 2.4
# Callers wait before a retry for at most this fraction of their time limit.
MAX_RETRY_DELAY_SHARE: Final = 1 / 3
# Interval at which entries measure overload and exchange fingerprints of refused requests.
OVERLOAD_INTERVAL_SECONDS: Final = 0.2
# The largest prompts and answers as a multiple of the mean (52 events with a mean of 21 in the
# design load).
MAX_SIZE_IN_MEANS: Final = 2.5


@dataclass
class Tally:
    """The outcomes of the counted callers."""

    in_aim: int = 0
    late: int = 0
    refused: int = 0  # in the end; all attempts of one caller count once
    refused_again: int = 0  # of these, after a retry
    gone: int = 0  # disconnected, or reached their time limit
    # The total time that retries waited in queues before they were refused.
    held_in_vain_seconds: float = 0.0
    worth: float = 0.0
    owed: float = 0.0
    first_event_seconds: list[float] = field(default_factory=list)  # since the first attempt

    @property
    def callers(self) -> int:
        """The number of counted callers."""
        return self.in_aim + self.late + self.refused + self.gone


@dataclass
class _Entry:
    zone: str
    directory: Directory
    admission: Admission
    overload: Overload


class PoolModel:
    """Simulates one run: callers, entries and replicas."""

    tally: Tally

    def __init__(
        self, spec: ExperimentSpec, settings: OverloadSettings, offered: float, seed: int
    ) -> None:
        self.tally = Tally()
        self._spec = spec
        self._offered = offered
        self._random = random.Random(seed)
        self._fingerprints = itertools.count(1)
        fleet = spec.fleet
        self._zones = [f"z{number}" for number in range(fleet.zones)]
        listed = [
            Replica(
                f"i-{number}",
                SERVICE,
                Address(f"10.0.{number // 250}.{number % 250 + 1}", 80),
                self._zones[number % fleet.zones],
                spec.engine.slots,
                False,
                (LoadedModel(MODEL, 1),),
            )
            for number in range(fleet.replicas)
        ]
        self._replicas = {replica.id: BatchReplica(spec.engine) for replica in listed}
        self._listed = listed
        services = {SERVICE: Service(SERVICE, 1000, WeightsLayout((MODEL,), 1, 1))}
        self._configuration = Configuration(1, (), services, (), CallerLimits(1, 1, 1.0, 1.0))
        self._entries = [
            self._make_entry(f"entry-{n}", self._zones[n % fleet.zones], settings)
            for n in range(fleet.entries)
        ]

    def _make_entry(self, host: str, zone: str, settings: OverloadSettings) -> _Entry:
        facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
        facts.configuration = self._configuration
        facts.replicas = {replica.id: replica for replica in self._listed}
        directory = Directory(facts, self._spec.fleet.entries, host, zone)
        directory.update()
        directory.choose_subset()
        overload = Overload(settings)
        picker = Picker(zone, directory, WeightsRules(facts, 8.0))
        return _Entry(zone, directory, Admission(picker, overload.reserved_share), overload)

    async def run(self) -> None:
        """Simulate the run to its end."""
        async with trio.open_nursery() as nursery:
            for replica in self._listed:
                nursery.start_soon(self._replicas[replica.id].run)
                nursery.start_soon(self._report_load, replica)
            for entry in self._entries:
                nursery.start_soon(self._measure_overload, entry)
            nursery.start_soon(self._share_refusals)
            async with trio.open_nursery() as callers:
                for kind in self._spec.kinds:
                    callers.start_soon(self._generate_callers, kind, callers)
            nursery.cancel_scope.cancel()

    # Entries.

    async def _report_load(self, listed: Replica) -> None:
        """Report a replica's load to every entry, delayed by the report lag."""
        fleet = self._spec.fleet
        replica = self._replicas[listed.id]
        sequence = 0
        await trio.sleep(fleet.tell_seconds * self._random.random())
        while True:
            active, queued = len(replica.running), len(replica.queued)
            await trio.sleep(fleet.report_lag_seconds)
            sequence += 1
            load = ReplicaLoad(
                str(listed.address),
                sequence,
                True,
                False,
                {MODEL: 1},
                active,
                queued,
                0.0,
                1.0,
                fleet.entries,
                orders=0,
            )
            for entry in self._entries:
                if entry.directory.record_report(load) is not None:
                    entry.admission.notify(SERVICE)
            await trio.sleep(max(0.01, fleet.tell_seconds - fleet.report_lag_seconds))

    @staticmethod
    async def _measure_overload(entry: _Entry) -> None:
        while True:
            await trio.sleep(OVERLOAD_INTERVAL_SECONDS)
            entry.overload.measure(trio.current_time())

    async def _share_refusals(self) -> None:
        """Send new fingerprints of refused requests to the other entries of the zone."""
        while True:
            await trio.sleep(OVERLOAD_INTERVAL_SECONDS)
            for entry in self._entries:
                refused = entry.overload.refused.take_pending()
                for other in self._entries:
                    if refused and other is not entry and other.zone == entry.zone:
                        other.overload.refused.receive(refused, trio.current_time())

    # Callers.

    async def _generate_callers(self, kind: KindSpec, callers: trio.Nursery) -> None:
        """Start callers as a Poisson process whose rate follows the load steps."""
        peak_rate = kind.per_second * self._offered
        while True:
            await trio.sleep(self._random.expovariate(peak_rate))
            if self._random.random() > self._spec.load_at(trio.current_time()):
                continue
            if trio.current_time() >= self._spec.seconds - self._spec.cool_down_seconds:
                return
            callers.start_soon(self._run_caller, kind)

    async def _run_caller(self, kind: KindSpec) -> None:
        """Send a request, retry once if it is refused, and count the outcome."""
        started_at = trio.current_time()
        is_counted = started_at >= self._spec.warm_up_seconds
        zone = self._random.choice(self._zones)
        fingerprint = next(self._fingerprints)
        job = Job(
            self._draw_size(kind.prompt_tokens),
            self._draw_size(kind.events),
        )
        retry_after = await self._send_attempt(kind, job, zone, fingerprint, kind.deadline_seconds)
        retried = retry_after is not None
        if retry_after is not None:
            await trio.sleep(min(retry_after, MAX_RETRY_DELAY_SHARE * kind.deadline_seconds))
            seconds_left = kind.deadline_seconds - (trio.current_time() - started_at)
            retry_after = await self._send_attempt(kind, job, zone, fingerprint, seconds_left)
        if is_counted:
            self._count_outcome(
                kind, job, started_at, refused=retry_after is not None, retried=retried
            )

    def _draw_size(self, mean: float) -> int:
        """Return an exponentially distributed size, capped at MAX_SIZE_IN_MEANS."""
        return max(1, round(min(MAX_SIZE_IN_MEANS * mean, self._random.expovariate(1 / mean))))

    async def _send_attempt(
        self, kind: KindSpec, job: Job, zone: str, fingerprint: int, seconds_left: float
    ) -> float | None:
        """Send a request to one entry; return the Retry-After seconds if refused, else None."""
        entry = self._random.choice(
            [candidate for candidate in self._entries if candidate.zone == zone]
        )
        now = trio.current_time()
        returning = entry.overload.refused.was_refused(fingerprint, now)
        entry.overload.note_request(SERVICE, is_caller_retry=returning)
        queue_last = entry.overload.queues_last(is_caller_retry=returning)
        aim_seconds = kind.aim_seconds
        wait_seconds = entry.overload.wait_seconds(aim_seconds, has_serving_replica=True)
        if returning:
            wait_seconds = entry.overload.caller_retry_wait_seconds(
                SERVICE, aim_seconds, seconds_left, has_serving_replica=True
            )
        replica_state = await entry.admission.acquire_slot(
            Requirements(SERVICE, MODEL, None, (), True),
            self._configuration,
            QueueOrder(kind.priority, queue_last, now + seconds_left),
            now + wait_seconds,
            is_caller_retry=returning,
        )
        if replica_state is None:
            entry.overload.note_refused(SERVICE, is_caller_retry=returning)
            if returning and now >= self._spec.warm_up_seconds:
                self.tally.held_in_vain_seconds += trio.current_time() - now
            entry.overload.refused.note(fingerprint, trio.current_time())
            return entry.overload.retry_after_seconds(SERVICE)
        fleet = self._spec.fleet
        one_way_seconds = (
            fleet.way_seconds if replica_state.replica.zone == zone else fleet.far_way_seconds
        )
        acquired_at = trio.current_time()
        try:
            await trio.sleep(one_way_seconds)
            await self._serve(
                self._replicas[replica_state.replica.id], job, one_way_seconds, seconds_left
            )
        finally:
            entry.admission.release_slot(replica_state)
        if job.ended.is_set():
            entry.overload.note_answer(SERVICE, trio.current_time() - acquired_at)
        return None

    async def _serve(
        self, replica: BatchReplica, job: Job, one_way_seconds: float, seconds_left: float
    ) -> None:
        """Run a job until it ends or its caller disconnects."""
        replica.submit(job)
        with trio.move_on_after(seconds_left):
            with trio.move_on_after(FIRST_EVENT_TIMEOUT_SECONDS):
                await job.began.wait()
                await trio.sleep(one_way_seconds + self._spec.engine.first_ms / 1000)
                job.first_event_at = trio.current_time()
            if job.began.is_set():
                await job.ended.wait()
        if not job.ended.is_set():
            replica.cancel(job)

    def _count_outcome(
        self, kind: KindSpec, job: Job, started_at: float, *, refused: bool, retried: bool
    ) -> None:
        tally = self.tally
        tally.owed += kind.worth
        if refused:
            tally.refused += 1
            tally.refused_again += retried
        elif not job.ended.is_set():
            tally.gone += 1
        else:
            seconds = job.first_event_at - started_at
            tally.first_event_seconds.append(seconds)
            in_aim = seconds <= kind.aim_seconds
            tally.in_aim += in_aim
            tally.late += not in_aim
            tally.worth += kind.worth if in_aim else kind.late_worth


@contextmanager
def virtual_time() -> Iterator[None]:
    """Make the product's clock follow trio's inside the block."""
    real_clock_gettime = time.clock_gettime
    time.clock_gettime = lambda _: trio.current_time()
    try:
        yield
    finally:
        time.clock_gettime = real_clock_gettime


def simulate(spec: ExperimentSpec, settings: OverloadSettings, offered: float, seed: int) -> Tally:
    """Simulate one run and return its outcomes."""
    random.seed(seed)  # the product draws from the global generator
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def run() -> Tally:
        model = PoolModel(spec, settings, offered, seed)
        await model.run()
        return model.tally

    with virtual_time():
        return trio.run(run, clock=clock)
