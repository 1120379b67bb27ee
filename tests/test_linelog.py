"""Tests the log on standard output: it is bounded and does not block."""

import json
import logging
import os

import pytest
import trio
import trio.testing
from headcross_base import linelog
from headcross_base.linelog import LineLog
from pythonjsonlogger.msgspec import MsgspecFormatter


def make_log(descriptor: int, lines_per_second: int) -> LineLog:
    """Return a log that writes JSON lines."""
    log = LineLog(descriptor, lines_per_second)
    log.setFormatter(MsgspecFormatter("%(levelname)s %(message)s"))
    return log


def record(text: str, level: int = logging.INFO, created: float = 1000.0) -> logging.LogRecord:
    """Return a record with a given time of creation."""
    made = logging.LogRecord("t", level, "", 0, text, None, None)
    made.created = created
    return made


def read_now(descriptor: int) -> bytes:
    """Return what can be read without blocking."""
    os.set_blocking(descriptor, False)
    try:
        return os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return b""


def read_lines(descriptor: int) -> list[dict[str, object]]:
    """Return the lines written so far."""
    return [json.loads(line) for line in read_now(descriptor).splitlines()]


def test_lines_over_the_limit_per_second_are_dropped_and_their_count_is_logged() -> None:
    reader, writer = os.pipe()
    log = make_log(writer, 5)
    for number in range(20):
        log.emit(record(f"line {number}"))
    log.emit(record("a warning has a reserve", logging.WARNING))
    assert log.dropped == 15
    log.emit(record("next second", created=1001.0))
    log.flush()
    messages = [line["message"] for line in read_lines(reader)]
    assert messages[:5] == [f"line {number}" for number in range(5)]
    assert messages[5:] == ["a warning has a reserve", "log lines dropped", "next second"]


def test_a_full_pipe_does_not_block_and_the_buffer_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(linelog, "MAX_BUFFERED_BYTES", 256 * 1024)
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = make_log(writer, 10_000)
    for number in range(9_000):
        log.emit(record(f"{number} " + "x" * 200))
        log.flush()
    assert log.dropped > 0
    # Once the pipe is read, the buffered lines arrive complete and in order.
    received = b""
    while data := read_now(reader):
        received += data
        log.flush()
    lines = [json.loads(line) for line in received.splitlines()]
    numbers = [int(line["message"].split()[0]) for line in lines]
    assert numbers == sorted(numbers)
    assert len(numbers) + log.dropped == 9_000


def test_a_closed_reader_causes_no_error() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    log = make_log(writer, 5)
    log.emit(record("nobody reads this"))
    log.flush()
    log.flush()


def test_a_value_that_cannot_be_encoded_drops_only_its_own_line() -> None:
    reader, writer = os.pipe()
    log = make_log(writer, 5)
    bad = record("bad")
    bad.odd = object()
    log.emit(bad)
    log.emit(record("good"))
    log.flush()
    assert [line["message"] for line in read_lines(reader)][-1] == "good"


async def test_the_log_task_does_not_wake_up_while_nothing_is_logged(
    mock_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a periodic flush, which woke each of 100 processes 20 times a second."""
    mock_clock.autojump_threshold = 0
    reader, writer = os.pipe()
    log = make_log(writer, 5)
    flushes = 0
    flush = log.flush

    def count_flush() -> None:
        nonlocal flushes
        flushes += 1
        flush()

    monkeypatch.setattr(log, "flush", count_flush)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        await trio.sleep(100)
        assert flushes == 0
        log.emit(record("first"))
        log.emit(record("second"))
        await trio.sleep(100)
        assert flushes == 1
        assert [line["message"] for line in read_lines(reader)] == ["first", "second"]
        nursery.cancel_scope.cancel()
