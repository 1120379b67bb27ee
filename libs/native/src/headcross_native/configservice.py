"""Client of the platform's configuration service, which can only be read and watched.

Assumed protocol (the real one is not specified yet), HTTP/1.1:

    GET /v1/documents/KEY                       200, `Revision: N`, the body; or 404
    GET /v1/documents/KEY?after=N&wait=SECONDS  the same once the revision is above N, else 304

A `Repr-Digest: sha-256=:BASE64:` header (RFC 9530) is verified if the service sends one, so that a
body corrupted in transit is never accepted as the operators' file.

Values have at most 1 MiB. Every call counts against a budget that all readers share, and a pending
watch counts as one call, so `headcross_fleet` decides which process reads and how often.
"""

import base64
import hashlib
from dataclasses import dataclass
from typing import Final

from headcross_base.addresses import Address
from headcross_base.decoding import parse_whole_number
from headcross_base.errorcodes import SOURCE_FAILED
from headcross_base.errors import Failure, Ok
from headcross_wire.httpclient import call

FLEET_KEY: Final = "fleet"  # the fleet file, TOML
HOSTS_KEY: Final = "hosts"  # the host list, JSON
KEYS: Final = (FLEET_KEY, HOSTS_KEY)

MAX_DOCUMENT_BYTES: Final = 1024 * 1024  # largest value that the service holds
READ_TIMEOUT_SECONDS: Final = 2.0  # the service normally answers within milliseconds


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One revision of one document."""

    key: str
    revision: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The service has no revision above the requested one."""

    key: str


class ConfigService:
    """Reads documents, switching to the service's next address after a failed call."""

    # Number of calls made; each counts against the service's budget.
    reads: int

    def __init__(self, addresses: list[Address]) -> None:
        self.reads = 0
        self._addresses = addresses
        self._address_index = 0

    async def read(self, key: str) -> Ok[Snapshot] | Failure:
        """Return the current revision of a document, or why it could not be read."""
        outcome = await self._get(key, f"/v1/documents/{key}", READ_TIMEOUT_SECONDS)
        if isinstance(outcome, Failure):
            return outcome
        if isinstance(outcome.value, Unchanged):
            return Failure(SOURCE_FAILED, f"{key}: the service sent no body")
        return Ok(outcome.value)

    async def watch(self, key: str, after: int, wait: float) -> Ok[Snapshot | Unchanged] | Failure:
        """Wait up to `wait` seconds for a revision above `after`; return it if there is one."""
        target = f"/v1/documents/{key}?after={after}&wait={wait}"
        return await self._get(key, target, wait + READ_TIMEOUT_SECONDS)

    async def _get(
        self, key: str, target: str, seconds: float
    ) -> Ok[Snapshot | Unchanged] | Failure:
        self.reads += 1
        address = self._addresses[self._address_index % len(self._addresses)]
        outcome = await call(address, "GET", target, seconds=seconds, max_bytes=MAX_DOCUMENT_BYTES)
        if isinstance(outcome, Failure):
            self._address_index += 1
            return outcome
        answer = outcome.value
        if answer.status == 304:
            return Ok(Unchanged(key))
        revision = parse_whole_number(dict(answer.headers).get("revision", ""))
        if answer.status != 200 or revision is None:
            self._address_index += 1
            return Failure(SOURCE_FAILED, f"{key}: status {answer.status} from {address}")
        if not _matches_digest(dict(answer.headers).get("repr-digest"), answer.body):
            return Failure(SOURCE_FAILED, f"{key}: the body from {address} fails its digest")
        return Ok(Snapshot(key, revision, answer.body))


def _matches_digest(header: str | None, body: bytes) -> bool:
    """Return whether a body matches its Repr-Digest header; true if there is no such header."""
    if header is None:
        return True
    expected = base64.b64encode(hashlib.sha256(body).digest()).decode()
    return f"sha-256=:{expected}:" in header
