"""A caller on the new machines: sends requests to an entry and keeps what came back."""

import itertools
from dataclasses import dataclass, field

import trio
from headcross_base.addresses import Address
from headcross_platform import names
from headcross_wire.httpclient import ConnectError, LinkLostError, closing, connect
from headcross_wire.httpserver import Headers

from testing.machinelayout import HOST, KEY, MODEL

_numbers = itertools.count(1)


@dataclass
class Reply:
    """What a caller got."""

    id: str
    status: int = 0  # 0 when there was no answer at all
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False  # the answer ended as it should
    seconds: float = 0.0

    @property
    def sealed(self) -> bool:
        """Whether it bears a replica's signature."""
        return names.SEAL in self.headers

    @property
    def events(self) -> list[int]:
        """The numbers of the events of a stream."""
        parts = [part for part in self.body.split(b"\n\n") if part]
        return [int(part.split(b"\n")[0].removeprefix(b"id: ")) for part in parts]


def new_request_id() -> str:
    """Return an id that no request had."""
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
    """Send one request on a connection of its own and read the whole answer."""
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
