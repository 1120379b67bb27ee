"""Tests of mirrors, of the sources that chunks are requested from, and of the loading groups."""

import signal
from collections import Counter
from pathlib import Path
from typing import Any, cast

import pytest
import trio
from headcross_base.addresses import Address
from headcross_base.errors import Ok
from headcross_base.hashing import digest_of
from headcross_base.monotonic import monotonic
from headcross_base.units import KIB
from headcross_facts.facts import Facts
from headcross_native.hostlist import Host, HostList, Role
from headcross_platform.store import MetadataStore
from headcross_ports.configuration import CallerLimits, Configuration, Service, WeightsLayout
from headcross_ports.published import LoadedModel, Replica
from headcross_renewal.mirroring import Mirror
from headcross_renewal.mirrors import SwarmPorts
from headcross_renewal.turns import GROUP_COUNT, earlier_groups, group_of
from headcross_weights.chunkchoice import choose_chunk, is_link_slow
from headcross_weights.chunkstore import ChunkStore, StoredArtifact
from headcross_weights.imports import Importer
from headcross_weights.manifest import Manifest, ManifestFile
from headcross_weights.neighbourview import REQUESTS_PER_HOST, NeighbourView
from headcross_weights.pace import SMALL_WEIGHTS
from headcross_weights.sourcing import STAND_IN_COUNT, ImportOrder
from headcross_weights.swarm import MAX_PREOPENED_LINKS, Swarm
from headcross_weights.uploads import Uploads
from headcross_wire import peermessages
from headcross_wire.linkrate import LinkRate
from headcross_wire.peernode import PeerNode
from hypothesis import given
from hypothesis import strategies as st

from testing.machinelayout import CHUNKS, MODEL_SERVICE
from testing.machines import Machines, replicas_of, small_site
from tests.test_machine_weights import check_loads, wait_loaded, wait_offered

MIRRORS_SECONDS = 20.0


async def uploads_of(site: Machines, role: str) -> int:
    """Return how many chunks all processes of a role have uploaded."""
    sent = 0
    for name, machine in site.machines.items():
        if machine.role == role:
            state = await site.state(name)
            state = state["mirror"] if role == "entry" else state
            sent += state["uploads"]["sent"]
    return sent


async def test_mirrors_upload_more_chunks_of_new_weights_than_daemons(
    tmp_path: Path,
) -> None:
    async with small_site(
        tmp_path, models=4, entries=2, zones=("z0", "z1"), daemons=True, link_mbits=2.0
    ) as site:
        await wait_offered(site)
        before = await uploads_of(site, "upstream")
        site.name_version(2)
        await wait_loaded(replicas_of(site, MODEL_SERVICE), 2)
        check_loads(site)
        sent = sum(n for (version, _), n in site.origin.sent.items() if version == 2)
        assert CHUNKS <= sent <= 1.25 * CHUNKS
        by_daemons = await uploads_of(site, "upstream") - before
        by_mirrors = await uploads_of(site, "entry")
        assert by_mirrors > by_daemons


async def test_an_entry_with_a_narrow_link_leaves_weights_to_the_daemons(tmp_path: Path) -> None:
    """Guards against a slow mirror that delays all daemons, since they ask mirrors first."""
    async with small_site(
        tmp_path, models=3, entries=1, daemons=True, link_mbits=1.0, entry_link_mbits=0.25
    ) as site:
        await wait_offered(site, mirrors=False)
        site.name_version(2)
        await wait_loaded(replicas_of(site, MODEL_SERVICE), 2)
        check_loads(site)
        assert not await uploads_of(site, "entry")


async def test_daemons_fetch_weights_without_mirrors_when_all_mirrors_are_stopped(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=3, entries=2, daemons=True) as site:
        await wait_offered(site)
        for name in ("entry0", "entry1"):
            site.signal(name, signal.SIGSTOP)
        site.name_version(2)
        await wait_loaded(replicas_of(site, MODEL_SERVICE), 2)
        check_loads(site)


async def test_a_transfer_goes_on_when_its_mirrors_are_killed(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=3, entries=2, daemons=True, link_mbits=0.5) as site:
        await wait_offered(site)
        site.name_version(2)
        with trio.fail_after(MIRRORS_SECONDS):
            while not await uploads_of(site, "entry"):
                await trio.sleep(0.02)
        for name in ("entry0", "entry1"):
            site.signal(name, signal.SIGKILL)
        await wait_loaded(replicas_of(site, MODEL_SERVICE), 2)
        check_loads(site)


async def test_weights_that_do_not_fit_are_left_to_the_daemons(tmp_path: Path) -> None:
    async with small_site(tmp_path, models=2, daemons=True, entry_memory_mb=1) as site:
        await wait_offered(site)
        site.name_version(2)
        await wait_loaded(replicas_of(site, MODEL_SERVICE), 2)
        check_loads(site)
        lines = site.log("entry0")
        assert any(line["message"] == "weights not mirrored" for line in lines)


def test_one_late_mirror_marks_the_link_of_the_requester_as_slow() -> None:
    """A mirror's link is wide, so late chunks are held up in the requester's own narrow link."""
    pace = SMALL_WEIGHTS
    mirror = NeighbourView("mirror", lambda message: True, pace, is_mirror=True)
    other = NeighbourView("other", lambda message: True, pace)
    views = {"mirror": mirror, "other": other}
    mirror.in_flight[0] = monotonic() - 2 * pace.slow_request_seconds
    assert is_link_slow(views, monotonic())
    # Chunks of other hosts that arrive in time show that the mirror has stalled.
    other.in_flight[1] = monotonic()
    other.note_received(1)
    assert not is_link_slow(views, monotonic())


def test_chunks_are_requested_from_mirrors_first() -> None:
    stored = StoredArtifact("d", Manifest(1, 1, [ManifestFile("f", 8, ["0" * 64] * 8)]), b"")
    pace = SMALL_WEIGHTS
    views = {
        name: NeighbourView(name, lambda message: True, pace, is_mirror=name == "mirror")
        for name in ("a", "mirror", "b")
    }
    for view in views.values():
        view.has = set(range(8))
    for asked in range(REQUESTS_PER_HOST):
        choice = choose_chunk(stored, views, set(), pace.requests_in_flight)
        assert choice is not None and choice[0].is_mirror
        choice[0].in_flight[choice[1]] = monotonic()
        assert len(views["mirror"].in_flight) == asked + 1
    choice = choose_chunk(stored, views, set(), pace.requests_in_flight)
    assert choice is not None and not choice[0].is_mirror


def test_one_mirror_imports_each_chunk_and_other_hosts_are_its_backups() -> None:
    def make_host(name: str, role: Role, region: str) -> Host:
        return Host(name, role, region, region, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")

    mirrors = [make_host(f"m{i}", "entry", f"r{i % 2}") for i in range(3)]
    daemons = [make_host(f"d{i}", "upstream", f"r{i % 2}") for i in range(6)]
    hosts = [*daemons, *mirrors]
    orders = {host.name: ImportOrder("a", hosts, host.name, 1) for host in hosts}
    for index in range(40):
        duties = {name: order.duty(index) for name, order in orders.items()}
        first = [name for name, duty in duties.items() if duty.rank == 0 and not duty.from_peer]
        assert len(first) == 1 and first[0] in ("m0", "m1", "m2")
        home_region = next(host.region for host in mirrors if host.name == first[0])
        # A mirror of the other region fetches the chunk from there; daemons are backups of both.
        crossing = [name for name, duty in duties.items() if duty.rank == 0 and duty.from_peer]
        assert len(crossing) == 1 and crossing[0].startswith("m")
        for host in daemons:
            duty = duties[host.name]
            assert duty.from_peer == (host.region != home_region)
            assert duty.rank is None or duty.rank >= 1
        assert sum(duties[host.name].rank is not None for host in daemons) >= STAND_IN_COUNT - 1
    # Without mirrors, only daemons import chunks.
    alone = ImportOrder("a", daemons, "d0", 1)
    assert all(not name.startswith("m") for i in range(40) for name in alone.duty(i).predecessors)


@given(st.lists(st.sampled_from(["za", "zb", "zc"]), min_size=1, max_size=24))
def test_every_replica_has_a_loading_group_and_no_zone_loads_at_once(zones: list[str]) -> None:
    replicas = [
        Replica(f"i{n}", "lm", Address("10.0.0.1", n + 1), zone, 8, False)
        for n, zone in enumerate(zones)
    ]
    goal = LoadedModel("m", 2)
    groups = {r.id: group_of(str(r.address), goal, replicas) for r in replicas}
    assert all(group is not None for group in groups.values())
    sizes = Counter(groups.values())
    assert max(sizes.values()) <= -(-len(replicas) // GROUP_COUNT)
    for zone in set(zones):
        members = [groups[r.id] for r in replicas if r.zone == zone]
        assert max(Counter(members).values()) <= -(-len(members) // GROUP_COUNT)
    assert not earlier_groups(0, goal, replicas)
    assert len(earlier_groups(GROUP_COUNT, goal, replicas)) == len(replicas)


async def test_a_mirrors_uploads_are_paced_separately_for_each_requester() -> None:
    """A mirror must not fill a requester's narrow link, nor let one requester delay others."""
    pace = SMALL_WEIGHTS
    chunks = [bytes([index]) * 32 * KIB for index in range(2)]
    file = ManifestFile("f", 64 * KIB, [digest_of(chunk) for chunk in chunks])
    store = ChunkStore(1 << 20)
    admitted = store.admit("d", Manifest(1, 32 * KIB, [file]), b"")
    assert isinstance(admitted, Ok)
    for index, chunk in enumerate(chunks):
        admitted.value.add(index, chunk)
    uploads = Uploads("me", store, LinkRate(0, 0), pace, lane_per_requester=True)
    order: list[str] = []
    async with trio.open_nursery() as nursery:
        for host, rate in (("slow", 32.0 * KIB), ("fast", 1024.0 * KIB)):

            def reply(
                message: peermessages.PeerMessage, payload: bytes | None, host: str = host
            ) -> bool:
                assert payload is not None and len(payload) <= pace.part_bytes
                order.append(host)
                return True

            for index in range(2):
                uploads.handle_request(
                    nursery, peermessages.AskChunk(host, "d", index, rate), reply
                )
    assert uploads.sent == 4
    assert order[-4:] == ["slow"] * 4


class LinkedNode:
    """A node that records the addresses of opened links."""

    def __init__(self) -> None:
        self.linked: set[Address] = set()

    def connect(self, address: Address) -> None:
        """Record a link."""
        self.linked.add(address)


@pytest.mark.parametrize(("regions", "in_each"), [(3, 5), (5, 20), (7, 80)])
def test_links_opened_ahead_of_a_transfer_do_not_grow_with_the_fleet(
    regions: int, in_each: int
) -> None:
    """Guards against links from each of 60 daemons to all 94 other processes."""
    hosts = [
        Host(
            name=f"10.{region}.0.{number}",
            role="upstream",
            region=f"r{region}",
            zone=f"z{region}",
            control=f"10.{region}.0.{number}:1",
            http=f"10.{region}.0.{number}:2",
            swarm=f"10.{region}.0.{number}:3",
        )
        for region in range(1, regions + 1)
        for number in range(1, in_each + 1)
    ]
    rate = LinkRate(1e6, 1e6)
    importer = Importer([], rate)
    swarm = Swarm(hosts[0].name, Address("127.0.0.1", 0), ChunkStore(1), importer, rate, rate)
    node = LinkedNode()
    swarm.node = cast(PeerNode, node)
    swarm.update_hosts(HostList(hosts))
    swarm.open_links()
    assert len(node.linked) == min(MAX_PREOPENED_LINKS, len(hosts) - 1)
    same_region = {address for address in node.linked if address.ip.startswith("10.1.")}
    assert len(same_region) == min(MAX_PREOPENED_LINKS, in_each - 1)


def test_small_changes_of_the_fleet_do_not_make_mirroring_start_and_stop() -> None:
    """Guards against entries that often start and stop mirroring.

    With one limit for both, entries with 40 Mbit/s did so 10 to 15 times a day.
    """
    layout = WeightsLayout(("m",), 64, 32768)
    services = {"lm": Service("lm", 100, layout)}
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    limits = CallerLimits(1, 1, 1.0, 1.0)
    facts.configuration = Configuration(1, (), services, (), limits)

    def have_replicas(count: int) -> None:
        facts.replicas.clear()
        for number in range(count):
            address = Address(f"10.0.0.{number + 1}", 80)
            facts.replicas[f"i-{number}"] = Replica(f"i-{number}", "lm", address, "z", 8, False)

    unused = cast(Any, None)
    mirror = Mirror({}, SwarmPorts(1, 2), facts, unused, unused, unused, unused, 2.5e6, 8.0)
    mirror.mirror_count = 10
    decisions = []
    for count in (40, 45, 50, 47, 55, 70, 75, 70, 50, 47):
        have_replicas(count)
        decisions.append(mirror.decide_to_mirror())
    # It uploads 2 MB to a tenth of the replicas at 2.5 MB/s: 4 s with 47 replicas, 6 s with 71.
    assert decisions == [True, True, True, True, True, True, False, False, False, True]
