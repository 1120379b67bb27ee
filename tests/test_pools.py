"""Tests of several models, adapters and pools in one file, of a store, and of random faults."""

import random
from pathlib import Path

from bench.faults import campaign
from testing.caller import check_tokens, generate
from testing.fleet import Fleet, Spec, running_fleet, wait_for
from testing.origin import FakeOrigin

FILE = """
[models.big.versions.b1]
digest = "{b1}"
weights = "big-b1"
[models.small.versions.s1]
digest = "{s1}"
weights = "small-s1"
[adapters.jeju]
model = "big"
[adapters.jeju.versions.j1]
digest = "{j1}"
weights = "jeju-j1"
[pools.plain-big]
model = "big"
version = "b1"
replicas = 2
zones = ["z0"]
[pools.jeju-big]
model = "big"
version = "b1"
adapters = {{ jeju = "j1" }}
replicas = 1
zones = ["z0"]
[pools.small]
model = "small"
version = "s1"
replicas = 1
zones = ["z0"]
[teams.archive]
requests_per_second = 100
[[routes]]
path = "/big"
pool = "plain-big"
[[routes]]
path = "/big/jeju"
pool = "jeju-big"
[[routes]]
path = "/small"
pool = "small"
"""


def add_versions(origin: FakeOrigin) -> dict[str, str]:
    names = {"b1": "big-b1", "s1": "small-s1", "j1": "jeju-j1"}
    return {v: origin.add(name, random.randbytes(9000), 1000) for v, name in names.items()}


async def wait_loaded(fleet: Fleet, wanted: list[list[str]]) -> None:
    async def loaded() -> bool:
        held = [[w.digest for w in engine.loaded] for engine in fleet.engines().values()]
        return sorted(held) == sorted(wanted)

    await wait_for(loaded, "every pool is loaded")


async def test_pools_of_models_and_adapters_share_a_fleet(tmp_path: Path) -> None:
    specs = [Spec("entry0", "entry", "z0", "r0")]
    specs += [Spec(f"host{i}", "upstream", "z0", "r0") for i in range(4)]
    async with running_fleet(tmp_path, specs) as fleet:
        digests = add_versions(fleet.origin)
        fleet.publish_fleet(FILE.format(**digests))
        for name in fleet.nodes:
            fleet.start(name)
        b1, s1, j1 = digests["b1"], digests["s1"], digests["j1"]
        await wait_loaded(fleet, [[b1], [b1], [b1, j1], [s1]])
        await fleet.wait_settled()
        entry = fleet.nodes["entry0"].address(7001)
        for path, digest in (("/big", b1), ("/big/jeju", b1), ("/small/x", s1)):
            reply, prompt = await generate(entry, path)
            assert check_tokens(reply, prompt, 4, [digest]) == digest, (path, reply)
        runs = {n: len(e.runs) for n, e in fleet.engines().items() if len(e.loaded) == 2}
        assert list(runs.values()) == [1]


async def test_a_limited_store_is_used_first_and_the_origin_when_it_fails(tmp_path: Path) -> None:
    specs = [Spec("entry0", "entry", "z0", "r0"), Spec("host0", "upstream", "z0", "r0")]
    async with running_fleet(tmp_path, specs) as fleet:
        digest = fleet.origin.add("m-v1", b"x" * 64_000, 1000)
        store = FakeOrigin()
        store.versions = dict(fleet.origin.versions)
        store.limited_every = 5
        store.corrupt_next = 1
        await fleet.serve(store.handle, fleet.platform(7102))
        fleet.publish_fleet(
            f'[models.m.versions.v]\ndigest = "{digest}"\nweights = "m-v1"\n'
            '[pools.p]\nmodel = "m"\nversion = "v"\nreplicas = 1\nzones = ["z0"]\n'
        )
        for name in fleet.nodes:
            fleet.start(name)
            if name == "host0":
                fleet.kill(name)
                await fleet.wait_exit(name)
        path = tmp_path / "host0.toml"
        line = f'[platform]\nstore = "{fleet.platform(7102)}"'
        path.write_text(path.read_text().replace("[platform]", line))
        fleet.start_again("host0")
        await wait_loaded(fleet, [[digest]])
        swarm = (await fleet.state("host0"))["swarm"]
        assert swarm["source_corrupt"] == {"store": 1}
        assert swarm["source_bytes"]["store"] > 0
        assert swarm["source_bytes"]["origin"] > 0


async def test_a_short_campaign_of_faults_breaks_no_promise(tmp_path: Path) -> None:
    report = await campaign(5, 2, tmp_path)
    assert report["violations"] == {}, report
