"""The ledgers of an upstream daemon: which requests it handed over, and which keys were claimed.

The request ledger makes "not run" true for one submission. A daemon hands a request over only if
its id is neither handed over nor revoked here; an entry that lost its link may revoke an id and is
told whether that came in time. Both marks outlive any message that may still be on its way.

The key ledger makes a keyed request run at most once over several submissions. The home of a key
is an upstream daemon, by rendezvous over the host list, whatever the rollout does to the
upstreams; an entry claims the key there before it hands the request over anywhere. A home that is
new (just started, or just made home by a change of the host list) does not know claims that its
predecessor gave, so for `remember_seconds` it grants only submissions that the caller declares to
be the first.
"""

from dataclasses import dataclass
from typing import Final, Literal

import msgspec
from headcross_base.clocks import monotonic
from headcross_base.errorcodes import DUPLICATE_KEY, LEDGER_FULL, LEDGER_YOUNG
from headcross_base.hashing import rendezvous_first
from headcross_base.verdicts import MayHaveRun, NotRun, Refusal
from headcross_native.hostlist import HostList

# An id is remembered for so long after its deadline; late messages die with their connection,
# which the transport closes within seconds.
REQUEST_MEMORY_SECONDS: Final = 120.0

# Paths of a daemon's HTTP listener that entries use beside passing requests on.
CLAIMS_PATH: Final = "/-/claims"
REVOCATIONS_PATH: Final = "/-/revocations/"

RequestState = Literal["unknown", "handed-over", "revoked"]


@dataclass(slots=True)
class _Mark:
    state: RequestState
    until: float  # monotonic


class RequestLedger:
    """Ids of requests handed over or revoked at this daemon."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._marks: dict[str, _Mark] = {}

    def __len__(self) -> int:
        return len(self._marks)

    def hand_over(self, request: str, remaining: float) -> RequestState:
        """Mark a request as handed over; any answer but "unknown" forbids the hand-over."""
        self._forget_old()
        mark = self._marks.get(request)
        if mark is not None:
            return mark.state
        self._mark(request, "handed-over", remaining)
        return "unknown"

    def take_back(self, request: str) -> None:
        """The hand-over did not happen after all: no byte has left."""
        self._marks.pop(request, None)

    def revoke(self, request: str) -> RequestState:
        """Forbid a request; "handed-over" means that it is too late."""
        mark = self._marks.get(request)
        if mark is not None:
            return mark.state
        self._mark(request, "revoked", 0.0)
        return "revoked"

    @property
    def full(self) -> bool:
        """Whether no further request can be remembered."""
        self._forget_old()
        return len(self._marks) >= self._max_entries

    def _mark(self, request: str, state: RequestState, remaining: float) -> None:
        until = monotonic() + max(0.0, remaining) + REQUEST_MEMORY_SECONDS
        self._marks[request] = _Mark(state, until)

    def _forget_old(self) -> None:
        _drop_expired(self._marks)


class KeyClaim(msgspec.Struct, frozen=True):
    """What an entry asks the home of a key; sent as JSON to `CLAIMS_PATH`."""

    key: str  # team and key, so that teams do not share keys
    request: str  # id of the submission
    first: bool  # the caller says that the key was never sent before
    remaining: float  # seconds to the deadline
    release: bool = False  # give the claim back: the submission was certainly not run


@dataclass(slots=True)
class _Claim:
    request: str  # the submission that holds the claim
    until: float  # monotonic


class KeyLedger:
    """Claims on keys that have their home at this daemon."""

    def __init__(self, host: str, max_entries: int, remember_seconds: float) -> None:
        self._host = host
        self._max_entries = max_entries
        self._remember = remember_seconds
        self._started_at = monotonic()
        self._claims: dict[str, _Claim] = {}
        # Host lists that were in force within the last `remember_seconds`, with their end.
        self._homes: list[str] = []
        self._past_homes: list[tuple[float, list[str]]] = []

    def __len__(self) -> int:
        return len(self._claims)

    def update_hosts(self, hosts: HostList) -> None:
        """Learn of a new host list; the old one counts on for a while."""
        homes = key_homes(hosts)
        if homes != self._homes:
            self._past_homes.append((monotonic(), self._homes))
            self._homes = homes

    def claim(self, claim: "KeyClaim", hosts_age: float) -> Refusal | None:
        """Claim a key for a submission; None means that it is granted.

        `hosts_age` is how old (seconds) this process's news of the host list are: with old news it
        may not know that it is the home no more.
        """
        key = claim.key
        _drop_expired(self._claims)
        known = self._claims.get(key)
        if known is not None:
            if known.request == claim.request:
                return None
            return MayHaveRun(DUPLICATE_KEY, "an earlier submission holds the key")
        if not claim.first and not self._knows_past(key, hosts_age):
            return NotRun(LEDGER_YOUNG, "earlier submissions would not be known", 5.0)
        if len(self._claims) >= self._max_entries:
            return NotRun(LEDGER_FULL, f"{self._max_entries} keys", 5.0)
        until = monotonic() + max(self._remember, claim.remaining)
        self._claims[key] = _Claim(claim.request, until)
        return None

    def release(self, key: str, request: str) -> None:
        """Give a claim back: its submission was certainly not run."""
        known = self._claims.get(key)
        if known is not None and known.request == request:
            del self._claims[key]

    def _knows_past(self, key: str, hosts_age: float) -> bool:
        """Tell whether every claim of the last `remember_seconds` was made here."""
        horizon = monotonic() - self._remember
        self._past_homes = [past for past in self._past_homes if past[0] >= horizon]
        if self._started_at > horizon or hosts_age > self._remember:
            return False
        views = [self._homes, *(homes for _, homes in self._past_homes)]
        return all(home_of(key, homes) == self._host for homes in views)


def key_homes(hosts: HostList) -> list[str]:
    """Return the hosts whose daemons keep key ledgers."""
    return [host.name for host in hosts.hosts if host.role == "upstream" and not host.leaving]


def home_of(key: str, homes: list[str]) -> str | None:
    """Return the home of a key, or None while there are no upstream daemons."""
    return rendezvous_first(f"key {key}", homes)


def _drop_expired(entries: dict[str, _Mark] | dict[str, _Claim]) -> None:
    """Drop entries from the old end; they are in order of arrival, nearly in order of expiry."""
    now = monotonic()
    while entries:
        oldest = next(iter(entries))
        if entries[oldest].until > now:
            return
        del entries[oldest]
