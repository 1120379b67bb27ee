"""The command line of the soak."""

import sys

from bench.soak.main import main

sys.exit(main())
