"""Tests of the memory for bodies, without a network."""

import pytest
import trio
import trio.testing
from headcross_wire.bodymemory import (
    ROOM_SECONDS,
    SMALL_BODY_BYTES,
    AnswerMemory,
    HeldAnswer,
    RequestMemory,
)
from hypothesis import given
from hypothesis import strategies as st

LIMIT_BYTES = 1_000_000


async def test_a_large_body_waits_for_room_and_a_small_one_finds_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    memory = RequestMemory(LIMIT_BYTES)
    assert await memory.reserve(700_000)
    began = trio.current_time()
    assert not await memory.reserve(200_000)
    assert trio.current_time() - began == pytest.approx(ROOM_SECONDS)
    assert await memory.reserve(SMALL_BODY_BYTES)
    assert memory.refused == 1 and memory.held_bytes == 700_000 + SMALL_BODY_BYTES


async def test_a_waiting_body_finds_the_room_that_another_gives_back(
    autojump_clock: trio.testing.MockClock,
) -> None:
    memory = RequestMemory(LIMIT_BYTES)
    assert await memory.reserve(700_000)
    async with trio.open_nursery() as nursery:

        async def release_soon() -> None:
            await trio.sleep(ROOM_SECONDS / 2)
            memory.release(700_000)

        nursery.start_soon(release_soon)
        assert await memory.reserve(700_000)
    assert memory.refused == 0


async def test_one_body_alone_finds_room_however_large_it_is() -> None:
    memory = RequestMemory(LIMIT_BYTES)
    assert await memory.reserve(3 * LIMIT_BYTES)
    memory.release(3 * LIMIT_BYTES)
    assert memory.held_bytes == 0


def test_the_largest_answer_in_reception_gives_way_to_others() -> None:
    memory = AnswerMemory(LIMIT_BYTES)
    largest, other, complete = HeldAnswer(), HeldAnswer(), HeldAnswer()
    given_up: list[str] = []
    with memory.receiving(complete, lambda: given_up.append("complete")):
        memory.resize(complete, 500_000)
    with (
        memory.receiving(largest, lambda: given_up.append("largest")),
        memory.receiving(other, lambda: given_up.append("other")),
    ):
        memory.resize(largest, 400_000)
        memory.resize(other, 150_000)
        assert given_up == ["largest"] and largest.given_up and not other.given_up
        memory.resize(largest, 900_000)  # what still arrives of it is not counted
        assert memory.held_bytes == 650_000
    for held in (largest, other, complete):
        memory.release(held)
    assert memory.held_bytes == 0 and memory.given_up == 1


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 700_000)), max_size=40))
def test_answers_in_reception_never_exceed_the_memory(sizes: list[tuple[int, int]]) -> None:
    memory = AnswerMemory(LIMIT_BYTES)
    answers = [HeldAnswer() for _ in range(5)]
    contexts = [memory.receiving(answer, lambda: None) for answer in answers]
    for context in contexts:
        context.__enter__()
    for number, size in sizes:
        memory.resize(answers[number], size)
        assert memory.held_bytes == sum(answer.size for answer in answers) <= LIMIT_BYTES
    for context in contexts:
        context.__exit__(None, None, None)
    for answer in answers:
        memory.release(answer)
    assert memory.held_bytes == 0
