"""Admits requests to one upstream only while the rollout permits it to serve.

The rollout opens the gate when the upstream serves a complete, verified version, and closes it
when the upstream leaves; requests are counted until they end. Closing takes effect at once, even
if entries do not know of it yet, because every request passes the gate.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

import trio
from headcross_base.monotonic import monotonic

# States of an upstream, as dumps and heartbeats show them.
EMPTY: Final = "empty"  # serves nothing, and no weights are being fetched or loaded
STAGING: Final = "staging"  # fetches weights, serves nothing
STAGED: Final = "staged"  # has all weights and waits for its turn to load, serves nothing
LOADING: Final = "loading"  # the engine loads the weights
SERVING: Final = "serving"
LEAVING: Final = "leaving"  # takes no new requests; those in flight end or are resumed elsewhere


class UpstreamGate:
    """The state of one upstream and its number of requests in flight."""

    # Name of the upstream.
    name: str
    state: str
    # Pool or service that it serves or was last assigned to.
    pool: str
    # Digest of the weights that it serves; empty for plain services and while it serves nothing.
    digest: str
    # Number of requests handed over that have not ended.
    in_flight: int
    # When state, pool or digest last changed (monotonic).
    changed_at: float
    # Set while the resumable streams of a leaving upstream should be resumed elsewhere.
    hand_off: trio.Event
    # Whether a planned stop has begun.
    stopping: bool
    # Called after every change, so that a heartbeat reports it at once.
    on_change: Callable[[], None] | None

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = EMPTY
        self.pool = ""
        self.digest = ""
        self.in_flight = 0
        self.changed_at = monotonic()
        self.hand_off = trio.Event()
        self.stopping = False
        self.on_change = None
        self._idle = trio.Event()

    @property
    def accepts(self) -> bool:
        """Whether new requests are admitted now."""
        return self.state == SERVING and not self.stopping

    def set_state(self, state: str, pool: str, digest: str = "") -> None:
        """Set state, pool and digest; call `on_change` if any of them changed."""
        if (state, pool, digest) == (self.state, self.pool, self.digest):
            return
        self.state, self.pool, self.digest = state, pool, digest
        self.changed_at = monotonic()
        if state == SERVING:
            self.hand_off = trio.Event()
        self._notify_change()

    def stop(self) -> None:
        """Admit no new requests until the process ends."""
        self.stopping = True
        self._notify_change()

    @contextmanager
    def request_in_flight(self) -> Iterator[None]:
        """Count a request as in flight within the `with` block."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1
            if self.in_flight == 0:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.in_flight:
            self._idle = trio.Event()
            await self._idle.wait()

    def _notify_change(self) -> None:
        if self.on_change is not None:
            self.on_change()
