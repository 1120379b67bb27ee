"""A program that starts a headcross process in which one function raises while a file exists."""

from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
_PROGRAM: Final = """
import importlib, sys
from pathlib import Path
sys.path[:0] = [str(p) for p in Path({root!r}).glob("libs/*/src")] + [{root!r} + "/platform/src"]
owner, name = {owner!r}, {name!r}
module, _, kind = owner.rpartition(".")
if kind[0].isupper():
    target = getattr(importlib.import_module(module), kind)
else:
    target = importlib.import_module(owner)
kept = getattr(target, name)
def fail(*arguments, **options):
    if Path({marker!r}).exists():
        raise ZeroDivisionError("unforeseen")
    return kept(*arguments, **options)
setattr(target, name, fail)
sys.argv = ["start.py"]
exec(compile(Path({root!r}, "deploy/start.py").read_text(), {root!r} + "/deploy/start.py", "exec"))
"""


def write_program(directory: Path, owner: str, name: str, marker: Path) -> Path:
    """Write a program for processes in which a function or method raises while `marker` exists.

    `owner` is the module, or the module and class, that has it as `name`.
    """
    program = directory / "start.py"
    program.write_text(_PROGRAM.format(root=str(ROOT), owner=owner, name=name, marker=str(marker)))
    return program
