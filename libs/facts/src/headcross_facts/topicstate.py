"""What a process knows of one topic: its items, their revision, and when that was the newest.

Items only ever move forward within one life of the process, whatever order listings, changes and
the word of other daemons arrive in.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from headcross_base.clocks import monotonic
from headcross_ports.published import Changes, Item, Listing, Topic

# Less than every revision: nothing is known yet.
NOTHING: Final = -1


@dataclass(slots=True)
class TopicState:
    """One topic."""

    topic: Topic
    known: bool = False  # a whole listing was taken once
    revision: int = 0  # every change up to this one is known
    fresh_at: float = float("-inf")  # monotonic; nothing newer existed then
    items: dict[str, Item] = field(default_factory=dict)

    def age(self) -> float:
        """Return the seconds since this was known to be the newest state."""
        return monotonic() - self.fresh_at

    def take_listing(self, listing: Listing, age: float) -> list[Item] | None:
        """Take a whole topic; return what is new, or None if the listing is older than this."""
        if self.known and listing.revision < self.revision:
            return None
        complete = self.revision if self.known else NOTHING
        self.known = True
        listed = {item.key for item in listing.items}
        gone = [
            Item(key, listing.revision, None)
            for key, held in self.items.items()
            if key not in listed and held.revision <= listing.revision
        ]
        return self._take([*listing.items, *gone], listing.revision, age, complete)

    def take_changes(self, changes: Changes) -> list[Item]:
        """Take the changes after this state's revision; return what is new."""
        return self._take(changes.items, changes.revision, 0.0, self.revision)

    def _take(self, items: Iterable[Item], revision: int, age: float, complete: int) -> list[Item]:
        news: list[Item] = []
        # One answer may hold several changes of one item.
        for item in sorted(items, key=lambda item: item.revision):
            if not self._is_news(item, complete):
                continue
            news.append(item)
            if item.value is None:
                del self.items[item.key]
            else:
                self.items[item.key] = item
        self.revision = max(self.revision, revision)
        self.fresh_at = max(self.fresh_at, monotonic() - age)
        return news

    def _is_news(self, item: Item, complete: int) -> bool:
        """Tell whether an item says more than what was known up to the revision `complete`.

        An item that is not held although its revision was known has gone since; news that were
        overtaken on their way must not bring it back.
        """
        held = self.items.get(item.key)
        if held is None:
            return item.value is not None and item.revision > complete
        return item.revision > held.revision or (
            item.value is None and item.revision >= held.revision
        )
