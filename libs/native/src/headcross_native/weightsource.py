"""Client of the external sources of weights: the rate-limited weight store and the origin.

Assumed protocol (the real one is not specified yet), HTTP/1.1 with ranges (RFC 9110, section 14):

    GET /weights/NAME/manifest.json          the manifest
    GET /weights/NAME/files/PATH  + Range    bytes of one file; 429 with Retry-After when limited

NAME is the name in the fleet file. The sources are not trusted: the manifest must have the digest
in the fleet file, and each chunk the digest in the manifest.
"""

from dataclasses import dataclass
from typing import Final
from urllib.parse import quote

from headcross_base.addresses import Address
from headcross_base.decoding import parse_whole_number
from headcross_base.errorcodes import SOURCE_FAILED
from headcross_base.errors import Failure, Ok
from headcross_wire.httpclient import call

MAX_MANIFEST_BYTES: Final = 16 * 1024 * 1024
MANIFEST_TIMEOUT_SECONDS: Final = 30.0
DEFAULT_RETRY_AFTER_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class SourceBusy:
    """The source is at its limit; retry after `seconds`."""

    seconds: float


@dataclass(frozen=True, slots=True)
class WeightSource:
    """The store or the origin at one address."""

    name: str  # "store" or "origin", for state dumps and metrics
    address: Address

    async def read_manifest(self, weights: str) -> Ok[bytes] | SourceBusy | Failure:
        """Return the bytes of a manifest without verifying them."""
        target = f"/weights/{quote(weights, safe='')}/manifest.json"
        return await self._get(target, [], MANIFEST_TIMEOUT_SECONDS, MAX_MANIFEST_BYTES)

    async def read_range(
        self, weights: str, path: str, offset: int, size: int, seconds: float
    ) -> Ok[bytes] | SourceBusy | Failure:
        """Return `size` bytes of a file from `offset` on without verifying them."""
        target = f"/weights/{quote(weights, safe='')}/files/{quote(path)}"
        headers = [("range", f"bytes={offset}-{offset + size - 1}")]
        return await self._get(target, headers, seconds, size)

    async def _get(
        self, target: str, headers: list[tuple[str, str]], seconds: float, max_bytes: int
    ) -> Ok[bytes] | SourceBusy | Failure:
        outcome = await call(
            self.address, "GET", target, headers=headers, seconds=seconds, max_bytes=max_bytes
        )
        if isinstance(outcome, Failure):
            return outcome
        answer = outcome.value
        if answer.status in (429, 503):
            retry_after = parse_whole_number(dict(answer.headers).get("retry-after", ""))
            return SourceBusy(
                DEFAULT_RETRY_AFTER_SECONDS if retry_after is None else float(retry_after)
            )
        if answer.status not in (200, 206):
            return Failure(SOURCE_FAILED, f"{self.name}{target}: status {answer.status}")
        return Ok(answer.body)
