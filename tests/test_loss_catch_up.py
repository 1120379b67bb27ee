"""Tests of entries that ask others for losses before they run requests."""

import pytest
import trio
from headcross_base import clocks
from headcross_base.clocks import PauseWatch
from headcross_gateway.losscatchup import MAX_DELAY_SECONDS, LossCatchUp


class Entry:
    """An entry that is catching up, with a clock for pauses that tests advance."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *, others: bool = True) -> None:
        self.now = 100.0
        monkeypatch.setattr(clocks, "monotonic", lambda: self.now)
        self.questions: list[int] = []
        self._others = others
        self.catch_up = LossCatchUp(PauseWatch(0.8), self._ask)

    def _ask(self, question: int) -> bool:
        self.questions.append(question)
        return self._others


async def test_an_entry_is_behind_from_its_start_until_another_has_answered(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock
) -> None:
    entry = Entry(monkeypatch)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(entry.catch_up.run)
        await trio.sleep(0.05)
        assert entry.catch_up.is_behind()
        entry.catch_up.note_answer(entry.questions[-1])
        assert not entry.catch_up.is_behind()
        nursery.cancel_scope.cancel()


async def test_an_answer_from_before_a_pause_does_not_end_the_wait(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock
) -> None:
    entry = Entry(monkeypatch)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(entry.catch_up.run)
        await trio.sleep(0.05)
        before = entry.questions[-1]
        entry.catch_up.note_answer(before)
        entry.now += 2.0
        assert entry.catch_up.is_behind()
        entry.catch_up.note_answer(before)
        assert entry.catch_up.is_behind()
        await trio.sleep(0.05)
        entry.catch_up.note_answer(entry.questions[-1])
        assert not entry.catch_up.is_behind()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(("others", "seconds"), [(True, MAX_DELAY_SECONDS), (False, 0.0)])
async def test_requests_wait_for_a_limited_time_and_not_without_other_entries(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    others: bool,
    seconds: float,
) -> None:
    entry = Entry(monkeypatch, others=others)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(entry.catch_up.run)
        began_at = trio.current_time()
        await entry.catch_up.wait()
        assert trio.current_time() - began_at == pytest.approx(seconds)
        nursery.cancel_scope.cancel()
