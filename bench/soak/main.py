"""Runs a randomized soak test: real processes, faults from outside, and checks of all promises.

Prints the seed and, at the end, one JSON line; progress goes to standard error. The exit code is 1
if a promise was broken and 2 if the arguments are not valid. Run as `python -m bench.soak`.

Usage:
  soak SEED [--minutes=M] [--processes=N] [--regressions] [--logs=DIR]
  soak -h | --help

Options:
  --minutes=M     Duration, without start and end. [default: 2]
  --processes=N   How many entries and daemons to run, 20 to 60; drawn from the seed if not given.
  --regressions   First run the seeds that have failed before.
  --logs=DIR      Where logs are written; a new temporary directory if not given. They are kept
                  if a promise was broken, and always in a directory that was given.
"""

import json
import shutil
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import trio
from docopt import DocoptExit, docopt

from bench.soak.plan import MIN_SOAK_SECONDS, draw_plan
from bench.soak.regressions import REGRESSIONS, read_regressions
from bench.soak.report import to_line, write_details
from bench.soak.runner import run_soak

MAX_MINUTES: Final = 120.0
MIN_PROCESSES: Final = 20
MAX_PROCESSES: Final = 60
EXIT_BROKEN: Final = 1
EXIT_BAD_ARGUMENTS: Final = 2


class ArgumentError(Exception):
    """An invalid command-line argument; the text names it and says why."""


@dataclass(frozen=True, slots=True)
class Arguments:
    """The parsed command line."""

    seed: int
    minutes: float
    processes: int  # 0: drawn from the seed
    regressions: bool
    logs: Path | None


def parse_arguments(words: list[str]) -> Arguments:
    """Parse the command line; raise ArgumentError if it is invalid.

    >>> parse_arguments(["7", "--minutes=1.5"]).minutes
    1.5
    >>> parse_arguments(["seven"])
    Traceback (most recent call last):
    ...
    bench.soak.main.ArgumentError: SEED: 'seven' is not a whole number
    """
    try:
        options = docopt(__doc__ or "", words)
    except DocoptExit as error:
        raise ArgumentError(f"cannot read {' '.join(words)!r}\n{error}") from None
    processes = options["--processes"]
    logs = options["--logs"]
    return Arguments(
        _parse_whole_number("SEED", options["SEED"], 0, 1 << 62),
        _parse_minutes(options["--minutes"]),
        (
            _parse_whole_number("--processes", processes, MIN_PROCESSES, MAX_PROCESSES)
            if processes
            else 0
        ),
        bool(options["--regressions"]),
        Path(logs) if logs else None,
    )


def _parse_whole_number(name: str, text: str, least: int, most: int) -> int:
    """Parse a whole number from `least` to `most`; `name` is the argument's name."""
    try:
        number = int(text)
    except ValueError:
        raise ArgumentError(f"{name}: {text!r} is not a whole number") from None
    if not least <= number <= most:
        raise ArgumentError(f"{name}: {number} is not between {least} and {most}")
    return number


def _parse_minutes(text: str) -> float:
    try:
        minutes = float(text)
    except ValueError:
        raise ArgumentError(f"--minutes: {text!r} is not a number") from None
    least = MIN_SOAK_SECONDS / 60
    if not least <= minutes <= MAX_MINUTES:
        raise ArgumentError(f"--minutes: {minutes} is not between {least:.2f} and {MAX_MINUTES}")
    return minutes


def run_one(seed: int, minutes: float, processes: int, logs: Path | None) -> bool:
    """Run one soak and print its report; return whether it passed."""
    directory = logs or Path(tempfile.mkdtemp(prefix=f"headcross-soak-{seed}-"))
    directory.mkdir(parents=True, exist_ok=True)
    print(f"seed {seed}, logs in {directory}", flush=True)
    result = trio.run(run_soak, draw_plan(seed, minutes * 60, processes), directory)
    if not result.passed or logs is not None:
        write_details(result, directory)
    else:
        shutil.rmtree(directory)
    print(json.dumps(to_line(result)), flush=True)
    return result.passed


def main() -> int:
    """Run the soaks that the command line selects; return the exit code."""
    try:
        arguments = parse_arguments(sys.argv[1:])
        regressions = read_regressions(REGRESSIONS) if arguments.regressions else []
    except (ArgumentError, ValueError) as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_ARGUMENTS
    passed = True
    for case in regressions:
        logs = arguments.logs / f"seed-{case.seed}" if arguments.logs else None
        passed = run_one(case.seed, case.minutes, case.processes, logs) and passed
    own_passed = run_one(arguments.seed, arguments.minutes, arguments.processes, arguments.logs)
    return 0 if own_passed and passed else EXIT_BROKEN
