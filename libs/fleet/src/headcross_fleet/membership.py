"""Tracks the state of upstreams from the heartbeats of their daemons.

As its heartbeat, an upstream daemon sends its status to every entry: at once after a change, else
once per period. The period grows with the fleet, so that an entry receives at most about
`STATUS_PER_SECOND` heartbeats a second. Messages of an older incarnation or out of order are
dropped. A daemon whose heartbeat is overdue is silent: it is suspect but may be alive. Its last
status stays until its next message or until it is removed from the host list.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import msgspec
from headcross_base.monotonic import monotonic
from headcross_wire.peermessages import Status, UpstreamStatus

# Heartbeats that an entry should receive per second; with 300 daemons each sends one every 15 s.
# The limit is processor time, see docs/CAPACITY.md, heartbeats.
STATUS_PER_SECOND: Final = 20.0
MIN_PERIOD_SECONDS: Final = 1.0
MAX_PERIOD_SECONDS: Final = 20.0
# A heartbeat is overdue after this number of periods.
MAX_SILENT_PERIODS: Final = 2.5


def heartbeat_period(daemons: int) -> float:
    """Return the seconds between two heartbeats of one daemon if there are `daemons` of them.

    >>> heartbeat_period(6), heartbeat_period(300)
    (1.0, 15.0)
    """
    return min(MAX_PERIOD_SECONDS, max(MIN_PERIOD_SECONDS, daemons / STATUS_PER_SECOND))


@dataclass(frozen=True, slots=True)
class PoolRow:
    """The last known state of one upstream."""

    upstream: str
    pool: str
    state: str
    digest: str
    revision: int  # fleet file in force at that daemon
    hosts_revision: int  # host list in force at that daemon
    age: float  # seconds since its last heartbeat
    silent: bool  # whether the next heartbeat is overdue


@dataclass(slots=True)
class DaemonStatus:
    """The last status of one daemon and when it was received (monotonic)."""

    status: Status
    received_at: float

    def age(self) -> float:
        """Return the seconds since the last heartbeat."""
        return monotonic() - self.received_at

    def silent(self) -> bool:
        """Return whether the next heartbeat is overdue."""
        return self.age() > MAX_SILENT_PERIODS * self.status.period


class StatusTable:
    """The last status of every upstream daemon."""

    # Number of messages dropped because a newer one had arrived before.
    stale: int

    def __init__(self) -> None:
        self.stale = 0
        self._daemons: dict[str, DaemonStatus] = {}

    def record(self, status: Status) -> bool:
        """Record a status unless a newer one is known; return whether it was recorded."""
        known = self._daemons.get(status.host)
        if known is not None and _order_key(status) <= _order_key(known.status):
            self.stale += 1
            return False
        self._daemons[status.host] = DaemonStatus(status, monotonic())
        return True

    def mark_departed(self, host: str, incarnation: int) -> None:
        """Drop the upstreams of a daemon that has announced its end, unless it has restarted.

        Delayed messages of this or an earlier incarnation are ignored from now on.
        """
        known = self._daemons.get(host)
        if known is not None and known.status.incarnation <= incarnation:
            departed = msgspec.structs.replace(
                known.status, incarnation=incarnation, sequence=2**62, period=1e9, upstreams=[]
            )
            self._daemons[host] = DaemonStatus(departed, monotonic())

    def drop_silent_unlisted(self, hosts: set[str]) -> None:
        """Drop silent daemons that are not among the listed hosts."""
        for name in list(self._daemons):
            if name not in hosts and self._daemons[name].silent():
                del self._daemons[name]

    def daemon(self, host: str) -> DaemonStatus | None:
        """Return the last status of a daemon, None if there is none."""
        return self._daemons.get(host)

    def daemons(self) -> Iterator[tuple[str, DaemonStatus]]:
        """Yield the name and the last status of every known daemon."""
        yield from self._daemons.items()

    def upstreams(self) -> Iterator[tuple[DaemonStatus, UpstreamStatus]]:
        """Yield every known upstream with its daemon."""
        for daemon in self._daemons.values():
            for upstream in daemon.status.upstreams:
                yield daemon, upstream

    def pool_rows(self, pool: str) -> dict[str, PoolRow]:
        """Return the state of the upstreams in a pool, by upstream name."""
        return {u.name: _make_row(d, u) for d, u in self.upstreams() if u.pool == pool}

    def named_rows(self, names: list[str]) -> dict[str, PoolRow]:
        """Return the state of these upstreams, in whatever pool, by name; omit unknown ones."""
        wanted = set(names)
        return {u.name: _make_row(d, u) for d, u in self.upstreams() if u.name in wanted}


def _make_row(daemon: DaemonStatus, upstream: UpstreamStatus) -> PoolRow:
    return PoolRow(
        upstream=upstream.name,
        pool=upstream.pool,
        state=upstream.state,
        digest=upstream.digest,
        revision=daemon.status.revision,
        hosts_revision=daemon.status.hosts_revision,
        age=daemon.age(),
        silent=daemon.silent(),
    )


def _order_key(status: Status) -> tuple[int, int]:
    """Return a key by which the messages of one daemon are in the order of sending."""
    return status.incarnation, status.sequence
