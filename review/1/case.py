"""A bad load is forgotten when the processes that know of it are killed together.

A host freezes right after its daemon has sent an order, and a staged chunk turns bad meanwhile.
The replica takes the order as the host wakes, when the chunk has been bad for over 3 s. The daemon
finds that out, and the entry sends the replica nothing. Then all processes are killed and start
again.
"""

import hashlib
import signal
import sys
from pathlib import Path

import trio
from harness import (
    CannotRun,
    Record,
    ask_steadily,
    has_trouble,
    model_replicas,
    run_case,
    site_of,
    wait_for,
)

from testing.machinecaller import Reply
from testing.platformreplica import DaemonCall, FakeReplica

# As in `troubles` of the site file (`node_freeze`, `for_s = 3.5`).
FREEZE_SECONDS = 3.5
# The exception of the rule: a chunk that has been bad for less than this may be loaded.
EXCUSED_SECONDS = 3.0
# By then a daemon no longer waits for calls of an earlier process.
SETTLED_SECONDS = 17.0
# For how long the load is watched before the processes are killed, and after they are back.
JUDGED_SECONDS = 4.0
WATCHED_SECONDS = 8.0
# The platform starts a killed process again after a short delay.
RESTART_SECONDS = 1.0
PROCESSES = ("entry0", "daemon0", "daemon1")
LOADED_SECONDS = 30.0
BAD_CHUNK = 0
# What the daemon says about the load; only for the record.
LOGGED = (
    "order taken",
    "order without an answer",
    "load read back",
    "load confirmed",
    "load not confirmed",
    "load not whole",
)


def count_runs(replica: FakeReplica, load: int) -> int:
    """Return how many requests a replica has run on one of its loads, counted from 1."""
    return sum(run.load == load for run in replica.runs)


async def case(record: Record, directory: Path) -> bool:
    """Return whether no request ran on a load that was not whole."""
    async with site_of(directory, models=2) as site, trio.open_nursery() as nursery:
        frozen, other = model_replicas(site)
        replies: list[Reply] = []
        await trio.sleep(SETTLED_SECONDS)
        nursery.start_soon(ask_steadily, site, record, replies)
        await trio.sleep(1.0)
        if not any(reply.status == 200 for reply in replies):
            raise CannotRun("nothing is served before the disruption")

        bad_since = float("-inf")
        thaw = trio.Event()
        thaw.set()
        orders_seen = 0

        async def stand_still(call: DaemonCall) -> bool:
            """Hold every call and request while the host is frozen; it is then served."""
            nonlocal orders_seen, thaw
            if call.orders and has_trouble():
                orders_seen += 1
                if orders_seen == 1:
                    thaw = trio.Event()
                    nursery.start_soon(freeze)
            await thaw.wait()
            return False

        async def freeze() -> None:
            nonlocal bad_since
            record.note("replica: the order has arrived; its host freezes before it is taken")
            site.signal("daemon0", signal.SIGSTOP)
            data = frozen.staged[BAD_CHUNK]
            frozen.staged[BAD_CHUNK] = bytes([data[0] ^ 0xFF]) + data[1:]
            bad_since = trio.current_time()
            record.note(f"replica: staged chunk {BAD_CHUNK} has turned bad")
            await trio.sleep(FREEZE_SECONDS)
            thaw.set()
            site.signal("daemon0", signal.SIGCONT)
            record.note("the host wakes")

        frozen.drops_call = stand_still
        site.name_version(2)
        record.note("version 2 is named")
        await wait_for("an order is taken", lambda: bool(frozen.loads), LOADED_SECONDS)
        taken_at = trio.current_time()
        record.note(
            f"replica {frozen.id}: takes the order, chunk bad for {taken_at - bad_since:.2f} s"
        )
        if has_trouble() and taken_at - bad_since <= EXCUSED_SECONDS:
            raise CannotRun("the order was taken within the time that the rule excuses")
        await trio.sleep(JUDGED_SECONDS)
        record.note(f"replica {frozen.id}: has run {count_runs(frozen, 1)} requests on load 1")
        if has_trouble():
            record.note("all processes are killed")
            for name in PROCESSES:
                site.signal(name, signal.SIGKILL)
            for name in PROCESSES:
                await site.wait_exit(name)
            await trio.sleep(RESTART_SECONDS)
            for name in PROCESSES:
                site.start(name)
            await site.wait_ready("entry0")
            record.note("the entry is ready again")
        await trio.sleep(WATCHED_SECONDS)
        nursery.cancel_scope.cancel()

    held = True
    for replica in (frozen, other):
        for number, (version, digests) in enumerate(replica.loads, start=1):
            expected = [hashlib.sha256(c).hexdigest() for c in site.origin.versions[version]]
            whole = digests == expected
            ran = [run for run in replica.runs if run.load == number]
            record.note(
                f"replica {replica.id}: load {number} of version {version}, whole {whole}, "
                f"ran {len(ran)} requests"
            )
            for run in ran:
                record.note(f"replica {replica.id}: ran {run.id} on load {number}, whole {whole}")
            if not whole and ran:
                held = False
    for line in site.log("daemon0"):
        if line.get("message") in LOGGED:
            record.note(f"log of daemon0: {line}")
    return held


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
