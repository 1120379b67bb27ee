"""Keeps the items of one topic at its newest known position.

Within an epoch, revisions of items never decrease, in whatever order listings, changes and
messages of peers arrive. The first listing of another epoch replaces all items.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from headcross_ports.published import UNKNOWN_EPOCH, Changes, Item, Listing, Position, Topic

from headcross_facts.order.positions import EpochTracker, ListingVerdict, judge_listing

# Lower than every revision: no listing has been taken yet.
UNKNOWN_REVISION: Final = -1


@dataclass(frozen=True, slots=True)
class NewItems:
    """The items of an answer that are new."""

    items: list[Item]
    # Whether they begin another epoch. Those of a restored store may be as old as its copy.
    restored: bool = False


@dataclass(slots=True)
class TopicItems:
    """The items of one topic at its newest known position."""

    topic: Topic
    known: bool = False  # whether a complete listing has been taken
    revision: int = 0  # all changes up to and including this revision are applied
    epoch: int = UNKNOWN_EPOCH
    items: dict[str, Item] = field(default_factory=dict)
    epochs: EpochTracker = field(default_factory=EpochTracker)

    @property
    def position(self) -> Position:
        """The position up to which all changes are applied."""
        return Position(self.epoch, self.revision)

    def judge(self, listing: Listing) -> ListingVerdict:
        """Judge whether a listing is to be applied."""
        return judge_listing(self.position if self.known else None, listing.position, self.epochs)

    def apply_listing(self, listing: Listing) -> NewItems:
        """Apply a listing that is judged TAKE; return the new items.

        Items that are no longer listed are returned without a value.
        """
        if self.known and listing.epoch != self.epoch:
            return self._replace(listing)
        complete_revision = self.revision if self.known else UNKNOWN_REVISION
        self.known = True
        self.epoch = listing.epoch
        listed = {item.key for item in listing.items}
        deleted = [
            Item(key, listing.revision, None)
            for key, held in self.items.items()
            if key not in listed and held.revision <= listing.revision
        ]
        return self._apply([*listing.items, *deleted], listing.revision, complete_revision)

    def apply_changes(self, changes: Changes) -> NewItems:
        """Apply the changes after this state's revision, of its epoch; return the new items."""
        return self._apply(changes.items, changes.revision, self.revision)

    def _replace(self, listing: Listing) -> NewItems:
        """Replace all items by a listing of another epoch; return those that differ."""
        before = self.items
        self.items = {item.key: item for item in listing.items}
        self.epoch, self.revision = listing.epoch, listing.revision
        changed = [item for item in listing.items if before.get(item.key) != item]
        deleted = [Item(key, listing.revision, None) for key in before if key not in self.items]
        return NewItems([*changed, *deleted], restored=True)

    def _apply(self, items: Iterable[Item], revision: int, complete_revision: int) -> NewItems:
        new_items: list[Item] = []
        # One answer may contain several changes of the same item.
        for item in sorted(items, key=lambda item: item.revision):
            if not self._is_newer(item, complete_revision):
                continue
            new_items.append(item)
            if item.value is None:
                del self.items[item.key]
            else:
                self.items[item.key] = item
        self.revision = max(self.revision, revision)
        return NewItems(new_items)

    def _is_newer(self, item: Item, complete_revision: int) -> bool:
        """Return whether an item is newer than this state.

        All changes up to `complete_revision` are applied. So an item that is not held although its
        revision is no higher has been deleted since; a delayed message must not restore it.
        """
        held = self.items.get(item.key)
        if held is None:
            return item.value is not None and item.revision > complete_revision
        return item.revision > held.revision or (
            item.value is None and item.revision >= held.revision
        )
