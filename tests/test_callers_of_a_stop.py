"""Tests that callers of a process that stops as planned are answered or refused as not run."""

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio
from headcross_base.verdicts import MAY_HAVE_RUN
from headcross_platform import names
from headcross_routing.requestmeta import (
    POOL_HEADER,
    REMAINING_HEADER,
    REPEATABLE_HEADER,
    REQUEST_HEADER,
    TEAM_HEADER,
    UPSTREAM_HEADER,
)

from testing.fleet import HTTP
from testing.machinelayout import HOST, KEY, PLAIN_SERVICE
from testing.machines import Machines, replicas_of, small_site
from testing.small import SERVICE_PATH, SmallFleet, small_fleet
from testing.stopcalls import CallRequest, Stop, freeze

# The entry of a small fleet accepts connections for 0.5 s after a stop was requested, the entry of
# a small site, whose stop may take 4 s, for 1.75 s.
FLEET_FREEZES = [(0.3, 0.4), (0.45, 0.55), (0.4, 0.8), (0.2, 0.8), (0.3, 1.3), (0.9, 1.3)]
SITE_FREEZES = [(1.7, 1.8), (1.6, 1.9), (1.5, 2.2), (0.9, 1.2), (1.0, 2.9)]
# Callers that connect shortly before the end of accepting and send their requests later.
FLEET_LATE_CALLERS = [(0.45, 0.6), (0.3, 0.9), (0.45, 2.0)]
SITE_LATE_CALLERS = [(1.6, 0.6), (1.6, 1.2)]
SITE_STOP_SECONDS = 4.0


@asynccontextmanager
async def plain_fleet(directory: Path, entries: int = 1) -> AsyncIterator[SmallFleet]:
    async with small_fleet(directory, hosts=1, zones=1, plain=1, entries=entries) as small:
        yield small


def stop_of_fleet_entry(small: SmallFleet) -> Stop:
    """Return the stop of an entry, whose callers send requests that may run once."""

    def request_of(call_id: str) -> CallRequest:
        headers = [(TEAM_HEADER, "archive"), (REPEATABLE_HEADER, "no")]
        return CallRequest(SERVICE_PATH, headers, call_id.encode())

    process = small.fleet.nodes["entry0"].process
    assert process is not None
    return Stop(small.entry(), process, request_of)


def stop_of_site_entry(site: Machines, deadline_ms: int = 2500) -> Stop:
    """Return the stop of an entry, whose callers send requests that may run once."""

    def request_of(call_id: str) -> CallRequest:
        headers = [
            ("host", HOST),
            (names.REQUEST_ID, call_id),
            (names.DEADLINE_MS, str(deadline_ms)),
            (names.KEY, KEY),
        ]
        return CallRequest("/once/x", headers, call_id.encode())

    process = site.machines["entry0"].process
    assert process is not None
    return Stop(site.callers("entry0"), process, request_of)


def stop_of_daemon(small: SmallFleet) -> Stop:
    """Return the stop of an upstream's daemon, called as an entry calls it."""

    def request_of(call_id: str) -> CallRequest:
        headers = [
            (TEAM_HEADER, "archive"),
            (REQUEST_HEADER, call_id),
            (UPSTREAM_HEADER, "plain0-u"),
            (POOL_HEADER, "s"),
            (REMAINING_HEADER, "5"),
        ]
        return CallRequest(SERVICE_PATH, headers, call_id.encode())

    node = small.fleet.nodes["plain0"]
    assert node.process is not None
    return Stop(node.address(HTTP), node.process, request_of)


def check_refusals(stop: Stop, ran: set[str]) -> None:
    """Check that no request ran that was refused as not run."""
    assert not {call.id for call in stop.refused_unrun} & ran


def fleet_runs(small: SmallFleet) -> set[str]:
    plain = small.fleet.nodes["plain0"].plain
    assert plain is not None
    return {body.decode() for body in plain.bodies}


def site_runs(site: Machines) -> set[str]:
    return {
        run.body.decode() for replica in replicas_of(site, PLAIN_SERVICE) for run in replica.runs
    }


@pytest.mark.parametrize(("begin", "end"), FLEET_FREEZES)
async def test_callers_of_an_entry_frozen_while_it_stops_are_answered(
    tmp_path: Path, begin: float, end: float
) -> None:
    async with plain_fleet(tmp_path) as small:
        stop = stop_of_fleet_entry(small)
        await stop.run(freeze(begin, end))
        assert stop.process.returncode == 0
        assert stop.lost == []
        check_refusals(stop, fleet_runs(small))


@pytest.mark.parametrize(("begin", "end"), SITE_FREEZES)
async def test_callers_of_a_machines_entry_frozen_while_it_stops_are_answered(
    tmp_path: Path, begin: float, end: float
) -> None:
    async with small_site(tmp_path, models=0) as site:
        stop = stop_of_site_entry(site)
        await stop.run(freeze(begin, end))
        assert stop.process.returncode == 0
        assert stop.lost == []
        assert stop.ended < SITE_STOP_SECONDS
        check_refusals(stop, site_runs(site))


@pytest.mark.parametrize(("connect_at", "wait_seconds"), FLEET_LATE_CALLERS)
async def test_callers_that_send_their_request_late_are_answered(
    tmp_path: Path, connect_at: float, wait_seconds: float
) -> None:
    async with plain_fleet(tmp_path) as small:
        stop = stop_of_fleet_entry(small)
        await stop.run(steady=False, connect_at=[connect_at], wait_seconds=wait_seconds)
        assert stop.process.returncode == 0
        assert len(stop.calls) == 8 and stop.lost == []


@pytest.mark.parametrize(("connect_at", "wait_seconds"), SITE_LATE_CALLERS)
async def test_callers_that_send_their_request_late_to_a_machines_entry_are_answered(
    tmp_path: Path, connect_at: float, wait_seconds: float
) -> None:
    async with small_site(tmp_path, models=0) as site:
        stop = stop_of_site_entry(site)
        await stop.run(steady=False, connect_at=[connect_at], wait_seconds=wait_seconds)
        assert stop.process.returncode == 0
        assert len(stop.calls) == 8 and stop.lost == []
        assert stop.ended < SITE_STOP_SECONDS
        check_refusals(stop, site_runs(site))


@pytest.mark.parametrize(("begin", "end"), [(0.1, 0.4), (0.3, 0.9), (0.45, 0.65), (0.55, 0.75)])
async def test_entries_that_call_a_frozen_daemon_while_it_stops_are_refused_as_not_run(
    tmp_path: Path, begin: float, end: float
) -> None:
    async with plain_fleet(tmp_path) as small:
        stop = stop_of_daemon(small)
        await stop.run(freeze(begin, end))
        assert stop.process.returncode == 0
        assert stop.lost == []
        check_refusals(stop, fleet_runs(small))


async def test_entries_that_send_their_request_late_to_a_stopping_daemon_are_refused_as_not_run(
    tmp_path: Path,
) -> None:
    async with plain_fleet(tmp_path) as small:
        stop = stop_of_daemon(small)
        await stop.run(steady=False, connect_at=[0.3, 0.45], wait_seconds=0.9)
        assert stop.process.returncode == 0
        assert stop.lost == [] and len(stop.refused_unrun) == 16


async def test_a_stopping_entry_without_callers_ends_soon(tmp_path: Path) -> None:
    async with plain_fleet(tmp_path) as small:
        stop = stop_of_fleet_entry(small)
        with trio.fail_after(10):
            await stop.run(steady=False)
        assert stop.process.returncode == 0
        assert stop.ended < 0.5 + 1.0


async def test_a_request_that_outlasts_the_stop_of_an_entry_may_have_run(tmp_path: Path) -> None:
    async with plain_fleet(tmp_path) as small:
        entry, service = small.fleet.nodes["entry0"], small.fleet.nodes["plain0"].plain
        assert service is not None
        small.fleet.kill("entry0", signal.SIGTERM)
        await small.fleet.wait_exit("entry0")
        entry.spec.settings = "[stop]\nnotice_seconds = 0.5\nlimit_seconds = 2\n"
        small.fleet.start("entry0")
        await small.fleet.wait_settled()
        await small.fleet.wait_serving(small.text.digests["v1"], 1)
        service.answer_seconds = 30.0
        stop = stop_of_fleet_entry(small)
        await stop.run(steady=False, connect_at=[0.1], at_once=3)
        assert stop.process.returncode == 0 and stop.ended < 2 + 0.5
        assert [(call.status, call.verdict) for call in stop.calls] == [(504, MAY_HAVE_RUN)] * 3


async def test_a_request_that_outlasts_the_stop_of_a_machines_entry_may_have_run(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=0, plain=1) as site:
        (replica,) = replicas_of(site, PLAIN_SERVICE)
        replica.service_seconds = 30.0
        stop = stop_of_site_entry(site, deadline_ms=6000)
        await stop.run(steady=False, connect_at=[0.1], at_once=3)
        assert stop.process.returncode == 0 and stop.ended < SITE_STOP_SECONDS
        assert [(call.status, call.verdict) for call in stop.calls] == [(504, MAY_HAVE_RUN)] * 3
