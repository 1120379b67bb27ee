"""Selects the next chunk to request and the neighbour to request it from.

The rarest chunk of a random sample is requested first, so that chunks that only one host has
spread early. Mirrors are preferred among the neighbours, then those with the fewest requests in
flight. Once every missing chunk is requested, a chunk that takes long is requested from a second
host as well.
"""

import random
from collections.abc import Mapping
from typing import Final

from headcross_base.monotonic import monotonic

from headcross_weights.chunkstore import StoredArtifact
from headcross_weights.neighbourview import NeighbourView

RARITY_SAMPLE_CHUNKS: Final = 32  # chunks sampled to find the rarest
# A chunk is requested from a second host when the first takes longer than this many times the
# second host's average latency.
DUPLICATE_FACTOR: Final = 2.0
# When at least this many neighbours are late at once, this host's own link is taken to be slow,
# unless a chunk arrived on time within ON_TIME_WINDOW_SECONDS.
MIN_LATE_NEIGHBOURS: Final = 2
ON_TIME_WINDOW_SECONDS: Final = 0.6
# Share of the download rate that is requested while this host's own link seems to be slow.
SLOW_LINK_RATE_SHARE: Final = 0.2
DEFAULT_DUPLICATE_SECONDS: Final = 2.0  # until a latency is known

Choice = tuple[NeighbourView, int]  # the host to request from, and the index of the chunk
Views = Mapping[str, NeighbourView]  # by host name


def choose_chunk(
    stored: StoredArtifact,
    views: Views,
    importing: set[int],
    max_in_flight: int,
) -> Choice | None:
    """Return the next request, or None if no chunk can be requested now.

    Nothing is requested while `max_in_flight` chunks are in flight. Chunks in `importing` are left
    out.
    """
    in_flight = chunks_in_flight(views)
    if len(in_flight) >= max_in_flight:
        return None
    now = monotonic()
    if in_flight and is_link_slow(views, now):
        return None
    ready = [view for view in views.values() if view.is_ready(now)]
    random.shuffle(ready)
    ready.sort(key=lambda view: (not view.is_mirror, len(view.in_flight)))
    unrequested = stored.missing - in_flight.keys() - importing
    for view in ready:
        candidates = view.has & unrequested
        if candidates:
            return view, _rarest(candidates, views)
    return _choose_duplicate(ready, stored, in_flight, now) if not unrequested else None


def is_link_slow(views: Views, now: float) -> bool:
    """Return whether this host's own link, rather than a neighbour's, seems to be slow.

    It seems so if chunks from several neighbours, or from a mirror, are late at once and none has
    arrived on time recently. More than one request in flight would then only lengthen the queue in
    the link, which requests to the replica share.
    """
    late = [view for view in views.values() if view.is_late(now)]
    if len(late) < MIN_LATE_NEIGHBOURS and not any(view.is_mirror for view in late):
        return False
    on_time = max((view.on_time_at for view in views.values()), default=float("-inf"))
    return now - on_time > ON_TIME_WINDOW_SECONDS


def chunks_in_flight(views: Views) -> dict[int, list[float]]:
    """Return the times at which each chunk in flight was requested, by chunk index."""
    requested_at: dict[int, list[float]] = {}
    for view in views.values():
        for index, at in view.in_flight.items():
            requested_at.setdefault(index, []).append(at)
    return requested_at


def offered_chunks(views: Views) -> set[int]:
    """Return the chunks that at least one usable neighbour has."""
    return set().union(*(view.has for view in views.values() if view.is_usable))


def _rarest(candidates: set[int], views: Views) -> int:
    """Return the chunk of a random sample that the fewest neighbours have.

    Ties are broken at random.
    """
    sample = random.sample(list(candidates), min(RARITY_SAMPLE_CHUNKS, len(candidates)))
    return min(sample, key=lambda index: sum(index in view.has for view in views.values()))


def _choose_duplicate(
    ready: list[NeighbourView],
    stored: StoredArtifact,
    in_flight: Mapping[int, list[float]],
    now: float,
) -> Choice | None:
    """Return a chunk that takes long and a second host to request it from; None without one."""
    for view in ready:
        late_seconds = DUPLICATE_FACTOR * view.latency or DEFAULT_DUPLICATE_SECONDS
        for index in view.has & stored.missing & in_flight.keys():
            requested_at = in_flight[index]
            if len(requested_at) == 1 and now - requested_at[0] > late_seconds:
                return view, index
    return None
