"""Picking an upstream for one attempt.

Candidates are the upstreams that serve the route's pool by their last heartbeat, less those this
entry has reason to avoid for a while: it could not connect, or was refused. The entry's own zone
goes first unless it is clearly busier than the others. Within that, requests with the same prefix
prefer the same upstream (its prompt cache), unless it has no free slot or clearly more to do than
the mean; all others take the better of two at random.

An upstream's load is what this entry has in flight there plus what the daemon last told, which
counts for less the older it is: a report that nobody renews fades instead of misleading for ever.
"""

import math
import random
from dataclasses import dataclass
from typing import Final

from headcross_base.addresses import Address
from headcross_base.clocks import monotonic
from headcross_base.errorcodes import ErrorCode
from headcross_base.hashing import digest_of, rendezvous_order
from headcross_fleet.membership import StatusTable
from headcross_fleet.upstreamgate import SERVING
from headcross_native.hostlist import HostList

# An upstream that could not be reached is avoided for so long, doubling up to the second figure.
AVOID_SECONDS: Final = 1.0
AVOID_MAX_SECONDS: Final = 15.0
# A load report counts for half after so long.
LOAD_HALF_LIFE_SECONDS: Final = 3.0
# The own zone is left when its least loaded upstream has this many more requests than another.
ZONE_SPILL: Final = 4.0
# Prefix affinity gives way when the preferred upstream has this many times the mean load.
AFFINITY_BOUND: Final = 1.25
AFFINITY_SLACK: Final = 1.0
PREFIX_BYTES: Final = 512  # the part of a body that stands for its prompt's prefix


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may be picked."""

    upstream: str
    host: str
    address: Address
    zone: str
    digest: str  # weights digest it serves
    slots: int  # requests it takes at once
    incarnation: int  # of its daemon


@dataclass(slots=True)
class _Local:
    """What this entry knows of an upstream by its own experience."""

    in_flight: int = 0
    reported: float = 0.0  # requests in flight and queued there, by its last word
    reported_at: float = 0.0
    avoid_until: float = 0.0
    avoid_seconds: float = AVOID_SECONDS
    picked: int = 0
    failed: int = 0


class Picker:
    """Picks upstreams at one entry."""

    def __init__(self, zone: str, statuses: StatusTable) -> None:
        self._zone = zone
        self._statuses = statuses
        self._local: dict[str, _Local] = {}

    def candidates(self, pool: str, hosts: HostList) -> list[Candidate]:
        """Return the upstreams that serve a pool or service by all this entry knows."""
        by_name = {host.name: host for host in hosts.hosts}
        found: list[Candidate] = []
        suspects: list[Candidate] = []
        for daemon, upstream in self._statuses.upstreams():
            host = by_name.get(daemon.status.host)
            if host is None or upstream.pool != pool or upstream.state != SERVING:
                continue
            candidate = Candidate(
                upstream=upstream.name,
                host=host.name,
                address=host.http_address,
                zone=host.zone,
                digest=upstream.digest,
                slots=upstream.slots,
                incarnation=daemon.status.incarnation,
            )
            (suspects if daemon.silent() else found).append(candidate)
        # A suspect may be alive behind a lost link; it is better than nobody.
        return found or suspects

    def pick(self, candidates: list[Candidate], prefix: str | None) -> Candidate | None:
        """Return the upstream for the next attempt."""
        now = monotonic()
        usable = [c for c in candidates if self._of(c).avoid_until <= now]
        near = [c for c in usable if c.zone == self._zone]
        far = [c for c in usable if c.zone != self._zone]
        if near and far and self._least(near) > self._least(far) + ZONE_SPILL:
            near = far
        choice = near or far
        if not choice:
            return None
        if prefix is not None:
            return self._pick_by_prefix(choice, prefix)
        pair = random.sample(choice, min(2, len(choice)))
        return min(pair, key=self.load)

    def load(self, candidate: Candidate) -> float:
        """Return how many requests the upstream is thought to have."""
        local = self._of(candidate)
        age = monotonic() - local.reported_at
        faded = local.reported * math.exp2(-age / LOAD_HALF_LIFE_SECONDS)
        return local.in_flight + max(0.0, faded - local.in_flight)

    def started(self, candidate: Candidate) -> None:
        """An attempt begins."""
        local = self._of(candidate)
        local.in_flight += 1
        local.picked += 1

    def ended(self, candidate: Candidate) -> None:
        """An attempt ended, however."""
        self._of(candidate).in_flight -= 1

    def succeeded(self, candidate: Candidate) -> None:
        """The upstream answered."""
        self._of(candidate).avoid_seconds = AVOID_SECONDS

    def avoid(self, candidate: Candidate, reason: ErrorCode) -> None:
        """Leave an upstream alone for a while."""
        local = self._of(candidate)
        local.failed += 1
        local.avoid_until = monotonic() + local.avoid_seconds
        local.avoid_seconds = min(AVOID_MAX_SECONDS, 2 * local.avoid_seconds)

    def report_load(self, upstream: str, requests: float) -> None:
        """Take a daemon's word of its load, from an answer or a heartbeat."""
        local = self._local.setdefault(upstream, _Local())
        local.reported = requests
        local.reported_at = monotonic()

    def forget_absent(self, upstreams: set[str]) -> None:
        """Drop what is known of upstreams that are gone."""
        for name in list(self._local):
            if name not in upstreams and not self._local[name].in_flight:
                del self._local[name]

    def dump(self) -> dict[str, dict[str, float]]:
        """Return what this entry knows by its own experience."""
        now = monotonic()
        return {
            name: {
                "in_flight": local.in_flight,
                "reported": local.reported,
                "reported_age": round(now - local.reported_at, 3),
                "avoid_seconds": round(max(0.0, local.avoid_until - now), 3),
                "picked": local.picked,
                "failed": local.failed,
            }
            for name, local in self._local.items()
        }

    def _pick_by_prefix(self, choice: list[Candidate], prefix: str) -> Candidate:
        by_name = {candidate.upstream: candidate for candidate in choice}
        mean = sum(self.load(c) for c in choice) / len(choice)
        bound = AFFINITY_BOUND * mean + AFFINITY_SLACK
        for name in rendezvous_order(f"prefix {prefix}", by_name):
            # A cached prefix saves less than a place in a queue costs.
            if self.load(by_name[name]) < min(bound, by_name[name].slots):
                return by_name[name]
        return min(choice, key=self.load)

    def _least(self, candidates: list[Candidate]) -> float:
        return min(self.load(candidate) for candidate in candidates)

    def _of(self, candidate: Candidate) -> _Local:
        return self._local.setdefault(candidate.upstream, _Local())


def prefix_of(body: bytes) -> str | None:
    """Return what stands for a request's prompt prefix, or None for an empty body."""
    return digest_of(body[:PREFIX_BYTES])[:16] if body else None
