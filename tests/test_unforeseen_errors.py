"""Tests that a request gets an answer with a true verdict, whatever raises meanwhile."""

from pathlib import Path

import pytest
import trio
from headcross_base.verdicts import MAY_HAVE_RUN, NOT_RUN, VERDICT_HEADER
from headcross_platform import names

from testing.hostile import (
    MANY_DIGITS,
    AnswerSender,
    answer_with_header,
    refuse_with_retry_after,
    send_events,
)
from testing.machinecaller import Reply, ask
from testing.machinelayout import KEY, MODEL_SERVICE, PLAIN_SERVICE
from testing.machines import Machines, replicas_of, small_site

PATHS = ("/once/x", "/again/x", "/stream/x", "/strict/x")
ODD_ANSWERS: dict[str, AnswerSender] = {
    "version of 5,000 digits": answer_with_header(names.WEIGHT_VERSIONS, MANY_DIGITS),
    "version of 400 digits": answer_with_header(names.WEIGHT_VERSIONS, MANY_DIGITS[:400]),
    "keep-alive of 5,000 digits": answer_with_header("keep-alive", f"timeout={MANY_DIGITS}"),
    "limit of 5,000 digits": answer_with_header(names.LIMIT, MANY_DIGITS),
}
ODD_REFUSALS = {
    "date in a far year": "Mon, 01 Jan 99999999999 00:00:00 GMT",
    "date in a far zone": "Sat, 01 Jan 2000 00:00:03 +99999999999999",
    "many digits": MANY_DIGITS,
    "nested comments": "(" * 2000,
}


def use_only(site: Machines, answer_with: AnswerSender) -> None:
    """Let all replicas answer so."""
    for service in (MODEL_SERVICE, PLAIN_SERVICE):
        for replica in replicas_of(site, service):
            replica.answer_with = answer_with


def is_answered(reply: Reply) -> bool:
    """Return whether a reply is whole, and says whether the request ran if it is an error."""
    has_verdict = VERDICT_HEADER.lower() in reply.headers or reply.sealed
    return reply.status != 0 and reply.whole and (reply.status == 200 or has_verdict)


@pytest.mark.parametrize("name", ODD_ANSWERS)
async def test_callers_are_answered_if_replicas_send_a_header_with_an_odd_number(
    tmp_path: Path, name: str
) -> None:
    async with small_site(tmp_path) as site:
        use_only(site, ODD_ANSWERS[name])
        for path in PATHS:
            reply = await ask(site.callers("entry0"), path)
            assert reply.status == 200 and reply.whole and reply.sealed, (path, reply)
        assert not [line for line in site.log("entry0") if line["message"] == "handler failed"]


@pytest.mark.parametrize("name", ODD_REFUSALS)
async def test_callers_are_answered_if_replicas_refuse_with_an_odd_retry_after(
    tmp_path: Path, name: str
) -> None:
    async with small_site(tmp_path) as site:
        use_only(site, refuse_with_retry_after(ODD_REFUSALS[name]))
        for path in PATHS:
            reply = await ask(site.callers("entry0"), path)
            assert reply.status == 503 and is_answered(reply), (path, reply)
            assert reply.headers[VERDICT_HEADER.lower()] == NOT_RUN


async def test_a_stream_with_an_event_id_of_many_digits_is_never_complete(tmp_path: Path) -> None:
    async with small_site(tmp_path) as site:
        odd = b"id: %s\ndata: x\n\n" % MANY_DIGITS.encode()
        use_only(site, send_events(b"id: 0\ndata: x\n\n", odd))
        for path in ("/stream/x", "/strict/x"):
            reply = await ask(site.callers("entry0"), path)
            assert reply.status == 200 and not reply.whole and reply.events == [0], (path, reply)
        assert not [line for line in site.log("entry0") if line["message"] == "handler failed"]


@pytest.mark.parametrize("path", ["/none", "/again/x", "/stream/x"])
async def test_a_head_request_is_answered(tmp_path: Path, path: str) -> None:
    async with small_site(tmp_path) as site:
        for replica in replicas_of(site, PLAIN_SERVICE) + replicas_of(site, MODEL_SERVICE):
            replica.draining = True
        reply = await ask(site.callers("entry0"), path, b"", method="HEAD")
        assert reply.status == (404 if path == "/none" else 503) and reply.whole, reply


@pytest.mark.parametrize("digits", [19, 400, 3000])
async def test_a_deadline_of_many_digits_is_answered(tmp_path: Path, digits: int) -> None:
    async with small_site(tmp_path) as site:
        for path in PATHS:
            reply = await ask(site.callers("entry0"), path, deadline_ms=int("9" * digits))
            assert is_answered(reply) and reply.status in (200, 400), (path, reply)


@pytest.mark.parametrize(
    "header",
    [
        (names.RESUME_AFTER, "9" * 3000),
        (names.TOKEN_COUNT, "9" * 3000),
        (names.PROMPT_PARTS, "9" * 3000),
        (names.KEY, KEY + "\xff"),
    ],
)
async def test_an_odd_header_of_a_caller_is_answered(
    tmp_path: Path, header: tuple[str, str]
) -> None:
    async with small_site(tmp_path) as site:
        for path in PATHS:
            reply = await ask(site.callers("entry0"), path, headers=[header])
            assert is_answered(reply), (path, reply)


async def test_an_answer_that_may_have_run_says_so(tmp_path: Path) -> None:
    async with small_site(tmp_path) as site:

        async def close(stream: trio.SocketStream, request_id: str) -> None:
            pass

        use_only(site, close)
        reply = await ask(site.callers("entry0"), "/once/x")
        assert reply.status == 502 and reply.headers[VERDICT_HEADER.lower()] == MAY_HAVE_RUN
