"""Attempts of an entry: each sends a request to one upstream and relays its answer.

An attempt connects to the upstream's daemon, sends the request with the headers that the daemon
needs, and relays the answer or reads the daemon's refusal. If no connection can be opened, the
request was not run. If the link is lost later, the request may have run. To exclude that for a
request that must not be repeated, the entry asks the daemon to revoke it. An attempt whose daemon
falls silent says so, and goes on.
"""

import math
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import trio
from headcross_base.addresses import Address
from headcross_base.attemptset import RunningAttempt
from headcross_base.decoding import JsonDecoder, parse_whole_number
from headcross_base.errorcodes import (
    CONNECT_FAILED,
    DEADLINE,
    DRAINING,
    LEAVING,
    LINK_LOST,
    NOT_SERVING,
    REVOKED,
    STREAM_BROKEN,
    UPSTREAM_ERROR,
)
from headcross_base.errors import Failure
from headcross_base.verdicts import (
    COMPLETED,
    VERDICT_HEADER,
    Completed,
    MayHaveRun,
    NotRun,
    Refusal,
    Verdict,
)
from headcross_fleet.documents import Documents
from headcross_fleet.membership import StatusTable
from headcross_native.eventstream import EventTooLongError
from headcross_wire.httpclient import ConnectionPool, HttpConnection, call
from headcross_wire.httpcodec import Answer, ConnectError, Headers, LinkLostError
from headcross_wire.replies import MAX_ERROR_BYTES, parse_refusal

from headcross_routing.answerrelay import AnswerRelay
from headcross_routing.ledger import REVOCATIONS_PATH
from headcross_routing.picking import Candidate, Picker
from headcross_routing.requestmeta import (
    DIGEST_HEADER,
    LOAD_HEADER,
    POOL_HEADER,
    PRIORITY_HEADER,
    REMAINING_HEADER,
    REQUEST_HEADER,
    RESUMABLE_HEADER,
    RESUME_HEADER,
    UPSTREAM_HEADER,
    WEIGHT_HEADER,
    RequestMeta,
    forwarded_headers,
)

# A daemon itself answers at the deadline; an entry waits this much longer for that answer.
DEADLINE_GRACE_SECONDS: Final = 0.25
# While an entry waits for an answer, it checks the daemon's heartbeats at this interval. After
# MAX_SILENT_CHECKS checks in a row with overdue heartbeats the daemon counts as silent.
SILENCE_CHECK_INTERVAL_SECONDS: Final = 1.0
MAX_SILENT_CHECKS: Final = 2
REVOKE_TIMEOUT_SECONDS: Final = 0.7

T = TypeVar("T")

_REVOCATION: Final[JsonDecoder[dict[str, str]]] = JsonDecoder(dict[str, str], MAX_ERROR_BYTES)


class Attempts:
    """Makes the attempts of one entry at upstreams."""

    # Number of attempts made.
    made: int

    def __init__(self, documents: Documents, statuses: StatusTable, picker: Picker) -> None:
        self.made = 0
        self._documents = documents
        self._statuses = statuses
        self._picker = picker
        self._connections = ConnectionPool()

    async def make(
        self,
        meta: RequestMeta,
        relay: AnswerRelay,
        candidate: Candidate,
        running: RunningAttempt[Verdict],
    ) -> Verdict:
        """Send a request to one upstream's daemon and relay its answer; return the verdict."""
        self.made += 1
        self._picker.attempt_started(candidate)
        try:
            verdict = await self._send_to_daemon(meta, relay, candidate, running)
        finally:
            self._picker.attempt_ended(candidate)
        if isinstance(verdict, Completed):
            self._picker.attempt_succeeded(candidate)
        elif verdict.reason in (CONNECT_FAILED, LINK_LOST, LEAVING, NOT_SERVING, DRAINING):
            self._picker.avoid(candidate, verdict.reason)
        return verdict

    async def _send_to_daemon(
        self,
        meta: RequestMeta,
        relay: AnswerRelay,
        candidate: Candidate,
        running: RunningAttempt[Verdict],
    ) -> Verdict:
        try:
            connection = await self._connections.take(candidate.address)
        except ConnectError as error:
            return NotRun(CONNECT_FAILED, str(error))
        with trio.move_on_after(meta.remaining + DEADLINE_GRACE_SECONDS) as scope:
            try:
                verdict = await self._exchange(meta, relay, candidate, connection, running)
            except LinkLostError as error:
                verdict = await self._classify_lost_link(meta, relay, candidate, str(error))
            except EventTooLongError:
                verdict = MayHaveRun(UPSTREAM_ERROR, "an event without an end")
            except BaseException:
                await connection.close()
                raise
        if scope.cancelled_caught:
            await connection.close()
            return MayHaveRun(DEADLINE)
        await self._connections.give(connection)
        return verdict

    async def _exchange(
        self,
        meta: RequestMeta,
        relay: AnswerRelay,
        candidate: Candidate,
        connection: HttpConnection,
        running: RunningAttempt[Verdict],
    ) -> Verdict:
        request = meta.request
        headers = self._daemon_headers(meta, relay, candidate)
        await connection.send(request.method, request.target, headers, request.body)
        answer = await self._receive(candidate, running, connection.receive_answer)
        self._record_load(candidate, answer)
        verdict = answer.header(VERDICT_HEADER.lower())
        if verdict != COMPLETED:
            body = await _read_error_body(connection)
            if verdict is None:
                return MayHaveRun(UPSTREAM_ERROR, f"status {answer.status} without a verdict")
            return parse_refusal(verdict, answer.header("retry-after"), body)
        source = relay.begin(answer, running.claim)
        while (
            piece := await self._receive(candidate, running, connection.receive_piece)
        ) is not None:
            running.is_writing = True
            await source.forward(piece)
            running.is_writing = False
        running.is_writing = True
        return Completed(await source.finish())

    async def _receive(
        self,
        candidate: Candidate,
        running: RunningAttempt[Verdict],
        receive: Callable[[], Awaitable[T]],
    ) -> T:
        """Wait for data from a daemon; state meanwhile whether its heartbeats have stopped.

        A host that is frozen or cut off keeps its connections open; only its missing heartbeats
        distinguish it from a busy one. One check is not enough: after a pause of this process
        itself, every heartbeat looks overdue until the waiting messages have been read.
        """
        silent_checks = 0
        while True:
            with trio.move_on_after(SILENCE_CHECK_INTERVAL_SECONDS):
                data = await receive()
                running.expect_by(math.inf)
                return data
            daemon = self._statuses.daemon(candidate.host)
            silent = daemon is None or daemon.silent()
            silent_checks = silent_checks + 1 if silent else 0
            is_due = silent_checks >= MAX_SILENT_CHECKS
            running.expect_by(trio.current_time() if is_due else math.inf)

    async def _classify_lost_link(
        self, meta: RequestMeta, relay: AnswerRelay, candidate: Candidate, detail: str
    ) -> Refusal:
        """Return the verdict on a request whose link was lost.

        A request that must not be repeated is revoked at the daemon, unless its answer has begun.
        """
        if relay.started:
            return MayHaveRun(STREAM_BROKEN, detail)
        if meta.repeatable:
            return MayHaveRun(LINK_LOST, detail)
        if await revoke(candidate.address, candidate.incarnation, meta.id):
            return NotRun(REVOKED, detail)
        return MayHaveRun(LINK_LOST, detail)

    def _daemon_headers(
        self, meta: RequestMeta, relay: AnswerRelay, candidate: Candidate
    ) -> Headers:
        team = self._documents.fleet.teams.get(meta.team)
        headers = forwarded_headers(meta.request)
        headers += [
            # To the daemon, each attempt at a repeatable request is a separate submission.
            (REQUEST_HEADER, meta.id if not meta.repeatable else f"{meta.id}.{self.made}"),
            (UPSTREAM_HEADER, candidate.upstream),
            (POOL_HEADER, meta.target),
            (REMAINING_HEADER, f"{max(0.0, meta.remaining):.3f}"),
            (PRIORITY_HEADER, str(team.priority if team else 5)),
            (WEIGHT_HEADER, str(team.weight if team else 1)),
            (RESUMABLE_HEADER, "yes" if meta.repeatable else "no"),
        ]
        if relay.resumable:
            headers += [(RESUME_HEADER, str(relay.tokens)), (DIGEST_HEADER, relay.digest)]
        return headers

    def _record_load(self, candidate: Candidate, answer: Answer) -> None:
        load = parse_whole_number(answer.header(LOAD_HEADER) or "")
        if load is not None:
            self._picker.report_load(candidate.upstream, float(load))


async def revoke(daemon: Address, incarnation: int, request: str) -> bool:
    """Revoke a request; return whether the daemon guarantees never to hand it over.

    Only the daemon's incarnation to which the request was sent can guarantee that: one that was
    started later does not know what its predecessor handed over.
    """
    outcome = await call(
        daemon,
        "POST",
        f"{REVOCATIONS_PATH}{incarnation}/{request}",
        seconds=REVOKE_TIMEOUT_SECONDS,
        max_bytes=MAX_ERROR_BYTES,
    )
    if isinstance(outcome, Failure) or outcome.value.status != 200:
        return False
    answer = _REVOCATION.decode(outcome.value.body)
    return not isinstance(answer, Failure) and answer.value.get("state") == "revoked"


async def _read_error_body(connection: HttpConnection) -> bytes:
    body = bytearray()
    while (piece := await connection.receive_piece()) is not None:
        body += piece
        if len(body) > MAX_ERROR_BYTES:
            raise LinkLostError("an error that is too long")
    return bytes(body)
