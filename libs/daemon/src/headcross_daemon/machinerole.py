"""Runs the role of a process on the machines of a platform, with its logs and signals.

Exit codes: 0 after a planned stop, 3 when an address cannot be bound.
"""

import gc
import logging
import signal
from collections.abc import Callable, Sequence
from functools import partial
from typing import Final, Protocol

import trio
from headcross_base.clocks import SuspensionClock
from headcross_base.earlylog import EarlyLog
from headcross_base.earlysignals import EarlySignals
from headcross_base.linelog import LineLog, configure_line_log
from headcross_base.supervision import keep_running
from headcross_base.version import VERSION
from headcross_wire.httpclient import SOURCE_IP
from headcross_wire.listening import BindError

from headcross_daemon.machineprocess import MachineProcess
from headcross_daemon.machinesettings import MachineSettings

EXIT_STOPPED: Final = 0
EXIT_BIND: Final = 3
HANDLED_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

logger = logging.getLogger(__name__)


class Role(Protocol):
    """The interface that both roles have."""

    process: MachineProcess

    async def run(self, stop: trio.Event) -> None:
        """Serve until `stop` is set."""


MakeRole = Callable[[], Role]


def run_role(
    settings: MachineSettings,
    make_role: MakeRole,
    early_log: EarlyLog,
    early_signals: EarlySignals,
) -> int:
    """Run the role until a stop is requested; return the exit code.

    The records of `early_log` are the first lines of the log; signals that `early_signals`
    received are handled first.
    """
    log = configure_line_log(settings.host, settings.log_level)
    early_log.hand_over()
    code = EXIT_STOPPED
    try:
        trio.run(
            _run_until_stopped,
            settings,
            make_role,
            log,
            early_signals.received,
            clock=SuspensionClock(),
        )
    except* BindError as errors:
        logger.error("cannot listen", extra={"detail": str(errors.exceptions)})
        code = EXIT_BIND
    finally:
        early_signals.ignore()
        log.flush()
    return code


async def _run_until_stopped(
    settings: MachineSettings, make_role: MakeRole, log: LineLog, early_signals: Sequence[int]
) -> None:
    SOURCE_IP.set(settings.ip)
    stop = trio.Event()
    role = make_role()
    # Objects created so far live as long as the process, so the garbage collector need not
    # traverse them again.
    gc.freeze()
    gc.enable()
    logger.info(
        "started", extra={"version": VERSION, "role": settings.role, "zone": settings.zone}
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_running, "log", log.run)
        nursery.start_soon(
            keep_running, "signals", partial(_watch_signals, stop, role.process, early_signals)
        )
        await role.run(stop)
        nursery.cancel_scope.cancel()


async def _watch_signals(
    stop: trio.Event, process: MachineProcess, early_signals: Sequence[int]
) -> None:
    with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
        for number in early_signals:
            _handle_signal(number, stop, process)
        async for number in signals:
            _handle_signal(number, stop, process)


def _handle_signal(number: int, stop: trio.Event, process: MachineProcess) -> None:
    if number == signal.SIGHUP:
        process.reload("signal")
    else:
        logger.info("stop requested", extra={"signal": signal.Signals(number).name})
        stop.set()
