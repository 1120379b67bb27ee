"""Sends complete answers: those of replicas, and the errors that an entry produces itself."""

import msgspec
from headcross_base.verdicts import VERDICT_HEADER, Completed, NotRun, Refusal, verdict_name
from headcross_ports.requests import RequestDialect
from headcross_wire.httpcodec import Headers
from headcross_wire.httpexchange import Exchange
from headcross_wire.replies import error_body

from headcross_gateway.outcomes import CompleteAnswer
from headcross_gateway.relay import end_to_end_headers


async def forward_complete(exchange: Exchange, outcome: CompleteAnswer) -> Completed:
    """Send a replica's complete answer."""
    headers = end_to_end_headers(outcome.answer.headers)
    await exchange.respond(outcome.answer.status, headers, outcome.body)
    return Completed(outcome.answer.status)


async def send_refusal(
    exchange: Exchange, dialect: RequestDialect, refusal: Refusal, request_id: str | None
) -> None:
    """Send a refusal as an error answer; a request that did not run gets a retry-after time."""
    headers = _refusal_headers(dialect, refusal, request_id)
    await exchange.respond_json(refusal.reason.status, error_body(refusal), headers)


async def answer_after_failure(
    exchange: Exchange, dialect: RequestDialect, refusal: Refusal, request_id: str | None
) -> None:
    """Send a refusal although the handler has failed; nothing may be written yet."""
    headers = _refusal_headers(dialect, refusal, request_id)
    headers.append(("content-type", "application/json"))
    body = msgspec.json.encode(error_body(refusal))
    await exchange.respond_after_failure(refusal.reason.status, headers, body)


def _refusal_headers(dialect: RequestDialect, refusal: Refusal, request_id: str | None) -> Headers:
    retry_after = refusal.retry_after_seconds if isinstance(refusal, NotRun) else None
    headers = dialect.own_answer_headers(request_id, retry_after)
    headers.append((VERDICT_HEADER, verdict_name(refusal)))
    return headers
