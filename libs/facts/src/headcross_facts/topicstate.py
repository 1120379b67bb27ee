"""The state of one topic: its items, their revision, and when that revision was the newest.

Revisions of items never decrease while the process runs, in whatever order listings, changes and
messages of other daemons arrive.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from headcross_base.monotonic import monotonic
from headcross_ports.published import UNKNOWN_EPOCH, Changes, Item, Listing, Topic

# Lower than every revision: no listing has been taken yet.
UNKNOWN_REVISION: Final = -1


@dataclass(slots=True)
class TopicState:
    """The items of one topic at its newest known revision."""

    topic: Topic
    known: bool = False  # whether a complete listing has been taken
    revision: int = 0  # all changes up to and including this revision are applied
    epoch: int = UNKNOWN_EPOCH  # of the store, as stated with the last answer that was applied
    fresh_at: float = float("-inf")  # monotonic; the latest time at which this was the newest
    items: dict[str, Item] = field(default_factory=dict)

    def age(self) -> float:
        """Return the seconds since this state was last known to be the newest."""
        return monotonic() - self.fresh_at

    def take_listing(self, listing: Listing, age: float) -> list[Item] | None:
        """Apply a listing of the topic; return the new items, or None if the listing is outdated.

        Items that are no longer listed are returned without a value.
        """
        if self.known and listing.revision < self.revision:
            return None
        complete_revision = self.revision if self.known else UNKNOWN_REVISION
        self.known = True
        listed = {item.key for item in listing.items}
        deleted = [
            Item(key, listing.revision, None)
            for key, held in self.items.items()
            if key not in listed and held.revision <= listing.revision
        ]
        self.epoch = listing.epoch
        return self._take([*listing.items, *deleted], listing.revision, age, complete_revision)

    def take_changes(self, changes: Changes) -> list[Item]:
        """Apply the changes after this state's revision; return the new items."""
        self.epoch = changes.epoch
        return self._take(changes.items, changes.revision, 0.0, self.revision)

    def _take(
        self, items: Iterable[Item], revision: int, age: float, complete_revision: int
    ) -> list[Item]:
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
        self.fresh_at = max(self.fresh_at, monotonic() - age)
        return new_items

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
