"""Holds the configuration documents of a process: the newest revisions and those in force.

A document comes from the service or from a peer and must have a higher revision than the one held.
The fleet file is validated as a whole; an invalid file is kept as rejected, so that it can be
shown, and the last valid one stays in force. Two bodies under one revision mean that the service
is split or damaged: the body held stays, and the conflict is counted and shown.

For freshness, each process records the latest time at which the service is known to have had
nothing newer. It learns such times from its own reads, and from the ages in peers' messages.
"""

import logging
from collections import Counter
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.decisions import Journal
from headcross_base.errorcodes import FILE_REJECTED, REVISION_CONFLICT, REVISION_OLD
from headcross_base.errors import Failure
from headcross_base.hashing import digest_of
from headcross_base.monotonic import monotonic
from headcross_native.configservice import FLEET_KEY, HOSTS_KEY, KEYS
from headcross_native.hostlist import EMPTY_HOST_LIST, HostList, parse_host_list

from headcross_fleet.fleetfile import EMPTY_FLEET, FleetFile, parse_fleet_file

NO_REVISION: Final = 0  # revisions of the service start at 1

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DocumentRevisions:
    """The revisions of the two documents that determine a placement.

    Daemons with the same revisions take the same decisions; a status with other revisions does not
    show what its daemon is about to do.
    """

    fleet: int
    hosts: int


@dataclass(slots=True)
class HeldDocument:
    """The newest known revision of one document and the newest one in force."""

    key: str
    revision: int = NO_REVISION  # newest revision seen, accepted or rejected
    digest: str = ""
    body: bytes = b""
    accepted_revision: int = NO_REVISION  # newest revision in force
    accepted_digest: str = ""
    accepted_body: bytes = b""
    fresh_at: float = float("-inf")  # monotonic; the latest time with nothing newer at the service
    rejection: str = ""  # why the newest revision is not in force, empty if it is

    def age(self) -> float:
        """Return the seconds since the service was last known to have nothing newer."""
        return monotonic() - self.fresh_at


class Documents:
    """The fleet file and the host list in force; `wait_change` waits for a change of either."""

    # The fleet file in force.
    fleet: FleetFile
    # The host list in force.
    hosts: HostList
    # Number of events by name: accepted, rejected, old, conflict, damaged.
    counts: Counter[str]
    # When a document or a confirmation last came from the service or a peer (monotonic).
    contact_at: float

    def __init__(self, journal: Journal) -> None:
        self.fleet = EMPTY_FLEET
        self.hosts = EMPTY_HOST_LIST
        self.counts = Counter()
        self.contact_at = float("-inf")
        self._journal = journal
        self._held = {key: HeldDocument(key) for key in KEYS}
        self._changed = trio.Event()

    @property
    def revision(self) -> int:
        """Revision of the fleet file in force, 0 if there is none yet."""
        return self._held[FLEET_KEY].accepted_revision

    @property
    def hosts_revision(self) -> int:
        """Revision of the host list in force, 0 if there is none yet."""
        return self._held[HOSTS_KEY].accepted_revision

    @property
    def revisions(self) -> "DocumentRevisions":
        """Revisions of both documents in force."""
        return DocumentRevisions(self.revision, self.hosts_revision)

    def held(self, key: str) -> HeldDocument:
        """Return the revisions held of a document."""
        return self._held[key]

    def contact_age(self) -> float:
        """Return the seconds since the service or a peer was last in contact."""
        return monotonic() - self.contact_at

    async def wait_change(self) -> None:
        """Wait until a newer document has been taken, whether in force or rejected."""
        await self._changed.wait()

    def offer(self, key: str, revision: int, body: bytes, age: float) -> bool:
        """Take a document if it is newer than the one held; return whether it was taken.

        While the newest revision is rejected, a revision between the one in force and the rejected
        one is also taken if it is valid. `age` is the number of seconds since the service was
        known to have nothing newer.
        """
        self.contact_at = monotonic()
        held = self._held[key]
        if held.rejection and held.accepted_revision < revision < held.revision:
            return self._take_last_valid(held, revision, body)
        if revision < held.revision:
            self.counts["old"] += 1
            reason = f"{REVISION_OLD.code}: {revision} offered, {held.revision} held"
            self._journal.record("revision-ignored", key, reason)
            return False
        if revision == held.revision:
            self._confirm(held, digest_of(body), age)
            return False
        held.revision = revision
        held.digest = digest_of(body)
        held.body = body
        held.fresh_at = monotonic() - age
        failure = self._put_in_force(held, revision, body)
        held.rejection = str(failure) if failure else ""
        self._report(held)
        self._notify_waiters()
        return True

    def confirm(self, key: str, revision: int, digest: str, age: float) -> None:
        """Record that the service had nothing newer than `revision` `age` seconds ago."""
        self.contact_at = monotonic()
        held = self._held[key]
        if revision == held.revision and revision != NO_REVISION:
            self._confirm(held, digest, age)

    def _confirm(self, held: HeldDocument, digest: str, age: float) -> None:
        """Record the held revision as fresh, or a conflict if the digest is of another body."""
        if digest != held.digest:
            self.counts["conflict"] += 1
            reason = f"{REVISION_CONFLICT.code}: revision {held.revision} has two bodies"
            self._journal.record("revision-ignored", held.key, reason)
            return
        held.fresh_at = max(held.fresh_at, monotonic() - age)

    def _take_last_valid(self, held: HeldDocument, revision: int, body: bytes) -> bool:
        """Put a document older than a rejected one in force; return whether it is valid."""
        if self._put_in_force(held, revision, body) is not None:
            return False
        self._journal.record("document-accepted", f"{held.key}@{revision}", "last good one")
        self._notify_waiters()
        return True

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _put_in_force(self, held: HeldDocument, revision: int, body: bytes) -> Failure | None:
        """Parse a body and put it in force; if it is invalid, return why and change nothing."""
        if held.key == FLEET_KEY:
            fleet = parse_fleet_file(body)
            if isinstance(fleet, Failure):
                return fleet
            self.fleet = fleet.value
        elif held.key == HOSTS_KEY:
            hosts = parse_host_list(body)
            if isinstance(hosts, Failure):
                return hosts
            self.hosts = hosts.value
        held.accepted_revision = revision
        held.accepted_digest = digest_of(body)
        held.accepted_body = body
        return None

    def _report(self, held: HeldDocument) -> None:
        """Count, record and log whether the newest revision was accepted or rejected."""
        fields = {"document": held.key, "revision": held.revision, "digest": held.digest}
        if held.rejection:
            self.counts["rejected"] += 1
            self._journal.record(FILE_REJECTED.code, f"{held.key}@{held.revision}", held.rejection)
            logger.error("document rejected", extra={**fields, "reason": held.rejection})
            return
        self.counts["accepted"] += 1
        self._journal.record("document-accepted", f"{held.key}@{held.revision}", held.digest)
        logger.info("document in force", extra=fields)
