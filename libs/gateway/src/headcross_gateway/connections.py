"""Pools connections to replicas; opens a new one where a dead connection would do harm."""

from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_wire.httpclient import Answer, HttpConnection, connect

CONNECT_SECONDS: Final = 0.6
# Maximum idle time of a connection, unless the replica's own limit is shorter.
IDLE_SECONDS: Final = 4.0
# A connection is closed this long before the replica's own limit.
IDLE_MARGIN_SECONDS: Final = 1.0
MAX_IDLE_PER_REPLICA: Final = 24


@dataclass(slots=True)
class _Idle:
    connection: HttpConnection
    until: float  # trio's clock


class ReplicaConnections:
    """The pool of idle connections of one entry."""

    # Number of connections opened so far, each of which has a cost.
    opened: int

    def __init__(self) -> None:
        self.opened = 0
        self._idle: dict[Address, list[_Idle]] = {}
        self._forgotten: list[_Idle] = []

    async def take(self, address: Address, *, fresh: bool) -> HttpConnection:
        """Return a connection; with `fresh`, one that has never carried a request.

        Raises ConnectError if none can be opened within CONNECT_SECONDS.
        """
        if not fresh:
            kept = await self._take_idle(address)
            if kept is not None:
                return kept
        self.opened += 1
        return await connect(address, CONNECT_SECONDS)

    async def give(self, connection: HttpConnection, answer: Answer) -> None:
        """Keep a connection for the next request, or close it if reuse is not safe."""
        seconds = _idle_seconds(answer)
        idle = self._idle.setdefault(connection.address, [])
        if seconds <= 0 or len(idle) >= MAX_IDLE_PER_REPLICA or not connection.reusable():
            await connection.close()
            return
        idle.append(_Idle(connection, trio.current_time() + seconds))

    def forget(self, address: Address) -> None:
        """Drop the idle connections to an address whose replica has ended.

        If the machine lost power, the connections are never closed from the other side.
        """
        self._forgotten += self._idle.pop(address, [])

    async def close_expired(self) -> None:
        """Close connections that were dropped or idle for too long; remove empty addresses."""
        while self._forgotten:
            await self._forgotten.pop().connection.close()
        now = trio.current_time()
        for address, idle in list(self._idle.items()):
            expired = [entry for entry in idle if entry.until <= now]
            self._idle[address] = [entry for entry in idle if entry.until > now]
            if not self._idle[address]:
                del self._idle[address]
            for entry in expired:
                await entry.connection.close()

    async def _take_idle(self, address: Address) -> HttpConnection | None:
        idle = self._idle.get(address, [])
        while idle:
            entry = idle.pop()
            if entry.until > trio.current_time() and entry.connection.has_no_input():
                return entry.connection
            await entry.connection.close()
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
        if name.lower() == "timeout" and value.isdecimal():
            return min(IDLE_SECONDS, int(value) - IDLE_MARGIN_SECONDS)
    return IDLE_SECONDS
