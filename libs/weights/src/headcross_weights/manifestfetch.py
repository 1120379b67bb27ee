"""Obtains the manifest of one artifact from other hosts or from a weight source.

A neighbour that receives a join without a bitmap sends the manifest as soon as it has it. The
hosts that import the manifest first need not be neighbours, so they are asked as well. Every
manifest is verified against the artifact's digest.
"""

import random
from typing import Final

import trio
from headcross_base.errors import Failure, Ok
from headcross_base.monotonic import monotonic
from headcross_fleet.fleetfile import Artifact

from headcross_weights.imports import Importer
from headcross_weights.manifest import parse_manifest

# Average interval between the requests for the manifest to other hosts.
QUERY_INTERVAL_SECONDS: Final = 0.2


class ManifestFetch:
    """Waits for the manifest of one artifact, or imports it."""

    # The verified bytes, None until received.
    body: bytes | None
    # Text of the last error, empty if there was none.
    last_error: str

    def __init__(self, artifact: Artifact, importer: Importer) -> None:
        self.body = None
        self.last_error = ""
        self._artifact = artifact
        self._importer = importer
        self._started_at = monotonic()
        self._received = trio.Event()

    def offer(self, body: bytes) -> bool:
        """Accept a manifest from a neighbour; return whether it is valid."""
        if not isinstance(parse_manifest(body, self._artifact.digest), Ok):
            return False
        self.body = body
        self._received.set()
        return True

    async def wait_or_import(self, import_delay_seconds: float) -> bytes | None:
        """Return the manifest; wait briefly for another host to send it if it is not known.

        Tries to import it first if `import_delay_seconds` have passed since the start. Returns
        None if there is none yet; the caller then asks the other hosts again.
        """
        if monotonic() - self._started_at >= import_delay_seconds:
            await self._import()
        if self.body is None:
            with trio.move_on_after(QUERY_INTERVAL_SECONDS * random.uniform(0.5, 1.5)):
                await self._received.wait()
        return self.body

    async def _import(self) -> None:
        outcome = await self._importer.read_manifest(self._artifact.name)
        if isinstance(outcome, Failure):
            self.last_error = str(outcome)
            return
        source, body = outcome.value
        checked = parse_manifest(body, self._artifact.digest)
        if isinstance(checked, Failure):
            self._importer.report_corrupt(source, str(checked))
            self.last_error = f"{source.name}: {checked}"
            return
        self.body = body
