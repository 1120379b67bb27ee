"""Decides which requests a stopping server still runs, and when it has answered everyone.

A server that stops accepts connections for a while. Afterwards callers may still send requests on
connections that they opened before: they may be slow, or this process may read late because it was
frozen or is overloaded. The decisions are plain functions over facts and moments, which are in
seconds on one clock.
"""

from dataclasses import dataclass
from typing import Final

# For this long after accepting ended, the first request of a connection is run, and a connection
# that has not had one is waited for.
FIRST_REQUEST_SECONDS: Final = 3.0
# The same for further requests of a connection, which were under way when accepting ended.
NEXT_REQUEST_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class ConnectionFacts:
    """What a stopping server knows of one open connection."""

    had_request: bool  # a request was read from it completely
    is_waiting: bool  # for the first byte of a request, none of which has arrived
    has_input: bool  # bytes have arrived that were not read yet


def may_run(now: float, accept_ended_at: float | None, *, had_request: bool) -> bool:
    """Return whether a request is run whose first byte is read now.

    `accept_ended_at` is None while connections are accepted.

    >>> may_run(12.0, None, had_request=True)
    True
    >>> may_run(12.0, 10.0, had_request=False), may_run(12.0, 10.0, had_request=True)
    (True, False)
    """
    if accept_ended_at is None:
        return True
    return now - accept_ended_at <= _allowed_seconds(had_request=had_request)


def is_expected(connection: ConnectionFacts, now: float, accept_ended_at: float) -> bool:
    """Return whether a stopping server waits for a connection.

    It does while a request is read or answered there, and while one may come that is still run.

    >>> is_expected(ConnectionFacts(True, True, False), 10.4, 10.0)
    True
    >>> is_expected(ConnectionFacts(True, True, False), 10.6, 10.0)
    False
    >>> is_expected(ConnectionFacts(True, True, True), 10.6, 10.0)
    True
    """
    if not connection.is_waiting or connection.has_input:
        return True
    return now - accept_ended_at <= _allowed_seconds(had_request=connection.had_request)


def _allowed_seconds(*, had_request: bool) -> float:
    return NEXT_REQUEST_SECONDS if had_request else FIRST_REQUEST_SECONDS
