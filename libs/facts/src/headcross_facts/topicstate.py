"""The state of one topic: its items at the newest known position, and when that was the newest."""

from dataclasses import dataclass

from headcross_base.monotonic import monotonic
from headcross_ports.published import Changes, Listing

from headcross_facts.order.positions import ListingVerdict
from headcross_facts.order.topicitems import NewItems, TopicItems


@dataclass(slots=True)
class TopicState(TopicItems):
    """The items of one topic, with the time at which they were known to be the newest."""

    fresh_at: float = float("-inf")  # monotonic

    def age(self) -> float:
        """Return the seconds since this state was last known to be the newest."""
        return monotonic() - self.fresh_at

    def take_listing(self, listing: Listing, age: float) -> NewItems | ListingVerdict:
        """Apply a listing that was the newest `age` seconds ago; return the new items.

        Returns the verdict if the listing is not applied.
        """
        verdict = self.judge(listing)
        if verdict is not ListingVerdict.TAKE:
            return verdict
        new_items = self.apply_listing(listing)
        self.fresh_at = max(self.fresh_at, monotonic() - age)
        return new_items

    def take_changes(self, changes: Changes) -> NewItems:
        """Apply the changes after this state's revision; return the new items."""
        new_items = self.apply_changes(changes)
        self.fresh_at = max(self.fresh_at, monotonic())
        return new_items
