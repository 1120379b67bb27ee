"""Restricts requests under which replicas were lost.

A suspect request is sent to one replica for each try, and an entry runs no second copy of it. A
barred request, or one with a barred part of a prompt, is sent to none, and its attempts that
replicas have not begun are withdrawn. Requests of a caller that were all lost run one at a time,
with pauses. A body is hashed only if a request with the same path and key has a recorded loss.
"""

from collections.abc import Callable
from typing import Final

import trio
from headcross_base.errorcodes import ENDS_REPLICAS
from headcross_base.monotonic import monotonic
from headcross_base.verdicts import NotRun
from headcross_ports.published import Incarnation
from headcross_wire.peermessages import LossNews

from headcross_gateway.admitted import Admitted
from headcross_gateway.attribution import BARRED_SECONDS, Cause, Standing
from headcross_gateway.losscatchup import LossCatchUp
from headcross_gateway.losses import Evidence, LossKey
from headcross_gateway.lossnews import SharedLosses
from headcross_gateway.losswatch import LossWatch
from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.requestidentity import scope_of

# Retry-after time for a caller while another copy of its request runs.
SUSPECT_RETRY_SECONDS: Final = 1.0
# Retry-after time for a request that is refused for as long as such requests come.
PART_RETRY_SECONDS: Final = BARRED_SECONDS


class Containment:
    """Decides for one entry whether a request may be sent to a replica, and to a second one."""

    shared: SharedLosses
    watch: LossWatch

    def __init__(
        self,
        find_replica: Callable[[str], ReplicaState | None],
        list_is_known: Callable[[], bool],
        catch_up: LossCatchUp,
    ) -> None:
        """Create an entry's containment without recorded losses.

        `find_replica` returns the state of a listed replica by its id, None if it is not listed;
        `list_is_known` returns whether the list of replicas was received.
        """
        self._catch_up = catch_up
        self._find_replica = find_replica
        self._list_is_known = list_is_known
        self._news_pending = trio.Event()
        self.shared = SharedLosses(lambda: self._news_pending.set())
        self.watch = LossWatch(self.shared)

    def is_behind(self) -> bool:
        """Return whether this entry may have missed news of losses."""
        return self._catch_up.is_behind()

    async def wait_until_informed(self) -> None:
        """Wait, for a limited time, for news that this entry may have missed."""
        if self.is_behind():
            await self._catch_up.wait()

    def is_clear(self, request: Admitted) -> bool:
        """Return whether no losses count against a request, its caller or a part of its prompt.

        Only such a request may be sent to a second replica.
        """
        return self._standing_of(request) is Standing.CLEAR and self._shared_cause(request) is None

    def refusal_of(self, request: Admitted) -> NotRun | None:
        """Return why a request may not be sent to a replica now, None if it may."""
        cause = self._shared_cause(request)
        if cause is not None:
            request.barring_cause = cause
            return self._refusal_by_caller(request, cause) if cause.is_caller else _by_part(cause)
        match self._standing_of(request):
            case Standing.CLEAR:
                return None
            case Standing.SUSPECT:
                # Refusing a request that was already tried has no benefit.
                if request.tried or not self.watch.count_under_way(request.identity):
                    return None
                detail = "replicas ended under this request, and another copy of it runs"
                return NotRun(ENDS_REPLICAS, detail, SUSPECT_RETRY_SECONDS)
            case Standing.BARRED:
                return self._refusal_of_barred(request)

    def _standing_of(self, request: Admitted) -> Standing:
        """Return a request's standing; hash its body only if its scope has a recorded loss."""
        losses = self.shared.losses
        if losses.is_empty:
            return Standing.CLEAR
        if not losses.has_loss_in_scope(scope_of(request.exchange.request, request.facts.key)):
            return Standing.CLEAR
        return losses.standing(request.identity, monotonic())

    def _shared_cause(self, request: Admitted) -> Cause | None:
        """Return the part of its prompt, or the caller, because of which it is restricted."""
        losses = self.shared.losses
        if losses.is_empty:
            return None
        cause = losses.cause_of_shared(request.shared_traits)
        if cause is not None:
            losses.note_refused(cause.shared_traits, monotonic())
        return cause

    def _refusal_by_caller(self, request: Admitted, cause: Cause) -> NotRun | None:
        """Return why a request is refused because of its caller, None if it is not."""
        if request.tried:
            return None
        seconds = cause.barred_until() - monotonic()
        if seconds > 0:
            detail = "replicas ended under all recent requests of this team and route"
            return NotRun(ENDS_REPLICAS, detail, round(seconds, 1))
        if self.watch.count_affected_under_way(cause):
            detail = "replicas ended under this team and route, and another such request runs"
            return NotRun(ENDS_REPLICAS, detail, SUSPECT_RETRY_SECONDS)
        return None

    def _refusal_of_barred(self, request: Admitted) -> NotRun:
        cause = self.shared.losses.cause_of_request(request.identity)
        assert cause is not None
        request.barring_cause = cause
        seconds = max(SUSPECT_RETRY_SECONDS, cause.barred_until() - monotonic())
        detail = f"{len(cause.losses)} replicas ended under this request ({cause})"
        return NotRun(ENDS_REPLICAS, detail, round(seconds, 1))

    async def wait_pending_news(self) -> LossNews:
        """Wait until this entry has news that the others do not know, and return it."""
        while True:
            await self._news_pending.wait()
            self._news_pending = trio.Event()
            self.update()
            news = self.shared.take_pending(monotonic())
            if news is not None:
                return news

    def receive(self, news: LossNews) -> None:
        """Apply the news of another entry."""
        self.shared.receive(news, monotonic())
        self.update()
        if news.answered_number is not None:
            self._catch_up.note_answer(news.answered_number)

    def update(self) -> None:
        """Update the losses from what is known of replicas, and withdraw barred requests."""
        self.watch.check()
        self._confirm_ends()
        if self.shared.update(monotonic()):
            self.watch.withdraw(self.shared.barred())

    def _confirm_ends(self) -> None:
        """Record the end of replicas that were lost at any entry and have ended since.

        An entry that has just started has no attempts of its own that would show this.
        """
        for key, loss in self.shared.losses.losses().items():
            if loss.traits() and not loss.is_certain and self._has_ended(key):
                requests, shared = list(loss.requests), list(loss.shared_traits)
                self.shared.blame(key, requests, loss.at, Evidence.ENDED, shared)

    def _has_ended(self, key: LossKey) -> bool:
        state = self._find_replica(key.replica)
        if state is None:
            return self._list_is_known()
        lost = Incarnation(key.replica, key.started_ms)
        return state.replica.incarnation.differs_from(lost) or state.has_ended()


def _by_part(cause: Cause) -> NotRun:
    """Return the refusal of a request with a barred part in its prompt."""
    detail = f"{len(cause.losses)} replicas ended under a part of its prompt ({cause})"
    return NotRun(ENDS_REPLICAS, detail, PART_RETRY_SECONDS)
