"""The digests of versions: from the origin, or from other daemons.

Everything else about weights is verified against digests, and nothing verifies them: an answer
that was spoilt on its way would leave a daemon alone with chunks that nobody has. So digests count
once two answers agree.

The digests of a version are small, but a fleet of processes that each read them twice takes the
origin's link from the chunks: 54 processes read 0.5 MB for one version, two thirds of a second of
a link of 5.94 Mbit/s. So two daemons of each region read them and tell the others, and the next
ones in the region's order stand in for daemons that stay silent.
"""

import logging
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.clocks import monotonic
from headcross_base.errors import Failure
from headcross_base.hashing import is_digest, rendezvous_order, rendezvous_weight
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ChunkDigests
from headcross_wire.peermessages import AskDigests, KnownDigests
from headcross_wire.peernode import PeerNode, Reply

from headcross_renewal.sources import OriginSource, read_weights_name, weights_name

ANSWERS_NEEDED: Final = 2
PEERS_ASKED: Final = 2
RETRY_SECONDS: Final = 0.25
# Daemons of a region that read the digests of a version from the origin at once.
READERS: Final = 2
# So many more of them read for every so many seconds in which none of the first told them. An
# answer takes 0.1 s or so: two reads of 4.5 KB, and a message within the region.
STAND_IN_SECONDS: Final = 0.35
# Readers are asked this often. The first message to a process only opens the link.
ASK_SECONDS: Final = 0.1
# Processes that are told digests as soon as they are settled here, and versions that they may ask
# for: more than a region has, and than are named at a time.
MAX_ASKERS: Final = 64
MAX_VERSIONS_ASKED: Final = 8

logger = logging.getLogger(__name__)


class DigestBook:
    """What one process knows of the digests of versions."""

    # Versions whose digests are settled.
    settled: dict[LoadedModel, ChunkDigests]

    def __init__(
        self,
        origin: OriginSource,
        node: PeerNode,
        peers: Callable[[], list[Address]],
        host: str = "",
        region_peers: Callable[[LoadedModel], list[Address]] = lambda goal: [],
    ) -> None:
        """Make an empty book.

        `peers` are daemons to ask when the origin fails, `host` is the IP number of this process,
        and `region_peers` returns the daemons of its region that may know a version's digests or
        are to read them, this one among them if it is one.
        """
        self.settled = {}
        self._origin = origin
        self._node = node
        self._peers = peers
        self._host = host
        self._region_peers = region_peers
        self._answers: dict[LoadedModel, Counter[ChunkDigests]] = {}
        self._settled_at: dict[LoadedModel, float] = {}  # monotonic
        # When the digests of a version were first wanted here (monotonic).
        self._wanted_at: dict[LoadedModel, float] = {}
        # Processes that wait for digests, by the host that each names.
        self._askers: dict[LoadedModel, dict[str, Reply]] = {}
        self._news = trio.Event()

    async def obtain(self, goal: LoadedModel) -> ChunkDigests:
        """Ask others or the origin, as the region's order says, until the digests are settled."""
        failures = 0
        while goal not in self.settled:
            readers = self._readers_to_wait_for(goal)
            if readers:
                self._ask(goal, readers)
                await self._wait_news(ASK_SECONDS)
                continue
            outcome = await self._origin.read_digests(goal)
            if isinstance(outcome, Failure):
                if not failures:
                    fields = {"goal": weights_name(goal), "reason": outcome.detail}
                    logger.warning("digests not read", extra=fields)
                failures += 1
                peers = self._peers()
                self._ask(goal, random.sample(peers, min(PEERS_ASKED, len(peers))))
                await self._wait_news(RETRY_SECONDS * random.uniform(0.7, 1.3))
            else:
                self._count(goal, outcome.value)
        return self.settled[goal]

    def settled_within(self, goal: LoadedModel, seconds: float) -> bool:
        """Tell whether the digests of a version were settled so lately."""
        return monotonic() - self._settled_at.get(goal, float("-inf")) < seconds

    def answer(self, question: AskDigests, reply: Reply) -> None:
        """Tell another process the digests of a version, now or once they are settled here."""
        try:
            goal = read_weights_name(question.weights)
        except ValueError:
            return
        digests = self.settled.get(goal)
        if digests is not None:
            reply(_known(goal, digests), None)
            return
        if goal not in self._askers and len(self._askers) >= MAX_VERSIONS_ASKED:
            return
        askers = self._askers.setdefault(goal, {})
        if question.host in askers or len(askers) < MAX_ASKERS:
            askers[question.host] = reply

    def receive(self, message: KnownDigests) -> None:
        """Take the word of a daemon; its digests were settled there."""
        try:
            goal = read_weights_name(message.weights)
        except ValueError:
            return
        if not all(map(is_digest, message.digests)) or message.chunk_bytes < 1:
            return
        digests = ChunkDigests(message.chunk_bytes, tuple(message.digests))
        for _ in range(ANSWERS_NEEDED):
            self._count(goal, digests)

    def _count(self, goal: LoadedModel, digests: ChunkDigests) -> None:
        answers = self._answers.setdefault(goal, Counter())
        answers[digests] += 1
        if len(answers) > 1:
            logger.warning("digests differ", extra={"goal": weights_name(goal)})
        if answers[digests] >= ANSWERS_NEEDED and goal not in self.settled:
            self.settled[goal] = digests
            self._settled_at[goal] = monotonic()
            for reply in self._askers.pop(goal, {}).values():
                reply(_known(goal, digests), None)
            self._news.set()
            self._news = trio.Event()

    def _readers_to_wait_for(self, goal: LoadedModel) -> list[Address]:
        """Return whom to ask while it is for others to read; empty if this process reads."""
        now = monotonic()
        waited = now - self._wanted_at.setdefault(goal, now)
        daemons = {address.ip: address for address in self._region_peers(goal)}
        order = reader_order(goal, daemons)
        if reads_now(self._host, order, waited):
            return []
        stage = int(waited / STAND_IN_SECONDS)
        if stage == 0:
            # Half of the processes ask one reader, half the other: their links are narrow.
            half = rendezvous_weight("reader", self._host) % len(order[:READERS])
            return [daemons[order[half]]]
        # Those whose turn it is now, and those before them, who may have been late.
        asked = order[READERS * (stage - 1) : READERS * (stage + 1)]
        return [daemons[ip] for ip in asked]

    def _ask(self, goal: LoadedModel, peers: Iterable[Address]) -> None:
        for peer in peers:
            self._node.send(peer, AskDigests(weights_name(goal), self._host))

    async def _wait_news(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            await self._news.wait()


def reader_order(goal: LoadedModel, daemons: Iterable[str]) -> list[str]:
    """Return the daemons of a region in the order in which they read a version's digests."""
    return rendezvous_order(f"digests {weights_name(goal)}", daemons)


def reads_now(host: str, order: list[str], waited: float) -> bool:
    """Tell whether a process reads from the origin that has waited for so many seconds.

    One that is not in the order, such as an entry, reads last.

    >>> reads_now("a", ["a", "b", "c"], 0.0), reads_now("c", ["a", "b", "c"], 0.0)
    (True, False)
    >>> reads_now("c", ["a", "b", "c"], STAND_IN_SECONDS)
    True
    """
    rank = order.index(host) if host in order else len(order)
    return waited >= rank // READERS * STAND_IN_SECONDS


def _known(goal: LoadedModel, digests: ChunkDigests) -> KnownDigests:
    return KnownDigests(weights_name(goal), digests.chunk_bytes, list(digests.digests))
