"""The answers that an entry gives itself."""

from headcross_base.verdicts import VERDICT_HEADER, NotRun, Refusal, verdict_name
from headcross_ports.requests import RequestDialect
from headcross_wire.httpserver import Exchange
from headcross_wire.replies import error_body


async def send_refusal(
    exchange: Exchange, dialect: RequestDialect, refusal: Refusal, request_id: str | None
) -> None:
    """Answer with an error; what has not run is told when to come back."""
    retry_after = refusal.retry_after_seconds if isinstance(refusal, NotRun) else None
    headers = dialect.own_answer_headers(request_id, retry_after)
    headers.append((VERDICT_HEADER, verdict_name(refusal)))
    await exchange.respond_json(refusal.reason.status, error_body(refusal), headers)
