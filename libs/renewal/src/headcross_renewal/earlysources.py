"""Obtains digests and single chunks for the early repair, from entries and the origin.

Entries are asked first, since the link of the origin is narrow. They also tell the address of the
origin, which only the configuration contains; the configuration is too large to be read by every
daemon that starts.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

from headcross_base.addresses import Address, parse_address
from headcross_base.errors import Failure
from headcross_base.hashing import is_digest
from headcross_base.monotonic import monotonic
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ChunkDigests, WeightsOrigin
from headcross_wire.blockingpeers import BlockingPeers
from headcross_wire.peermessages import AskDigests, AskPlan, KnownDigests, KnownPlan

from headcross_renewal.stagedcopy import matches_digest
from headcross_renewal.weightsname import parse_weights_name, weights_name

ENTRIES_TIMEOUT_SECONDS: Final = 0.3
ASK_INTERVAL_SECONDS: Final = 0.3
# For so long only entries are asked for digests. Where all processes of a fleet start at once, the
# role takes over before, and then two daemons of each region read the origin for all others.
ENTRIES_ONLY_SECONDS: Final = 1.0
CHUNK_TIMEOUT_SECONDS: Final = 1.0
MAX_ENTRIES_ASKED: Final = 3
# Digests from the origin are accepted once as many answers agree, as they may be corrupt.
ANSWERS_NEEDED: Final = 2
MAX_DIGEST_READS: Final = 4


class EarlySources:
    """Entries and the origin, as known to a process that has just started."""

    def __init__(
        self,
        origin: WeightsOrigin,
        entries: Iterable[Address],
        source_ip: str,
        is_stopped: Callable[[], bool],
    ) -> None:
        """Open links to some entries; no call begins once `is_stopped` returns true."""
        self._origin = origin
        self._host = source_ip
        self._is_stopped = is_stopped
        self._origin_address: Address | None = None
        self._digests: dict[LoadedModel, ChunkDigests] = {}
        self._started_at = monotonic()
        self._asked_at = float("-inf")
        self._entries = BlockingPeers(list(entries)[:MAX_ENTRIES_ASKED], source_ip)

    def ask_entries(self, goals: Iterable[LoadedModel]) -> None:
        """Ask entries for what is not known yet, without waiting for the answers.

        An entry without a configuration answers nothing, so questions are repeated.
        """
        now = monotonic()
        if now - self._asked_at < ASK_INTERVAL_SECONDS:
            return
        self._asked_at = now
        if self._origin_address is None:
            self._entries.send(AskPlan())
        for goal in goals:
            if goal not in self._digests:
                self._entries.send(AskDigests(weights_name(goal), self._host))

    async def obtain_digests(
        self, goals: Iterable[LoadedModel]
    ) -> dict[LoadedModel, ChunkDigests]:
        """Return the digests of those versions for which they can be obtained now."""
        wanted = set(goals)
        self._receive(lambda: wanted <= self._digests.keys())
        if monotonic() - self._started_at >= ENTRIES_ONLY_SECONDS:
            for goal in wanted - self._digests.keys():
                await self._read_digests(goal)
        return {goal: self._digests[goal] for goal in wanted & self._digests.keys()}

    async def fetch_chunk(self, goal: LoadedModel, index: int) -> bytes | None:
        """Return a verified chunk from the origin, None if it cannot be had now.

        The digests of the version must have been obtained.
        """
        self._receive(lambda: self._origin_address is not None)
        if self._origin_address is None or self._is_stopped():
            return None
        data = await self._origin.read_chunk(
            self._origin_address, goal.model, goal.version, index, CHUNK_TIMEOUT_SECONDS
        )
        digests = self._digests[goal].digests
        if isinstance(data, Failure) or not matches_digest(data.value, index, digests):
            return None
        return data.value

    def close(self) -> None:
        """Close the links to entries."""
        self._entries.close()

    async def _read_digests(self, goal: LoadedModel) -> None:
        answers: Counter[ChunkDigests] = Counter()
        for _ in range(MAX_DIGEST_READS):
            if self._origin_address is None or self._is_stopped():
                return
            outcome = await self._origin.read_digests(
                self._origin_address, goal.model, goal.version
            )
            if isinstance(outcome, Failure):
                return
            answers[outcome.value] += 1
            if answers[outcome.value] >= ANSWERS_NEEDED:
                self._digests[goal] = outcome.value
                return

    def _receive(self, is_enough: Callable[[], bool]) -> None:
        """Handle answers of entries until there are enough, or the time limit is reached."""
        if is_enough():
            return
        for message in self._entries.receive(ENTRIES_TIMEOUT_SECONDS):
            if isinstance(message, KnownPlan):
                self._receive_plan(message)
            elif isinstance(message, KnownDigests):
                self._receive_digests(message)
            if is_enough() or self._is_stopped():
                return

    def _receive_plan(self, message: KnownPlan) -> None:
        try:
            self._origin_address = parse_address(message.plan.origin)
        except ValueError:
            return  # the configuration names no origin

    def _receive_digests(self, message: KnownDigests) -> None:
        try:
            goal = parse_weights_name(message.weights)
        except ValueError:
            return
        if all(map(is_digest, message.digests)) and message.chunk_bytes >= 1:
            digests = ChunkDigests(message.chunk_bytes, tuple(message.digests))
            self._digests.setdefault(goal, digests)
