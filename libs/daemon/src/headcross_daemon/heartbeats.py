"""Sends heartbeats of an upstream daemon to all entries.

A heartbeat is sent at once when the state of an upstream changes, otherwise once per period. The
period grows with the number of daemons (see `headcross_fleet.membership`). If a link was down, a
heartbeat is sent again after a short delay.
"""

from collections.abc import Callable
from typing import Final

import trio
from headcross_base.monotonic import monotonic
from headcross_fleet.documents import Documents
from headcross_fleet.membership import heartbeat_period
from headcross_native.hostlist import Host
from headcross_wire.peermessages import ShutdownNotice, Status, UpstreamStatus
from headcross_wire.peernode import PeerNode

# How often the progress of transfers is checked; other changes are sent at once.
PROGRESS_CHECK_SECONDS: Final = 1.0
RESEND_SECONDS: Final = 0.3
# Progress of a transfer is sent in steps of this share.
PROGRESS_STEP: Final = 0.1


class Heartbeats:
    """Reports the state of this daemon's upstreams to the entries."""

    # Number of heartbeats sent, over all entries.
    sent: int

    def __init__(
        self,
        host: str,
        incarnation: int,
        documents: Documents,
        node: PeerNode,
        report: Callable[[], list[UpstreamStatus]],
    ) -> None:
        self.sent = 0
        self._host = host
        self._incarnation = incarnation
        self._documents = documents
        self._node = node
        self._report = report
        self._sequence = 0
        self._changed = trio.Event()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        due_at = 0.0
        sent_state: object = None
        while True:
            state = self._urgent_state()
            if state != sent_state or monotonic() >= due_at:
                accepted_by_all = self.send()
                sent_state = state
                due_at = monotonic() + (self._period() if accepted_by_all else RESEND_SECONDS)
            with trio.move_on_after(min(PROGRESS_CHECK_SECONDS, max(0.0, due_at - monotonic()))):
                await self._changed.wait()
            self._changed = trio.Event()

    def notify_change(self) -> None:
        """Check at once whether anything changed that needs a heartbeat."""
        self._changed.set()

    def send(self) -> bool:
        """Send one heartbeat to every entry; return whether all links accepted it."""
        self._sequence += 1
        status = Status(
            host=self._host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            revision=self._documents.revision,
            hosts_revision=self._documents.hosts_revision,
            period=self._period(),
            upstreams=self._report(),
        )
        entries = self._entries()
        accepted = [self._node.send(entry.control_address, status) for entry in entries]
        self.sent += sum(accepted)
        return all(accepted)

    def send_shutdown_notice(self) -> None:
        """Notify the entries that this daemon shuts down."""
        for entry in self._entries():
            self._node.send(entry.control_address, ShutdownNotice(self._host, self._incarnation))

    def _urgent_state(self) -> tuple[object, ...]:
        """Return the state whose changes are sent at once."""
        upstreams = [
            (u.name, u.state, u.pool, u.digest, int(u.progress / PROGRESS_STEP))
            for u in self._report()
        ]
        entries = [entry.control for entry in self._entries()]
        return (self._documents.revisions, upstreams, entries)

    def _period(self) -> float:
        """Return the heartbeat period in seconds for the present number of daemons."""
        daemons = sum(host.role == "upstream" for host in self._documents.hosts.hosts)
        return heartbeat_period(daemons)

    def _entries(self) -> list[Host]:
        return [host for host in self._documents.hosts.hosts if host.role == "entry"]
