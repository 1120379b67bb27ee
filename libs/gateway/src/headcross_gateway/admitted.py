"""The state of an admitted request at an entry, and the refusal of one that is not admitted."""

from dataclasses import dataclass, field

import trio
from headcross_base.verdicts import NotRun
from headcross_ports.configuration import Configuration, Route, Team
from headcross_ports.requests import RequestFacts
from headcross_wire.bodymemory import HeldAnswer
from headcross_wire.httpexchange import Exchange

from headcross_gateway.attribution import Cause
from headcross_gateway.outcomes import CompleteAnswer
from headcross_gateway.relay import StreamRelay
from headcross_gateway.requestidentity import RequestIdentity, group_of, identity_of
from headcross_gateway.sharedtraits import SharedTrait, TraitKind, part_traits


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """A request that is refused before any attempt."""

    refusal: NotRun
    request_id: str | None  # None if the request gives none


@dataclass(slots=True)
class Admitted:
    """A request that has a route, with the state of its attempts."""

    exchange: Exchange
    facts: RequestFacts
    configuration: Configuration
    route: Route
    team: Team | None
    service: str
    arrived_at: float  # trio's clock, like the next one
    deadline: float
    relay: StreamRelay | None
    # Identifies retries of the same request; None if the request does not state its prompt.
    fingerprint: int | None = None
    is_caller_retry: bool = False  # its caller was refused before
    tried: set[str] = field(default_factory=set)  # ids of replicas not to try again
    runs: int = 0  # replicas that may have run it
    refusals: int = 0  # replicas that received it and did not run it
    unreached: int = 0  # replicas that it did not reach
    # Whether the next attempt takes no retry from the budget: it is the first, its retry was taken
    # already, or the one before did not reach its replica.
    next_is_free: bool = True
    # Whether no losses counted against it when its replica fell silent. That silence counts
    # against it from then on.
    was_clear: bool = False
    # A replica's own error answer, forwarded if no later attempt succeeds.
    failed_answer: CompleteAnswer | None = None
    _identity: RequestIdentity | None = None
    _group: bytes | None = None
    _parts: dict[SharedTrait, str] | None = None
    _shared_traits: frozenset[SharedTrait] | None = None
    # Why it is refused or withdrawn, if replicas were lost under it or under others like it.
    barring_cause: Cause | None = None
    # The bodies of its answers, by attempt.
    held_answers: list[HeldAnswer] = field(default_factory=list)

    @property
    def group(self) -> bytes:
        """The digest of its team and route."""
        if self._group is None:
            self._group = group_of(self.team.name if self.team else None, self.route.name)
        return self._group

    @property
    def identity(self) -> RequestIdentity:
        """The digests that all tries of the same request share; computed on first use."""
        if self._identity is None:
            self._identity = identity_of(self.exchange.request, self.facts.key, self.group)
        return self._identity

    @property
    def parts(self) -> dict[SharedTrait, str]:
        """The parts that its prompt may share with others, by trait; computed on first use."""
        if self._parts is None:
            self._parts = part_traits(self.service, self.facts.prompt_parts)
        return self._parts

    @property
    def shared_traits(self) -> frozenset[SharedTrait]:
        """What it may share with others: its caller and parts of its prompt."""
        if self._shared_traits is None:
            self._shared_traits = frozenset(
                [SharedTrait(TraitKind.CALLER, self.group), *self.parts]
            )
        return self._shared_traits

    @property
    def priority(self) -> int:
        """The queue priority: the team's if it has one, else the route's; 0 goes first."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def remaining_seconds(self) -> float:
        """The seconds left until the deadline."""
        return self.deadline - trio.current_time()

    @property
    def resume_version(self) -> int | None:
        """The weights version that a stream must resume on, None before its first event."""
        started = self.relay is not None and self.relay.started
        return self.relay.weights_version if self.relay is not None and started else None
