"""Compares positions in the history of a store, and judges its answers by them."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from headcross_ports.published import UNKNOWN_EPOCH, Position

# Successive answers that have to state an epoch before it is used.
ANSWERS_TO_ADVANCE: Final = 2
# The same for an epoch before the confirmed one, or for none. Late answers of connections from
# before a restore are fewer.
ANSWERS_TO_GO_BACK: Final = 12


class ListingVerdict(Enum):
    """What to do with a listing."""

    TAKE = "take"
    OUTDATED = "outdated"  # older than what is known, or without an epoch
    UNCONFIRMED = "unconfirmed"  # of a new epoch that no other answer has stated


class WatchVerdict(Enum):
    """What to do with the answer to a watch."""

    APPLY = "apply"
    LIST = "list"  # read the topic again: the store cannot continue from the known position
    REPEAT = "repeat"  # watch again: the known position has changed since the question
    REJECT = "reject"  # the store is behind what is known, or states no epoch


@dataclass(slots=True)
class EpochTracker:
    """Tracks the epoch of a store by its answers.

    A malformed answer may state any number. So an epoch is confirmed once successive answers, of
    any topic, state it, or a peer reports it as confirmed. If the store keeps stating an earlier
    epoch, or none, that is confirmed after more answers: otherwise, a process that had confirmed a
    wrong number would not follow the store again.
    """

    confirmed: int | None = None  # the epoch of the store; None if none is confirmed
    _last: int | None = None  # the epoch in the last answer
    _repeats: int = 0  # number of successive answers that stated it

    def note_answer(self, epoch: int) -> None:
        """Record the epoch that an answer of the store states.

        >>> epochs = EpochTracker()
        >>> epochs.note_answer(3)
        >>> epochs.confirmed
        >>> epochs.note_answer(3)
        >>> epochs.confirmed
        3
        """
        self._repeats = self._repeats + 1 if epoch == self._last else 1
        self._last = epoch
        advances = self.confirmed is None or epoch > self.confirmed
        if self._repeats >= (ANSWERS_TO_ADVANCE if advances else ANSWERS_TO_GO_BACK):
            self.confirmed = epoch

    def note_peer(self, epoch: int) -> None:
        """Record an epoch that a peer reports; peers report only confirmed ones."""
        if epoch != UNKNOWN_EPOCH and (self.confirmed is None or epoch > self.confirmed):
            self.confirmed = epoch

    def is_confirmed(self, epoch: int) -> bool:
        """Return whether the store has reached an epoch, as it always has the unknown one."""
        if epoch == UNKNOWN_EPOCH:
            return True
        return self.confirmed is not None and epoch <= self.confirmed


def judge_listing(held: Position | None, listed: Position, epochs: EpochTracker) -> ListingVerdict:
    """Judge a listing; `held` is the known position, None if the topic is not known.

    >>> epochs = EpochTracker(confirmed=4)
    >>> judge_listing(Position(3, 90), Position(4, 10), epochs)
    <ListingVerdict.TAKE: 'take'>
    >>> judge_listing(Position(4, 90), Position(4, 10), epochs)
    <ListingVerdict.OUTDATED: 'outdated'>
    """
    if held is None:
        return ListingVerdict.TAKE
    if listed.epoch == held.epoch:
        return ListingVerdict.TAKE if listed.revision >= held.revision else ListingVerdict.OUTDATED
    if listed.epoch > held.epoch:
        is_usable = held.epoch == UNKNOWN_EPOCH or epochs.is_confirmed(listed.epoch)
        return ListingVerdict.TAKE if is_usable else ListingVerdict.UNCONFIRMED
    # The store states an earlier epoch than that of the known items, which was a mistake.
    is_mistaken = not epochs.is_confirmed(held.epoch) and listed.epoch == epochs.confirmed
    return ListingVerdict.TAKE if is_mistaken else ListingVerdict.OUTDATED


def judge_watch(
    held: Position, asked: Position, epoch: int, epochs: EpochTracker, *, has_changes: bool
) -> WatchVerdict:
    """Judge the answer, stated in `epoch`, to a watch for the changes after `asked`.

    `held` is the known position when the answer arrives. `has_changes` is false if the store
    answers that it does not have the changes since `asked`.
    """
    if held.epoch != asked.epoch:
        return WatchVerdict.REPEAT
    if epoch == asked.epoch:
        return WatchVerdict.APPLY if has_changes else WatchVerdict.LIST
    if epoch > asked.epoch or not epochs.is_confirmed(asked.epoch):
        return WatchVerdict.LIST
    is_without_epoch = epoch == UNKNOWN_EPOCH and not has_changes
    return WatchVerdict.LIST if is_without_epoch else WatchVerdict.REJECT


def supersedes(offered: int, held: int | None) -> bool:
    """Return whether a numbered document replaces the held one, None if there is none.

    >>> supersedes(3, None), supersedes(3, 3), supersedes(4, 3)
    (True, False, True)
    """
    return held is None or offered > held
