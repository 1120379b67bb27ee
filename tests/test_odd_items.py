"""Tests that odd data of the store, a replica or the origin ends and stops nothing."""

from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from headcross_platform import names

from testing.hostile import NESTED_LISTS, NESTED_OBJECTS, nested_lists, nested_objects
from testing.machinecaller import ask
from testing.machinelayout import MODEL_SERVICE, PLAIN_SERVICE
from testing.machines import VERSION_KEY, Machines, replicas_of, small_site

WAIT_SECONDS = 20.0
PROCESSES = ("entry0", "entry1", "daemon0", "daemon1")
ODD_KEY = f"{names.REPLICA_PREFIX}i-odd"


def list_entry(**changes: object) -> dict[str, Any]:
    """Return an entry of the list for a replica of the model that does not exist."""
    return {
        "service": MODEL_SERVICE,
        "addr": "127.9.9.9:80",
        "zone": "z0",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        names.SLOW_START_MS: 0,
        "seq": 1,
        "models": [{"name": "m", "version": 1, "adapters": []}],
        names.STARTED_MS: 1764720000000,
        **changes,
    }


def encode(**changes: object) -> bytes:
    """Return an entry as JSON; unlike msgspec, this replaces no number that is too large."""
    raw = {name: _encode(value) for name, value in list_entry(**changes).items()}
    return b"{" + b",".join(b'"%s":%s' % (n.encode(), v) for n, v in raw.items()) + b"}"


def _encode(value: object) -> bytes:
    if isinstance(value, int):
        return str(value).encode()
    if isinstance(value, bytes):
        return value
    return msgspec.json.encode(value)


def name_number(number: int) -> str:
    """Return a short name of a number for test ids."""
    return str(number) if abs(number) < 2**32 else f"{number.bit_length()} bits"


def with_version(version: int) -> bytes:
    """Return an entry of a replica that has loaded a version."""
    return encode(models=b'[{"name":"m","version":%d}]' % version)


ODD_ENTRIES = {
    "unknown field of nested lists": encode(note=NESTED_LISTS),
    "unknown field of nested objects": encode(note=NESTED_OBJECTS),
    "nested in a loaded model": encode(
        models=b'[{"name":"m","version":1,"adapters":' + NESTED_LISTS + b"}]"
    ),
    "a whole value of nested lists": NESTED_LISTS,
    "born 2^63": encode(born=2**63),
    "born 2^64": encode(born=2**64),
    "born -10^400": encode(born=-(10**400)),
    "seq 2^64": encode(seq=2**64),
    "seq 10^400": encode(seq=10**400),
    "slots 2^64": encode(slots=2**64),
    "slots 10^400": encode(slots=10**400),
    "time until warm 10^400": encode(cold_left_ms=10**400),
    "version 2^64": with_version(2**64),
    "version 10^400": with_version(10**400),
    "version -2^63": with_version(-(2**63)),
    "version 2^63-1": with_version(2**63 - 1),
    "version 0": with_version(0),
    "port 0": encode(addr="127.9.9.9:0"),
    "port 65536": encode(addr="127.9.9.9:65536"),
    "port of 5,000 digits": encode(addr="127.9.9.9:" + "9" * 5000),
    "address 0.0.0.0": encode(addr="0.0.0.0:80"),
    "address of a group": encode(addr="224.0.0.1:80"),
    "address for all": encode(addr="255.255.255.255:80"),
    "address with a zone index": encode(addr="[fe80::1%x]:80"),
}


def assert_all_run(site: Machines) -> None:
    """Check that no process has ended since it was started."""
    ended = {
        name: machine.process.poll()
        for name, machine in site.machines.items()
        if machine.process is not None
    }
    assert ended == dict.fromkeys(site.machines), ended


async def assert_all_serve(site: Machines) -> None:
    """Check that both entries answer requests of each kind of route."""
    for entry in ("entry0", "entry1"):
        for path in ("/again/x", "/once/x", "/stream/x", "/strict/x"):
            reply = await ask(site.callers(entry), path)
            assert reply.status == 200 and reply.whole, (entry, path, reply)


async def wait_loaded(site: Machines, version: int) -> None:
    """Wait until all replicas of the model have loaded a version."""
    with trio.fail_after(WAIT_SECONDS):
        while {r.version for r in replicas_of(site, MODEL_SERVICE)} != {version}:
            assert_all_run(site)
            await trio.sleep(0.05)


@pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
async def test_an_odd_list_entry_ends_no_process_and_stops_no_renewal(
    tmp_path: Path, value: bytes
) -> None:
    async with small_site(tmp_path, entries=2, daemons=True, named=1) as site:
        site.store.put(ODD_KEY, value)
        await trio.sleep(1)
        assert_all_run(site)
        site.name_version(2)
        await wait_loaded(site, 2)
        await assert_all_serve(site)
        for revision in range(3):  # it is written again, removed, and changed
            site.store.put(ODD_KEY, value)
            await trio.sleep(0.2)
            (
                site.store.put(ODD_KEY, encode(seq=revision))
                if revision
                else site.store.remove(ODD_KEY)
            )
        site.name_version(3)
        await wait_loaded(site, 3)
        assert_all_run(site)
        await assert_all_serve(site)


@pytest.mark.parametrize(
    "version", [2, 3, 2**31, 2**63 - 1, 2**64, 10**400, -(2**63)], ids=name_number
)
@pytest.mark.parametrize("named_before", [False, True], ids=["first version", "next version"])
async def test_a_listed_version_that_nobody_can_deliver_stops_no_renewal(
    tmp_path: Path, version: int, named_before: bool
) -> None:
    async with small_site(tmp_path, daemons=True, named=int(named_before)) as site:
        site.store.put(ODD_KEY, with_version(version))
        await trio.sleep(1)
        site.name_version(2)
        with trio.fail_after(site.weights_ms / 1000):
            await wait_loaded(site, 2)


@pytest.mark.parametrize("version", [3, 2**63 - 1], ids=name_number)
async def test_a_restarted_replica_loads_what_others_hold_beside_an_odd_entry(
    tmp_path: Path, version: int
) -> None:
    async with small_site(tmp_path, models=3, daemons=True) as site:
        site.store.put(ODD_KEY, with_version(version))
        await trio.sleep(1)
        listed = next(x for x in site.replicas.values() if x.service == MODEL_SERVICE)
        await site.restart_replica(listed)
        with trio.fail_after(WAIT_SECONDS):
            while listed.replica.version != 1:
                await trio.sleep(0.05)


@pytest.mark.parametrize("born", [2**63, 2**64, -(10**400)], ids=name_number)
async def test_an_odd_start_of_a_replica_that_is_lost_ends_no_entry(
    tmp_path: Path, born: int
) -> None:
    async with small_site(tmp_path, entries=2) as site:
        listed = next(x for x in site.replicas.values() if x.service == PLAIN_SERVICE)
        listed.writes_entry = False
        entry = encode(service=PLAIN_SERVICE, addr=str(listed.address), models=b"[]", born=born)
        site.store.put(f"{names.REPLICA_PREFIX}{listed.replica.id}", entry)
        await trio.sleep(0.5)
        listed.replica.limit = "50"
        for _ in range(20):
            await ask(site.callers("entry0"), "/again/x")
        site.crash_replica(listed)
        for _ in range(20):
            reply = await ask(site.callers("entry0"), "/again/x")
            assert reply.status == 200 and reply.whole, reply
        await trio.sleep(1)
        assert_all_run(site)


@pytest.mark.parametrize("kind", ["list entry", "named version", "item", "configuration"])
async def test_processes_start_and_renew_beside_a_nested_value(tmp_path: Path, kind: str) -> None:
    async with small_site(tmp_path, entries=2, daemons=True, named=1) as site:
        put_nested(site, kind)
        await trio.sleep(0.5)
        site.stop_all()
        for name in PROCESSES:
            site.start(name)
        await site.wait_ready("entry0", "entry1")
        assert_all_run(site)
        site.name_version(2)
        await wait_loaded(site, 2)
        await assert_all_serve(site)


def put_nested(site: Machines, kind: str) -> None:
    """Put nested data into a part of the store."""
    field = b'"note":' + NESTED_LISTS
    match kind:
        case "list entry":
            site.store.put(ODD_KEY, encode(note=NESTED_LISTS))
        case "named version":
            value = b'{"model":"other","version":1,' + field + b"}"
            site.store.put(f"{names.VERSION_PREFIX}other", value)
        case "item":
            site.store.item_fields[VERSION_KEY] = b'"note":' + nested_lists(2000)
            for listed in site.replicas.values():
                key = f"{names.REPLICA_PREFIX}{listed.replica.id}"
                site.store.item_fields[key] = b'"note":' + nested_objects(2000)
            site.change()
        case "configuration":
            document = msgspec.json.encode(site.configuration)
            field = b'"note":' + nested_lists(2000)
            site.store.put(names.CONFIGURATION_KEY, document[:-1] + b"," + field + b"}")


@pytest.mark.parametrize(
    "nested", [nested_lists(2000), nested_objects(2000)], ids=["lists", "objects"]
)
async def test_a_nested_field_in_a_report_stops_no_renewal(tmp_path: Path, nested: bytes) -> None:
    async with small_site(tmp_path, entries=2, daemons=True, named=1) as site:
        replicas_of(site, MODEL_SERVICE)[0].report_fields = b'"note":' + nested
        await trio.sleep(1)
        site.name_version(2)
        await wait_loaded(site, 2)
        assert_all_run(site)
        await assert_all_serve(site)


async def test_a_report_and_a_manifest_that_cannot_be_read_end_no_process(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, entries=2, daemons=True, named=1) as site:
        first, other = replicas_of(site, MODEL_SERVICE)
        first.report_fields = b'"note":' + NESTED_OBJECTS
        await trio.sleep(1)
        site.name_version(2)
        with trio.fail_after(WAIT_SECONDS):
            while other.version != 2:
                await trio.sleep(0.05)
        site.origin.manifest_fields = b'"note":' + NESTED_LISTS
        first.report_fields = b""
        site.name_version(3)
        await trio.sleep(2)
        assert_all_run(site)
        site.origin.manifest_fields = b""
        await wait_loaded(site, 3)
        await assert_all_serve(site)


@pytest.mark.parametrize("field", [b'"seq":1%s' % (b"0" * 400), b'"pace":-1', b'"kv_total":-5'])
async def test_a_number_out_of_range_in_a_report_ends_no_process(
    tmp_path: Path, field: bytes
) -> None:
    async with small_site(tmp_path, entries=2, daemons=True, named=1) as site:
        first, other = replicas_of(site, MODEL_SERVICE)
        first.report_fields = field
        await trio.sleep(1)
        site.name_version(2)
        with trio.fail_after(WAIT_SECONDS):
            while other.version != 2:
                await trio.sleep(0.05)
        assert_all_run(site)
        first.report_fields = b""
        await wait_loaded(site, 2)
        await assert_all_serve(site)


@pytest.mark.parametrize(
    "nested", [nested_lists(2000), nested_objects(2000)], ids=["lists", "objects"]
)
async def test_a_nested_field_in_a_manifest_stops_no_renewal(
    tmp_path: Path, nested: bytes
) -> None:
    async with small_site(tmp_path, entries=2, daemons=True, named=1) as site:
        site.origin.manifest_fields = b'"note":' + nested
        site.name_version(2)
        await wait_loaded(site, 2)
        assert_all_run(site)
        await assert_all_serve(site)
