"""Tests that a process that stops as planned ignores further stop requests."""

import signal
from pathlib import Path

import pytest

from testing.machines import small_site
from testing.stopcalls import SentSignal
from tests.test_callers_of_a_stop import (
    SITE_STOP_SECONDS,
    plain_fleet,
    stop_of_fleet_entry,
    stop_of_site_entry,
)


@pytest.mark.parametrize("second", [signal.SIGTERM, signal.SIGINT])
async def test_a_second_stop_request_changes_nothing_for_callers(
    tmp_path: Path, second: signal.Signals
) -> None:
    async with plain_fleet(tmp_path) as small:
        stop = stop_of_fleet_entry(small)
        moments = [0.05 * number for number in range(1, 60)]
        await stop.run([SentSignal(moment, second) for moment in moments])
        assert stop.process.returncode == 0
        assert stop.lost == []


async def test_a_second_stop_request_changes_nothing_for_callers_of_a_machines_entry(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=0) as site:
        stop = stop_of_site_entry(site)
        moments = [0.05 * number for number in range(1, 80)]
        await stop.run([SentSignal(moment, signal.SIGTERM) for moment in moments])
        assert stop.process.returncode == 0
        assert stop.lost == [] and stop.ended < SITE_STOP_SECONDS
