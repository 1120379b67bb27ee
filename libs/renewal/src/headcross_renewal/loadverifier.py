"""Reads back the staged chunks of loads that are not yet known to be intact.

If this process may have replaced a bad chunk after the replica had loaded it, the bad bytes are
put back: the staged chunks then show later processes that the load was not intact.
"""

import logging
from typing import Final

import trio
from headcross_base.monotonic import monotonic
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ChunkDigests, ReplicaControl

from headcross_renewal.digestregistry import DigestRegistry
from headcross_renewal.indoubt import InDoubtCalls
from headcross_renewal.loadkey import LoadKey, key_of
from headcross_renewal.reporting import Reporter
from headcross_renewal.staging import find_corrupt_chunks, put_back
from headcross_renewal.weightsname import weights_name

# Time limit of one attempt to obtain the loaded version's digests.
DIGESTS_TIMEOUT_SECONDS: Final = 1.0
CHECK_INTERVAL_SECONDS: Final = 0.3
# How long after its start a process waits for what running processes know of a load from before
# it, until it goes by the staged chunks. An entry whose link was lost tries again every 0.2 s.
OTHERS_HEARD_SECONDS: Final = 0.4

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
        self._others_heard_at = monotonic() + OTHERS_HEARD_SECONDS

    async def run(self) -> None:
        """Read back each load that needs it, until cancelled."""
        while True:
            report = self._reporter.report
            if report is not None and self._reporter.confirmation.needs_read_back(report):
                for held in report.loaded:
                    await self._verify(key_of(report), held)
            with trio.move_on_after(CHECK_INTERVAL_SECONDS):
                await self._reporter.wait_change()

    async def _verify(self, key: LoadKey, held: LoadedModel) -> None:
        """Read back one loaded version and record the outcome."""
        bad = await self._read_back(held)
        if bad is None:
            return
        confirmation = self._reporter.confirmation
        if confirmation.is_inherited:
            await trio.sleep(max(0.0, self._others_heard_at - monotonic()))
        report = self._reporter.report
        if report is None or not confirmation.needs_read_back(report):
            return
        put_until = self._in_doubt.puts_effective_until(held)
        if not bad and confirmation.put_since_load(put_until):
            await self._put_back_replaced(held)
        confirmation.note_read_back(key, bad, put_until)
        self._reporter.notify_listeners()

    async def _put_back_replaced(self, held: LoadedModel) -> None:
        """Put back the bad chunk that was replaced last, if it may have been loaded."""
        replaced = self._in_doubt.last_replaced
        if replaced is not None and replaced.goal == held:
            await put_back(self._replica, replaced)

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
