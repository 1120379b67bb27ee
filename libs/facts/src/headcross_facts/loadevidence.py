"""Decides whether a load is known to have been intact, from the evidence about it.

A load is the loading of a weights version by a replica. A replica does not verify what it loads,
and its staged chunks show what is staged now, not what was loaded: a bad chunk may have been
replaced since. So a load takes requests only if something vouches for it:

| evidence | vouches |
|---|---|
| the incarnation has accepted no order: the platform loaded the version | yes |
| its order was answered in time after a read-back, to this process | yes |
| a running process found the load bad | never, whatever else is known |
| a running process knows that it was intact | yes |
| a read-back after it found all chunks intact, and this process replaced none since | yes |
| a read-back found bad chunks, or this process replaced some since | no |

The daemon beside a replica and the entries that send it requests both decide here. A load whose
beginning a process saw and that it cannot vouch for is suspect: the process tells others so. Of an
older load it can only say that it does not know.
"""

from dataclasses import dataclass
from enum import Enum


class LoadStatus(Enum):
    """Whether a load is known to be intact."""

    CONFIRMED = "confirmed"
    UNCONFIRMED = "unconfirmed"
    SUSPECT = "suspect"


@dataclass(frozen=True, slots=True)
class ReadBack:
    """The result of reading back a loaded version's staged chunks after the load."""

    bad_chunks: frozenset[int]
    # Whether this process has put a chunk since before the load, or a put of it may have taken
    # effect since: a chunk that is intact now may have been bad as it was loaded.
    put_since: bool

    @property
    def shows_intact(self) -> bool:
        """Whether all chunks are intact, and were when they were loaded."""
        return not self.bad_chunks and not self.put_since


@dataclass(frozen=True, slots=True)
class LoadEvidence:
    """What one process knows about one load."""

    # Number of orders that the incarnation had accepted when it held the load; None if unknown.
    orders: int | None = None
    # Whether this process got the answer to the load's order in time after a read-back.
    order_answered: bool = False
    # Whether this process has read a report from before the load.
    saw_beginning: bool = False
    told: LoadStatus = LoadStatus.UNCONFIRMED  # by other processes
    read_back: ReadBack | None = None


def judge(evidence: LoadEvidence) -> LoadStatus:
    """Return the status of a load.

    >>> judge(LoadEvidence(orders=0))
    <LoadStatus.CONFIRMED: 'confirmed'>
    >>> judge(LoadEvidence(orders=3, read_back=ReadBack(frozenset({7}), put_since=False)))
    <LoadStatus.UNCONFIRMED: 'unconfirmed'>
    """
    if evidence.orders == 0 or evidence.order_answered:
        return LoadStatus.CONFIRMED
    if evidence.told is LoadStatus.SUSPECT:
        return LoadStatus.SUSPECT
    read_back = evidence.read_back
    if evidence.saw_beginning and read_back is not None and not read_back.shows_intact:
        return LoadStatus.SUSPECT
    if evidence.told is LoadStatus.CONFIRMED:
        return LoadStatus.CONFIRMED
    if read_back is not None and read_back.shows_intact:
        return LoadStatus.CONFIRMED
    return LoadStatus.UNCONFIRMED


def combine(first: LoadStatus, second: LoadStatus) -> LoadStatus:
    """Return what two processes together say of a load: a suspicion outweighs a confirmation.

    >>> combine(LoadStatus.CONFIRMED, LoadStatus.SUSPECT)
    <LoadStatus.SUSPECT: 'suspect'>
    """
    said = {first, second}
    for status in (LoadStatus.SUSPECT, LoadStatus.CONFIRMED):
        if status in said:
            return status
    return LoadStatus.UNCONFIRMED
