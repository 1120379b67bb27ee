"""Compares positions in the history of a store, and judges its answers by them."""

from dataclasses import dataclass
from enum import Enum

from headcross_ports.published import UNKNOWN_EPOCH, Position


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
class EpochWitness:
    """The epochs that the answers of a store state.

    A malformed answer may state any number. So an epoch is confirmed once two successive answers,
    of any topic, state it, or a peer reports it as confirmed.
    """

    confirmed: int = UNKNOWN_EPOCH  # the latest epoch that is confirmed
    _last: int = UNKNOWN_EPOCH

    def note_answer(self, epoch: int) -> None:
        """Record the epoch that an answer of the store states.

        >>> epochs = EpochWitness()
        >>> epochs.note_answer(3), epochs.confirmed
        (None, -1)
        >>> epochs.note_answer(3), epochs.confirmed
        (None, 3)
        """
        if epoch == self._last:
            self.confirmed = max(self.confirmed, epoch)
        self._last = epoch

    def note_peer(self, epoch: int) -> None:
        """Record an epoch that a peer reports; peers report only confirmed ones."""
        self.confirmed = max(self.confirmed, epoch)

    def is_confirmed(self, epoch: int) -> bool:
        """Return whether an epoch is confirmed, as the unknown one always is."""
        return epoch <= self.confirmed


def judge_listing(held: Position | None, listed: Position, epochs: EpochWitness) -> ListingVerdict:
    """Judge a listing; `held` is the known position, None if the topic is not known.

    >>> epochs = EpochWitness(confirmed=4)
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
    # The epoch of the known items was stated only once and differs from the confirmed one.
    is_mistaken = not epochs.is_confirmed(held.epoch) and listed.epoch == epochs.confirmed
    is_mistaken = is_mistaken and listed.epoch != UNKNOWN_EPOCH
    return ListingVerdict.TAKE if is_mistaken else ListingVerdict.OUTDATED


def judge_watch(
    held: Position, asked: Position, epoch: int, epochs: EpochWitness, *, has_changes: bool
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
