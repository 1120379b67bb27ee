"""Exit codes of the command-line tool, the same for all commands."""

from typing import Final

OK: Final = 0  # done; for `watch --until-converged`: converged
REJECTED: Final = 1  # the file is not valid, or no log contains the request
USAGE: Final = 2  # the command line is wrong (docopt exits with 1 and its usage text)
UNREACHABLE: Final = 3  # a daemon did not answer
TIMED_OUT: Final = 4  # `watch --until-converged` ran out of time
