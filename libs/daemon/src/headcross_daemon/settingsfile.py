"""Reads a TOML settings file into its type."""

from pathlib import Path
from typing import Final, TypeVar

import msgspec
from headcross_base.decoding import decode_toml
from headcross_base.errorcodes import SETTINGS_INVALID
from headcross_base.errors import Failure, Ok

T = TypeVar("T")

MAX_SETTINGS_BYTES: Final = 1024 * 1024


def read_settings_file(path: Path, kind: type[T]) -> Ok[T] | Failure:
    """Read a settings file; a failure's detail gives file, field and reason."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return Failure(SETTINGS_INVALID, f"{path}: {error.strerror}")
    raw = decode_toml(data, MAX_SETTINGS_BYTES)
    if isinstance(raw, Failure):
        return Failure(SETTINGS_INVALID, f"{path}: file: {raw.detail}")
    try:
        return Ok(msgspec.convert(raw.value, kind))
    except msgspec.ValidationError as error:
        reason, _, field = str(error).partition(" - at `$.")
        return Failure(SETTINGS_INVALID, f"{path}: {field.rstrip('`') or 'file'}: {reason}")
