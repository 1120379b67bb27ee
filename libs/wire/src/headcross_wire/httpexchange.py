"""One request of a caller and the methods that answer it, over h11 and a trio stream."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import h11
import msgspec
import trio
from headcross_base.verdicts import NOT_RUN, VERDICT_HEADER, NotRun

from headcross_wire.httpcodec import Headers
from headcross_wire.httprequest import Request, ServerLimits


class CallerGone(Exception):
    """The caller's connection broke or stalled while the answer was written."""


class CallerStalled(CallerGone):
    """The caller accepted nothing of the answer within the time limit of a write."""


@dataclass(slots=True)
class Exchange:
    """A request and the methods that answer it."""

    request: Request
    _connection: h11.Connection
    _stream: trio.abc.Stream
    _limits: ServerLimits
    # Returns whether the connection is closed after the answer, when the answer begins.
    _closes_connection: Callable[[], bool] = lambda: False
    started: bool = field(default=False)  # whether anything of an answer was written
    # Whether the caller closed its connection before the answer was complete.
    caller_left: bool = field(default=False)
    _writing_since: float | None = field(default=None)  # trio's clock; None between writes

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer; if cancelled before it begins, nothing of it is sent.

        The answer to a HEAD request has the length of the body, and no body.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        head = self._encode_head(status, [*headers, ("content-length", str(len(body)))])
        has_body = bool(body) and self.request.method != "HEAD"
        data = self._connection.send(h11.Data(data=body)) if has_body else b""
        end = self._connection.send(h11.EndOfMessage())
        await self._write(b"".join(part for part in (head, data, end) if part))

    async def respond_json(
        self, status: int, value: object, headers: Headers | None = None
    ) -> None:
        """Send a complete answer with `value` encoded as JSON."""
        body = msgspec.json.encode(value)
        await self.respond(status, [("content-type", "application/json"), *(headers or [])], body)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status line and headers of an answer."""
        await self._write(self._encode_head(status, headers))

    async def send(self, data: bytes) -> None:
        """Send a piece of the body."""
        await self._write(self._connection.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """End the answer."""
        await self._write(self._connection.send(h11.EndOfMessage()))

    @property
    def stalled_seconds(self) -> float:
        """Seconds for which the caller has not accepted what is being written, 0 if nothing is.

        After a write that was cancelled, the seconds since that write began.
        """
        return 0.0 if self._writing_since is None else trio.current_time() - self._writing_since

    @property
    def peer_ip(self) -> str:
        """IP address of the caller; empty if it is unknown."""
        if not isinstance(self._stream, trio.SocketStream):
            return ""
        return str(self._stream.socket.getpeername()[0])

    async def abort(self) -> None:
        """Close the connection at once, so that the caller sees a truncated answer."""
        await trio.aclose_forcefully(self._stream)

    async def respond_after_failure(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer although the handler has failed; nothing may be written yet.

        The handler may have left the connection's state in the middle of an answer, so the answer
        is encoded apart from it, and the connection cannot be used again.
        """
        self._connection.send_failed()
        connection = h11.Connection(h11.SERVER)
        connection.receive_data(f"{self.request.method} / HTTP/1.0\r\n\r\n".encode("latin-1"))
        connection.next_event()
        final = replace(self, _connection=connection)
        self.started = True
        await final.respond(status, [*headers, ("connection", "close")], body)

    def _encode_head(self, status: int, headers: Headers) -> bytes | None:
        if self._closes_connection():
            headers = [*headers, ("connection", "close")]
        return self._connection.send(h11.Response(status_code=status, headers=_encode(headers)))

    async def _write(self, data: bytes | None) -> None:
        if not data:
            return
        self.started = True
        self._writing_since = trio.current_time()
        seconds = self._limits.write_seconds
        try:
            with trio.fail_after(seconds):
                await self._stream.send_all(data)
        except trio.TooSlowError:
            raise CallerStalled(f"the caller accepted nothing for {seconds:.1f} s") from None
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone(f"the caller's connection broke: {error}") from None
        self._writing_since = None


async def send_plain_refusal(exchange: Exchange, refusal: NotRun) -> None:
    """Answer with a refusal's code, text and verdict."""
    reason = refusal.reason
    body = {"code": reason.code, "text": reason.text, "detail": refusal.detail, "verdict": NOT_RUN}
    await exchange.respond_json(reason.status, body, [(VERDICT_HEADER, NOT_RUN)])


def _encode(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
