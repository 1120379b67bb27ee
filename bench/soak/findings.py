"""What is wrong beyond the promises on requests: bad requests, unasked-for runs, mixed loads."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

from bench.soak.badrequests import SMUGGLED, BadRequest
from bench.soak.exchange import PREFIXES
from bench.soak.record import Record
from testing.platformreplica import FakeReplica, Run


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong, beside the violations of promises."""

    kind: str
    at: float
    subject: str
    detail: str


def find_bad_answers(sent: dict[str, BadRequest]) -> Iterator[Finding]:
    """Find bad requests that were not refused as bad.

    An entry that knows no configuration yet answers 503, and a fault may leave no answer at all.
    """
    for bad in sent.values():
        if bad.status not in (0, 503) and not 400 <= bad.status < 500:
            detail = f"{bad.form.value} got {bad.status}"
            yield Finding("bad request not refused", bad.sent_at, bad.id, detail)


def find_unasked(
    record: Record, sent: dict[str, BadRequest], replicas: list[FakeReplica]
) -> Iterator[Finding]:
    """Find runs of bad requests, and runs that no caller asked for."""
    for replica in replicas:
        for run in replica.runs:
            problem = _problem(record, sent, run)
            if problem:
                detail = f"{problem}: {run.method} {run.target} at {replica.id}"
                yield Finding("unasked run", run.began_at, run.id, detail)


def find_mixed_loads(
    replicas: list[FakeReplica], versions: dict[int, list[bytes]], at: float
) -> Iterator[Finding]:
    """Find loads of anything but the whole version ordered, by what lay there as it was taken."""
    for replica in replicas:
        for version, digests in replica.loads:
            if not _is_whole(version, digests, versions):
                yield Finding("mixed weights", at, replica.id, f"version {version}")


def find_answers_of_bad_loads(
    replicas: list[FakeReplica], versions: dict[int, list[bytes]]
) -> Iterator[Finding]:
    """Find requests that ran on a load of anything but the whole version ordered."""
    for replica in replicas:
        bad = {
            number
            for number, (version, digests) in enumerate(replica.loads, start=1)
            if not _is_whole(version, digests, versions)
        }
        for run in replica.runs:
            if run.load in bad:
                detail = f"version {run.version}, load {run.load} of {replica.id}"
                yield Finding("answer of a bad load", run.began_at, run.id, detail)


def _is_whole(version: int, digests: list[str], versions: dict[int, list[bytes]]) -> bool:
    return digests == [hashlib.sha256(chunk).hexdigest() for chunk in versions[version]]


def _problem(record: Record, sent: dict[str, BadRequest], run: Run) -> str:
    if run.id.removesuffix(SMUGGLED) in sent:
        return "a bad request ran"
    request = record.requests.get(run.id)
    if request is None:
        return "no caller sent it"
    if run.target != f"{PREFIXES[request.kind]}{run.id}" or run.method != "POST":
        return "its target was changed"
    if not run.body.startswith(run.id.encode()):
        return "its body was changed"
    return ""
