"""Which requests are blamed for lost replicas, decided without a network and without a clock."""

import random
from collections.abc import Iterable

import msgspec
import pytest
from headcross_gateway.lossnews import SharedLosses
from headcross_gateway.replicalosses import (
    BARRED_SECONDS,
    KNOWN_GOOD_SECONDS,
    MAX_LOSSES,
    MAX_REQUESTS_PER_LOSS,
    UNCONFIRMED_LOSS_SECONDS,
    Evidence,
    LossKey,
    ReplicaLosses,
    Standing,
)
from headcross_gateway.requestidentity import RequestIdentity
from headcross_wire.peermessages import AnsweredRequest, LossNews, LostReplica, decode, encode
from hypothesis import given
from hypothesis import strategies as st


def request(number: int) -> RequestIdentity:
    """Return the identity of one of many requests."""
    return RequestIdentity(bytes(8), number.to_bytes(8, "big"), bytes(8))


def lost(number: int) -> LossKey:
    """Return one life of one of many replicas."""
    return LossKey(f"i-{number}", None)


def confirm(known: ReplicaLosses, key: LossKey) -> None:
    """Note that a replica, which was lost, has ended."""
    known.blame(key, [], known.losses()[key].at, Evidence.ENDED)


def with_losses(*losses: Iterable[int]) -> ReplicaLosses:
    """Return what is known after certain losses, one a second from 1 s on, of some requests."""
    known = ReplicaLosses()
    for number, requests in enumerate(losses):
        known.blame(lost(number), [request(each) for each in requests], number + 1.0)
        confirm(known, lost(number))
    return known


CRASHING = 0


@pytest.mark.parametrize(
    ("losses", "standing"),
    [
        ([[CRASHING]], Standing.CLEAR),
        ([[CRASHING]] * 2, Standing.SUSPECT),
        ([[CRASHING]] * 3, Standing.BARRED),
    ],
)
def test_a_request_is_suspect_after_two_losses_and_barred_after_three(
    losses: list[list[int]], standing: Standing
) -> None:
    assert with_losses(*losses).standing(request(CRASHING), 4.0) is standing


def test_silent_replicas_make_a_request_suspect_and_never_bar_it() -> None:
    known = ReplicaLosses()
    for number in range(5):
        known.blame(lost(number), [request(CRASHING)], 1.0, Evidence.SILENT)
    assert known.standing(request(CRASHING), 2.0) is Standing.SUSPECT
    for number in range(3):
        confirm(known, lost(number))
    assert known.standing(request(CRASHING), 2.0) is Standing.BARRED


def test_silence_is_not_held_against_a_request_that_was_answered_lately() -> None:
    known = ReplicaLosses()
    known.note_answer(request(CRASHING), 1.0)
    for number in range(2):
        known.blame(lost(number), [request(CRASHING)], 1.0 + KNOWN_GOOD_SECONDS, Evidence.SILENT)
    assert known.standing(request(CRASHING), 62.0) is Standing.CLEAR
    for number in range(2):
        known.blame(lost(number), [request(CRASHING)], 1.0 + KNOWN_GOOD_SECONDS, Evidence.ENDED)
    assert known.standing(request(CRASHING), 62.0) is Standing.SUSPECT


def test_the_same_loss_told_by_several_entries_counts_once() -> None:
    known = ReplicaLosses()
    for at in (1.0, 1.1, 1.2):
        known.blame(lost(0), [request(CRASHING)], at)
    assert known.standing(request(CRASHING), 2.0) is Standing.CLEAR


def test_requests_beside_a_crashing_one_stay_clear_although_they_lost_three_replicas_too() -> None:
    # Requests 1 and 2 stood beside it three times, and never without it.
    known = with_losses(
        [CRASHING, 1], [CRASHING, 1, 2], [CRASHING, 1, 2], [CRASHING, 2], [CRASHING]
    )
    assert known.standing(request(CRASHING), 6.0) is Standing.BARRED
    assert known.standing(request(1), 6.0) is Standing.CLEAR
    assert known.standing(request(2), 6.0) is Standing.CLEAR


def test_two_crashing_requests_at_once_are_both_barred() -> None:
    known = with_losses([0, 1, 5], [0, 6], [1, 5], [0], [1, 7], [1, 0])
    assert {known.standing(request(n), 7.0) for n in (0, 1)} == {Standing.BARRED}
    assert {known.standing(request(n), 7.0) for n in (5, 6, 7)} == {Standing.CLEAR}


def test_a_whole_answer_clears_a_request_of_all_that_came_before() -> None:
    known = with_losses([CRASHING], [CRASHING], [CRASHING])
    assert known.note_answer(request(CRASHING), 3.5)
    assert known.standing(request(CRASHING), 4.0) is Standing.CLEAR
    assert known.is_empty


def test_news_of_a_loss_that_come_after_the_answer_that_cleared_it_change_nothing() -> None:
    known = with_losses([CRASHING], [CRASHING], [CRASHING])
    known.note_answer(request(CRASHING), 3.5)
    assert not known.blame(lost(8), [request(CRASHING)], 3.4)
    assert known.blame(lost(9), [request(CRASHING)], 3.6)


def test_broken_connections_to_replicas_that_live_bar_nobody() -> None:
    """A cut, a reset of connections, a replica that resets a part of its requests."""
    known = ReplicaLosses()
    for number in range(5):
        known.blame(lost(number), [request(CRASHING)], 1.0)
    for number in range(3):
        assert known.retract(lost(number), 1.6)
    assert known.standing(request(CRASHING), 1.7) is Standing.SUSPECT
    for number in range(3, 5):
        assert known.retract(lost(number), 1.6)
    assert known.standing(request(CRASHING), 1.7) is Standing.CLEAR
    assert not known.blame(lost(0), [request(CRASHING)], 1.0), "older news of a replica that lives"


def test_a_loss_that_nothing_confirms_is_forgotten_soon_and_a_certain_one_is_not() -> None:
    known = ReplicaLosses()
    for number in range(3):
        known.blame(lost(number), [request(CRASHING)], 1.0)
    confirm(known, lost(0))
    known.expire(1.0 + UNCONFIRMED_LOSS_SECONDS)
    blamed = [key for key, loss in known.losses().items() if request(CRASHING) in loss.requests]
    assert blamed == [lost(0)]


def test_a_barred_request_is_tried_again_after_a_time_that_doubles_with_each_further_loss() -> (
    None
):
    known = with_losses([CRASHING], [CRASHING], [CRASHING])
    tried_at = 3.0 + BARRED_SECONDS
    assert known.standing(request(CRASHING), tried_at - 1) is Standing.BARRED
    assert known.standing(request(CRASHING), tried_at) is Standing.SUSPECT
    known.blame(lost(9), [request(CRASHING)], tried_at)
    confirm(known, lost(9))
    assert known.standing(request(CRASHING), tried_at + 2 * BARRED_SECONDS - 1) is Standing.BARRED
    assert known.standing(request(CRASHING), tried_at + 2 * BARRED_SECONDS) is Standing.SUSPECT


@given(st.integers(0, 1 << 30))
def test_popular_requests_are_never_barred_while_replicas_die_of_themselves(seed: int) -> None:
    """Six requests come again every 0.3 s, and one try in five fails."""
    generator = random.Random(seed)
    known = ReplicaLosses()
    for number in range(40):
        at = 1.5 * number
        there = generator.sample(range(6), generator.randint(0, 4))
        known.blame(lost(number), [request(each) for each in there], at)
        confirm(known, lost(number))
        for each in range(6):
            assert known.standing(request(each), at) is not Standing.BARRED
            for attempt in range(5):
                if generator.random() < 0.8:
                    known.note_answer(request(each), at + 0.3 * attempt)


def test_a_flood_of_other_requests_evicts_no_barred_one_and_stays_within_bounds() -> None:
    known = with_losses([CRASHING], [CRASHING], [CRASHING])
    assert known.standing(request(CRASHING), 4.0) is Standing.BARRED
    for number in range(10, 3 * MAX_LOSSES):
        there = [request(1000 * number + n) for n in range(100)]
        known.blame(lost(number), there, 10.0, Evidence.ENDED)
    assert known.standing(request(CRASHING), 11.0) is Standing.BARRED
    assert len(known.losses()) <= MAX_LOSSES
    assert max(len(loss.requests) for loss in known.losses().values()) <= MAX_REQUESTS_PER_LOSS


# News.


@given(st.integers(0, 1 << 30))
def test_entries_agree_whatever_news_come_late_or_twice(seed: int) -> None:
    generator = random.Random(seed)
    teller, heard = SharedLosses(), [SharedLosses(), SharedLosses()]
    news: list[tuple[LossNews, float]] = []
    now = 100.0
    for _ in range(12):
        now += 0.1
        key = lost(generator.randrange(5))
        there = [request(n) for n in generator.sample(range(4), 2)]
        teller.blame(key, there, now, generator.choice(list(Evidence)))
        if generator.random() < 0.2:
            teller.note_answer(request(generator.randrange(4)), now)
        told = teller.take_pending(now)
        if told is not None:
            news.append((told, now))
    for other in heard:
        order = news + generator.sample(news, len(news) // 2)
        generator.shuffle(order)
        for told, told_at in order:
            other.receive(_aged(told, now - told_at), now)
        all_known = teller.all_news(now)
        if all_known is not None:
            other.receive(all_known, now)
        for number in range(4):
            expected = teller.losses.standing(request(number), now)
            assert other.losses.standing(request(number), now) is expected


def _aged(news: LossNews, seconds: float) -> LossNews:
    """Return news as they are when they come late: their ages are as of their sending."""
    lost_ = [msgspec.structs.replace(each, age=each.age + seconds) for each in news.lost]
    answered = [AnsweredRequest(each.request, each.age + seconds) for each in news.answered]
    return LossNews(lost_, [], answered)


@pytest.mark.parametrize(
    "item",
    [
        LostReplica("i-1", None, -1.0, 1, [bytes(24)]),
        LostReplica("i-1", None, float("nan"), 1, [bytes(24)]),
        LostReplica("i-1", None, 1e9, 1, [bytes(24)]),
        LostReplica("i-1", None, 1.0, 1, [b"short"]),
        LostReplica("i-1", None, 1.0, 9, [bytes(24)]),
    ],
)
def test_news_that_cannot_be_right_are_left_out(item: LostReplica) -> None:
    shared = SharedLosses()
    good = LostReplica("i-2", None, 1.0, 1, [request(1).to_bytes()])
    shared.receive(LossNews([item, good]), 100.0)
    assert shared.rejected == 1
    assert set(shared.losses.losses()) == {LossKey("i-2", None)}


def test_news_survive_their_encoding() -> None:
    shared = SharedLosses()
    shared.blame(lost(1), [request(1)], 1.0, Evidence.BROKEN)
    news = shared.take_pending(2.0)
    assert news is not None and decode(encode(news)) == news
    assert shared.take_pending(2.0) is None


def test_news_hold_what_was_learned_since_and_not_what_others_told() -> None:
    shared = SharedLosses()
    shared.blame(lost(1), [request(1)], 1.0, Evidence.BROKEN)
    shared.take_pending(1.0)
    other = LostReplica("i-1", None, 0.5, 1, [request(2).to_bytes()])
    shared.receive(LossNews([other]), 1.5)
    shared.blame(lost(1), [request(3)], 1.5, Evidence.BROKEN)
    news = shared.take_pending(2.0)
    assert news is not None
    assert [each.requests for each in news.lost] == [[request(3).to_bytes()]]


def test_only_what_makes_requests_suspect_is_kept_by_daemons() -> None:
    shared = SharedLosses()
    for number in range(2):
        there = [request(CRASHING), request(number + 1)]
        shared.blame(lost(number), there, 1.0, Evidence.BROKEN)
    news = shared.suspect_news(2.0)
    assert news is not None
    assert [each.requests for each in news.lost] == [[request(CRASHING).to_bytes()]] * 2
