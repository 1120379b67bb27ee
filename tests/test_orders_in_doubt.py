"""Tests that no chunk of another version is staged while a replica may still accept an order.

Guards against a replica that reports one version but has loaded chunks of two. Version 2 is
staged and its order gets no answer within 1 s; version 3 has been named meanwhile. If the daemon
takes the missing answer for a refusal, it stages version 3 over version 2, and the replica accepts
the order seconds later with chunks of both. The order count that an order carries does not prevent
that, since no other order was accepted in between. Orders reached replicas 2.3 to 12.1 s late.
"""

from pathlib import Path

import pytest
import trio

from testing.machinelayout import MODEL_SERVICE
from testing.machines import Machines, small_site
from testing.platformreplica import FakeReplica
from tests.test_machine_weights import LOADED_SECONDS, check_loads, wait_loaded, wait_offered


async def wait_held_order(replica: FakeReplica) -> None:
    """Wait until a replica holds back an order."""
    with trio.fail_after(LOADED_SECONDS):
        while not replica.held_orders:
            await trio.sleep(0.005)


async def wait_staged(site: Machines, replica: FakeReplica, version: int) -> None:
    """Wait until a chunk of a version is staged at a replica."""
    chunks = site.origin.versions[version]
    with trio.fail_after(LOADED_SECONDS):
        while not any(chunks[number] == data for number, data in replica.staged.items()):
            await trio.sleep(0.005)


@pytest.mark.parametrize("holds", ["nothing", "an older version"])
async def test_an_order_that_is_taken_late_loads_one_version(tmp_path: Path, holds: str) -> None:
    async with small_site(tmp_path, models=1, daemons=True) as site:
        await wait_offered(site)
        site.origin.seconds_per_chunk = 0.03
        (listed,) = (r for r in site.replicas.values() if r.service == MODEL_SERVICE)
        replica = listed.replica
        replica.orders_to_hold = 1
        if holds == "nothing":
            await site.restart_replica(listed)
            newer = 2
        else:
            site.name_version(2)
            newer = 3
        await wait_held_order(replica)
        site.name_version(newer)
        await wait_staged(site, replica, newer)
        replica.take_held_orders()
        await wait_loaded([replica], newer)
        check_loads(site)
