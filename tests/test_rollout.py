"""Tests of rollouts: availability during changes, no outdated orders, no wrong weights served."""

import signal
from pathlib import Path

import trio

from testing.caller import generate
from testing.fleet import Fleet, wait_for
from testing.small import POOL_PATH, SmallFleet, small_fleet


class Sampler:
    """Records the least number of engines that held weights at any one time."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.min_serving = 10**6

    async def run(self) -> None:
        """Sample every 5 ms until cancelled."""
        while True:
            serving = sum(bool(e.loaded) for e in self.fleet.engines().values())
            self.min_serving = min(self.min_serving, serving)
            await trio.sleep(0.005)


async def test_a_swap_in_place_never_takes_more_than_max_unavailable(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=5, entries=2) as small:
        small.text.pool = "max_unavailable = 2\nstand_in_seconds = 600"
        sampler = Sampler(small.fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sampler.run)
            for version in ("v2", "v3"):
                digest = await small.move_to(version)
                await small.fleet.wait_serving(digest, 5)
            nursery.cancel_scope.cancel()
        assert sampler.min_serving >= 3


async def test_a_file_that_supersedes_a_rollout_halfway_keeps_the_pool_available(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path, hosts=4) as small:
        sampler = Sampler(small.fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sampler.run)
            second = await small.move_to("v2")
            await small.fleet.wait_serving(second, 1)
            third = await small.move_to("v3")
            await small.fleet.wait_serving(third, 4)
            nursery.cancel_scope.cancel()
        assert sampler.min_serving >= 3


async def test_a_migration_fills_the_new_zone_before_the_old_one_leaves(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=4, zones=2) as small:
        small.text.replicas, small.text.zones = 2, ["z0"]
        revision = small.fleet.publish_fleet(str(small.text))
        await small.fleet.wait_revision(revision)

        async def old_side_only() -> bool:
            loaded = {n for n, e in small.fleet.engines().items() if e.loaded}
            return loaded == {"host0", "host2"}

        await wait_for(old_side_only, "z0 alone serves")
        sampler = Sampler(small.fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sampler.run)
            small.text.zones = ["z1"]
            digest = await small.move_to("v2")

            async def new_side_only() -> bool:
                loaded = {n: e.loaded for n, e in small.fleet.engines().items() if e.loaded}
                return set(loaded) == {"host1", "host3"} and all(
                    weights[0].digest == digest for weights in loaded.values()
                )

            await wait_for(new_side_only, "z1 alone serves v2")
            nursery.cancel_scope.cancel()
        assert sampler.min_serving >= 2


async def test_the_old_zone_keeps_serving_while_the_new_one_is_down(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=2, zones=2) as small:
        small.text.replicas, small.text.zones = 1, ["z0"]
        small.fleet.publish_fleet(str(small.text))

        async def only_host0_serves() -> bool:
            return [n for n, e in small.fleet.engines().items() if e.loaded] == ["host0"]

        await wait_for(only_host0_serves, "host0 alone serves")
        small.fleet.kill("host1")
        await small.fleet.wait_exit("host1")
        small.text.zones = ["z1"]
        revision = small.fleet.publish_fleet(str(small.text))
        await small.fleet.wait_revision(revision, ["entry0", "host0"])

        async def waits() -> bool:
            counts = (await small.fleet.state("host0"))["decision_counts"]
            return bool(counts.get("wait-turn", 0) > 3)

        await wait_for(waits, "host0 holds")
        assert (await generate(small.entry(), POOL_PATH))[0].status == 200


async def test_a_spare_stands_in_for_a_silent_host_until_it_returns(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=3, zones=1) as small:
        small.text.replicas = 2
        small.text.pool = "max_unavailable = 1\nstand_in_seconds = 1"
        small.fleet.publish_fleet(str(small.text))

        async def two_serve() -> bool:
            return sum(bool(e.loaded) for e in small.fleet.engines().values()) == 2

        await wait_for(two_serve, "two serve")
        spare = next(n for n, e in small.fleet.engines().items() if not e.loaded)
        first = next(n for n, e in small.fleet.engines().items() if e.loaded)
        small.fleet.kill(first)
        await small.fleet.wait_exit(first)

        async def stood_in() -> bool:
            return bool(small.fleet.engines()[spare].loaded)

        await wait_for(stood_in, f"{spare} stands in")
        small.fleet.start(first)

        async def gave_way() -> bool:
            return not small.fleet.engines()[spare].loaded

        await wait_for(gave_way, f"{spare} gives way")


async def test_a_pool_with_fewer_hosts_than_replicas_uses_all_hosts(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=2) as small:
        small.text.replicas = 5
        digest = await small.move_to("v2")
        await small.fleet.wait_serving(digest, 2)


async def test_an_engine_that_reports_another_digest_than_ordered_does_not_serve(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path, hosts=2, serving=False) as small:
        mismatched_engine = small.fleet.engines()["host0"]
        mismatched_engine.report_digest = "f" * 64
        # The entry refuses requests as not ready until its documents are settled, even while
        # upstreams serve.
        await small.fleet.wait_settled()
        await small.fleet.wait_serving(small.text.digests["v1"], 1)

        async def mismatch_reported() -> bool:
            counts = (await small.fleet.state("host0"))["decision_counts"]
            return bool(counts.get("engine-mismatch"))

        await wait_for(mismatch_reported, "the mismatch is reported")
        for _ in range(10):
            assert (await generate(small.entry(), POOL_PATH))[0].status == 200
        assert not mismatched_engine.runs


async def check_resumed_daemon(small: SmallFleet) -> None:
    """Pause host0 during two version changes and resume it; it must not order the first one."""
    paused = small.fleet.engines()["host0"]
    small.fleet.kill("host0", signal.SIGSTOP)
    small.text.pool = "max_unavailable = 2\nstand_in_seconds = 1"
    second = await small.move_to("v2")
    third = await small.move_to("v3")
    await small.fleet.wait_serving(third, 2)
    small.fleet.kill("host0", signal.SIGCONT)
    await small.fleet.wait_serving(third, 3)
    assert second not in {w.digest for order in paused.orders for w in order.weights}
    assert [w.digest for w in paused.loaded] == [third]


async def test_a_paused_daemon_sends_no_outdated_order_to_an_engine_that_checks_fences(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path) as small:
        await check_resumed_daemon(small)


async def test_a_paused_daemon_sends_no_outdated_order_to_an_engine_without_fence_checks(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path, checks_fences=False) as small:
        await check_resumed_daemon(small)


async def test_an_isolated_daemon_keeps_its_weights_and_sends_no_order(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=2, proxied=True) as small:
        isolated_ip = small.fleet.nodes["host0"].ip
        engine = small.fleet.engines()["host0"]
        orders_before = len(engine.orders)
        small.fleet.fault_of = lambda source, target: (
            "cut" if isolated_ip in (source, target) and source != target else "pass"
        )
        await small.move_to("v2")
        await trio.sleep(3)
        assert len(engine.orders) == orders_before
        assert engine.loaded
        small.fleet.fault_of = lambda source, target: "pass"
        await small.fleet.wait_serving(small.text.digests["v2"], 2)


async def test_a_second_daemon_for_the_same_upstream_exits(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=1, zones=1) as small:
        first = small.fleet.nodes["host0"].process
        small.fleet.start_again("host0")
        assert await small.fleet.wait_exit("host0") == 3
        assert first is not None
        assert first.poll() is None
        first.kill()
        first.wait()


async def test_a_restarted_daemon_takes_over_an_engine_that_serves(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=2) as small:
        engine = small.fleet.engines()["host0"]
        orders_before = len(engine.orders)
        small.fleet.kill("host0")
        await small.fleet.wait_exit("host0")
        small.fleet.start("host0")
        await small.fleet.wait_serving(small.text.digests["v1"], 2)
        assert len(engine.orders) == orders_before
        digest = await small.move_to("v2")
        await small.fleet.wait_serving(digest, 2)


async def test_a_host_that_the_platform_takes_away_is_replaced_first(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=3, zones=1) as small:
        small.text.replicas = 2
        small.fleet.publish_fleet(str(small.text))

        async def two_serve() -> bool:
            return sum(bool(e.loaded) for e in small.fleet.engines().values()) == 2

        await wait_for(two_serve, "two serve")
        leaver = next(n for n, e in small.fleet.engines().items() if e.loaded)
        sampler = Sampler(small.fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sampler.run)
            small.fleet.nodes[leaver].leaving = True
            small.fleet.publish_hosts()

            async def left() -> bool:
                return not small.fleet.engines()[leaver].loaded

            await wait_for(left, f"{leaver} left")
            nursery.cancel_scope.cancel()
        assert sampler.min_serving >= 2


async def test_a_failed_engine_stops_serving_and_the_others_go_on(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=2) as small:
        small.fleet.engines()["host0"].down = True

        async def closed() -> bool:
            rows = (await small.fleet.state("entry0"))["upstreams"]
            return any(r["host"] == "host0" and r["state"] == "empty" for r in rows)

        await wait_for(closed, "host0 serves no more")
        for _ in range(10):
            assert (await generate(small.entry(), POOL_PATH))[0].status == 200


async def test_a_pool_is_moved_to_another_name_without_a_load(tmp_path: Path) -> None:
    async with small_fleet(tmp_path, hosts=2) as small:
        orders_before = {n: len(e.orders) for n, e in small.fleet.engines().items()}
        text = str(small.text).replace("[pools.p]", "[pools.q]").replace('"p"', '"q"')
        small.fleet.publish_fleet(text)

        async def moved() -> bool:
            rows = (await small.fleet.state("entry0"))["upstreams"]
            return [r["pool"] for r in rows if r["state"] == "serving"] == ["q", "q"]

        await wait_for(moved, "both serve pool q")
        assert {n: len(e.orders) for n, e in small.fleet.engines().items()} == orders_before


async def test_an_order_answered_too_late_is_not_sent_twice(
    tmp_path: Path,
) -> None:
    async with small_fleet(tmp_path, hosts=2) as small:
        for engine in small.fleet.engines().values():
            engine.order_answer_seconds = 3.0  # a daemon waits 2 s for the answer to an order
        digest = await small.move_to("v2")
        await small.fleet.wait_serving(digest, 2)
        for engine in small.fleet.engines().values():
            assert [o.weights[0].digest for o in engine.orders].count(digest) == 1
