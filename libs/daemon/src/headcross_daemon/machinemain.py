"""Starts a process on the machines of a platform: settings, early repairs, then the role.

The program that calls `run` supplies the adapters of its platform; this module does not depend on
the platform. It imports little: a daemon first checks what is staged at its replica, and only then
imports the modules of its role. Exit codes: those of the role, and 2 for settings that are not
valid.
"""

import faulthandler
import logging
import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Final

from headcross_base.addresses import Address, parse_address
from headcross_base.earlylog import configure_early_log
from headcross_base.earlysignals import EarlySignals
from headcross_base.errors import Failure
from headcross_ports.early import EarlyAdapter

from headcross_daemon.machinesettings import MachineSettings, read_machine_settings

if TYPE_CHECKING:
    from headcross_ports.adapter import Adapter
    from headcross_renewal.earlyrepair import EarlyRepair, EarlyResults
    from headcross_wire.addressclaim import AddressClaim

    from headcross_daemon.gatewayrole import MakeMirror

EXIT_SETTINGS: Final = 2
# Maximum time for which the import of other modules waits for the first check of the staged copy.
FIRST_CHECK_SECONDS: Final = 1.0

logger = logging.getLogger(__name__)

MakeAdapter = Callable[[Address, Address | None], "Adapter"]
MakeEarlyAdapter = Callable[[Address, Address, str], EarlyAdapter]


def run(path: Path, make_adapter: MakeAdapter, make_early_adapter: MakeEarlyAdapter) -> int:
    """Run the process that a settings file describes; return the exit code."""
    # If a native library crashes, the stack of every thread is written to standard error.
    faulthandler.enable()
    outcome = read_machine_settings(path)
    if isinstance(outcome, Failure):
        print(f"headcross: {outcome.detail}", file=sys.stderr)
        return EXIT_SETTINGS
    settings = outcome.value
    early_log = configure_early_log()
    early_signals = EarlySignals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    early = _start_early_phase(settings, make_early_adapter)
    adapter = make_adapter(parse_address(settings.store.address), settings.replica_address)
    # Each role is imported only when used, which keeps the other one's libraries out of memory.
    from headcross_daemon.machinerole import run_role

    if settings.role == "entry":
        from headcross_daemon.gatewayrole import GatewayRole

        # An entry without a mirror does not need its libraries. They are imported here because
        # the role starts threads of native libraries, beside which nothing is imported.
        make_mirror: MakeMirror | None = None
        if settings.listen.swarm:
            from headcross_daemon.mirrorparts import MirrorParts

            make_mirror = MirrorParts
        make_entry = partial(GatewayRole, settings, path, adapter, make_mirror)
        return run_role(settings, make_entry, early_log, early_signals)
    from headcross_renewal.earlyrepair import EarlyResults

    from headcross_daemon.renewalrole import RenewalRole

    early_results = early.end() if early is not None else EarlyResults()
    make_upstream = partial(RenewalRole, settings, path, adapter, early_results)
    return run_role(settings, make_upstream, early_log, early_signals)


class _EarlyPhase:
    """The early repair, and the claim to this daemon's address that it needs."""

    def __init__(self, claim: "AddressClaim", repair: "EarlyRepair") -> None:
        self._claim = claim
        self._repair = repair
        repair.start()
        repair.wait_checked(FIRST_CHECK_SECONDS)

    def end(self) -> "EarlyResults":
        """End the repair, free the address for the role, and return the results."""
        self._repair.stop()
        self._claim.release()
        return self._repair.results


def _start_early_phase(
    settings: MachineSettings, make_early_adapter: MakeEarlyAdapter
) -> _EarlyPhase | None:
    """Start to repair what is staged at the replica beside a daemon; an entry has none."""
    if settings.role == "entry" or settings.replica_address is None:
        return None
    from headcross_renewal.earlyrepair import EarlyRepair
    from headcross_wire.addressclaim import AddressClaim

    try:
        claim = AddressClaim(parse_address(settings.listen.peers))
    except OSError as error:
        # Another process of this daemon may run, so this one must put nothing.
        logger.warning("no early repair", extra={"reason": str(error)})
        return None
    adapter = make_early_adapter(
        parse_address(settings.store.address), settings.replica_address, settings.ip
    )
    return _EarlyPhase(claim, EarlyRepair(adapter, settings.seed_addresses, settings.ip))
