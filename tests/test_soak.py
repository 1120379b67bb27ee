"""Runs a short soak with a fixed seed, and tests its proxies and how it judges answers."""

import hashlib
import random
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from socket import SO_LINGER, SOL_SOCKET

import pytest
import trio
from headcross_base.addresses import Address
from headcross_platform import names
from headcross_wire.httpcodec import Answer

from bench.soak.actions import ActionKind
from bench.soak.badrequests import BadForm, BadRequest, compose
from bench.soak.bounds import BOUNDS
from bench.soak.coverage import measure_coverage
from bench.soak.exchange import Draft, judge
from bench.soak.findings import (
    find_answers_of_bad_loads,
    find_bad_answers,
    find_mixed_loads,
    find_unrequested_runs,
)
from bench.soak.plan import draw_plan
from bench.soak.proxies import LinkFault, LinkFaults, LinkKind, Proxy
from bench.soak.record import (
    CallerRequest,
    ConfigurationPublished,
    Disturbance,
    PlannedStop,
    Record,
    RequestKind,
    RouteProbe,
    VersionNamed,
)
from bench.soak.report import to_line, write_details
from bench.soak.runner import run_soak
from bench.soak.sizes import Sizes
from testing.platformreplica import FakeReplica, Run

# The plan of this seed has kills, pauses, link faults, replicas with faulty answers, store faults,
# a replica that leaves and a planned stop.
SEED = 1449
SECONDS = 45.0
SIZES = Sizes(entries=2, models=3, plain=2, zones=2)
CALLER_IP = "127.0.0.1"


async def test_a_short_soak_breaks_no_promise(tmp_path: Path) -> None:
    print(f"soak seed {SEED}, logs in {tmp_path}")
    result = await run_soak(draw_plan(SEED, SECONDS, sizes=SIZES), tmp_path)
    write_details(result, tmp_path)
    line = to_line(result)
    print(line)
    assert not result.violations and not result.findings, line["first"]
    expected = {ActionKind.KILL, ActionKind.PAUSE, ActionKind.STOP, ActionKind.STORE_MOOD}
    expected |= {ActionKind.REPLICA_FAULT, ActionKind.DRAIN, ActionKind.NAME_VERSIONS}
    assert {kind.value for kind in expected} <= set(result.faults)
    assert any(kind.startswith("link") for kind in result.faults)
    served = {row.kind for row in result.summary.outcomes if row.outcome.value == "served"}
    assert served == set(RequestKind)
    assert len(result.record.requests) > 300 and len(result.record.probes) > 50
    assert any(probe.found for probe in result.record.probes)
    assert result.bad_requests.total() and result.starts > result.processes
    # Without judged events the soak shows nothing, for example if its own event loop was delayed.
    assert result.coverage.versions and result.coverage.old_starts, result.coverage
    assert result.coverage.configurations, result.coverage


# The proxies.


@dataclass
class Echo:
    """An echo server behind a proxy; keeps what it received and how connections ended."""

    links: LinkFaults
    public: Address
    proxy: Proxy
    private: Address
    received: bytes = b""
    ended: list[str] = field(default_factory=list)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Echo the bytes of one connection until it ends."""
        try:
            while data := await stream.receive_some():
                self.received += data
                await stream.send_all(data)
            self.ended.append("end")
        except trio.BrokenResourceError:
            self.ended.append("reset")

    async def connect(self) -> trio.SocketStream:
        """Connect through the proxy, as a caller."""
        return await trio.open_tcp_stream(
            self.public.ip, self.public.port, local_address=CALLER_IP
        )


@asynccontextmanager
async def proxied_echo() -> AsyncIterator[Echo]:
    """Run an echo server behind a proxy, in a separate block of IP addresses."""
    block = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
    public, private = Address(f"{block}.1", 7000), Address(f"{block}.2", 7000)
    links = LinkFaults()
    echo = Echo(links, public, Proxy(public, private, links), private)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(private.port, host=private.ip)
        nursery.start_soon(trio.serve_listeners, echo.serve, listeners)
        await echo.proxy.open(nursery)
        with trio.fail_after(20):
            yield echo
        nursery.cancel_scope.cancel()


def link_fault(
    echo: Echo, kind: LinkKind, amount: float = 0.0, *, back: bool = False
) -> LinkFault:
    """Return a fault of the link from the caller to the server, or `back` to the caller."""
    first, second = (echo.public.ip, CALLER_IP) if back else (CALLER_IP, echo.public.ip)
    return LinkFault(kind, frozenset({first}), frozenset({second}), amount)


async def receives_nothing(stream: trio.SocketStream) -> bool:
    with trio.move_on_after(0.3) as scope:
        await stream.receive_some()
    return scope.cancelled_caught


async def test_a_proxy_forwards_bytes_and_end_of_input() -> None:
    async with proxied_echo() as echo:
        async with await echo.connect() as stream:
            await stream.send_all(b"hello")
            assert await stream.receive_some() == b"hello"
            await stream.send_eof()
            assert await stream.receive_some() == b""
        assert echo.received == b"hello" and echo.ended == ["end"]


async def test_a_cut_holds_bytes_back_and_delivers_them_afterwards() -> None:
    async with proxied_echo() as echo, await echo.connect() as stream:
        with echo.links.active(link_fault(echo, LinkKind.CUT)):
            await stream.send_all(b"held")
            assert await receives_nothing(stream)
            assert echo.received == b""
        assert await stream.receive_some() == b"held"


async def test_a_cut_affects_open_connections() -> None:
    async with proxied_echo() as echo, await echo.connect() as stream:
        await stream.send_all(b"a")
        assert await stream.receive_some() == b"a"
        with echo.links.active(link_fault(echo, LinkKind.CUT)):
            await stream.send_all(b"b")
            assert await receives_nothing(stream)
            assert echo.received == b"a"
        assert await stream.receive_some() == b"b"


async def test_silence_blocks_one_direction_only() -> None:
    async with proxied_echo() as echo, await echo.connect() as stream:
        await stream.send_all(b"a")
        assert await stream.receive_some() == b"a"
        with echo.links.active(link_fault(echo, LinkKind.SILENCE, back=True)):
            await stream.send_all(b"b")
            assert await receives_nothing(stream)
            assert echo.received == b"ab"
        assert await stream.receive_some() == b"b"


async def test_held_bytes_are_lost_if_their_sender_resets() -> None:
    async with proxied_echo() as echo:
        stream = await echo.connect()
        await stream.send_all(b"a")
        assert await stream.receive_some() == b"a"
        with echo.links.active(link_fault(echo, LinkKind.CUT)):
            await stream.send_all(b"lost")
            await trio.sleep(0.1)
            stream.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            await trio.aclose_forcefully(stream)
            await trio.sleep(0.1)
            assert not echo.ended
        while not echo.ended:
            await trio.sleep(0.01)
        assert echo.ended == ["reset"] and echo.received == b"a"


async def test_a_delay_and_a_narrow_link_slow_the_bytes_down() -> None:
    async with proxied_echo() as echo, await echo.connect() as stream:
        for kind, amount in ((LinkKind.DELAY, 0.2), (LinkKind.NARROW, 1000.0)):
            began_at = trio.current_time()
            with echo.links.active(link_fault(echo, kind, amount)):
                await stream.send_all(b"x" * 100)
                got = b""
                while len(got) < 100:
                    got += await stream.receive_some()
            assert trio.current_time() - began_at >= 0.1


async def test_a_reset_reaches_both_ends() -> None:
    async with proxied_echo() as echo, await echo.connect() as stream:
        await stream.send_all(b"a")
        assert await stream.receive_some() == b"a"
        assert echo.links.reset(frozenset({echo.public.ip}), frozenset()) == 1
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()
        while not echo.ended:
            await trio.sleep(0.01)
        assert echo.ended == ["reset"]


async def test_faults_do_not_affect_other_links_or_those_within_a_machine() -> None:
    links = LinkFaults()
    with links.active(LinkFault(LinkKind.CUT, frozenset({"a"}), frozenset({"b"}))):
        assert links.is_blocked("a", "b") and links.is_blocked("b", "a")
        assert not links.is_blocked("a", "c") and not links.is_blocked("c", "b")
    with links.active(LinkFault(LinkKind.SILENCE, frozenset({"a"}))):
        assert (
            links.is_blocked("a", "c")
            and not links.is_blocked("c", "a")
            and not links.is_blocked("a", "a")
        )
    assert not links.is_blocked("a", "c")


async def test_a_stopped_proxy_refuses_and_one_without_a_target_records_the_refused_client() -> (
    None
):
    async with proxied_echo() as echo:
        echo.proxy.stop_accepting()
        await trio.sleep(0.05)
        with pytest.raises(OSError):
            await echo.connect()
    links = LinkFaults()
    async with trio.open_nursery() as nursery:
        public = Address(f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}.1", 7000)
        await Proxy(public, Address(public.ip, 7999), links).open(nursery)
        stream = await trio.open_tcp_stream(public.ip, public.port, local_address=CALLER_IP)
        with pytest.raises(trio.BrokenResourceError), trio.fail_after(5):
            await stream.receive_some()
        assert links.refused == {stream.socket.getsockname()}
        await stream.aclose()
        nursery.cancel_scope.cancel()


# How callers judge answers.


def draft(kind: RequestKind) -> Draft:
    return Draft("r-1", kind, 3, 2.0, None, False, False, True)


def is_judged_own(
    kind: RequestKind, body: bytes, *, status: int = 200, named: str = "r-1"
) -> bool:
    headers = [(names.REQUEST_ID, named), (names.SEAL, "s")]
    request = CallerRequest("r-1", kind, "entry0", 0.0, whole=True, sealed=True)
    judge(draft(kind), Answer(status, headers), body, request)
    return request.own


def test_callers_recognize_their_own_answers() -> None:
    own = b"r-1 xxx"
    assert is_judged_own(RequestKind.ONCE, own)
    assert not is_judged_own(RequestKind.ONCE, own + b"more")
    assert not is_judged_own(RequestKind.ONCE, own[:-1])
    assert not is_judged_own(RequestKind.ONCE, own, named="r-2")
    event = b"id: 0\ndata: r-1 0 v2\n\n"
    assert is_judged_own(RequestKind.STREAM, event)
    assert not is_judged_own(RequestKind.STREAM, event.replace(b"r-1", b"r-2"))
    assert not is_judged_own(RequestKind.STREAM, event + b"id: 1")
    assert not is_judged_own(RequestKind.STREAM, event.replace(b"0 v2", b"1 v2"))


# Findings beyond the promises.


def replica_with_run(request_id: str, target: str, body: bytes) -> FakeReplica:
    replica = FakeReplica("i-1")
    replica.runs.append(Run(request_id, "POST", target, {}, body, 0, 1.0))
    return replica


def test_unrequested_runs_are_found() -> None:
    record = Record(BOUNDS, 0.0)
    record.requests["r-1"] = CallerRequest("r-1", RequestKind.ONCE, "entry0", 0.0)
    sent = {"bad-1": BadRequest("bad-1", BadForm.TWO_LENGTHS, 0.0)}
    good = replica_with_run("r-1", "/once/r-1", b"r-1 xxx")
    assert not list(find_unrequested_runs(record, sent, [good]))
    wrong = [
        replica_with_run("r-1", "/again/r-1", b"r-1 xxx"),
        replica_with_run("r-1", "/once/r-1", b"other"),
        replica_with_run("r-2", "/once/r-2", b"r-2"),
        replica_with_run("bad-1", "/once/bad-1", b""),
        replica_with_run("bad-1-smuggled", "/once/bad-1-smuggled", b""),
    ]
    assert len(list(find_unrequested_runs(record, sent, wrong))) == len(wrong)


async def test_a_load_of_two_versions_is_found() -> None:
    versions = {1: [b"1a", b"1b"], 2: [b"2a", b"2b"]}
    replica = FakeReplica("i-1", model="m")
    replica.staged = dict(enumerate(versions[2]))
    replica.held_orders.append({"op": "start", "version": 2})
    replica.take_held_orders()
    assert not list(find_mixed_loads([replica], versions, 9.0))
    # The replica holds version 2 now, so only a later incarnation loads it again.
    replica.start_again()
    replica.staged = {0: versions[2][0], 1: versions[1][1]}
    replica.held_orders.append({"op": "start", "version": 2})
    replica.take_held_orders()
    (finding,) = find_mixed_loads([replica], versions, 9.0)
    assert (finding.subject, finding.detail) == ("i-1", "version 2")


def test_a_request_that_ran_on_a_bad_load_is_found() -> None:
    versions = {1: [b"1a", b"1b"], 2: [b"2a", b"2b"]}
    valid, bad = ([hashlib.sha256(chunk).hexdigest() for chunk in v] for v in versions.values())
    bad[1] = valid[1]
    replica = FakeReplica("i-1", model="m", loads=[(1, valid), (2, bad)])
    replica.runs = [Run(f"r-{load}", "POST", "/", {}, b"", load, 1.0, load) for load in range(3)]
    (finding,) = find_answers_of_bad_loads([replica], versions)
    assert (finding.subject, finding.detail) == ("r-2", "version 2, load 2 of i-1")


def test_bad_requests_that_are_not_refused_are_found() -> None:
    sent = {
        str(status): BadRequest(str(status), BadForm.NO_ID, 0.0, status)
        for status in (0, 200, 302, 400, 413, 500, 502, 503)
    }
    assert [f.subject for f in find_bad_answers(sent)] == ["200", "302", "500", "502"]


def test_bad_requests_have_the_form_of_their_name() -> None:
    assert compose(BadForm.TWO_LENGTHS, "b").count(b"Content-Length: ") == 3
    assert names.REQUEST_ID.encode() not in compose(BadForm.NO_ID, "b")
    for form in BadForm:
        assert compose(form, "b").count(b"\r\n\r\n") >= 1


def test_coverage_counts_only_what_no_fault_excuses() -> None:
    record = Record(BOUNDS, 0.0, ended_at=100.0)
    record.versions = [VersionNamed(2, 10.0), VersionNamed(3, 50.0)]
    record.configurations = [ConfigurationPublished(2, 10.0), ConfigurationPublished(3, 50.0)]
    record.probes = [RouteProbe("entry0", 1, 2, 11.0, True)]
    record.stops = [PlannedStop("entry0", 20.0, 22.0, 23.0), PlannedStop("entry0", 52.0, 54.0)]
    record.disturbances = [Disturbance("kill", frozenset({"entry0"}), 51.0, 52.0)]
    coverage = measure_coverage(record)
    assert (coverage.versions, coverage.configurations, coverage.stops) == (1, 1, 1)
