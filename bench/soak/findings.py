"""Finds faults beyond the promises: accepted bad requests, unrequested runs, mixed weights."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

from bench.soak.badrequests import SMUGGLED_SUFFIX, BadRequest
from bench.soak.exchange import PREFIXES
from bench.soak.record import Record
from testing.platformreplica import FakeReplica, Run


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault that is not a violation of a promise."""

    kind: str
    at: float
    subject: str
    detail: str


def find_bad_answers(sent: dict[str, BadRequest]) -> Iterator[Finding]:
    """Find bad requests that were not refused with a 4xx status.

    An entry without a configuration answers 503, and a fault may leave a request unanswered.
    """
    for bad in sent.values():
        if bad.status not in (0, 503) and not 400 <= bad.status < 500:
            detail = f"{bad.form.value} got {bad.status}"
            yield Finding("bad request not refused", bad.sent_at, bad.id, detail)


def find_unrequested_runs(
    record: Record, sent: dict[str, BadRequest], replicas: list[FakeReplica]
) -> Iterator[Finding]:
    """Find runs of bad requests, and runs that no caller requested."""
    for replica in replicas:
        for run in replica.runs:
            problem = _find_problem(record, sent, run)
            if problem:
                detail = f"{problem}: {run.method} {run.target} at {replica.id}"
                yield Finding("unasked run", run.began_at, run.id, detail)


def find_mixed_loads(
    replicas: list[FakeReplica], versions: dict[int, list[bytes]], at: float
) -> Iterator[Finding]:
    """Find loads whose staged chunks were not exactly those of the ordered version."""
    for replica in replicas:
        for version, digests in replica.loads:
            if not _is_ordered_version(version, digests, versions):
                yield Finding("mixed weights", at, replica.id, f"version {version}")


def find_answers_of_bad_loads(
    replicas: list[FakeReplica], versions: dict[int, list[bytes]]
) -> Iterator[Finding]:
    """Find requests that ran on a load that was not exactly the ordered version."""
    for replica in replicas:
        bad_loads = {
            number
            for number, (version, digests) in enumerate(replica.loads, start=1)
            if not _is_ordered_version(version, digests, versions)
        }
        for run in replica.runs:
            if run.load in bad_loads:
                detail = f"version {run.version}, load {run.load} of {replica.id}"
                yield Finding("answer of a bad load", run.began_at, run.id, detail)


def _is_ordered_version(
    version: int, digests: list[str], versions: dict[int, list[bytes]]
) -> bool:
    """Return whether chunk digests are exactly those of a version."""
    return digests == [hashlib.sha256(chunk).hexdigest() for chunk in versions[version]]


def _find_problem(record: Record, sent: dict[str, BadRequest], run: Run) -> str:
    """Return why a run should not have happened, or an empty string."""
    if run.id.removesuffix(SMUGGLED_SUFFIX) in sent:
        return "a bad request ran"
    request = record.requests.get(run.id)
    if request is None:
        return "no caller sent it"
    if run.target != f"{PREFIXES[request.kind]}{run.id}" or run.method != "POST":
        return "its target was changed"
    if not run.body.startswith(run.id.encode()):
        return "its body was changed"
    return ""
