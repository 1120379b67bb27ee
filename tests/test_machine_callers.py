"""Tests which requests callers may send, and the answers to those that are rejected."""

from pathlib import Path

import pytest
import trio
from headcross_platform import names

from testing.machinecaller import ask
from testing.machinelayout import HOST, KEY, PLAIN_SERVICE
from testing.machines import Machines, replicas_of, small_site

HEAD = (
    f"POST /again/x HTTP/1.1\r\nHost: {HOST}\r\n{names.REQUEST_ID}: r-1\r\n"
    f"{names.KEY}: {KEY}\r\n{names.DEADLINE_MS}: 3000\r\n"
)
HOSTILE = {
    "no request at all": ("\x00\x01\x02\r\n\r\n", 400),
    "no host": (f"POST /again/x HTTP/1.1\r\n{names.REQUEST_ID}: r\r\n\r\n", 400),
    "two lengths": (HEAD + "Content-Length: 1\r\nContent-Length: 2\r\n\r\na", 400),
    "a length and chunks": (
        HEAD + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "a line folded into another": (HEAD + "X-Other: a\r\n b: c\r\n: d\r\n\r\n", 400),
    "headers too long": (HEAD + "X-Long: " + "x" * 8192 + "\r\n\r\n", 431),
    "a body too long": (HEAD + "Content-Length: 70000\r\n\r\n" + "x" * 70000, 413),
    "a slow header": (HEAD, 408),
    "no id": (f"POST /again/x HTTP/1.1\r\nHost: {HOST}\r\n{names.KEY}: {KEY}\r\n\r\n", 400),
}


async def send_raw(site: Machines, text: str) -> bytes:
    """Send text to the entry; return the bytes received until it closes, within 8 s."""
    address = site.callers("entry0")
    stream = await trio.open_tcp_stream(address.ip, address.port)
    received = b""
    with trio.move_on_after(8):
        async with stream:
            try:
                await stream.send_all(text.encode("latin-1"))
                while data := await stream.receive_some(65536):
                    received += data
            except trio.BrokenResourceError:
                pass
    return received


@pytest.mark.parametrize("case", HOSTILE)
async def test_a_hostile_request_is_refused_and_reaches_no_replica(
    tmp_path: Path, case: str
) -> None:
    text, status = HOSTILE[case]
    async with small_site(tmp_path, models=0, plain=1) as site:
        received = await send_raw(site, text)
        assert received.startswith(b"HTTP/1.1 %d " % status), (case, received[:200])
        assert received.count(b"HTTP/1.1") == 1
        replica = replicas_of(site, PLAIN_SERVICE)[0]
        assert not replica.runs
        assert (await ask(site.callers("entry0"), "/again/x")).status == 200


async def test_requests_sent_ahead_are_answered_one_by_one(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0, plain=1) as site:
        one = HEAD + "Content-Length: 3\r\n\r\none"
        two = HEAD.replace("r-1", "r-2") + "Content-Length: 3\r\nConnection: close\r\n\r\ntwo"
        received = await send_raw(site, one + two)
        assert received.count(b"HTTP/1.1 200") == 2
        assert received.index(b"one") < received.index(b"two")


async def test_a_key_that_no_team_holds_gets_401_and_a_public_route_asks_for_none(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=0) as site:
        entry = site.callers("entry0")
        assert (await ask(entry, "/again/x", key="other")).status == 401
        assert (await ask(entry, "/again/x", key=None)).status == 401
        assert (await ask(entry, "/open/x", key=None)).status == 200
        assert (await ask(entry, "/nowhere/x")).status == 404


async def test_the_longest_prefix_of_the_host_decides(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=0) as site:
        routes = site.configuration["routes"]
        longer = {**routes[2], "name": "longer", "path_prefix": "/again/deep/", "public": True}
        elsewhere = {**routes[2], "name": "b", "host": "b.example", "path_prefix": "/other/"}
        revision = site.change(routes=[*routes, longer, elsewhere])
        entry = site.callers("entry0")
        await wait_revision(site, revision)
        assert (await ask(entry, "/again/deep/x", key=None)).status == 200
        assert (await ask(entry, "/again/x", key=None)).status == 401
        assert (await ask(entry, "/other/x")).status == 404


async def wait_revision(site: Machines, revision: int, name: str = "entry0") -> None:
    """Wait until a process has a revision of the control topic or a later one."""
    with trio.fail_after(10):
        while (await site.state(name))["topics"]["control"]["revision"] < revision:
            await trio.sleep(0.02)
