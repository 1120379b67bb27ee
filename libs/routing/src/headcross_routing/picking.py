"""Picks an upstream for each attempt of an entry.

Candidates are the upstreams that serve the route's pool according to their last heartbeat, except
those that this entry avoids for a while because it could not connect or was refused. The entry's
own zone is preferred unless it is clearly busier than the others. Within the chosen zones,
requests with the same prefix go to the same upstream, for its prompt cache, unless it has no free
slot or a load clearly above the mean. Requests without a prefix go to the less loaded of two
random upstreams.

An upstream's load is the number of this entry's requests in flight there, or the load that the
daemon last reported if that is larger. A reported load decays with its age, so that it loses its
effect unless a new report confirms it.
"""

import math
import random
from dataclasses import dataclass
from typing import Final

from headcross_base.addresses import Address
from headcross_base.errorcodes import ErrorCode
from headcross_base.hashing import digest_of, rendezvous_order
from headcross_base.monotonic import monotonic
from headcross_fleet.membership import StatusTable
from headcross_fleet.upstreamgate import SERVING
from headcross_native.hostlist import HostList

# After a failure an upstream is avoided for MIN_AVOID_SECONDS; the time doubles with each further
# failure, up to MAX_AVOID_SECONDS.
MIN_AVOID_SECONDS: Final = 1.0
MAX_AVOID_SECONDS: Final = 15.0
# The weight of a load report halves in this time.
LOAD_HALF_LIFE_SECONDS: Final = 3.0
# Requests go to other zones while the least loaded upstream in the entry's own zone has over this
# many requests more than the least loaded one in the others.
ZONE_SPILL_REQUESTS: Final = 4.0
# A request goes to the upstream preferred for its prefix only while that upstream's load is below
# the mean load times the factor, plus the slack.
AFFINITY_LOAD_FACTOR: Final = 1.25
AFFINITY_SLACK_REQUESTS: Final = 1.0
PREFIX_BYTES: Final = 512  # length of the part of a body that counts as its prefix


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may be picked."""

    upstream: str
    host: str
    address: Address
    zone: str
    digest: str  # digest of the weights that it serves
    slots: int  # requests that it accepts at once
    incarnation: int  # of its daemon


@dataclass(slots=True)
class _LocalState:
    """What this entry itself has observed of an upstream."""

    in_flight: int = 0
    reported_load: float = 0.0  # requests in flight and queued there, by the last report
    reported_at: float = 0.0
    avoid_until: float = 0.0
    avoid_seconds: float = MIN_AVOID_SECONDS  # to avoid it for after the next failure
    picked: int = 0
    failed: int = 0


class Picker:
    """Picks upstreams at one entry."""

    def __init__(self, zone: str, statuses: StatusTable) -> None:
        self._zone = zone
        self._statuses = statuses
        self._states: dict[str, _LocalState] = {}

    def candidates(self, pool: str, hosts: HostList) -> list[Candidate]:
        """Return the upstreams that serve a pool or service as far as this entry knows."""
        by_name = {host.name: host for host in hosts.hosts}
        responsive: list[Candidate] = []
        silent: list[Candidate] = []
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
            (silent if daemon.silent() else responsive).append(candidate)
        # A silent upstream may be alive behind a lost link; it is used if there is no other.
        return responsive or silent

    def pick(self, candidates: list[Candidate], prefix: str | None) -> Candidate | None:
        """Return the upstream for the next attempt, or None if all are avoided.

        `prefix` is the digest of the request's prompt prefix; None if it has no influence.
        """
        now = monotonic()
        usable = [c for c in candidates if self._state(c).avoid_until <= now]
        near = [c for c in usable if c.zone == self._zone]
        far = [c for c in usable if c.zone != self._zone]
        if near and far and self._least_load(near) > self._least_load(far) + ZONE_SPILL_REQUESTS:
            near = far
        eligible = near or far
        if not eligible:
            return None
        if prefix is not None:
            return self._pick_by_prefix(eligible, prefix)
        pair = random.sample(eligible, min(2, len(eligible)))
        return min(pair, key=self.load)

    def load(self, candidate: Candidate) -> float:
        """Return the estimated number of requests at an upstream."""
        state = self._state(candidate)
        age = monotonic() - state.reported_at
        decayed = state.reported_load * math.exp2(-age / LOAD_HALF_LIFE_SECONDS)
        return state.in_flight + max(0.0, decayed - state.in_flight)

    def attempt_started(self, candidate: Candidate) -> None:
        """Count an attempt at an upstream as in flight."""
        state = self._state(candidate)
        state.in_flight += 1
        state.picked += 1

    def attempt_ended(self, candidate: Candidate) -> None:
        """Count an attempt as no longer in flight, whatever its outcome."""
        self._state(candidate).in_flight -= 1

    def attempt_succeeded(self, candidate: Candidate) -> None:
        """Reset the avoidance time of an upstream that answered."""
        self._state(candidate).avoid_seconds = MIN_AVOID_SECONDS

    def avoid(self, candidate: Candidate, reason: ErrorCode) -> None:
        """Exclude an upstream for a time that doubles with each failure, up to a maximum."""
        state = self._state(candidate)
        state.failed += 1
        state.avoid_until = monotonic() + state.avoid_seconds
        state.avoid_seconds = min(MAX_AVOID_SECONDS, 2 * state.avoid_seconds)

    def report_load(self, upstream: str, requests: float) -> None:
        """Record the load that a daemon reported in an answer or a heartbeat."""
        state = self._states.setdefault(upstream, _LocalState())
        state.reported_load = requests
        state.reported_at = monotonic()

    def remove_absent(self, upstreams: set[str]) -> None:
        """Discard the state of absent upstreams, unless attempts are in flight there."""
        for name in list(self._states):
            if name not in upstreams and not self._states[name].in_flight:
                del self._states[name]

    def dump(self) -> dict[str, dict[str, float]]:
        """Return this entry's own observations of each upstream, for diagnosis."""
        now = monotonic()
        return {
            name: {
                "in_flight": state.in_flight,
                "reported": state.reported_load,
                "reported_age": round(now - state.reported_at, 3),
                "avoid_seconds": round(max(0.0, state.avoid_until - now), 3),
                "picked": state.picked,
                "failed": state.failed,
            }
            for name, state in self._states.items()
        }

    def _pick_by_prefix(self, eligible: list[Candidate], prefix: str) -> Candidate:
        by_name = {candidate.upstream: candidate for candidate in eligible}
        mean = sum(self.load(c) for c in eligible) / len(eligible)
        max_load = AFFINITY_LOAD_FACTOR * mean + AFFINITY_SLACK_REQUESTS
        for name in rendezvous_order(f"prefix {prefix}", by_name):
            # A cached prefix saves less time than waiting in a queue costs.
            if self.load(by_name[name]) < min(max_load, by_name[name].slots):
                return by_name[name]
        return min(eligible, key=self.load)

    def _least_load(self, candidates: list[Candidate]) -> float:
        return min(self.load(candidate) for candidate in candidates)

    def _state(self, candidate: Candidate) -> _LocalState:
        return self._states.setdefault(candidate.upstream, _LocalState())


def prefix_digest(body: bytes) -> str | None:
    """Return a digest of a request's prompt prefix, or None for an empty body."""
    return digest_of(body[:PREFIX_BYTES])[:16] if body else None
