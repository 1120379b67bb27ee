"""The story of one request, from the JSON log lines of any number of processes.

Every process writes one line for each decision about a request, with the request's id. Read
together, oldest first, they say where it went, what was known there, and why it ended as it did.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import msgspec
from headcross_base.errorcodes import ERROR_CODES

# Fields that every line has, or that the story shows in front of the others.
COMMON_FIELDS: Final = ("at", "host", "message", "request", "level", "logger")

# What replicas asked of an entry, and the reasons of refusals that may follow from it.
LIMIT_NAMED: Final = "limit named"
LIMIT_ENDED: Final = "limit ended"
ASKED_MESSAGES: Final = (LIMIT_NAMED, LIMIT_ENDED, "replica asks for rest", "replica leaves")
NO_PLACE_REASONS: Final = ("no-room", "not-serving", "no-replica")

Line = dict[str, Any]


@dataclass
class Story:
    """What the logs say about one request."""

    lines: list[Line] = field(default_factory=list)  # oldest first
    # Lost attempts of other tries of the same request, and how it was judged, oldest first.
    related: list[Line] = field(default_factory=list)
    # What replicas had asked of the entry that found no place for the request, oldest first.
    asked: list[Line] = field(default_factory=list)
    broken: int = 0  # lines that are no JSON objects


def read_story(request: str, files: Iterable[Path]) -> Story:
    """Return the lines about a request, and those about other tries of it that were lost.

    A line that is cut short or not a JSON object is counted and passed over. Raises OSError if a
    file cannot be read.
    """
    story = Story()
    with_digest: list[Line] = []
    asked: list[Line] = []
    for path in files:
        for raw in path.read_bytes().splitlines():
            try:
                line = msgspec.json.decode(raw)
            except msgspec.DecodeError:
                line = None
            if not isinstance(line, dict):
                story.broken += bool(raw.strip())
            elif line.get("request") == request:
                story.lines.append(line)
            elif "request_digest" in line:
                with_digest.append(line)
            elif line.get("message") in ASKED_MESSAGES:
                asked.append(line)
    digests = {line["request_digest"] for line in story.lines if "request_digest" in line}
    story.related = [line for line in with_digest if line["request_digest"] in digests]
    for lines in (story.lines, story.related, asked):
        lines.sort(key=_moment_of)
    if story.lines:
        story.asked = _asked_before(story.lines[-1], asked)
    return story


def _moment_of(line: Line) -> str:
    return str(line.get("at", ""))


def _asked_before(refusal: Line, asked: list[Line]) -> list[Line]:
    """Return what each replica last asked of the entry that found no place for a request.

    `asked` is sorted by its moments. A limit that had ended is left out.
    """
    if refusal.get("reason") not in NO_PLACE_REASONS:
        return []
    newest: dict[tuple[str, bool], Line] = {}
    for line in asked:
        if line.get("host") == refusal.get("host") and _moment_of(line) <= _moment_of(refusal):
            is_limit = line["message"] in (LIMIT_NAMED, LIMIT_ENDED)
            newest[str(line.get("replica")), is_limit] = line
    held = [line for line in newest.values() if line["message"] != LIMIT_ENDED]
    return sorted(held, key=_moment_of)


def describe_line(line: Line) -> str:
    """Return a line for people.

    >>> describe_line({"at": "t", "host": "e1", "message": "attempt", "replica": "r", "ms": 2.5})
    't  e1  attempt  replica=r ms=2.5'
    """
    head = "  ".join(str(line.get(name, "?")) for name in ("at", "host", "message"))
    rest = (f"{name}={value}" for name, value in line.items() if name not in COMMON_FIELDS)
    return f"{head}  {' '.join(rest)}".rstrip()


def find_cause(lines: list[Line]) -> str:
    """Return in one sentence why the request ended as it did.

    >>> find_cause([{"message": "completed", "status": 200, "ms": 80.0}])
    'It was answered with status 200 after 80.0 ms.'
    """
    last = lines[-1]
    match last.get("message"):
        case "completed":
            return f"It was answered with status {last.get('status')} after {last.get('ms')} ms."
        case "caller gone":
            return f"Its caller left after {last.get('ms')} ms."
        case "refused":
            return _refusal(last)
        case _:
            return (
                "Its end is not in these logs: the process was killed, or its lines are elsewhere."
            )


def _refusal(last: Line) -> str:
    code = str(last.get("reason"))
    kind = ERROR_CODES.get(code)
    meaning = kind.meaning if kind is not None else "This version does not know the reason."
    ran = "It did not run" if last.get("verdict") == "not-run" else "It may have run"
    return f"{ran}: {code} ({last.get('detail', '')}) after {last.get('ms', '?')} ms. {meaning}"
