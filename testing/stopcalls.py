"""Callers of a process that is stopped, and what each of them was told.

Each caller has a connection of its own. It may wait between connecting and sending its request, or
keep the connection open for a second request.
"""

import signal
import subprocess
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import trio
from headcross_base.addresses import Address
from headcross_base.verdicts import NOT_RUN, VERDICT_HEADER
from headcross_wire.httpclient import connect
from headcross_wire.httpcodec import ConnectError, Headers, LinkLostError

CALL_INTERVAL_SECONDS = 0.02
ANSWER_SECONDS = 30.0  # after which a call counts as lost


@dataclass(frozen=True)
class CallRequest:
    """The request that a caller sends."""

    path: str
    headers: Headers
    body: bytes = b"x"
    method: str = "POST"


@dataclass
class Call:
    """One caller's request and its outcome."""

    id: str
    connected: float = 0.0  # seconds after the stop was requested; 0 if it could not connect
    status: int = 0  # 0 if there was no answer
    verdict: str = ""
    whole: bool = False
    error: str = ""
    process_lived: bool = True  # whether the process still ran when the call ended

    @property
    def refused_unrun(self) -> bool:
        """Whether the caller was told that its request has not run."""
        return self.whole and self.status == 503 and self.verdict == NOT_RUN

    @property
    def lost(self) -> bool:
        """Whether the caller could connect and got neither a whole answer nor such a refusal."""
        answered = self.whole and self.status == 200
        return bool(self.connected) and not answered and not self.refused_unrun


@dataclass(frozen=True)
class SentSignal:
    """A signal that is sent to the process."""

    seconds: float  # after the stop was requested
    number: signal.Signals


def freeze(begin: float, end: float) -> list[SentSignal]:
    """Return the signals that freeze a process from `begin` to `end` seconds after the stop."""
    return [SentSignal(begin, signal.SIGSTOP), SentSignal(end, signal.SIGCONT)]


@dataclass
class Stop:
    """A planned stop of one process and the calls made meanwhile."""

    address: Address
    process: subprocess.Popen[bytes]
    request_of: Callable[[str], CallRequest]  # by the id of the call
    calls: list[Call] = field(default_factory=list)
    ended: float = 0.0  # seconds after the stop was requested
    _began: float = 0.0

    @property
    def lost(self) -> list[Call]:
        """The calls of callers that could connect and got no answer."""
        return [call for call in self.calls if call.lost]

    @property
    def refused_unrun(self) -> list[Call]:
        """The calls that were refused as not run."""
        return [call for call in self.calls if call.refused_unrun]

    async def run(
        self,
        signals: Sequence[SentSignal] = (),
        *,
        steady: bool = True,
        wait_seconds: float = 0.0,
        connect_at: Sequence[float] = (),
        at_once: int = 8,
    ) -> None:
        """Stop the process and make calls until it has ended.

        With `steady`, a call is made every CALL_INTERVAL_SECONDS. At each of the seconds in
        `connect_at`, `at_once` callers connect that send their requests `wait_seconds` later.
        """
        self._began = trio.current_time()
        async with trio.open_nursery() as nursery:
            self.process.send_signal(signal.SIGTERM)
            for moment in connect_at:
                for _ in range(at_once):
                    nursery.start_soon(self._call_at, moment, wait_seconds)
            for sent in signals:
                nursery.start_soon(self._send_at, sent)
            while self.process.poll() is None:
                if steady:
                    nursery.start_soon(self._call_at, 0.0, 0.0)
                await trio.sleep(CALL_INTERVAL_SECONDS)
            self.ended = self._seconds()

    async def _send_at(self, sent: SentSignal) -> None:
        await trio.sleep_until(self._began + sent.seconds)
        if self.process.poll() is None:
            self.process.send_signal(sent.number)

    async def _call_at(self, moment: float, wait_seconds: float) -> None:
        await trio.sleep_until(self._began + moment)
        call = Call(f"call-{id(self):x}-{len(self.calls)}")
        self.calls.append(call)
        try:
            connection = await connect(self.address)
        except ConnectError as error:
            call.error = str(error)
            return
        call.connected = max(self._seconds(), 1e-6)
        await trio.sleep(wait_seconds)
        request = self.request_of(call.id)
        try:
            with trio.fail_after(ANSWER_SECONDS):
                await connection.send(request.method, request.path, request.headers, request.body)
                answer = await connection.receive_answer()
                call.status = answer.status
                call.verdict = answer.header(VERDICT_HEADER.lower()) or ""
                while await connection.receive_piece() is not None:
                    pass
                call.whole = True
        except (LinkLostError, trio.TooSlowError) as error:
            call.error = f"{type(error).__name__}: {error}"
        finally:
            call.process_lived = self.process.poll() is None
            await connection.close()

    def _seconds(self) -> float:
        return trio.current_time() - self._began
