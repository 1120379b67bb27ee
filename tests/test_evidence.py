"""Tests of what the ends of attempts show about requests and replicas."""

import pytest
from headcross_base.errorcodes import LINK_LOST, UNREACHED, UPSTREAM_ERROR
from headcross_gateway.attempts import AttemptTimes
from headcross_gateway.evidence import Sign, sign_of
from headcross_gateway.outcomes import CompleteAnswer, DidNotRun, MayRun, Outcome, Streamed
from headcross_wire.httpcodec import Answer

WITH_LENGTH = Answer(200, [("content-length", "1")])
IN_CHUNKS = Answer(200, [("transfer-encoding", "chunked")])
UNDELIMITED = Answer(200, [])
FAILED = Answer(500, [("content-length", "1")])


@pytest.mark.parametrize(
    ("outcome", "began_at", "sign"),
    [
        (CompleteAnswer(WITH_LENGTH, b"x"), 1.0, Sign.ANSWERED),
        (CompleteAnswer(IN_CHUNKS, b"x"), 1.0, Sign.ANSWERED),
        (CompleteAnswer(Answer(204, []), b""), 1.0, Sign.ANSWERED),
        (Streamed(), 1.0, Sign.ANSWERED),
        (CompleteAnswer(UNDELIMITED, b"x"), 1.0, Sign.CLOSED),
        (Streamed(ends_with_connection=True), 1.0, Sign.CLOSED),
        (CompleteAnswer(FAILED, b"x"), 1.0, Sign.NOTHING),
        (MayRun(LINK_LOST, "reset", broken=True), None, Sign.BROKEN),
        (MayRun(LINK_LOST, "reset after the head", broken=True), 1.0, Sign.BROKEN),
        (MayRun(LINK_LOST, "silent", silent=True), None, Sign.SILENT),
        (MayRun(LINK_LOST, "silent after an event", silent=True), 1.0, Sign.PAUSED),
        (MayRun(LINK_LOST, "withdrawn", withdrawn=True), None, Sign.ABANDONED),
        (None, 1.0, Sign.ABANDONED),
        (DidNotRun(UNREACHED, "refused", arrived=False, refused=True), None, Sign.REFUSED),
        (DidNotRun(UNREACHED, "timed out", arrived=False), None, Sign.NOTHING),
        (MayRun(UPSTREAM_ERROR, "no seal"), 1.0, Sign.NOTHING),
    ],
)
def test_the_end_of_an_attempt_is_read_in_one_way(
    outcome: Outcome | None, began_at: float | None, sign: Sign
) -> None:
    assert sign_of(outcome, AttemptTimes(began_at=began_at)) is sign
