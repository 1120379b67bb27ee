"""Tests which answers to orders show that a load was intact."""

from typing import Any, cast

import pytest
import trio
import trio.testing
from headcross_base.addresses import Address
from headcross_base.errors import Failure, Ok
from headcross_facts.facts import Facts
from headcross_facts.loadevidence import LoadStatus
from headcross_platform.store import MetadataStore
from headcross_ports.published import LoadedModel
from headcross_ports.replicas import OrderRefused, OrderTaken, ReplicaReport
from headcross_renewal import orders as orders_module
from headcross_renewal.indoubt import BAD_CHUNK_SECONDS
from headcross_renewal.orders import Load, Orders
from headcross_renewal.reporting import Reporter

ADDRESS = Address("10.0.0.1", 80)
GOAL = LoadedModel("m", 2)
BEFORE = ReplicaReport((LoadedModel("m", 1),), False, 0, 0, 0, 0, 1, 1.0, started_ms=7)
AFTER = ReplicaReport((GOAL,), False, 1, 0, 0, 0, 1, 1.0, started_ms=7)


class SlowLine:
    """A line on which the answer to an order takes some seconds."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    async def start(
        self, model: str, version: int, expected: ReplicaReport, *, break_off: bool
    ) -> Ok[OrderTaken | OrderRefused] | Failure:
        """Return after the delay that the replica has begun to load."""
        await trio.sleep(self._seconds)
        return Ok(OrderTaken(done=False))

    async def close(self) -> None:
        """Do nothing: the line holds no resources."""


@pytest.mark.parametrize(
    ("seconds", "status"),
    [
        (0.1, LoadStatus.CONFIRMED),
        (BAD_CHUNK_SECONDS - 0.1, LoadStatus.CONFIRMED),
        (BAD_CHUNK_SECONDS, LoadStatus.UNCONFIRMED),
        (10.0, LoadStatus.UNCONFIRMED),
    ],
)
async def test_an_answer_long_after_the_read_back_does_not_confirm_the_load(
    mock_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    seconds: float,
    status: LoadStatus,
) -> None:
    mock_clock.autojump_threshold = 0
    monkeypatch.setattr(orders_module, "monotonic", trio.current_time)
    replica = cast(Any, None)
    reporter = Reporter(ADDRESS, replica)
    reporter.confirmation.observe(BEFORE, trio.current_time())
    orders = Orders(str(ADDRESS), Facts(MetadataStore(ADDRESS)), replica, reporter)
    await trio.sleep(60.0)  # no put of an earlier process can take effect any more
    load = Load(GOAL, staging=replica, stored=replica, break_off=False)
    assert await orders._send(SlowLine(seconds), load, BEFORE, trio.current_time())
    reporter.confirmation.observe(AFTER, trio.current_time())
    assert reporter.confirmation.status is status
