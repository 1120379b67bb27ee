"""Background tasks that observe the entries and the soak: readiness, probes, event loop delay."""

from collections import Counter
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure
from headcross_platform import names
from headcross_wire.httpclient import call

from bench.soak.record import RouteProbe
from bench.soak.site import Site, probe_prefix
from testing.machinelayout import CALLERS, HOST, KEY

READINESS_INTERVAL_SECONDS: Final = 1.0  # how often the platform checks readiness
MAX_MISSES: Final = 2  # consecutive failed checks after which an entry gets no more callers
PROBE_INTERVAL_SECONDS: Final = 0.4
NEWEST_ROUTES: Final = 3  # how many of the newest configurations are probed
PROBE_TIMEOUT_SECONDS: Final = 6.0  # longer than the timeout of the probed routes
MAX_ANSWER_BYTES: Final = 1 << 16
CLOCK_INTERVAL_SECONDS: Final = 0.02
# If the soak's own event loop is delayed by more than this, its observations are late too: the
# soak reports that and records a disturbance of all machines. This is half of the least time
# bound.
MAX_LATENESS_SECONDS: Final = 1.0
# Answers that say nothing about the configuration: the entry did not accept the request.
INCONCLUSIVE_STATUSES: Final = frozenset({408, 421, 429, 503})


async def poll_readiness(site: Site) -> None:
    """Poll the readiness of all entries until cancelled, as the platform does."""
    misses: Counter[str] = Counter()
    while True:
        for name, machine in list(site.machines.machines.items()):
            if machine.role == "entry":
                site.nursery.start_soon(_check_readiness, site, name, misses)
        await trio.sleep(READINESS_INTERVAL_SECONDS)


async def _check_readiness(site: Site, name: str, misses: Counter[str]) -> None:
    if await site.machines.ready(name):
        misses[name] = 0
        site.ready.add(name)
        return
    misses[name] += 1
    if misses[name] >= MAX_MISSES:
        site.ready.discard(name)


@dataclass
class Prober:
    """Requests the routes of the newest configurations from each entry, bypassing the proxies."""

    site: Site
    _probe_count: int = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            newest = self.site.machines.configuration["version"]
            for entry in self.site.running_entries():
                for version in range(newest, max(1, newest - NEWEST_ROUTES), -1):
                    self.site.nursery.start_soon(self._probe, entry, version)
            await trio.sleep(PROBE_INTERVAL_SECONDS)

    async def _probe(self, entry: str, version: int) -> None:
        life, sent_at = self.site.start_counts[entry], trio.current_time()
        private = self.site.machines.private(Address(self.site.ip_of(entry), CALLERS))
        self._probe_count += 1
        request_id = f"p{self._probe_count:06d}"
        headers = [
            ("host", HOST),
            (names.REQUEST_ID, request_id),
            (names.DEADLINE_MS, "5000"),
            (names.KEY, KEY),
        ]
        outcome = await call(
            private,
            "POST",
            f"{probe_prefix(version)}{request_id}",
            headers=headers,
            body=b"probe",
            seconds=PROBE_TIMEOUT_SECONDS,
            max_bytes=MAX_ANSWER_BYTES,
        )
        if self.site.start_counts[entry] != life:
            return  # another process may have answered
        found = None if isinstance(outcome, Failure) else _is_found(outcome.value.status)
        answered_at = trio.current_time()
        probe = RouteProbe(entry, life, version, sent_at, found, answered_at)
        self.site.record.probes.append(probe)


def _is_found(status: int) -> bool | None:
    """Return whether a status shows that the route exists, None if it does not tell."""
    return None if status in INCONCLUSIVE_STATUSES else status != 404


@dataclass
class LatenessMonitor:
    """Measures the delay of the soak's own event loop."""

    site: Site
    max_lateness_seconds: float = 0.0
    times_late: int = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = trio.current_time() + CLOCK_INTERVAL_SECONDS
            await trio.sleep_until(due)
            late = trio.current_time() - due
            self.max_lateness_seconds = max(self.max_lateness_seconds, late)
            if late > MAX_LATENESS_SECONDS:
                self.times_late += 1
                disturbance = self.site.begin_disturbance("soak late", frozenset())
                disturbance.began_at = due
                disturbance.ended_at = trio.current_time()
                self.site.print_progress(f"the soak was {late:.2f} s late")
