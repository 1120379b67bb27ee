"""A replica that batches continuously, in virtual time.

Each pass reads the prompts of what was let in and then writes one event for every request in the
batch, as the users' pages describe their engines: a step takes a fixed time and a little for each
request, prompts are read between steps, and an event holds several tokens.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec
import trio


class EngineSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one replica can do; times in milliseconds."""

    slots: int = 12  # requests at once
    step_ms: float = 6.73
    step_ms_per_request: float = 0.0219
    stride: int = 7  # steps, and tokens in one event
    prompt_tokens_per_ms: float = 30.6
    first_ms: float = 12.0


@dataclass(eq=False)
class Job:
    """One request at a replica."""

    prompt_tokens: int
    events_left: int
    first_event_at: float = 0.0  # when its caller had its first event (trio's clock)
    began: trio.Event = field(default_factory=trio.Event)
    ended: trio.Event = field(default_factory=trio.Event)


class BatchReplica:
    """One replica."""

    # Requests that run, and those that wait for a slot.
    running: list[Job]
    queued: deque[Job]

    def __init__(self, spec: EngineSpec) -> None:
        self.running = []
        self.queued = deque()
        self._spec = spec
        self._unread = 0  # prompt tokens of what was let in last
        self._news = trio.Event()

    def submit(self, job: Job) -> None:
        """Take a request."""
        self.queued.append(job)
        self._news.set()

    def drop(self, job: Job) -> None:
        """Forget a request whose caller has left."""
        if job in self.queued:
            self.queued.remove(job)
        elif job in self.running:
            self.running.remove(job)

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            self._let_in()
            if not self.running:
                self._news = trio.Event()
                await self._news.wait()
                continue
            await trio.sleep(self._pass_seconds())
            for job in list(self.running):
                self._write_event(job)

    def _let_in(self) -> None:
        self._unread = 0
        while self.queued and len(self.running) < self._spec.slots:
            job = self.queued.popleft()
            self.running.append(job)
            self._unread += job.prompt_tokens

    def _pass_seconds(self) -> float:
        spec = self._spec
        step = spec.step_ms + spec.step_ms_per_request * len(self.running)
        reading = self._unread / spec.prompt_tokens_per_ms
        return (spec.stride * step + reading) / 1000

    def _write_event(self, job: Job) -> None:
        job.began.set()
        job.events_left -= 1
        if job.events_left <= 0:
            self.running.remove(job)
            job.ended.set()
