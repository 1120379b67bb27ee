"""Convergence, live: what each upstream should hold and how far it is.

On a terminal a table with progress bars is drawn anew each second; elsewhere each look is one JSON
line, for programs.
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

LOOK_SECONDS: Final = 1.0
BAR_WIDTH: Final = 20
CLEAR_SCREEN: Final = "\x1b[H\x1b[J"


class PoolProgress(msgspec.Struct):
    """How far one pool is."""

    pool: str
    version: str
    wanted: int  # upstreams assigned
    serving: int  # of those, how many serve the wanted weights
    progress: float  # mean share of the weights that is there
    silent: int


class Look(msgspec.Struct):
    """One look at the fleet."""

    revision: int
    converged: bool
    pools: list[PoolProgress]


async def watch(address: Address, until_converged: bool, seconds: float) -> int:
    """Show looks until interrupted, converged or out of time; return the exit code."""
    with trio.move_on_after(seconds):
        while True:
            look = await take_look(address)
            if isinstance(look, Failure):
                print(f"headcross: {look.detail}", file=sys.stderr)
                if not until_converged:
                    return exitcodes.UNREACHABLE
            else:
                show_look(look)
                if until_converged and look.converged:
                    return exitcodes.OK
            await trio.sleep(LOOK_SECONDS)
    return exitcodes.TIMED_OUT if until_converged else exitcodes.OK


async def take_look(address: Address) -> Look | Failure:
    """Read one daemon's documents and what it knows of the upstreams."""
    in_force = await read_in_force(address)
    if isinstance(in_force, Failure):
        return in_force
    rows = await read_upstreams(address)
    if isinstance(rows, Failure):
        return rows
    return judge(in_force.value, rows.value)


def judge(in_force: InForce, rows: list[UpstreamRow]) -> Look:
    """Compare what should be with what is."""
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
    short = [p for p in pools if p.serving < p.wanted or p.wanted == 0]
    return Look(in_force.revision, bool(pools) and not short, pools)


def show_look(look: Look) -> None:
    """Print one look, for a person or for a program."""
    if not sys.stdout.isatty():
        print(msgspec.json.encode(look).decode(), flush=True)
        return
    lines = [f"fleet file {look.revision}: {'converged' if look.converged else 'moving'}", ""]
    lines.append(f"{'pool':<24} {'version':<12} {'serving':>9}  progress")
    for pool in look.pools:
        count = f"{pool.serving}/{pool.wanted}"
        silent = f"  {pool.silent} silent" if pool.silent else ""
        bar = draw_bar(pool.progress)
        lines.append(f"{pool.pool:<24} {pool.version:<12} {count:>9}  {bar}{silent}")
    print(CLEAR_SCREEN + "\n".join(lines), flush=True)


def draw_bar(share: float) -> str:
    """Return a progress bar.

    >>> draw_bar(0.5)
    '[##########..........]  50%'
    """
    filled = round(share * BAR_WIDTH)
    return f"[{'#' * filled}{'.' * (BAR_WIDTH - filled)}] {share:4.0%}"
