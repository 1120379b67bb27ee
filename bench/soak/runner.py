"""Runs one soak: traffic, probes and the plan's actions, until the recovery can be judged."""

import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import trio

from bench.soak.actionrunner import ActionRunner
from bench.soak.badrequests import BadRequests
from bench.soak.callers import Callers
from bench.soak.check_summary import Summary, summarize
from bench.soak.check_violations import Violation
from bench.soak.checks import check_all
from bench.soak.coverage import Coverage, measure_coverage
from bench.soak.findings import (
    Finding,
    find_answers_of_bad_loads,
    find_bad_answers,
    find_mixed_loads,
    find_unrequested_runs,
)
from bench.soak.plan import RECOVERY_SECONDS, Plan
from bench.soak.processes import Processes
from bench.soak.record import Arrival, Record, ReplicaRun
from bench.soak.site import PROBE_SERVICE, Site, running_site
from bench.soak.watchers import LatenessMonitor, Prober, poll_readiness

PROGRESS_SECONDS: Final = 10.0


@dataclass
class SoakResult:
    """The record of one soak and its evaluation."""

    plan: Plan
    record: Record
    violations: list[Violation]
    findings: list[Finding]
    summary: Summary
    coverage: Coverage
    faults: Counter[str] = field(default_factory=Counter)  # actions by kind
    replica_faults: Counter[str] = field(default_factory=Counter)  # drawn faults of replicas
    processes: int = 0
    starts: int = 0
    bad_requests: Counter[str] = field(default_factory=Counter)  # by form and status
    latest_seconds: float = 0.0  # the largest delay of the soak's own event loop
    times_late: int = 0

    @property
    def passed(self) -> bool:
        """Whether there are neither violations nor findings."""
        return not self.violations and not self.findings


async def run_soak(plan: Plan, directory: Path) -> SoakResult:
    """Run a soak; the logs of its processes are written to a directory."""
    async with running_site(directory, plan) as site:
        processes = Processes(site)
        action_runner = ActionRunner(site, processes)
        bad_requests = BadRequests(random.Random(f"{plan.seed} bad requests"))
        callers = Callers(site, random.Random(f"{plan.seed} callers"), bad_requests)
        lateness_monitor = LatenessMonitor(site)
        async with trio.open_nursery() as nursery:
            for watch in (processes.watch, lateness_monitor.run, Prober(site).run):
                nursery.start_soon(watch)
            nursery.start_soon(poll_readiness, site)
            nursery.start_soon(_report_progress, site)
            await _run_plan(site, action_runner, callers)
            nursery.cancel_scope.cancel()
        site.record.ended_at = trio.current_time()
        return _evaluate(site, processes, bad_requests, lateness_monitor)


async def _run_plan(site: Site, action_runner: ActionRunner, callers: Callers) -> None:
    """Perform the plan under traffic, and continue the traffic through the recovery time."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run)
        await action_runner.run_all(site.plan.actions)
        site.record.last_fault_ended_at = action_runner.last_fault_ended_at
        ends = (
            site.record.began_at + site.plan.seconds,
            action_runner.last_fault_ended_at + RECOVERY_SECONDS,
        )
        await trio.sleep_until(max(ends))
        callers.stopped = True


async def _report_progress(site: Site) -> None:
    while True:
        await trio.sleep(PROGRESS_SECONDS)
        requests = site.record.requests.values()
        served = sum(request.whole and request.status == 200 for request in requests)
        site.print_progress(
            f"{len(requests)} requests, {served} served, {len(site.record.probes)} probes"
        )


def _evaluate(
    site: Site,
    processes: Processes,
    bad_requests: BadRequests,
    lateness_monitor: LatenessMonitor,
) -> SoakResult:
    record = site.record
    _collect_observations(site)
    violations = check_all(record)
    replicas = [
        listed.replica
        for listed in site.machines.replicas.values()
        if listed.service != PROBE_SERVICE
    ]
    process_findings = [Finding("process", f.at, f.process, f.detail) for f in processes.findings]
    versions = site.machines.origin.versions
    mixed_loads = find_mixed_loads(replicas, versions, record.ended_at)
    bad_load_answers = find_answers_of_bad_loads(replicas, versions)
    unrequested_runs = find_unrequested_runs(record, bad_requests.sent, replicas)
    drawn_faults = (fault.value for action in site.plan.actions for fault in action.faults)
    return SoakResult(
        site.plan,
        record,
        violations,
        [
            *process_findings,
            *mixed_loads,
            *bad_load_answers,
            *find_bad_answers(bad_requests.sent),
            *unrequested_runs,
        ],
        summarize(record, violations),
        measure_coverage(record),
        site.faults,
        Counter(drawn_faults),
        len(site.machines.machines),
        site.start_counts.total(),
        Counter(f"{b.form.value} {b.status}" for b in bad_requests.sent.values()),
        lateness_monitor.max_lateness_seconds,
        lateness_monitor.times_late,
    )


def _collect_observations(site: Site) -> None:
    """Copy the arrivals and runs that the replicas observed into the record."""
    record = site.record
    for listed in site.machines.replicas.values():
        if listed.service == PROBE_SERVICE:
            continue
        replica = listed.replica
        record.arrivals += [
            Arrival(a.id, replica.id, a.at, a.rest_seconds) for a in replica.arrived
        ]
        record.runs += [
            ReplicaRun(run.id, replica.id, listed.service, run.version, run.began_at)
            for run in replica.runs
        ]
