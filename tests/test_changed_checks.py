"""CI tells which known failures, and which of their checks, changed since the last landing."""

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


def script() -> ModuleType:
    spec = spec_from_file_location("changed_checks", SCRIPT)
    assert spec is not None and spec.loader is not None
    module = module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def changes(before: dict[str, str], now: dict[str, str]) -> list[str]:
    return list(script().changes(lambda p: before.get(p, ""), lambda p: now.get(p, "")))


def listed(entry: str, source: str = SOURCE) -> dict[str, str]:
    return {"KNOWN-RED.txt": entry, "tests/a.py": source}


@pytest.mark.parametrize(
    ("now", "told"),
    [
        (listed(f"{TEST} | why | issue 1"), []),
        (listed(f"{TEST} | why | issue 1", SOURCE.replace("Story", "Other")), []),
        (listed(""), [TEST, "  taken off the list"]),
        (listed(f"{TEST} | other | issue 1"), [TEST, "  reworded"]),
        (
            listed(f"{TEST} | why | issue 1", SOURCE.replace("2.0", "3.0")),
            [TEST, "  -BOUND = 2.0", "  +BOUND = 3.0"],
        ),
        (
            listed("", SOURCE.replace("assert 1", "assert 0")),
            [TEST, "  taken off the list", "  -    assert 1 < BOUND", "  +    assert 0 < BOUND"],
        ),
        (listed("", ""), [TEST, "  taken off the list", "  THE TEST IS GONE"]),
        (listed(f"{TEST} | why | issue 1", "not python ("), [TEST, "  THE TEST IS GONE"]),
    ],
)
def test_each_change_of_an_entry_and_of_its_check_is_told(
    now: dict[str, str], told: list[str]
) -> None:
    assert changes(listed(f"{TEST} | why | issue 1"), now) == told


def test_a_new_entry_is_told() -> None:
    assert changes(listed(""), listed(f"{TEST}[x-1] | why | issue 1")) == [
        f"{TEST}[x-1]",
        "  listed",
    ]


def test_a_commit_that_is_not_in_the_history_is_an_error() -> None:
    done = subprocess.run(
        [sys.executable, str(SCRIPT), "0" * 40], cwd=ROOT, capture_output=True, text=True
    )
    assert done.returncode == 2 and "no commit" in done.stderr
