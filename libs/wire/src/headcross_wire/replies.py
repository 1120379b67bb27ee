"""Encodes refusals as HTTP answers and decodes those that an entry receives from a daemon.

Every error has its verdict in the header `Headcross-Verdict` and a JSON body with code, text,
detail and verdict. `Retry-After` is sent if it is known when a retry makes sense.
"""

import math
from typing import Final

import msgspec
from headcross_base.decoding import JsonDecoder, parse_whole_number
from headcross_base.errorcodes import ERROR_CODES, UPSTREAM_ERROR
from headcross_base.errors import Failure
from headcross_base.verdicts import (
    MAY_HAVE_RUN,
    NOT_RUN,
    VERDICT_HEADER,
    MayHaveRun,
    NotRun,
    Refusal,
    verdict_name,
)

from headcross_wire.httpcodec import Headers
from headcross_wire.httpexchange import Exchange

MAX_ERROR_BYTES: Final = 16 * 1024


class ErrorBody(msgspec.Struct):
    """The JSON body of an error."""

    code: str
    text: str
    detail: str
    verdict: str


_ERROR_BODY: Final = JsonDecoder(ErrorBody, MAX_ERROR_BYTES)


async def send_refusal(exchange: Exchange, refusal: Refusal, headers: Headers) -> None:
    """Answer an exchange with a refusal, adding `headers`."""
    extra = [*headers, (VERDICT_HEADER, verdict_name(refusal))]
    if isinstance(refusal, NotRun) and refusal.retry_after_seconds is not None:
        extra.append(("Retry-After", str(max(1, math.ceil(refusal.retry_after_seconds)))))
    await exchange.respond_json(refusal.reason.status, error_body(refusal), extra)


def error_body(refusal: Refusal) -> ErrorBody:
    """Return the JSON body for a refusal."""
    return ErrorBody(
        refusal.reason.code, refusal.reason.text, refusal.detail, verdict_name(refusal)
    )


def parse_refusal(verdict: str, retry_after: str | None, body: bytes) -> Refusal:
    """Decode a daemon's refusal; if verdict or body is invalid, the request may have run."""
    seconds = parse_whole_number(retry_after or "")
    decoded = _ERROR_BODY.decode(body)
    if isinstance(decoded, Failure):
        return MayHaveRun(UPSTREAM_ERROR, "unreadable error")
    error = decoded.value
    kind = ERROR_CODES.get(error.code, UPSTREAM_ERROR)
    if verdict == NOT_RUN:
        return NotRun(kind, error.detail, seconds)
    if verdict == MAY_HAVE_RUN:
        return MayHaveRun(kind, error.detail)
    return MayHaveRun(UPSTREAM_ERROR, f"verdict {verdict[:32]!r}")
