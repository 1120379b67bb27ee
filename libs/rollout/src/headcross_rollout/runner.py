"""Rollout of one upstream: a task that brings its engine to the target weights step by step.

The steps are: find the target, stage its weights while the old version still serves, wait for
permission to stop serving, drain, send the order, check what the engine reports, serve. Each step
uses the documents in force at that time, so a newer fleet file cancels a transfer at once and
gives a waiting upstream its new target. Without current documents an upstream keeps the weights
that it has and continues to serve.

Only weights whose digest the engine itself reports are ever served.
"""

from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.decisions import Journal
from headcross_base.errorcodes import ENGINE_MISMATCH, FACTS_OLD, ORDER_FAILED
from headcross_base.errors import Failure, Ok
from headcross_base.monotonic import monotonic
from headcross_fleet.documents import DocumentRevisions, Documents
from headcross_fleet.following import ConfigFollower
from headcross_fleet.upstreamgate import (
    EMPTY,
    LEAVING,
    LOADING,
    SERVING,
    STAGED,
    STAGING,
    UpstreamGate,
)
from headcross_native.engine import Engine, EngineState, WeightsOrder, serving_digest
from headcross_weights.swarm import Swarm
from headcross_wire.peermessages import TurnKind

from headcross_rollout.orders import OrderIssuer
from headcross_rollout.target import Target, Targets
from headcross_rollout.turnclient import TurnClient
from headcross_rollout.turns import Turn

ENGINE_POLL_SECONDS: Final = 0.5  # between reads of an engine that needs no change
RETRY_DELAY_SECONDS: Final = 1.0  # after a failure
TURN_POLL_SECONDS: Final = 0.3  # between questions whether this upstream may stop serving
LOAD_POLL_SECONDS: Final = 0.1
LOAD_TIMEOUT_SECONDS: Final = 900.0  # a load that takes longer counts as failed
TURN_POLL_MAX_SECONDS: Final = 5.0
STAND_IN_POLL_SECONDS: Final = 2.0  # between a spare's questions about silent upstreams
# After this many unanswered reads in a row an upstream stops serving; one or two may be due to
# load.
MAX_ENGINE_FAILURES: Final = 3
# Only the first spares of a pool ask whether an upstream is silent.
MAX_POLLING_SPARES: Final = 8


@dataclass(slots=True)
class RunnerContext:
    """Objects that all runners of a process share."""

    documents: Documents
    follower: ConfigFollower
    targets: Targets
    swarm: Swarm
    turns: TurnClient
    journal: Journal


class UpstreamRunner:
    """Brings one upstream to its target and keeps it there."""

    # The target whose weights are staged or held, for heartbeats; None if there is none.
    target: Target | None
    # The engine's last report; None before the first one and while the engine does not answer.
    engine_state: EngineState | None
    # When that report was received, in seconds on the monotonic clock.
    engine_state_at: float

    def __init__(
        self, gate: UpstreamGate, engine: Engine, orders: OrderIssuer, context: RunnerContext
    ) -> None:
        self.target = None
        self.engine_state = None
        self.engine_state_at = 0.0
        self._gate = gate
        self._engine = engine
        self._orders = orders
        self._context = context
        self._fence_checked = False
        self._engine_failures = 0
        self._stand_in_pool: str | None = None
        self._stand_in_polled_at = float("-inf")

    @property
    def progress(self) -> float:
        """The share of the target's weights that this host holds, from 0 to 1."""
        if self.target is None:
            return 0.0
        shares = [self._context.swarm.progress(a.digest) for a in self.target.artifacts]
        return sum(shares) / len(shares)

    async def run(self) -> None:
        """Run until cancelled; the first step waits for settled configuration."""
        await self._context.follower.settled.wait()
        while True:
            pause = await self._step()
            with trio.move_on_after(pause):
                await self._context.documents.wait_change()

    async def _step(self) -> float:
        """Take the next step; return the seconds to wait before the one after it."""
        state = await self._read_engine()
        if state is None:
            self._engine_failures += 1
            self._record_decision("engine-silent", "the engine does not answer")
            if self._engine_failures >= MAX_ENGINE_FAILURES:
                self._gate.set_state(EMPTY, self._gate.pool)
            return ENGINE_POLL_SECONDS
        self._engine_failures = 0
        self.target = await self._find_target()
        self._sync_gate(state)
        if self.target is None:
            return await self._unload(state)
        served = (self._gate.state, self._gate.pool, self._gate.digest)
        if served == (SERVING, self.target.pool, self.target.digest):
            return ENGINE_POLL_SECONDS
        return await self._roll_out(self.target)

    async def _read_engine(self) -> EngineState | None:
        outcome = await self._engine.read_state()
        if isinstance(outcome, Failure):
            self.engine_state = None
            return None
        self.engine_state = outcome.value
        self.engine_state_at = monotonic()
        if not self._fence_checked:
            self._orders.raise_incarnation_above(outcome.value)
            self._fence_checked = True
        return outcome.value

    async def _find_target(self) -> Target | None:
        """Return the upstream's assigned target, or that of a pool in which it stands in."""
        targets = self._context.targets
        assigned = targets.of_upstream(self._gate.name)
        if assigned is not None:
            return assigned
        pool = await self._find_stand_in_pool()
        return targets.of_pool(pool) if pool is not None else None

    async def _find_stand_in_pool(self) -> str | None:
        """Return the pool in which this spare is to stand in for a silent upstream, or None.

        Entries are asked at most every STAND_IN_POLL_SECONDS; in between, the last result holds.
        """
        if monotonic() - self._stand_in_polled_at < STAND_IN_POLL_SECONDS:
            last_pool = self._stand_in_pool
            return last_pool if last_pool in self._context.targets.placement.pools else None
        self._stand_in_polled_at = monotonic()
        self._stand_in_pool = None
        for name, placement in self._context.targets.placement.pools.items():
            if self._gate.name not in placement.spares[:MAX_POLLING_SPARES]:
                continue
            turn = await self._context.turns.ask("stand-in", self._gate.name, name, "")
            if turn.now:
                self._record_decision("stand-in", turn.reason)
                self._stand_in_pool = name
                break
        return self._stand_in_pool

    def _sync_gate(self, state: EngineState) -> None:
        """Open or close the gate by the weights that the engine reports, whatever was ordered."""
        digest = _loaded_digest(state)
        if self._gate.state == SERVING and digest != self._gate.digest:
            self._record_decision(
                "engine-changed", f"the engine now reports {digest[:12] or 'nothing'}"
            )
            self._gate.set_state(EMPTY, self._gate.pool)
        if self._gate.state == SERVING or not digest:
            return
        preferred = self.target.pool if self.target is not None else None
        pool = self._context.targets.pool_with_digest(digest, preferred)
        if pool is not None:
            self._record_decision("serving", f"the engine reports {digest[:12]} of pool {pool}")
            self._gate.set_state(SERVING, pool, digest)

    async def _roll_out(self, target: Target) -> float:
        """Bring the upstream to a target; return the seconds to wait before the next step."""
        if not await self._stage(target):
            return RETRY_DELAY_SECONDS
        if self._gate.state == SERVING:
            revisions = self._context.documents.revisions
            turn = await self._ask_turn(target)
            self._record_decision("turn" if turn.now else "wait-turn", turn.reason)
            if not turn.now:
                return self._turn_poll_delay(turn)
            if not await self._stop_serving(revisions):
                return 0.0
            if self._gate.digest == target.digest:
                # The new pool has the same weights: nothing to load.
                self._gate.set_state(SERVING, target.pool, target.digest)
                return 0.0
        else:
            self._gate.set_state(STAGED, target.pool)
        return await self._load(target)

    async def _stage(self, target: Target) -> bool:
        """Fetch all weights of a target; return False if that failed or was superseded."""
        swarm = self._context.swarm
        if self._gate.state != SERVING:
            self._gate.set_state(STAGING, target.pool)
        # This unpins the previous weights: those that the engine has loaded need not stay in the
        # chunk store.
        swarm.store.pin(self._gate.name, {artifact.digest for artifact in target.artifacts})
        all_fetched = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_if_superseded, target, nursery.cancel_scope)
            for artifact in target.artifacts:
                host_names = self._context.targets.hosts_needing(artifact)
                outcome = await swarm.fetch(artifact, host_names, target.origin_copies)
                if isinstance(outcome, Failure):
                    self._record_decision(outcome.reason.code, outcome.detail)
                    break
            else:
                all_fetched = True
            nursery.cancel_scope.cancel()
        return all_fetched

    async def _cancel_if_superseded(self, target: Target, scope: trio.CancelScope) -> None:
        while True:
            await self._context.documents.wait_change()
            current = self._current_target(target)
            if current is None or current.digest != target.digest:
                self._record_decision("superseded", f"transfer of {target.digest[:12]} cancelled")
                scope.cancel()

    def _current_target(self, target: Target) -> Target | None:
        """Return this upstream's target by the documents in force now, or None if it has none.

        For a spare this is the current target of the pool of `target`, in which it stands in.
        """
        targets = self._context.targets
        assigned = targets.of_upstream(self._gate.name)
        if assigned is not None or targets.pool(target.pool) is None:
            return assigned
        is_spare = self._gate.name in targets.placement.pools[target.pool].spares
        return targets.of_pool(target.pool) if is_spare else None

    async def _ask_turn(self, target: Target | None) -> Turn:
        """Ask entries whether this upstream may stop serving its pool.

        `target` is what it is to serve next, None if nothing.
        """
        served = self._gate.pool
        if self._context.targets.pool(served) is None:
            return Turn(True, f"pool {served} is not in the file any more")
        kind: TurnKind = "leave"
        if target is not None and served == target.pool:
            kind = "swap"
        digest = target.digest if target is not None else ""
        return await self._context.turns.ask(kind, self._gate.name, served, digest)

    def _turn_poll_delay(self, turn: Turn) -> float:
        """Return the seconds until the next question; more for upstreams late in the rank order.

        The number of questions from a whole pool therefore grows with the logarithm of its size.
        """
        pool = self._context.targets.pool(self._gate.pool)
        max_unavailable = pool.max_unavailable if pool is not None else 1
        return min(
            TURN_POLL_MAX_SECONDS, TURN_POLL_SECONDS * max(1.0, turn.before / max_unavailable)
        )

    async def _stop_serving(self, revisions: DocumentRevisions) -> bool:
        """Refuse new requests and wait until running ones end or continue at another upstream.

        `revisions` are those of the documents by which the turn was granted. Returns False if
        others are in force by now; the upstream then keeps serving.
        """
        if not await self._orders.ensure_current_documents():
            self._record_decision(FACTS_OLD.code, "decide anew before leaving")
            return False
        if revisions != self._context.documents.revisions:
            return False
        served = self._gate.pool
        pool = self._context.targets.pool(served)
        drain = pool.drain_seconds if pool is not None else 0.0
        self._gate.set_state(LEAVING, served, self._gate.digest)
        with trio.move_on_after(drain) as scope:
            await self._gate.wait_idle()
        if scope.cancelled_caught:
            self._record_decision(
                "hand-off", f"requests still run after {drain} s; resumable ones move"
            )
            self._gate.hand_off.set()
            # Requests that cannot be resumed run until their own deadlines; none is cut off.
            await self._gate.wait_idle()
        return True

    async def _load(self, target: Target) -> float:
        """Order the engine to load the target; serve once it reports exactly those weights.

        Returns the seconds to wait before the next step.
        """
        self._gate.set_state(LOADING, target.pool)
        weights = [WeightsOrder(artifact.name, artifact.digest) for artifact in target.artifacts]
        outcome = await self._orders.issue(weights, target.revision)
        if isinstance(outcome, Failure) and outcome.reason is not ORDER_FAILED:
            # Withheld or refused: the next step reads the engine's state and decides again.
            self._gate.set_state(STAGED, target.pool)
            return 0.0 if outcome.reason is FACTS_OLD else RETRY_DELAY_SECONDS
        # If the outcome is unknown the engine may have taken the order: read its state.
        state = await self._await_load(target)
        if state is None:
            self._gate.set_state(STAGED, target.pool)
            return RETRY_DELAY_SECONDS
        if _loaded_digest(state) != target.digest:
            detail = f"ordered {target.digest[:12]}, reported {_loaded_digest(state)[:12]}"
            self._record_decision(ENGINE_MISMATCH.code, f"{detail} {state.error}")
            self._gate.set_state(STAGED, target.pool)
            return RETRY_DELAY_SECONDS
        self._record_decision("serving", f"the engine reports {target.digest[:12]} as ordered")
        self._gate.set_state(SERVING, target.pool, target.digest)
        return 0.0

    async def _await_load(self, target: Target) -> EngineState | None:
        """Return the engine's state once it has finished loading.

        Returns None if the engine stops answering or loads for longer than LOAD_TIMEOUT_SECONDS.
        """
        with trio.move_on_after(LOAD_TIMEOUT_SECONDS):
            failures = 0
            while failures < 5:
                await trio.sleep(LOAD_POLL_SECONDS)
                state = await self._read_engine()
                failures = failures + 1 if state is None else 0
                if state is not None and not state.loading:
                    return state
        self._record_decision(ORDER_FAILED.code, f"load of {target.digest[:12]} not confirmed")
        return None

    async def _unload(self, state: EngineState) -> float:
        """Stop serving when permitted, then empty the engine of an upstream without a target.

        Returns the seconds to wait before the next step.
        """
        if self._gate.state == SERVING:
            revisions = self._context.documents.revisions
            turn = await self._ask_turn(None)
            self._record_decision("turn" if turn.now else "wait-turn", turn.reason)
            if not turn.now:
                return self._turn_poll_delay(turn)
            if not await self._stop_serving(revisions):
                return 0.0
        elif self._gate.state != EMPTY:
            self._gate.set_state(EMPTY, "")
        if not state.loaded:
            return ENGINE_POLL_SECONDS
        revision = self._context.documents.revision
        outcome = await self._orders.issue([], revision)
        if isinstance(outcome, Ok):
            self._gate.set_state(EMPTY, "")
        return RETRY_DELAY_SECONDS

    def _record_decision(self, kind: str, reason: str) -> None:
        self._context.journal.record(kind, self._gate.name, reason)


def _loaded_digest(state: EngineState) -> str:
    """Return the combined digest of the loaded weights; empty while the engine loads."""
    if state.loading or not state.loaded:
        return ""
    return serving_digest([weights.digest for weights in state.loaded])
