"""Starts a process on the machines of a platform: settings, logs, signals and the role.

The program that calls `run` supplies the adapter of its platform; this module does not depend on
the platform. Exit codes: 0 after a planned stop, 2 for settings that are not valid, 3 when an
address cannot be bound.
"""

import faulthandler
import gc
import logging
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Final, Protocol

import trio
from headcross_base.addresses import Address, parse_address
from headcross_base.clocks import SuspensionClock
from headcross_base.errors import Failure
from headcross_base.linelog import LineLog, configure_line_log
from headcross_base.version import VERSION
from headcross_ports.adapter import Adapter
from headcross_wire.httpclient import SOURCE_IP
from headcross_wire.httpserver import BindError

from headcross_daemon.machineprocess import MachineProcess
from headcross_daemon.machinesettings import MachineSettings, read_machine_settings

EXIT_STOPPED: Final = 0
EXIT_SETTINGS: Final = 2
EXIT_BIND: Final = 3

logger = logging.getLogger(__name__)

MakeAdapter = Callable[[Address, Address | None], Adapter]


class Role(Protocol):
    """The interface that both roles have."""

    process: MachineProcess

    async def run(self, stop: trio.Event) -> None:
        """Serve until `stop` is set."""


def run(path: Path, make_adapter: MakeAdapter) -> int:
    """Run the process that a settings file describes; return the exit code."""
    # If a native library crashes, the stack of every thread is written to standard error.
    faulthandler.enable()
    settings = read_machine_settings(path)
    if isinstance(settings, Failure):
        print(f"headcross: {settings.detail}", file=sys.stderr)
        return EXIT_SETTINGS
    log = configure_line_log(settings.value.host, settings.value.log_level)
    store = parse_address(settings.value.store.address)
    adapter = make_adapter(store, settings.value.replica_address)
    code = EXIT_STOPPED
    try:
        trio.run(_run_until_stopped, settings.value, path, adapter, log, clock=SuspensionClock())
    except* BindError as errors:
        logger.error("cannot listen", extra={"detail": str(errors.exceptions)})
        code = EXIT_BIND
    finally:
        log.flush()
    return code


async def _run_until_stopped(
    settings: MachineSettings, path: Path, adapter: Adapter, log: LineLog
) -> None:
    SOURCE_IP.set(settings.ip)
    stop = trio.Event()
    role = _make_role(settings, path, adapter)
    # Objects created so far live as long as the process, so the garbage collector need not
    # traverse them again.
    gc.freeze()
    logger.info(
        "started", extra={"version": VERSION, "role": settings.role, "zone": settings.zone}
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        nursery.start_soon(_watch_signals, stop, role.process)
        await role.run(stop)
        nursery.cancel_scope.cancel()


async def _watch_signals(stop: trio.Event, process: MachineProcess) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                process.reload("signal")
            else:
                logger.info("stop requested", extra={"signal": signal.Signals(number).name})
                stop.set()


def _make_role(settings: MachineSettings, path: Path, adapter: Adapter) -> Role:
    # Each role is imported only when used, which keeps the other one's libraries out of memory.
    if settings.role == "entry":
        from headcross_daemon.gatewayrole import GatewayRole

        return GatewayRole(settings, path, adapter)
    from headcross_daemon.renewalrole import RenewalRole

    return RenewalRole(settings, path, adapter)
