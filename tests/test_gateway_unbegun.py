"""Tests of the withdrawal of attempts that replicas have not begun when weights expire."""

import pytest
import trio
import trio.testing
from headcross_base.addresses import Address
from headcross_base.monotonic import monotonic
from headcross_facts.facts import VersionNotice
from headcross_gateway.attempts import Attempts, AttemptTimeouts
from headcross_gateway.linkproofs import LinkProofs
from headcross_gateway.outcomes import DidNotRun, Outcome
from headcross_gateway.replicastate import LoadReport, ReplicaState
from headcross_gateway.unbegun import UnbegunAttempts
from headcross_gateway.weightsrules import SEND_MARGIN_SECONDS, WITHDRAWAL_MARGIN_SECONDS
from headcross_platform.dialect import PlatformDialect
from headcross_ports.published import LoadedModel, Replica
from headcross_ports.requests import HandOver, RequestFacts
from headcross_wire.bodymemory import AnswerMemory
from headcross_wire.httpcodec import Answer, Headers
from headcross_wire.httprequest import Request
from headcross_wire.peermessages import ReplicaLoad
from msgspec.structs import replace

from testing.platformloads import with_platform_loads
from tests.test_gateway_rules import rules

BOUND_SECONDS = 8.0  # of the rules under test


def state_of(version: int) -> ReplicaState:
    """Return the state of a replica that holds a version of the model."""
    address = Address("127.0.0.1", 1)
    replica = Replica("i", "lm", address, "z", 8, False, (LoadedModel("m", version),))
    return with_platform_loads(ReplicaState(replica))


@pytest.fixture(autouse=True)
def use_trio_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the product use trio's clock, which jumps ahead when all tasks wait."""
    for module in ("weightsrules", "replicastate", "health", "waittimes"):
        monkeypatch.setattr(f"headcross_gateway.{module}.monotonic", trio.current_time)


async def seconds_until_withdrawn(unbegun: UnbegunAttempts, replica: ReplicaState) -> float:
    """Return how many seconds an attempt may wait for its replica, at most 100."""
    started_at = trio.current_time()
    with unbegun.waiting("m", replica), trio.move_on_after(100):
        await trio.sleep_forever()
    return trio.current_time() - started_at


async def test_an_attempt_that_has_not_begun_is_withdrawn_shortly_before_its_bound(
    autojump_clock: trio.testing.MockClock,
) -> None:
    weights_rules = rules([VersionNotice(2, trio.current_time(), False)])
    unbegun = UnbegunAttempts(weights_rules)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(unbegun.run)
        seconds = await seconds_until_withdrawn(unbegun, state_of(1))
        assert seconds == pytest.approx(BOUND_SECONDS - WITHDRAWAL_MARGIN_SECONDS, abs=0.01)
        assert SEND_MARGIN_SECONDS > WITHDRAWAL_MARGIN_SECONDS
        # One that is assigned even later, because of old reports, is withdrawn at once.
        assert await seconds_until_withdrawn(unbegun, state_of(1)) < 0.01
        assert await seconds_until_withdrawn(unbegun, state_of(2)) == pytest.approx(100)
        assert unbegun.withdrawn == 2
        nursery.cancel_scope.cancel()


async def test_each_of_two_successive_versions_expires_at_its_own_bound(
    autojump_clock: trio.testing.MockClock,
) -> None:
    now = trio.current_time()
    weights_rules = rules([VersionNotice(2, now, False), VersionNotice(3, now + 2, False)])
    unbegun = UnbegunAttempts(weights_rules)
    seconds_by_version: dict[int, float] = {}

    async def wait(version: int) -> None:
        seconds_by_version[version] = await seconds_until_withdrawn(unbegun, state_of(version))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(unbegun.run)
        async with trio.open_nursery() as waiting:
            for version in (1, 2, 3):
                waiting.start_soon(wait, version)
        nursery.cancel_scope.cancel()
    first = BOUND_SECONDS - WITHDRAWAL_MARGIN_SECONDS
    assert [seconds_by_version[version] for version in (1, 2, 3)] == pytest.approx(
        [first, first + 2, 100], abs=0.01
    )


async def test_late_news_of_a_version_withdraw_attempts_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    weights_rules = rules([])
    unbegun = UnbegunAttempts(weights_rules)
    # The facts use the real clock.
    async with trio.open_nursery() as nursery:
        nursery.start_soon(unbegun.run)
        nursery.start_soon(seconds_until_withdrawn, unbegun, state_of(1))
        await trio.testing.wait_all_tasks_blocked()
        long_ago = monotonic() - trio.current_time() + BOUND_SECONDS
        weights_rules.facts.record_named_version("m", 2, long_ago)
        await trio.testing.wait_all_tasks_blocked()
        assert unbegun.withdrawn == 1
        nursery.cancel_scope.cancel()


async def test_an_attempt_is_withdrawn_however_late_it_was_assigned(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """No attempt was waiting when the time of the next withdrawal was computed."""
    unbegun = UnbegunAttempts(rules([VersionNotice(2, trio.current_time(), False)]))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(unbegun.run)
        await trio.sleep(5)
        seconds = await seconds_until_withdrawn(unbegun, state_of(1))
        assert seconds == pytest.approx(BOUND_SECONDS - WITHDRAWAL_MARGIN_SECONDS - 5, abs=0.01)
        nursery.cancel_scope.cancel()


async def test_a_stale_list_does_not_revert_the_known_version_of_a_replica(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A daemon's report is valid for 1.5 s; then the list, which lags, shows the old version."""
    unbegun = UnbegunAttempts(rules([VersionNotice(2, trio.current_time(), False)]))
    replica = state_of(1)
    load = ReplicaLoad("127.0.0.1:1", 1, True, False, {"m": 2}, 0, 0, 0.0, 1.0, 1)
    replica.last_report = LoadReport(load, trio.current_time(), 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(unbegun.run)
        seconds = await seconds_until_withdrawn(unbegun, replica)
        assert replica.version_of("m") == 1
        assert seconds == pytest.approx(100)
        nursery.cancel_scope.cancel()


async def test_attempts_stay_at_a_replica_that_has_loaded_the_new_weights(
    autojump_clock: trio.testing.MockClock,
) -> None:
    unbegun = UnbegunAttempts(rules([VersionNotice(2, trio.current_time(), False)]))
    replica = state_of(1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(unbegun.run)

        async def load() -> None:
            await trio.sleep(5)
            replica.replica = state_of(2).replica

        nursery.start_soon(load)
        assert await seconds_until_withdrawn(unbegun, replica) == pytest.approx(100)
        nursery.cancel_scope.cancel()


async def test_an_attempt_withdrawn_before_its_request_was_sent_did_not_run(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    unbegun = UnbegunAttempts(rules([VersionNotice(2, trio.current_time(), False)]))
    replica = state_of(1)
    outcome, connection = await make_attempt(unbegun, replica, float("inf"), monkeypatch)
    assert isinstance(outcome, DidNotRun) and not outcome.arrived
    assert not connection.sent
    replica.record_outcome(outcome, version_required=False)
    assert not replica.health.failures and not replica.health.is_ejected()


async def test_an_attempt_withdrawn_with_its_connection_open_and_nothing_sent_did_not_run(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    unbegun = UnbegunAttempts(rules([VersionNotice(2, trio.current_time(), False)]))
    outcome, connection = await make_attempt(unbegun, state_of(1), BOUND_SECONDS, monkeypatch)
    assert isinstance(outcome, DidNotRun) and not outcome.arrived
    assert not connection.sent


async def test_nothing_is_sent_to_a_replica_that_starts_leaving_while_its_connection_opens(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The replica is chosen up to 0.6 s before the request is sent: a check then is too early."""
    leaving = state_of(1)
    unbegun = UnbegunAttempts(rules([]))

    async def drain() -> None:
        await trio.sleep(0.3)
        leaving.replica = replace(leaving.replica, draining=True)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(drain)
        outcome, connection = await make_attempt(unbegun, leaving, 0.5, monkeypatch)
    assert isinstance(outcome, DidNotRun) and not outcome.arrived
    assert not connection.sent


class OpenConnection:
    """A connection that records whether anything was sent on it."""

    def __init__(self) -> None:
        self.sent = False

    async def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Record a request, after a check for cancellation as a socket does."""
        await trio.lowlevel.checkpoint_if_cancelled()
        self.sent = True

    async def receive_answer(self) -> Answer:
        """Wait forever."""
        await trio.sleep_forever()
        raise AssertionError("unreachable")

    async def abandon(self) -> None:
        """Do nothing."""


async def make_attempt(
    unbegun: UnbegunAttempts,
    replica: ReplicaState,
    seconds: float,
    monkeypatch: pytest.MonkeyPatch,
) -> tuple[Outcome, OpenConnection]:
    """Make an attempt whose connection opens after `seconds`, also if cancelled; never if inf."""
    proofs = LinkProofs(rules([]), PlatformDialect())
    attempts = Attempts(PlatformDialect(), unbegun, proofs, AnswerMemory(1e9))
    connection = OpenConnection()

    async def take(address: Address, *, fresh: bool) -> OpenConnection:
        with trio.CancelScope(shield=seconds < float("inf")):
            await trio.sleep(seconds)
        return connection

    monkeypatch.setattr(attempts.connections, "take", take)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(unbegun.run)
        outcome = await attempts.make(
            Request("POST", "/", [], b""),
            RequestFacts("r", None, None, None, "m"),
            replica,
            HandOver("i", 20.0, None, None, None, None),
            AttemptTimeouts(1.6, 1.1),
            None,
            fresh=True,
        )
        nursery.cancel_scope.cancel()
    return outcome, connection
