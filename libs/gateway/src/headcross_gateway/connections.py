"""Pools connections to replicas.

A request that may not be sent again gets a new connection: if it were sent over a pooled one that
is dead, it could have run for all the entry knows, and would fail.
"""

from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.decoding import parse_whole_number
from headcross_wire.httpclient import HttpConnection, connect
from headcross_wire.httpcodec import Answer

CONNECT_SECONDS: Final = 0.6
# Maximum idle time of a connection, unless the replica's own limit is shorter.
IDLE_SECONDS: Final = 4.0
# A connection is closed this long before the replica's own limit.
IDLE_MARGIN_SECONDS: Final = 1.0
MAX_IDLE_PER_REPLICA: Final = 24


@dataclass(slots=True)
class _IdleConnection:
    connection: HttpConnection
    until: float  # trio's clock


class ReplicaConnections:
    """The pool of idle connections of one entry."""

    # Number of connections opened so far; opening one has a cost.
    opened: int

    def __init__(self) -> None:
        self.opened = 0
        self._idle: dict[Address, list[_IdleConnection]] = {}
        self._dropped: list[_IdleConnection] = []

    async def take(self, address: Address, *, fresh: bool) -> HttpConnection:
        """Return an idle connection or a new one; with `fresh`, always a new one.

        Raises ConnectError if none can be opened within CONNECT_SECONDS.
        """
        if not fresh:
            reused = await self._take_idle(address)
            if reused is not None:
                return reused
        self.opened += 1
        return await connect(address, CONNECT_SECONDS)

    async def give(self, connection: HttpConnection, answer: Answer) -> None:
        """Keep a connection for the next request, or close it if reuse is not safe."""
        seconds = _idle_seconds(answer)
        idle = self._idle.setdefault(connection.address, [])
        if seconds <= 0 or len(idle) >= MAX_IDLE_PER_REPLICA or not connection.reusable():
            await connection.close()
            return
        idle.append(_IdleConnection(connection, trio.current_time() + seconds))

    def forget(self, address: Address) -> None:
        """Drop the idle connections to an address whose replica has ended.

        If its machine lost power, the other side never closes them.
        """
        self._dropped += self._idle.pop(address, [])

    async def close_expired(self) -> None:
        """Close connections that were dropped or idle for too long; remove empty addresses."""
        while self._dropped:
            await self._dropped.pop().connection.close()
        now = trio.current_time()
        for address, idle in list(self._idle.items()):
            expired = [pooled for pooled in idle if pooled.until <= now]
            self._idle[address] = [pooled for pooled in idle if pooled.until > now]
            if not self._idle[address]:
                del self._idle[address]
            for pooled in expired:
                await pooled.connection.close()

    async def _take_idle(self, address: Address) -> HttpConnection | None:
        idle = self._idle.get(address, [])
        while idle:
            pooled = idle.pop()
            if pooled.until > trio.current_time() and pooled.connection.has_no_input():
                return pooled.connection
            await pooled.connection.close()
        return None


def _idle_seconds(answer: Answer) -> float:
    """Return how long a connection may be kept idle after this answer, in seconds.

    >>> _idle_seconds(Answer(200, [("keep-alive", "timeout=2")]))
    1.0
    >>> _idle_seconds(Answer(200, [("connection", "close")]))
    0.0
    """
    if (answer.header("connection") or "").lower() == "close":
        return 0.0
    for part in (answer.header("keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = parse_whole_number(value) if name.lower() == "timeout" else None
        if seconds is not None:
            return min(IDLE_SECONDS, seconds - IDLE_MARGIN_SECONDS)
    return IDLE_SECONDS
