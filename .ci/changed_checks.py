"""Lists changes to the known failures and to their tests since a commit.

Usage: changed_checks.py [COMMIT]

Prints which entries of KNOWN-RED.txt were added, removed or reworded, and how the tests that are
listed there, now or at COMMIT, were changed. The output is for a reviewer to judge; no change is a
failure. COMMIT defaults to the commit named in last-landing.txt beside this script.
"""

import ast
import difflib
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Final

from docopt import docopt

KNOWN_FAILURES_FILE: Final = "KNOWN-RED.txt"
LAST_LANDING: Final = Path(__file__).parent / "last-landing.txt"

# Returns the text of the file at a path, or an empty string if there is no such file.
ReadFile = Callable[[str], str]


def entries_of(text: str) -> dict[str, str]:
    """Return the entries of a list of known failures: by test name, the rest of the line.

    >>> entries_of("tests/a.py::test_b | why | issue 1")
    {'tests/a.py::test_b': 'why | issue 1'}
    """
    parts = (line.partition(" | ") for line in text.splitlines() if line.strip())
    return {test.strip(): details for test, _, details in parts}


def body_of(source: str, test: str) -> list[str] | None:
    """Return a test's statements without its docstring, or None if there is no such test.

    The module's constants are included, because they may contain the test's bounds. `test` is a
    pytest node ID; a file that is not valid Python has no tests.
    """
    name = test.partition("::")[2].partition("[")[0]
    try:
        module = ast.parse(source)
    except SyntaxError:
        return None
    constants = [ast.unparse(node) for node in module.body if _is_constant(node)]
    for node in module.body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef) and node.name == name:
            if ast.get_docstring(node) is not None:
                node.body = node.body[1:] or [ast.Pass()]
            return [*constants, *ast.unparse(node).splitlines()]
    return None


def changes(before: ReadFile, now: ReadFile) -> Iterator[str]:
    """Yield lines that describe the changes between two states of the repository."""
    old, new = entries_of(before(KNOWN_FAILURES_FILE)), entries_of(now(KNOWN_FAILURES_FILE))
    for test in sorted(old.keys() | new.keys()):
        path = test.partition("::")[0]
        lines = [*_entry_changes(old.get(test), new.get(test))]
        lines += _body_changes(body_of(before(path), test), body_of(now(path), test))
        if lines:
            yield test
            yield from (f"  {line}" for line in lines)


def _is_constant(node: ast.stmt) -> bool:
    if isinstance(node, ast.AnnAssign):
        return isinstance(node.target, ast.Name) and node.target.id.isupper()
    names = node.targets if isinstance(node, ast.Assign) else []
    return bool(names) and all(isinstance(n, ast.Name) and n.id.isupper() for n in names)


def _entry_changes(old: str | None, new: str | None) -> Iterator[str]:
    if old is None:
        yield "listed"
    elif new is None:
        yield "taken off the list"
    elif old != new:
        yield "reworded"


def _body_changes(old: list[str] | None, new: list[str] | None) -> Iterator[str]:
    if old is None:
        return
    if new is None:
        yield "THE TEST IS GONE"
        return
    diff = difflib.unified_diff(old, new, lineterm="", n=0)
    yield from (line for line in diff if not line.startswith(("+++", "---", "@@")))


def _at_commit(commit: str) -> ReadFile:
    def read(path: str) -> str:
        shown = subprocess.run(["git", "show", f"{commit}:{path}"], capture_output=True, text=True)
        return shown.stdout

    return read


def _in_work_tree(path: str) -> str:
    return Path(path).read_text() if Path(path).is_file() else ""


def main() -> int:
    """Print the changes; return 2 if the commit is not in the history, else 0."""
    commit = docopt(__doc__)["COMMIT"] or LAST_LANDING.read_text().strip()
    lookup = subprocess.run(["git", "cat-file", "-e", f"{commit}^{{commit}}"], capture_output=True)
    if lookup.returncode:
        print(f"changed_checks: no commit {commit} in this history", file=sys.stderr)
        return 2
    lines = list(changes(_at_commit(commit), _in_work_tree))
    print(f"Known failures and their checks, changed since {commit}:")
    print("\n".join(lines) or "none")
    return 0


if __name__ == "__main__":
    sys.exit(main())
