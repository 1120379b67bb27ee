"""Restricts requests under which replicas were lost.

A suspect request is sent to one replica for each try, and an entry runs no second copy of it. A
barred request is sent to none, and its attempts that replicas have not begun are withdrawn. A
body is hashed only if a request with the same path and key has a recorded loss.
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
from headcross_gateway.grouplosses import paused_until
from headcross_gateway.lossnews import SharedLosses
from headcross_gateway.losswatch import LossWatch
from headcross_gateway.replicalosses import NEVER, Evidence, LossKey, Standing
from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.requestidentity import scope_of

# Retry-after time for a caller while another copy of its request runs.
SUSPECT_RETRY_SECONDS: Final = 1.0


class Containment:
    """Decides for one entry whether a request may be sent to a replica, and to a second one."""

    shared: SharedLosses
    watch: LossWatch

    def __init__(
        self,
        host: str,
        find_replica: Callable[[str], ReplicaState | None],
        list_is_known: Callable[[], bool],
    ) -> None:
        """Create an entry's containment without recorded losses.

        `find_replica` returns the state of a listed replica by its id, None if it is not listed;
        `list_is_known` returns whether the list of replicas was received.
        """
        self._find_replica = find_replica
        self._list_is_known = list_is_known
        self._news_pending = trio.Event()
        self.shared = SharedLosses(host, lambda: self._news_pending.set())
        self.watch = LossWatch(self.shared)

    def standing_of(self, request: Admitted) -> Standing:
        """Return a request's standing; hash its body only if its scope has a recorded loss."""
        losses = self.shared.losses
        if losses.is_empty:
            return Standing.CLEAR
        if not losses.has_loss_in_scope(scope_of(request.exchange.request, request.facts.key)):
            return Standing.CLEAR
        return losses.standing(request.identity, monotonic())

    def is_clear(self, request: Admitted) -> bool:
        """Return whether neither a request nor its group is suspect, barred or restricted.

        Only such a request may be sent to a second replica.
        """
        return self.standing_of(request) is Standing.CLEAR and not self._is_group_restricted(
            request
        )

    def refusal_of(self, request: Admitted) -> NotRun | None:
        """Return why a request may not be sent to a replica now, None if it may."""
        match self.standing_of(request):
            case Standing.CLEAR:
                return self._refusal_of_group(request)
            case Standing.SUSPECT:
                # Refusing a request that was already tried has no benefit.
                if request.tried or not self.watch.count_under_way(request.identity):
                    return None
                detail = "replicas ended under this request, and another copy of it runs"
                return NotRun(ENDS_REPLICAS, detail, SUSPECT_RETRY_SECONDS)
            case Standing.BARRED:
                return self._refusal_of_barred(request)

    def _is_group_restricted(self, request: Admitted) -> bool:
        return self._paused_until(request) > NEVER

    def _paused_until(self, request: Admitted) -> float:
        """Return the time until which a request's group pauses, NEVER if it is not restricted."""
        shared, now = self.shared, monotonic()
        if shared.losses.is_empty or not shared.groups.is_mostly_lost(request.group, now):
            return NEVER
        return paused_until(shared.losses.loss_times(request.group), now)

    def _refusal_of_group(self, request: Admitted) -> NotRun | None:
        """Return why a request is refused because of its group, None if it is not."""
        seconds = self._paused_until(request) - monotonic()
        if request.tried or seconds == NEVER:
            return None
        if seconds > 0:
            detail = "replicas ended under other requests of this team and route"
            return NotRun(ENDS_REPLICAS, detail, round(seconds, 1))
        if self.watch.count_group_under_way(request.group):
            detail = "replicas ended under this team and route, and another such request runs"
            return NotRun(ENDS_REPLICAS, detail, SUSPECT_RETRY_SECONDS)
        return None

    def _refusal_of_barred(self, request: Admitted) -> NotRun:
        suspicion = self.shared.losses.suspicion(request.identity)
        assert suspicion is not None
        seconds = max(SUSPECT_RETRY_SECONDS, suspicion.barred_until() - monotonic())
        detail = f"{suspicion.losses} replicas ended under this request ({suspicion.identity})"
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
        """Store the news of another entry; `update` applies it."""
        self.shared.receive(news, monotonic())

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
            if loss.requests and not loss.is_certain and self._has_ended(key):
                self.shared.blame(key, list(loss.requests), loss.at, Evidence.ENDED)

    def _has_ended(self, key: LossKey) -> bool:
        state = self._find_replica(key.replica)
        if state is None:
            return self._list_is_known()
        lost = Incarnation(key.replica, key.started_ms)
        return state.replica.incarnation.differs_from(lost) or state.has_ended()
