"""Tests of the attribution of lost replicas to parts of prompts and to callers."""

import random
from collections.abc import Iterable

import pytest
from headcross_gateway.answerhistory import ANSWERS_TO_SHOW_SERVICE
from headcross_gateway.answersketch import AnswerSketch
from headcross_gateway.attribution import MAX_PAUSE_SECONDS, STRONG_LOSSES, Cause
from headcross_gateway.losses import LOSS_RETENTION_SECONDS, Evidence, LossKey
from headcross_gateway.replicalosses import (
    MAX_LOSSES,
    MAX_SHARED,
    MAX_SHARED_PER_LOSS,
    ReplicaLosses,
)
from headcross_gateway.requestidentity import RequestIdentity
from headcross_gateway.sharedtraits import MAX_PARTS, SharedTrait, TraitKind, part_traits
from hypothesis import given
from hypothesis import strategies as st

SERVICE = "lm"


def part(number: int) -> SharedTrait:
    """Return the trait of the part with this number."""
    return SharedTrait(TraitKind.PART, number.to_bytes(8, "big"))


def caller(number: int) -> SharedTrait:
    """Return the trait of the caller with this number."""
    return SharedTrait(TraitKind.CALLER, number.to_bytes(8, "big"))


def request(number: int) -> RequestIdentity:
    """Return the identity of the request with this number."""
    return RequestIdentity(bytes(8), bytes(8), number.to_bytes(8, "big"))


class History:
    """The losses and answers of one entry, at times that tests advance."""

    def __init__(self) -> None:
        self.known = ReplicaLosses()
        self.now = 1000.0
        self.lost = 0

    def lose(self, *shared: SharedTrait, requests: Iterable[RequestIdentity] = ()) -> None:
        """Lose a replica on which requests with these traits ran, 0.2 s after the last event."""
        self.now += 0.2
        self.lose_now(*shared, requests=requests)

    def lose_now(self, *shared: SharedTrait, requests: Iterable[RequestIdentity] = ()) -> None:
        """Lose a replica at the same moment as the last event."""
        self.lost += 1
        key = LossKey(f"i-{self.lost}", None)
        self.known.blame(key, list(requests), self.now, Evidence.ENDED, list(shared), SERVICE)

    def answer(self, *shared: SharedTrait) -> None:
        """Answer a request with these traits 0.01 s after the last event."""
        self.now += 0.01
        self.known.note_shared_answer(SERVICE, list(shared), self.now)

    def cause(self, *shared: SharedTrait) -> Cause | None:
        """Return why a request with these traits is restricted."""
        self.known.expire(self.now)
        return self.known.cause_of_shared(frozenset(shared))


CRASHING, FIRST, OTHER = part(1), part(2), part(3)


def test_a_part_of_different_requests_is_barred_after_three_losses_and_other_parts_are_not() -> (
    None
):
    history = History()
    history.lose(CRASHING, FIRST)
    history.lose(CRASHING, OTHER)
    assert history.cause(CRASHING) is None
    history.lose(CRASHING, FIRST, OTHER)
    cause = history.cause(CRASHING, FIRST)
    assert cause is not None and cause.shared_traits == {CRASHING}
    assert history.cause(FIRST) is history.cause(OTHER) is history.cause(FIRST, OTHER) is None


def test_parts_that_cannot_be_told_apart_restrict_only_requests_with_all_of_them() -> None:
    history = History()
    for _ in range(3):
        history.lose(CRASHING, FIRST)
    assert history.cause(CRASHING, FIRST) is not None
    assert history.cause(CRASHING) is history.cause(FIRST) is None
    history.answer(FIRST)
    assert history.cause(CRASHING) is not None
    assert history.cause(FIRST) is None


def test_one_more_loss_tells_parts_apart_without_any_answer() -> None:
    history = History()
    for _ in range(3):
        history.lose(CRASHING, FIRST)
    history.lose(CRASHING)
    assert history.cause(CRASHING) is not None
    assert history.cause(FIRST) is None


def test_requests_that_stood_beside_a_crashing_part_each_time_are_not_refused() -> None:
    history = History()
    for _ in range(3):
        history.lose(CRASHING, OTHER)  # of two different requests
    assert history.cause(OTHER) is None
    history.lose(CRASHING, OTHER)
    history.answer(OTHER)
    assert history.cause(CRASHING) is not None and history.cause(OTHER) is None


def test_two_crashing_parts_at_once_are_both_barred() -> None:
    history = History()
    for number in range(8):
        history.lose(part(10 + number % 2), FIRST, OTHER)
    history.answer(FIRST, OTHER)
    assert history.cause(part(10)) is not None and history.cause(part(11)) is not None
    assert history.cause(FIRST, OTHER) is None


def test_a_part_whose_requests_are_answered_is_not_barred_while_replicas_end() -> None:
    history = History()
    for _ in range(50):
        history.lose(FIRST)
        assert history.cause(FIRST) is None
        history.answer(FIRST)


def test_a_power_loss_of_many_replicas_bars_no_part_even_if_none_was_answered_before() -> None:
    history = History()
    for _ in range(10):
        history.lose_now(FIRST)
    assert history.cause(FIRST) is None
    history.now += 5.0
    for _ in range(10):
        history.lose_now(FIRST)
    assert history.cause(FIRST) is None


def test_a_part_of_all_requests_is_not_barred_while_no_request_at_all_is_answered() -> None:
    history = History()
    history.answer(FIRST)
    for _ in range(30):
        history.lose(FIRST)
        assert history.cause(FIRST) is None


def test_a_part_that_was_answered_until_weights_changed_is_found_while_others_are_answered() -> (
    None
):
    history = History()
    history.answer(FIRST)
    history.answer(OTHER)
    while history.cause(FIRST) is None:
        assert history.lost < 2 * STRONG_LOSSES
        history.lose(FIRST)
        history.answer(OTHER)
        history.answer(OTHER)
    assert history.lost >= STRONG_LOSSES
    assert history.cause(OTHER) is None


def test_a_request_that_crashes_replicas_bars_no_part_of_its_prompt() -> None:
    history = History()
    for _ in range(3):
        history.lose(FIRST, OTHER, requests=[request(1)])
    cause = history.known.cause_of_request(request(1))
    assert cause is not None and cause.barred_until() > history.now
    assert history.cause(FIRST, OTHER) is None


def lose_caller(history: History, count: int) -> None:
    """Lose replicas to different requests of a caller while those of another are answered."""
    for _ in range(count):
        history.now += 0.1
        history.lose(caller(1))
        for _ in range(ANSWERS_TO_SHOW_SERVICE):
            history.answer(caller(2))


@pytest.mark.parametrize(
    ("count", "pause"),
    [
        (STRONG_LOSSES - 1, None),
        (STRONG_LOSSES, 2.0),
        (STRONG_LOSSES + 1, 4.0),
        (STRONG_LOSSES + 2, 8.0),
        (STRONG_LOSSES + 3, 16.0),
        (STRONG_LOSSES + 20, MAX_PAUSE_SECONDS),
    ],
)
def test_the_pause_of_a_caller_doubles_with_each_loss_up_to_a_maximum(
    count: int, pause: float | None
) -> None:
    history = History()
    lose_caller(history, count)
    cause = history.cause(caller(1))
    paused_for = cause.barred_until() - cause.last_at if cause is not None else None
    assert paused_for == pytest.approx(pause) if pause is not None else cause is None
    assert history.cause(caller(2)) is None


def test_a_caller_with_an_answer_among_many_losses_is_not_restricted() -> None:
    history = History()
    for _ in range(20):
        lose_caller(history, STRONG_LOSSES - 1)
        assert history.cause(caller(1)) is None
        history.answer(caller(1))
    lose_caller(history, 2 * STRONG_LOSSES)
    assert history.cause(caller(1)) is not None
    history.answer(caller(1))
    assert history.cause(caller(1)) is None


def test_an_answer_to_a_caller_at_another_entry_ends_its_restriction() -> None:
    history = History()
    lose_caller(history, 2 * STRONG_LOSSES)
    assert history.cause(caller(1)) is not None
    history.known.note_answered_trait(caller(1), history.now)
    assert history.cause(caller(1)) is None


def test_what_is_kept_does_not_grow_with_time_or_callers() -> None:
    history = History()
    for number in range(20 * MAX_LOSSES):
        history.lose(caller(number))
        history.answer(caller(number + 1))
    recorded = history.known.losses()
    assert len(recorded) <= MAX_LOSSES
    assert sum(len(loss.shared_traits) for loss in recorded.values()) <= MAX_LOSSES


def test_no_caller_is_restricted_for_losses_that_a_part_explains() -> None:
    history = History()
    for _ in range(20):
        history.lose(caller(1), CRASHING)
        history.answer(caller(2))
    assert history.cause(caller(1)) is None
    cause = history.cause(caller(1), CRASHING)
    assert cause is not None and not cause.is_caller


@given(st.integers(0, 1 << 30))
def test_the_crashing_part_is_found_within_five_losses_and_no_sound_one_is_barred(
    seed: int,
) -> None:
    """Requests of three first and three second parts, of which half are lost with a replica."""
    generator = random.Random(seed)
    history = History()
    sound = [part(number) for number in range(20, 26)]
    for trait in sound:
        history.answer(trait)
    for _ in range(5):
        beside = generator.sample(sound, generator.randint(0, 6))
        history.lose(CRASHING, generator.choice(sound), *beside)
        for trait in sound:
            if generator.random() < 0.5:
                history.answer(trait)
        assert all(history.cause(trait) is None for trait in sound)
        assert history.cause(*sound) is None
    assert history.cause(CRASHING) is not None


def test_the_bar_of_a_part_is_kept_while_requests_with_it_come_and_ends_an_hour_later() -> None:
    history = History()
    for _ in range(3):
        history.lose(CRASHING)
    for _ in range(10):
        history.now += LOSS_RETENTION_SECONDS / 2
        assert history.cause(CRASHING) is not None
        history.known.note_refused([CRASHING], history.now)
    history.now += LOSS_RETENTION_SECONDS
    assert history.cause(CRASHING) is None


def test_parts_that_a_caller_invents_evict_neither_a_bar_nor_evidence() -> None:
    history = History()
    for _ in range(3):
        history.lose(CRASHING)
    assert history.cause(CRASHING) is not None
    numbers = iter(range(1000, 1 << 30))
    for number in range(2 * MAX_LOSSES):
        invented = [part(next(numbers)) for _ in range(2 * MAX_PARTS)]
        history.lose(OTHER, *invented)
        recorded = history.known.losses().values()
        assert sum(len(loss.shared_traits) for loss in recorded) <= MAX_SHARED
        assert max(len(loss.shared_traits) for loss in recorded) <= MAX_SHARED_PER_LOSS
        assert len(recorded) <= MAX_LOSSES
        if number == 2:
            assert history.cause(OTHER) is not None
    assert history.cause(CRASHING) is not None and history.cause(OTHER) is not None


def test_answers_to_invented_parts_push_out_no_answer_to_another_part() -> None:
    sketch = AnswerSketch()
    sketch.note(FIRST, 1.0)
    generator = random.Random(1)
    for _ in range(20_000):
        sketch.note(SharedTrait(TraitKind.PART, generator.randbytes(8)), 2.0)
    assert sketch.answered_at(FIRST) >= 1.0
    never_answered = (SharedTrait(TraitKind.PART, generator.randbytes(8)) for _ in range(1000))
    assert sum(sketch.answered_at(trait) == 2.0 for trait in never_answered) <= 20


def test_the_last_part_never_counts_and_services_are_judged_apart() -> None:
    assert list(part_traits("lm", ("5c", "91")).values()) == ["5c"]
    assert not part_traits("lm", ("5c",))
    assert part_traits("lm", ("5c", "91")).keys().isdisjoint(part_traits("other", ("5c", "91")))
