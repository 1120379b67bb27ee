"""Logging as JSON lines to standard error, with the host in every line.

Further fields are added with `extra={...}`. The operators' guide documents the fields `request`,
`revision`, `digest` and `host`.
"""

import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

LEVELS: Final = ("debug", "info", "warning", "error")


def configure_logging(host: str, level: str) -> None:
    """Send all log records of at least `level` to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(name)s %(message)s",
            rename_fields={"levelname": "level", "name": "logger"},
            static_fields={"host": host},
            timestamp="at",
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
