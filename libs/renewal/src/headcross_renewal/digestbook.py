"""The digests of versions: from the origin, or from other daemons while the origin is away.

Everything else about weights is verified against digests, and nothing verifies them: an answer
that was spoilt on its way would leave a daemon alone with chunks that nobody has. So digests count
once two answers agree.
"""

import logging
import random
from collections import Counter
from collections.abc import Callable
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure
from headcross_base.hashing import is_digest
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ChunkDigests
from headcross_wire.peermessages import AskDigests, KnownDigests
from headcross_wire.peernode import PeerNode, Reply

from headcross_renewal.sources import OriginSource, read_weights_name, weights_name

ANSWERS_NEEDED: Final = 2
PEERS_ASKED: Final = 2
RETRY_SECONDS: Final = 0.25

logger = logging.getLogger(__name__)


class DigestBook:
    """What one daemon knows of the digests of versions."""

    # Versions whose digests are settled.
    settled: dict[LoadedModel, ChunkDigests]

    def __init__(
        self, origin: OriginSource, node: PeerNode, peers: Callable[[], list[Address]]
    ) -> None:
        self.settled = {}
        self._origin = origin
        self._node = node
        self._peers = peers
        self._answers: dict[LoadedModel, Counter[ChunkDigests]] = {}

    async def obtain(self, goal: LoadedModel) -> ChunkDigests:
        """Ask the origin, and others when it fails, until the digests are settled."""
        failures = 0
        while goal not in self.settled:
            outcome = await self._origin.read_digests(goal)
            if isinstance(outcome, Failure):
                if not failures:
                    fields = {"goal": weights_name(goal), "reason": outcome.detail}
                    logger.warning("digests not read", extra=fields)
                failures += 1
                self._ask_others(goal)
                await trio.sleep(RETRY_SECONDS * random.uniform(0.7, 1.3))
            else:
                self._count(goal, outcome.value)
        return self.settled[goal]

    def answer(self, question: AskDigests, reply: Reply) -> None:
        """Tell another daemon the digests of a version, if they are settled here."""
        try:
            goal = read_weights_name(question.weights)
        except ValueError:
            return
        digests = self.settled.get(goal)
        if digests is not None:
            known = KnownDigests(question.weights, digests.chunk_bytes, list(digests.digests))
            reply(known, None)

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

    def _ask_others(self, goal: LoadedModel) -> None:
        peers = self._peers()
        for peer in random.sample(peers, min(PEERS_ASKED, len(peers))):
            self._node.send(peer, AskDigests(weights_name(goal)))
