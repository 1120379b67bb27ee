"""The interface to the items that a platform publishes, which can be read and watched.

Published items have a key, a value and a revision. Revisions come from one counter that increases
with every change of any item. A topic is a group of items. Processes follow a topic by reading a
listing and then watching for changes after its revision.

A store may be restored from an older copy of itself. It then loses its newest items, and gives out
their revisions again. Each restore begins a new epoch, and the store states the number of its
epoch in its answers. Revisions can be compared only within one epoch.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final, Protocol, Union

import msgspec
from headcross_base.addresses import Address
from headcross_base.errors import Failure, Ok

# Not imported at run time, because a starting process reads other items than the configuration.
if TYPE_CHECKING:
    from headcross_ports.configuration import Configuration


# The epoch of an answer that does not state one.
UNKNOWN_EPOCH: Final = -1


class Position(msgspec.Struct, frozen=True, order=True):
    """A point in the history of a store; later points compare as greater.

    >>> Position(3, 90) < Position(4, 10) < Position(4, 11)
    True
    """

    epoch: int
    revision: int


class Topic(Enum):
    """A group of published items."""

    CONTROL = "control"  # the configuration and the named weight versions
    VERSIONS = "versions"  # the named versions only, a small part of CONTROL
    REPLICAS = "replicas"  # the list of replicas, one key per replica


class Item(msgspec.Struct, frozen=True):
    """One published item, or the removal of one."""

    key: str
    revision: int  # of its last change
    value: bytes | None  # None if the item was removed
    # Why the value in the store's answer could not be decoded; empty if it could.
    problem: str = ""


class Listing(msgspec.Struct, frozen=True):
    """All items of a topic."""

    items: tuple[Item, ...]
    revision: int  # the items may lack changes after this revision
    epoch: int = UNKNOWN_EPOCH

    @property
    def position(self) -> Position:
        """The position whose items the listing contains."""
        return Position(self.epoch, self.revision)


class Changes(msgspec.Struct, frozen=True):
    """The items changed after a revision; empty if the wait ended without changes."""

    items: tuple[Item, ...]
    revision: int
    epoch: int = UNKNOWN_EPOCH


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store does not have the changes after a revision; the topic must be read again."""

    epoch: int = UNKNOWN_EPOCH


class NamedVersion(msgspec.Struct, frozen=True):
    """The weight version that the operators name for a model."""

    model: str
    version: int


class LoadedModel(msgspec.Struct, frozen=True):
    """A model and the weight version of it that is loaded."""

    model: str
    version: int


class Incarnation(msgspec.Struct, frozen=True):
    """One run of a replica's process; it keeps no state of earlier incarnations.

    A replica may restart under the same id. The later of two incarnations is the one that the
    list, or the replica's daemon, reports later. Start times do not show the order, since clocks
    may be set back.
    """

    id: str
    # Unix time of its start; None if it is not reported. Then only the ids are compared.
    started_ms: int | None

    def differs_from(self, other: "Incarnation") -> bool:
        """Return whether two incarnations are known to differ.

        >>> Incarnation("i", 1).differs_from(Incarnation("i", 2))
        True
        >>> Incarnation("i", 1).differs_from(Incarnation("i", None))
        False
        """
        if self.id != other.id:
            return True
        if self.started_ms is None or other.started_ms is None:
            return False
        return self.started_ms != other.started_ms


class Replica(msgspec.Struct, frozen=True):
    """One list entry of a replica; the list lags behind the replicas' state."""

    id: str
    service: str
    address: Address
    zone: str
    slots: int  # maximum number of requests that run at once
    draining: bool
    loaded: tuple[LoadedModel, ...] = ()
    started_ms: int | None = None  # Unix time of its start, None if not reported
    writes: int = 0  # how often the incarnation had written its entry, this write included

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that the list entry describes."""
        return Incarnation(self.id, self.started_ms)


# What a published item describes.
Fact = Union["Configuration", NamedVersion, Replica]


class PublishedStore(Protocol):
    """Reads and watches published items."""

    async def read(self, topic: Topic) -> Ok[Listing] | Failure:
        """Return all current items of a topic."""

    async def watch(
        self, topic: Topic, after: int, wait_seconds: float, answer_seconds: float
    ) -> Ok[Changes] | HistoryLost | Failure:
        """Wait for changes after a revision.

        Without changes the store answers after `wait_seconds`. The call fails if no part of the
        answer arrives within another `answer_seconds`.
        """

    def covers(self, topic: Topic, key: str) -> bool:
        """Return whether a key belongs to a topic."""

    def replica_id(self, key: str) -> str | None:
        """Return the id of the replica whose list entry has this key, None for other keys."""

    def decode(self, item: Item) -> Ok[Fact | None] | Failure:
        """Decode an item; return None for removed items and for keys that are not used."""

    def use_address(self, address: Address) -> None:
        """Use this address for all later calls."""
