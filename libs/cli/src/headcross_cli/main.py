"""headcross: the command-line tool of headcross.

Usage:
  headcross check FILE
  headcross plan FILE --admin ADDRESS [--json]
  headcross watch --admin ADDRESS [--until-converged] [--timeout SECONDS]
  headcross dump ADDRESS [--page PAGE]
  headcross manifest DIR --output FILE [--chunk-bytes N]
  headcross explain REQUEST LOG...
  headcross (-h | --help)
  headcross --version

Commands:
  check     Check a fleet file, wholly and offline, as every daemon will.
  plan      Show what a fleet file would change, by the documents in force at a daemon.
  watch     Show how far the fleet is: a table on a terminal, else JSON lines.
  dump      Show a process's whole state, or one page of its administration API.
  manifest  Write the manifest of a directory of weights and print its digest.
  explain   Tell the story of one request from the log files of any processes.

Options:
  --admin ADDRESS    Administration address (IP:PORT) of a daemon; for watch, of an entry.
  --json             Print JSON lines.
  --until-converged  End when every pool serves what it should.
  --timeout SECONDS  Give up after so long [default: 86400].
  --page PAGE        state, health, metrics, fleet, hosts, decisions or upstreams
                     [default: state].
  --output FILE      Where to write the manifest.
  --chunk-bytes N    Size of a chunk [default: 4194304].
  -h --help          Show this text.
  --version          Show the version.

Exit codes: 0 done, 1 the file is not valid or no log knows the request (or the command line is
wrong), 2 an argument is wrong, 3 a daemon did not answer, 4 out of time. Errors go to standard
error.

Nothing is published from here: submit a fleet file with the platform's own tool.
"""

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import trio
from docopt import docopt
from headcross_base.addresses import Address, parse_address
from headcross_base.errors import Failure
from headcross_base.hashing import digest_of
from headcross_base.version import VERSION
from headcross_fleet.fleetfile import FleetFile, parse_fleet_file
from headcross_weights.manifest import build_manifest

from headcross_cli import exitcodes
from headcross_cli.adminclient import read_in_force, read_page
from headcross_cli.explaining import Line, describe_line, find_cause, read_trace
from headcross_cli.planning import plan_changes
from headcross_cli.watching import watch

Arguments = Mapping[str, Any]  # as parsed by docopt: strings, flags and lists of strings


def main() -> None:
    """Run the command line and exit with its exit code."""
    arguments = docopt(__doc__, version=f"headcross {VERSION}")
    try:
        code = run_command(arguments)
    except ValueError as error:
        code = _fail(str(error), exitcodes.USAGE)
    except OSError as error:
        code = _fail(f"{error.filename}: {error.strerror}", exitcodes.USAGE)
    except KeyboardInterrupt:
        code = exitcodes.OK
    sys.exit(code)


def run_command(arguments: Arguments) -> int:
    """Run the command that the arguments name; return the exit code."""
    if arguments["check"]:
        return check(Path(arguments["FILE"]))
    if arguments["manifest"]:
        return make_manifest(arguments)
    if arguments["explain"]:
        return explain(arguments["REQUEST"], [Path(name) for name in arguments["LOG"]])
    if arguments["dump"]:
        return trio.run(dump, parse_address(arguments["ADDRESS"]), arguments["--page"])
    admin = parse_address(arguments["--admin"])
    if arguments["plan"]:
        return trio.run(plan, Path(arguments["FILE"]), admin, bool(arguments["--json"]))
    seconds = float(arguments["--timeout"])
    return trio.run(watch, admin, bool(arguments["--until-converged"]), seconds)


def check(path: Path) -> int:
    """Check a fleet file and print a summary of it."""
    fleet = _read_fleet(path)
    if fleet is None:
        return exitcodes.REJECTED
    counts = f"{len(fleet.models)} models, {len(fleet.pools)} pools, {len(fleet.teams)} teams"
    print(f"{path}: valid ({counts}, {len(fleet.routes)} routes)")
    return exitcodes.OK


async def plan(path: Path, admin: Address, as_json: bool) -> int:
    """Print what a fleet file would change at the daemon with the address `admin`."""
    new = _read_fleet(path)
    if new is None:
        return exitcodes.REJECTED
    in_force = await read_in_force(admin)
    if isinstance(in_force, Failure):
        return _fail(in_force.detail, exitcodes.UNREACHABLE)
    changes = plan_changes(in_force.value.fleet, new, in_force.value.hosts)
    if not as_json:
        print(f"against fleet file {in_force.value.revision}: {len(changes)} changes")
    for change in changes:
        line = f"  {change.kind:<16} {change.subject:<24} {change.text}"
        print(msgspec.json.encode(change).decode() if as_json else line.rstrip())
    return exitcodes.OK


async def dump(address: Address, page: str) -> int:
    """Print a page of the administration API, JSON indented."""
    outcome = await read_page(address, page)
    if isinstance(outcome, Failure):
        return _fail(outcome.detail, exitcodes.UNREACHABLE)
    body = outcome.value.body
    if "json" in dict(outcome.value.headers).get("content-type", ""):
        body = msgspec.json.format(body, indent=2)
    print(body.decode(errors="replace"))
    return exitcodes.OK


def make_manifest(arguments: Arguments) -> int:
    """Write a manifest and print its digest, by which a fleet file refers to it."""
    directory = Path(arguments["DIR"])
    if not directory.is_dir():
        return _fail(f"{directory}: not a directory", exitcodes.USAGE)
    body = build_manifest(directory, int(arguments["--chunk-bytes"]))
    Path(arguments["--output"]).write_bytes(body)
    print(digest_of(body))
    return exitcodes.OK


def explain(request: str, logs: list[Path]) -> int:
    """Print the log lines about a request, oldest first, and why it ended as it did."""
    trace = read_trace(request, logs)
    if trace.malformed:
        print(f"headcross: {trace.malformed} lines are no JSON objects", file=sys.stderr)
    if not trace.lines:
        return _fail(f"no line about request {request!r}", exitcodes.REJECTED)
    for line in trace.lines:
        print(describe_line(line))
    _print_lines("Other tries of the same request, and how it was judged:", trace.related)
    _print_lines("What replicas had asked of that entry:", trace.backpressure)
    _print_lines("Replicas whose weights nothing vouched for there:", trace.kept_from_service)
    print(find_cause(trace.lines))
    return exitcodes.OK


def _print_lines(heading: str, lines: list[Line]) -> None:
    if lines:
        print(heading)
    for line in lines:
        print(describe_line(line))


def _read_fleet(path: Path) -> FleetFile | None:
    fleet = parse_fleet_file(path.read_bytes())
    if isinstance(fleet, Failure):
        _fail(f"{path}: {fleet.detail}", exitcodes.REJECTED)
        return None
    return fleet.value


def _fail(text: str, code: int) -> int:
    print(f"headcross: {text}", file=sys.stderr)
    return code


if __name__ == "__main__":
    main()
