"""State of one other host in a transfer: its chunks, the requests to it and its reliability."""

from collections.abc import Callable
from typing import Final

from headcross_base.monotonic import monotonic
from headcross_wire.peermessages import PeerMessage

from headcross_weights.pace import LARGE_WEIGHTS, SwarmSettings

# Requests in flight to one host: one chunk being sent and one queued behind it.
REQUESTS_PER_HOST: Final = 2
# A request times out after this many times the average latency, within the bounds of the settings.
# The host then gets no requests for a backoff time that doubles with each failure.
TIMEOUT_FACTOR: Final = 4.0
# A chunk that has not arrived after this time is not expected any more.
MAX_ARRIVAL_SECONDS: Final = 6.0
# No more chunks of an artifact are requested from a host that sent this many corrupt ones.
QUARANTINE_CORRUPT_CHUNKS: Final = 2
# After this many failures in a row a host may be dead and counts as unusable.
UNUSABLE_AFTER_FAILURES: Final = 2
LATENCY_GAIN: Final = 0.25  # weight of a new sample in the average latency

Send = Callable[[PeerMessage], bool]


class NeighbourView:
    """State of one other host in one transfer."""

    host: str
    # Sends a message to it over the current link.
    send: Send
    # Indexes of the chunks it has.
    has: set[int]
    # Chunks requested from it, with the time of each request.
    in_flight: dict[int, float]
    # When a chunk last arrived from it on time.
    on_time_at: float
    # Average seconds from a request to the chunk, 0 before the first.
    latency: float
    # Whether it sent a join message in this transfer, so that it need not be joined again.
    joined: bool
    # Its bitmap, until the manifest is known.
    bitmap: bytes
    # Number of corrupt chunks it sent.
    corrupt_chunks: int
    # Failures since the last chunk from it.
    failures: int
    # Whether it is a mirror, whose link carries no other traffic.
    is_mirror: bool

    def __init__(
        self,
        host: str,
        send: Send,
        settings: SwarmSettings = LARGE_WEIGHTS,
        *,
        is_mirror: bool = False,
    ) -> None:
        self.host = host
        self.is_mirror = is_mirror
        self.send = send
        self.has = set()
        self.in_flight = {}
        self.latency = 0.0
        self.joined = False
        self.bitmap = b""
        self.corrupt_chunks = 0
        self.failures = 0
        self._partial: dict[int, bytearray] = {}
        # The requests that timed out last, by chunk, with the time of each request: the chunks may
        # still arrive.
        self._timed_out: dict[int, float] = {}
        self.on_time_at = float("-inf")
        self._blocked_until = 0.0
        self._settings = settings
        self._backoff = settings.min_backoff_seconds

    @property
    def quarantined(self) -> bool:
        """Whether it sent too many corrupt chunks."""
        return self.corrupt_chunks >= QUARANTINE_CORRUPT_CHUNKS

    @property
    def is_usable(self) -> bool:
        """Whether its chunks count as available.

        A host that failed several times in a row may be dead, so its chunks do not count until it
        answers again.
        """
        return not self.quarantined and self.failures < UNUSABLE_AFTER_FAILURES

    def is_late(self, now: float) -> bool:
        """Return whether a chunk from it is late and may still arrive."""
        waiting = [*self.in_flight.values(), *self._timed_out.values()]
        return any(
            self._settings.slow_request_seconds < now - at < MAX_ARRIVAL_SECONDS for at in waiting
        )

    def is_ready(self, now: float) -> bool:
        """Return whether another chunk may be requested from it."""
        if self.quarantined or now < self._blocked_until:
            return False
        return len(self.in_flight) < REQUESTS_PER_HOST

    def timeout(self) -> float:
        """Return the seconds after which a request to it times out."""
        usual = TIMEOUT_FACTOR * self.latency or self._settings.max_timeout_seconds / 2
        return min(
            self._settings.max_timeout_seconds, max(self._settings.min_timeout_seconds, usual)
        )

    def note_received(self, index: int) -> None:
        """Record that a requested chunk arrived, and update the latency."""
        requested_at = self.in_flight.pop(index, None)
        late_requested_at = self._timed_out.pop(index, None)
        if requested_at is None and late_requested_at is not None:
            # The chunk was late, not lost, so later requests wait for as long.
            self.latency = max(self.latency, monotonic() - late_requested_at)
            return
        if requested_at is None:
            return
        now = monotonic()
        sample = now - requested_at
        if sample < self._settings.slow_request_seconds:
            self.on_time_at = now
        self.latency += (sample - self.latency) * (LATENCY_GAIN if self.latency else 1.0)
        self._backoff = self._settings.min_backoff_seconds
        self.failures = 0

    def assemble(self, index: int, offset: int, size: int, part: bytes) -> bytes | None:
        """Add a part of a chunk; return the chunk once it is complete.

        Parts of one chunk arrive in order over one link. A part that does not continue the
        previous ones belongs to a request that timed out, and discards them.
        """
        if offset == 0 and len(part) == size:
            return part
        held = bytearray() if offset == 0 else self._partial.pop(index, None)
        if held is None or len(held) != offset:
            return None
        held += part
        if len(held) >= size:
            return bytes(held)
        self._partial[index] = held
        return None

    def note_busy(self, index: int, pause_seconds: float) -> None:
        """Record a refused request; the next one may follow after `pause_seconds`."""
        self.in_flight.pop(index, None)
        self._blocked_until = monotonic() + pause_seconds

    def note_timeout(self) -> None:
        """Record that its requests timed out, and double its backoff time."""
        self._timed_out = dict(self.in_flight)
        self.in_flight.clear()
        self._partial.clear()
        self.failures += 1
        self._blocked_until = monotonic() + self._backoff
        self._backoff = min(self._settings.max_backoff_seconds, 2 * self._backoff)
