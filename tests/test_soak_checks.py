"""The soak's checkers find each broken promise, and nothing in the nearest innocent history."""

from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from bench.soak.check_answers import (
    check_at_most_once,
    check_complete_answers,
    check_one_version,
    check_refused_not_run,
)
from bench.soak.check_backpressure import check_announced_leaving, check_limits, check_rests
from bench.soak.check_propagation import check_configuration, check_leaving, check_old_weights
from bench.soak.check_service import check_planned_stop, check_recovery, check_retry_bound
from bench.soak.check_summary import Outcome, OutcomeCount, PromiseCount, outcome_of, summarize
from bench.soak.checks import CHECKS, Promise, Violation, check_all
from bench.soak.record import (
    Arrival,
    Bounds,
    CallerRequest,
    ConfigurationPublished,
    Disturbance,
    PlannedStop,
    Record,
    ReplicaDrains,
    ReplicaLeaves,
    ReplicaLimit,
    ReplicaRun,
    RequestKind,
    RouteProbe,
    VersionNamed,
)

REACHED = 2.0
BOUNDS = Bounds(
    weights=4.0,
    leaving=3.0,
    configuration=8.0,
    reached=REACHED,
    retry_ratio=0.25,
    retry_slack=2.0,
    retry_window=8.0,
    recovery=5.0,
    loss_slack=0.25,
)
# Less than any bound; moments are binary fractions, so sums of them are exact.
SHORTLY = 1 / 64
JUDGED_ONCE = [RequestKind.ONCE, RequestKind.STRICT_STREAM]
REPEATABLE = [RequestKind.REPEATABLE, RequestKind.STREAM]
STREAMS = [RequestKind.STREAM, RequestKind.STRICT_STREAM]


def served(
    kind: RequestKind = RequestKind.ONCE, request_id: str = "r", sent_at: float = 100.0
) -> CallerRequest:
    """Return a request that got the whole answer of a replica."""
    request = CallerRequest(
        request_id,
        kind,
        "entry",
        sent_at,
        written=True,
        ended_at=sent_at + 1.0,
        status=200,
        sealed=True,
        whole=True,
        own=True,
        deadline_seconds=4.0,
    )
    if kind in STREAMS:
        request.events = [0, 1, 2]
        request.event_count = 3
    return request


def refused(kind: RequestKind, status: int) -> CallerRequest:
    """Return a request that was told that it has not run."""
    return replace(served(kind), status=status, sealed=False, own=False)


def lost(sent_at: float = 100.0, ended_at: float = 101.0) -> CallerRequest:
    """Return a request whose connection ended without an answer."""
    return CallerRequest(
        "r",
        RequestKind.ONCE,
        "entry",
        sent_at,
        written=True,
        ended_at=ended_at,
        deadline_seconds=4.0,
    )


def record_of(*requests: CallerRequest) -> Record:
    """Return a record with requests and nothing else."""
    return Record(BOUNDS, began_at=0.0, requests={request.id: request for request in requests})


def run(version: int = 1, at: float = 100.0, replica: str = "i-1") -> ReplicaRun:
    """Return a run of the request that `served` returns."""
    return ReplicaRun("r", replica, "model", version, at)


def fault_on(*machines: str, began_at: float, ended_at: float) -> Disturbance:
    """Return a fault; without machines it is one of the platform."""
    return Disturbance("cut", frozenset(machines), began_at, ended_at)


# Whole and own answers.


@pytest.mark.parametrize("kind", RequestKind)
def test_a_whole_and_own_answer_is_innocent(kind: RequestKind) -> None:
    assert check_complete_answers(record_of(served(kind))) == []


@pytest.mark.parametrize("kind", RequestKind)
def test_a_whole_answer_of_another_request_is_found(kind: RequestKind) -> None:
    found = check_complete_answers(record_of(replace(served(kind), own=False)))
    assert [(v.promise, v.at, v.subject) for v in found] == [
        (Promise.COMPLETE_ANSWERS, 101.0, "r")
    ]


@pytest.mark.parametrize("status", [200, 299])
@pytest.mark.parametrize("whole", [True, False])
def test_a_success_without_a_seal_is_found(status: int, whole: bool) -> None:
    request = replace(served(), status=status, sealed=False, whole=whole)
    assert len(check_complete_answers(record_of(request))) == 1


@pytest.mark.parametrize("status", [0, 199, 300, 500, 503])
def test_what_is_no_success_needs_neither_seal_nor_content(status: int) -> None:
    request = replace(served(), status=status, sealed=False, own=False)
    assert check_complete_answers(record_of(request)) == []


def test_an_answer_that_was_cut_is_no_whole_one() -> None:
    assert check_complete_answers(record_of(replace(served(), whole=False, own=False))) == []


@pytest.mark.parametrize("kind", STREAMS)
@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("events", [[0, 2], [0, 1, 1, 2], [0, 2, 1], [1, 2], [0, 0]])
def test_events_out_of_step_are_found_in_whole_and_cut_streams(
    kind: RequestKind, whole: bool, events: list[int]
) -> None:
    request = replace(served(kind), events=events, event_count=None, whole=whole)
    assert len(check_complete_answers(record_of(request))) == 1


@pytest.mark.parametrize("events", [[], [0], [0, 1], [0, 1, 2]])
def test_the_beginning_of_a_stream_that_was_cut_is_innocent(events: list[int]) -> None:
    request = replace(served(RequestKind.STREAM), events=events, whole=False)
    assert check_complete_answers(record_of(request)) == []


@pytest.mark.parametrize("events", [[0, 1], [0, 1, 2, 3]])
def test_a_whole_stream_with_too_few_or_too_many_events_is_found(events: list[int]) -> None:
    request = replace(served(RequestKind.STREAM), events=events)
    assert len(check_complete_answers(record_of(request))) == 1


def test_a_whole_stream_without_events_is_found_though_nobody_knows_their_number() -> None:
    request = replace(served(RequestKind.STREAM), events=[], event_count=None)
    assert len(check_complete_answers(record_of(request))) == 1


# At most one run, and none after a refusal.


def record_with_runs(request: CallerRequest, *runs: ReplicaRun) -> Record:
    """Return a record with one request and its runs."""
    record = record_of(request)
    record.runs.extend(runs)
    return record


@pytest.mark.parametrize("kind", JUDGED_ONCE)
@pytest.mark.parametrize("replica", ["i-1", "i-2"])
def test_a_second_run_is_found_at_any_replica_and_however_late(
    kind: RequestKind, replica: str
) -> None:
    runs = [run(at=5000.0, replica=replica), run(at=100.0)]
    found = check_at_most_once(record_with_runs(served(kind), *runs))
    assert [(v.promise, v.at, v.subject) for v in found] == [(Promise.AT_MOST_ONCE, 5000.0, "r")]


@pytest.mark.parametrize("kind", JUDGED_ONCE)
def test_one_run_of_each_of_two_requests_is_innocent(kind: RequestKind) -> None:
    record = record_of(served(kind), served(kind, "s"))
    record.runs.extend([run(), ReplicaRun("s", "i-1", "model", 1, 100.0)])
    assert check_at_most_once(record) == []


@pytest.mark.parametrize("kind", REPEATABLE)
def test_what_may_be_repeated_may_run_twice(kind: RequestKind) -> None:
    assert check_at_most_once(record_with_runs(served(kind), run(), run(replica="i-2"))) == []


@pytest.mark.parametrize("kind", JUDGED_ONCE)
@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("at", [100.5, 5000.0])
def test_a_run_before_or_after_a_refusal_is_found(
    kind: RequestKind, status: int, at: float
) -> None:
    found = check_refused_not_run(record_with_runs(refused(kind, status), run(at=at)))
    assert [(v.promise, v.at, v.subject) for v in found] == [(Promise.REFUSED_NOT_RUN, at, "r")]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_without_a_run_is_innocent(status: int) -> None:
    record = record_of(refused(RequestKind.ONCE, status), served(request_id="s"))
    record.runs.append(ReplicaRun("s", "i-1", "model", 1, 100.0))
    assert check_refused_not_run(record) == []


@pytest.mark.parametrize("kind", REPEATABLE)
def test_a_run_of_what_may_be_repeated_is_innocent_beside_a_refusal(kind: RequestKind) -> None:
    assert check_refused_not_run(record_with_runs(refused(kind, 503), run())) == []


@pytest.mark.parametrize("status", [0, 200, 500, 502, 504])
def test_other_statuses_do_not_say_that_nothing_ran(status: int) -> None:
    assert check_refused_not_run(record_with_runs(refused(RequestKind.ONCE, status), run())) == []


def test_a_replica_may_answer_with_such_a_status_after_its_run() -> None:
    request = replace(refused(RequestKind.ONCE, 503), sealed=True)
    assert check_refused_not_run(record_with_runs(request, run())) == []


# One version in an answer.


@pytest.mark.parametrize("kind", STREAMS)
@pytest.mark.parametrize("versions", [[], [1, 1, 2]])
def test_a_whole_stream_of_two_versions_is_found(kind: RequestKind, versions: list[int]) -> None:
    request = replace(served(kind), event_versions=versions)
    found = check_one_version(record_with_runs(request, run(), run(2, 100.5, "i-2")))
    assert [(v.promise, v.subject) for v in found] == [(Promise.ONE_VERSION, "r")]


def test_a_stream_that_goes_on_elsewhere_on_the_same_version_is_innocent() -> None:
    request = served(RequestKind.STREAM)
    assert check_one_version(record_with_runs(request, run(), run(1, 100.5, "i-2"))) == []


def test_a_run_that_gave_the_caller_no_event_has_no_part_in_the_answer() -> None:
    request = replace(served(RequestKind.STREAM), event_versions=[2, 2, 2])
    assert check_one_version(record_with_runs(request, run(), run(2, 100.5, "i-2"))) == []


@pytest.mark.parametrize(
    "request_",
    [replace(served(RequestKind.STREAM), whole=False), served(RequestKind.REPEATABLE)],
    ids=["cut", "no stream"],
)
def test_only_whole_streams_are_held_to_one_version(request_: CallerRequest) -> None:
    assert check_one_version(record_with_runs(request_, run(), run(2, 100.5, "i-2"))) == []


# Late starts on old weights.


def record_of_naming(*runs: ReplicaRun) -> Record:
    """Return a record with runs around the naming of version 2 at 100."""
    record = record_with_runs(served(RequestKind.STREAM), *runs)
    record.versions.extend([VersionNamed(1, 0.0), VersionNamed(2, 100.0)])
    return record


def test_a_start_on_old_weights_is_found_just_after_the_bound_and_not_at_it() -> None:
    assert check_old_weights(record_of_naming(run(1, 104.0))) == []
    found = check_old_weights(record_of_naming(run(1, 104.0 + SHORTLY)))
    assert [(v.promise, v.at, v.subject) for v in found] == [
        (Promise.OLD_WEIGHTS, 104.0 + SHORTLY, "i-1")
    ]


@pytest.mark.parametrize("version", [0, 2, 3])
def test_a_late_start_on_named_or_newer_or_no_weights_is_innocent(version: int) -> None:
    assert check_old_weights(record_of_naming(run(version, 200.0))) == []


@pytest.mark.parametrize("machines", [[], ["entry"], ["i-1"], ["some host"]])
def test_any_fault_from_shortly_before_the_naming_on_excuses_old_weights(
    machines: list[str],
) -> None:
    record = record_of_naming(run(1, 110.0))
    record.disturbances = [fault_on(*machines, began_at=50.0, ended_at=100.0 - REACHED)]
    assert check_old_weights(record) == []
    record.disturbances = [fault_on(*machines, began_at=110.0, ended_at=120.0)]
    assert check_old_weights(record) == []


@pytest.mark.parametrize("machines", [[], ["entry"], ["i-1"], ["some host"]])
def test_faults_before_and_after_do_not_excuse_old_weights(machines: list[str]) -> None:
    record = record_of_naming(run(1, 110.0))
    record.disturbances = [
        fault_on(*machines, began_at=50.0, ended_at=100.0 - REACHED - SHORTLY),
        fault_on(*machines, began_at=110.0 + SHORTLY, ended_at=120.0),
    ]
    assert len(check_old_weights(record)) == 1


def test_each_newer_version_is_judged_on_its_own_naming() -> None:
    record = record_of_naming(run(1, 140.0))
    record.versions.append(VersionNamed(3, 130.0))
    record.disturbances = [fault_on("i-2", began_at=99.0, ended_at=101.0)]
    (found,) = check_old_weights(record)
    assert "version 3" in found.detail
    record.versions.pop()
    assert check_old_weights(record) == []


def test_a_planned_stop_excuses_old_weights_of_its_own_entry_only() -> None:
    record = record_of_naming(run(1, 110.0))
    record.stops = [PlannedStop("other entry", 101.0, 102.0)]
    assert len(check_old_weights(record)) == 1
    record.stops = [PlannedStop("entry", 101.0, 102.0)]
    assert check_old_weights(record) == []
    record.stops = [PlannedStop("entry", 110.0, 112.0)]
    assert check_old_weights(record) == []
    record.stops = [PlannedStop("entry", 110.0 + SHORTLY, 112.0)]
    assert len(check_old_weights(record)) == 1


# Late work for a leaving replica.


def record_of_leaving(arrival_at: float, replica: str = "i-1") -> Record:
    """Return a record with one arrival; replica i-1 is shown as leaving at 100."""
    record = record_of(served())
    record.draining.append(ReplicaDrains("i-1", 100.0))
    record.arrivals.append(Arrival("r", replica, arrival_at))
    return record


def test_an_arrival_is_found_just_after_the_bound_and_not_at_it() -> None:
    assert check_leaving(record_of_leaving(103.0)) == []
    found = check_leaving(record_of_leaving(103.0 + SHORTLY))
    assert [(v.promise, v.at, v.subject) for v in found] == [
        (Promise.LEAVING, 103.0 + SHORTLY, "i-1")
    ]


def test_a_late_arrival_at_a_replica_that_stays_is_innocent() -> None:
    assert check_leaving(record_of_leaving(200.0, "i-2")) == []


@pytest.mark.parametrize("machines", [[], ["entry"], ["i-1"]])
def test_a_fault_on_the_way_excuses_an_arrival(machines: list[str]) -> None:
    record = record_of_leaving(110.0)
    record.disturbances = [fault_on(*machines, began_at=50.0, ended_at=100.0 - REACHED)]
    assert check_leaving(record) == []
    record.disturbances = [fault_on(*machines, began_at=110.0, ended_at=120.0)]
    assert check_leaving(record) == []


@pytest.mark.parametrize(
    "fault",
    [
        fault_on("other entry", "i-2", began_at=0.0, ended_at=200.0),
        fault_on(began_at=50.0, ended_at=100.0 - REACHED - SHORTLY),
        fault_on("entry", began_at=110.0 + SHORTLY, ended_at=120.0),
    ],
    ids=["elsewhere", "before", "after"],
)
def test_faults_elsewhere_or_at_other_times_do_not_excuse_an_arrival(fault: Disturbance) -> None:
    record = record_of_leaving(110.0)
    record.disturbances = [fault]
    assert len(check_leaving(record)) == 1


def test_an_arrival_from_an_unknown_sender_is_excused_by_any_fault_and_by_nothing_else() -> None:
    record = record_of_leaving(110.0)
    record.requests.clear()
    assert len(check_leaving(record)) == 1
    record.disturbances = [fault_on("some host", began_at=101.0, ended_at=102.0)]
    assert check_leaving(record) == []


# What replicas ask in their answers.


def record_of_arrivals(*moments: float, entry: str = "entry") -> Record:
    """Return a record of requests that reached one replica right after they were sent."""
    record = Record(BOUNDS, 0.0)
    for number, at in enumerate(moments):
        request = served(request_id=f"r{number}", sent_at=at)
        request.entry, request.ended_at = entry, at + SHORTLY
        record.requests[request.id] = request
        record.arrivals.append(Arrival(request.id, "i-1", at))
    return record


def record_of_limit(count: int, *, ended_at: float = 200.0) -> Record:
    """Return a record of a limit of 1 a second, which allows 11 in a span, and of arrivals."""
    record = record_of_arrivals(100.0, *(104.0 + number / 4 for number in range(count)))
    record.limits.append(ReplicaLimit("i-1", 1.0, 100.0, ended_at))
    return record


def test_more_requests_than_a_limit_allows_are_found() -> None:
    assert check_limits(record_of_limit(11)) == []
    found = check_limits(record_of_limit(12))
    assert [(v.promise, v.at, v.subject) for v in found] == [(Promise.LIMIT, 104.0, "i-1")]


def test_requests_before_a_limit_counts_or_after_its_end_are_innocent() -> None:
    assert check_limits(record_of_limit(12, ended_at=104.0)) == []
    record = record_of_limit(12)
    record.limits[0].began_at = 104.0 - REACHED + 1.0
    assert check_limits(record) == []


def test_requests_of_an_entry_that_was_not_told_of_a_limit_are_innocent() -> None:
    record = record_of_limit(12)
    for request in record.requests.values():
        request.status = 0
    assert check_limits(record) == []


def record_of_rest(count: int, *, entry: str = "entry") -> Record:
    """Return a record of a rest of 3 s that an entry was asked for, and of arrivals in it."""
    record = record_of_arrivals(*(101.0 + number / 4 for number in range(count)), entry=entry)
    asked = served(request_id="asked", sent_at=100.0)
    record.requests[asked.id] = asked
    record.arrivals.append(Arrival("asked", "i-1", 100.0, rest_seconds=3.0))
    return record


def test_requests_within_a_rest_are_found() -> None:
    assert check_rests(record_of_rest(2)) == []
    found = check_rests(record_of_rest(3))
    assert [(v.promise, v.at, v.subject) for v in found] == [(Promise.REST, 100.0, "i-1")]


def test_requests_of_another_entry_within_a_rest_are_innocent() -> None:
    assert check_rests(record_of_rest(3, entry="other")) == []


def record_of_said_leaving(sent_at: float) -> Record:
    """Return a record of a replica that says that it leaves, and of a later request."""
    record = record_of_arrivals(100.0, sent_at)
    record.leaving.append(ReplicaLeaves("i-1", 100.0))
    return record


def test_a_request_sent_late_to_a_replica_that_says_that_it_leaves_is_found() -> None:
    assert check_announced_leaving(record_of_said_leaving(103.0 + SHORTLY)) == []
    found = check_announced_leaving(record_of_said_leaving(103.0 + 2 * SHORTLY))
    assert [(v.promise, v.at, v.subject) for v in found] == [
        (Promise.ANNOUNCED_LEAVING, 103.0 + 2 * SHORTLY, "i-1")
    ]


@pytest.mark.parametrize(
    ("check", "record"),
    [
        (check_limits, record_of_limit(12)),
        (check_rests, record_of_rest(3)),
        (check_announced_leaving, record_of_said_leaving(110.0)),
    ],
)
@pytest.mark.parametrize("machine", ["entry", "i-1"])
def test_a_fault_excuses_what_a_replica_got_beyond_what_it_asked(
    check: Callable[[Record], list[Violation]], record: Record, machine: str
) -> None:
    record.disturbances = [fault_on(machine, began_at=100.5, ended_at=120.0)]
    assert check(record) == []


# Planned stops.


def record_of_stop(
    request: CallerRequest, *, at: float = 100.5, ended_at: float | None = 102.0
) -> Record:
    """Return a record with one request and a planned stop of its entry."""
    record = record_of(request)
    record.stops.append(PlannedStop("entry", at, ended_at))
    record.ended_at = 200.0
    return record


def test_a_request_that_a_planned_stop_cuts_off_is_found() -> None:
    found = check_planned_stop(record_of_stop(lost()))
    assert [(v.promise, v.at, v.subject) for v in found] == [(Promise.PLANNED_STOP, 101.0, "r")]


@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_any_answer_is_enough_during_a_planned_stop(status: int) -> None:
    assert check_planned_stop(record_of_stop(replace(lost(), status=status, whole=True))) == []


def test_a_planned_stop_owes_nothing_to_callers_that_left_or_had_not_sent_everything() -> None:
    assert check_planned_stop(record_of_stop(replace(lost(), caller_left=True))) == []
    assert check_planned_stop(record_of_stop(replace(lost(), written=False))) == []


def test_a_stop_has_to_do_with_its_own_entry_only() -> None:
    assert check_planned_stop(record_of_stop(replace(lost(), entry="other entry"))) == []


def test_a_request_is_told_once_whichever_stop_cut_it_off() -> None:
    record = record_of_stop(lost())
    record.stops.insert(0, PlannedStop("entry", 50.0, 51.0))
    assert len(check_planned_stop(record)) == 1
    record.stops.append(PlannedStop("entry", 100.75, 102.0))
    assert len(check_planned_stop(record)) == 1


def test_only_what_was_sent_before_the_process_ended_counts() -> None:
    for sent_at, found in ((102.0 - SHORTLY, 1), (102.0, 0)):
        record = record_of_stop(lost(sent_at, 102.0))
        record.arrivals.append(Arrival("r", "i-1", sent_at))
        assert len(check_planned_stop(record)) == found


def test_a_request_that_crossed_a_close_and_reached_no_replica_does_not_count() -> None:
    """It was read by nobody: the entry was just closing an idle connection."""
    for ended_at, arrived, found in (
        (101.25, False, 0),
        (101.25 + SHORTLY, False, 1),
        (101.25, True, 1),
    ):
        record = record_of_stop(lost(101.0, ended_at))
        if arrived:
            record.arrivals.append(Arrival("r", "i-1", 101.0))
        assert len(check_planned_stop(record)) == found, (ended_at, arrived)


def test_what_ended_before_the_stop_was_not_cut_by_it() -> None:
    assert len(check_planned_stop(record_of_stop(lost(99.5, 100.5)))) == 1
    assert check_planned_stop(record_of_stop(lost(99.5, 100.5 - SHORTLY))) == []


def test_a_request_that_had_used_seven_tenths_of_its_deadline_does_not_count() -> None:
    request = replace(lost(100.0, 107.0), deadline_seconds=10.0)
    assert check_planned_stop(record_of_stop(request, ended_at=107.0)) == []
    request = replace(request, ended_at=107.0 - SHORTLY)
    assert len(check_planned_stop(record_of_stop(request, ended_at=107.0))) == 1


def test_a_caller_that_notices_late_does_not_make_its_request_older() -> None:
    request = replace(lost(100.0, 109.0), deadline_seconds=10.0)
    assert len(check_planned_stop(record_of_stop(request, ended_at=107.0 - SHORTLY))) == 1


def test_a_request_that_is_cut_at_once_counts_however_long_the_process_stays() -> None:
    assert len(check_planned_stop(record_of_stop(lost(), ended_at=190.0))) == 1
    assert len(check_planned_stop(record_of_stop(lost(), ended_at=None))) == 1


def test_a_request_without_a_deadline_is_never_too_old() -> None:
    request = replace(lost(0.0, 101.0), deadline_seconds=0.0)
    assert len(check_planned_stop(record_of_stop(request))) == 1


@pytest.mark.parametrize("machines", [[], ["entry"]])
def test_a_fault_at_the_entry_or_the_platform_excuses_a_loss(machines: list[str]) -> None:
    record = record_of_stop(lost())
    record.disturbances = [fault_on(*machines, began_at=50.0, ended_at=100.0 - REACHED)]
    assert check_planned_stop(record) == []
    record.disturbances = [fault_on(*machines, began_at=101.0, ended_at=120.0)]
    assert check_planned_stop(record) == []


@pytest.mark.parametrize(
    "fault",
    [
        fault_on("other entry", "i-1", began_at=0.0, ended_at=200.0),
        fault_on(began_at=50.0, ended_at=100.0 - REACHED - SHORTLY),
        fault_on("entry", began_at=101.0 + SHORTLY, ended_at=120.0),
    ],
    ids=["elsewhere", "before", "after"],
)
def test_faults_elsewhere_or_at_other_times_do_not_excuse_a_loss(fault: Disturbance) -> None:
    record = record_of_stop(lost())
    record.disturbances = [fault]
    assert len(check_planned_stop(record)) == 1


# Configurations.


def probe(
    found: bool | None, sent_at: float, *, configuration: int = 2, life: int = 1
) -> RouteProbe:
    """Return a probe of an entry."""
    return RouteProbe("entry", life, configuration, sent_at, found)


def record_of_probes(*probes: RouteProbe) -> Record:
    """Return a record with probes around the publication of configuration 2 at 100."""
    record = record_of()
    record.configurations.extend(
        [ConfigurationPublished(1, 0.0), ConfigurationPublished(2, 100.0)]
    )
    record.probes.extend(probes)
    return record


@pytest.mark.parametrize("found", [False, None])
def test_a_route_that_is_not_there_is_found_just_after_the_bound_and_not_at_it(
    found: bool | None,
) -> None:
    assert check_configuration(record_of_probes(probe(found, 108.0))) == []
    late = check_configuration(record_of_probes(probe(found, 108.0 + SHORTLY)))
    assert [(v.promise, v.at, v.subject) for v in late] == [
        (Promise.CONFIGURATION, 108.0 + SHORTLY, "entry")
    ]
    assert ("no answer" in late[0].detail) is (found is None)


def test_a_route_that_is_there_is_innocent() -> None:
    assert check_configuration(record_of_probes(probe(True, 200.0))) == []


def test_what_the_store_has_not_taken_need_not_be_in_force() -> None:
    record = record_of_probes(probe(False, 200.0, configuration=3))
    assert check_configuration(record) == []
    record.configurations.append(ConfigurationPublished(4, 150.0))
    assert len(check_configuration(record)) == 1


def test_a_route_is_due_from_its_own_publication_on_whatever_comes_after() -> None:
    record = record_of_probes(probe(False, 200.0))
    record.configurations.append(ConfigurationPublished(3, 199.0))
    assert len(check_configuration(record)) == 1


def late_probe_beside(
    *, disturbances: list[Disturbance] | None = None, stops: list[PlannedStop] | None = None
) -> list[Violation]:
    """Check a route that an entry does not have at 200, long after its publication."""
    record = record_of_probes(probe(False, 200.0))
    record.disturbances = disturbances or []
    record.stops = stops or []
    return check_configuration(record)


@pytest.mark.parametrize("machines", [[], ["entry"]])
def test_a_route_counts_again_a_fixed_time_after_a_fault(machines: list[str]) -> None:
    healed = 200.0 - REACHED
    fault = fault_on(*machines, began_at=50.0, ended_at=healed)
    assert late_probe_beside(disturbances=[fault]) == []
    earlier = fault_on(*machines, began_at=50.0, ended_at=healed - SHORTLY)
    assert len(late_probe_beside(disturbances=[earlier])) == 1


def test_a_fault_elsewhere_does_not_excuse_a_missing_route() -> None:
    fault = fault_on("other entry", "i-1", began_at=50.0, ended_at=250.0)
    assert len(late_probe_beside(disturbances=[fault])) == 1


def test_a_fault_after_the_probe_excuses_silence_for_a_while_but_not_a_denial() -> None:
    fault = fault_on("entry", began_at=200.0 + REACHED, ended_at=250.0)
    assert len(late_probe_beside(disturbances=[fault])) == 1
    record = record_of_probes(probe(None, 200.0))
    record.disturbances = [fault]
    assert check_configuration(record) == []
    record.disturbances = [replace(fault, began_at=200.0 + REACHED + SHORTLY)]
    assert len(check_configuration(record)) == 1


def test_a_route_counts_again_a_fixed_time_after_an_entry_is_back_from_a_stop() -> None:
    back = 200.0 - REACHED
    stop = PlannedStop("entry", 50.0, 60.0, restarted_at=back)
    assert late_probe_beside(stops=[stop]) == []
    assert late_probe_beside(stops=[PlannedStop("entry", 50.0, ended_at=None)]) == []
    assert len(late_probe_beside(stops=[replace(stop, restarted_at=back - SHORTLY)])) == 1
    assert len(late_probe_beside(stops=[replace(stop, restarted_at=None)])) == 1
    assert len(late_probe_beside(stops=[replace(stop, entry="other entry")])) == 1


def test_a_route_that_is_lost_again_is_found_within_any_bound_and_under_any_fault() -> None:
    record = record_of_probes(probe(True, 101.0), probe(False, 101.0 + SHORTLY))
    record.disturbances = [fault_on(began_at=0.0, ended_at=1000.0)]
    (found,) = check_configuration(record)
    assert (found.promise, found.at, found.subject) == (
        Promise.CONFIGURATION,
        101.0 + SHORTLY,
        "entry",
    )


def test_an_older_route_that_is_lost_while_a_newer_one_was_there_is_found() -> None:
    record = record_of_probes(probe(True, 101.0), probe(False, 102.0, configuration=1))
    record.disturbances = [fault_on(began_at=0.0, ended_at=1000.0)]
    assert len(check_configuration(record)) == 1


def test_a_route_is_there_from_the_answer_on_that_shows_it() -> None:
    there = replace(probe(True, 101.0), answered_at=103.0)
    assert check_configuration(record_of_probes(there, probe(False, 103.0))) == []
    assert len(check_configuration(record_of_probes(there, probe(False, 103.0 + SHORTLY)))) == 1


@pytest.mark.parametrize(
    "later",
    [
        probe(False, 102.0, life=2),
        probe(False, 102.0, configuration=3),
        probe(None, 102.0),
        probe(False, 101.0),
        probe(False, 100.5),
        replace(probe(False, 102.0), entry="other entry"),
    ],
    ids=["next life", "newer route", "no answer", "at once", "before", "other entry"],
)
def test_only_a_denial_later_in_the_same_life_is_a_lost_route(later: RouteProbe) -> None:
    assert check_configuration(record_of_probes(probe(True, 101.0), later)) == []


# The bound on retries.


def record_of_retries(requests: list[float], repeats: list[float]) -> Record:
    """Return a record with requests and with second arrivals of one that was sent long ago."""
    record = record_of(
        *(served(request_id=f"r{number}", sent_at=at) for number, at in enumerate(requests))
    )
    record.arrivals = [Arrival("old", "i-1", at) for at in [-1000.0, *repeats]]
    return record


def retries_found_slowly(requests: list[float], repeats: list[float]) -> bool:
    """Look at windows from all starts of a fine grid; moments are whole numbers."""

    def count(moments: list[float], start: float) -> int:
        return sum(start <= at < start + BOUNDS.retry_window for at in moments)

    half = BOUNDS.retry_window / 2
    for start in (step / 2 for step in range(-100, 200)):
        most = max(count(requests, start - back) for back in (0.0, half, 2 * half))
        if count(repeats, start) > BOUNDS.retry_ratio * most + BOUNDS.retry_slack:
            return True
    return False


moments = st.lists(st.integers(0, 40).map(float), max_size=25)


@given(moments, moments)
@example([0.0] * 4, [5.0] * 4)
@example([], [0.0, 4.0, 8.0])
# The only windows that break the bound end just before a request comes into the window itself,
# the one before it, or the one half a window before it.
@example([12.0, 13.0, 13.0, 19.0, 22.0], [12.0, 15.0, 17.0])
@example([3.0, 6.0, 7.0, 8.0], [11.0, 13.0, 15.0])
@example([7.0, 7.0, 9.0, 12.0], [9.0, 9.0, 15.0])
def test_the_bound_on_retries_agrees_with_the_slow_version(
    requests: list[float], repeats: list[float]
) -> None:
    found = check_retry_bound(record_of_retries(requests, repeats))
    assert bool(found) == retries_found_slowly(requests, repeats)


def test_one_repeat_beyond_ratio_and_slack_is_found() -> None:
    requests = [100.0] * 8
    assert check_retry_bound(record_of_retries(requests, [104.0] * 4)) == []
    found = check_retry_bound(record_of_retries(requests, [104.0] * 5))
    assert {v.promise for v in found} == {Promise.RETRY_BOUND}


def test_repeats_a_window_apart_are_not_counted_together() -> None:
    assert check_retry_bound(record_of_retries([], [100.0, 101.0, 108.0])) == []
    assert len(check_retry_bound(record_of_retries([], [100.0, 101.0, 108.0 - SHORTLY]))) == 1


def test_requests_of_the_window_before_count_and_those_before_it_do_not() -> None:
    requests = [90.0] * 40
    assert check_retry_bound(record_of_retries(requests, [97.0] * 12)) == []
    assert len(check_retry_bound(record_of_retries(requests, [110.0] * 3))) == 1


def test_the_window_half_a_window_before_may_hold_the_most_requests() -> None:
    requests = [97.0] * 4 + [101.0] * 4
    assert check_retry_bound(record_of_retries(requests, [101.0] * 4)) == []
    assert len(check_retry_bound(record_of_retries(requests, [101.0] * 5))) == 1


def test_first_arrivals_are_no_repeats_though_no_request_was_recorded() -> None:
    record = record_of()
    record.arrivals = [Arrival(f"r{number}", "i-1", 100.0) for number in range(50)]
    assert check_retry_bound(record) == []
    record.arrivals += record.arrivals[:3]
    assert len(check_retry_bound(record)) == 1


def test_a_storm_of_retries_is_told_once_a_window() -> None:
    storm = [100.0 + step / 4 for step in range(4 * 16)]
    found = check_retry_bound(record_of_retries([], storm))
    gaps = [later.at - earlier.at for earlier, later in zip(found, found[1:], strict=False)]
    assert len(found) >= 2
    assert all(gap >= BOUNDS.retry_window for gap in gaps)


def test_windows_that_only_touch_are_told_both() -> None:
    found = check_retry_bound(record_of_retries([], [100.0] * 3 + [108.0] * 3))
    assert [violation.at for violation in found] == [100.0, 108.0]


# Recovery.


def record_of_recovery(good: int, bad: int, *, sent_at: float = 106.0) -> Record:
    """Return a record whose last fault ended at 100, with requests that were served or failed."""
    requests = [served(request_id=f"good{n}", sent_at=sent_at) for n in range(good)]
    failed = [
        replace(served(request_id=f"bad{n}", sent_at=sent_at), status=503, sealed=False)
        for n in range(bad)
    ]
    record = record_of(*requests, *failed)
    record.last_fault_ended_at = 100.0
    record.ended_at = 200.0
    return record


def test_less_than_half_of_ordinary_service_is_found() -> None:
    assert check_recovery(record_of_recovery(10, 10)) == []
    found = check_recovery(record_of_recovery(10, 11))
    assert [(v.promise, v.at) for v in found] == [(Promise.RECOVERY, 105.0)]


@pytest.mark.parametrize("changes", [{"status": 0}, {"whole": False}, {"ended_at": None}])
def test_what_is_not_a_whole_success_is_not_served(changes: dict[str, object]) -> None:
    record = record_of_recovery(20, 0)
    for number in range(11):
        request = record.requests[f"good{number}"]
        for name, value in {"whole": False, **changes}.items():
            setattr(request, name, value)
    assert len(check_recovery(record)) == 1


def test_only_requests_later_than_the_bound_count() -> None:
    early = record_of_recovery(0, 100, sent_at=105.0)
    record = record_of_recovery(20, 0, sent_at=105.0 + SHORTLY)
    record.requests.update(early.requests)
    assert check_recovery(record) == []
    late = record_of_recovery(0, 100, sent_at=105.0 + SHORTLY)
    record.requests.update(late.requests)
    assert len(check_recovery(record)) == 1


def test_requests_that_their_callers_left_do_not_count() -> None:
    record = record_of_recovery(20, 21)
    assert len(check_recovery(record)) == 1
    for number in range(21):
        record.requests[f"bad{number}"].caller_left = True
    assert check_recovery(record) == []


def test_too_few_requests_are_found_once_there_was_time_for_them() -> None:
    record = record_of_recovery(19, 0)
    record.ended_at = 110.0
    assert check_recovery(record) == []
    record.ended_at = 110.0 + SHORTLY
    assert len(check_recovery(record)) == 1
    assert check_recovery(record_of_recovery(20, 0)) == []


def test_too_few_failures_are_judged_by_their_number_only() -> None:
    record = record_of_recovery(0, 19)
    record.ended_at = 110.0
    assert check_recovery(record) == []


def test_a_soak_that_did_not_wait_for_recovery_is_not_held_to_it() -> None:
    record = record_of_recovery(0, 100)
    record.last_fault_ended_at = None
    assert check_recovery(record) == []


# All of them.


def broken_records() -> dict[Promise, Record]:
    """Return a record for each promise that breaks it."""
    two_runs = record_with_runs(served(), run(), run(at=101.0))
    two_versions = record_with_runs(served(RequestKind.STREAM), run(), run(2, 100.5, "i-2"))
    return {
        Promise.COMPLETE_ANSWERS: record_of(replace(served(), own=False)),
        Promise.AT_MOST_ONCE: two_runs,
        Promise.REFUSED_NOT_RUN: record_with_runs(refused(RequestKind.ONCE, 503), run()),
        Promise.ONE_VERSION: two_versions,
        Promise.OLD_WEIGHTS: record_of_naming(run(1, 110.0)),
        Promise.LEAVING: record_of_leaving(110.0),
        Promise.ANNOUNCED_LEAVING: record_of_said_leaving(110.0),
        Promise.LIMIT: record_of_limit(12),
        Promise.REST: record_of_rest(3),
        Promise.PLANNED_STOP: record_of_stop(lost()),
        Promise.CONFIGURATION: record_of_probes(probe(False, 200.0)),
        Promise.RETRY_BOUND: record_of_retries([], [100.0] * 3),
        Promise.RECOVERY: record_of_recovery(0, 20),
    }


@pytest.mark.parametrize("promise", Promise)
def test_all_checks_together_find_each_broken_promise_and_only_that(promise: Promise) -> None:
    found = check_all(broken_records()[promise])
    assert {violation.promise for violation in found} == {promise}


def test_each_promise_has_its_checker() -> None:
    assert set(CHECKS) == set(Promise)


def test_an_empty_record_breaks_nothing() -> None:
    assert check_all(record_of()) == []


def test_violations_are_told_in_the_order_in_which_they_came() -> None:
    record = record_of_leaving(110.0)
    record.requests["r"].own = False
    assert [v.promise for v in check_all(record)] == [Promise.COMPLETE_ANSWERS, Promise.LEAVING]


# Summary.


@pytest.mark.parametrize(
    ("request_", "outcome"),
    [
        (served(), Outcome.SERVED),
        (replace(served(), whole=False), Outcome.CUT),
        (refused(RequestKind.ONCE, 503), Outcome.REFUSED),
        (replace(refused(RequestKind.ONCE, 503), sealed=True), Outcome.FAILED),
        (refused(RequestKind.ONCE, 500), Outcome.FAILED),
        (lost(), Outcome.NO_ANSWER),
        (replace(lost(), caller_left=True), Outcome.LEFT),
        (replace(lost(), ended_at=None), Outcome.UNDER_WAY),
    ],
)
def test_each_request_has_one_outcome(request_: CallerRequest, outcome: Outcome) -> None:
    assert outcome_of(request_) is outcome


def test_a_summary_counts_all_promises_and_the_outcomes_that_came() -> None:
    record = record_of(
        served(),
        served(request_id="s"),
        replace(lost(), id="t"),
        served(RequestKind.STREAM, "u"),
    )
    violation = Violation(Promise.LEAVING, 1.0, "i-1", "late")
    summary = summarize(record, [violation, violation])
    assert summary.promises == tuple(
        PromiseCount(promise, 2 if promise is Promise.LEAVING else 0) for promise in Promise
    )
    assert summary.outcomes == (
        OutcomeCount(RequestKind.ONCE, Outcome.SERVED, 2),
        OutcomeCount(RequestKind.ONCE, Outcome.NO_ANSWER, 1),
        OutcomeCount(RequestKind.STREAM, Outcome.SERVED, 1),
    )
