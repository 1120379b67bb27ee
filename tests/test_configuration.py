"""Tests that a configuration takes effect everywhere within seconds, completely, and stays."""

import json
from pathlib import Path

from headcross_base.decisions import Journal
from headcross_base.errors import Ok
from headcross_fleet.documents import Documents
from headcross_fleet.topology import readers_of
from headcross_native.hostlist import parse_host_list

from testing.caller import generate
from testing.fleet import ADMIN, CONTROL, wait_for
from testing.small import POOL_PATH, SmallFleet, small_fleet


async def fleet_document(small: SmallFleet, name: str) -> dict[str, object]:
    """Return a process's state of the fleet document; empty if the process does not answer."""
    state = await small.fleet.state(name)
    document: dict[str, object] = state["documents"]["fleet"] if state else {}
    return document


async def test_a_rejected_file_changes_nothing_and_is_seen_everywhere(tmp_path: Path) -> None:
    async with small_fleet(tmp_path) as small:
        good = await fleet_document(small, "entry0")
        small.fleet.publish_fleet(str(small.text).replace("replicas = 3", "replicas = 0"))
        for name in small.fleet.nodes:

            async def rejected(name: str = name) -> bool:
                return bool((await fleet_document(small, name)).get("rejection"))

            await wait_for(rejected, f"{name} shows the rejection")
            document = await fleet_document(small, name)
            assert (document["revision"], document["digest"]) == (good["revision"], good["digest"])
            assert "pools.p.replicas" in str(document["rejection"])
        assert (await generate(small.entry(), POOL_PATH))[0].status == 200
        revision = small.fleet.publish_fleet(str(small.text))
        await small.fleet.wait_revision(revision)
        assert not (await fleet_document(small, "host0"))["rejection"]


async def test_a_process_that_starts_after_a_rejection_gets_the_last_good_file(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path) as small:
        good = await fleet_document(small, "entry0")
        bad = small.fleet.publish_fleet("nonsense")

        async def seen() -> bool:
            return (await fleet_document(small, "host1")).get("newest_revision") == bad

        await wait_for(seen, "the bad file is seen")
        small.fleet.kill("host0")
        await small.fleet.wait_exit("host0")
        small.fleet.start("host0")

        async def back() -> bool:
            return (await fleet_document(small, "host0")).get("revision") == good["revision"]

        await wait_for(back, "the last good file is back")


async def test_no_process_goes_back_with_a_stale_service_even_across_a_restart(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path) as small:
        old = dict(small.fleet.config.documents)
        digest = await small.move_to("v2")
        await small.fleet.wait_serving(digest, 3)
        revision = small.fleet.config.documents["fleet"][0]
        small.fleet.config.stale = old
        small.fleet.kill("host0")
        await small.fleet.wait_exit("host0")
        small.fleet.start("host0")
        await small.fleet.wait_revision(revision)
        await small.fleet.wait_serving(digest, 3)
        loaded = {w.digest for e in small.fleet.engines().values() for w in e.loaded}
        assert loaded == {digest}
        for name in small.fleet.nodes:
            assert (await fleet_document(small, name))["revision"] == revision


async def test_a_process_that_starts_with_a_stale_service_follows_its_peers(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path, hosts=2) as small:
        revision = small.fleet.config.documents["fleet"][0]
        await small.move_to("v2")
        await small.fleet.wait_revision(revision + 1)
        small.text.version = "v1"
        small.fleet.publish_fleet(str(small.text), revision=revision)
        small.fleet.kill("host1")
        await small.fleet.wait_exit("host1")
        small.fleet.start("host1")
        # The new process reads an old revision from the service; its peers have the newer one.
        await small.fleet.wait_revision(revision + 1)


def test_a_lower_revision_is_refused_and_counted() -> None:
    documents = Documents(Journal())
    assert documents.offer("fleet", 2, b"", 0.0)
    assert not documents.offer("fleet", 1, b"[services.s]", 0.0)
    assert (documents.revision, documents.counts["old"]) == (2, 1)
    assert not documents.fleet.services


async def test_a_start_with_the_service_down_takes_the_configuration_from_peers(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path) as small:
        small.fleet.config.down = True
        small.fleet.kill("host0")
        await small.fleet.wait_exit("host0")
        path = small.fleet.directory / "host0.toml"
        peer = small.fleet.nodes["host1"].address(CONTROL)
        text = path.read_text().replace("[platform]", f'[platform]\npeers = ["{peer}"]')
        path.write_text(text)
        small.fleet.start_again("host0")
        await small.fleet.wait_revision(1, ["host0"])
        await small.fleet.wait_serving(small.text.digests["v1"], 3)


async def test_a_change_reaches_everyone_with_all_readers_of_a_zone_dead(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=7, zones=1) as small:
        body = small.fleet.config.documents["hosts"][1]
        hosts = parse_host_list(body)
        assert isinstance(hosts, Ok)
        readers = [n for n in readers_of(hosts.value, "z0", "fleet") if n.startswith("host")]
        for name in readers:
            small.fleet.kill(name)
        alive = [name for name in small.fleet.nodes if name not in readers]
        small.text.pool = "max_unavailable = 2\nstand_in_seconds = 600"
        revision = small.fleet.publish_fleet(str(small.text))
        await small.fleet.wait_revision(revision, alive)


async def test_a_long_outage_of_the_service_does_not_affect_serving(tmp_path: Path) -> None:
    async with small_fleet(tmp_path) as small:
        small.fleet.config.down = True

        async def noticed() -> bool:
            state = await small.fleet.state("host0")
            return bool(state["documents"]["fleet"]["age"] > 6)

        await wait_for(noticed, "news are old")
        assert (await generate(small.entry(), POOL_PATH))[0].status == 200
        small.fleet.config.down = False
        digest = await small.move_to("v2")
        await small.fleet.wait_serving(digest, 3)


async def test_two_bodies_under_one_revision_are_a_conflict_and_the_first_stays(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path, hosts=2) as small:
        revision = small.fleet.config.documents["fleet"][0]
        before = await fleet_document(small, "host0")
        small.fleet.publish_fleet(str(small.text) + "\n# other\n", revision=revision)
        # A process that starts now gets the second body from the service, the first from peers.
        small.fleet.kill("host1")
        await small.fleet.wait_exit("host1")
        small.fleet.start("host1")

        async def conflict() -> bool:
            states = [await small.fleet.state(name) for name in small.fleet.nodes]
            return any(s and s["document_events"].get("conflict") for s in states)

        await wait_for(conflict, "a conflict is counted")
        assert (await fleet_document(small, "host0"))["digest"] == before["digest"]


async def test_the_administration_api_shows_the_file_in_force_and_refuses_writes(
    tmp_path: Path,
) -> None:
    from headcross_wire.httpclient import call

    async with small_fleet(tmp_path, hosts=1, zones=1) as small:
        address = small.fleet.nodes["entry0"].address(ADMIN)
        outcome = await call(address, "GET", "/v1/fleet", seconds=5, max_bytes=1 << 20)
        assert isinstance(outcome, Ok)
        assert outcome.value.body.decode() == str(small.text)
        posted = await call(address, "POST", "/v1/fleet", body=b"x", seconds=5, max_bytes=9999)
        assert isinstance(posted, Ok)
        assert posted.value.status == 405
        for page in ("state", "metrics", "health", "hosts", "decisions", "upstreams"):
            shown = await call(address, "GET", f"/v1/{page}", seconds=5, max_bytes=1 << 20)
            assert isinstance(shown, Ok)
            assert shown.value.status == 200, page
        team = await call(address, "GET", "/v1/teams/archive", seconds=5, max_bytes=9999)
        assert isinstance(team, Ok)
        assert json.loads(team.value.body)["routes"] == ["/v1/model", "/v1/plain"]


async def test_a_file_of_nearly_a_megabyte_travels_between_peers(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=7, zones=1) as small:
        padding = "\n".join(f"# {'x' * 90}" for _ in range(10_000))
        revision = small.fleet.publish_fleet(f"{small.text}\n{padding}")

        async def some_process_has_it() -> bool:
            documents = [await fleet_document(small, name) for name in small.fleet.nodes]
            return any(document.get("revision") == revision for document in documents)

        await wait_for(some_process_has_it, "the first reader has it", poll=0.001)
        small.fleet.config.down = True
        await small.fleet.wait_revision(revision)
