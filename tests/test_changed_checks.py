"""Tests the CI script that reports changes to known failures and their tests since a commit."""

import subprocess
import sys
from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent
SCRIPT = ROOT / ".ci" / "changed_checks.py"
TEST = "tests/a.py::test_b"
SOURCE = 'BOUND = 2.0\n\ndef test_b():\n    """Story."""\n    assert 1 < BOUND\n'


def load_script() -> ModuleType:
    spec = spec_from_file_location("changed_checks", SCRIPT)
    assert spec is not None and spec.loader is not None
    module = module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def changes(before: dict[str, str], now: dict[str, str]) -> list[str]:
    return list(load_script().changes(lambda p: before.get(p, ""), lambda p: now.get(p, "")))


def repository_state(entry: str, source: str = SOURCE) -> dict[str, str]:
    return {"KNOWN-RED.txt": entry, "tests/a.py": source}


@pytest.mark.parametrize(
    ("now", "expected"),
    [
        (repository_state(f"{TEST} | why | issue 1"), []),
        (repository_state(f"{TEST} | why | issue 1", SOURCE.replace("Story", "Other")), []),
        (repository_state(""), [TEST, "  taken off the list"]),
        (repository_state(f"{TEST} | other | issue 1"), [TEST, "  reworded"]),
        (
            repository_state(f"{TEST} | why | issue 1", SOURCE.replace("2.0", "3.0")),
            [TEST, "  -BOUND = 2.0", "  +BOUND = 3.0"],
        ),
        (
            repository_state("", SOURCE.replace("assert 1", "assert 0")),
            [TEST, "  taken off the list", "  -    assert 1 < BOUND", "  +    assert 0 < BOUND"],
        ),
        (repository_state("", ""), [TEST, "  taken off the list", "  THE TEST IS GONE"]),
        (
            repository_state(f"{TEST} | why | issue 1", "not python ("),
            [TEST, "  THE TEST IS GONE"],
        ),
    ],
)
def test_changes_of_an_entry_and_of_its_test_are_reported(
    now: dict[str, str], expected: list[str]
) -> None:
    assert changes(repository_state(f"{TEST} | why | issue 1"), now) == expected


def test_a_new_entry_is_reported() -> None:
    assert changes(repository_state(""), repository_state(f"{TEST}[x-1] | why | issue 1")) == [
        f"{TEST}[x-1]",
        "  listed",
    ]


def test_a_commit_that_is_not_in_the_history_is_an_error() -> None:
    done = subprocess.run(
        [sys.executable, str(SCRIPT), "0" * 40], cwd=ROOT, capture_output=True, text=True
    )
    assert done.returncode == 2 and "no commit" in done.stderr
