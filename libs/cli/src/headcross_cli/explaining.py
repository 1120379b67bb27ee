"""Implements `headcross explain`: traces one request through the JSON logs of any processes.

Every process logs one line for each decision about a request, with the request's id. Sorted by
time, these lines show where the request was sent, what was known there and why it ended as it did.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from headcross_base.decoding import JsonDecoder
from headcross_base.errorcodes import ERROR_CODES
from headcross_base.errors import Failure

# Fields that describe_line prints first or leaves out.
COMMON_FIELDS: Final = ("at", "host", "message", "request", "level", "logger")

# Log messages about the backpressure of replicas, and the reasons of refusals that it may cause.
LIMIT_NAMED: Final = "limit named"
LIMIT_ENDED: Final = "limit ended"
BACKPRESSURE_MESSAGES: Final = (
    LIMIT_NAMED,
    LIMIT_ENDED,
    "replica asks for rest",
    "replica leaves",
)
# Log message about a replica that holds weights which may not take requests, and its end.
KEPT_FROM_SERVICE: Final = "replica kept from service"
SERVES_AGAIN: Final = "replica not kept from service any more"
SERVICE_MESSAGES: Final = (KEPT_FROM_SERVICE, SERVES_AGAIN)
ENDING_MESSAGES: Final = (LIMIT_ENDED, SERVES_AGAIN)
NO_REPLICA_REASONS: Final = ("no-room", "not-serving", "no-replica")

Line = dict[str, Any]
MAX_LINE_BYTES: Final = 1024 * 1024
_LINE: Final[JsonDecoder[Line]] = JsonDecoder(dict, MAX_LINE_BYTES)


@dataclass
class RequestTrace:
    """The log lines that concern one request."""

    lines: list[Line] = field(default_factory=list)  # oldest first
    # Lines of other requests with the same digest, or with the part of a prompt or the caller
    # because of which this one was refused: lost attempts, and what was judged to end replicas.
    # Oldest first.
    related: list[Line] = field(default_factory=list)
    # Backpressure of replicas at the entry that refused the request for lack of a replica, oldest
    # first.
    backpressure: list[Line] = field(default_factory=list)
    # Replicas that this entry kept from service then, because nothing showed that what they had
    # loaded was intact.
    kept_from_service: list[Line] = field(default_factory=list)
    malformed: int = 0  # number of lines that are not JSON objects


def read_trace(request: str, files: Iterable[Path]) -> RequestTrace:
    """Return the lines about a request, and those about lost submissions of the same request.

    A line that is truncated or not a JSON object is counted and skipped. Raises OSError if a file
    cannot be read.
    """
    trace = RequestTrace()
    blamed: list[Line] = []
    backpressure: list[Line] = []
    service: list[Line] = []
    for path in files:
        for raw in path.read_bytes().splitlines():
            decoded = _LINE.decode(raw)
            if isinstance(decoded, Failure):
                trace.malformed += bool(raw.strip())
                continue
            line = decoded.value
            if line.get("request") == request:
                trace.lines.append(line)
            elif "request_digest" in line or "cause" in line:
                blamed.append(line)
            elif line.get("message") in BACKPRESSURE_MESSAGES:
                backpressure.append(line)
            elif line.get("message") in SERVICE_MESSAGES:
                service.append(line)
    digests = {line["request_digest"] for line in trace.lines if "request_digest" in line}
    causes = {line["cause"] for line in trace.lines if "cause" in line}
    trace.related = [line for line in blamed if _is_related(line, digests, causes)]
    for lines in (trace.lines, trace.related, backpressure, service):
        lines.sort(key=_timestamp_of)
    if trace.lines:
        trace.backpressure = _in_force_before(trace.lines[-1], backpressure)
        trace.kept_from_service = _in_force_before(trace.lines[-1], service)
    return trace


def _is_related(line: Line, digests: set[str], causes: set[str]) -> bool:
    """Return whether a line is about one of these requests, or about one of these causes.

    The traits of a cause are joined by "+"; an attempt is about it if its request has all of them.
    """
    if line.get("request_digest") in digests or line.get("cause") in causes:
        return True
    parts = line.get("prompt_parts", {})
    return line.get("message") == "attempt" and any(
        all(trait in parts for trait in cause.split("+")) for cause in causes
    )


def _timestamp_of(line: Line) -> str:
    return str(line.get("at", ""))


def _in_force_before(refusal: Line, lines: list[Line]) -> list[Line]:
    """Return what kept each replica from taking a request as an entry refused it.

    The list is empty unless the refusal was for lack of a replica. `lines` are about backpressure
    or service, and sorted by time. What had already ended is left out.
    """
    if refusal.get("reason") not in NO_REPLICA_REASONS:
        return []
    newest: dict[tuple[str, bool], Line] = {}
    for line in lines:
        if line.get("host") == refusal.get("host") and _timestamp_of(line) <= _timestamp_of(
            refusal
        ):
            is_limit = line["message"] in (LIMIT_NAMED, LIMIT_ENDED)
            newest[str(line.get("replica")), is_limit] = line
    in_force = [line for line in newest.values() if line["message"] not in ENDING_MESSAGES]
    return sorted(in_force, key=_timestamp_of)


def describe_line(line: Line) -> str:
    """Return a log line as readable text.

    >>> describe_line({"at": "t", "host": "e1", "message": "attempt", "replica": "r", "ms": 2.5})
    't  e1  attempt  replica=r ms=2.5'
    """
    head = "  ".join(str(line.get(name, "?")) for name in ("at", "host", "message"))
    fields = (f"{name}={value}" for name, value in line.items() if name not in COMMON_FIELDS)
    return f"{head}  {' '.join(fields)}".rstrip()


def find_cause(lines: list[Line]) -> str:
    """Return one sentence that says why the request ended as it did.

    >>> find_cause([{"message": "completed", "status": 200, "ms": 80.0}])
    'It was answered with status 200 after 80.0 ms.'
    """
    last = lines[-1]
    match last.get("message"):
        case "completed" | "request completed":
            return f"It was answered with status {last.get('status')} after {last.get('ms')} ms."
        case "caller gone":
            detail = last.get("detail", "no detail")
            return f"Its caller left after {last.get('ms')} ms ({detail})."
        case "request unanswered":
            return f"It got no verdict: {last.get('detail')}, ended by the {last.get('ended_by')}."
        case "refused" | "request refused":
            return _describe_refusal(last)
        case _:
            return (
                "Its end is not in these logs: the process was killed, or its lines are elsewhere."
            )


def _describe_refusal(last: Line) -> str:
    code = str(last.get("reason"))
    kind = ERROR_CODES.get(code)
    meaning = kind.meaning if kind is not None else "This version does not know the reason."
    ran = "It did not run" if last.get("verdict") == "not-run" else "It may have run"
    return f"{ran}: {code} ({last.get('detail', '')}) after {last.get('ms', '?')} ms. {meaning}"
