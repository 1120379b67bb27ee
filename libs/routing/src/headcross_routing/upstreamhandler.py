"""Handles what entries send to a daemon: requests for its upstreams, key claims, revocations.

Only the daemon knows whether a request was handed over. The steps for a request are: check that
the upstream is local and serves what the entry expects; wait for a slot; check again, since the
state may change while the request waits; record the id as handed over unless it was revoked;
connect; send. Once the id is recorded, a request that fails may have run, unless no connection
could be opened or the engine refused it for lack of the weights; then the record is removed.
Retries are left to the entry: a daemon hands a request over once.
"""

import logging
from collections import Counter
from dataclasses import dataclass
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.decoding import JsonDecoder, parse_decimal, parse_whole_number
from headcross_base.errorcodes import (
    BAD_REQUEST,
    CONNECT_FAILED,
    DEADLINE,
    DRAINING,
    LEAVING,
    LEDGER_FULL,
    LINK_LOST,
    NOT_READY,
    NOT_SERVING,
    REVOKED,
)
from headcross_base.errors import Failure
from headcross_base.monotonic import monotonic
from headcross_base.verdicts import (
    COMPLETED,
    VERDICT_HEADER,
    Completed,
    MayHaveRun,
    NotRun,
    Refusal,
    Verdict,
    verdict_name,
)
from headcross_fleet import upstreamgate
from headcross_fleet.documents import Documents
from headcross_fleet.upstreamgate import EMPTY, UpstreamGate
from headcross_native.configservice import HOSTS_KEY
from headcross_native.engine import (
    ENGINE_MATCH_HEADER,
    ENGINE_PRIORITY_HEADER,
    ENGINE_RESUME_HEADER,
    WEIGHTS_MISMATCH_STATUS,
)
from headcross_wire.httpclient import HttpConnection, closing, connect
from headcross_wire.httpcodec import Answer, ConnectError, Headers, LinkLostError
from headcross_wire.httpexchange import CallerGone, Exchange
from headcross_wire.httprequest import Request
from headcross_wire.replies import send_refusal

from headcross_routing.fairqueue import FairQueue
from headcross_routing.ledger import (
    CLAIMS_PATH,
    REVOCATIONS_PATH,
    KeyClaim,
    KeyLedger,
    RequestLedger,
)
from headcross_routing.requestmeta import (
    DIGEST_HEADER,
    HOP_BY_HOP_HEADERS,
    LOAD_HEADER,
    POOL_HEADER,
    PRIORITY_HEADER,
    REMAINING_HEADER,
    REQUEST_HEADER,
    RESUMABLE_HEADER,
    RESUME_HEADER,
    TEAM_HEADER,
    UPSTREAM_HEADER,
    WEIGHT_HEADER,
    forwarded_headers,
)

# Headers that entries set, with the names that engines use for them.
ENGINE_HEADERS: Final = (
    (RESUME_HEADER, ENGINE_RESUME_HEADER),
    (PRIORITY_HEADER, ENGINE_PRIORITY_HEADER),
)

MAX_CLAIM_BYTES: Final = 64 * 1024
_KEY_CLAIM: Final = JsonDecoder(KeyClaim, MAX_CLAIM_BYTES)

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class LocalUpstream:
    """An upstream of this daemon, with what request handling needs."""

    gate: UpstreamGate
    queue: FairQueue
    address: Address


@dataclass(frozen=True, slots=True)
class _ForwardedRequest:
    """A request that an entry sent for one upstream."""

    id: str
    upstream: str
    pool: str
    digest: str
    team: str
    weight: int
    deadline: float  # in seconds on the monotonic clock
    resumable: bool  # the entry can resume the stream elsewhere
    request: Request

    @property
    def remaining(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - monotonic()


class UpstreamHandler:
    """Handles what entries send to this daemon."""

    # Number of requests by verdict and reason.
    counts: Counter[str]

    def __init__(
        self,
        upstreams: dict[str, LocalUpstream],
        requests: RequestLedger,
        keys: KeyLedger,
        documents: Documents,
        incarnation: int,
    ) -> None:
        self.counts = Counter()
        self._upstreams = upstreams
        self._requests = requests
        self._keys = keys
        self._documents = documents
        self._incarnation = incarnation

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request, key claim or revocation of an entry."""
        request = exchange.request
        if request.path == CLAIMS_PATH:
            await self._handle_claim(exchange)
        elif request.path.startswith(REVOCATIONS_PATH):
            await self._handle_revocation(exchange)
        else:
            await self._handle_request(exchange)

    async def refuse(self, exchange: Exchange, refusal: NotRun) -> None:
        """Refuse a request that the server does not hand to `handle`."""
        request_id = exchange.request.header(REQUEST_HEADER) or ""
        self.counts[f"{verdict_name(refusal)} {refusal.reason.code}"] += 1
        _log_refused(refusal, request_id)
        await send_refusal(exchange, refusal, [])

    async def _handle_revocation(self, exchange: Exchange) -> None:
        path = exchange.request.path.removeprefix(REVOCATIONS_PATH)
        incarnation, _, request = path.partition("/")
        # This incarnation does not know what an earlier one handed over.
        is_current = incarnation == str(self._incarnation)
        state = self._requests.revoke(request) if is_current else "unknown"
        await exchange.respond_json(200, {"state": state})

    async def _handle_claim(self, exchange: Exchange) -> None:
        decoded = _KEY_CLAIM.decode(exchange.request.body)
        if isinstance(decoded, Failure):
            await send_refusal(exchange, NotRun(BAD_REQUEST, decoded.detail), [])
            return
        claim = decoded.value
        if claim.release:
            self._keys.release(claim.key, claim.request)
            await exchange.respond_json(200, {"state": "released"})
            return
        refusal = self._keys.claim(claim, self._documents.held(HOSTS_KEY).age())
        if refusal is not None:
            await send_refusal(exchange, refusal, [])
            return
        await exchange.respond_json(200, {"state": "claimed"})

    async def _handle_request(self, exchange: Exchange) -> None:
        forwarded = _read_forwarded(exchange.request)
        if isinstance(forwarded, NotRun):
            await send_refusal(exchange, forwarded, [])
            return
        upstream = self._upstreams.get(forwarded.upstream)
        if upstream is None:
            refusal = NotRun(NOT_SERVING, f"no upstream {forwarded.upstream[:64]!r} here")
            await send_refusal(exchange, refusal, [])
            return
        verdict: Verdict = await self._queue_and_run(exchange, forwarded, upstream)
        reason = "" if isinstance(verdict, Completed) else verdict.reason.code
        self.counts[f"{verdict_name(verdict)} {reason}".strip()] += 1
        if not isinstance(verdict, Completed):
            _log_refused(verdict, forwarded.id)
            if exchange.started:
                # The answer is incomplete; closing without the body's end signals that.
                raise CallerGone(reason)
            await send_refusal(exchange, verdict, [(LOAD_HEADER, _load(upstream))])

    async def _queue_and_run(
        self, exchange: Exchange, forwarded: _ForwardedRequest, upstream: LocalUpstream
    ) -> Verdict:
        refusal = _check_gate(upstream.gate, forwarded)
        if refusal is not None:
            return refusal
        refusal = await upstream.queue.enter(forwarded.team, forwarded.weight, forwarded.remaining)
        if refusal is not None:
            return refusal
        try:
            # The gate may have closed while the request waited.
            refusal = _check_gate(upstream.gate, forwarded)
            if refusal is not None:
                return refusal
            with upstream.gate.request_in_flight():
                return await self._hand_over(exchange, forwarded, upstream)
        finally:
            upstream.queue.leave()

    async def _hand_over(
        self, exchange: Exchange, forwarded: _ForwardedRequest, upstream: LocalUpstream
    ) -> Verdict:
        if self._requests.full:
            return NotRun(LEDGER_FULL, "too many requests to remember", 1.0)
        state = self._requests.hand_over(forwarded.id, forwarded.remaining)
        if state == "revoked":
            return NotRun(REVOKED)
        if state == "handed-over":
            return MayHaveRun(LINK_LOST, "this submission came before")
        try:
            # A new connection: if the engine closed a reused one at the same moment, it would be
            # unknown whether the request ran.
            connection = await connect(upstream.address)
        except ConnectError as error:
            self._requests.undo_hand_over(forwarded.id)
            return NotRun(CONNECT_FAILED, str(error))
        async with closing(connection):
            with trio.move_on_after(max(0.0, forwarded.remaining)) as scope:
                return await self._exchange(exchange, forwarded, upstream, connection)
            assert scope.cancelled_caught
            return MayHaveRun(DEADLINE, "the upstream did not answer in time")

    async def _exchange(
        self,
        exchange: Exchange,
        forwarded: _ForwardedRequest,
        upstream: LocalUpstream,
        connection: HttpConnection,
    ) -> Verdict:
        request = forwarded.request
        try:
            headers = _upstream_headers(forwarded, upstream)
            await connection.send(request.method, request.target, headers, request.body)
            answer = await connection.receive_answer()
            if answer.status == WEIGHTS_MISMATCH_STATUS and upstream.gate.digest:
                self._requests.undo_hand_over(forwarded.id)
                return NotRun(NOT_SERVING, "the engine does not hold these weights")
            await exchange.start(answer.status, _answer_headers(answer, upstream))
            if not await _forward_body(exchange, connection, upstream.gate, forwarded.resumable):
                return MayHaveRun(LEAVING, "the stream is to go on elsewhere")
            await exchange.finish()
        except LinkLostError as error:
            return MayHaveRun(LINK_LOST, str(error))
        return Completed(answer.status)


def _log_refused(refusal: Refusal, request: str) -> None:
    fields = {"request": request, "reason": refusal.reason.code, "detail": refusal.detail}
    logger.info("request refused", extra=fields)


def _check_gate(gate: UpstreamGate, forwarded: _ForwardedRequest) -> NotRun | None:
    """Return why the upstream does not take a request now, or None if it does."""
    if gate.stopping:
        return NotRun(DRAINING)
    if gate.state == upstreamgate.LEAVING:
        return NotRun(LEAVING)
    if gate.state == EMPTY and not gate.pool:
        return NotRun(NOT_READY)
    if not gate.accepts or gate.pool != forwarded.pool:
        return NotRun(NOT_SERVING, f"{gate.name} is {gate.state} for {gate.pool!r}")
    if forwarded.digest and forwarded.digest != gate.digest:
        return NotRun(NOT_SERVING, f"{gate.name} serves {gate.digest[:12]}")
    return None


async def _forward_body(
    exchange: Exchange, connection: HttpConnection, gate: UpstreamGate, resumable: bool
) -> bool:
    """Forward an answer's body; return False if it was stopped to be resumed elsewhere."""
    hand_off = gate.hand_off
    while (piece := await connection.receive_piece()) is not None:
        if resumable and hand_off.is_set():
            return False
        await exchange.send(piece)
    return True


def _read_forwarded(request: Request) -> _ForwardedRequest | NotRun:
    weight = parse_whole_number(request.header(WEIGHT_HEADER) or "1")
    remaining = parse_decimal(request.header(REMAINING_HEADER) or "0")
    if weight is None or remaining is None:
        return NotRun(BAD_REQUEST, f"{WEIGHT_HEADER} or {REMAINING_HEADER}: not a number")
    return _ForwardedRequest(
        id=request.header(REQUEST_HEADER) or "",
        upstream=request.header(UPSTREAM_HEADER) or "",
        pool=request.header(POOL_HEADER) or "",
        digest=request.header(DIGEST_HEADER) or "",
        team=request.header(TEAM_HEADER) or "",
        weight=max(1, weight),
        deadline=monotonic() + remaining,
        resumable=request.header(RESUMABLE_HEADER) == "yes",
        request=request,
    )


def _upstream_headers(forwarded: _ForwardedRequest, upstream: LocalUpstream) -> Headers:
    headers = forwarded_headers(forwarded.request)
    if upstream.gate.digest:
        headers.append((ENGINE_MATCH_HEADER, f'"{upstream.gate.digest}"'))
    for entry_name, engine_name in ENGINE_HEADERS:
        value = forwarded.request.header(entry_name)
        if value is not None:
            headers.append((engine_name, value))
    headers.append((REQUEST_HEADER, forwarded.id))
    return headers


def _answer_headers(answer: Answer, upstream: LocalUpstream) -> Headers:
    headers = [(name, value) for name, value in answer.headers if name not in HOP_BY_HOP_HEADERS]
    length = answer.header("content-length")
    if length is not None:
        headers.append(("content-length", length))
    headers.append((VERDICT_HEADER, COMPLETED))
    headers.append((DIGEST_HEADER, upstream.gate.digest))
    headers.append((LOAD_HEADER, _load(upstream)))
    return headers


def _load(upstream: LocalUpstream) -> str:
    """Return the value of LOAD_HEADER: the number of requests in flight and queued."""
    return str(upstream.gate.in_flight + upstream.queue.queued)
