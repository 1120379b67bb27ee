"""Tests of the attribution of lost replicas to requests, and of the news that entries exchange."""

import random
from collections.abc import Callable, Iterable

import msgspec
import pytest
from headcross_gateway.attribution import BARRED_SECONDS, Standing
from headcross_gateway.losses import (
    LOSS_RETENTION_SECONDS,
    UNCONFIRMED_LOSS_SECONDS,
    Evidence,
    LossKey,
)
from headcross_gateway.lossnews import SharedLosses
from headcross_gateway.replicalosses import (
    KNOWN_GOOD_SECONDS,
    MAX_LOSSES,
    MAX_REQUESTS_PER_LOSS,
    ReplicaLosses,
)
from headcross_gateway.requestidentity import RequestIdentity
from headcross_gateway.sharedtraits import SharedTrait, TraitKind
from headcross_wire.peermessages import (
    AnsweredRequest,
    LossNews,
    LostReplica,
    TraitAge,
    decode,
    encode,
)
from hypothesis import given
from hypothesis import strategies as st


def request(number: int) -> RequestIdentity:
    """Return the identity of the request with this number."""
    return RequestIdentity(bytes(8), number.to_bytes(8, "big"), bytes(8))


def loss_key(number: int) -> LossKey:
    """Return the key of the loss of the replica with this number."""
    return LossKey(f"i-{number}", None)


def confirm(known: ReplicaLosses, key: LossKey) -> None:
    """Record that a lost replica has ended."""
    known.blame(key, [], known.losses()[key].at, Evidence.ENDED)


def with_losses(*losses: Iterable[int]) -> ReplicaLosses:
    """Return the losses known after some replicas have ended, one per second from 1 s on.

    Each argument lists the numbers of the requests that ran on one of these replicas.
    """
    known = ReplicaLosses()
    for number, requests in enumerate(losses):
        known.blame(loss_key(number), [request(n) for n in requests], number + 1.0)
        confirm(known, loss_key(number))
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
        known.blame(loss_key(number), [request(CRASHING)], 1.0, Evidence.SILENT)
    assert known.standing(request(CRASHING), 2.0) is Standing.SUSPECT
    for number in range(3):
        confirm(known, loss_key(number))
    assert known.standing(request(CRASHING), 2.0) is Standing.BARRED


def test_silence_does_not_count_against_a_request_that_was_answered_recently() -> None:
    known = ReplicaLosses()
    known.note_answer(request(CRASHING), 1.0)
    for number in range(2):
        known.blame(
            loss_key(number), [request(CRASHING)], 1.0 + KNOWN_GOOD_SECONDS, Evidence.SILENT
        )
    assert known.standing(request(CRASHING), 62.0) is Standing.CLEAR
    for number in range(2):
        known.blame(
            loss_key(number), [request(CRASHING)], 1.0 + KNOWN_GOOD_SECONDS, Evidence.ENDED
        )
    assert known.standing(request(CRASHING), 62.0) is Standing.SUSPECT


def test_a_loss_that_several_entries_report_counts_once() -> None:
    known = ReplicaLosses()
    for at in (1.0, 1.1, 1.2):
        known.blame(loss_key(0), [request(CRASHING)], at)
    assert known.standing(request(CRASHING), 2.0) is Standing.CLEAR


def test_requests_that_ran_alongside_a_crashing_one_stay_clear_after_three_losses() -> None:
    # Requests 1 and 2 were lost three times each, and always together with the crashing one.
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


def test_a_complete_answer_clears_a_request_of_earlier_losses() -> None:
    known = with_losses([CRASHING], [CRASHING], [CRASHING])
    assert known.note_answer(request(CRASHING), 3.5)
    assert known.standing(request(CRASHING), 4.0) is Standing.CLEAR
    assert known.is_empty


def test_late_news_of_a_loss_before_a_complete_answer_are_ignored() -> None:
    known = with_losses([CRASHING], [CRASHING], [CRASHING])
    known.note_answer(request(CRASHING), 3.5)
    assert not known.blame(loss_key(8), [request(CRASHING)], 3.4)
    assert known.blame(loss_key(9), [request(CRASHING)], 3.6)


def test_broken_connections_to_running_replicas_bar_no_request() -> None:
    """Connections also break by a network cut, or because a replica resets some requests."""
    known = ReplicaLosses()
    for number in range(5):
        known.blame(loss_key(number), [request(CRASHING)], 1.0)
    for number in range(3):
        assert known.retract(loss_key(number), 1.6)
    assert known.standing(request(CRASHING), 1.7) is Standing.SUSPECT
    for number in range(3, 5):
        assert known.retract(loss_key(number), 1.6)
    assert known.standing(request(CRASHING), 1.7) is Standing.CLEAR
    assert not known.blame(
        loss_key(0), [request(CRASHING)], 1.0
    ), "older news of a running replica"


def test_an_unconfirmed_loss_expires_sooner_than_a_certain_one() -> None:
    known = ReplicaLosses()
    for number in range(3):
        known.blame(loss_key(number), [request(CRASHING)], 1.0)
    confirm(known, loss_key(0))
    known.expire(1.0 + UNCONFIRMED_LOSS_SECONDS)
    blamed = [key for key, loss in known.losses().items() if request(CRASHING) in loss.requests]
    assert blamed == [loss_key(0)]


def test_the_time_for_which_a_request_is_barred_doubles_with_each_further_loss() -> None:
    known = with_losses([CRASHING], [CRASHING], [CRASHING])
    tried_at = 3.0 + BARRED_SECONDS
    assert known.standing(request(CRASHING), tried_at - 1) is Standing.BARRED
    assert known.standing(request(CRASHING), tried_at) is Standing.SUSPECT
    known.blame(loss_key(9), [request(CRASHING)], tried_at)
    confirm(known, loss_key(9))
    assert known.standing(request(CRASHING), tried_at + 2 * BARRED_SECONDS - 1) is Standing.BARRED
    assert known.standing(request(CRASHING), tried_at + 2 * BARRED_SECONDS) is Standing.SUSPECT


@given(st.integers(0, 1 << 30))
def test_frequent_requests_are_never_barred_while_replicas_crash_independently(seed: int) -> None:
    """Each of six requests is repeated every 0.3 s, and one try in five fails."""
    generator = random.Random(seed)
    known = ReplicaLosses()
    for number in range(40):
        at = 1.5 * number
        running = generator.sample(range(6), generator.randint(0, 4))
        known.blame(loss_key(number), [request(n) for n in running], at)
        confirm(known, loss_key(number))
        for request_number in range(6):
            assert known.standing(request(request_number), at) is not Standing.BARRED
            for attempt in range(5):
                if generator.random() < 0.8:
                    known.note_answer(request(request_number), at + 0.3 * attempt)


def test_many_other_losses_evict_no_barred_request_and_stay_within_bounds() -> None:
    known = with_losses([CRASHING], [CRASHING], [CRASHING])
    assert known.standing(request(CRASHING), 4.0) is Standing.BARRED
    for number in range(10, 3 * MAX_LOSSES):
        running = [request(1000 * number + n) for n in range(100)]
        known.blame(loss_key(number), running, 10.0, Evidence.ENDED)
    assert known.standing(request(CRASHING), 11.0) is Standing.BARRED
    assert len(known.losses()) <= MAX_LOSSES
    assert max(len(loss.requests) for loss in known.losses().values()) <= MAX_REQUESTS_PER_LOSS


# News that entries exchange.


@given(st.integers(0, 1 << 30))
def test_entries_agree_when_news_arrive_late_or_twice(seed: int) -> None:
    generator = random.Random(seed)
    sender, receivers = SharedLosses(), [SharedLosses(), SharedLosses()]
    news: list[tuple[LossNews, float]] = []
    now = 100.0
    for _ in range(12):
        now += 0.1
        key = loss_key(generator.randrange(5))
        running = [request(n) for n in generator.sample(range(4), 2)]
        sender.blame(key, running, now, generator.choice(list(Evidence)))
        if generator.random() < 0.2:
            sender.note_answer(request(generator.randrange(4)), now)
        pending = sender.take_pending(now)
        if pending is not None:
            news.append((pending, now))
    for receiver in receivers:
        order = news + generator.sample(news, len(news) // 2)
        generator.shuffle(order)
        for pending, sent_at in order:
            receiver.receive(_aged(pending, now - sent_at), now)
        all_known = sender.all_news(now)
        if all_known is not None:
            receiver.receive(all_known, now)
        for number in range(4):
            expected = sender.losses.standing(request(number), now)
            assert receiver.losses.standing(request(number), now) is expected


def _aged(news: LossNews, seconds: float) -> LossNews:
    """Return news with the ages that they have when they arrive late."""
    lost = [msgspec.structs.replace(loss, age=loss.age + seconds) for loss in news.lost]
    answered = [AnsweredRequest(answer.request, answer.age + seconds) for answer in news.answered]
    return LossNews(lost, [], answered)


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
def test_implausible_news_are_ignored(item: LostReplica) -> None:
    shared = SharedLosses()
    good = LostReplica("i-2", None, 1.0, 1, [request(1).to_bytes()])
    shared.receive(LossNews([item, good]), 100.0)
    assert shared.rejected == 1
    assert set(shared.losses.losses()) == {LossKey("i-2", None)}


def test_encoded_news_decode_to_the_same_news() -> None:
    shared = SharedLosses()
    shared.blame(loss_key(1), [request(1)], 1.0, Evidence.BROKEN)
    news = shared.take_pending(2.0)
    assert news is not None and decode(encode(news)) == news
    assert shared.take_pending(2.0) is None


def test_pending_news_hold_own_observations_and_not_those_of_other_entries() -> None:
    shared = SharedLosses()
    shared.blame(loss_key(1), [request(1)], 1.0, Evidence.BROKEN)
    shared.take_pending(1.0)
    other = LostReplica("i-1", None, 0.5, 1, [request(2).to_bytes()])
    shared.receive(LossNews([other]), 1.5)
    shared.blame(loss_key(1), [request(3)], 1.5, Evidence.BROKEN)
    news = shared.take_pending(2.0)
    assert news is not None
    assert [loss.requests for loss in news.lost] == [[request(3).to_bytes()]]


def test_suspect_news_hold_only_losses_of_suspect_requests() -> None:
    shared = SharedLosses()
    for number in range(2):
        running = [request(CRASHING), request(number + 1)]
        shared.blame(loss_key(number), running, 1.0, Evidence.BROKEN)
    news = shared.suspect_news(2.0)
    assert news is not None
    assert [loss.requests for loss in news.lost] == [[request(CRASHING).to_bytes()]] * 2


# News of what requests share.

PART = SharedTrait(TraitKind.PART, b"one part")
FIRST_PART = SharedTrait(TraitKind.PART, b"1st part")


def entry_with_losses(*shared: SharedTrait, count: int = 3) -> SharedLosses:
    """Return what an entry knows that has lost replicas, one per second from 1 s on."""
    entry = SharedLosses()
    for number in range(count):
        at = number + 1.0
        entry.blame(loss_key(number), [request(number)], at, Evidence.ENDED, shared, "lm")
    return entry


@pytest.mark.parametrize("news_of", [SharedLosses.take_pending, SharedLosses.all_news])
def test_an_entry_that_hears_of_a_barred_part_refuses_it(
    news_of: Callable[[SharedLosses, float], LossNews | None],
) -> None:
    entry, other = entry_with_losses(PART), SharedLosses()
    news = news_of(entry, 4.0)
    assert news is not None
    other.receive(decode(encode(news)), 4.5)  # type: ignore[arg-type]
    assert other.update(4.5)
    assert other.losses.cause_of_shared({PART}) is not None


def test_daemons_keep_a_barred_part_for_entries_that_start_later() -> None:
    entry, kept, started = entry_with_losses(PART, FIRST_PART), SharedLosses(), SharedLosses()
    entry.note_shared_answer("lm", [FIRST_PART], 3.5)
    for sender, receiver in ((entry, kept), (kept, started)):
        news = sender.suspect_news(4.0)
        assert news is not None
        receiver.receive(news, 4.0)
    assert started.losses.cause_of_shared({PART}) is not None
    assert started.losses.cause_of_shared({FIRST_PART}) is None


def test_an_entry_that_started_is_told_which_blamed_parts_others_have_answered() -> None:
    started, other = entry_with_losses(FIRST_PART), SharedLosses()
    other.note_shared_answer("lm", [FIRST_PART], 0.5)
    assert started.losses.cause_of_shared({FIRST_PART}) is not None
    news = started.take_pending(4.0)
    assert news is not None
    other.receive(news, 4.0)
    contradiction = other.take_pending(4.1)
    assert contradiction is not None and len(contradiction.known_traits) == 1
    started.receive(contradiction, 4.2)
    started.update(4.2)
    assert started.losses.cause_of_shared({FIRST_PART}) is None
    other.receive(news, 4.3)
    assert other.take_pending(4.4) is None, "others are told once in a while"


def test_a_bar_that_is_older_than_the_retention_of_losses_reaches_other_entries() -> None:
    entry, other = entry_with_losses(PART), SharedLosses()
    now = 2 * LOSS_RETENTION_SECONDS
    entry.losses.note_refused([PART], LOSS_RETENTION_SECONDS)
    entry.losses.note_refused([PART], now)
    entry.update(now)
    news = entry.all_news(now)
    assert news is not None
    other.receive(news, now)
    other.update(now)
    assert other.losses.cause_of_shared({PART}) is not None


@pytest.mark.parametrize("data", [b"", b"p", b"x" + bytes(8), b"p" + bytes(9)])
def test_implausible_traits_are_rejected(data: bytes) -> None:
    shared = SharedLosses()
    lost = LostReplica("i-1", None, 1.0, 1, [], [data, PART.to_bytes()], "lm")
    ages = [TraitAge(data, 1.0), TraitAge(PART.to_bytes(), -1.0)]
    news = LossNews([lost], answered_traits=ages, known_traits=ages, refused_traits=ages)
    shared.receive(news, 100.0)
    assert shared.rejected == 7
    assert [loss.shared_traits for loss in shared.losses.losses().values()] == [{PART}]


def test_a_part_is_barred_once_losses_that_delayed_news_dated_alike_are_told_in_order() -> None:
    entry, paused = SharedLosses(), SharedLosses()
    delayed: list[LossNews] = []
    for number in range(3):
        at = number + 1.0
        entry.blame(loss_key(number), [request(number)], at, Evidence.BROKEN, [PART], "lm")
        news = entry.take_pending(at)
        assert news is not None
        delayed.append(news)
    for news in delayed:
        paused.receive(news, 6.0)
    assert paused.losses.cause_of_shared({PART}) is None
    news_in_order = entry.all_news(6.0)
    assert news_in_order is not None
    paused.receive(news_in_order, 6.0)
    assert paused.losses.cause_of_shared({PART}) is not None
