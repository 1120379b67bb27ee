"""Starts a headcross process on a host of the platform.

Adds the project's libraries to the module path, because the build does not install them, and runs
the process with the settings file and the platform's adapter.
"""

import gc
import os
import sys
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
SETTINGS_VARIABLE: Final = "HEADCROSS_NODE_FILE"


def main() -> int:
    """Run the process of this host; return the exit code."""
    # Most objects that imports create live as long as the process, so collections find little. The
    # collector is enabled when the role runs.
    gc.disable()
    sys.path[:0] = [str(path) for path in (ROOT / "libs").glob("*/src")]
    sys.path.insert(0, str(ROOT / "platform" / "src"))
    from headcross_daemon.machinemain import run
    from headcross_platform.adapter import make_adapter, make_early_adapter

    return run(Path(os.environ[SETTINGS_VARIABLE]), make_adapter, make_early_adapter)


if __name__ == "__main__":
    sys.exit(main())
