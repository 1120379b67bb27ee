"""Tests that the checks of a soak find each broken promise and accept similar valid records."""

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
# Less than any bound. All times are binary fractions, so their sums are exact.
SHORT_SECONDS = 1 / 64
AT_MOST_ONCE = [RequestKind.ONCE, RequestKind.STRICT_STREAM]
REPEATABLE = [RequestKind.REPEATABLE, RequestKind.STREAM]
STREAMS = [RequestKind.STREAM, RequestKind.STRICT_STREAM]


def served(
    kind: RequestKind = RequestKind.ONCE, request_id: str = "r", sent_at: float = 100.0
) -> CallerRequest:
    """Return a request that got the complete answer of a replica."""
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
    """Return a request whose answer says that it has not run."""
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
    """Return a record that contains only requests."""
    return Record(BOUNDS, began_at=0.0, requests={request.id: request for request in requests})


def run(version: int = 1, at: float = 100.0, replica: str = "i-1") -> ReplicaRun:
    """Return a run of the request with the default id of `served`."""
    return ReplicaRun("r", replica, "model", version, at)


def fault_on(*machines: str, began_at: float, ended_at: float) -> Disturbance:
    """Return a fault of machines, or of the platform if none are given."""
    return Disturbance("cut", frozenset(machines), began_at, ended_at)


# Complete answers that belong to their requests.


@pytest.mark.parametrize("kind", RequestKind)
def test_a_complete_own_answer_is_accepted(kind: RequestKind) -> None:
    assert check_complete_answers(record_of(served(kind))) == []


@pytest.mark.parametrize("kind", RequestKind)
def test_a_complete_answer_of_another_request_is_found(kind: RequestKind) -> None:
    violations = check_complete_answers(record_of(replace(served(kind), own=False)))
    assert [(v.promise, v.at, v.subject) for v in violations] == [
        (Promise.COMPLETE_ANSWERS, 101.0, "r")
    ]


@pytest.mark.parametrize("status", [200, 299])
@pytest.mark.parametrize("whole", [True, False])
def test_a_success_without_a_seal_is_found(status: int, whole: bool) -> None:
    request = replace(served(), status=status, sealed=False, whole=whole)
    assert len(check_complete_answers(record_of(request))) == 1


@pytest.mark.parametrize("status", [0, 199, 300, 500, 503])
def test_an_answer_without_success_needs_neither_seal_nor_own_content(status: int) -> None:
    request = replace(served(), status=status, sealed=False, own=False)
    assert check_complete_answers(record_of(request)) == []


def test_a_truncated_answer_is_not_judged_as_complete() -> None:
    assert check_complete_answers(record_of(replace(served(), whole=False, own=False))) == []


@pytest.mark.parametrize("kind", STREAMS)
@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("events", [[0, 2], [0, 1, 1, 2], [0, 2, 1], [1, 2], [0, 0]])
def test_gaps_and_repeats_of_events_are_found_in_complete_and_truncated_streams(
    kind: RequestKind, whole: bool, events: list[int]
) -> None:
    request = replace(served(kind), events=events, event_count=None, whole=whole)
    assert len(check_complete_answers(record_of(request))) == 1


@pytest.mark.parametrize("events", [[], [0], [0, 1], [0, 1, 2]])
def test_a_valid_prefix_of_a_truncated_stream_is_accepted(events: list[int]) -> None:
    request = replace(served(RequestKind.STREAM), events=events, whole=False)
    assert check_complete_answers(record_of(request)) == []


@pytest.mark.parametrize("events", [[0, 1], [0, 1, 2, 3]])
def test_a_complete_stream_with_too_few_or_too_many_events_is_found(events: list[int]) -> None:
    request = replace(served(RequestKind.STREAM), events=events)
    assert len(check_complete_answers(record_of(request))) == 1


def test_a_complete_stream_without_events_is_found_even_if_their_number_is_unknown() -> None:
    request = replace(served(RequestKind.STREAM), events=[], event_count=None)
    assert len(check_complete_answers(record_of(request))) == 1


# At most one run, and none after a refusal.


def record_with_runs(request: CallerRequest, *runs: ReplicaRun) -> Record:
    """Return a record with one request and its runs."""
    record = record_of(request)
    record.runs.extend(runs)
    return record


@pytest.mark.parametrize("kind", AT_MOST_ONCE)
@pytest.mark.parametrize("replica", ["i-1", "i-2"])
def test_a_second_run_is_found_at_any_replica_and_however_late(
    kind: RequestKind, replica: str
) -> None:
    runs = [run(at=5000.0, replica=replica), run(at=100.0)]
    violations = check_at_most_once(record_with_runs(served(kind), *runs))
    assert [(v.promise, v.at, v.subject) for v in violations] == [
        (Promise.AT_MOST_ONCE, 5000.0, "r")
    ]


@pytest.mark.parametrize("kind", AT_MOST_ONCE)
def test_one_run_of_each_of_two_requests_is_accepted(kind: RequestKind) -> None:
    record = record_of(served(kind), served(kind, "s"))
    record.runs.extend([run(), ReplicaRun("s", "i-1", "model", 1, 100.0)])
    assert check_at_most_once(record) == []


@pytest.mark.parametrize("kind", REPEATABLE)
def test_repeatable_requests_may_run_twice(kind: RequestKind) -> None:
    assert check_at_most_once(record_with_runs(served(kind), run(), run(replica="i-2"))) == []


@pytest.mark.parametrize("kind", AT_MOST_ONCE)
@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("at", [100.5, 5000.0])
def test_a_run_before_or_after_a_refusal_is_found(
    kind: RequestKind, status: int, at: float
) -> None:
    violations = check_refused_not_run(record_with_runs(refused(kind, status), run(at=at)))
    assert [(v.promise, v.at, v.subject) for v in violations] == [
        (Promise.REFUSED_NOT_RUN, at, "r")
    ]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_without_a_run_is_accepted(status: int) -> None:
    record = record_of(refused(RequestKind.ONCE, status), served(request_id="s"))
    record.runs.append(ReplicaRun("s", "i-1", "model", 1, 100.0))
    assert check_refused_not_run(record) == []


@pytest.mark.parametrize("kind", REPEATABLE)
def test_a_refused_repeatable_request_may_have_run(kind: RequestKind) -> None:
    assert check_refused_not_run(record_with_runs(refused(kind, 503), run())) == []


@pytest.mark.parametrize("status", [0, 200, 500, 502, 504])
def test_other_statuses_do_not_promise_that_the_request_has_not_run(status: int) -> None:
    assert check_refused_not_run(record_with_runs(refused(RequestKind.ONCE, status), run())) == []


def test_a_replica_may_answer_with_a_refusal_status_after_its_run() -> None:
    request = replace(refused(RequestKind.ONCE, 503), sealed=True)
    assert check_refused_not_run(record_with_runs(request, run())) == []


# One version in an answer.


@pytest.mark.parametrize("kind", STREAMS)
@pytest.mark.parametrize("versions", [[], [1, 1, 2]])
def test_a_complete_stream_of_two_versions_is_found(
    kind: RequestKind, versions: list[int]
) -> None:
    request = replace(served(kind), event_versions=versions)
    violations = check_one_version(record_with_runs(request, run(), run(2, 100.5, "i-2")))
    assert [(v.promise, v.subject) for v in violations] == [(Promise.ONE_VERSION, "r")]


def test_a_stream_resumed_elsewhere_on_the_same_version_is_accepted() -> None:
    request = served(RequestKind.STREAM)
    assert check_one_version(record_with_runs(request, run(), run(1, 100.5, "i-2"))) == []


def test_a_run_without_events_for_the_caller_does_not_count_for_the_answer() -> None:
    request = replace(served(RequestKind.STREAM), event_versions=[2, 2, 2])
    assert check_one_version(record_with_runs(request, run(), run(2, 100.5, "i-2"))) == []


@pytest.mark.parametrize(
    "request_",
    [replace(served(RequestKind.STREAM), whole=False), served(RequestKind.REPEATABLE)],
    ids=["cut", "no stream"],
)
def test_only_complete_streams_must_have_one_version(request_: CallerRequest) -> None:
    assert check_one_version(record_with_runs(request_, run(), run(2, 100.5, "i-2"))) == []


# Late starts on old weights.


def record_of_naming(*runs: ReplicaRun) -> Record:
    """Return a record with runs around the naming of version 2 at 100."""
    record = record_with_runs(served(RequestKind.STREAM), *runs)
    record.versions.extend([VersionNamed(1, 0.0), VersionNamed(2, 100.0)])
    return record


def test_a_start_on_old_weights_is_found_just_after_the_bound_and_not_at_it() -> None:
    assert check_old_weights(record_of_naming(run(1, 104.0))) == []
    violations = check_old_weights(record_of_naming(run(1, 104.0 + SHORT_SECONDS)))
    assert [(v.promise, v.at, v.subject) for v in violations] == [
        (Promise.OLD_WEIGHTS, 104.0 + SHORT_SECONDS, "i-1")
    ]


@pytest.mark.parametrize("version", [0, 2, 3])
def test_a_late_start_on_named_or_newer_or_no_weights_is_accepted(version: int) -> None:
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
        fault_on(*machines, began_at=50.0, ended_at=100.0 - REACHED - SHORT_SECONDS),
        fault_on(*machines, began_at=110.0 + SHORT_SECONDS, ended_at=120.0),
    ]
    assert len(check_old_weights(record)) == 1


def test_each_newer_version_is_judged_on_its_own_naming() -> None:
    record = record_of_naming(run(1, 140.0))
    record.versions.append(VersionNamed(3, 130.0))
    record.disturbances = [fault_on("i-2", began_at=99.0, ended_at=101.0)]
    (violation,) = check_old_weights(record)
    assert "version 3" in violation.detail
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
    record.stops = [PlannedStop("entry", 110.0 + SHORT_SECONDS, 112.0)]
    assert len(check_old_weights(record)) == 1


# Late work for a leaving replica.


def record_of_leaving(arrival_at: float, replica: str = "i-1") -> Record:
    """Return a record with one arrival; replica i-1 is listed as leaving at 100."""
    record = record_of(served())
    record.draining.append(ReplicaDrains("i-1", 100.0))
    record.arrivals.append(Arrival("r", replica, arrival_at))
    return record


def test_an_arrival_is_found_just_after_the_bound_and_not_at_it() -> None:
    assert check_leaving(record_of_leaving(103.0)) == []
    violations = check_leaving(record_of_leaving(103.0 + SHORT_SECONDS))
    assert [(v.promise, v.at, v.subject) for v in violations] == [
        (Promise.LEAVING, 103.0 + SHORT_SECONDS, "i-1")
    ]


def test_a_late_arrival_at_a_replica_that_stays_is_accepted() -> None:
    assert check_leaving(record_of_leaving(200.0, "i-2")) == []


@pytest.mark.parametrize("machines", [[], ["entry"], ["i-1"]])
def test_a_fault_at_the_entry_the_replica_or_the_platform_excuses_an_arrival(
    machines: list[str],
) -> None:
    record = record_of_leaving(110.0)
    record.disturbances = [fault_on(*machines, began_at=50.0, ended_at=100.0 - REACHED)]
    assert check_leaving(record) == []
    record.disturbances = [fault_on(*machines, began_at=110.0, ended_at=120.0)]
    assert check_leaving(record) == []


@pytest.mark.parametrize(
    "fault",
    [
        fault_on("other entry", "i-2", began_at=0.0, ended_at=200.0),
        fault_on(began_at=50.0, ended_at=100.0 - REACHED - SHORT_SECONDS),
        fault_on("entry", began_at=110.0 + SHORT_SECONDS, ended_at=120.0),
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


# Limits, rests and leaving that replicas announce in their answers.


def record_of_arrivals(*moments: float, entry: str = "entry") -> Record:
    """Return a record of requests that reached one replica when they were sent."""
    record = Record(BOUNDS, 0.0)
    for number, at in enumerate(moments):
        request = served(request_id=f"r{number}", sent_at=at)
        request.entry, request.ended_at = entry, at + SHORT_SECONDS
        record.requests[request.id] = request
        record.arrivals.append(Arrival(request.id, "i-1", at))
    return record


def record_of_limit(count: int, *, ended_at: float = 200.0) -> Record:
    """Return a record of arrivals under a limit of 1 per second, which allows 11 in 4 s."""
    record = record_of_arrivals(100.0, *(104.0 + number / 4 for number in range(count)))
    record.limits.append(ReplicaLimit("i-1", 1.0, 100.0, ended_at))
    return record


def test_more_requests_than_a_limit_allows_are_found() -> None:
    assert check_limits(record_of_limit(11)) == []
    violations = check_limits(record_of_limit(12))
    assert [(v.promise, v.at, v.subject) for v in violations] == [(Promise.LIMIT, 104.0, "i-1")]


def test_requests_before_a_limit_counts_or_after_its_end_are_accepted() -> None:
    assert check_limits(record_of_limit(12, ended_at=104.0)) == []
    record = record_of_limit(12)
    record.limits[0].began_at = 104.0 - REACHED + 1.0
    assert check_limits(record) == []


def test_requests_of_an_entry_not_informed_of_a_limit_are_accepted() -> None:
    record = record_of_limit(12)
    for request in record.requests.values():
        request.status = 0
    assert check_limits(record) == []


def record_of_rest(count: int, *, entry: str = "entry") -> Record:
    """Return a record of arrivals from `entry` during a 3 s rest that was asked of one entry."""
    record = record_of_arrivals(*(101.0 + number / 4 for number in range(count)), entry=entry)
    request = served(request_id="asked", sent_at=100.0)
    record.requests[request.id] = request
    record.arrivals.append(Arrival("asked", "i-1", 100.0, rest_seconds=3.0))
    return record


def test_requests_within_a_rest_are_found() -> None:
    assert check_rests(record_of_rest(2)) == []
    violations = check_rests(record_of_rest(3))
    assert [(v.promise, v.at, v.subject) for v in violations] == [(Promise.REST, 100.0, "i-1")]


def test_requests_of_another_entry_within_a_rest_are_accepted() -> None:
    assert check_rests(record_of_rest(3, entry="other")) == []


def record_of_announced_leaving(sent_at: float) -> Record:
    """Return a record of a request sent after its replica announced at 100 that it leaves."""
    record = record_of_arrivals(100.0, sent_at)
    record.leaving.append(ReplicaLeaves("i-1", 100.0))
    return record


def test_a_late_request_to_a_replica_that_announces_its_leaving_is_found() -> None:
    assert check_announced_leaving(record_of_announced_leaving(103.0 + SHORT_SECONDS)) == []
    violations = check_announced_leaving(record_of_announced_leaving(103.0 + 2 * SHORT_SECONDS))
    assert [(v.promise, v.at, v.subject) for v in violations] == [
        (Promise.ANNOUNCED_LEAVING, 103.0 + 2 * SHORT_SECONDS, "i-1")
    ]


@pytest.mark.parametrize(
    ("check", "record"),
    [
        (check_limits, record_of_limit(12)),
        (check_rests, record_of_rest(3)),
        (check_announced_leaving, record_of_announced_leaving(110.0)),
    ],
)
@pytest.mark.parametrize("machine", ["entry", "i-1"])
def test_a_fault_excuses_requests_beyond_what_the_replica_asked_for(
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
    violations = check_planned_stop(record_of_stop(lost()))
    assert [(v.promise, v.at, v.subject) for v in violations] == [
        (Promise.PLANNED_STOP, 101.0, "r")
    ]


@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_any_answer_is_enough_during_a_planned_stop(status: int) -> None:
    assert check_planned_stop(record_of_stop(replace(lost(), status=status, whole=True))) == []


def test_requests_that_were_left_or_not_fully_sent_do_not_count_at_a_planned_stop() -> None:
    assert check_planned_stop(record_of_stop(replace(lost(), caller_left=True))) == []
    assert check_planned_stop(record_of_stop(replace(lost(), written=False))) == []


def test_a_stop_counts_for_its_own_entry_only() -> None:
    assert check_planned_stop(record_of_stop(replace(lost(), entry="other entry"))) == []


def test_a_request_is_reported_once_even_with_several_stops() -> None:
    record = record_of_stop(lost())
    record.stops.insert(0, PlannedStop("entry", 50.0, 51.0))
    assert len(check_planned_stop(record)) == 1
    record.stops.append(PlannedStop("entry", 100.75, 102.0))
    assert len(check_planned_stop(record)) == 1


def test_only_requests_sent_before_the_process_ended_count() -> None:
    for sent_at, expected in ((102.0 - SHORT_SECONDS, 1), (102.0, 0)):
        record = record_of_stop(lost(sent_at, 102.0))
        record.arrivals.append(Arrival("r", "i-1", sent_at))
        assert len(check_planned_stop(record)) == expected


def test_a_request_that_crossed_an_idle_close_and_reached_no_replica_does_not_count() -> None:
    """The entry closed the idle connection before it read the request."""
    for ended_at, arrived, expected in (
        (101.25, False, 0),
        (101.25 + SHORT_SECONDS, False, 1),
        (101.25, True, 1),
    ):
        record = record_of_stop(lost(101.0, ended_at))
        if arrived:
            record.arrivals.append(Arrival("r", "i-1", 101.0))
        assert len(check_planned_stop(record)) == expected, (ended_at, arrived)


def test_a_request_lost_before_the_stop_does_not_count() -> None:
    assert len(check_planned_stop(record_of_stop(lost(99.5, 100.5)))) == 1
    assert check_planned_stop(record_of_stop(lost(99.5, 100.5 - SHORT_SECONDS))) == []


def test_a_request_that_had_used_seven_tenths_of_its_deadline_does_not_count() -> None:
    request = replace(lost(100.0, 107.0), deadline_seconds=10.0)
    assert check_planned_stop(record_of_stop(request, ended_at=107.0)) == []
    request = replace(request, ended_at=107.0 - SHORT_SECONDS)
    assert len(check_planned_stop(record_of_stop(request, ended_at=107.0))) == 1


def test_a_caller_that_notices_the_loss_late_does_not_excuse_it() -> None:
    request = replace(lost(100.0, 109.0), deadline_seconds=10.0)
    assert len(check_planned_stop(record_of_stop(request, ended_at=107.0 - SHORT_SECONDS))) == 1


def test_a_request_lost_early_counts_however_long_the_process_runs_on() -> None:
    assert len(check_planned_stop(record_of_stop(lost(), ended_at=190.0))) == 1
    assert len(check_planned_stop(record_of_stop(lost(), ended_at=None))) == 1


def test_the_loss_of_a_request_without_a_deadline_always_counts() -> None:
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
        fault_on(began_at=50.0, ended_at=100.0 - REACHED - SHORT_SECONDS),
        fault_on("entry", began_at=101.0 + SHORT_SECONDS, ended_at=120.0),
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
def test_a_missing_route_is_found_just_after_the_bound_and_not_at_it(
    found: bool | None,
) -> None:
    assert check_configuration(record_of_probes(probe(found, 108.0))) == []
    late = check_configuration(record_of_probes(probe(found, 108.0 + SHORT_SECONDS)))
    assert [(v.promise, v.at, v.subject) for v in late] == [
        (Promise.CONFIGURATION, 108.0 + SHORT_SECONDS, "entry")
    ]
    assert ("no answer" in late[0].detail) is (found is None)


def test_an_existing_route_is_accepted() -> None:
    assert check_configuration(record_of_probes(probe(True, 200.0))) == []


def test_a_configuration_that_the_store_has_not_accepted_need_not_be_in_force() -> None:
    record = record_of_probes(probe(False, 200.0, configuration=3))
    assert check_configuration(record) == []
    record.configurations.append(ConfigurationPublished(4, 150.0))
    assert len(check_configuration(record)) == 1


def test_a_later_publication_does_not_postpone_an_earlier_route() -> None:
    record = record_of_probes(probe(False, 200.0))
    record.configurations.append(ConfigurationPublished(3, 199.0))
    assert len(check_configuration(record)) == 1


def check_late_probe(
    *, disturbances: list[Disturbance] | None = None, stops: list[PlannedStop] | None = None
) -> list[Violation]:
    """Check a record in which an entry lacks a route at 200, long after its publication."""
    record = record_of_probes(probe(False, 200.0))
    record.disturbances = disturbances or []
    record.stops = stops or []
    return check_configuration(record)


@pytest.mark.parametrize("machines", [[], ["entry"]])
def test_a_route_counts_again_a_fixed_time_after_a_fault(machines: list[str]) -> None:
    ended_at = 200.0 - REACHED
    fault = fault_on(*machines, began_at=50.0, ended_at=ended_at)
    assert check_late_probe(disturbances=[fault]) == []
    earlier = fault_on(*machines, began_at=50.0, ended_at=ended_at - SHORT_SECONDS)
    assert len(check_late_probe(disturbances=[earlier])) == 1


def test_a_fault_elsewhere_does_not_excuse_a_missing_route() -> None:
    fault = fault_on("other entry", "i-1", began_at=50.0, ended_at=250.0)
    assert len(check_late_probe(disturbances=[fault])) == 1


def test_a_fault_shortly_after_the_probe_excuses_a_missing_answer_but_not_a_missing_route() -> (
    None
):
    fault = fault_on("entry", began_at=200.0 + REACHED, ended_at=250.0)
    assert len(check_late_probe(disturbances=[fault])) == 1
    record = record_of_probes(probe(None, 200.0))
    record.disturbances = [fault]
    assert check_configuration(record) == []
    record.disturbances = [replace(fault, began_at=200.0 + REACHED + SHORT_SECONDS)]
    assert len(check_configuration(record)) == 1


def test_a_route_counts_again_a_fixed_time_after_an_entry_has_restarted() -> None:
    back = 200.0 - REACHED
    stop = PlannedStop("entry", 50.0, 60.0, restarted_at=back)
    assert check_late_probe(stops=[stop]) == []
    assert check_late_probe(stops=[PlannedStop("entry", 50.0, ended_at=None)]) == []
    assert len(check_late_probe(stops=[replace(stop, restarted_at=back - SHORT_SECONDS)])) == 1
    assert len(check_late_probe(stops=[replace(stop, restarted_at=None)])) == 1
    assert len(check_late_probe(stops=[replace(stop, entry="other entry")])) == 1


def test_a_route_that_is_lost_again_is_found_within_any_bound_and_under_any_fault() -> None:
    record = record_of_probes(probe(True, 101.0), probe(False, 101.0 + SHORT_SECONDS))
    record.disturbances = [fault_on(began_at=0.0, ended_at=1000.0)]
    (violation,) = check_configuration(record)
    assert (violation.promise, violation.at, violation.subject) == (
        Promise.CONFIGURATION,
        101.0 + SHORT_SECONDS,
        "entry",
    )


def test_an_older_route_that_is_missing_after_a_newer_one_was_found_is_a_violation() -> None:
    record = record_of_probes(probe(True, 101.0), probe(False, 102.0, configuration=1))
    record.disturbances = [fault_on(began_at=0.0, ended_at=1000.0)]
    assert len(check_configuration(record)) == 1


def test_a_route_counts_as_present_only_from_its_answer_on() -> None:
    first = replace(probe(True, 101.0), answered_at=103.0)
    assert check_configuration(record_of_probes(first, probe(False, 103.0))) == []
    assert (
        len(check_configuration(record_of_probes(first, probe(False, 103.0 + SHORT_SECONDS)))) == 1
    )


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
def test_only_a_later_not_found_from_the_same_process_is_a_lost_route(later: RouteProbe) -> None:
    assert check_configuration(record_of_probes(probe(True, 101.0), later)) == []


# The bound on retries.


def record_of_retries(requests: list[float], repeats: list[float]) -> Record:
    """Return a record with requests, and with repeated arrivals of a much older request."""
    record = record_of(
        *(served(request_id=f"r{number}", sent_at=at) for number, at in enumerate(requests))
    )
    record.arrivals = [Arrival("old", "i-1", at) for at in [-1000.0, *repeats]]
    return record


def violates_by_exhaustive_search(requests: list[float], repeats: list[float]) -> bool:
    """Return whether any window with a start on a half-second grid breaks the bound.

    That covers all windows, since the times are whole seconds.
    """

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
# In the following examples, the only windows that break the bound end just before a request enters
# the window itself, the preceding window, or the one half a window earlier.
@example([12.0, 13.0, 13.0, 19.0, 22.0], [12.0, 15.0, 17.0])
@example([3.0, 6.0, 7.0, 8.0], [11.0, 13.0, 15.0])
@example([7.0, 7.0, 9.0, 12.0], [9.0, 9.0, 15.0])
def test_the_bound_on_retries_agrees_with_an_exhaustive_search(
    requests: list[float], repeats: list[float]
) -> None:
    violations = check_retry_bound(record_of_retries(requests, repeats))
    assert bool(violations) == violates_by_exhaustive_search(requests, repeats)


def test_one_repeat_beyond_ratio_and_slack_is_found() -> None:
    requests = [100.0] * 8
    assert check_retry_bound(record_of_retries(requests, [104.0] * 4)) == []
    violations = check_retry_bound(record_of_retries(requests, [104.0] * 5))
    assert {v.promise for v in violations} == {Promise.RETRY_BOUND}


def test_repeats_a_window_apart_are_not_counted_together() -> None:
    assert check_retry_bound(record_of_retries([], [100.0, 101.0, 108.0])) == []
    assert (
        len(check_retry_bound(record_of_retries([], [100.0, 101.0, 108.0 - SHORT_SECONDS]))) == 1
    )


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


def test_a_burst_of_retries_is_reported_once_per_window() -> None:
    burst = [100.0 + step / 4 for step in range(4 * 16)]
    violations = check_retry_bound(record_of_retries([], burst))
    gaps = [
        later.at - earlier.at for earlier, later in zip(violations, violations[1:], strict=False)
    ]
    assert len(violations) >= 2
    assert all(gap >= BOUNDS.retry_window for gap in gaps)


def test_adjacent_windows_are_both_reported() -> None:
    violations = check_retry_bound(record_of_retries([], [100.0] * 3 + [108.0] * 3))
    assert [violation.at for violation in violations] == [100.0, 108.0]


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
    violations = check_recovery(record_of_recovery(10, 11))
    assert [(v.promise, v.at) for v in violations] == [(Promise.RECOVERY, 105.0)]


@pytest.mark.parametrize("changes", [{"status": 0}, {"whole": False}, {"ended_at": None}])
def test_only_complete_successes_count_as_served(changes: dict[str, object]) -> None:
    record = record_of_recovery(20, 0)
    for number in range(11):
        request = record.requests[f"good{number}"]
        for name, value in {"whole": False, **changes}.items():
            setattr(request, name, value)
    assert len(check_recovery(record)) == 1


def test_only_requests_later_than_the_bound_count() -> None:
    early = record_of_recovery(0, 100, sent_at=105.0)
    record = record_of_recovery(20, 0, sent_at=105.0 + SHORT_SECONDS)
    record.requests.update(early.requests)
    assert check_recovery(record) == []
    late = record_of_recovery(0, 100, sent_at=105.0 + SHORT_SECONDS)
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
    record.ended_at = 110.0 + SHORT_SECONDS
    assert len(check_recovery(record)) == 1
    assert check_recovery(record_of_recovery(20, 0)) == []


def test_too_few_requests_are_not_judged_on_their_failures() -> None:
    record = record_of_recovery(0, 19)
    record.ended_at = 110.0
    assert check_recovery(record) == []


def test_a_soak_that_did_not_await_recovery_is_not_judged_on_it() -> None:
    record = record_of_recovery(0, 100)
    record.last_fault_ended_at = None
    assert check_recovery(record) == []


# All checks together.


def broken_records() -> dict[Promise, Record]:
    """Return, for each promise, a record that breaks it."""
    two_runs = record_with_runs(served(), run(), run(at=101.0))
    two_versions = record_with_runs(served(RequestKind.STREAM), run(), run(2, 100.5, "i-2"))
    return {
        Promise.COMPLETE_ANSWERS: record_of(replace(served(), own=False)),
        Promise.AT_MOST_ONCE: two_runs,
        Promise.REFUSED_NOT_RUN: record_with_runs(refused(RequestKind.ONCE, 503), run()),
        Promise.ONE_VERSION: two_versions,
        Promise.OLD_WEIGHTS: record_of_naming(run(1, 110.0)),
        Promise.LEAVING: record_of_leaving(110.0),
        Promise.ANNOUNCED_LEAVING: record_of_announced_leaving(110.0),
        Promise.LIMIT: record_of_limit(12),
        Promise.REST: record_of_rest(3),
        Promise.PLANNED_STOP: record_of_stop(lost()),
        Promise.CONFIGURATION: record_of_probes(probe(False, 200.0)),
        Promise.RETRY_BOUND: record_of_retries([], [100.0] * 3),
        Promise.RECOVERY: record_of_recovery(0, 20),
    }


@pytest.mark.parametrize("promise", Promise)
def test_all_checks_together_find_each_broken_promise_and_only_that(promise: Promise) -> None:
    violations = check_all(broken_records()[promise])
    assert {violation.promise for violation in violations} == {promise}


def test_each_promise_has_a_check() -> None:
    assert set(CHECKS) == set(Promise)


def test_an_empty_record_breaks_no_promise() -> None:
    assert check_all(record_of()) == []


def test_violations_are_reported_in_order_of_time() -> None:
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


def test_a_summary_counts_all_promises_and_the_outcomes_that_occurred() -> None:
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
