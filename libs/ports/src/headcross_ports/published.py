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
class Replica:
    """One entry of the list of replicas; the list lags."""

    id: str  # of this incarnation
    service: str
    address: Address
    zone: str
    slots: int  # requests it works on at once
    draining: bool
    loaded: tuple[LoadedModel, ...] = ()


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

    def decode(self, item: Item) -> Ok[Fact | None] | Failure:
        """Return what an item says, None for an item that does not concern the product."""

    def use_address(self, address: Address) -> None:
        """Call the store at this address from now on."""
