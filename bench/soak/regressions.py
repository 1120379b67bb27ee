"""The seeds that failed once."""

import tomllib
from pathlib import Path
from typing import Annotated, Final

import msgspec

REGRESSIONS: Final = Path(__file__).with_name("regressions.toml")


class Regression(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One seed that failed once."""

    seed: Annotated[int, msgspec.Meta(ge=0)]
    minutes: Annotated[float, msgspec.Meta(gt=0)]
    processes: int = 0  # 0: drawn
    cause: Annotated[str, msgspec.Meta(min_length=10)]


class RegressionFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    soaks: list[Regression] = []


def read_regressions(path: Path) -> list[Regression]:
    """Read the file; raise ValueError, with the field, if it is not valid."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), RegressionFile).soaks
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{path}: {error}") from None
