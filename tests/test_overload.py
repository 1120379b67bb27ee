"""Tests of the treatment of callers when a service gets more requests than it can serve.

A model of a replica pool simulates the load in virtual time. The list of replicas, the choice of a
replica, the queue and the overload decisions are the product's own code.
"""

from pathlib import Path

import pytest
import trio
import trio.testing
from headcross_base.addresses import Address
from headcross_gateway.admission import Admission, QueueOrder
from headcross_gateway.directory import Directory
from headcross_gateway.overload import Overload, OverloadSettings
from headcross_gateway.picking import Picker, Requirements
from headcross_gateway.refusedrequests import (
    MAX_FINGERPRINTS,
    REFUSAL_RETENTION_SECONDS,
    RefusedRequests,
)
from headcross_gateway.weightsrules import WeightsRules
from headcross_platform import names
from headcross_platform.dialect import PlatformDialect
from headcross_ports.configuration import CallerLimits, Configuration, Service
from headcross_ports.published import Replica
from headcross_ports.requests import RequestFacts

from bench.pool.model import Tally, simulate
from bench.pool.specs import ExperimentSpec, FleetSpec, KindSpec, SpecError, read_experiment
from tests.test_gateway_rules import rules

EXPERIMENT = Path(__file__).parent.parent / "bench" / "experiments" / "overload.toml"
# Orders waiting requests by deadline alone, without priority for first tries.
BY_DEADLINE = OverloadSettings(
    fresh_first=False,
    full_reservation_share=float("inf"),
    wait_part=0.22,
    returning_wait_seconds=0.0,
    least_reserved_share=0.0,
)


REQUIREMENTS = Requirements("api", None, None, (), True)
CONFIGURATION = Configuration(1, (), {"api": Service("api", 1)}, (), CallerLimits(1, 1, 1.0, 1.0))


def picker_of_two_slots() -> Picker:
    """Return a picker with one replica of a plain service, which has two slots."""
    facts = rules([]).facts
    facts.replicas["r"] = Replica("r", "api", Address("127.0.0.1", 1), "z", 2, False)
    directory = Directory(facts)
    directory.update()
    return Picker("z", directory, WeightsRules(facts, 8.0))


def small_overload() -> ExperimentSpec:
    """Return the overload experiment with a quarter of its fleet and load, and shorter."""
    full = read_experiment(EXPERIMENT)
    fleet = FleetSpec(zones=2, entries=4, replicas=6)
    kinds = tuple(
        KindSpec(
            kind.name,
            kind.per_second / 4,
            kind.prompt_tokens,
            kind.events,
            kind.worth,
            kind.late_worth,
        )
        for kind in full.kinds
    )
    return ExperimentSpec(
        kinds,
        full.variants,
        seconds=14.0,
        warm_up_seconds=5.0,
        cool_down_seconds=3.0,
        fleet=fleet,
        engine=full.engine,
    )


def shares(tally: Tally) -> tuple[float, float]:
    """Return the share of callers answered within their target time, and of the value earned."""
    return tally.in_aim / tally.callers, tally.worth / tally.owed


@pytest.mark.parametrize("seed", [11, 12])
def test_under_overload_first_tries_are_answered_within_their_target_time(seed: int) -> None:
    """Guards against retries that take first tries' slots, so that nearly all answers are late."""
    spec = small_overload()
    before, worth_before = shares(simulate(spec, BY_DEADLINE, 1.2, seed))
    after, worth_after = shares(simulate(spec, OverloadSettings(), 1.2, seed))
    print(f"in the aim {before:.3f} -> {after:.3f}, worth {worth_before:.3f} -> {worth_after:.3f}")
    assert after > before + 0.1
    assert worth_after > worth_before + 0.05


def test_without_overload_no_request_is_refused_and_answers_are_in_time() -> None:
    tally = simulate(small_overload(), OverloadSettings(), 0.5, 11)
    assert not tally.refused and not tally.gone
    assert shares(tally)[0] > 0.98


def test_a_caller_that_retries_at_another_entry_is_recognized_for_a_while() -> None:
    first_entry, second_entry = RefusedRequests(), RefusedRequests()
    first_entry.note(7, 10.0)
    assert first_entry.was_refused(7, 10.5) and not first_entry.was_refused(8, 10.5)
    second_entry.receive(first_entry.take_pending(), 10.2)
    assert second_entry.was_refused(7, 10.5) and not first_entry.take_pending()
    assert not second_entry.was_refused(7, 10.3 + REFUSAL_RETENTION_SECONDS)
    for fingerprint in range(100, 101 + MAX_FINGERPRINTS):
        second_entry.receive([fingerprint], 10.4)
    assert not second_entry.was_refused(7, 10.5) and second_entry.was_refused(101, 10.5)


def test_slots_are_reserved_for_first_tries_as_long_as_some_of_them_are_refused() -> None:
    now = 0.0
    overload = Overload()
    overload.measure(now)
    reserved = []
    # One second each: no refusal, a few, most; then only caller retries are refused.
    for refused_fresh, refused_returning in ((0, 0), (2, 0), (60, 0), (0, 20), (0, 20), (0, 20)):
        for number in range(100):
            overload.note_request("lm", is_caller_retry=False)
            if number < refused_fresh:
                overload.note_refused("lm", is_caller_retry=False)
        for _ in range(refused_returning):
            overload.note_request("lm", is_caller_retry=True)
            overload.note_refused("lm", is_caller_retry=True)
        now += 1.0
        overload.measure(now)
        reserved.append(overload.reserved_share("lm"))
    least = overload.settings.least_reserved_share
    assert reserved[:2] == [least, least] and least < reserved[2] < 1
    # Once first tries find slots, caller retries do so too within some seconds.
    assert least <= reserved[-1] <= reserved[-2] < reserved[2]


@pytest.mark.parametrize(
    ("refused", "seconds_left", "waited"),
    [
        (0, 5.0, 1.0),
        (40, 5.0, 1.0),
        # Most retries are refused: a wait would be in vain.
        (60, 5.0, 0.04),
        (100, 5.0, 0.04),
        # The answer takes 1.2 s on average and must be able to end before the deadline.
        (0, 4.0, 0.4),
        (0, 3.0, 0.04),
    ],
)
def test_a_caller_retry_waits_only_if_it_is_likely_to_be_served(
    refused: int, seconds_left: float, waited: float
) -> None:
    """Guards against waits in vain of retries under lasting overload.

    Two in three retries waited for a second and were then refused. Others began streams that broke
    off at the callers' deadlines, 6 s after the first try.
    """
    overload = Overload()
    overload.measure(0.0)
    overload.note_answer("lm", 1.2)
    for number in range(100):
        overload.note_request("lm", is_caller_retry=True)
        if number < refused:
            overload.note_refused("lm", is_caller_retry=True)
    overload.measure(100.0)
    assert overload.wait_seconds(0.4, has_serving_replica=True) == pytest.approx(0.04)
    wait = overload.caller_retry_wait_seconds("lm", 0.4, seconds_left, has_serving_replica=True)
    assert wait == pytest.approx(waited)


def test_a_request_waits_while_all_replicas_load_for_a_moment() -> None:
    """Guards against a refusal just before a replica finishes its load and serves.

    A stream with a target time of 0.5 s was refused after 0.056 s; a replica served at 0.094 s.
    """
    overload = Overload()
    assert overload.wait_seconds(0.5, has_serving_replica=False) > 0.1
    assert overload.wait_seconds(0.5, has_serving_replica=True) < 0.06


def test_under_lasting_overload_few_callers_wait_before_a_refusal() -> None:
    """Guards against long waits in vain: half of the refused retries had waited 0.98 s or more."""
    tally = simulate(small_overload(), OverloadSettings(), 1.5, 11)
    assert tally.refused_again > 50
    held = tally.held_in_vain_seconds / tally.refused_again
    print(f"held in vain {held:.3f} s in the mean, {tally.refused_again} callers")
    assert held < 0.25


async def test_caller_retries_get_the_slots_that_first_tries_leave(
    autojump_clock: trio.testing.MockClock,
) -> None:
    admission = Admission(picker_of_two_slots(), lambda service: 1.0)
    order: list[str] = []

    async def wait(name: str, priority: int, returning: bool, until: float) -> None:
        queue_order = QueueOrder(priority, returning, 9.0)
        place = await admission.acquire_slot(
            REQUIREMENTS, CONFIGURATION, queue_order, until, is_caller_retry=returning
        )
        order.append(name if place is not None else f"{name} refused")
        if place is not None:
            await trio.sleep(0.1)
            admission.release_slot(place)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait, "first", 1, False, 5.0)
        await trio.testing.wait_all_tasks_blocked()
        # One of two slots is free, but reserved: the retry does not get it although it came first.
        nursery.start_soon(wait, "urgent returning", 0, True, 5.0)
        nursery.start_soon(wait, "impatient returning", 1, True, 0.05)
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(wait, "less urgent fresh", 2, False, 5.0)
    assert order == [
        "first",
        "less urgent fresh",
        "impatient returning refused",
        "urgent returning",
    ]
    assert admission.waiting("api") == 0


async def test_a_long_queue_of_caller_retries_causes_one_search_for_a_slot_per_notification(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A search by each waiting retry at each of 160 load reports per second overloads a core."""
    picker = picker_of_two_slots()
    admission = Admission(picker, lambda service: 1.0)
    searches = 0
    pick = picker.pick

    def count(
        requirements: Requirements, configuration: Configuration, reserved: float = 0.0
    ) -> object:
        nonlocal searches
        searches += 1
        return pick(requirements, configuration, reserved)

    monkeypatch.setattr(picker, "pick", count)
    first = await admission.acquire_slot(
        REQUIREMENTS, CONFIGURATION, QueueOrder(1, False, 9.0), 1.0
    )
    assert first is not None

    async def wait() -> None:
        order = QueueOrder(1, True, 9.0)
        await admission.acquire_slot(REQUIREMENTS, CONFIGURATION, order, 5.0, is_caller_retry=True)

    async with trio.open_nursery() as nursery:
        for _ in range(100):
            nursery.start_soon(wait)
        await trio.testing.wait_all_tasks_blocked()
        searches = 0
        for _ in range(10):
            admission.notify("api")
        assert searches == 10 and admission.waiting("api") == 100
        # A first try does not wait behind them.
        fresh = await admission.acquire_slot(
            REQUIREMENTS, CONFIGURATION, QueueOrder(2, False, 9.0), 1.0
        )
        assert fresh is not None
        nursery.cancel_scope.cancel()


def test_tries_of_one_caller_have_the_same_prompt_and_others_have_none() -> None:
    def prompt_of(**headers: str) -> str | None:
        known = {"count": names.TOKEN_COUNT, "parts": names.PROMPT_PARTS}
        lines = [(known[name], value) for name, value in headers.items()]
        facts = PlatformDialect().read_request([(names.REQUEST_ID, "r"), *lines])
        assert isinstance(facts, RequestFacts)
        return facts.prompt

    first = prompt_of(count="1460,80", parts="5c:800,91:410")
    assert first is not None and first == prompt_of(parts="5c:800,91:410", count="1460,80")
    assert first != prompt_of(count="1460,90", parts="5c:800,91:410")
    assert first != prompt_of(count="1460,80", parts="5c:800,92:410")
    assert prompt_of(count="1460,80") is None


@pytest.mark.parametrize(
    ("change", "field"),
    [
        (("seconds = 24.0", "seconds = 2.0"), "seconds"),
        (("seconds = 24.0", 'seconds = "long"'), "$.seconds"),
        (("entries = 13", "entries = 2"), "fleet.entries"),
        (("replicas = 24", "replica = 24"), "replica"),
        (("per_second = 95.7", ""), "per_second"),
        (("offered = [", "offered = [0.0, "), "offered"),
        (("[[variants]]", "[[variants"), "line"),
    ],
)
def test_an_invalid_experiment_is_reported_with_file_and_field(
    change: tuple[str, str], field: str, tmp_path: Path
) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(EXPERIMENT.read_text().replace(*change, 1))
    with pytest.raises(SpecError) as raised:
        read_experiment(path)
    assert str(path) in str(raised.value) and field in str(raised.value)
    assert "\n" not in str(raised.value)
