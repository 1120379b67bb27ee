"""Reads the list of seeds that have failed before."""

import tomllib
from pathlib import Path
from typing import Annotated, Final

import msgspec

REGRESSIONS: Final = Path(__file__).with_name("regressions.toml")


class Regression(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A seed that has failed before, and the cause."""

    seed: Annotated[int, msgspec.Meta(ge=0)]
    minutes: Annotated[float, msgspec.Meta(gt=0)]
    processes: int = 0  # 0: drawn from the seed
    cause: Annotated[str, msgspec.Meta(min_length=10)]


class RegressionFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of regressions.toml."""

    soaks: list[Regression] = []


def read_regressions(path: Path) -> list[Regression]:
    """Read a regressions file; raise ValueError naming the field if it is invalid."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), RegressionFile).soaks
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{path}: {error}") from None
