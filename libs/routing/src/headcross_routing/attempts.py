"""One attempt of an entry at one upstream, and what is known of it afterwards.

Straight down: a connection to the daemon; the request with what the daemon needs to know; the
answer or the daemon's refusal. Whatever breaks on the way is judged by how far the request had
got, and for a request that must not be repeated the daemon itself is asked.
"""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import msgspec
import trio
from headcross_base.addresses import Address
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
from headcross_wire.httpclient import (
    Answer,
    ConnectError,
    ConnectionPool,
    HttpConnection,
    LinkLostError,
    call,
)
from headcross_wire.httpserver import Headers
from headcross_wire.replies import MAX_ERROR_BYTES, read_refusal

from headcross_routing.answerflow import AnswerFlow
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
    passed_headers,
)

# A daemon answers at the deadline itself; an entry waits this much longer for its word.
DEADLINE_GRACE_SECONDS: Final = 0.25
# While an answer is awaited, the daemon's heartbeats are looked at this often.
SILENCE_CHECK_SECONDS: Final = 1.0
SILENT_CHECKS: Final = 2
REVOKE_SECONDS: Final = 0.7

T = TypeVar("T")


class Attempts:
    """Makes the attempts of one entry."""

    # Attempts made so far.
    made: int

    def __init__(self, documents: Documents, statuses: StatusTable, picker: Picker) -> None:
        self.made = 0
        self._documents = documents
        self._statuses = statuses
        self._picker = picker
        self._connections = ConnectionPool()

    async def make(self, meta: RequestMeta, flow: AnswerFlow, candidate: Candidate) -> Verdict:
        """Hand a request to the daemon of one upstream and pass its answer on."""
        self.made += 1
        self._picker.started(candidate)
        try:
            verdict = await self._hand_to_daemon(meta, flow, candidate)
        finally:
            self._picker.ended(candidate)
        if isinstance(verdict, Completed):
            self._picker.succeeded(candidate)
        elif verdict.reason in (CONNECT_FAILED, LINK_LOST, LEAVING, NOT_SERVING, DRAINING):
            self._picker.avoid(candidate, verdict.reason)
        return verdict

    async def _hand_to_daemon(
        self, meta: RequestMeta, flow: AnswerFlow, candidate: Candidate
    ) -> Verdict:
        try:
            connection = await self._connections.take(candidate.address)
        except ConnectError as error:
            return NotRun(CONNECT_FAILED, str(error))
        with trio.move_on_after(meta.remaining + DEADLINE_GRACE_SECONDS) as scope:
            try:
                verdict = await self._exchange(meta, flow, candidate, connection)
            except LinkLostError as error:
                verdict = await self._judge_lost_link(meta, flow, candidate, str(error))
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
        flow: AnswerFlow,
        candidate: Candidate,
        connection: HttpConnection,
    ) -> Verdict:
        request = meta.request
        headers = self._daemon_headers(meta, flow, candidate)
        await connection.send(request.method, request.target, headers, request.body)
        answer = await self._watched(candidate, connection.receive_answer)
        self._note_load(candidate, answer)
        verdict = answer.header(VERDICT_HEADER.lower())
        if verdict != COMPLETED:
            body = await _read_bounded(connection)
            if verdict is None:
                return MayHaveRun(UPSTREAM_ERROR, f"status {answer.status} without a verdict")
            return read_refusal(verdict, answer.header("retry-after"), body)
        await flow.begin(answer)
        while (piece := await self._watched(candidate, connection.receive_piece)) is not None:
            await flow.pass_on(piece)
        return Completed(await flow.finish())

    async def _watched(self, candidate: Candidate, receive: Callable[[], Awaitable[T]]) -> T:
        """Wait for bytes of a daemon, but not for one that has fallen silent.

        A host that is frozen or cut off keeps its connections open; only its missing heartbeats
        tell it from one that is at work. Silence must be seen twice: after a pause of this process
        itself every heartbeat looks overdue until the waiting messages have been read.
        """
        silent_checks = 0
        while silent_checks < SILENT_CHECKS:
            with trio.move_on_after(SILENCE_CHECK_SECONDS):
                return await receive()
            daemon = self._statuses.daemon(candidate.host)
            silent = daemon is None or daemon.silent()
            silent_checks = silent_checks + 1 if silent else 0
        raise LinkLostError(f"{candidate.host} fell silent")

    async def _judge_lost_link(
        self, meta: RequestMeta, flow: AnswerFlow, candidate: Candidate, detail: str
    ) -> Refusal:
        """Find out whether a request was handed over before its link was lost."""
        if flow.started:
            return MayHaveRun(STREAM_BROKEN, detail)
        if meta.repeatable:
            return MayHaveRun(LINK_LOST, detail)
        if await revoke(candidate.address, candidate.incarnation, meta.id):
            return NotRun(REVOKED, detail)
        return MayHaveRun(LINK_LOST, detail)

    def _daemon_headers(
        self, meta: RequestMeta, flow: AnswerFlow, candidate: Candidate
    ) -> Headers:
        team = self._documents.fleet.teams.get(meta.team)
        headers = passed_headers(meta.request)
        headers += [
            # Each attempt at a repeatable request is a submission of its own to the daemon.
            (REQUEST_HEADER, meta.id if not meta.repeatable else f"{meta.id}.{self.made}"),
            (UPSTREAM_HEADER, candidate.upstream),
            (POOL_HEADER, meta.target),
            (REMAINING_HEADER, f"{max(0.0, meta.remaining):.3f}"),
            (PRIORITY_HEADER, str(team.priority if team else 5)),
            (WEIGHT_HEADER, str(team.weight if team else 1)),
            (RESUMABLE_HEADER, "yes" if meta.repeatable else "no"),
        ]
        if flow.events is not None:
            headers += [(RESUME_HEADER, str(flow.events.tokens)), (DIGEST_HEADER, flow.digest)]
        return headers

    def _note_load(self, candidate: Candidate, answer: Answer) -> None:
        load = answer.header(LOAD_HEADER) or ""
        if load.isdecimal():
            self._picker.report_load(candidate.upstream, float(load))


async def revoke(daemon: Address, incarnation: int, request: str) -> bool:
    """Withdraw a request; True means that the daemon promises never to hand it over.

    Only the incarnation that the request was sent to can promise that: one that was started since
    knows nothing of what its predecessor handed over.
    """
    outcome = await call(
        daemon,
        "POST",
        f"{REVOCATIONS_PATH}{incarnation}/{request}",
        seconds=REVOKE_SECONDS,
        max_bytes=MAX_ERROR_BYTES,
    )
    if isinstance(outcome, Failure) or outcome.value.status != 200:
        return False
    try:
        state = msgspec.json.decode(outcome.value.body, type=dict[str, str]).get("state")
    except msgspec.MsgspecError:
        return False
    return state == "revoked"


async def _read_bounded(connection: HttpConnection) -> bytes:
    body = bytearray()
    while (piece := await connection.receive_piece()) is not None:
        body += piece
        if len(body) > MAX_ERROR_BYTES:
            raise LinkLostError("an error that is too long")
    return bytes(body)
