"""Rules that decide whether a serving upstream may stop serving now, that is, has its turn.

The functions are pure: they depend on the placement and on what entries know of a pool. Daemons do
not coordinate with each other, and their views differ for seconds, so the rules ensure that
daemons which act on different views do not together stop more upstreams than the fleet file
allows:

* Only rows that are fresh, and whose daemon has the same fleet file and host list in force, count
  as serving. Such a daemon follows the same rank order as this one.
* Upstreams that swap weights within a pool follow the rank order: an upstream may stop serving
  only while fewer than `max_unavailable` of the upstreams ranked before it have yet to serve the
  new version.
* For an upstream that leaves a pool, all leaving upstreams that come before it by name count as
  having left.

A silent upstream counts as unavailable at once, but it is skipped in the rank order, and replaced
by a spare, only after `stand_in_seconds`.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from headcross_fleet.documents import DocumentRevisions
from headcross_fleet.fleetfile import Pool
from headcross_fleet.membership import PoolRow
from headcross_fleet.upstreamgate import SERVING

Rows = Mapping[str, PoolRow]


@dataclass(frozen=True, slots=True)
class Turn:
    """Whether an upstream may proceed, and the reason."""

    now: bool
    reason: str
    before: int = 0  # number of upstreams whose turn is earlier


def may_swap(
    upstream: str,
    pool: Pool,
    assigned: list[str],
    rows: Rows,
    digest: str,
    revisions: DocumentRevisions,
) -> Turn:
    """Return whether an assigned upstream may stop serving to load another version of its pool.

    `assigned` is in rank order; `digest` is that of the weights that the pool is to serve.
    """
    serving = {name for name in assigned if _counts_as_serving(rows.get(name), revisions)}
    ranked_before = assigned[: assigned.index(upstream)]
    pending = [
        name
        for name in ranked_before
        if not _has_swapped_or_is_skipped(rows.get(name), pool, digest, revisions)
    ]
    if len(pending) >= pool.max_unavailable:
        return Turn(False, f"{pending[0]} goes before", len(pending))
    required = min(pool.replicas, len(assigned)) - pool.max_unavailable
    others = len(serving - {upstream})
    if others < required:
        return Turn(False, f"{others} others serve, {required} must")
    return Turn(True, f"{others} others serve, {required} must")


def may_leave(
    upstream: str, pool: Pool, assigned: list[str], rows: Rows, revisions: DocumentRevisions
) -> Turn:
    """Return whether an upstream that is no longer assigned to a pool may stop serving it."""
    required = min(pool.replicas, len(assigned))
    taking_over = sum(
        _counts_as_serving(rows.get(name), revisions) for name in assigned if name != upstream
    )
    leavers = sorted(
        name
        for name, row in rows.items()
        if name not in assigned and _counts_as_serving(row, revisions)
    )
    staying = sum(name > upstream for name in leavers)
    if taking_over + staying < required:
        reason = f"{taking_over} new and {staying} old ones serve, {required} must"
        return Turn(False, reason)
    return Turn(True, f"{taking_over} new and {staying} old ones serve, {required} must")


def may_stand_in(
    upstream: str, pool: Pool, assigned: list[str], spares: list[str], rows: Rows
) -> Turn:
    """Return whether a spare is to serve in place of a silent upstream.

    The first spare stands in for the first silent upstream, the second for the second, and so on.
    """
    silent = [name for name in assigned if _is_replaceable(rows.get(name), pool)]
    position = spares.index(upstream)
    if position < len(silent):
        return Turn(True, f"stands in for {silent[position]}")
    return Turn(False, "spare")


def _counts_as_serving(row: PoolRow | None, revisions: DocumentRevisions) -> bool:
    """Return whether a row counts as serving for a daemon with these documents in force."""
    if row is None or row.silent:
        return False
    same_revisions = (row.revision, row.hosts_revision) == (revisions.fleet, revisions.hosts)
    return row.state == SERVING and same_revisions


def _has_swapped_or_is_skipped(
    row: PoolRow | None, pool: Pool, digest: str, revisions: DocumentRevisions
) -> bool:
    """Return whether upstreams that are ranked after this one need not wait for it.

    They need not if it serves the new weights, or is silent for so long that it is skipped.
    """
    if row is None:
        return False
    if _is_replaceable(row, pool):
        return True
    return _counts_as_serving(row, revisions) and row.digest == digest


def _is_replaceable(row: PoolRow | None, pool: Pool) -> bool:
    """Return whether an upstream is silent for so long that a spare may stand in for it."""
    return row is not None and row.silent and row.age > pool.stand_in_seconds
