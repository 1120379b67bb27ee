"""Rate limiting of links by a token bucket that serves waiters in order of arrival."""

import trio
from headcross_base.monotonic import monotonic


class LinkRate:
    """Limits the bytes sent in one direction over one link.

    A task may take more bytes than the burst at once; it then waits until all bytes taken so far
    could have been sent at the rate. A rate of 0 means no limit.
    """

    # Bytes taken so far, less those refunded.
    total_bytes: int

    def __init__(self, bytes_per_second: float, burst_bytes: float) -> None:
        self.total_bytes = 0
        self._rate = bytes_per_second
        self._burst_seconds = burst_bytes / bytes_per_second if bytes_per_second else 0.0
        self._free_at = 0.0  # monotonic time by which all bytes taken can be sent

    @property
    def bytes_per_second(self) -> float:
        """The rate; 0 means no limit."""
        return self._rate

    def set_rate(self, bytes_per_second: float) -> None:
        """Change the rate, which must not be 0; the delays of current waiters do not change."""
        self._burst_seconds *= self._rate / bytes_per_second
        self._rate = bytes_per_second

    async def take(self, count: int) -> None:
        """Wait until `count` bytes may be sent."""
        delay = self.reserve(count)
        if delay > 0:
            await trio.sleep(delay)

    def reserve(self, count: int) -> float:
        """Reserve `count` bytes and return the seconds to wait before sending them."""
        self.total_bytes += count
        if not self._rate:
            return 0.0
        now = monotonic()
        start = max(self._free_at, now - self._burst_seconds)
        self._free_at = start + count / self._rate
        return max(0.0, self._free_at - now)

    def refund(self, count: int) -> None:
        """Return bytes that were taken and not sent."""
        self.total_bytes -= count
        if self._rate:
            self._free_at -= count / self._rate
