"""Makes one attempt of a request at one replica and determines its outcome.

The steps in order: take a connection; if the bound on old weights is near, prove that the
connection delivers; send the request; receive the head of the answer and the first piece of its
body; receive the rest, whole or event by event. Until that first piece arrives, the attempt may
be withdrawn, because its weights approach their bound or its request is barred. An attempt states
when data is due, and waits on if none arrives; it ends early only if another attempt supersedes
it. The outcome depends on the last step that it reached:

* no connection: not run, and the request did not reach the replica;
* the replica states that it did not run the request: not run;
* a complete answer that belongs to this request and, if it is a success, carries the seal: that
  answer, whatever its status;
* anything else after the first byte was sent: it may have run.
"""

import math
from dataclasses import dataclass, replace
from typing import Final

import trio
from headcross_base.attemptset import RunningAttempt
from headcross_base.errorcodes import (
    ANSWER_GIVEN_UP,
    ENDS_REPLICAS,
    LINK_LOST,
    NO_RUN_IN_TIME,
    NOT_SERVING,
    UNREACHED,
    UPSTREAM_ERROR,
    WEIGHTS_ENDED,
    WITHDRAWN,
)
from headcross_base.monotonic import monotonic
from headcross_ports.requests import AnswerFacts, HandOver, RequestDialect, RequestFacts
from headcross_wire.bodymemory import AnswerMemory, HeldAnswer
from headcross_wire.httpclient import HttpConnection
from headcross_wire.httpcodec import Answer, ConnectError, LinkLostError
from headcross_wire.httprequest import Request

from headcross_gateway.connections import ReplicaConnections
from headcross_gateway.eventstream import EventTooLongError
from headcross_gateway.linkproofs import LinkProofs, LinkUnprovenError
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun, MayRun, Outcome, Streamed
from headcross_gateway.relay import (
    EventOutOfOrderError,
    StreamRelay,
    StreamSource,
    end_to_end_headers,
)
from headcross_gateway.replicastate import ReplicaState
from headcross_gateway.unbegun import UnbegunAttempts

MAX_BODY_BYTES: Final = 16 * 1024 * 1024
SUCCESS: Final = range(200, 300)


_REPLICA_UNAVAILABLE: Final = DidNotRun(
    UNREACHED, "the replica took nothing any more", arrived=False, withdrawn=True
)
_ANSWER_GIVEN_UP: Final = MayRun(ANSWER_GIVEN_UP, "no memory for this answer beside others")


@dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """After which time without data a replica is silent, so that others may be tried."""

    # From sending the request to the first event, or to the end of an answer that is not streamed.
    first_seconds: float
    pause_seconds: float  # between two events


@dataclass(slots=True)
class AttemptTimes:
    """When an attempt reached each step (trio's clock); None for steps it did not reach."""

    # Duration of the proof that its connection delivers, in seconds; None if there was none.
    proof_seconds: float | None = None
    sending_at: float | None = None  # the first byte was about to be written
    sent_at: float | None = None  # the whole request had been written
    began_at: float | None = None  # the first piece of the answer's body had been received
    # Cancels the attempt; set while it may be withdrawn.
    withdrawal_scope: trio.CancelScope | None = None
    request_barred: bool = False  # it was withdrawn because its request is barred

    def withdraw(self) -> None:
        """Cancel the attempt of a barred request if its answer has not begun."""
        if self.withdrawal_scope is not None:
            self.request_barred = True
            self.withdrawal_scope.cancel()


@dataclass(frozen=True, slots=True)
class _BegunAnswer:
    """An answer of which the first piece has been received."""

    answer: Answer
    facts: AnswerFacts
    piece: bytes | None  # None if the body is empty


class Attempts:
    """Makes the attempts of one entry."""

    # Number of attempts made so far.
    made: int
    connections: ReplicaConnections
    proofs: LinkProofs
    memory: AnswerMemory

    def __init__(
        self,
        dialect: RequestDialect,
        unbegun: UnbegunAttempts,
        proofs: LinkProofs,
        memory: AnswerMemory,
    ) -> None:
        self.made = 0
        self.memory = memory
        self.connections = ReplicaConnections()
        self.proofs = proofs
        self._unbegun = unbegun
        self._dialect = dialect

    async def make(
        self,
        request: Request,
        facts: RequestFacts,
        replica_state: ReplicaState,
        hand_over: HandOver,
        timeouts: AttemptTimeouts,
        relay: StreamRelay | None,
        *,
        fresh: bool,
        times: AttemptTimes | None = None,
        held: HeldAnswer | None = None,
        running: RunningAttempt[Outcome] | None = None,
    ) -> Outcome:
        """Send a request to a replica, receive its answer and return the outcome.

        The times of the steps are recorded in `times`, the size of the answer in `held`, and when
        data is due in `running`.
        """
        self.made += 1
        times = times or AttemptTimes()
        held = held or HeldAnswer()
        running = running or RunningAttempt()
        connection: HttpConnection | None = None
        outcome: Outcome
        try:
            with self._unbegun.waiting(facts.model, replica_state) as waiting:
                times.withdrawal_scope = waiting
                assigned_at = trio.current_time()
                connection = await self.connections.take(
                    replica_state.replica.address, fresh=fresh
                )
                await self._prove(connection, facts, replica_state, times)
                # Connecting and proving take time, so the replica's state is checked again.
                if replica_state.is_unavailable() or replica_state.backpressure.is_resting(
                    monotonic()
                ):
                    begun: _BegunAnswer | Outcome = _REPLICA_UNAVAILABLE
                else:
                    hand_over = _with_elapsed_time(hand_over, trio.current_time() - assigned_at)
                    running.expect_by(trio.current_time() + timeouts.first_seconds)
                    begun = await self._begin(
                        connection, request, facts, replica_state, hand_over, times
                    )
            times.withdrawal_scope = None
            if waiting.cancelled_caught:
                outcome = _withdrawn_outcome(times)
            elif isinstance(begun, _BegunAnswer):
                outcome = await self._finish(connection, begun, relay, timeouts, held, running)
            else:
                outcome = begun
        except ConnectError as error:
            return DidNotRun(UNREACHED, str(error), arrived=False, refused=error.refused)
        except LinkUnprovenError as error:
            assert connection is not None
            await connection.abandon()
            return DidNotRun(
                UNREACHED,
                str(error),
                arrived=False,
                withdrawn=not error.silent,
                unproven=error.silent,
            )
        except LinkLostError as error:
            outcome = MayRun(LINK_LOST, str(error), broken=True)
        except (EventTooLongError, EventOutOfOrderError) as error:
            outcome = MayRun(UPSTREAM_ERROR, f"broken events: {error}")
        except BaseException:
            if connection is not None:
                await connection.abandon()
            raise
        kept = isinstance(outcome, CompleteAnswer | Streamed) or (
            isinstance(outcome, DidNotRun) and not outcome.withdrawn
        )
        if connection is not None and not kept:
            await connection.abandon()
        return outcome

    async def _prove(
        self,
        connection: HttpConnection,
        facts: RequestFacts,
        replica_state: ReplicaState,
        times: AttemptTimes,
    ) -> None:
        """Prove that a connection delivers, if a delayed request could begin after the bound."""
        if not self.proofs.is_needed(facts.model, replica_state):
            return
        began_at = trio.current_time()
        await self.proofs.prove(connection)
        times.proof_seconds = trio.current_time() - began_at

    async def _begin(
        self,
        connection: HttpConnection,
        request: Request,
        facts: RequestFacts,
        replica_state: ReplicaState,
        hand_over: HandOver,
        times: AttemptTimes,
    ) -> _BegunAnswer | MayRun:
        """Send a request and wait for the first piece of its answer.

        Returns MayRun if the answer is not a valid one to this request.
        """
        headers = self._dialect.upstream_headers(end_to_end_headers(request.headers), hand_over)
        await trio.lowlevel.checkpoint_if_cancelled()
        times.sending_at = trio.current_time()
        sent_at = monotonic()
        await connection.send(request.method, request.target, headers, request.body)
        times.sent_at = trio.current_time()
        answer = await connection.receive_answer()
        answer_facts = self._dialect.read_answer(answer.status, answer.headers)
        problem = _response_problem(answer, answer_facts, facts.id)
        if problem:
            return MayRun(UPSTREAM_ERROR, problem)
        if not answer_facts.elsewhere:
            replica_state.note_signals(answer_facts.signals, sent_at)
        piece = await connection.receive_piece()
        times.began_at = trio.current_time()
        return _BegunAnswer(answer, answer_facts, piece)

    async def _finish(
        self,
        connection: HttpConnection,
        begun: _BegunAnswer,
        relay: StreamRelay | None,
        timeouts: AttemptTimeouts,
        held: HeldAnswer,
        running: RunningAttempt[Outcome],
    ) -> Outcome:
        """Receive the rest of an answer; forward it if it is a stream."""
        answer, facts = begun.answer, begun.facts
        if relay is not None and answer.status in SUCCESS:
            source = relay.begin(answer, facts.weights_version, running.claim)
            return await self._forward_stream(connection, begun, source, timeouts, held, running)
        body = await self._read_body(connection, begun, held)
        if body is None:
            return _ANSWER_GIVEN_UP
        await self.connections.give(connection, answer)
        if facts.not_run:
            detail = f"status {answer.status}"
            return DidNotRun(NOT_SERVING, detail, arrived=True, elsewhere=facts.elsewhere)
        return CompleteAnswer(answer, body)

    async def _forward_stream(
        self,
        connection: HttpConnection,
        begun: _BegunAnswer,
        source: StreamSource,
        timeouts: AttemptTimeouts,
        held: HeldAnswer,
        running: RunningAttempt[Outcome],
    ) -> Outcome:
        piece = begun.piece
        # A stream is not cancelled to make room, as it could end within an event.
        with self.memory.receiving(held, lambda: None):
            while piece is not None and not held.given_up:
                running.is_writing = True
                events = await source.forward(piece)
                running.is_writing = False
                if events:
                    running.expect_by(trio.current_time() + timeouts.pause_seconds)
                connection.note_events(events)
                self.memory.resize(held, source.buffered_bytes)
                piece = await connection.receive_piece()
        if held.given_up:
            return _ANSWER_GIVEN_UP
        running.expect_by(math.inf)
        if not await source.finish():
            raise LinkLostError("the stream ended within an event")
        await self.connections.give(connection, begun.answer)
        return Streamed(begun.answer.ends_with_connection)

    async def _read_body(
        self,
        connection: HttpConnection,
        begun: _BegunAnswer,
        held: HeldAnswer,
    ) -> bytes | None:
        """Return the whole body of an answer, None if it has to make room for others.

        Raises LinkLostError if it is too long.
        """
        body = bytearray()
        piece = begun.piece
        with trio.CancelScope() as scope, self.memory.receiving(held, scope.cancel):
            while piece is not None:
                body += piece
                if len(body) > MAX_BODY_BYTES:
                    raise LinkLostError(f"an answer over {MAX_BODY_BYTES} bytes")
                self.memory.resize(held, len(body))
                piece = await connection.receive_piece()
        if held.given_up:
            return None
        return bytes(body)


def _with_elapsed_time(hand_over: HandOver, seconds: float) -> HandOver:
    """Return the hand-over with the remaining time reduced by `seconds`."""
    return replace(hand_over, remaining_seconds=hand_over.remaining_seconds - seconds)


def superseded_outcome(times: AttemptTimes, *, was_silent: bool) -> DidNotRun | MayRun:
    """Return the outcome of an attempt that was cancelled because another one took over."""
    if was_silent:
        detail = "silent for too long; another replica took over"
        return MayRun(LINK_LOST, detail, silent=True)
    detail = "an earlier replica answered first"
    if times.sending_at is None:
        return DidNotRun(UNREACHED, detail, arrived=False, withdrawn=True)
    return MayRun(WITHDRAWN, detail, withdrawn=True)


def _withdrawn_outcome(times: AttemptTimes) -> DidNotRun | MayRun:
    """Return the outcome of an attempt that was withdrawn before its answer began."""
    if times.request_barred:
        detail = "withdrawn: replicas ended under the same request, or one that shares its cause"
        if times.sending_at is None:
            return DidNotRun(ENDS_REPLICAS, detail, arrived=False, withdrawn=True)
        return MayRun(WITHDRAWN, detail, withdrawn=True)
    if times.sending_at is None:
        detail = "the weights ended before it was sent"
        return DidNotRun(NO_RUN_IN_TIME, detail, arrived=False, withdrawn=True)
    return MayRun(WEIGHTS_ENDED, "the weights ended before it began", withdrawn=True)


def _response_problem(answer: Answer, facts: AnswerFacts, request_id: str) -> str:
    """Return why an answer is not valid for this request, an empty string if it is."""
    if facts.id != request_id and not (facts.id is None and facts.not_run):
        return f"an answer to {facts.id!r}"
    if answer.status not in SUCCESS:
        return ""
    if not facts.sealed:
        return "a success without a seal"
    return "an encoded body" if facts.encoded else ""
