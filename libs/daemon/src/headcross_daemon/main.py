"""headcrossd: the headcross daemon.

Usage:
  headcrossd --settings FILE
  headcrossd --check --settings FILE
  headcrossd (-h | --help)
  headcrossd --version

Options:
  --settings FILE  Settings in TOML; docs/operators/settings.md lists them.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 after a planned stop (SIGTERM or SIGINT), 2 for settings that are not valid, 3 when
an address cannot be bound (another daemon holds the slot).
"""

import logging
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final, Protocol

import trio
from docopt import docopt
from headcross_base.clocks import SuspensionClock
from headcross_base.earlysignals import EarlySignals
from headcross_base.errors import Failure
from headcross_base.logs import configure_logging
from headcross_base.version import VERSION
from headcross_wire.httpclient import SOURCE_IP
from headcross_wire.listening import BindError

from headcross_daemon.settings import Settings, read_settings

EXIT_STOPPED: Final = 0
EXIT_SETTINGS: Final = 2
EXIT_BIND: Final = 3
STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

logger = logging.getLogger(__name__)


def main() -> None:
    """Parse the command line, run the daemon and exit with its exit code."""
    arguments = docopt(__doc__, version=f"headcrossd {VERSION}")
    settings = read_settings(Path(arguments["--settings"]))
    if isinstance(settings, Failure):
        print(f"headcrossd: {settings.detail}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if arguments["--check"]:
        return
    configure_logging(settings.value.name, settings.value.log_level)
    sys.exit(run(settings.value, EarlySignals(STOP_SIGNALS)))


def run(settings: Settings, early_signals: EarlySignals) -> int:
    """Run a daemon with these settings until a stop signal; return the exit code."""
    code = EXIT_STOPPED
    try:
        trio.run(_run_until_stopped, settings, early_signals.received, clock=SuspensionClock())
    except* BindError as errors:
        logger.error("cannot listen", extra={"detail": str(errors.exceptions)})
        code = EXIT_BIND
    early_signals.ignore()
    return code


async def _run_until_stopped(settings: Settings, early_signals: Sequence[int]) -> None:
    SOURCE_IP.set(settings.listen.source_ip or None)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, stop, early_signals)
        await _make_daemon(settings).run(stop)
        nursery.cancel_scope.cancel()


async def _watch_signals(stop: trio.Event, early_signals: Sequence[int]) -> None:
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        for number in early_signals:
            _handle_signal(number, stop)
        async for number in signals:
            _handle_signal(number, stop)


def _handle_signal(number: int, stop: trio.Event) -> None:
    logger.info("stop requested", extra={"signal": signal.Signals(number).name})
    stop.set()


class Daemon(Protocol):
    """The interface that both roles have."""

    async def run(self, stop: trio.Event) -> None:
        """Serve until `stop` is set, then drain and return."""


def _make_daemon(settings: Settings) -> Daemon:
    # Each role is imported only when used, which keeps the other one's libraries out of memory.
    if settings.role == "entry":
        from headcross_daemon.entry import EntryDaemon

        return EntryDaemon(settings)
    from headcross_daemon.upstream import UpstreamDaemon

    return UpstreamDaemon(settings)


if __name__ == "__main__":
    main()
