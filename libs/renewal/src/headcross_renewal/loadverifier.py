"""Reads back the staged chunks of loads that are not yet known to be intact."""

import logging
from typing import Final

import trio
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ChunkDigests, ReplicaControl

from headcross_renewal.digestregistry import DigestRegistry
from headcross_renewal.indoubt import InDoubtCalls
from headcross_renewal.loadkey import key_of
from headcross_renewal.reporting import Reporter
from headcross_renewal.staging import find_corrupt_chunks
from headcross_renewal.weightsname import weights_name

# Time limit of one attempt to obtain the loaded version's digests.
DIGESTS_TIMEOUT_SECONDS: Final = 1.0
CHECK_INTERVAL_SECONDS: Final = 0.3

logger = logging.getLogger(__name__)


class LoadVerifier:
    """Reads back one replica's loads and records the outcome."""

    def __init__(
        self,
        replica: ReplicaControl,
        reporter: Reporter,
        digests: DigestRegistry,
        in_doubt: InDoubtCalls,
    ) -> None:
        self._replica = replica
        self._reporter = reporter
        self._digests = digests
        self._in_doubt = in_doubt

    async def run(self) -> None:
        """Read back each load that needs it, until cancelled."""
        while True:
            report = self._reporter.report
            if report is not None and self._reporter.confirmation.needs_read_back(report):
                key = key_of(report)
                for held in report.loaded:
                    bad = await self._read_back(held)
                    if bad is not None:
                        last_put_at = self._in_doubt.last_put_at
                        self._reporter.confirmation.note_read_back(key, bad, last_put_at)
                        self._reporter.notify_listeners()
            with trio.move_on_after(CHECK_INTERVAL_SECONDS):
                await self._reporter.wait_change()

    async def _read_back(self, held: LoadedModel) -> frozenset[int] | None:
        """Return the indexes of bad chunks; None without digests or if a chunk is unreadable."""
        digests: ChunkDigests | None = None
        with trio.move_on_after(DIGESTS_TIMEOUT_SECONDS):
            digests = await self._digests.obtain(held)
        if digests is None:
            return None
        bad = await find_corrupt_chunks(self._replica, held.model, digests.digests)
        fields = {"held": weights_name(held), "bad": None if bad is None else sorted(bad)}
        logger.info("load read back", extra=fields)
        return bad
