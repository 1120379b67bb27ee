"""Tests every way an attempt at a replica can end, and the answer to the caller.

One entry runs as a real process, with replicas that inject faults on demand. The tests check, for
each fault and kind of route, how often the request ran, what the caller got, and that a verdict of
"not run" is true.
"""

from collections import Counter
from pathlib import Path

import pytest
import trio
import trio.testing
from headcross_gateway.retries import STREAM_SILENCE_SECONDS
from headcross_platform import names

from testing.machinecaller import Reply, ask
from testing.machinelayout import MODEL_SERVICE, PLAIN_SERVICE
from testing.machines import Machines, replicas_of, small_site
from testing.platformreplica import FakeReplica, Fault

NOT_RUN_STATUSES = (429, 503, 408, 421)
RAN_AND_LOST = [
    Fault.RESET_BEFORE_HEAD,
    Fault.CLOSE_BEFORE_HEAD,
    Fault.NO_SEAL,
    Fault.WRONG_ID,
    Fault.ENCODED,
    Fault.CUT_BODY,
    Fault.UNFRAMED_RESET,
    Fault.NOT_HTTP,
]
STREAM_BREAKS = [
    Fault.CUT_BEFORE_EVENT,
    Fault.CUT_WITHIN_EVENT,
    Fault.CUT_AFTER_EVENT,
    Fault.ENDS_WITHIN_EVENT,
    Fault.RESET_BEFORE_HEAD,
]


def runs_of(replicas: list[FakeReplica]) -> Counter[str]:
    """Return how often each request ran, over all replicas."""
    return Counter(run.id for replica in replicas for run in replica.runs)


def inject_fault_once(site: Machines, fault: Fault) -> list[FakeReplica]:
    """Let every plain replica inject a fault into its next request; return the replicas."""
    replicas = replicas_of(site, PLAIN_SERVICE)
    for replica in replicas:
        replica.faults.append(fault)
    return replicas


async def ask_until_used(
    site: Machines, replica: FakeReplica, path: str, body: bytes = b"hello"
) -> list[Reply]:
    """Send requests until a replica has used up its faults; return the replies.

    How many requests that takes varies, since entries pick replicas partly at random.
    """
    replies: list[Reply] = []
    with trio.fail_after(20):
        while replica.faults:
            replies.append(await ask(site.callers("entry0"), path, body))
    return replies


def is_own_complete_answer(reply: Reply, body: bytes) -> bool:
    """Return whether a caller got its own answer, complete and sealed."""
    own = reply.headers.get(names.REQUEST_ID) == reply.id
    return reply.status == 200 and reply.whole and reply.sealed and own and reply.body == body


@pytest.mark.parametrize("fault", RAN_AND_LOST)
async def test_a_non_repeatable_request_runs_once_and_is_never_reported_as_not_run(
    tmp_path: Path, fault: Fault
) -> None:
    async with small_site(tmp_path) as site:
        replicas = inject_fault_once(site, fault)
        reply = await ask(site.callers("entry0"), "/once/x")
        assert runs_of(replicas)[reply.id] == 1
        assert reply.status == 502, reply
        assert not reply.sealed


@pytest.mark.parametrize("fault", RAN_AND_LOST)
async def test_a_repeatable_request_is_retried_at_another_replica(
    tmp_path: Path, fault: Fault
) -> None:
    async with small_site(tmp_path) as site:
        replicas = replicas_of(site, PLAIN_SERVICE)
        replicas[0].faults.append(fault)
        replies = await ask_until_used(site, replicas[0], "/again/x", b"body!")
        assert all(is_own_complete_answer(reply, b"body!") for reply in replies), replies
        assert max(runs_of(replicas).values()) == 2


async def test_a_request_refused_without_running_is_retried_at_another_replica(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path) as site:
        replicas = replicas_of(site, PLAIN_SERVICE)
        replicas[0].faults.append(Fault.SHED)
        replies = await ask_until_used(site, replicas[0], "/once/x", b"b")
        assert all(is_own_complete_answer(reply, b"b") for reply in replies)
        assert max(runs_of(replicas).values()) == 1


async def test_a_request_that_every_replica_refused_is_reported_as_not_run(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path) as site:
        replicas = replicas_of(site, PLAIN_SERVICE)
        for replica in replicas:
            replica.draining = True  # it refuses, but is still listed as ready
        reply = await ask(site.callers("entry0"), "/once/x")
        assert reply.status == 503
        assert float(reply.headers[names.RETRY_AFTER]) > 0
        assert not runs_of(replicas)


async def test_a_failure_answered_by_a_replica_is_forwarded_with_its_seal(tmp_path: Path) -> None:
    async with small_site(tmp_path) as site:
        inject_fault_once(site, Fault.ERROR)
        once = await ask(site.callers("entry0"), "/once/x")
        assert (once.status, once.sealed) == (500, True)
        for replica in replicas_of(site, PLAIN_SERVICE):
            replica.faults.clear()
            replica.faults.append(Fault.ERROR)
        again = await ask(site.callers("entry0"), "/again/x")
        assert (again.status, again.sealed) == (500, True)


async def test_an_answer_without_a_length_that_ends_properly_is_complete(tmp_path: Path) -> None:
    async with small_site(tmp_path, plain=1) as site:
        inject_fault_once(site, Fault.UNFRAMED)
        reply = await ask(site.callers("entry0"), "/once/x", b"to the end")
        assert is_own_complete_answer(reply, b"to the end")
        assert "connection" not in reply.headers


async def test_bytes_after_a_complete_answer_never_reach_another_caller(tmp_path: Path) -> None:
    async with small_site(tmp_path, plain=1) as site:
        replica = replicas_of(site, PLAIN_SERVICE)[0]
        replica.faults.extend([Fault.EXTRA_ANSWER] * 5)
        for number in range(10):
            body = b"body %d" % number
            reply = await ask(site.callers("entry0"), "/again/x", body)
            assert is_own_complete_answer(reply, body)


@pytest.mark.parametrize("fault", STREAM_BREAKS)
async def test_a_resumable_stream_is_resumed_at_another_replica_without_gap_or_duplicate(
    tmp_path: Path, fault: Fault
) -> None:
    async with small_site(tmp_path) as site:
        replicas = replicas_of(site, MODEL_SERVICE)
        replicas[0].faults.append(fault)
        for reply in await ask_until_used(site, replicas[0], "/stream/x"):
            assert reply.status == 200 and reply.whole and reply.sealed
            assert reply.events == [0, 1, 2, 3], (fault, reply.body)
        assert max(runs_of(replicas).values()) == 2


@pytest.mark.parametrize("fault", [Fault.CUT_WITHIN_EVENT, Fault.CUT_AFTER_EVENT])
async def test_a_non_repeatable_stream_is_aborted_and_does_not_look_complete(
    tmp_path: Path, fault: Fault
) -> None:
    async with small_site(tmp_path, models=1) as site:
        replicas = replicas_of(site, MODEL_SERVICE)
        replicas[0].faults.append(fault)
        reply = await ask(site.callers("entry0"), "/strict/x")
        assert not reply.whole
        assert runs_of(replicas)[reply.id] == 1


async def test_a_stalled_stream_is_resumed_at_another_replica(tmp_path: Path) -> None:
    async with small_site(tmp_path) as site:
        for replica in replicas_of(site, MODEL_SERVICE):
            replica.faults.append(Fault.STALL)
        reply = await ask(site.callers("entry0"), "/stream/x", deadline_ms=6000)
        # The second attempt stalls too, so the stream is not completed in time.
        assert not reply.whole
        runs = runs_of(replicas_of(site, MODEL_SERVICE))
        assert runs[reply.id] == 2
        replies = [await ask(site.callers("entry0"), "/stream/x") for _ in range(2)]
        assert all(r.whole and r.events == [0, 1, 2, 3] for r in replies)


async def test_a_stream_is_resumed_after_the_last_event_that_its_caller_names(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path) as site:
        reply = await ask(site.callers("entry0"), "/stream/x", headers=[(names.RESUME_AFTER, "1")])
        assert reply.events == [2, 3]


async def test_a_caller_that_disconnects_cancels_its_request_at_the_replica(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=1) as site:
        replica = replicas_of(site, MODEL_SERVICE)[0]
        replica.event_seconds = 0.3
        with trio.move_on_after(0.6):
            await ask(site.callers("entry0"), "/stream/x")
        with trio.fail_after(3):
            while not replica.cancelled:
                await trio.sleep(0.01)


async def test_the_time_that_is_left_is_forwarded(tmp_path: Path) -> None:
    async with small_site(tmp_path, plain=1) as site:
        replica = replicas_of(site, PLAIN_SERVICE)[0]
        await ask(site.callers("entry0"), "/once/x", deadline_ms=2500)
        assert 0 < int(replica.runs[0].headers[names.DEADLINE_MS]) <= 2500
        await ask(site.callers("entry0"), "/once/x", deadline_ms=60_000)
        assert int(replica.runs[1].headers[names.DEADLINE_MS]) <= 4000


async def test_at_the_time_limit_of_the_route_the_caller_is_answered_at_once(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, plain=1) as site:
        replica = replicas_of(site, PLAIN_SERVICE)[0]
        replica.faults.append(Fault.SILENT)
        reply = await ask(site.callers("entry0"), "/once/x", deadline_ms=700)
        assert reply.status == 504
        assert replica.cancelled == [reply.id]


async def test_a_replica_s_name_and_the_team_are_set_by_the_system_alone(tmp_path: Path) -> None:
    async with small_site(tmp_path, plain=1) as site:
        replica = replicas_of(site, PLAIN_SERVICE)[0]
        forged = [
            (names.TENANT, "somebody"),
            (names.EXPECT_INSTANCE, "another"),
            (names.EXPECT_VERSION, "7"),
            (names.PRIORITY, "0"),
        ]
        await ask(site.callers("entry0"), "/once/x", headers=forged)
        run = replica.runs[0]
        assert run.headers[names.TENANT] == "team-1"
        assert run.headers[names.EXPECT_INSTANCE] == replica.id
        assert run.headers[names.PRIORITY] == "2"
        assert names.KEY not in run.headers and names.EXPECT_VERSION not in run.headers


async def test_an_address_that_another_replica_has_now_runs_nothing(tmp_path: Path) -> None:
    async with small_site(tmp_path, plain=1) as site:
        replica = replicas_of(site, PLAIN_SERVICE)[0]
        listed = site.replicas[replica.id]
        site.crash_replica(listed)
        stranger = FakeReplica("i-stranger")
        listeners = await trio.open_tcp_listeners(listed.address.port, host=listed.ip)
        site.nursery.start_soon(trio.serve_listeners, stranger.serve_connection, listeners)
        reply = await ask(site.callers("entry0"), "/once/x")
        assert reply.status == 503
        assert not stranger.runs


async def test_a_stream_that_pauses_is_waited_for_while_no_other_replica_could_go_on_with_it(
    tmp_path: Path,
) -> None:
    """Guards against abandoning a stream after 1.1 s when no other replica could resume it."""
    async with small_site(tmp_path, models=1, plain=0) as site:
        replica = replicas_of(site, MODEL_SERVICE)[0]
        replica.events = 3  # the route gives 4 s
        replica.event_seconds = 1.08 * STREAM_SILENCE_SECONDS
        reply = await ask(site.callers("entry0"), "/stream/x")
        assert reply.whole and reply.events == [0, 1, 2]
        assert len(replica.runs) == 1


async def test_of_streams_that_pause_together_only_those_with_a_retry_are_moved(
    tmp_path: Path,
) -> None:
    """Guards against streams that abandon replicas behind a full link without a retry left."""
    async with small_site(tmp_path, models=3, plain=0) as site:
        for replica in replicas_of(site, MODEL_SERVICE):
            replica.events = 2
            replica.event_seconds = 1.08 * STREAM_SILENCE_SECONDS
        replies: list[Reply] = []

        async def stream() -> None:
            replies.append(await ask(site.callers("entry0"), "/stream/x"))

        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(stream)
        assert all(reply.whole for reply in replies), replies
        retries = (await site.state("entry0"))["retries"]
        assert 0 < retries["spent"] <= 4


async def test_a_broken_stream_waits_for_a_slot_to_be_resumed(tmp_path: Path) -> None:
    async with small_site(tmp_path, plain=0) as site:
        replicas = replicas_of(site, MODEL_SERVICE)
        for replica in replicas:
            replica.slots = 1
            replica.event_seconds = 0.15
            site.list_replica(site.replicas[replica.id])
        with trio.fail_after(10):
            while any(row["slots"] != 1 for row in (await site.state("entry0"))["replica_states"]):
                await trio.sleep(0.02)
        replies: list[Reply] = []

        async def stream() -> None:
            replies.append(await ask(site.callers("entry0"), "/stream/x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream)
            with trio.fail_after(5):
                while not any(replica.active for replica in replicas):
                    await trio.sleep(0.005)
            idle = next(replica for replica in replicas if not replica.active)
            idle.faults.append(Fault.CUT_WITHIN_EVENT)
            nursery.start_soon(stream)
        assert all(r.whole and r.events == [0, 1, 2, 3] for r in replies), replies


async def test_an_incarnation_that_another_answers_for_is_not_asked_again(tmp_path: Path) -> None:
    """Guards against refusals after three attempts at replicas that were replaced."""
    async with small_site(tmp_path, models=0, plain=4) as site:
        # A new entry has a budget of one retry; each request that it serves earns part of another.
        for _ in range(20):
            assert (await ask(site.callers("entry0"), "/once/x")).status == 200
        gone = [site.replicas[replica.id] for replica in replicas_of(site, PLAIN_SERVICE)[:3]]
        strangers = []
        for listed in gone:
            site.crash_replica(listed)
            stranger = FakeReplica(f"i-new-{listed.ip}")
            strangers.append(stranger)
            await trio.testing.wait_all_tasks_blocked()
            listeners = await trio.open_tcp_listeners(listed.address.port, host=listed.ip)
            site.nursery.start_soon(trio.serve_listeners, stranger.serve_connection, listeners)
        for _ in range(20):
            assert (await ask(site.callers("entry0"), "/once/x")).status == 200
            await trio.sleep(0.03)  # in total longer than the back-off from a full replica
        assert all(stranger.arrivals <= 1 for stranger in strangers)


@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
async def test_a_request_that_reached_no_replica_is_reported_as_not_run(
    tmp_path: Path, path: str
) -> None:
    async with small_site(tmp_path, models=0) as site:
        for listed in site.replicas.values():
            site.crash_replica(listed)
        reply = await ask(site.callers("entry0"), path)
        assert reply.status == 503
        assert float(reply.headers[names.RETRY_AFTER]) > 0
        assert reply.headers["headcross-verdict"] == "not-run"


@pytest.mark.parametrize("fault", [Fault.STALL, Fault.CUT_AFTER_EVENT])
async def test_a_stream_that_is_broken_off_ends_with_one_line_and_one_count(
    tmp_path: Path, fault: Fault
) -> None:
    async with small_site(tmp_path, models=1) as site:
        replica = replicas_of(site, MODEL_SERVICE)[0]
        replica.faults.append(fault)
        reply = await ask(site.callers("entry0"), "/strict/x", deadline_ms=3000)
        assert reply.status == 200 and not reply.whole
        await trio.sleep(0.3)  # until the log is written
        ends = ("completed", "refused", "caller gone")
        lines = [line for line in site.log("entry0") if line.get("request") == reply.id]
        assert [line["message"] for line in lines if line["message"] in ends] == ["refused"]
        counts = (await site.state("entry0"))["requests"]
        assert counts == {"may-have-run stream-broken": 1}
