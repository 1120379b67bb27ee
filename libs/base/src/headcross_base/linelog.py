"""Non-blocking, rate-limited logging to standard output.

Lines are buffered in memory and written by a background task; while the pipe is full, they stay in
the buffer. Lines over the limit per second, or over the size of the buffer, are dropped and
counted; the count is logged before the first line of a later second. Warnings and errors have a
higher limit.
"""

import errno
import logging
import os
import time
from typing import Final

import trio
from pythonjsonlogger.msgspec import MsgspecFormatter

LINES_PER_SECOND: Final = 400
# The limit for warnings and errors; lines of all levels count towards it.
URGENT_LINES_PER_SECOND: Final = 600
MAX_BUFFERED_BYTES: Final = 512 * 1024
WRITE_DELAY_SECONDS: Final = 0.05
STDOUT_DESCRIPTOR: Final = 1


class LineLog(logging.Handler):
    """Buffers log lines and writes them to a file descriptor without blocking."""

    # Number of lines dropped since the start.
    dropped: int

    def __init__(
        self, descriptor: int = STDOUT_DESCRIPTOR, lines_per_second: int = LINES_PER_SECOND
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._lines_per_second = lines_per_second
        self._buffer = bytearray()
        self._current_second = 0
        self._lines_this_second = 0
        self._reported_dropped = 0
        self._line_added = trio.Event()

    def emit(self, record: logging.LogRecord) -> None:
        """Add a line to the buffer, or drop and count it if a limit is reached."""
        self._start_second(int(record.created))
        urgent = record.levelno >= logging.WARNING
        limit = URGENT_LINES_PER_SECOND if urgent else self._lines_per_second
        if self._lines_this_second >= limit or len(self._buffer) >= MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines_this_second += 1
        self._append(record)

    def flush(self) -> None:
        """Write what the descriptor accepts; discard the buffer if the reader has closed."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno not in (errno.EPIPE, errno.EIO):
                raise
            self._buffer.clear()

    async def run(self) -> None:
        """Write lines without end; the task does not wake up while nothing is logged."""
        while True:
            if not self._buffer:
                self._line_added = trio.Event()
                await self._line_added.wait()
            # Lines logged during this delay go into the same write.
            await trio.sleep(WRITE_DELAY_SECONDS)
            self.flush()

    def _start_second(self, second: int) -> None:
        """In a new second, reset the number of its lines and log how many were dropped before."""
        if second == self._current_second:
            return
        self._current_second = second
        self._lines_this_second = 0
        unreported = self.dropped - self._reported_dropped
        if unreported:
            self._reported_dropped = self.dropped
            text = "log lines dropped"
            record = logging.makeLogRecord(
                {"msg": text, "levelname": "WARNING", "name": __name__, "count": unreported}
            )
            record.created = time.time()
            self._append(record)

    def _append(self, record: logging.LogRecord) -> None:
        try:
            self._buffer += self.format(record).encode() + b"\n"
            self._line_added.set()
        except Exception:  # a line that cannot be encoded must not fail the task that logs it
            self.dropped += 1


def configure_line_log(host: str, level: str) -> LineLog:
    """Send all log records to standard output as JSON lines with the host; return the log.

    The lines are written while `LineLog.run` runs.
    """
    os.set_blocking(STDOUT_DESCRIPTOR, False)
    log = LineLog()
    log.setFormatter(
        MsgspecFormatter(
            "%(levelname)s %(name)s %(message)s",
            rename_fields={"levelname": "level", "name": "logger"},
            static_fields={"host": host},
            timestamp="at",
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [log]
    root.setLevel(level.upper())
    return log
