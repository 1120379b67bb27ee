"""Shared parts of the review scripts: a small site on loopback and a record of what happened.

The processes are the project's own, started as `deploy/system.toml` says; the store, the origin,
the replicas and the callers are the stand-ins of `testing`.
"""

import ctypes
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any, TextIO

import trio

from testing import machinelayout

# The weights of the small sites; set before the other stand-ins read it.
machinelayout.CHUNKS = 64
machinelayout.CHUNK_BYTES = 32 * 1024

PORT_NAMES = ("CALLERS", "READINESS", "PEERS", "SWARM", "REPLICA", "METRICS", "STORE", "ORIGIN")


def find_free_ports(count: int) -> range:
    """Return successive ports that are free at every address of this machine."""
    while True:
        first = random.randrange(20000, 30000)
        ports = range(first, first + count)
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind(("0.0.0.0", port))
        except OSError:
            continue
        return ports


def use_free_ports() -> None:
    """Replace the ports of the layout, which are the same on all hosts, by free ones."""
    for name, port in zip(PORT_NAMES, find_free_ports(len(PORT_NAMES)), strict=True):
        before = getattr(machinelayout, name)
        machinelayout.SETTINGS = machinelayout.SETTINGS.replace(str(before), str(port))
        setattr(machinelayout, name, port)


use_free_ports()

from testing import machines as machines_module  # noqa: E402
from testing.machinecaller import Reply, ask  # noqa: E402
from testing.machinelayout import (  # noqa: E402
    CHUNK_BYTES,
    CHUNKS,
    MODEL_SERVICE,
    PLAIN_SERVICE,
)
from testing.machines import Machines, running_machines  # noqa: E402

PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)
TOKEN_COUNT = "1460,80"


def prompt_parts() -> str:
    """Return the parts of a prompt; the last one belongs to the request itself."""
    return f"5c1e07a2:800,{random.getrandbits(32):08x}:660"


def end_with_parent() -> None:
    """Have the kernel kill this process when the script's process ends, however that ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


machines_module.subprocess = SimpleNamespace(  # type: ignore[assignment]
    Popen=partial(subprocess.Popen, preexec_fn=end_with_parent), STDOUT=subprocess.STDOUT
)

HELD, BROKEN, NOT_RUN = 0, 1, 2
START_SECONDS = 30.0
MAX_RUN_SECONDS = 110.0


class CannotRun(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, with seconds since the start."""

    def __init__(self, file: TextIO) -> None:
        self._file = file
        self._started_at = trio.current_time()

    def note(self, text: str) -> None:
        """Write one line."""
        line = f"{trio.current_time() - self._started_at:8.3f} s  {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, case: Callable[[Record, Path], Awaitable[bool]]) -> int:
    """Run a case, which returns whether the rule held; return the exit code."""

    async def main() -> int:
        with (folder / "record.txt").open("w") as file, tempfile.TemporaryDirectory() as directory:
            record = Record(file)
            record.note(f"disruption: {'yes' if has_trouble() else 'no'}")
            try:
                with trio.fail_after(MAX_RUN_SECONDS):
                    held = await case(record, Path(directory))
            except (CannotRun, trio.TooSlowError) as error:
                record.note(f"the case could not run: {error or 'too slow'}")
                return NOT_RUN
            except BaseException:
                record.note(f"the case could not run: {traceback.format_exc()}")
                return NOT_RUN
            record.note("result: the rule held" if held else "result: the rule was broken")
            return HELD if held else BROKEN

    # A stop request ends the case's processes too.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda number, frame: sys.exit(NOT_RUN))
    return trio.run(main)


async def wait_for(what: str, condition: Callable[[], bool], seconds: float) -> None:
    """Wait until a condition holds; raise CannotRun after some seconds."""
    with trio.move_on_after(seconds):
        while not condition():
            await trio.sleep(0.005)
        return
    raise CannotRun(f"{what}: not within {seconds} s")


@asynccontextmanager
async def site_of(
    directory: Path,
    *,
    models: int = 0,
    plain: int = 0,
    entries: int = 1,
    configure: Callable[[Machines], None] = lambda site: None,
) -> AsyncIterator[Machines]:
    """Run a small site that serves version 1; each model replica has its daemon beside it."""
    async with running_machines(directory) as site:
        configure(site)
        site.publish()
        site.origin.versions[1] = [os.urandom(CHUNK_BYTES) for _ in range(CHUNKS)]
        for index in range(entries):
            site.add_entry(f"entry{index}", "z0")
        for index in range(models + plain):
            service = MODEL_SERVICE if index < models else PLAIN_SERVICE
            listed = await site.add_replica(service, "z0", version=1 if index < models else 0)
            if index < models:
                site.add_daemon(f"daemon{index}", listed)
        await trio.sleep(0.2)  # the replicas enter themselves in the store
        for name in site.machines:
            site.start(name)
        with trio.move_on_after(START_SECONDS) as scope:
            await site.wait_ready(*(f"entry{index}" for index in range(entries)))
        if scope.cancelled_caught:
            raise CannotRun("the entries did not become ready")
        yield site


def model_replicas(site: Machines) -> list[Any]:
    """Return the replicas of the model, in start order."""
    return [r.replica for r in site.replicas.values() if r.service == MODEL_SERVICE]


async def ask_steadily(
    site: Machines, record: Record, replies: list[Reply], entry: str = "entry0"
) -> None:
    """Send a request for a stream every 0.1 s, until cancelled."""
    async with trio.open_nursery() as nursery:

        async def send() -> None:
            prompt = [("x-token-count", TOKEN_COUNT), ("x-prefix-hash", prompt_parts())]
            reply = await ask(site.callers(entry), "/stream/x", headers=prompt)
            replies.append(reply)
            record.note(
                f"caller: {reply.id} answered {reply.status or 'nothing'}, "
                f"{len(reply.body)} bytes, whole {reply.whole}"
            )

        while True:
            nursery.start_soon(send)
            await trio.sleep(0.1)
