"""Runs the command line of the soak (`python -m bench.soak`)."""

import sys

from bench.soak.main import main

sys.exit(main())
