"""Keeps the log records of a starting process until its log is configured."""

import logging
from typing import Final

MAX_RECORDS: Final = 200

logger = logging.getLogger(__name__)


class EarlyLog(logging.Handler):
    """Keeps records in memory, to be handled again later; further ones are dropped and counted."""

    # Number of records dropped so far.
    dropped: int

    def __init__(self) -> None:
        super().__init__()
        self.dropped = 0
        self._records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        if len(self._records) < MAX_RECORDS:
            self._records.append(record)
        else:
            self.dropped += 1

    def hand_over(self) -> None:
        """Pass all kept records, with their original times, to the handlers now configured."""
        for record in self._records:
            logger = logging.getLogger(record.name)
            if logger.isEnabledFor(record.levelno):
                logger.handle(record)
        self._records.clear()
        if self.dropped:
            logger.warning("log lines dropped", extra={"count": self.dropped})


def configure_early_log() -> EarlyLog:
    """Keep all records from now on; return the handler that keeps them."""
    log = EarlyLog()
    root = logging.getLogger()
    root.handlers[:] = [log]
    root.setLevel(logging.INFO)
    return log
