"""Reports a soak: one JSON line, and detail files beside the logs."""

from dataclasses import asdict
from pathlib import Path
from typing import Any, Final

import msgspec

from bench.soak.actionrunner import describe
from bench.soak.runner import SoakResult

MAX_DETAILED: Final = 10  # violations, and findings, that the report gives in detail


def to_line(result: SoakResult) -> dict[str, Any]:
    """Return the report as a JSON object."""
    began_at = result.record.began_at
    requests: dict[str, dict[str, int]] = {}
    for row in result.summary.outcomes:
        requests.setdefault(row.kind.value, {})[row.outcome.value] = row.requests
    return {
        "seed": result.plan.seed,
        "minutes": round(result.plan.seconds / 60, 2),
        "processes": result.processes,
        "starts": result.starts,
        "faults": dict(sorted(result.faults.items())),
        "replica_faults": result.replica_faults.total(),
        "requests": requests,
        "bad_requests": result.bad_requests.total(),
        "probes": len(result.record.probes),
        "runs": len(result.record.runs),
        "versions": len(result.record.versions),
        "configurations": len(result.record.configurations),
        "judged": asdict(result.coverage),
        "latest_seconds": round(result.latest_seconds, 3),
        "times_late": result.times_late,
        "violations": {
            row.promise.value: row.violations for row in result.summary.promises if row.violations
        },
        "findings": len(result.findings),
        "first": [
            f"{v.at - began_at:.3f} {v.promise.value}: {v.subject}: {v.detail}"
            for v in result.violations[:MAX_DETAILED]
        ]
        + [
            f"{f.at - began_at:.3f} {f.kind}: {f.subject}: {f.detail}"
            for f in result.findings[:MAX_DETAILED]
        ],
    }


def write_details(result: SoakResult, directory: Path) -> None:
    """Write the plan, all violations and findings, and the record beside the process logs.

    Times in the record are on trio's clock; all others count from the start of the soak.
    """
    began_at = result.record.began_at
    plan = [f"{action.at:8.3f} {describe(action)}" for action in result.plan.actions]
    (directory / "plan.txt").write_text("\n".join([str(result.plan.sizes), *plan]) + "\n")
    violations = [
        f"{v.at - began_at:8.3f} {v.promise.value}: {v.subject}: {v.detail}"
        for v in result.violations
    ]
    findings = [
        f"{f.at - began_at:8.3f} {f.kind}: {f.subject}: {f.detail}" for f in result.findings
    ]
    (directory / "violations.txt").write_text("\n".join([*violations, *findings]) + "\n")
    (directory / "record.json").write_bytes(msgspec.json.encode(result.record))
