"""A client for tests that sends requests to entries and checks the answers."""

import json
import uuid
from dataclasses import dataclass, field

import trio
from headcross_base.addresses import Address
from headcross_wire.httpclient import closing, connect
from headcross_wire.httpcodec import ConnectError, Headers, LinkLostError

from testing.engine import token


@dataclass
class Reply:
    """The outcome of a request."""

    status: int = 0  # 0 if there was no answer
    verdict: str = ""
    code: str = ""
    body: bytes = b""
    whole: bool = False  # the answer was received to its end
    error: str = ""
    headers: dict[str, str] = field(default_factory=dict)


async def send(
    address: Address,
    path: str,
    body: bytes = b"",
    *,
    method: str = "POST",
    team: str = "archive",
    headers: Headers | None = None,
    seconds: float = 60.0,
) -> Reply:
    """Send a request and read its answer to the end; failures are recorded in the reply."""
    reply = Reply()
    try:
        with trio.fail_after(seconds):
            async with closing(await connect(address)) as connection:
                head = [("headcross-team", team), *(headers or [])]
                await connection.send(method, path, head, body)
                answer = await connection.receive_answer()
                reply.status = answer.status
                reply.headers = dict(answer.headers)
                reply.verdict = reply.headers.get("headcross-verdict", "")
                while (piece := await connection.receive_piece()) is not None:
                    reply.body += piece
                reply.whole = True
    except (ConnectError, LinkLostError, trio.TooSlowError) as error:
        reply.error = f"{type(error).__name__}: {error}"
    if reply.status >= 400 and reply.body:
        reply.code = json.loads(reply.body).get("code", "")
    return reply


async def generate(
    address: Address,
    path: str,
    prompt: str = "",
    tokens: int = 4,
    *,
    headers: Headers | None = None,
    seconds: float = 60.0,
) -> tuple[Reply, str]:
    """Request an answer of a model; return the reply and the prompt, which is random if empty."""
    prompt = prompt or uuid.uuid4().hex
    body = json.dumps({"prompt": prompt, "max_tokens": tokens}).encode()
    return await send(address, path, body, headers=headers, seconds=seconds), prompt


def check_tokens(reply: Reply, prompt: str, tokens: int, digests: list[str]) -> str:
    """Return the digest whose weights produced a whole stream.

    Return "" if the stream is incomplete, "mixed" if no single digest produced all its tokens.
    """
    events = reply.body.decode().split("\n\n")
    if events[-2:] != ["data: [DONE]", ""]:
        return ""
    got = [event.rpartition("data: ")[2] for event in events[:-2]]
    for digest in digests:
        if got == [token(digest, prompt, index) for index in range(tokens)]:
            return digest
    return "mixed"
