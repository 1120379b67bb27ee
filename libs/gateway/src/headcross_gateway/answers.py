"""Sends the error answers that an entry produces itself."""

from headcross_base.verdicts import VERDICT_HEADER, NotRun, Refusal, verdict_name
from headcross_ports.requests import RequestDialect
from headcross_wire.httpexchange import Exchange
from headcross_wire.replies import error_body


async def send_refusal(
    exchange: Exchange, dialect: RequestDialect, refusal: Refusal, request_id: str | None
) -> None:
    """Send a refusal as an error answer; a request that did not run gets a retry-after time."""
    retry_after = refusal.retry_after_seconds if isinstance(refusal, NotRun) else None
    headers = dialect.own_answer_headers(request_id, retry_after)
    headers.append((VERDICT_HEADER, verdict_name(refusal)))
    await exchange.respond_json(refusal.reason.status, error_body(refusal), headers)
