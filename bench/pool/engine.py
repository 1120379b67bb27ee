"""Simulates a replica with continuous batching in virtual time.

Each pass reads the prompts of newly admitted requests and then writes one event for every request
in the batch. As in the engines that it models, a step takes a fixed time plus a small time per
request, prompts are read between steps, and an event holds several tokens.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec
import trio


class EngineSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The capacity and speed of one replica; times in milliseconds."""

    slots: int = 12  # concurrent requests
    step_ms: float = 6.73
    step_ms_per_request: float = 0.0219
    stride: int = 7  # steps per pass, and tokens per event
    prompt_tokens_per_ms: float = 30.6
    first_ms: float = 12.0  # delay of a first event, besides that of the network


@dataclass(eq=False)
class Job:
    """One request at a replica."""

    prompt_tokens: int
    events_left: int
    first_event_at: float = 0.0  # when the caller received the first event (trio's clock)
    began: trio.Event = field(default_factory=trio.Event)
    ended: trio.Event = field(default_factory=trio.Event)


class BatchReplica:
    """A replica that serves requests in one batch and queues the rest."""

    # Requests in the batch, and those that wait for a slot.
    running: list[Job]
    queued: deque[Job]

    def __init__(self, spec: EngineSpec) -> None:
        self.running = []
        self.queued = deque()
        self._spec = spec
        self._unread_prompt_tokens = 0  # of the requests admitted last
        self._submitted = trio.Event()

    def submit(self, job: Job) -> None:
        """Queue a request."""
        self.queued.append(job)
        self._submitted.set()

    def cancel(self, job: Job) -> None:
        """Remove a request whose caller has disconnected."""
        if job in self.queued:
            self.queued.remove(job)
        elif job in self.running:
            self.running.remove(job)

    async def run(self) -> None:
        """Serve requests until cancelled."""
        while True:
            self._fill_batch()
            if not self.running:
                self._submitted = trio.Event()
                await self._submitted.wait()
                continue
            await trio.sleep(self._pass_seconds())
            for job in list(self.running):
                self._write_event(job)

    def _fill_batch(self) -> None:
        self._unread_prompt_tokens = 0
        while self.queued and len(self.running) < self._spec.slots:
            job = self.queued.popleft()
            self.running.append(job)
            self._unread_prompt_tokens += job.prompt_tokens

    def _pass_seconds(self) -> float:
        spec = self._spec
        step_ms = spec.step_ms + spec.step_ms_per_request * len(self.running)
        reading_ms = self._unread_prompt_tokens / spec.prompt_tokens_per_ms
        return (spec.stride * step_ms + reading_ms) / 1000

    def _write_event(self, job: Job) -> None:
        job.began.set()
        job.events_left -= 1
        if job.events_left <= 0:
            self.running.remove(job)
            job.ended.set()
