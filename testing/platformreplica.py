"""A fake replica of the platform, with fault injection.

It records the requests that it ran, answers with a plain body or a stream of events, and injects
the faults that a test queues: each `Fault` applies to one request. Responses are assembled by hand
because an HTTP library would refuse to send many of them.
"""

import hashlib
import itertools
import time
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import Final
from urllib.parse import parse_qs

import h11
import msgspec
import trio
from headcross_platform import names

from testing.rawhttp import (
    CallerDisconnected,
    add_fields,
    chunk_bytes,
    head_bytes,
    json_bytes,
    next_cycle,
    read_request,
    reset,
    response_bytes,
    sleep_while_connected,
)

SEAL: Final = "seal-1"


class Fault(Enum):
    """A fault that is injected into one request."""

    SHED = "shed"  # 503 with the statement that the request did not run
    RESET_BEFORE_HEAD = "reset before head"  # runs the request, then resets the connection
    CLOSE_BEFORE_HEAD = "close before head"  # runs the request, then closes the connection
    SILENT = "silent"  # runs the request and never answers
    ERROR = "error"  # a sealed 500
    NO_SEAL = "no seal"  # the response has no seal
    WRONG_ID = "wrong id"  # answers with the id of another request
    ENCODED = "encoded"  # the response has a content encoding
    CUT_BODY = "cut body"  # half of the body, then a reset
    EXTRA_ANSWER = "extra answer"  # a second response after the complete one
    UNFRAMED = "unframed"  # no length; the body ends when the connection closes
    UNFRAMED_RESET = "unframed reset"  # no length; the connection is reset within the body
    NOT_HTTP = "not http"  # bytes that are not HTTP
    CUT_BEFORE_EVENT = "cut before event"  # response head of a stream, then a reset
    CUT_WITHIN_EVENT = "cut within event"
    CUT_AFTER_EVENT = "cut after event"
    STALL = "stall"  # two events, then nothing more
    ENDS_WITHIN_EVENT = "ends within event"  # the response is complete but its last event is not


class Ending(Enum):
    """How a replica fails while it runs a request."""

    RESET = "resets"  # resets all connections and accepts no new ones
    CLOSE = "closes"  # closes all connections in order and accepts no new ones
    SILENCE = "falls silent"  # keeps connections open and accepts new ones, but sends nothing


class CrashPoint(Enum):
    """How much of a stream a replica sends before it crashes under a request."""

    NOTHING = "before the head"
    HEAD = "after the head"
    EVENT = "after an event, without length and chunks"
    HALF_EVENT = "within an event, without length and chunks"


@dataclass
class Run:
    """A request that a replica ran."""

    id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    version: int
    began_at: float  # trio clock
    load: int = 0  # number of the load that served it, from 1; 0 if none was ordered


@dataclass(frozen=True)
class ArrivedRequest:
    """A request that reached a replica, whether or not it ran."""

    id: str
    at: float  # trio clock
    rest_seconds: float = 0.0  # Retry-After of its refusal; 0 if the replica did not ask for rest

    @property
    def asked_rest(self) -> bool:
        """Whether the request was refused with a request for rest."""
        return self.rest_seconds > 0


@dataclass(frozen=True)
class DaemonCall:
    """A call from the daemon on the replica's host."""

    method: str
    path: str
    number: int  # chunk number, -1 if the call names none
    body: bytes

    @property
    def reads_chunk(self) -> bool:
        """Whether the call reads a staged chunk."""
        return self.path.startswith(names.STAGE_GET_PATH) and self.number >= 0

    @property
    def puts_chunk(self) -> bool:
        """Whether the call stages a chunk."""
        return self.path.startswith(names.STAGE_PUT_PATH)

    @property
    def orders(self) -> bool:
        """Whether the call is an order to load weights."""
        return self.path == names.ORDER_PATH


@dataclass
class FakeReplica:
    """A replica that answers with the request's own body, or with numbered events."""

    id: str
    model: str | None = None
    version: int = 0  # 0 if no weights are loaded
    slots: int = 8
    events: int = 4
    event_seconds: float = 0.0
    service_seconds: float = 0.0
    # Queueing time of a request, which does not run if its caller disconnects meanwhile.
    wait_seconds: float = 0.0
    load_seconds: float = 0.02
    faults: deque[Fault] = field(default_factory=deque)
    runs: list[Run] = field(default_factory=list)
    # Ids of requests that lost their connection.
    cancelled: list[str] = field(default_factory=list)
    arrivals: int = 0  # requests that reached the replica, run or not
    arrived: list[ArrivedRequest] = field(default_factory=list)
    faulty: int = 0  # requests in flight with an injected fault
    active: int = 0  # requests in flight
    connections: int = 0  # open connections
    opened: int = 0  # connections opened so far
    loading: bool = False
    loading_version: int = 0
    load_due: float = 0.0  # trio clock
    completed_load: int = 0  # number of the last completed load, from 1
    draining: bool = False
    serves_draining: bool = False  # accepts requests while draining
    limit: str | None = None  # requests per second, sent in responses
    announces_leaving: bool = False  # in responses to requests
    # Retry-After value, in seconds, with which every request is refused; None for no refusals.
    rest: str | None = None
    reports_leaving: bool = False  # in reports to the daemon on its host
    # Injected into each request for which `faults` holds none.
    steady_fault: Fault | None = None
    # Until when it sends nothing to callers, though it runs their requests (trio clock).
    silent_until: float = 0.0
    # Whether each event ends with the version of the weights that produced it.
    names_versions: bool = False
    orders: int = 0  # orders accepted by this incarnation
    # Awaited before each call of the daemon; if it returns true, the call has no effect and gets
    # no answer.
    drops_call: Callable[[DaemonCall], Awaitable[bool]] | None = None
    # How many of the next orders stay unanswered; `take_held_orders` executes them later.
    orders_to_hold: int = 0
    held_orders: list[dict[str, object]] = field(default_factory=list)
    # Start of this incarnation, Unix time in milliseconds.
    started_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    staged: dict[int, bytes] = field(default_factory=dict)
    loads: list[tuple[int, list[str]]] = field(default_factory=list)  # version, chunk digests
    reports_start: bool = True
    # Sends anything in place of the answer to a request with this id, then closes the connection.
    answer_with: Callable[[trio.SocketStream, str], Awaitable[None]] | None = None
    # Fields that are added to reports, encoded as JSON; the values may be of any form.
    report_fields: bytes = b""
    # Whether the replica fails when it begins to run a request with this body.
    fails_on: Callable[[bytes], bool] = lambda body: False
    # Whether the replica crashes when it begins to answer a request with these headers.
    crashes_on: Callable[[dict[str, str]], bool] = lambda headers: False
    crash_point: CrashPoint = CrashPoint.NOTHING
    ending: Ending = Ending.RESET
    ended: trio.Event = field(default_factory=trio.Event)
    streams: set[trio.SocketStream] = field(default_factory=set)
    _serving: set[trio.CancelScope] = field(default_factory=set)

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it closes."""
        self.connections += 1
        self.opened += 1
        self.streams.add(stream)
        ended, scope = self.ended, trio.CancelScope()
        self._serving.add(scope)
        try:
            with scope:
                if not ended.is_set():
                    await self._serve(stream)
            if ended.is_set() and self.ending is Ending.SILENCE:
                await trio.sleep_forever()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            pass
        finally:
            self.connections -= 1
            self._serving.discard(scope)
            self.streams.discard(stream)
            await trio.aclose_forcefully(stream)

    async def end(self) -> None:
        """Fail as `ending` says; the owner closes what is still open and restarts the replica."""
        self.ended.set()
        if self.ending is Ending.RESET:
            for stream in list(self.streams):
                await reset(stream)
        for scope in self._serving:
            scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            request = await read_request(connection, stream)
            if request is None:
                return
            head, body = request
            path, _, query = head.target.decode().partition("?")
            headers = {n.decode(): v.decode() for n, v in head.headers}
            number = int(parse_qs(query).get("num", ["-1"])[0])
            call = DaemonCall(head.method.decode(), path, number, body)
            if await self._drops_call(call):
                with suppress(CallerDisconnected):
                    await sleep_while_connected(stream, float("inf"))
                return
            call_response = self._answer_call(call)
            if call_response is not None:
                await stream.send_all(call_response)
                connection = next_cycle(connection)
                continue
            if not await self._run(stream, head, headers, body):
                return
            connection = next_cycle(connection)

    # Calls from the daemon on its host.

    async def _drops_call(self, call: DaemonCall) -> bool:
        """Return whether a call gets no answer; hold it if it is an order that is to be held."""
        if call.orders and self.orders_to_hold:
            self.orders_to_hold -= 1
            self.held_orders.append(msgspec.json.decode(call.body))
            return True
        return self.drops_call is not None and await self.drops_call(call)

    def _answer_call(self, call: DaemonCall) -> bytes | None:
        """Perform a call of the daemon; return the response, None if it is another request."""
        if call.path == names.REPORT_PATH:
            leaving = [(names.LEAVING, "1")] if self.reports_leaving else []
            body = add_fields(msgspec.json.encode(self._report()), self.report_fields)
            return response_bytes(200, leaving, body)
        if call.puts_chunk and call.method == "PUT":
            self.staged[call.number] = call.body
            return json_bytes(200, {})
        if call.reads_chunk:
            chunk = self.staged.get(call.number)
            return json_bytes(404, {}) if chunk is None else response_bytes(200, [], chunk)
        if call.path.startswith(names.STAGE_GET_PATH):
            return json_bytes(200, {"held": sorted(self.staged)})
        if call.orders:
            return self._take_order(msgspec.json.decode(call.body))
        return None

    def _report(self) -> dict[str, object]:
        loaded = [{"name": self.model, "version": self.version}] if self.version else []
        started = {names.STARTED_MS: self.started_ms} if self.reports_start else {}
        return {
            "stage": "colocated",
            "models": loaded,
            "utilization": self.loading,
            "seq": self.orders,
            "queued": 0,
            "active": self.active,
            "kv_used": 0,
            "kv_total": 1000,
            **started,
        }

    def _take_order(self, order: dict[str, object]) -> bytes:
        version = order["version"]
        assert isinstance(version, int)
        if version == (self.loading_version if self.loading else self.version):
            return json_bytes(200, {})
        if order.get(names.EXPECTED_SEQUENCE, self.orders) != self.orders:
            return json_bytes(409, {"error": "seq"})
        self.orders += 1
        self.loading = True
        digests = [hashlib.sha256(self.staged[i]).hexdigest() for i in sorted(self.staged)]
        self.loads.append((version, digests))
        self.load_due = trio.current_time() + self.load_seconds
        self.loading_version = version
        return json_bytes(202, {})

    def take_held_orders(self) -> None:
        """Execute the held orders as if they had just arrived."""
        for order in self.held_orders:
            self._take_order(order)
        self.held_orders.clear()

    def start_again(self, clock_step_ms: int = 0) -> None:
        """Begin a new incarnation under the same id, without any state of the previous one."""
        self.started_ms = max(int(time.time() * 1000), self.started_ms + 1) + clock_step_ms
        self.version = 0
        self.completed_load = 0
        self.orders = 0
        self.active = 0
        self.loading = False
        self.staged = {}
        self.held_orders.clear()
        self.faults.clear()
        self.ended = trio.Event()

    async def lose_power(self) -> None:
        """Begin a new incarnation that listens at once, and reset all connections."""
        self.start_again()
        for stream in list(self.streams):
            await reset(stream)

    def complete_load(self) -> None:
        """Complete a load that is due, unless requests are still running."""
        if self.loading and not self.active and trio.current_time() >= self.load_due:
            self.loading = False
            self.version = self.loading_version
            self.completed_load = len(self.loads)

    # Requests.

    async def _run(
        self, stream: trio.SocketStream, head: h11.Request, headers: dict[str, str], body: bytes
    ) -> bool:
        """Answer a request; return whether the connection can be reused."""
        self.arrivals += 1
        request_id = headers.get(names.REQUEST_ID, "")
        rest_seconds = float(self.rest or 0.0)
        self.arrived.append(ArrivedRequest(request_id, trio.current_time(), rest_seconds))
        base = [(names.REQUEST_ID, request_id)]
        if self.limit is not None:
            base.append((names.LIMIT, self.limit))
        if self.announces_leaving:
            base.append((names.LEAVING, "1"))
        expected = headers.get(names.EXPECT_INSTANCE)
        version = headers.get(names.EXPECT_VERSION)
        if expected not in (None, self.id) or version not in (None, str(self.version)):
            await stream.send_all(json_bytes(421, {}, base))
            return True
        if self.rest is not None:
            refusal_headers = [*base, (names.NOT_EXECUTED, "1"), (names.RETRY_AFTER, self.rest)]
            await stream.send_all(json_bytes(503, {}, refusal_headers))
            return True
        fault = self.faults.popleft() if self.faults else self.steady_fault
        refuses = self.loading or (self.draining and not self.serves_draining)
        if fault is Fault.SHED or refuses or self.active >= self.slots:
            await stream.send_all(json_bytes(503, {}, [*base, (names.NOT_EXECUTED, "1")]))
            return True
        self.active += 1
        self.faulty += fault is not None
        try:
            await sleep_while_connected(stream, self.wait_seconds)
            method, target = head.method.decode(), head.target.decode()
            now = trio.current_time()
            run = Run(
                request_id, method, target, headers, body, self.version, now, self.completed_load
            )
            self.runs.append(run)
            if self.fails_on(body):
                await self.end()
            if self.crashes_on(headers):
                await self._crash(stream, base)
            return await self._answer(stream, headers, base, body, fault)
        except (trio.BrokenResourceError, trio.ClosedResourceError, CallerDisconnected):
            self.cancelled.append(request_id)
            return False
        finally:
            self.active -= 1
            self.faulty -= fault is not None

    async def _crash(self, stream: trio.SocketStream, base: list[tuple[str, str]]) -> None:
        """Send a part of a stream as `crash_point` says, then fail as `ending` says."""
        head = [*base, (names.SEAL, SEAL), ("content-type", "text/event-stream")]
        event = b"id: 0\ndata: begun\n\n"
        match self.crash_point:
            case CrashPoint.HEAD:
                await stream.send_all(head_bytes(200, [*head, ("transfer-encoding", "chunked")]))
            case CrashPoint.EVENT:
                await stream.send_all(head_bytes(200, head) + event)
            case CrashPoint.HALF_EVENT:
                await stream.send_all(head_bytes(200, head) + event[:-4])
        await self.end()

    async def _answer(
        self,
        stream: trio.SocketStream,
        headers: dict[str, str],
        base: list[tuple[str, str]],
        body: bytes,
        fault: Fault | None,
    ) -> bool:
        await sleep_while_connected(stream, self.service_seconds)
        await self._wait_silence(stream)
        if self.answer_with is not None:
            await self.answer_with(stream, headers[names.REQUEST_ID])
            return False
        sealed = [*base, (names.SEAL, SEAL)]
        if self.model is not None:
            sealed.append((names.WEIGHT_VERSIONS, str(self.version)))
        match fault:
            case Fault.RESET_BEFORE_HEAD:
                return await reset(stream)
            case Fault.CLOSE_BEFORE_HEAD:
                return False
            case Fault.SILENT:
                await sleep_while_connected(stream, float("inf"))
            case Fault.NOT_HTTP:
                await stream.send_all(b"\x00\x01 this is no answer\r\n\r\n")
                return False
            case Fault.ERROR:
                await stream.send_all(json_bytes(500, {"error": "own"}, sealed))
                return True
            case Fault.NO_SEAL:
                await stream.send_all(response_bytes(200, base, body))
                return True
            case Fault.WRONG_ID:
                other = [(names.REQUEST_ID, "another"), (names.SEAL, SEAL)]
                await stream.send_all(response_bytes(200, other, body))
                return True
            case Fault.ENCODED:
                await stream.send_all(
                    response_bytes(200, [*sealed, ("content-encoding", "gzip")], body)
                )
                return True
        if self.model is not None:
            return await self._stream(stream, headers, sealed, fault)
        return await self._plain_answer(stream, sealed, body, fault)

    async def _wait_silence(self, stream: trio.SocketStream) -> None:
        """Wait until it may send again."""
        while (seconds := self.silent_until - trio.current_time()) > 0:
            await sleep_while_connected(stream, seconds)

    async def _plain_answer(
        self,
        stream: trio.SocketStream,
        sealed: list[tuple[str, str]],
        body: bytes,
        fault: Fault | None,
    ) -> bool:
        answer = response_bytes(200, sealed, body)
        match fault:
            case Fault.CUT_BODY:
                await stream.send_all(answer[: -max(1, len(body) // 2)])
                return await reset(stream)
            case Fault.EXTRA_ANSWER:
                other = [(names.REQUEST_ID, "stray"), (names.SEAL, SEAL)]
                await stream.send_all(answer + response_bytes(200, other, b"stray"))
                return True
            case Fault.UNFRAMED:
                await stream.send_all(head_bytes(200, [*sealed, ("connection", "close")]) + body)
                return False
            case Fault.UNFRAMED_RESET:
                await stream.send_all(
                    head_bytes(200, [*sealed, ("connection", "close")]) + body[:3]
                )
                await trio.sleep(0.02)
                return await reset(stream)
        await stream.send_all(answer)
        return True

    async def _stream(
        self,
        stream: trio.SocketStream,
        headers: dict[str, str],
        sealed: list[tuple[str, str]],
        fault: Fault | None,
    ) -> bool:
        head = [*sealed, ("content-type", "text/event-stream"), ("transfer-encoding", "chunked")]
        await stream.send_all(head_bytes(200, head))
        first = int(headers.get(names.RESUME_AFTER, "-1")) + 1
        if fault is Fault.CUT_BEFORE_EVENT:
            return await reset(stream)
        for number in range(first, self.events):
            await sleep_while_connected(stream, self.event_seconds)
            await self._wait_silence(stream)
            event = b"id: %d\ndata: %s %d\n\n" % (
                number,
                headers[names.REQUEST_ID].encode(),
                number,
            )
            if self.names_versions:
                event = event[:-2] + b" v%d\n\n" % self.version
            if fault is Fault.CUT_WITHIN_EVENT and number == first + 1:
                await stream.send_all(chunk_bytes(event[:-4]))
                return await reset(stream)
            if fault is Fault.ENDS_WITHIN_EVENT and number == self.events - 1:
                event = event[:-1]
            await stream.send_all(chunk_bytes(event))
            if fault is Fault.CUT_AFTER_EVENT and number == first + 1:
                return await reset(stream)
            if fault is Fault.STALL and number == first + 1:
                await sleep_while_connected(stream, float("inf"))
        await stream.send_all(b"0\r\n\r\n")
        return True


_numbers = itertools.count(1)


def new_replica_id() -> str:
    """Return an id that no other replica in this process has."""
    return f"i-{next(_numbers):06x}"
