"""What a platform publishes, and how it is read and watched.

Published items have a key, a value and a revision; one counter goes up with every change of any
item. A topic is one family of items. The product follows topics by reading a listing and then
watching for changes after its revision.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from headcross_base.addresses import Address
from headcross_base.errors import Failure, Ok

from headcross_ports.configuration import Configuration


class Topic(Enum):
    """A family of published items."""

    CONTROL = "control"  # the configuration and the named versions of weights
    VERSIONS = "versions"  # the named versions alone, which are a small part of the former
    REPLICAS = "replicas"  # the list of replicas, each under its own key


@dataclass(frozen=True, slots=True)
class Item:
    """One published item, or the news that it is gone."""

    key: str
    revision: int  # of its last change
    value: bytes | None  # None: the item is gone
    # Why the value could not be read from the store's answer; empty if it could.
    problem: str = ""


@dataclass(frozen=True, slots=True)
class Listing:
    """Every item of a topic."""

    items: tuple[Item, ...]
    revision: int  # changes after this one are still to be watched for


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed after a revision; empty when the wait passed without news."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes after that revision are no longer known; the topic must be read anew."""


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """The operators named new weights for a model."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model that a replica has loaded."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One life of a replica, which begins with nothing of the lives before it.

    A replica may start again under the id that it had. Which of two lives is the later one follows
    from the order in which the list, or the replica's daemon, tells them: clocks are set back.
    """

    id: str
    # Unix milliseconds of its start; None where it is not told, and the id alone counts.
    started_ms: int | None

    def is_other_than(self, other: "Incarnation") -> bool:
        """Tell whether two lives are known to differ.

        >>> Incarnation("i", 1).is_other_than(Incarnation("i", 2))
        True
        >>> Incarnation("i", 1).is_other_than(Incarnation("i", None))
        False
        """
        if self.id != other.id:
            return True
        if self.started_ms is None or other.started_ms is None:
            return False
        return self.started_ms != other.started_ms


@dataclass(frozen=True, slots=True)
class Replica:
    """One entry of the list of replicas; the list lags."""

    id: str
    service: str
    address: Address
    zone: str
    slots: int  # requests it works on at once
    draining: bool
    loaded: tuple[LoadedModel, ...] = ()
    started_ms: int | None = None  # Unix milliseconds of its start, if it tells that

    @property
    def incarnation(self) -> Incarnation:
        """The life of which the entry speaks."""
        return Incarnation(self.id, self.started_ms)


Fact = Configuration | NamedVersion | Replica


class PublishedStore(Protocol):
    """Reads and watches what the platform publishes."""

    async def read(self, topic: Topic) -> Ok[Listing] | Failure:
        """Return a whole topic as it stands."""

    async def watch(
        self, topic: Topic, after: int, wait_seconds: float, answer_seconds: float
    ) -> Ok[Changes] | HistoryLost | Failure:
        """Wait for changes after a revision.

        Without changes the store answers after `wait_seconds`; the call fails if nothing of its
        answer has come `answer_seconds` later.
        """

    def covers(self, topic: Topic, key: str) -> bool:
        """Tell whether the item of a key belongs to a topic."""

    def replica_id(self, key: str) -> str | None:
        """Return the id of the replica whose entry lies under a key, None for another key."""

    def decode(self, item: Item) -> Ok[Fact | None] | Failure:
        """Return what an item says, None for an item that does not concern the product."""

    def use_address(self, address: Address) -> None:
        """Call the store at this address from now on."""
