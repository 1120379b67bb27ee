"""Tests that an unexpected exception in a background task ends no process."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio
import trio.testing
from headcross_base.addresses import Address
from headcross_base.supervision import keep_running, task_failures
from headcross_wire.peermessages import AskPlan, KnownMirrors, PeerMessage
from headcross_wire.peernode import IncomingMessage, PeerNode

from testing.machinecaller import Reply, ask
from testing.machinelayout import MODEL_SERVICE
from testing.machines import Machines, replicas_of, small_site
from testing.raising import write_program

WAIT_SECONDS = 30.0
FAILING_SECONDS = 2.5
PATHS = ("/again/x", "/once/x", "/stream/x", "/strict/x")

# What raises in both roles, and in each of them.
FUNCTIONS = [
    "headcross_facts.facts.Facts take_changes",
    "headcross_facts.facts.Facts _take_item",
    "headcross_facts.facts.Facts take_listing",
    "headcross_facts.following.Follower _make_call",
    "headcross_facts.peerfacts.PeerFacts answer_revision",
    "headcross_daemon.machineprocess.MachineProcess _known_peers",
    "headcross_daemon.machineprocess.MachineProcess _handle",
    "headcross_daemon.machineprocess read_machine_settings",
    "headcross_wire.peernode encode",
    "headcross_wire.peernode decode",
    "headcross_daemon.gatewayrole.GatewayRole _apply_facts",
    "headcross_daemon.gatewayrole.GatewayRole _subscriptions",
    "headcross_daemon.gatewayrole.GatewayRole _handle_message",
    "headcross_daemon.entrynews.EntryNews send_refused",
    "headcross_daemon.entrynews.EntryNews send_replica_news",
    "headcross_daemon.entrynews.EntryNews repeat_news",
    "headcross_daemon.loadinquiry.LoadInquiry _ask",
    "headcross_gateway.overload.Overload measure",
    "headcross_gateway.containment.Containment update",
    "headcross_gateway.directory.Directory update",
    "headcross_gateway.directory.Directory record_report",
    "headcross_gateway.unbegun.UnbegunAttempts _withdraw",
    "headcross_renewal.mirroring.Mirror _goals",
    "headcross_renewal.mirroring.Mirror _mirror",
    "headcross_renewal.reporting.Reporter refresh",
    "headcross_renewal.goalchoice.GoalSelector choose",
    "headcross_renewal.renewer.Renewer _update_to",
    "headcross_renewal.fetching.Fetcher fetch",
    "headcross_renewal.orders.Orders issue",
    "headcross_renewal.staging.Staging put",
    "headcross_renewal.loadverifier.LoadVerifier _verify",
    "headcross_renewal.digestregistry.DigestRegistry obtain",
    "headcross_weights.swarm.Swarm _handle",
    "headcross_weights.swarm.Swarm _send_announcements",
    "headcross_platform.store.MetadataStore watch",
    "headcross_platform.staged decode_report",
    "headcross_base.linelog.LineLog flush",
]


def change_settings(path: Path) -> None:
    """Change a settings file without an effect, so that it is read again."""
    path.write_text(path.read_text() + "\n")


async def ask_all_the_time(site: Machines, replies: list[Reply]) -> None:
    """Send requests of all kinds one after another."""
    while True:
        for path in PATHS:
            replies.append(await ask(site.callers("entry0"), path))
        await trio.sleep(0.05)


@pytest.mark.parametrize("function", FUNCTIONS)
async def test_no_process_ends_while_a_function_raises(tmp_path: Path, function: str) -> None:
    owner, name = function.split()
    marker = tmp_path / "raise"
    program = write_program(tmp_path, owner, name, marker)
    async with small_site(tmp_path, entries=2, daemons=True, named=1, program=program) as site:
        replies: list[Reply] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_all_the_time, site, replies)
            await trio.sleep(0.3)
            marker.touch()
            site.name_version(2)
            for machine in site.machines:  # a changed file is read again
                change_settings(tmp_path / f"{machine}.toml")
            await trio.sleep(FAILING_SECONDS)
            marker.unlink()
            assert_all_run(site)
            site.name_version(3)
            with trio.fail_after(WAIT_SECONDS):
                while {r.version for r in replicas_of(site, MODEL_SERVICE)} != {3}:
                    assert_all_run(site)
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        assert_all_run(site)
        assert all(reply.status != 0 for reply in replies), replies
        for path in PATHS:
            await wait_served(site, path)


async def wait_served(site: Machines, path: str) -> None:
    """Wait until a request is answered; failed tasks run again after pauses of some seconds."""
    with trio.fail_after(WAIT_SECONDS):
        while (await ask(site.callers("entry0"), path)).status != 200:
            await trio.sleep(0.1)


def assert_all_run(site: Machines) -> None:
    """Check that no process has ended since it was started."""
    assert {m.process.poll() for m in site.machines.values() if m.process is not None} == {None}


async def test_a_failed_task_runs_again_after_growing_pauses(
    autojump_clock: trio.testing.MockClock,
) -> None:
    starts: list[float] = []

    async def fail_four_times() -> None:
        starts.append(trio.current_time())
        if len(starts) <= 4:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep, 0)
                raise OverflowError

    before = task_failures["test"]
    await keep_running("test", fail_four_times)
    pauses = [round(b - a, 3) for a, b in zip(starts, starts[1:], strict=False)]
    assert pauses == [0.1, 0.2, 0.4, 0.8]
    assert task_failures["test"] == before + 4


async def test_a_supervised_task_can_be_cancelled() -> None:
    with trio.move_on_after(0.05) as scope:
        await keep_running("test", trio.sleep_forever)
    assert scope.cancelled_caught


async def test_a_task_that_cannot_be_run_ends_the_process() -> None:
    async def stop() -> None:
        raise SystemExit(3)

    with pytest.raises(SystemExit):
        await keep_running("test", stop)


async def run_node(
    use: Callable[[PeerNode, PeerNode], Awaitable[None]], handled: list[PeerMessage]
) -> None:
    """Run two nodes, of which the second one's handler raises for one kind of message."""

    def handle(incoming: IncomingMessage) -> None:
        handled.append(incoming.message)
        if isinstance(incoming.message, KnownMirrors):
            raise ZeroDivisionError

    first = PeerNode(Address("127.0.0.1", 0), lambda _: None)
    second = PeerNode(Address("127.0.0.1", 0), handle)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        nursery.start_soon(second.run)
        await trio.testing.wait_all_tasks_blocked()
        await use(first, second)
        nursery.cancel_scope.cancel()


async def test_a_message_whose_handler_raises_costs_only_itself() -> None:
    handled: list[PeerMessage] = []

    async def use(first: PeerNode, second: PeerNode) -> None:
        with trio.fail_after(WAIT_SECONDS):
            while not first.send(second.address, KnownMirrors([])):
                await trio.sleep(0.02)
            while AskPlan() not in handled:
                first.send(second.address, AskPlan())
                await trio.sleep(0.02)
        assert second.failed == 1

    await run_node(use, handled)


@pytest.mark.parametrize(
    "ip", ["", "nowhere.invalid", "10.0.0.1;tcp://10.0.0.2", "*", "\0", "::1%x"]
)
async def test_no_message_is_sent_to_an_address_that_is_none(ip: str) -> None:
    handled: list[PeerMessage] = []

    async def use(first: PeerNode, second: PeerNode) -> None:
        assert not first.send(Address(ip, 7000), AskPlan())
        assert not first.send(Address("10.0.0.1", 10**6), AskPlan())
        with trio.fail_after(WAIT_SECONDS):
            while not handled:
                first.send(second.address, AskPlan())
                await trio.sleep(0.02)

    await run_node(use, handled)
