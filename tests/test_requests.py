"""Tests of requests: complete answers, correct verdicts, and at most one run by an engine."""

import json
from collections import Counter
from pathlib import Path

import trio
from headcross_routing.attempts import revoke

from testing.caller import Reply, check_tokens, generate, send
from testing.fleet import HTTP, wait_for
from testing.small import POOL_PATH, SERVICE_PATH, SmallFleet, small_fleet

NOT_REPEATABLE = [("headcross-repeatable", "no")]
REPEATABLE = [("headcross-repeatable", "yes")]
TOKENS = 40


def runs_of(small: SmallFleet, prompt: str) -> int:
    return sum(run.prompt == prompt for e in small.fleet.engines().values() for run in e.runs)


async def wait_run(small: SmallFleet, prompt: str) -> str:
    """Wait until an engine runs a prompt; return its host."""
    hosts: list[str] = []

    async def running() -> bool:
        for name, engine in small.fleet.engines().items():
            if any(run.prompt == prompt for run in engine.runs):
                hosts.append(name)
        return bool(hosts)

    await wait_for(running, f"{prompt} runs")
    return hosts[0]


async def generate_while(small: SmallFleet, headers: list[tuple[str, str]], act) -> Reply:  # type: ignore[no-untyped-def]  # noqa: ANN001
    """Request a stream and call `act` with the host that serves it; return the reply."""
    replies: list[Reply] = []

    async def ask() -> None:
        reply, _ = await generate(small.entry(), POOL_PATH, "p1", TOKENS, headers=headers)
        replies.append(reply)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await act(await wait_run(small, "p1"))
    return replies[0]


async def test_each_caller_gets_its_own_complete_answer(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, entries=2, plain=1) as small:
        digest = small.text.digests["v1"]

        async def ask(index: int) -> None:
            reply, prompt = await generate(small.entry(index % 2), POOL_PATH, tokens=index % 7)
            assert check_tokens(reply, prompt, index % 7, [digest]) == digest, reply
            body = f"body {index}".encode()
            reply = await send(small.entry(index % 2), SERVICE_PATH, body)
            assert (reply.status, reply.body) == (200, body)

        async with trio.open_nursery() as nursery:
            for index in range(60):
                nursery.start_soon(ask, index)


async def test_a_broken_stream_of_a_repeatable_request_resumes_elsewhere(tmp_path: Path) -> None:
    async with small_fleet(tmp_path) as small:
        for engine in small.fleet.engines().values():
            engine.break_after = 5
        reply, prompt = await generate(small.entry(), POOL_PATH, tokens=TOKENS, headers=REPEATABLE)
        digest = small.text.digests["v1"]
        assert check_tokens(reply, prompt, TOKENS, [digest]) == digest
        first_tokens = [r.first_token for e in small.fleet.engines().values() for r in e.runs]
        assert sorted(first_tokens)[:2] == [0, 5]


async def test_a_broken_stream_that_must_not_be_repeated_ends_in_a_plain_error(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path) as small:
        for engine in small.fleet.engines().values():
            engine.break_after = 5
        reply, prompt = await generate(
            small.entry(), POOL_PATH, tokens=TOKENS, headers=NOT_REPEATABLE
        )
        assert not reply.whole
        assert b"event: error" in reply.body
        assert b"may-have-run" in reply.body
        assert runs_of(small, prompt) == 1


async def test_a_killed_daemon_loses_no_repeatable_stream(tmp_path: Path) -> None:
    async with small_fleet(tmp_path) as small:

        async def act(host: str) -> None:
            small.fleet.kill(host)

        reply = await generate_while(small, REPEATABLE, act)
        digest = small.text.digests["v1"]
        assert check_tokens(reply, "p1", TOKENS, [digest]) == digest


async def test_a_killed_daemon_never_makes_a_request_run_twice(tmp_path: Path) -> None:
    async with small_fleet(tmp_path) as small:

        async def act(host: str) -> None:
            small.fleet.kill(host)

        reply = await generate_while(small, NOT_REPEATABLE, act)
        assert b"may-have-run" in reply.body
        assert runs_of(small, "p1") == 1


async def test_a_caller_that_leaves_cancels_its_stream_at_the_engine(tmp_path: Path) -> None:
    async with small_fleet(tmp_path) as small:
        with trio.move_on_after(0.5):
            await generate(small.entry(), POOL_PATH, "p1", 10_000, headers=REPEATABLE)
        engine = small.fleet.engines()[await wait_run(small, "p1")]

        async def cancelled() -> bool:
            return engine.cancelled == 1

        await wait_for(cancelled, "engine saw the cancel")


async def test_a_key_runs_once_over_both_entries_even_with_a_dead_entry(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, entries=2, settings=QUICK_LEDGER) as small:
        headers = [*NOT_REPEATABLE, ("idempotency-key", "k1"), ("headcross-resubmission", "no")]
        with trio.move_on_after(0.3):
            await generate(small.entry(0), POOL_PATH, "p1", 200, headers=headers)
        await wait_run(small, "p1")
        small.fleet.kill("entry0")
        resubmission = [*NOT_REPEATABLE, ("idempotency-key", "k1")]
        reply, _ = await generate(small.entry(1), POOL_PATH, "p1", 200, headers=resubmission)
        assert (reply.status, reply.code, reply.verdict) == (409, "duplicate-key", "may-have-run")
        assert runs_of(small, "p1") == 1


async def test_a_new_key_owner_refuses_a_possible_resubmission(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, settings="[ledger]\nremember_seconds = 600\n") as small:
        headers = [*NOT_REPEATABLE, ("idempotency-key", "k1")]
        reply, prompt = await generate(small.entry(), POOL_PATH, headers=headers)
        assert (reply.status, reply.code, reply.verdict) == (503, "ledger-young", "not-run")
        assert "retry-after" in reply.headers
        first_submission = [*headers, ("headcross-resubmission", "no")]
        reply, _ = await generate(small.entry(), POOL_PATH, prompt, headers=first_submission)
        assert reply.status == 200
        assert runs_of(small, prompt) == 1


async def test_a_request_refused_as_not_run_releases_its_key(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, settings=QUICK_LEDGER) as small:
        for engine in small.fleet.engines().values():
            engine.loaded = []
        headers = [*NOT_REPEATABLE, ("idempotency-key", "k1"), ("headcross-resubmission", "no")]
        reply, prompt = await generate(small.entry(), POOL_PATH, headers=headers)
        assert (reply.status, reply.verdict) == (503, "not-run")
        await small.fleet.wait_serving(small.text.digests["v1"], 3)
        reply, _ = await generate(small.entry(), POOL_PATH, prompt, headers=headers)
        assert reply.status == 200
        assert runs_of(small, prompt) == 1


async def test_a_revoked_request_is_never_handed_over(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=1, zones=1) as small:
        daemon = small.fleet.nodes["host0"].address(HTTP)
        incarnation = (await small.fleet.state("host0"))["incarnation"]
        assert await revoke(daemon, incarnation, "id1")
        headers = [
            ("headcross-request", "id1"),
            ("headcross-upstream", "host0-u"),
            ("headcross-pool", "p"),
            ("headcross-remaining-seconds", "5"),
        ]
        body = json.dumps({"prompt": "p1"}).encode()
        reply = await send(daemon, POOL_PATH, body, headers=headers)
        assert (reply.code, reply.verdict) == ("revoked", "not-run")
        assert runs_of(small, "p1") == 0
        # Conversely, a request that was handed over cannot be revoked.
        headers[0] = ("headcross-request", "id2")
        assert (await send(daemon, POOL_PATH, body, headers=headers)).status == 200
        assert not await revoke(daemon, incarnation, "id2")


async def test_a_restarted_daemon_promises_nothing_for_its_predecessor(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=1, zones=1) as small:
        incarnation = (await small.fleet.state("host0"))["incarnation"]
        small.fleet.kill("host0")
        await small.fleet.wait_exit("host0")
        small.fleet.start("host0")
        await small.fleet.wait_settled()
        # The request may have been handed over before the restart; the new process cannot know.
        assert not await revoke(small.fleet.nodes["host0"].address(HTTP), incarnation, "id1")


async def test_dead_upstreams_cost_at_most_a_fifth_more_attempts(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=4, zones=1) as small:
        for name in ("host0", "host1"):
            small.fleet.kill(name)
        statuses: Counter[int] = Counter()
        for _ in range(200):
            reply, _ = await generate(small.entry(), POOL_PATH, headers=REPEATABLE)
            statuses[reply.status] += 1
        state = await small.fleet.state("entry0")
        # An entry starts with twenty saved retries; see headcross_routing.retry.
        assert state["attempts"] <= 1.2 * 200 + 20
        assert statuses[200] >= 195, statuses


async def test_bad_input_gets_a_clear_refusal_and_the_entry_stays_up(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=1, zones=1) as small:
        cases = [
            (b"GARBAGE\r\n\r\n", 400, "bad-request"),
            (b"GET / HTTP/1.1\r\nhost: x\r\nx: " + b"y" * 70_000, 431, "headers-too-large"),
            (b"POST /v1/model HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n", 0, ""),
            (b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n", 404, "no-route"),
            (b"GET /v1/model HTTP/1.1\r\nhost: x\r\n\r\n", 403, "unknown-team"),
        ]
        for data, status, code in cases:
            stream = await trio.open_tcp_stream(small.entry().ip, small.entry().port)
            async with stream:
                await stream.send_all(data)
                await stream.send_eof()
                with trio.fail_after(10):
                    answer = b""
                    while piece := await stream.receive_some():
                        answer += piece
            if status:
                assert answer.startswith(f"HTTP/1.1 {status}".encode()), (data[:40], answer)
                assert code.encode() in answer
        reply = await send(small.entry(), POOL_PATH, b"x" * (9 << 20))
        assert (reply.status, reply.code) in ((413, "body-too-large"), (0, ""))
        assert (await generate(small.entry(), POOL_PATH))[0].status == 200


async def test_a_team_over_its_limit_is_refused_with_a_retry_after(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=1, zones=1) as small:
        small.text.teams += "\n[teams.small]\nrequests_per_second = 0.5\nburst = 2"
        revision = small.fleet.publish_fleet(str(small.text))
        await small.fleet.wait_revision(revision)
        replies = [
            await send(small.entry(), POOL_PATH, b'{"prompt": "p"}', team="small")
            for _ in range(4)
        ]
        assert [reply.status for reply in replies[:2]] == [200, 200], replies
        assert (replies[3].status, replies[3].code) == (429, "team-limit")
        assert int(replies[3].headers["retry-after"]) >= 1
        assert (await generate(small.entry(), POOL_PATH))[0].status == 200


async def test_callers_that_do_not_read_block_no_others_and_use_bounded_memory(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path, hosts=1, zones=1) as small:
        for engine in small.fleet.engines().values():
            engine.token_seconds = 0
        before = resident_bytes(small)
        body = json.dumps({"prompt": "p", "max_tokens": 300_000}).encode()
        head = f"POST {POOL_PATH} HTTP/1.1\r\nhost: x\r\nheadcross-team: archive\r\n"
        head += f"content-length: {len(body)}\r\n\r\n"
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                stream = await trio.open_tcp_stream(small.entry().ip, small.entry().port)
                nursery.start_soon(hold_open, stream)
                await stream.send_all(head.encode() + body)
            for _ in range(30):
                assert (await generate(small.entry(), POOL_PATH))[0].status == 200
            assert resident_bytes(small) - before < 30 << 20
            nursery.cancel_scope.cancel()


async def hold_open(stream: trio.SocketStream) -> None:
    """Keep a connection open without reading from it."""
    async with stream:
        await trio.sleep_forever()


def resident_bytes(small: SmallFleet) -> int:
    """Return the resident memory of the entry and the daemon together."""
    total = 0
    for name in ("entry0", "host0"):
        process = small.fleet.nodes[name].process
        assert process is not None
        total += int(Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * 4096
    return total


QUICK_LEDGER = "[ledger]\nremember_seconds = 60\n"
