"""Calculates the table of docs/CAPACITY.md from the output of `make slopes`.

    python -m misc.capacity SLOPES_FILE

Every value is taken from a fitted line at the size of the target deployment. The table also shows
the line, its residual and the largest size at which it was measured.
"""

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from headcross_fleet.membership import heartbeat_period

# The size and traffic of the target deployment.
ENTRIES, UPSTREAM_DAEMONS = 40, 300
CHANGES_PER_DAY = 620
REQUESTS_PER_SECOND, TOKENS_PER_SECOND = 2_600, 1_200_000
# An example of a large model: 140 GB in chunks of 16 MiB.
CHUNKS_PER_VERSION = 140 * 10**9 // (16 * 2**20)
DAY_SECONDS = 86_400
MB = 10**6


@dataclass(frozen=True)
class Row:
    """One row of the table."""

    role: str
    figure: str
    slope_name: str
    size: float  # in the unit of the slope
    scale: float  # factor from the slope's unit to the unit in the table
    unit: str  # unit in the table


def rows() -> list[Row]:
    """Return the rows of the table."""
    heartbeats_per_second = UPSTREAM_DAEMONS / heartbeat_period(UPSTREAM_DAEMONS)
    daemons = UPSTREAM_DAEMONS
    changes_per_second = CHANGES_PER_DAY / DAY_SECONDS
    up, entry = "upstream daemon", "entry"
    return [
        Row(
            up,
            "memory, private",
            "upstream private_bytes per upstream daemon",
            daemons,
            1 / MB,
            "MB",
        ),
        Row(
            up, "memory, resident", "upstream rss_bytes per upstream daemon", daemons, 1 / MB, "MB"
        ),
        Row(
            up,
            "control bytes, quiet",
            "upstream control_bytes_per_second per upstream daemon",
            daemons,
            1e-3,
            "KB/s",
        ),
        Row(up, "core, quiet", "upstream core_share per upstream daemon", daemons, 100, "%"),
        Row(up, "core, changes", "upstream cpu_seconds per change", changes_per_second, 100, "%"),
        Row(
            up,
            "bytes, changes",
            "upstream control_bytes per change",
            changes_per_second,
            1e-3,
            "KB/s",
        ),
        Row(
            up,
            "core time, one transfer",
            "upstream cpu_seconds per chunk",
            CHUNKS_PER_VERSION,
            1,
            "s",
        ),
        Row(
            up,
            "bytes beside chunks, one transfer",
            "upstream swarm_overhead_bytes per chunk",
            CHUNKS_PER_VERSION,
            1 / MB,
            "MB",
        ),
        Row(
            entry,
            "memory, private",
            "entry private_bytes per upstream daemon",
            daemons,
            1 / MB,
            "MB",
        ),
        Row(
            entry, "memory, resident", "entry rss_bytes per upstream daemon", daemons, 1 / MB, "MB"
        ),
        Row(
            entry,
            "control bytes, heartbeats",
            "entry control_bytes_per_second per heartbeat a second",
            heartbeats_per_second,
            1e-3,
            "KB/s",
        ),
        Row(
            entry,
            "core, heartbeats",
            "entry core_share per heartbeat a second",
            heartbeats_per_second,
            100,
            "%",
        ),
        Row(
            "all entries",
            "cores, requests",
            "entry cpu_seconds per request",
            REQUESTS_PER_SECOND,
            1,
            "cores",
        ),
        Row(
            "all entries",
            "cores, tokens",
            "entry cpu_seconds per token",
            TOKENS_PER_SECOND,
            1,
            "cores",
        ),
        Row(
            "all upstream daemons",
            "cores, requests",
            "upstream cpu_seconds per request",
            REQUESTS_PER_SECOND,
            1,
            "cores",
        ),
        Row(
            "all upstream daemons",
            "cores, tokens",
            "upstream cpu_seconds per token",
            TOKENS_PER_SECOND,
            1,
            "cores",
        ),
    ]


def print_row(row: Row, lines: dict[str, dict[str, Any]]) -> None:
    """Print one row of the Markdown table."""
    line = lines[row.slope_name]
    has_fixed_part = row.slope_name.split(" per ")[1] in ("upstream daemon", "heartbeat a second")
    start = line["intercept"] if has_fixed_part else 0.0
    # A negative slope is noise around zero.
    value = (start + max(0.0, line["slope"]) * row.size) * row.scale
    largest = max(x for x, _ in line["points"])
    slope = f"{line['slope']:.4g}" + (f" + {line['intercept']:.4g}" if has_fixed_part else "")
    print(
        f"| {row.role} | {row.figure} | {slope} | {line['residual']:.1%} | {largest:g} "
        f"| {row.size:.4g} | **{value:.3g} {row.unit}** |"
    )


def main() -> None:
    """Print the Markdown table."""
    slopes = [json.loads(x) for x in Path(sys.argv[1]).read_text().splitlines() if x[:1] == "{"]
    lines = {line["name"]: line for line in slopes}
    print("| role | figure | slope + start | residual | measured to | size | at that size |")
    print("|---|---|---|---|---|---|---|")
    for row in rows():
        print_row(row, lines)


if __name__ == "__main__":
    main()
