"""Records of lost replicas: when each was lost, on what evidence, and what requests ran there."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

from headcross_gateway.requestidentity import RequestIdentity
from headcross_gateway.sharedtraits import SharedTrait

# How long a loss is kept if the replica is known to have ended, and if it is not.
LOSS_RETENTION_SECONDS: Final = 3600.0
UNCONFIRMED_LOSS_SECONDS: Final = 12.0

# What may have crashed a replica: one request, or a trait of requests that differ otherwise.
Trait = RequestIdentity | SharedTrait


class Evidence(IntEnum):
    """How certain the loss of a replica is; a greater value is stronger evidence."""

    SILENT = 0  # it sent nothing within the time limit
    BROKEN = 1  # connections to it broke
    ENDED = 2  # it has ended


@dataclass(frozen=True, slots=True)
class LossKey:
    """Identifies a lost replica: its id and the start of the incarnation that was lost."""

    replica: str
    started_ms: int | None


@dataclass(slots=True)
class Loss:
    """The loss of one incarnation: when, on what evidence, and which requests ran there."""

    at: float
    evidence: Evidence
    service: str = ""  # of the replica; empty if it is not known
    requests: set[RequestIdentity] = field(default_factory=set)
    shared_traits: set[SharedTrait] = field(default_factory=set)  # of these requests

    @property
    def is_certain(self) -> bool:
        """Whether the replica is known to have ended."""
        return self.evidence is Evidence.ENDED

    def traits(self) -> list[Trait]:
        """Return everything that may have crashed the replica."""
        return [*self.requests, *self.shared_traits]

    def expires_at(self) -> float:
        """Return when this loss is dropped."""
        return self.at + (LOSS_RETENTION_SECONDS if self.is_certain else UNCONFIRMED_LOSS_SECONDS)
