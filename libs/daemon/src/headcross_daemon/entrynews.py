"""Sends other processes the news that an entry learned from its own requests.

News is sent at once: refused requests to the entries of the zone, lost replicas and the
backpressure of replicas to all entries. A few daemons keep the losses for entries that start after
all others were killed. News that is still valid is repeated to a few entries each second, since
some may have started or reconnected.
"""

import random
from collections.abc import Callable
from functools import partial
from typing import Final

import msgspec
import trio
from headcross_base.addresses import Address
from headcross_base.hashing import rendezvous_order
from headcross_base.monotonic import monotonic
from headcross_base.supervision import run_guarded
from headcross_gateway.containment import Containment
from headcross_gateway.directory import Directory
from headcross_gateway.overload import Overload
from headcross_gateway.replicanews import all_news, pending_news, receive_news
from headcross_gateway.replicastate import ReplicaState
from headcross_wire.peermessages import AskLosses, LossNews, RefusedNews, ReplicaNews
from headcross_wire.peernode import PeerNode, Reply

# After news of lost replicas is sent, later news is collected for this long and sent together.
NEWS_BATCH_SECONDS: Final = 0.1
# Number of daemons that keep the losses that make requests suspect. Few, as the links of daemons
# have little bandwidth.
DAEMONS_FOR_LOSSES: Final = 4
# Number of attempts to send news to a peer whose link is not open yet, and their interval.
MAX_SEND_ATTEMPTS: Final = 5
SEND_RETRY_SECONDS: Final = 0.1
# Number of entries to which all valid news is repeated, once a second, and number of those that an
# entry asks which may have missed news.
ENTRIES_PER_REPEAT: Final = 3
ENTRIES_ASKED: Final = 5

ListAddresses = Callable[[], list[Address]]


class EntryNews:
    """Sends the news of one entry.

    `entries` returns the other known entries, `zone_entries` those in the entry's own zone, and
    `daemons` the daemons in its subset. Daemons listen on `control_port`.
    """

    def __init__(
        self,
        node: PeerNode,
        directory: Directory,
        overload: Overload,
        containment: Containment,
        *,
        entries: ListAddresses,
        zone_entries: ListAddresses,
        daemons: ListAddresses,
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
        self._entries_before: list[Address] = []

    def receive_replica_news(self, news: ReplicaNews) -> list[ReplicaState]:
        """Record news of replicas from another entry; return the replicas whose state changed."""
        return receive_news(news, self._directory.find, monotonic())

    def send_refused(self) -> None:
        """Send the requests refused here since the last call to the other entries of the zone."""
        refused = self._overload.refused.take_pending()
        for address in self._zone_entries() if refused else []:
            self._node.send(address, RefusedNews(refused))

    async def send_replica_news(self) -> None:
        """Send changes in the backpressure of replicas to all entries.

        Changes for leaving replicas are also sent to the daemons beside them.
        """
        news = pending_news(self._directory.states(), monotonic())
        if news is not None:
            await self._send(news, [*self._entries(), *self._daemons_beside(news)])

    async def send_losses(self) -> None:
        """Send news of lost replicas to all other entries and a few daemons, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                news = await self._containment.wait_pending_news()
                send = partial(self._send, news, self._entries())
                nursery.start_soon(run_guarded, "send losses", send)
                suspect_news = self._containment.shared.suspect_news(monotonic())
                if suspect_news is not None:
                    send = partial(self._send, suspect_news, self._daemons_for_losses())
                    nursery.start_soon(run_guarded, "send losses", send)
                await trio.sleep(NEWS_BATCH_SECONDS)

    def ask_losses(self, number: int) -> bool:
        """Ask some other entries for the losses they know; return whether any entry is known.

        `number` identifies the question.
        """
        # Right after a pause, what was known of other entries has expired.
        entries = self._entries_before = self._entries() or self._entries_before
        asked = min(ENTRIES_ASKED, len(entries)) if self._node.is_running else 0
        for address in random.sample(entries, asked):
            self._node.send(address, AskLosses(number))
        return bool(entries)

    def answer_losses(self, asked: AskLosses, reply: Reply) -> None:
        """Answer an entry that asked for all losses."""
        news = self._containment.shared.all_news(monotonic()) or LossNews()
        reply(msgspec.structs.replace(news, answered_number=asked.number), None)

    def repeat_news(self) -> None:
        """Send all news that is still valid to a few entries selected at random."""
        now = monotonic()
        loss_news = self._containment.shared.all_news(now)
        replica_news = all_news(self._directory.states(), now)
        entries = self._entries()
        self._entries_before = entries or self._entries_before
        for address in random.sample(entries, min(ENTRIES_PER_REPEAT, len(entries))):
            for news in (loss_news, replica_news):
                if news is not None:
                    self._node.send(address, news)

    def _daemons_for_losses(self) -> list[Address]:
        """Return the daemons that keep losses for entries that start after all others were killed.

        Rendezvous hashing makes all entries choose the same ones among the daemons they share.
        """
        daemons = {str(address): address for address in self._daemons()}
        return [daemons[name] for name in rendezvous_order("losses", daemons)[:DAEMONS_FOR_LOSSES]]

    def _daemons_beside(self, news: ReplicaNews) -> list[Address]:
        """Return the daemons beside the leaving replicas in `news`."""
        leaving = {item.replica for item in news.items if item.leaving}
        port = self._control_port()
        replicas = self._directory.replicas_with_daemons()
        return [Address(r.address.ip, port) for r in replicas if r.id in leaving]

    async def _send(self, news: LossNews | ReplicaNews, to: list[Address]) -> None:
        """Send news; retry at peers that did not accept it.

        The first message to a peer only opens the link.
        """
        for _ in range(MAX_SEND_ATTEMPTS):
            to = [address for address in to if not self._node.send(address, news)]
            if not to:
                return
            await trio.sleep(SEND_RETRY_SECONDS)
