"""What was sent to a replica and may still take effect, though it was not answered.

An order or a put without an answer is neither done nor lost: replicas took orders 10 s and more
after they had been sent, with whatever lay beside them by then. So while an order for one version
is in doubt nothing of another version is put beside the replica, and while a put of one version
is in doubt no other version is ordered. An order goes with the number of orders taken so far, so
that of any number of repeated ones the replica takes one at most: once that number has changed,
none of them can be taken any more.

The same holds for what an earlier process of this daemon sent. It tells the later one nothing, so
that goes by what lies beside the replica and by which versions were named lately.

Answers the load of versions that are named seconds apart while replicas answer late or not at all.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from headcross_facts.facts import VersionNotice
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaReport

# How long after it was sent something without an answer may still take effect.
LATE_SECONDS: Final = 15.0
# Entries that live tell a process within so long of its start which versions were named lately.
HEARD_SECONDS: Final = 2.0
# An order goes only if the read-back of its chunks began so lately. Chunks turn bad at any time,
# and one that is bad for 3 s must not be loaded; giving the order takes 1 s at most.
READ_BACK_SECONDS: Final = 1.5


@dataclass(frozen=True, slots=True)
class SentOrder:
    """An order to load a version, as it was sent."""

    goal: LoadedModel
    sequence: int  # orders that the replica had taken
    started_ms: int | None  # the life of the replica, if it tells that


class InDoubt:
    """The orders and puts of one replica that are in doubt; all times are monotonic.

    >>> report = ReplicaReport((), False, 0, 0, 0, 0, 0, 1.0)
    >>> doubt = InDoubt(0.0)
    >>> doubt.nothing_from_before()
    >>> doubt.sending(SentOrder(LoadedModel("m", 2), 0, None), 1.0)
    >>> doubt.may_stage(LoadedModel("m", 3), report, 2.0)
    False
    >>> doubt.may_stage(LoadedModel("m", 2), report, 2.0)
    True
    """

    # The order in doubt, the last one sent if it was repeated; None if there is none.
    order: SentOrder | None
    # When a put last ended, answered or not.
    last_put_at: float

    def __init__(self, now: float) -> None:
        """Begin at the start of this process: orders of an earlier one may be in doubt."""
        self.order = None
        self.last_put_at = float("-inf")
        # When each order was sent that is in doubt, all of them with the same number.
        self._sent_at: list[float] = []
        self._puts: dict[LoadedModel, float] = {}
        self._began = now
        self._from_before_until = now + LATE_SECONDS
        # Versions not loaded yet whose chunks lay beside the replica at the start.
        self._lay_there: set[LoadedModel] = set()
        # A replica where nothing lay and nobody has heard another process was added just now.
        self._nothing_lay_there = False
        self._follows_another = False
        self._heard_entry = False
        # A version whose chunks all lay beside the replica.
        self._lay_whole: LoadedModel | None = None
        # When the replica came to hold versions, as entries saw.
        self._loaded_at: dict[LoadedModel, float] = {}
        self._kept_whole: LoadedModel | None = None

    # What an earlier process sent.

    @property
    def ordered_before(self) -> LoadedModel | None:
        """The only version that an earlier process may have on order; None if not known."""
        return next(iter(self._lay_there)) if len(self._lay_there) == 1 else None

    def nothing_from_before(self) -> None:
        """Note that what lies beside the replica shows no order of an earlier process open."""
        self._from_before_until = float("-inf")

    def nothing_lay_there(self) -> None:
        """Note that no chunk lay beside the replica, so that nothing of it is on order."""
        self.nothing_from_before()
        self._nothing_lay_there = True

    def found_from_before(self, goal: LoadedModel) -> None:
        """Note that chunks of a version that is not loaded yet lay beside the replica.

        An earlier process put nothing of another version there while it had this one on order. So
        where chunks of two versions lie, it has none on order.
        """
        self._lay_there.add(goal)
        if len(self._lay_there) > 1:
            self.nothing_from_before()

    def lay_whole(self, goal: LoadedModel) -> None:
        """Note that all chunks of a version lay beside the replica.

        A process that was killed as it was about to load it, or whose replica has lost what it
        held, goes on without waiting for an entry's word: a fleet that was killed as a whole would
        serve nothing meanwhile.
        """
        self._lay_whole = goal

    def awaits_earlier(self, now: float) -> bool:
        """Tell whether an order of an earlier process may be open, for all that is known."""
        return now < self._from_before_until

    def hear_entry(self) -> None:
        """Note that an entry has told what it knows of the time before this process."""
        self._heard_entry = True

    def hear_process(self, at: float) -> None:
        """Take an entry's word that it heard a process here at some time."""
        self._follows_another |= at < self._began

    def hear_loaded(self, goal: LoadedModel, at: float) -> None:
        """Take an entry's word for when the replica came to hold a version."""
        self._loaded_at[goal] = max(at, self._loaded_at.get(goal, at))

    def earlier_put_may_land(
        self, goal: LoadedModel, held: int, notices: Iterable[VersionNotice], now: float
    ) -> bool:
        """Tell whether a put of another version by an earlier process may land yet.

        It may if another one was wanted here shortly before this process began: its chunks lay
        there, it was loaded lately, or it is newer than the one `held` (0: none) and was named
        before. `notices` are those of the goal's model that are known.
        """
        if self.earlier_puts_are_over(now):
            return False
        told = self._heard_entry or now >= self._began + HEARD_SECONDS
        if self._lay_there - {goal} or not (told or self._lay_whole == goal):
            return True
        loaded = (at for each, at in self._loaded_at.items() if each != goal and at < self._began)
        if now < max(loaded, default=float("-inf")) + LATE_SECONDS:
            return True
        others = (n for n in notices if held < n.version != goal.version)
        return any(notice.at_start or notice.seen_at < self._began for notice in others)

    def earlier_puts_are_over(self, now: float) -> bool:
        """Tell whether nothing that an earlier process put can land any more.

        At a replica that was added with its host there was none.
        """
        if self._nothing_lay_there and not self._follows_another:
            return now >= self._began + HEARD_SECONDS
        return now >= self._began + LATE_SECONDS

    def keep_whole(self, goal: LoadedModel | None) -> None:
        """Note that the chunks of a version are being kept whole for an earlier order, or None."""
        self._kept_whole = goal

    # Orders.

    def sending(self, order: SentOrder, now: float) -> None:
        """Note an order that is about to be sent; it is in doubt until it is answered."""
        self.order = order
        self._sent_at.append(now)

    def settle(self) -> None:
        """Note that no order in doubt can begin a load any more."""
        self.order = None
        self._sent_at.clear()

    def refused(self, now: float) -> None:
        """Note that the last order was refused, or never left this process.

        Earlier ones without an answer stay in doubt, but not for ever.
        """
        if self._sent_at:
            self._sent_at.pop()
        if all(now - at >= LATE_SECONDS for at in self._sent_at):
            self.settle()

    def see(self, report: ReplicaReport) -> bool:
        """Take a report that was read after the order was sent; tell whether it settles it."""
        order = self.order
        if order is None:
            return False
        told = order.started_ms is not None and report.started_ms is not None
        same_life = not told or order.started_ms == report.started_ms
        if same_life and report.order_sequence == order.sequence:
            return False
        self.settle()
        return True

    def may_order(self, goal: LoadedModel, now: float) -> bool:
        """Tell whether no put of another version can land beside the replica any more."""
        self._puts = {g: at for g, at in self._puts.items() if now - at < LATE_SECONDS}
        return all(put == goal for put in self._puts)

    # Puts.

    def put_unanswered(self, goal: LoadedModel, now: float) -> None:
        """Note that a chunk was put without an answer."""
        self._puts[goal] = now

    def may_stage(self, goal: LoadedModel, report: ReplicaReport | None, now: float) -> bool:
        """Tell whether chunks of a version may be put beside the replica now."""
        if report is None or report.busy_loading:
            return False
        if self.awaits_earlier(now) and self.ordered_before != goal:
            return False
        if self._kept_whole not in (None, goal):
            return False
        return self.order is None or self.order.goal == goal
