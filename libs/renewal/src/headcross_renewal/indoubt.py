"""Tracks calls to a replica that were not answered and may still take effect.

An order or a put without an answer is in doubt: replicas have accepted orders 10 s and more after
they were sent, and then loaded whatever was staged by that time. So while an order for one version
is in doubt, no chunk of another version is staged, and while a put of one version is in doubt, no
other version is ordered. An order carries the number of orders that the replica had accepted when
it was sent, so the replica accepts at most one of any number of repeats: once the number has
changed, it rejects all of them.

The same applies to calls sent by an earlier process of this daemon. No record of them is left, so
they are inferred from the chunks staged at the replica and from the versions named recently.

This keeps loads from mixing versions that are named seconds apart while the replica answers late
or not at all.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from headcross_facts.facts import VersionNotice
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import ReplicaReport

from headcross_renewal.stagedcopy import ReplacedChunk

# A call without an answer may still take effect until this long after it was sent.
LATE_SECONDS: Final = 15.0
# Within this time of a process's start, running entries send it the recently named versions.
ENTRY_NOTICE_SECONDS: Final = 2.0
# Chunks can turn bad at any time. A load is intact if each of its chunks was intact within this
# time before it.
BAD_CHUNK_SECONDS: Final = 3.0
# An order is sent only if the read-back of its chunks began at most this long ago. Sending it
# takes at most 1 s.
READ_BACK_VALID_SECONDS: Final = 1.5


@dataclass(frozen=True, slots=True)
class SentOrder:
    """An order to load a version, as it was sent."""

    goal: LoadedModel
    sequence: int  # number of orders that the replica had accepted
    started_ms: int | None  # start time of the replica's incarnation, None if it reports none


class InDoubtCalls:
    """The orders and puts of one replica that are in doubt; all times are monotonic, in seconds.

    >>> report = ReplicaReport((), False, 0, 0, 0, 0, 0, 1.0)
    >>> doubt = InDoubtCalls(0.0)
    >>> doubt.rule_out_earlier_order()
    >>> doubt.record_sent(SentOrder(LoadedModel("m", 2), 0, None), 1.0)
    >>> doubt.may_stage(LoadedModel("m", 3), report, 2.0)
    False
    >>> doubt.may_stage(LoadedModel("m", 2), report, 2.0)
    True
    """

    # The order in doubt (the last repeat of it), None if there is none.
    order: SentOrder | None
    # When the last put ended, answered or not.
    last_put_at: float
    # The bad chunk that was replaced last, None if none was.
    last_replaced: ReplacedChunk | None

    def __init__(self, now: float) -> None:
        """Start with an earlier process's orders in doubt; `now` is this process's start."""
        self.order = None
        self.last_put_at = float("-inf")
        self.last_replaced = None
        # Send times of the order in doubt and its repeats, which all carry the same sequence.
        self._sent_at: list[float] = []
        self._unanswered_puts: dict[LoadedModel, float] = {}
        self._started_at = now
        self._earlier_order_until = now + LATE_SECONDS
        # Versions not loaded yet of which chunks were staged when this process started.
        self._staged_at_start: set[LoadedModel] = set()
        # If nothing was staged and no entry knows of an earlier process, the replica is new.
        self._empty_at_start = False
        self._had_earlier_process = False
        self._entry_replied = False
        # The version of which all chunks were staged when this process started.
        self._complete_at_start: LoadedModel | None = None
        # When entries learned that the replica had loaded each version; the latest report counts.
        self._loaded_at: dict[LoadedModel, float] = {}
        self._reserved_for: LoadedModel | None = None

    # Calls of an earlier process.

    @property
    def earlier_order_goal(self) -> LoadedModel | None:
        """The only version that an earlier process may have ordered, None if not known."""
        return next(iter(self._staged_at_start)) if len(self._staged_at_start) == 1 else None

    def rule_out_earlier_order(self) -> None:
        """Record that no order of an earlier process can be in doubt."""
        self._earlier_order_until = float("-inf")

    def record_empty_staging(self) -> None:
        """Record that no chunk was staged, so no earlier order can be in doubt."""
        self.rule_out_earlier_order()
        self._empty_at_start = True

    def record_staged_version(self, goal: LoadedModel) -> None:
        """Record that chunks of a version that is not loaded yet were staged at the start.

        A process with an order in doubt stages chunks of no other version. So if chunks of two
        versions are staged, an earlier process has no order in doubt.
        """
        self._staged_at_start.add(goal)
        if len(self._staged_at_start) > 1:
            self.rule_out_earlier_order()

    def record_complete_staging(self, goal: LoadedModel) -> None:
        """Record that all chunks of a version were staged.

        If the earlier process was killed just before the load, or the replica has lost its loaded
        weights, this process continues without waiting for an entry's notices: if the whole fleet
        was killed, nothing would be served meanwhile.
        """
        self._complete_at_start = goal

    def earlier_order_possible(self, now: float) -> bool:
        """Return whether an order of an earlier process may be in doubt."""
        return now < self._earlier_order_until

    def record_entry_reply(self) -> None:
        """Record that an entry has sent what it knows about the time before this process."""
        self._entry_replied = True

    def record_process_seen(self, at: float) -> None:
        """Record that an entry received messages from a process of this daemon at `at`."""
        self._had_earlier_process |= at < self._started_at

    def record_loaded_at(self, goal: LoadedModel, at: float) -> None:
        """Record that an entry learned at `at` that the replica had loaded a version."""
        self._loaded_at[goal] = max(at, self._loaded_at.get(goal, at))

    def earlier_put_may_land(
        self, goal: LoadedModel, held: int, notices: Iterable[VersionNotice], now: float
    ) -> bool:
        """Return whether an earlier process's put of another version may still take effect.

        That is possible if the earlier process may have staged another version shortly before
        this process started: chunks of it were staged, it was loaded recently, or it is newer than
        the loaded version `held` (0 for none) and was named before the start. `notices` are the
        known ones for the model of `goal`.
        """
        if self.earlier_puts_expired(now):
            return False
        notices_complete = self._entry_replied or now >= self._started_at + ENTRY_NOTICE_SECONDS
        if self._staged_at_start - {goal} or not (
            notices_complete or self._complete_at_start == goal
        ):
            return True
        others_loaded_at = (
            at for m, at in self._loaded_at.items() if m != goal and at < self._started_at
        )
        if now < max(others_loaded_at, default=float("-inf")) + LATE_SECONDS:
            return True
        others = (n for n in notices if held < n.version != goal.version)
        return any(notice.at_start or notice.seen_at < self._started_at for notice in others)

    def earlier_puts_expired(self, now: float) -> bool:
        """Return whether no put of an earlier process can take effect any more.

        A replica that was added together with its host had no earlier process.
        """
        if self._empty_at_start and not self._had_earlier_process:
            return now >= self._started_at + ENTRY_NOTICE_SECONDS
        return now >= self._started_at + LATE_SECONDS

    def reserve_staging(self, goal: LoadedModel | None) -> None:
        """Allow staging of this version only, while it is repaired; None lifts the restriction."""
        self._reserved_for = goal

    # Orders.

    def record_sent(self, order: SentOrder, now: float) -> None:
        """Record an order that is about to be sent; it is in doubt until it is answered."""
        self.order = order
        self._sent_at.append(now)

    def settle(self) -> None:
        """Record that no order in doubt can start a load any more."""
        self.order = None
        self._sent_at.clear()

    def record_refused(self, now: float) -> None:
        """Record that the last order was refused, or never left this process.

        Earlier orders without an answer stay in doubt until `LATE_SECONDS` after they were sent.
        """
        if self._sent_at:
            self._sent_at.pop()
        if all(now - at >= LATE_SECONDS for at in self._sent_at):
            self.settle()

    def observe(self, report: ReplicaReport) -> bool:
        """Process a report read after the order was sent; return whether it settles the order."""
        order = self.order
        if order is None:
            return False
        both_known = order.started_ms is not None and report.started_ms is not None
        same_incarnation = not both_known or order.started_ms == report.started_ms
        if same_incarnation and report.order_sequence == order.sequence:
            return False
        self.settle()
        return True

    def may_order(self, goal: LoadedModel, now: float) -> bool:
        """Return whether no put of another version by this process can take effect any more."""
        self._unanswered_puts = {
            g: at for g, at in self._unanswered_puts.items() if now - at < LATE_SECONDS
        }
        return all(put == goal for put in self._unanswered_puts)

    # Puts.

    def record_unanswered_put(self, goal: LoadedModel, now: float) -> None:
        """Record that a put of a chunk was not answered."""
        self._unanswered_puts[goal] = now

    def record_early_puts(
        self,
        last_at: float,
        unanswered: Mapping[LoadedModel, float],
        last_replaced: ReplacedChunk | None = None,
    ) -> None:
        """Record the puts of this process from before its role, with the times of their end."""
        self.last_put_at = last_at
        self._unanswered_puts.update(unanswered)
        self.last_replaced = last_replaced

    def puts_effective_until(self, goal: LoadedModel) -> float:
        """Return until when puts may have taken effect that this process made of a version."""
        unanswered_at = self._unanswered_puts.get(goal, float("-inf"))
        return max(self.last_put_at, unanswered_at + LATE_SECONDS)

    def load_possible(self, now: float) -> bool:
        """Return whether a load may begin at any moment, by an order in doubt."""
        return self.order is not None or self.earlier_order_possible(now)

    def may_stage(self, goal: LoadedModel, report: ReplicaReport | None, now: float) -> bool:
        """Return whether chunks of a version may be staged at the replica now."""
        if report is None or report.busy_loading:
            return False
        if self.earlier_order_possible(now) and self.earlier_order_goal != goal:
            return False
        if self._reserved_for not in (None, goal):
            return False
        return self.order is None or self.order.goal == goal
