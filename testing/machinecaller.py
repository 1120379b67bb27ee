"""A client for tests with `testing.machines`: sends requests and records the answers."""

import itertools
from dataclasses import dataclass, field

import trio
from headcross_base.addresses import Address
from headcross_platform import names
from headcross_wire.httpclient import closing, connect
from headcross_wire.httpcodec import ConnectError, Headers, LinkLostError

from testing.machinelayout import HOST, KEY, MODEL

_numbers = itertools.count(1)


@dataclass
class Reply:
    """The outcome of a request."""

    id: str
    status: int = 0  # 0 if there was no answer
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False  # the answer was received to its end
    seconds: float = 0.0

    @property
    def sealed(self) -> bool:
        """Whether the answer has a replica's seal."""
        return names.SEAL in self.headers

    @property
    def events(self) -> list[int]:
        """The numbers of the events of a stream."""
        parts = [part for part in self.body.split(b"\n\n") if part]
        return [int(part.split(b"\n")[0].removeprefix(b"id: ")) for part in parts]


def new_request_id() -> str:
    """Return a request id that is unique in this process."""
    return f"req-{next(_numbers):06d}"


async def ask(
    address: Address,
    path: str,
    body: bytes = b"hello",
    *,
    method: str = "POST",
    request_id: str | None = None,
    key: str | None = KEY,
    deadline_ms: int = 6000,
    headers: Headers | None = None,
    seconds: float = 20.0,
) -> Reply:
    """Send a request on a connection of its own and read the answer to the end.

    Failures are recorded in the reply; `seconds` limits the whole call.
    """
    reply = Reply(request_id or new_request_id())
    head: Headers = [
        ("host", HOST),
        (names.REQUEST_ID, reply.id),
        (names.DEADLINE_MS, str(deadline_ms)),
        *([(names.KEY, key)] if key is not None else []),
        *([(names.MODEL, MODEL)] if path.startswith(("/stream/", "/strict/")) else []),
        *(headers or []),
    ]
    started = trio.current_time()
    try:
        with trio.fail_after(seconds):
            async with closing(await connect(address)) as connection:
                await connection.send(method, path, head, body)
                answer = await connection.receive_answer()
                reply.status = answer.status
                reply.headers = dict(answer.headers)
                while (piece := await connection.receive_piece()) is not None:
                    reply.body += piece
                reply.whole = True
    except (ConnectError, LinkLostError, trio.TooSlowError):
        pass
    reply.seconds = trio.current_time() - started
    return reply
