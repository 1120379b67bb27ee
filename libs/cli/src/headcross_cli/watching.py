"""Implements `headcross watch`: shows live how far the fleet is from the fleet file in force.

On a terminal, a table with progress bars is redrawn every second. Otherwise each reading is
printed as one JSON line, for programs.
"""

import sys
from typing import Final

import msgspec
import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure
from headcross_fleet.fleetfile import pool_artifacts
from headcross_native.engine import serving_digest
from headcross_rollout.placement import compute_placement

from headcross_cli import exitcodes
from headcross_cli.adminclient import InForce, UpstreamRow, read_in_force, read_upstreams

POLL_INTERVAL_SECONDS: Final = 1.0
BAR_WIDTH: Final = 20
CLEAR_SCREEN: Final = "\x1b[H\x1b[J"


class PoolProgress(msgspec.Struct):
    """Progress of one pool."""

    pool: str
    version: str
    wanted: int  # assigned upstreams
    serving: int  # assigned upstreams that serve the weights of the fleet file
    progress: float  # mean share of the weights held, 0 to 1
    silent: int  # assigned upstreams whose daemon sends no heartbeats


class FleetProgress(msgspec.Struct):
    """Progress of all pools at one reading."""

    revision: int
    converged: bool
    pools: list[PoolProgress]


async def watch(address: Address, until_converged: bool, seconds: float) -> int:
    """Print progress for `seconds`, or until converged if `until_converged`; return the exit code.

    `address` is the administration address of an entry. A daemon that does not answer ends the
    command, unless `until_converged` is set.
    """
    with trio.move_on_after(seconds):
        while True:
            progress = await read_progress(address)
            if isinstance(progress, Failure):
                print(f"headcross: {progress.detail}", file=sys.stderr)
                if not until_converged:
                    return exitcodes.UNREACHABLE
            else:
                print_progress(progress)
                if until_converged and progress.converged:
                    return exitcodes.OK
            await trio.sleep(POLL_INTERVAL_SECONDS)
    return exitcodes.TIMED_OUT if until_converged else exitcodes.OK


async def read_progress(address: Address) -> FleetProgress | Failure:
    """Return the progress as seen by the daemon at `address`, or why it cannot be read."""
    in_force = await read_in_force(address)
    if isinstance(in_force, Failure):
        return in_force
    rows = await read_upstreams(address)
    if isinstance(rows, Failure):
        return rows
    return compute_progress(in_force.value, rows.value)


def compute_progress(in_force: InForce, rows: list[UpstreamRow]) -> FleetProgress:
    """Return the progress, from the documents in force and the reported state of upstreams."""
    placement = compute_placement(in_force.fleet, in_force.hosts)
    by_name = {row.upstream: row for row in rows}
    pools: list[PoolProgress] = []
    for name, pool in in_force.fleet.pools.items():
        digest = serving_digest([a.digest for a in pool_artifacts(in_force.fleet, pool)])
        assigned = placement.pools[name].assigned
        known = [by_name[upstream] for upstream in assigned if upstream in by_name]
        serving = [r for r in known if r.state == "serving" and r.digest == digest]
        progress = sum(1.0 if row in serving else row.progress for row in known)
        pools.append(
            PoolProgress(
                pool=name,
                version=pool.version,
                wanted=len(assigned),
                serving=len(serving),
                progress=progress / len(assigned) if assigned else 0.0,
                silent=sum(row.silent for row in known),
            )
        )
    unfinished = [p for p in pools if p.serving < p.wanted or p.wanted == 0]
    return FleetProgress(in_force.revision, bool(pools) and not unfinished, pools)


def print_progress(progress: FleetProgress) -> None:
    """Print one reading: a table on a terminal, a JSON line otherwise."""
    if not sys.stdout.isatty():
        print(msgspec.json.encode(progress).decode(), flush=True)
        return
    lines = [
        f"fleet file {progress.revision}: {'converged' if progress.converged else 'moving'}",
        "",
    ]
    lines.append(f"{'pool':<24} {'version':<12} {'serving':>9}  progress")
    for pool in progress.pools:
        count = f"{pool.serving}/{pool.wanted}"
        silent = f"  {pool.silent} silent" if pool.silent else ""
        bar = draw_bar(pool.progress)
        lines.append(f"{pool.pool:<24} {pool.version:<12} {count:>9}  {bar}{silent}")
    print(CLEAR_SCREEN + "\n".join(lines), flush=True)


def draw_bar(share: float) -> str:
    """Return a text progress bar for a share from 0 to 1.

    >>> draw_bar(0.5)
    '[##########..........]  50%'
    """
    filled = round(share * BAR_WIDTH)
    return f"[{'#' * filled}{'.' * (BAR_WIDTH - filled)}] {share:4.0%}"
