"""Heartbeats of an upstream daemon to all entries.

Sent at once when the state of an upstream changed, else once a period that grows with the fleet
(see `headcross_fleet.membership`). A heartbeat that found a link down is sent again soon.
"""

from collections.abc import Callable
from typing import Final

import trio
from headcross_base.clocks import monotonic
from headcross_fleet.documents import Documents
from headcross_fleet.membership import heartbeat_period
from headcross_native.hostlist import Host
from headcross_wire.peermessages import ShutdownNotice, Status, UpstreamStatus
from headcross_wire.peernode import PeerNode

# The progress of a transfer is looked at this often; other changes are told at once.
LOOK_SECONDS: Final = 1.0
RESEND_SECONDS: Final = 0.3
# Progress of a transfer is told in steps of this share.
PROGRESS_STEP: Final = 0.1


class Heartbeats:
    """Tells the entries of this daemon's upstreams."""

    # Heartbeats sent, over all entries.
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
        """Send until cancelled."""
        due_at = 0.0
        told: object = None
        while True:
            news = self._news()
            if news != told or monotonic() >= due_at:
                complete = self.send()
                told = news
                due_at = monotonic() + (self._period() if complete else RESEND_SECONDS)
            with trio.move_on_after(min(LOOK_SECONDS, max(0.0, due_at - monotonic()))):
                await self._changed.wait()
            self._changed = trio.Event()

    def tell_change(self) -> None:
        """Something worth telling at once may have changed."""
        self._changed.set()

    def send(self) -> bool:
        """Send one heartbeat to every entry; return whether all links took it."""
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
        taken = [self._node.send(entry.control_address, status) for entry in entries]
        self.sent += sum(taken)
        return all(taken)

    def say_goodbye(self) -> None:
        """Tell the entries that this daemon is gone."""
        for entry in self._entries():
            self._node.send(entry.control_address, ShutdownNotice(self._host, self._incarnation))

    def _news(self) -> tuple[object, ...]:
        """Return what is worth telling at once when it changes."""
        upstreams = [
            (u.name, u.state, u.pool, u.digest, int(u.progress / PROGRESS_STEP))
            for u in self._report()
        ]
        entries = [entry.control for entry in self._entries()]
        return (self._documents.revisions, upstreams, entries)

    def _period(self) -> float:
        daemons = sum(host.role == "upstream" for host in self._documents.hosts.hosts)
        return heartbeat_period(daemons)

    def _entries(self) -> list[Host]:
        return [host for host in self._documents.hosts.hosts if host.role == "entry"]
