"""Measures what a process spends from its start until it is useful, alone and many at a time.

Usage:
  starts [--sites=N] [--batches=N]
  starts --site=DIRECTORY

Each site has one entry and one daemon beside a replica. Its daemon is killed while an order has no
answer, a staged chunk is corrupted, and the daemon is started again; later its entry is killed and
started again. All sites start their processes at the same moment. `--site` runs one of them.

Prints a JSON line with the median and the maximum over all sites of: the wall and processor
seconds from the start to the daemon's first call to its replica, to its first read of a staged
chunk, to its first repair of the corrupted chunk, and to the entry's first complete answer; and
the memory of both processes a few seconds after their start.

Options:
  --sites=N    number of sites at a time [default: 1]
  --batches=N  number of runs [default: 5]
"""

import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from statistics import median
from typing import Any, Final

import trio
from docopt import docopt

from bench.probe import read_memory, run_seconds
from testing.machinecaller import ask
from testing.machinelayout import MODEL_SERVICE, WAIT_SECONDS
from testing.machines import Machines, replicas_of, small_site
from testing.platformreplica import DaemonCall, FakeReplica

DAEMON: Final = "daemon0"
ENTRY: Final = "entry0"
# When memory is read, and how long a site is left alone before its entry is killed.
SETTLED_SECONDS: Final = 4.0
ASK_INTERVAL_SECONDS: Final = 0.01
MIB: Final = 1024 * 1024

Figures = dict[str, float]


class StartWatch:
    """Records the wall and processor time of one process at its first calls to its replica."""

    def __init__(self, site: Machines, figures: Figures) -> None:
        self._site = site
        self._figures = figures
        self._started_at = trio.current_time()
        self.repaired = trio.Event()

    async def observe(self, call: DaemonCall) -> bool:
        """Record a call; it is neither dropped nor delayed."""
        self.record("daemon_first_call")
        if call.reads_chunk:
            self.record("daemon_first_look")
        if call.puts_chunk:
            self.record("daemon_repair")
            self.repaired.set()
        return False

    def record(self, step: str, name: str = DAEMON) -> None:
        """Record the times of a step unless it was reached before."""
        if f"{step}_seconds" not in self._figures:
            self._figures[f"{step}_seconds"] = trio.current_time() - self._started_at
            self._figures[f"{step}_cpu_seconds"] = run_seconds(_pid(self._site, name))


async def run_site(directory: Path) -> Figures:
    """Measure the starts of one site's processes; waits for a line of input before each."""
    figures: Figures = {}
    async with small_site(directory, models=1, daemons=True) as site:
        await _wait_offered(site)
        (replica,) = replicas_of(site, MODEL_SERVICE)
        await _kill_with_order_in_doubt(site, replica)
        await _wait_for_others()
        await _measure_daemon(site, replica, figures)
        await trio.sleep(SETTLED_SECONDS)
        figures["daemon_private_mib"] = read_memory(_pid(site, DAEMON)).private_bytes / MIB
        await _kill(site, ENTRY)
        await _wait_for_others()
        await _measure_entry(site, figures)
        await trio.sleep(SETTLED_SECONDS)
        figures["entry_private_mib"] = read_memory(_pid(site, ENTRY)).private_bytes / MIB
    return figures


async def _measure_daemon(site: Machines, replica: FakeReplica, figures: Figures) -> None:
    replica.staged[0] = bytes(len(replica.staged[0]))
    site.name_version(3)
    watch = StartWatch(site, figures)
    replica.drops_call = watch.observe
    site.start(DAEMON)
    with trio.move_on_after(WAIT_SECONDS):
        await watch.repaired.wait()
    replica.drops_call = None
    replica.take_held_orders()


async def _measure_entry(site: Machines, figures: Figures) -> None:
    watch = StartWatch(site, figures)
    site.start(ENTRY)
    with trio.move_on_after(WAIT_SECONDS):
        while (await ask(site.callers(ENTRY), "/stream/x")).status != 200:
            await trio.sleep(ASK_INTERVAL_SECONDS)
        watch.record("entry_first_answer", ENTRY)


async def _wait_offered(site: Machines) -> None:
    """Wait until the daemon has all chunks of the loaded version."""
    with trio.fail_after(WAIT_SECONDS):
        while 1 not in (await site.state(DAEMON)).get("weights", {}).values():
            await trio.sleep(ASK_INTERVAL_SECONDS)


async def _kill_with_order_in_doubt(site: Machines, replica: FakeReplica) -> None:
    replica.orders_to_hold = 1
    site.name_version(2)
    with trio.fail_after(WAIT_SECONDS):
        while not replica.held_orders:
            await trio.sleep(0.005)
    await _kill(site, DAEMON)


async def _kill(site: Machines, name: str) -> None:
    site.signal(name, signal.SIGKILL)
    await site.wait_exit(name)


async def _wait_for_others() -> None:
    """Report that this site is ready, and wait for the line that all sites get together."""
    print("ready", flush=True)
    await trio.to_thread.run_sync(sys.stdin.readline)


def _pid(site: Machines, name: str) -> int:
    process = site.machines[name].process
    assert process is not None
    return process.pid


def run_batch(sites: int, directory: Path) -> list[Figures]:
    """Run a number of sites at a time; return their figures."""
    runs = []
    for number in range(sites):
        path = directory / str(number)
        path.mkdir()
        command = [sys.executable, "-m", "bench.starts", f"--site={path}"]
        pipe = subprocess.PIPE
        runs.append(subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True))
    for _ in range(2):
        for run in runs:
            _read_until_ready(run)
        for run in runs:
            assert run.stdin is not None
            run.stdin.write("go\n")
            run.stdin.flush()
    outputs = [run.communicate()[0].splitlines() for run in runs]
    return [json.loads(lines[-1]) for lines in outputs]


def _read_until_ready(run: subprocess.Popen[str]) -> None:
    assert run.stdout is not None
    for line in run.stdout:
        if line == "ready\n":
            return
    raise RuntimeError(f"a site ended early, with exit code {run.wait()}")


def summary(sites: int, results: list[Figures]) -> dict[str, Any]:
    """Return the median, the maximum and the number of values of each figure.

    >>> summary(1, [{"a": 1.0}, {"a": 2.0}, {}])
    {'sites': 1, 'runs': 3, 'a': [1.5, 2.0, 2]}
    """
    line: dict[str, Any] = {"sites": sites, "runs": len(results)}
    for name in sorted({name for figures in results for name in figures}):
        values = [figures[name] for figures in results if name in figures]
        line[name] = [round(median(values), 3), round(max(values), 3), len(values)]
    return line


def main() -> int:
    """Measure the starts; return the exit code."""
    arguments = docopt(__doc__)
    if arguments["--site"]:
        print(json.dumps(trio.run(run_site, Path(arguments["--site"]))))
        return 0
    results: list[Figures] = []
    for _ in range(int(arguments["--batches"])):
        with tempfile.TemporaryDirectory() as directory:
            results += run_batch(int(arguments["--sites"]), Path(directory))
    print(json.dumps(summary(int(arguments["--sites"]), results)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
