"""Obtains the chunk digests of versions from the origin or from other daemons.

Chunks are verified against digests, but nothing verifies the digests themselves. With digests that
were corrupted in transit, a daemon would wait for chunks that no other host has. Digests are
therefore accepted ("settled") only once two answers agree.

The digests of a version are small, but reading them twice in every process takes capacity of the
origin's link away from the chunks: 54 processes read 0.5 MB for one version, which is two thirds
of a second of a 5.94 Mbit/s link. So two daemons per region, the readers, read them and send them
to the others. If the readers do not answer, the next daemons in the region's order read as well.
"""

import logging
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure
from headcross_base.hashing import is_digest, rendezvous_order, rendezvous_weight
from headcross_base.monotonic import monotonic
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ChunkDigests
from headcross_wire.peermessages import AskDigests, KnownDigests
from headcross_wire.peernode import PeerNode, Reply

from headcross_renewal.sources import OriginSource
from headcross_renewal.weightsname import parse_weights_name, weights_name

ANSWERS_NEEDED: Final = 2
PEERS_ASKED: Final = 2
RETRY_SECONDS: Final = 0.25
# Number of daemons of a region that begin to read a version's digests from the origin together.
READERS_PER_STEP: Final = 2
# The next `READERS_PER_STEP` daemons begin to read after each such interval without an answer. An
# answer takes about 0.1 s: two reads of 4.5 KB, and a message within the region.
READER_STEP_SECONDS: Final = 0.35
# Interval between requests to readers. The first message to a process only opens the link.
ASK_INTERVAL_SECONDS: Final = 0.1
# Bounds on the requests that wait for digests to be settled here: more processes than a region
# has, and more versions than are named at a time.
MAX_REQUESTERS: Final = 64
MAX_REQUESTED_VERSIONS: Final = 8

logger = logging.getLogger(__name__)


class DigestRegistry:
    """The digests of versions that one process has obtained."""

    # The settled digests by version.
    settled: dict[LoadedModel, ChunkDigests]

    def __init__(
        self,
        origin: OriginSource,
        node: PeerNode,
        peers: Callable[[], list[Address]],
        host: str = "",
        region_peers: Callable[[LoadedModel], list[Address]] = lambda goal: [],
    ) -> None:
        """Create an empty registry.

        `peers` returns the daemons to ask when the origin fails. `host` is the IP address of this
        process. `region_peers` returns the daemons of its region that may have a version's digests
        or have to read them, including this process if it is such a daemon.
        """
        self.settled = {}
        self._origin = origin
        self._node = node
        self._peers = peers
        self._host = host
        self._region_peers = region_peers
        self._answers: dict[LoadedModel, Counter[ChunkDigests]] = {}
        self._settled_at: dict[LoadedModel, float] = {}  # monotonic
        # When the digests of a version were first requested here (monotonic).
        self._wanted_at: dict[LoadedModel, float] = {}
        # Replies to processes that wait for digests, by the host name in their request.
        self._requesters: dict[LoadedModel, dict[str, Reply]] = {}
        self._wake_event = trio.Event()

    async def obtain(self, goal: LoadedModel) -> ChunkDigests:
        """Return a version's digests, asking the region's readers or the origin until settled."""
        failures = 0
        while goal not in self.settled:
            readers = self._readers_to_wait_for(goal)
            if readers:
                self._ask(goal, readers)
                await self._wait(ASK_INTERVAL_SECONDS)
                continue
            outcome = await self._origin.read_digests(goal)
            if isinstance(outcome, Failure):
                if not failures:
                    fields = {"goal": weights_name(goal), "reason": outcome.detail}
                    logger.warning("digests not read", extra=fields)
                failures += 1
                peers = self._peers()
                self._ask(goal, random.sample(peers, min(PEERS_ASKED, len(peers))))
                await self._wait(RETRY_SECONDS * random.uniform(0.7, 1.3))
            else:
                self._count_answer(goal, outcome.value)
        return self.settled[goal]

    def retry(self) -> None:
        """Have all that wait for digests try again now, because the origin is known."""
        self._wake_event.set()
        self._wake_event = trio.Event()

    def settled_within(self, goal: LoadedModel, seconds: float) -> bool:
        """Return whether the digests of a version were settled in the last `seconds`."""
        return monotonic() - self._settled_at.get(goal, float("-inf")) < seconds

    def answer(self, request: AskDigests, reply: Reply) -> None:
        """Send a version's digests to another process, now or once they are settled here.

        A request beyond the bounds on waiting requests is ignored.
        """
        try:
            goal = parse_weights_name(request.weights)
        except ValueError:
            return
        digests = self.settled.get(goal)
        if digests is not None:
            reply(_digests_message(goal, digests), None)
            return
        if goal not in self._requesters and len(self._requesters) >= MAX_REQUESTED_VERSIONS:
            return
        requesters = self._requesters.setdefault(goal, {})
        if request.host in requesters or len(requesters) < MAX_REQUESTERS:
            requesters[request.host] = reply

    def receive(self, message: KnownDigests) -> None:
        """Accept digests from another process, and settle them unless others were settled before.

        Processes send only settled digests, so one message suffices. An invalid one is ignored.
        """
        try:
            goal = parse_weights_name(message.weights)
        except ValueError:
            return
        if not all(map(is_digest, message.digests)) or message.chunk_bytes < 1:
            return
        digests = ChunkDigests(message.chunk_bytes, tuple(message.digests))
        for _ in range(ANSWERS_NEEDED):
            self._count_answer(goal, digests)

    def _count_answer(self, goal: LoadedModel, digests: ChunkDigests) -> None:
        answers = self._answers.setdefault(goal, Counter())
        answers[digests] += 1
        if len(answers) > 1:
            logger.warning("digests differ", extra={"goal": weights_name(goal)})
        if answers[digests] >= ANSWERS_NEEDED and goal not in self.settled:
            self.settled[goal] = digests
            self._settled_at[goal] = monotonic()
            for reply in self._requesters.pop(goal, {}).values():
                reply(_digests_message(goal, digests), None)
            self.retry()

    def _readers_to_wait_for(self, goal: LoadedModel) -> list[Address]:
        """Return the readers to ask for digests; empty if this process is to read the origin."""
        now = monotonic()
        waited = now - self._wanted_at.setdefault(goal, now)
        daemons = {address.ip: address for address in self._region_peers(goal)}
        order = reader_order(goal, daemons)
        if may_read_origin(self._host, order, waited):
            return []
        step = int(waited / READER_STEP_SECONDS)
        if step == 0:
            # The readers' links are narrow, so each reader is asked by half of the processes.
            reader_rank = rendezvous_weight("reader", self._host) % len(order[:READERS_PER_STEP])
            return [daemons[order[reader_rank]]]
        # The readers of this step and of the previous one, whose answers may be late.
        asked = order[READERS_PER_STEP * (step - 1) : READERS_PER_STEP * (step + 1)]
        return [daemons[ip] for ip in asked]

    def _ask(self, goal: LoadedModel, peers: Iterable[Address]) -> None:
        for peer in peers:
            self._node.send(peer, AskDigests(weights_name(goal), self._host))

    async def _wait(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            await self._wake_event.wait()


def reader_order(goal: LoadedModel, daemons: Iterable[str]) -> list[str]:
    """Return the daemons of a region in the order in which they may read a version's digests."""
    return rendezvous_order(f"digests {weights_name(goal)}", daemons)


def may_read_origin(host: str, order: list[str], waited: float) -> bool:
    """Return whether a process may read the origin after waiting for `waited` seconds.

    A process that is not in the order, such as an entry, comes last.

    >>> may_read_origin("a", ["a", "b", "c"], 0.0), may_read_origin("c", ["a", "b", "c"], 0.0)
    (True, False)
    >>> may_read_origin("c", ["a", "b", "c"], READER_STEP_SECONDS)
    True
    """
    rank = order.index(host) if host in order else len(order)
    return waited >= rank // READERS_PER_STEP * READER_STEP_SECONDS


def _digests_message(goal: LoadedModel, digests: ChunkDigests) -> KnownDigests:
    return KnownDigests(weights_name(goal), digests.chunk_bytes, list(digests.digests))
