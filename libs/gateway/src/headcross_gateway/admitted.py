"""A request that an entry has taken in, and one that it has not."""

from dataclasses import dataclass, field

import trio
from headcross_base.verdicts import NotRun
from headcross_ports.configuration import Configuration, Route, Team
from headcross_ports.requests import RequestFacts
from headcross_wire.httpserver import Exchange

from headcross_gateway.outcomes import CompleteAnswer
from headcross_gateway.relay import StreamRelay
from headcross_gateway.requestidentity import RequestIdentity, group_of, identity_of


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """A request that is refused before anything was tried for it."""

    refusal: NotRun
    request_id: str | None  # None if the request gives none


@dataclass(slots=True)
class Admitted:
    """A request that has a route, with what was done for it so far."""

    exchange: Exchange
    facts: RequestFacts
    configuration: Configuration
    route: Route
    team: Team | None
    service: str
    arrived_at: float  # trio's clock, like the next one
    deadline: float
    relay: StreamRelay | None
    # What tells it from other requests, None if it does not say enough.
    fingerprint: int | None = None
    returning: bool = False  # it was refused before
    tried: set[str] = field(default_factory=set)
    runs: int = 0  # replicas that may have run it
    refusals: int = 0  # replicas that saw it and did not run it
    unreached: int = 0  # replicas that it did not come to
    retry_paid: bool = False  # a silent replica was left, and the next attempt is paid for
    # A replica's own failure, passed on if nothing better comes.
    failed_answer: CompleteAnswer | None = None
    _identity: RequestIdentity | None = None
    _group: bytes | None = None

    @property
    def group(self) -> bytes:
        """What it has in common with other requests of its team and route."""
        if self._group is None:
            self._group = group_of(self.team.name if self.team else None, self.route.name)
        return self._group

    @property
    def identity(self) -> RequestIdentity:
        """What it has in common with other tries of it; the first call digests its body."""
        if self._identity is None:
            self._identity = identity_of(self.exchange.request, self.facts.key, self.group)
        return self._identity

    @property
    def priority(self) -> int:
        """Return the priority; 0 goes first."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def remaining(self) -> float:
        """Return the seconds that are left."""
        return self.deadline - trio.current_time()

    @property
    def bound_version(self) -> int | None:
        """Return the version that a stream must go on with, None before its first event."""
        started = self.relay is not None and self.relay.started
        return self.relay.weights_version if self.relay is not None and started else None
