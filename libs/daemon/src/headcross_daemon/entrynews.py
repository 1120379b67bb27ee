"""What an entry tells other processes of what its own requests taught it.

What is new is told at once: refused requests to the entries of the zone, lost replicas and what
replicas ask to all entries. A few daemons keep the losses for entries that start after all others
were killed. What still holds is told to a few entries each second: some may have started, or come
out of a cut.
"""

import random
from collections.abc import Callable
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.clocks import monotonic
from headcross_base.hashing import rendezvous_order
from headcross_gateway.containment import Containment
from headcross_gateway.directory import Directory
from headcross_gateway.overload import Overload
from headcross_gateway.replicanews import all_news, pending_news, receive_news
from headcross_gateway.replicastate import ReplicaState
from headcross_wire.peermessages import LossNews, RefusedNews, ReplicaNews
from headcross_wire.peernode import PeerNode

# What is learned of lost replicas is told at once, and what comes within so long then together.
TOLD_TOGETHER_SECONDS: Final = 0.1
# Daemons that are told what makes requests suspect; their links are narrow.
LOSS_KEEPERS: Final = 4
# How often news are sent to one whose link is not open, and how soon again.
TELL_TRIES: Final = 5
TELL_AGAIN_SECONDS: Final = 0.1
# Entries to which everything known of replicas is told again, each second.
REPEAT_NEWS_TO: Final = 3

Addresses = Callable[[], list[Address]]


class EntryNews:
    """The news of one entry.

    `entries` are the other entries known, `zone_entries` those of the own zone, and `daemons`
    those that the entry keeps itself informed by; daemons listen on `control_port`.
    """

    def __init__(
        self,
        node: PeerNode,
        directory: Directory,
        overload: Overload,
        containment: Containment,
        *,
        entries: Addresses,
        zone_entries: Addresses,
        daemons: Addresses,
        control_port: Callable[[], int],
    ) -> None:
        self._node = node
        self._directory = directory
        self._overload = overload
        self._containment = containment
        self._entries = entries
        self._zone_entries = zone_entries
        self._daemons = daemons
        self._control_port = control_port

    def receive_replica_news(self, news: ReplicaNews) -> list[ReplicaState]:
        """Take what another entry tells of replicas; return those of which it changes anything."""
        return receive_news(news, self._directory.find, monotonic())

    def tell_refused(self) -> None:
        """Tell the other entries of the zone what was refused here since the last time."""
        refused = self._overload.refused.take_pending()
        for address in self._zone_entries() if refused else []:
            self._node.send(address, RefusedNews(refused))

    async def tell_asked(self) -> None:
        """Tell what replicas have begun to ask of all entries, or no longer do."""
        news = pending_news(self._directory.states(), monotonic())
        if news is not None:
            await self._tell(news, [*self._entries(), *self._daemons_beside(news)])

    async def share_losses(self) -> None:
        """Tell all other entries, and a few daemons, what is learned here of lost replicas."""
        async with trio.open_nursery() as nursery:
            while True:
                news = await self._containment.wait_pending_news()
                nursery.start_soon(self._tell, news, self._entries())
                kept = self._containment.shared.suspect_news(monotonic())
                if kept is not None:
                    nursery.start_soon(self._tell, kept, self._keepers())
                await trio.sleep(TOLD_TOGETHER_SECONDS)

    def repeat(self) -> None:
        """Tell a few entries everything that holds of replicas."""
        now = monotonic()
        lost = self._containment.shared.all_news(now)
        asked = all_news(self._directory.states(), now)
        entries = self._entries()
        for address in random.sample(entries, min(REPEAT_NEWS_TO, len(entries))):
            for news in (lost, asked):
                if news is not None:
                    self._node.send(address, news)

    def _keepers(self) -> list[Address]:
        """Return daemons that keep losses for entries that start after all others were killed.

        All entries choose the same ones among the daemons that they keep themselves informed by.
        """
        daemons = {str(address): address for address in self._daemons()}
        return [daemons[name] for name in rendezvous_order("losses", daemons)[:LOSS_KEEPERS]]

    def _daemons_beside(self, news: ReplicaNews) -> list[Address]:
        """Return the daemons beside the replicas of some news that say that they leave."""
        leaving = {item.replica for item in news.items if item.leaving}
        port = self._control_port()
        replicas = self._directory.replicas_with_daemons()
        return [Address(r.address.ip, port) for r in replicas if r.id in leaving]

    async def _tell(self, news: LossNews | ReplicaNews, to: list[Address]) -> None:
        """Send news; where the first message only opens the link, send them again."""
        for _ in range(TELL_TRIES):
            to = [address for address in to if not self._node.send(address, news)]
            if not to:
                return
            await trio.sleep(TELL_AGAIN_SECONDS)
