"""Tests planned stops, reloads and restarts of processes on the machines."""

import signal
from pathlib import Path

import pytest
import trio
from headcross_wire.httpclient import connect
from headcross_wire.httpcodec import LinkLostError

from testing.machinecaller import Reply, ask
from testing.machinelayout import MODEL_SERVICE
from testing.machines import replicas_of, small_site


async def test_a_planned_stop_cuts_no_stream_off_and_ends_in_time(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=1, plain=0) as site:
        replicas_of(site, MODEL_SERVICE)[0].event_seconds = 0.3
        replies: list[Reply] = []

        async def stream() -> None:
            replies.append(await ask(site.callers("entry0"), "/stream/x"))

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(stream)
            with trio.fail_after(10):
                while replicas_of(site, MODEL_SERVICE)[0].active < 4:
                    await trio.sleep(0.01)
            site.signal("entry0", signal.SIGTERM)
            with trio.fail_after(3):
                while await site.ready("entry0"):
                    await trio.sleep(0.02)
            # Requests that still arrive are served, and the connection is closed after them.
            late = await ask(site.callers("entry0"), "/stream/x")
            assert late.whole and late.events == [0, 1, 2, 3]
            assert late.headers["connection"] == "close"
        assert all(reply.whole and reply.events == [0, 1, 2, 3] for reply in replies)
        assert await site.wait_exit("entry0") == 0
        messages = [line["message"] for line in site.log("entry0")]
        assert messages.index("stop requested") < messages.index("stopped")


async def test_an_idle_connection_is_closed_by_a_planned_stop_without_a_reset(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=0) as site:
        connection = await connect(site.callers("entry0"))
        await connection.send("GET", "/nowhere/", [("host", "a.example")], b"")
        await connection.receive_answer()
        while await connection.receive_piece() is not None:
            pass
        assert connection.has_no_input()
        site.signal("entry0", signal.SIGTERM)
        assert await site.wait_exit("entry0") == 0
        # The end of the connection is read as such; a reset would raise an error that says so.
        assert connection.reusable()
        await connection.send("GET", "/nowhere/", [("host", "a.example")], b"")
        with pytest.raises(LinkLostError) as lost:
            await connection.receive_answer()
        assert "reset" not in str(lost.value).lower()
        await connection.close()


@pytest.mark.parametrize("by_signal", [True, False])
async def test_changed_settings_are_read_and_invalid_ones_change_nothing(
    tmp_path: Path, by_signal: bool
) -> None:
    async with small_site(tmp_path, models=0) as site:
        path = tmp_path / "entry0.toml"
        good = path.read_text()
        path.write_text(good.replace('role = "entry"', 'role = "king"'))
        if by_signal:
            site.signal("entry0", signal.SIGHUP)

        async def wait_line(message: str) -> None:
            with trio.fail_after(10):
                while not any(line["message"] == message for line in site.log("entry0")):
                    await trio.sleep(0.03)

        await wait_line("settings rejected")
        assert (await ask(site.callers("entry0"), "/again/x")).status == 200
        path.write_text(good.replace("retry_slack = 100", "retry_slack = 90"))
        if by_signal:
            site.signal("entry0", signal.SIGHUP)
        await wait_line("settings read")
        assert (await ask(site.callers("entry0"), "/again/x")).status == 200


async def test_an_entry_killed_and_started_again_serves(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=1, daemons=True) as site:
        for name in ("entry0", "daemon0"):
            site.signal(name, signal.SIGKILL)
            await site.wait_exit(name)
            site.start(name)
        await site.wait_ready("entry0")
        assert (await ask(site.callers("entry0"), "/stream/x")).status == 200


async def test_an_entry_that_was_paused_serves_by_the_newest_facts(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0) as site:
        site.signal("entry0", signal.SIGSTOP)
        site.change(tenants=[{"name": "team-1", "api_keys": ["new-key"]}])
        site.change()
        await trio.sleep(1.5)
        site.signal("entry0", signal.SIGCONT)
        with trio.fail_after(10):
            while (await site.state("entry0")).get("configuration") != 3:
                await trio.sleep(0.03)
        assert (await ask(site.callers("entry0"), "/again/x", key="new-key")).status == 200


async def test_late_requests_in_a_planned_stop_are_answered_completely_or_refused_as_not_run(
    tmp_path: Path,
) -> None:
    """A stream that is accepted late, e.g. 3.7 s after the stop signal, must not be cut off."""
    async with small_site(tmp_path, models=1, plain=1) as site:
        replica = replicas_of(site, MODEL_SERVICE)[0]
        replica.event_seconds = 0.55
        replica.slots = 64
        site.list_replica(site.replicas[replica.id])
        replies: list[Reply] = []

        async def stream() -> None:
            replies.append(await ask(site.callers("entry0"), "/stream/x"))

        async with trio.open_nursery() as nursery:
            site.signal("entry0", signal.SIGTERM)
            process = site.machines["entry0"].process
            assert process is not None
            while process.poll() is None:
                nursery.start_soon(stream)
                await trio.sleep(0.1)
        ran = {run.id for run in replica.runs}
        assert not replica.cancelled
        for reply in replies:
            if reply.id in ran:
                assert reply.whole and reply.events == [0, 1, 2, 3], reply
            else:
                assert reply.status in (0, 503), reply
        assert any(reply.status == 503 for reply in replies)
