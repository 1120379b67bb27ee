"""Kills, stops, pauses, reloads and restarts the processes of a soak."""

import signal
from dataclasses import dataclass, field
from typing import Final

import trio

from bench.soak.bounds import STOP_SECONDS
from bench.soak.record import PlannedStop
from bench.soak.site import Site

POLL_SECONDS: Final = 0.02
# A process still running this long after its stop signal is a finding. The margin allows for a
# busy machine and for a pause during the stop.
STOP_LIMIT_SECONDS: Final = STOP_SECONDS + 10.0


@dataclass(frozen=True, slots=True)
class ProcessFinding:
    """A process that ended unexpectedly, or did not end as it should."""

    process: str
    at: float
    detail: str


@dataclass
class Processes:
    """The processes of a site; each has at most one kill or stop in progress."""

    site: Site
    findings: list[ProcessFinding] = field(default_factory=list)
    _claimed: set[str] = field(default_factory=set)  # processes being ended or restarted

    async def kill(self, name: str, downtime_seconds: float) -> None:
        """Kill a process and restart it after `downtime_seconds`."""
        if not self._claim(name):
            return
        disturbance = self.site.begin_disturbance("kill", self.site.machines_at(name))
        self.site.machines.signal(name, signal.SIGKILL)
        await self._wait_exit(name)
        await self._start_again(name, downtime_seconds)
        disturbance.ended_at = trio.current_time()

    async def stop(self, name: str, downtime_seconds: float) -> None:
        """Stop a process by SIGTERM and restart it after `downtime_seconds`."""
        if not self._claim(name):
            return
        if name.startswith("entry"):
            await self._stop_entry(name, downtime_seconds)
        else:
            disturbance = self.site.begin_disturbance("daemon stop", self.site.machines_at(name))
            self.site.machines.signal(name, signal.SIGTERM)
            await self._wait_stopped(name)
            await self._start_again(name, downtime_seconds)
            disturbance.ended_at = trio.current_time()

    async def _stop_entry(self, name: str, downtime_seconds: float) -> None:
        stop = PlannedStop(name, trio.current_time())
        self.site.record.stops.append(stop)
        self.site.machines.signal(name, signal.SIGTERM)
        await self._wait_stopped(name)
        stop.ended_at = trio.current_time()
        await self._start_again(name, downtime_seconds)
        stop.restarted_at = trio.current_time()

    async def pause(self, name: str, seconds: float) -> None:
        """Pause a process by SIGSTOP for some seconds."""
        process = self.site.machines.machines[name].process
        if process is None or process.poll() is not None:
            return
        disturbance = self.site.begin_disturbance("pause", self.site.machines_at(name))
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
        disturbance.ended_at = trio.current_time()

    def reload(self, name: str, memory_mb: float) -> None:
        """Change the memory limit in a process's settings file and send SIGHUP."""
        path = self.site.machines.directory / f"{name}.toml"
        lines = path.read_text().splitlines()
        changed = [
            f"memory_mb = {memory_mb}" if line.startswith("memory_mb") else line for line in lines
        ]
        path.write_text("\n".join(changed) + "\n")
        process = self.site.machines.machines[name].process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGHUP)

    async def watch(self) -> None:
        """Restart processes that exit unexpectedly, and record each exit as a finding."""
        async with trio.open_nursery() as nursery:
            while True:
                for name, machine in list(self.site.machines.machines.items()):
                    process = machine.process
                    if name in self._claimed or process is None or process.poll() is None:
                        continue
                    self._claimed.add(name)
                    self._add_finding(name, f"ended by itself with code {process.returncode}")
                    nursery.start_soon(self._restart, name)
                await trio.sleep(POLL_SECONDS)

    async def _restart(self, name: str) -> None:
        disturbance = self.site.begin_disturbance("own end", self.site.machines_at(name))
        self.site.note_exit(name)
        await self._start_again(name, 0.0)
        disturbance.ended_at = trio.current_time()

    def _claim(self, name: str) -> bool:
        """Claim a running process for a kill or stop; return False if it cannot be claimed."""
        process = self.site.machines.machines[name].process
        if name in self._claimed or process is None or process.poll() is not None:
            return False
        self._claimed.add(name)
        return True

    async def _start_again(self, name: str, downtime_seconds: float) -> None:
        await trio.sleep(downtime_seconds)
        await self.site.start_process(name)
        self._claimed.discard(name)
        await self.site.wait_until_up(name)

    async def _wait_stopped(self, name: str) -> None:
        with trio.move_on_after(STOP_LIMIT_SECONDS) as limit:
            await self._wait_exit(name)
        process = self.site.machines.machines[name].process
        assert process is not None
        if limit.cancelled_caught:
            self._add_finding(name, f"still runs {STOP_LIMIT_SECONDS} s after its stop signal")
            process.kill()
            await self._wait_exit(name)
        elif process.returncode:
            self._add_finding(name, f"ended a planned stop with code {process.returncode}")

    async def _wait_exit(self, name: str) -> None:
        process = self.site.machines.machines[name].process
        assert process is not None
        while process.poll() is None:
            await trio.sleep(POLL_SECONDS)
        self.site.note_exit(name)

    def _add_finding(self, name: str, detail: str) -> None:
        self.findings.append(ProcessFinding(name, trio.current_time(), detail))
        self.site.print_progress(f"FINDING {name} {detail}")
