"""How patient a swarm is, and how much it has under way at a time; times in seconds.

Weights of hundreds of gigabytes take minutes, and a chunk of them seconds; small weights take
seconds altogether, and a host that is silent for three of them has cost half the time there is.
"""

from dataclasses import dataclass
from typing import Final

from headcross_base.units import KIB, MIB


@dataclass(frozen=True, slots=True)
class SwarmPace:
    """The times of one swarm."""

    # A host that should bring a chunk in and was silent for so long is stood in for; the next in
    # order waits as long again. Several times the watching period.
    takeover: float = 3.0
    watch: float = 0.5
    # A host that answers, but has not heard of the weights yet, is waited for this many times as
    # long.
    alive_patience: float = 3.0
    # When nothing at all came for so long, any host may go outside for a chunk nobody offers.
    stuck: float = 20.0
    # Neighbours are joined this often, and anew after so long without progress.
    join: float = 1.0
    join_again: float = 2.0
    # A request to a neighbour is given up after some times the usual, within these bounds.
    min_timeout: float = 1.5
    max_timeout: float = 15.0
    # A neighbour that did not answer is left alone for so long, doubling up to the second.
    stall_backoff: float = 1.0
    max_backoff: float = 30.0
    # A read from outside is given up after this; its source then rests.
    read: float = 20.0
    failed_pause: float = 2.0
    corrupt_pause: float = 5.0
    # Chunks that others may have asked for and not yet been sent: enough that the link never idles
    # between two of them, few enough that a chunk leaves within a few chunk times.
    upload_slots: int = 6
    # Chunks that one host reads from outside at a time, and all first fetchers together, as far as
    # each reads one.
    imports: int = 3
    imports_together: int = 64
    # Chunks asked of others at a time, over all neighbours.
    requests_in_flight: int = 12
    # Requests that take longer than this, several at once, hold back further ones.
    slow_request: float = float("inf")
    # A chunk is sent in parts of at most so many bytes.
    part_bytes: int = 8 * MIB

    def imports_of_one(self, fetchers: int) -> int:
        """Return how many chunks each of so many first fetchers reads at a time.

        >>> SMALL_WEIGHTS.imports_of_one(5), SMALL_WEIGHTS.imports_of_one(13)
        (2, 1)
        """
        return max(1, min(self.imports, self.imports_together // max(1, fetchers)))


LARGE_WEIGHTS: Final = SwarmPace()
SMALL_WEIGHTS: Final = SwarmPace(
    takeover=0.7,
    alive_patience=1.0,
    watch=0.15,
    stuck=1.5,
    join=0.4,
    join_again=0.8,
    min_timeout=0.6,
    max_timeout=4.0,
    stall_backoff=0.3,
    max_backoff=2.0,
    read=3.0,
    failed_pause=0.25,
    corrupt_pause=0.1,
    upload_slots=3,
    # Many hosts share the origin's link: the fewer chunks are on it at a time, the sooner the
    # first of them is whole and can be handed on. Worked out for 13 mirrors, chunks of 32 KiB and
    # 5.94 Mbit/s: the first ones are here after 0.6 s instead of 1.1 s.
    imports=2,
    imports_together=16,
    requests_in_flight=4,
    slow_request=0.45,
    part_bytes=8 * KIB,
)
