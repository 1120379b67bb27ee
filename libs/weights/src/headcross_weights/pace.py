"""Timeouts, intervals and concurrency limits of a swarm, for large and for small weights.

Weights of hundreds of gigabytes take minutes to transfer, and one chunk takes seconds. Small
weights take seconds altogether, so waiting three seconds for a silent host would use up half of
the time available.
"""

from dataclasses import dataclass
from typing import Final

from headcross_base.units import KIB, MIB


@dataclass(frozen=True, slots=True)
class SwarmSettings:
    """Timeouts, intervals and concurrency limits of one swarm."""

    # If the host that is to import a chunk stays silent for this long, the next host in the order
    # takes over; each further host waits as long again. Several times `watch_seconds`.
    takeover_seconds: float = 3.0
    # Interval between questions to the hosts that are to import chunks.
    watch_seconds: float = 0.5
    # The wait is this many times as long for a host that answers but does not know of the
    # artifact yet.
    responsive_takeover_factor: float = 3.0
    # After this time without progress, any host may import a chunk that no neighbour offers.
    stuck_seconds: float = 20.0
    # Upper limit of the interval between join messages, which is shorter at the start of a
    # transfer; after `rejoin_seconds` without progress, all neighbours are joined again.
    join_seconds: float = 1.0
    rejoin_seconds: float = 2.0
    # Bounds on the timeout of a request to a neighbour, which is a multiple of its latency.
    min_timeout_seconds: float = 1.5
    max_timeout_seconds: float = 15.0
    # A neighbour that did not answer gets no requests for the backoff time, which doubles with
    # each failure from the minimum to the maximum.
    min_backoff_seconds: float = 1.0
    max_backoff_seconds: float = 30.0
    # Timeout of a read from a weight source, and how long the source is paused after a failure
    # and after corrupt bytes.
    read_seconds: float = 20.0
    failed_pause_seconds: float = 2.0
    corrupt_pause_seconds: float = 5.0
    # Maximum number of chunks queued for sending: enough that the link is never idle between two
    # chunks, few enough that a chunk is sent within a few chunk times.
    upload_slots: int = 6
    # Maximum number of concurrent reads from weight sources by one host and by all importing hosts
    # together; each importing host may always have one.
    max_imports: int = 3
    total_imports: int = 64
    # Maximum number of chunks in flight from all neighbours together.
    requests_in_flight: int = 12
    # A request that takes longer is late; several late ones at once suspend further requests.
    slow_request_seconds: float = float("inf")
    # Maximum size of the parts in which a chunk is sent.
    part_bytes: int = 8 * MIB

    def imports_per_host(self, importing_hosts: int) -> int:
        """Return the maximum number of concurrent reads by each importing host.

        >>> SMALL_WEIGHTS.imports_per_host(5), SMALL_WEIGHTS.imports_per_host(13)
        (2, 1)
        """
        return max(1, min(self.max_imports, self.total_imports // max(1, importing_hosts)))


LARGE_WEIGHTS: Final = SwarmSettings()
SMALL_WEIGHTS: Final = SwarmSettings(
    takeover_seconds=0.7,
    responsive_takeover_factor=1.0,
    watch_seconds=0.15,
    stuck_seconds=1.5,
    join_seconds=0.4,
    rejoin_seconds=0.8,
    min_timeout_seconds=0.6,
    max_timeout_seconds=4.0,
    min_backoff_seconds=0.3,
    max_backoff_seconds=2.0,
    read_seconds=3.0,
    failed_pause_seconds=0.25,
    corrupt_pause_seconds=0.1,
    upload_slots=3,
    # Many hosts share the origin's link: the fewer chunks are on it at a time, the sooner the
    # first of them is complete and can be forwarded. By calculation for 13 mirrors, chunks of
    # 32 KiB and 5.94 Mbit/s, the first chunks are complete after 0.6 s instead of 1.1 s.
    max_imports=2,
    total_imports=16,
    requests_in_flight=4,
    slow_request_seconds=0.45,
    part_bytes=8 * KIB,
)
