"""Keeps news of lost replicas, and of the requests that ran there, at a daemon beside a replica.

Entries exchange this news among themselves, but may all be killed at once. Daemons store the news
without acting on it, and send it to entries that ask for it, which they do after a start.
"""

from headcross_base.monotonic import monotonic
from headcross_gateway.lossnews import SharedLosses
from headcross_wire.peermessages import LossNews
from headcross_wire.peernode import Reply


class LossRegistry:
    """The losses reported to one daemon."""

    def __init__(self) -> None:
        self._shared = SharedLosses()

    def receive(self, news: LossNews) -> None:
        """Record the news sent by an entry."""
        now = monotonic()
        self._shared.receive(news, now)
        self._shared.losses.expire(now)

    def answer(self, reply: Reply) -> None:
        """Reply to an entry with all losses that have not expired, if there are any."""
        now = monotonic()
        self._shared.losses.expire(now)
        news = self._shared.all_news(now)
        if news is not None:
            reply(news, None)

    def count(self) -> int:
        """Return the number of losses held."""
        return len(self._shared.losses.losses())
