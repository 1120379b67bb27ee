"""Keeps the staged chunks of a loaded version intact while the process that knows of it runs.

Staged chunks can turn bad at any time. Once all processes that know that a load was intact are
gone, its staged chunks are all that is left to show it. So while nothing else is to be done, a few
of them are checked at a time, and those that turned bad are replaced from this process's memory.
"""

import logging
from typing import Final

from headcross_base.errors import Failure
from headcross_base.monotonic import monotonic
from headcross_facts.loadevidence import LoadStatus
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaControl
from headcross_weights.chunkstore import StoredArtifact

from headcross_renewal.indoubt import InDoubtCalls
from headcross_renewal.reporting import Reporter
from headcross_renewal.stagedcopy import matches_digest
from headcross_renewal.staging import Staging
from headcross_renewal.weightsname import weights_name

# Number of chunks that are checked at a time; the renewer calls about twice a second.
CHUNKS_AT_A_TIME: Final = 2

logger = logging.getLogger(__name__)


class StagedUpkeep:
    """Checks the staged chunks of one replica's loaded version, in turn."""

    def __init__(
        self, replica: ReplicaControl, reporter: Reporter, in_doubt: InDoubtCalls
    ) -> None:
        self._replica = replica
        self._reporter = reporter
        self._in_doubt = in_doubt
        self._stored: dict[LoadedModel, StoredArtifact] = {}
        self._next_index = 0

    def keep(self, held: LoadedModel, stored: StoredArtifact) -> None:
        """Keep the staged chunks of a loaded version intact from now on, and of no other one."""
        self._stored = {held: stored}

    async def check_next(self) -> None:
        """Check the next chunks; does nothing unless the load is known to be intact.

        Must not be called while chunks of another version are being staged.
        """
        for held, stored in self._stored.items():
            for _ in range(CHUNKS_AT_A_TIME):
                if not self._is_due(held):
                    return
                self._next_index = (self._next_index + 1) % len(stored.locations)
                await self._check(held, stored, self._next_index)

    def _is_due(self, held: LoadedModel) -> bool:
        report = self._reporter.report
        if report is None or report.busy_loading or held not in report.loaded:
            return False
        # What the platform loaded needs no staged chunks to show that it is intact.
        if report.order_sequence == 0 or self._in_doubt.load_possible(monotonic()):
            return False
        return self._reporter.confirmation.status is LoadStatus.CONFIRMED

    async def _check(self, held: LoadedModel, stored: StoredArtifact, index: int) -> None:
        digests = [location.digest for location in stored.locations]
        data = await self._replica.read_chunk(held.model, index)
        if isinstance(data, Failure):
            return
        if data.value is not None and matches_digest(data.value, index, digests):
            return
        is_replaced = await Staging(held, self._replica, self._in_doubt).restage(stored, index)
        fields = {"held": weights_name(held), "chunk": index, "replaced": is_replaced}
        logger.warning("chunk of a loaded version bad", extra=fields)
