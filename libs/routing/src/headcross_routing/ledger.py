"""The ledgers of an upstream daemon: which requests it handed over, and which keys were claimed.

The request ledger guarantees the verdict "not run" for a single submission. A daemon hands a
request over only if its id is neither handed over nor revoked in this ledger. An entry that lost
its link may revoke an id; the answer states whether the revocation came in time. The ledger keeps
handed-over and revoked ids for longer than a message can be in transit.

The key ledger ensures that a request with a key runs at most once across several submissions. The
owner of a key is an upstream daemon, chosen by rendezvous hashing over the host list and
independently of rollouts; an entry claims the key there before it hands the request over anywhere.
A new owner (just started, or made owner by a change of the host list) does not know the claims
that its predecessor granted, so for `remember_seconds` it grants claims only to submissions that
the caller declares to be the first.
"""

from dataclasses import dataclass
from typing import Final, Literal

import msgspec
from headcross_base.errorcodes import DUPLICATE_KEY, LEDGER_FULL, LEDGER_YOUNG
from headcross_base.hashing import rendezvous_first
from headcross_base.monotonic import monotonic
from headcross_base.verdicts import MayHaveRun, NotRun, Refusal
from headcross_native.hostlist import HostList

# An id is kept this long after its request's deadline. No message about it arrives later: messages
# are lost with their connection, which the transport closes within seconds.
REQUEST_RETENTION_SECONDS: Final = 120.0

# Paths of a daemon's HTTP listener that entries use in addition to forwarded requests.
CLAIMS_PATH: Final = "/-/claims"
REVOCATIONS_PATH: Final = "/-/revocations/"

RequestState = Literal["unknown", "handed-over", "revoked"]


@dataclass(slots=True)
class _RequestRecord:
    state: RequestState
    expires_at: float  # in seconds on the monotonic clock


class RequestLedger:
    """Ids of requests that were handed over or revoked at this daemon."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._records: dict[str, _RequestRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def hand_over(self, request: str, remaining: float) -> RequestState:
        """Record a request as handed over and return its state before that.

        The request may be handed over only if that state is "unknown"; otherwise nothing is
        recorded. `remaining` is the time to the request's deadline in seconds.
        """
        self._expire_records()
        record = self._records.get(request)
        if record is not None:
            return record.state
        self._record(request, "handed-over", remaining)
        return "unknown"

    def undo_hand_over(self, request: str) -> None:
        """Remove the record of a hand-over after which the request certainly did not run."""
        self._records.pop(request, None)

    def revoke(self, request: str) -> RequestState:
        """Revoke a request and return its state; "handed-over" means that it is too late."""
        record = self._records.get(request)
        if record is not None:
            return record.state
        self._record(request, "revoked", 0.0)
        return "revoked"

    @property
    def full(self) -> bool:
        """Whether no further request can be recorded."""
        self._expire_records()
        return len(self._records) >= self._max_entries

    def _record(self, request: str, state: RequestState, remaining: float) -> None:
        expires_at = monotonic() + max(0.0, remaining) + REQUEST_RETENTION_SECONDS
        self._records[request] = _RequestRecord(state, expires_at)

    def _expire_records(self) -> None:
        _drop_expired(self._records)


class KeyClaim(msgspec.Struct, frozen=True):
    """An entry's message to the owner of a key; sent as JSON to `CLAIMS_PATH`."""

    key: str  # team and key, so that teams do not share keys
    request: str  # id of the submission
    first: bool  # the caller declares that the key was never sent before
    remaining: float  # seconds to the deadline
    release: bool = False  # release the claim: the submission certainly did not run


@dataclass(slots=True)
class _Claim:
    request: str  # the submission that holds the claim
    expires_at: float  # in seconds on the monotonic clock


class KeyLedger:
    """Claims on the keys that this daemon owns."""

    def __init__(self, host: str, max_entries: int, remember_seconds: float) -> None:
        self._host = host
        self._max_entries = max_entries
        self._retention_seconds = remember_seconds
        self._started_at = monotonic()
        self._claims: dict[str, _Claim] = {}
        # Owners by the host list in force, and by earlier ones with the time each was replaced.
        self._owners: list[str] = []
        self._past_owners: list[tuple[float, list[str]]] = []

    def __len__(self) -> int:
        return len(self._claims)

    def update_hosts(self, hosts: HostList) -> None:
        """Apply a new host list; the old one still counts for `remember_seconds`."""
        owners = key_owners(hosts)
        if owners != self._owners:
            self._past_owners.append((monotonic(), self._owners))
            self._owners = owners

    def claim(self, claim: "KeyClaim", hosts_age: float) -> Refusal | None:
        """Claim a key for a submission; return None if it is granted, else a refusal.

        `hosts_age` is the time in seconds since this process's host list was confirmed: with an
        old one, the process may not know that it no longer owns the key.
        """
        key = claim.key
        _drop_expired(self._claims)
        existing = self._claims.get(key)
        if existing is not None:
            if existing.request == claim.request:
                return None
            return MayHaveRun(DUPLICATE_KEY, "an earlier submission holds the key")
        if not claim.first and not self._knows_earlier_claims(key, hosts_age):
            return NotRun(LEDGER_YOUNG, "earlier submissions would not be known", 5.0)
        if len(self._claims) >= self._max_entries:
            return NotRun(LEDGER_FULL, f"{self._max_entries} keys", 5.0)
        expires_at = monotonic() + max(self._retention_seconds, claim.remaining)
        self._claims[key] = _Claim(claim.request, expires_at)
        return None

    def release(self, key: str, request: str) -> None:
        """Release a claim whose submission certainly did not run."""
        existing = self._claims.get(key)
        if existing is not None and existing.request == request:
            del self._claims[key]

    def _knows_earlier_claims(self, key: str, hosts_age: float) -> bool:
        """Return whether every claim of the last `remember_seconds` was made at this daemon."""
        horizon = monotonic() - self._retention_seconds
        self._past_owners = [past for past in self._past_owners if past[0] >= horizon]
        if self._started_at > horizon or hosts_age > self._retention_seconds:
            return False
        owner_lists = [self._owners, *(owners for _, owners in self._past_owners)]
        return all(owner_of(key, owners) == self._host for owners in owner_lists)


def key_owners(hosts: HostList) -> list[str]:
    """Return the hosts whose daemons keep key ledgers."""
    return [host.name for host in hosts.hosts if host.role == "upstream" and not host.leaving]


def owner_of(key: str, owners: list[str]) -> str | None:
    """Return the owner of a key, or None while there are no upstream daemons."""
    return rendezvous_first(f"key {key}", owners)


def _drop_expired(entries: dict[str, _RequestRecord] | dict[str, _Claim]) -> None:
    """Remove expired entries, oldest first; order of arrival is nearly order of expiry."""
    now = monotonic()
    while entries:
        oldest = next(iter(entries))
        if entries[oldest].expires_at > now:
            return
        del entries[oldest]
