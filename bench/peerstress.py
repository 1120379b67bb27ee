"""Stress test that looks for crashes of native code in the peer channel between processes.

Usage:
  peerstress [--seconds N] [--nodes N] [--heartbeat MS] [--port PORT] [--seed N]
  peerstress --node ADDRESS --peers ADDRESSES --heartbeat MS

Options:
  --seconds N        Duration of the test [default: 60].
  --nodes N          Number of processes that exchange messages [default: 8].
  --heartbeat MS     Heartbeat interval of the transport, 0 for none [default: 60].
  --port PORT        The first port on loopback; each process uses one [default: 21000].
  --seed N           Seed of the kills and stops; drawn if not given.
  --node ADDRESS     Run as one of the processes, listening at this address (IP:PORT).
  --peers ADDRESSES  The other processes, separated by commas.

Every process requests chunks from some others, resets a link now and then, and is killed, or
stopped for up to 1.5 s, at random. A process that ends in any other way is reported with the last
part of its standard error. The last line of output is JSON; the exit code is 1 if any process
ended by itself.
"""

import faulthandler
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import trio
import trio.testing
from docopt import docopt
from headcross_base.addresses import Address, parse_address
from headcross_wire import zmqsocket
from headcross_wire.peermessages import Chunk, Subscribe
from headcross_wire.peernode import IncomingMessage, PeerNode

# A link is closed if a peer answers none of this many heartbeats, as in the product.
HEARTBEATS_TO_TIMEOUT: Final = 3
PART_BYTES: Final = 8192
CHUNK_BYTES: Final = 32768
QUEUE_MESSAGES: Final = 32
MAX_PAYLOAD_BYTES: Final = 1 << 20
RESET_SHARE: Final = 0.05
MAX_MESSAGES_PER_ROUND: Final = 4
# Each step kills or stops at most one process, with these probabilities.
STEP_SECONDS: Final = 0.1
KILL_SHARE: Final = 0.15
STOP_SHARE: Final = 0.25
STOP_DURATION_RANGE_SECONDS: Final = (0.2, 1.5)
STDERR_TAIL_BYTES: Final = 2000


async def run_node(own: Address, peers: list[Address]) -> None:
    """Request chunks from peers and answer requests for chunks until killed."""

    def handle(incoming: IncomingMessage) -> None:
        if isinstance(incoming.message, Subscribe):
            for index in range(random.randrange(MAX_MESSAGES_PER_ROUND)):
                chunk = Chunk(str(own), "a" * 64, index, 0, CHUNK_BYTES)
                incoming.reply(chunk, os.urandom(PART_BYTES))

    node = PeerNode(own, handle, QUEUE_MESSAGES, MAX_PAYLOAD_BYTES)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node.run)
        await trio.testing.wait_all_tasks_blocked()
        while True:
            for peer in random.sample(peers, min(MAX_MESSAGES_PER_ROUND, len(peers))):
                node.send(peer, Subscribe(str(own)))
            if random.random() < RESET_SHARE:
                node.reset(random.choice(peers))
            await trio.sleep(random.uniform(0.001, 0.01))


@dataclass
class Stress:
    """Starts, kills and stops the processes of one run."""

    addresses: list[str]
    heartbeat: str
    directory: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    stopped_until: dict[str, float] = field(default_factory=dict)
    kills: int = 0
    crashes: int = 0

    def start(self, address: str) -> None:
        """Start the process that listens at an address; its standard error goes to a file."""
        peers = ",".join(other for other in self.addresses if other != address)
        command = [sys.executable, "-m", "bench.peerstress", "--node", address]
        command += ["--peers", peers, "--heartbeat", self.heartbeat]
        with self._stderr_path(address).open("wb") as errors:
            self.processes[address] = subprocess.Popen(command, stderr=errors)

    def step(self) -> None:
        """Resume stopped processes when due, restart ended ones, and maybe kill or stop one."""
        for address in list(self.stopped_until):
            if time.monotonic() > self.stopped_until[address]:
                del self.stopped_until[address]
                self.processes[address].send_signal(signal.SIGCONT)
        for address in self.addresses:
            self._restart_if_ended(address)
        victim = random.choice(self.addresses)
        draw = random.random()
        if draw < KILL_SHARE:
            self.kills += 1
            self.processes[victim].kill()
        elif draw < KILL_SHARE + STOP_SHARE and victim not in self.stopped_until:
            self.stopped_until[victim] = time.monotonic() + random.uniform(
                *STOP_DURATION_RANGE_SECONDS
            )
            self.processes[victim].send_signal(signal.SIGSTOP)

    def end(self) -> None:
        """Kill every process of the run."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    def _restart_if_ended(self, address: str) -> None:
        code = self.processes[address].poll()
        if code is None:
            return
        self.stopped_until.pop(address, None)
        if code != -signal.SIGKILL:
            self.crashes += 1
            tail = self._stderr_path(address).read_bytes()[-STDERR_TAIL_BYTES:]
            print(f"{address} ended with {code}: {tail.decode(errors='replace')}", flush=True)
        self.start(address)

    def _stderr_path(self, address: str) -> Path:
        return self.directory / f"{address.replace(':', '-')}.txt"


def run_stress(arguments: Mapping[str, Any]) -> int:
    """Run the stress test; return the exit code."""
    seed = int(arguments["--seed"] or random.randrange(1 << 30))
    random.seed(seed)
    first = int(arguments["--port"])
    addresses = [f"127.0.0.1:{first + n}" for n in range(int(arguments["--nodes"]))]
    with tempfile.TemporaryDirectory() as directory:
        stress = Stress(addresses, arguments["--heartbeat"], Path(directory))
        try:
            for address in addresses:
                stress.start(address)
            until = time.monotonic() + float(arguments["--seconds"])
            while time.monotonic() < until:
                time.sleep(STEP_SECONDS)
                stress.step()
        finally:
            stress.end()
    line = {"seed": seed, "kills": stress.kills, "own_ends": stress.crashes}
    print(json.dumps({**line, "heartbeat_ms": int(arguments["--heartbeat"])}))
    return 1 if stress.crashes else 0


def main() -> int:
    """Run one node, or the whole stress test; return the exit code."""
    arguments = docopt(__doc__ or "")
    if arguments["--node"] is None:
        return run_stress(arguments)
    faulthandler.enable()
    heartbeat = int(arguments["--heartbeat"])
    zmqsocket.HEARTBEAT_MS = heartbeat  # type: ignore[misc]
    zmqsocket.HEARTBEAT_TIMEOUT_MS = heartbeat * HEARTBEATS_TO_TIMEOUT  # type: ignore[misc]
    peers = [parse_address(text) for text in arguments["--peers"].split(",")]
    trio.run(run_node, parse_address(arguments["--node"]), peers)
    return 0


if __name__ == "__main__":
    sys.exit(main())
