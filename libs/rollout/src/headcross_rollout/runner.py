"""The rollout of one upstream: one task that moves it, step by step, to what it is to hold.

Written straight down: find the target, stage its weights while the old version still serves, wait
for the turn, leave, give the order, check what the engine reports, serve. Each step looks at the
documents anew, so a superseding file cancels a transfer at once and turns a waiting step around.
On missing news the upstream holds what it has: it never stops serving because it cannot see.

Only weights whose digest the engine itself reports are ever served.
"""

from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.clocks import monotonic
from headcross_base.decisions import Journal
from headcross_base.errorcodes import ENGINE_MISMATCH, FACTS_OLD, ORDER_FAILED
from headcross_base.errors import Failure, Ok
from headcross_fleet.documents import Documents, Versions
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

from headcross_rollout.orders import OrderGiver
from headcross_rollout.target import Target, Targets
from headcross_rollout.turnclient import TurnClient
from headcross_rollout.turns import Turn

IDLE_SECONDS: Final = 0.5  # between looks at an engine that is as it should be
RETRY_SECONDS: Final = 1.0  # after something failed
TURN_SECONDS: Final = 0.3  # between two questions whether it is this upstream's turn
LOAD_POLL_SECONDS: Final = 0.1
LOAD_SECONDS: Final = 900.0  # an engine that loads for longer has failed
TURN_MAX_SECONDS: Final = 5.0
STAND_IN_LOOK_SECONDS: Final = 2.0  # between two looks of a spare for silent upstreams
# An engine that failed to answer so often in a row serves no more; once or twice may be load.
ENGINE_FAILURES: Final = 3
# Only the first spares of a pool watch for silent hosts.
WATCHING_SPARES: Final = 8


@dataclass(slots=True)
class RunnerContext:
    """What all runners of a process share."""

    documents: Documents
    follower: ConfigFollower
    targets: Targets
    swarm: Swarm
    turns: TurnClient
    journal: Journal


class UpstreamRunner:
    """Moves one upstream to its target."""

    # The weights being staged or held for it, for heartbeats; None when there are none.
    target: Target | None
    # The engine's last report; None before the first and while it does not answer.
    engine_state: EngineState | None
    # When that report came, on the monotonic clock.
    engine_state_at: float

    def __init__(
        self, gate: UpstreamGate, engine: Engine, orders: OrderGiver, context: RunnerContext
    ) -> None:
        self.target = None
        self.engine_state = None
        self.engine_state_at = 0.0
        self._gate = gate
        self._engine = engine
        self._orders = orders
        self._shared = context
        self._fence_checked = False
        self._engine_failures = 0
        self._stand_in_pool: str | None = None
        self._stand_in_looked_at = float("-inf")

    @property
    def progress(self) -> float:
        """The share of the target's weights that is here, 0 to 1."""
        if self.target is None:
            return 0.0
        shares = [self._shared.swarm.progress(a.digest) for a in self.target.artifacts]
        return sum(shares) / len(shares)

    async def run(self) -> None:
        """Run until cancelled."""
        await self._shared.follower.settled.wait()
        while True:
            pause = await self._step()
            with trio.move_on_after(pause):
                await self._shared.documents.wait_change()

    async def _step(self) -> float:
        """Do what is to be done next; return the seconds to wait before the next look."""
        state = await self._read_engine()
        if state is None:
            self._engine_failures += 1
            self._decide("engine-silent", "the engine does not answer")
            if self._engine_failures >= ENGINE_FAILURES:
                self._gate.set_state(EMPTY, self._gate.pool)
            return IDLE_SECONDS
        self._engine_failures = 0
        self.target = await self._find_target()
        self._settle_gate(state)
        if self.target is None:
            return await self._retire(state)
        served = (self._gate.state, self._gate.pool, self._gate.digest)
        if served == (SERVING, self.target.pool, self.target.digest):
            return IDLE_SECONDS
        return await self._move_to(self.target)

    async def _read_engine(self) -> EngineState | None:
        outcome = await self._engine.read_state()
        if isinstance(outcome, Failure):
            self.engine_state = None
            return None
        self.engine_state = outcome.value
        self.engine_state_at = monotonic()
        if not self._fence_checked:
            self._orders.start_above(outcome.value)
            self._fence_checked = True
        return outcome.value

    async def _find_target(self) -> Target | None:
        """Return what the upstream is to hold: its assignment, or a silent one's place."""
        targets = self._shared.targets
        assigned = targets.of_upstream(self._gate.name)
        if assigned is not None:
            return assigned
        pool = await self._find_silent_place()
        return targets.of_pool(pool) if pool is not None else None

    async def _find_silent_place(self) -> str | None:
        """Return the pool in which this spare is to stand in for a silent upstream."""
        if monotonic() - self._stand_in_looked_at < STAND_IN_LOOK_SECONDS:
            known = self._stand_in_pool
            return known if known in self._shared.targets.placement.pools else None
        self._stand_in_looked_at = monotonic()
        self._stand_in_pool = None
        for name, placement in self._shared.targets.placement.pools.items():
            if self._gate.name not in placement.spares[:WATCHING_SPARES]:
                continue
            turn = await self._shared.turns.ask("stand-in", self._gate.name, name, "")
            if turn.now:
                self._decide("stand-in", turn.reason)
                self._stand_in_pool = name
                break
        return self._stand_in_pool

    def _settle_gate(self, state: EngineState) -> None:
        """Make the gate agree with what the engine reports, and with nothing else."""
        digest = _loaded_digest(state)
        if self._gate.state == SERVING and digest != self._gate.digest:
            self._decide("engine-changed", f"the engine now reports {digest[:12] or 'nothing'}")
            self._gate.set_state(EMPTY, self._gate.pool)
        if self._gate.state == SERVING or not digest:
            return
        preferred = self.target.pool if self.target is not None else None
        pool = self._shared.targets.pool_serving(digest, preferred)
        if pool is not None:
            self._decide("serving", f"the engine reports {digest[:12]} of pool {pool}")
            self._gate.set_state(SERVING, pool, digest)

    # Towards a target.

    async def _move_to(self, target: Target) -> float:
        if not await self._stage(target):
            return RETRY_SECONDS
        if self._gate.state == SERVING:
            view = self._shared.documents.versions
            turn = await self._ask_turn(target)
            self._decide("turn" if turn.now else "wait-turn", turn.reason)
            if not turn.now:
                return self._pause_until_turn(turn)
            if not await self._leave(view):
                return 0.0
            if self._gate.digest == target.digest:
                # Another pool with the same weights: nothing to load.
                self._gate.set_state(SERVING, target.pool, target.digest)
                return 0.0
        else:
            self._gate.set_state(STAGED, target.pool)
        return await self._load(target)

    async def _stage(self, target: Target) -> bool:
        """Have all weights of a target here; False if that failed or was superseded."""
        swarm = self._shared.swarm
        if self._gate.state != SERVING:
            self._gate.set_state(STAGING, target.pool)
        # What the engine holds need not stay here.
        swarm.store.pin(self._gate.name, {artifact.digest for artifact in target.artifacts})
        done = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_if_superseded, target, nursery.cancel_scope)
            for artifact in target.artifacts:
                wanting = self._shared.targets.wanting(artifact)
                outcome = await swarm.fetch(artifact, wanting, target.origin_copies)
                if isinstance(outcome, Failure):
                    self._decide(outcome.reason.code, outcome.detail)
                    break
            else:
                done = True
            nursery.cancel_scope.cancel()
        return done

    async def _cancel_if_superseded(self, target: Target, scope: trio.CancelScope) -> None:
        while True:
            await self._shared.documents.wait_change()
            current = self._current_target(target)
            if current is None or current.digest != target.digest:
                self._decide("superseded", f"transfer of {target.digest[:12]} cancelled")
                scope.cancel()

    def _current_target(self, target: Target) -> Target | None:
        """Return what the pool of `target` asks for now, if this upstream is still in it."""
        targets = self._shared.targets
        assigned = targets.of_upstream(self._gate.name)
        if assigned is not None or targets.pool(target.pool) is None:
            return assigned
        spare = self._gate.name in targets.placement.pools[target.pool].spares
        return targets.of_pool(target.pool) if spare else None

    async def _ask_turn(self, target: Target | None) -> Turn:
        """Find out whether this upstream may stop serving what it serves."""
        served = self._gate.pool
        if self._shared.targets.pool(served) is None:
            return Turn(True, f"pool {served} is not in the file any more")
        kind: TurnKind = "leave"
        if target is not None and served == target.pool:
            kind = "swap"
        digest = target.digest if target is not None else ""
        return await self._shared.turns.ask(kind, self._gate.name, served, digest)

    def _pause_until_turn(self, turn: Turn) -> float:
        """Return the seconds to the next question: longer for those far back in the order.

        With that the questions of a whole pool grow with the logarithm of its size.
        """
        pool = self._shared.targets.pool(self._gate.pool)
        at_once = pool.max_unavailable if pool is not None else 1
        return min(TURN_MAX_SECONDS, TURN_SECONDS * max(1.0, turn.before / at_once))

    async def _leave(self, view: Versions) -> bool:
        """Stop serving: no new work at once, what runs ends or goes elsewhere.

        `view` is what the turn was judged by. Returns False if that is old by now; the upstream
        then serves on.
        """
        if not await self._orders.ensure_facts():
            self._decide(FACTS_OLD.code, "decide anew before leaving")
            return False
        if view != self._shared.documents.versions:
            return False
        served = self._gate.pool
        pool = self._shared.targets.pool(served)
        drain = pool.drain_seconds if pool is not None else 0.0
        self._gate.set_state(LEAVING, served, self._gate.digest)
        with trio.move_on_after(drain) as scope:
            await self._gate.wait_idle()
        if scope.cancelled_caught:
            self._decide("hand-off", f"requests still run after {drain} s; resumable ones move")
            self._gate.hand_off.set()
            # What cannot be resumed runs on to its own deadline: nothing is cut off.
            await self._gate.wait_idle()
        return True

    async def _load(self, target: Target) -> float:
        """Order the engine to hold the target and serve once it reports exactly that."""
        self._gate.set_state(LOADING, target.pool)
        weights = [WeightsOrder(artifact.name, artifact.digest) for artifact in target.artifacts]
        outcome = await self._orders.give(weights, target.revision)
        if isinstance(outcome, Failure) and outcome.reason is not ORDER_FAILED:
            # Withheld or refused: the next step looks at the engine and decides anew.
            self._gate.set_state(STAGED, target.pool)
            return 0.0 if outcome.reason is FACTS_OLD else RETRY_SECONDS
        # An order whose outcome is not known may have been taken: read back in any case.
        state = await self._await_load(target)
        if state is None:
            self._gate.set_state(STAGED, target.pool)
            return RETRY_SECONDS
        if _loaded_digest(state) != target.digest:
            detail = f"ordered {target.digest[:12]}, reported {_loaded_digest(state)[:12]}"
            self._decide(ENGINE_MISMATCH.code, f"{detail} {state.error}")
            self._gate.set_state(STAGED, target.pool)
            return RETRY_SECONDS
        self._decide("serving", f"the engine reports {target.digest[:12]} as ordered")
        self._gate.set_state(SERVING, target.pool, target.digest)
        return 0.0

    async def _await_load(self, target: Target) -> EngineState | None:
        """Wait until the engine has done loading; None if it does not answer."""
        with trio.move_on_after(LOAD_SECONDS):
            failures = 0
            while failures < 5:
                await trio.sleep(LOAD_POLL_SECONDS)
                state = await self._read_engine()
                failures = failures + 1 if state is None else 0
                if state is not None and not state.loading:
                    return state
        self._decide(ORDER_FAILED.code, f"load of {target.digest[:12]} not confirmed")
        return None

    # Away from a pool.

    async def _retire(self, state: EngineState) -> float:
        """The upstream is to hold nothing: leave when it may, then empty the engine."""
        if self._gate.state == SERVING:
            view = self._shared.documents.versions
            turn = await self._ask_turn(None)
            self._decide("turn" if turn.now else "wait-turn", turn.reason)
            if not turn.now:
                return self._pause_until_turn(turn)
            if not await self._leave(view):
                return 0.0
        elif self._gate.state != EMPTY:
            self._gate.set_state(EMPTY, "")
        if not state.loaded:
            return IDLE_SECONDS
        revision = self._shared.documents.revision
        outcome = await self._orders.give([], revision)
        if isinstance(outcome, Ok):
            self._gate.set_state(EMPTY, "")
        return RETRY_SECONDS

    def _decide(self, kind: str, reason: str) -> None:
        self._shared.journal.record(kind, self._gate.name, reason)


def _loaded_digest(state: EngineState) -> str:
    """Return the digest that stands for what an engine holds; empty while it loads."""
    if state.loading or not state.loaded:
        return ""
    return serving_digest([weights.digest for weights in state.loaded])
