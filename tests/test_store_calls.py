"""Tests that the number of calls to the store stays bounded, whatever the store answers."""

from collections.abc import Callable

import msgspec
import pytest
import trio
import trio.testing
from headcross_base.addresses import Address
from headcross_base.clocks import PauseWatch
from headcross_base.errorcodes import SOURCE_FAILED
from headcross_base.errors import Failure, Ok
from headcross_facts.bounds import FactBounds
from headcross_facts.facts import Facts
from headcross_facts.following import Follower
from headcross_facts.polling import PollingSettings, daemon_polling, entry_polling
from headcross_platform import names, store
from headcross_platform.store import MetadataStore
from headcross_ports.published import UNKNOWN_EPOCH, Changes, HistoryLost, Item, Listing, Topic
from headcross_wire.httpcodec import Headers, WholeAnswer
from hypothesis import given
from hypothesis import strategies as st

from tests.test_machine_facts import CountingStore

OBSERVED_SECONDS = 60.0
# Pages of about 500 items that one listing may have.
MAX_PAGE_CALLS = 1000
# Calls of one process that follows two topics.
MAX_CALLS = 20.0 * OBSERVED_SECONDS

ListingAnswer = Callable[[int], Ok[Listing] | Failure]
WatchAnswer = Callable[[int, int], Ok[Changes] | HistoryLost | Failure]

LISTINGS: dict[str, ListingAnswer] = {
    "always the same": lambda call: Ok(Listing((), 5, 3)),
    "without an epoch": lambda call: Ok(Listing((), 5)),
    "older each time": lambda call: Ok(Listing((), 10**6 - call, 3)),
    "newer each time": lambda call: Ok(Listing((Item(f"k{call}", call, b""),), call, 3)),
    "an epoch later each time": lambda call: Ok(Listing((), 5, call)),
    "an epoch earlier each time": lambda call: Ok(Listing((), 5, max(0, 10**6 - call))),
    "epochs in turn": lambda call: Ok(Listing((), 5, call % 2)),
    "failing": lambda call: Failure(SOURCE_FAILED, "no answer"),
}
WATCHES: dict[str, WatchAnswer] = {
    "no history": lambda call, after: HistoryLost(3),
    "no history, without an epoch": lambda call, after: HistoryLost(),
    "no changes, at once": lambda call, after: Ok(Changes((), after, 3)),
    "no changes, an epoch later each time": lambda call, after: Ok(Changes((), after, call)),
    "the same change again": lambda call, after: Ok(Changes((Item("k", 1, b""),), 1, 3)),
    "a change each time": lambda call, after: Ok(
        Changes((Item("k", after + 1, b""),), after + 1, 3)
    ),
    "without an epoch": lambda call, after: Ok(Changes((), after)),
    "failing": lambda call, after: Failure(SOURCE_FAILED, "no answer"),
}


class ScriptedStore(CountingStore):
    """A store that answers each call at once, and counts the calls."""

    def __init__(self, listing: ListingAnswer, watch: WatchAnswer) -> None:
        super().__init__()
        self.calls = 0
        self._listing = listing
        self._watch = watch

    async def read(self, topic: Topic) -> Ok[Listing] | Failure:
        """Return the next listing."""
        await trio.lowlevel.checkpoint()
        self._count_call()
        return self._listing(self.calls)

    async def watch(
        self, topic: Topic, after: int, wait_seconds: float, answer_seconds: float
    ) -> Ok[Changes] | HistoryLost | Failure:
        """Return the next answer."""
        await trio.lowlevel.checkpoint()
        self._count_call()
        return self._watch(self.calls, after)

    def _count_call(self) -> None:
        self.calls += 1
        assert self.calls <= MAX_CALLS, f"{self.calls} calls until {trio.current_time():.2f} s"


@pytest.mark.parametrize("polling", [entry_polling, daemon_polling], ids=["entry", "daemon"])
@pytest.mark.parametrize("watch", WATCHES.values(), ids=WATCHES.keys())
@pytest.mark.parametrize("listing", LISTINGS.values(), ids=LISTINGS.keys())
async def test_calls_stay_few_whatever_the_store_answers(
    mock_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    listing: ListingAnswer,
    watch: WatchAnswer,
    polling: Callable[[FactBounds], PollingSettings],
) -> None:
    mock_clock.autojump_threshold = 0
    monkeypatch.setattr("headcross_facts.following.monotonic", trio.current_time)
    scripted = ScriptedStore(listing, watch)
    pauses = PauseWatch(limit_seconds=1e9)
    follower = Follower(scripted, Facts(scripted), pauses, polling(FactBounds()))
    with trio.move_on_after(OBSERVED_SECONDS):
        await follower.run()
    assert scripted.calls > 0


class PagedStore:
    """Answers range reads with pages that a function makes from the call's number."""

    def __init__(self, page: Callable[[int], tuple[list[str], int, Headers]]) -> None:
        self.calls = 0
        self._page = page

    async def call(self, *_: object, **__: object) -> Ok[WholeAnswer] | Failure:
        """Return the next page, which is never the last one."""
        self.calls += 1
        assert self.calls <= MAX_PAGE_CALLS
        keys, at, headers = self._page(self.calls)
        items = [{"key": key, "revision": 1, "value": ""} for key in keys]
        body = msgspec.json.encode({"items": items, "at": at, "more": True})
        return Ok(WholeAnswer(200, headers, body))

    call_idempotent = call_once = call


def era(number: object) -> Headers:
    """Return the header that states an era."""
    return [(names.STORE_ERA, str(number))]


PAGES: dict[str, Callable[[int], tuple[list[str], int, Headers]]] = {
    "the same page again": lambda call: (["a"], 5, era(3)),
    "pages that go back": lambda call: (["b" if call % 2 else "a"], 5, era(3)),
    "pages without end": lambda call: ([f"k{call:09}"], 5, era(3)),
    "another epoch": lambda call: ([f"k{call:09}"], 5, era(3 if call == 1 else 4)),
    "an epoch on the first page only": lambda call: (
        [f"k{call:09}"],
        5,
        era(3) if call == 1 else [],
    ),
    "a lower revision": lambda call: ([f"k{call:09}"], 10 - call, era(3)),
}


@pytest.mark.parametrize("page", PAGES.values(), ids=PAGES.keys())
async def test_a_listing_of_inconsistent_or_endless_pages_fails(
    page: Callable[[int], tuple[list[str], int, Headers]],
) -> None:
    paged = PagedStore(page)
    outcome = await MetadataStore(Address("127.0.0.1", 1), paged).read(Topic.CONTROL)
    assert isinstance(outcome, Failure)
    assert paged.calls <= (MAX_PAGE_CALLS if page is PAGES["pages without end"] else 3)


@given(st.text() | st.integers().map(str) | st.floats().map(str))
def test_any_epoch_that_is_stated_is_a_small_number_or_unknown(text: str) -> None:
    epoch = store._epoch_of(WholeAnswer(200, [(names.STORE_ERA, text)], b""))
    assert epoch == UNKNOWN_EPOCH or (0 <= epoch < 10**18 and text == text.strip())


def test_an_epoch_stated_twice_is_unknown() -> None:
    assert store._epoch_of(WholeAnswer(200, [*era(3), *era(3)], b"")) == UNKNOWN_EPOCH
    assert store._epoch_of(WholeAnswer(200, era(3), b"")) == 3
