"""What a daemon beside a replica keeps for entries: which requests replicas were lost under.

Entries know it from one another, and may all be killed at once. Daemons take no part in what
follows from it; they tell it to an entry that asks, which one does that has just started.
"""

from headcross_base.clocks import monotonic
from headcross_gateway.lossnews import SharedLosses
from headcross_wire.peermessages import LossNews
from headcross_wire.peernode import Reply


class LossKeeper:
    """The losses that one daemon was told."""

    def __init__(self) -> None:
        self._shared = SharedLosses()

    def hear(self, news: LossNews) -> None:
        """Take the news of an entry."""
        now = monotonic()
        self._shared.receive(news, now)
        self._shared.losses.expire(now)

    def answer(self, reply: Reply) -> None:
        """Tell an entry everything that is remembered, if there is anything."""
        now = monotonic()
        self._shared.losses.expire(now)
        news = self._shared.all_news(now)
        if news is not None:
            reply(news, None)

    def dump(self) -> int:
        """Return how many losses are remembered."""
        return len(self._shared.losses.losses())
