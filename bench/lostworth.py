"""Breaks down where simulated days lost worth, from the reports of the users' bench.

Usage:
  lostworth REPORT...

For each report (`--report FILE` of a run): the parts and prices of its worth, and what its
requests lost in each window of the day, in hundredths of the worth owed: by refusals, by failures,
and by answers that were late or broken off (all other losses).
"""

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from docopt import docopt

# Prices below this share of the day's worth are not printed.
MIN_PRICE: Final = 0.0005
# Windows that lost less than this, in hundredths of the worth owed, are not printed.
MIN_LOSS_HUNDREDTHS: Final = 0.05


@dataclass(frozen=True)
class WindowLoss:
    """The losses of one window's requests, in hundredths of the worth owed in the day."""

    start: str  # seconds since the start of the traffic
    refused: float
    failed: float
    late: float  # late or broken off

    @property
    def total(self) -> float:
        """The sum of all losses of the window."""
        return self.refused + self.failed + self.late


def window_losses(windows: list[dict[str, Any]]) -> list[WindowLoss]:
    """Return the losses of each window.

    >>> window = {"name": "0", "n": 12, "not_owed": 2, "refused": 2, "failed": 1, "worth": 0.5}
    >>> window_losses([window])
    [WindowLoss(start='0', refused=20.0, failed=10.0, late=20.0)]
    """
    owed = sum(window["n"] - window["not_owed"] for window in windows) or 1
    losses = []
    for window in windows:
        lost = (1 - window["worth"]) * (window["n"] - window["not_owed"])
        # The worth is weighted by request size and the counts are not, so the counts are capped:
        # together they must not exceed the loss.
        refused = min(window["refused"], lost)
        failed = min(window["failed"], lost - refused)
        shares = [100 * part / owed for part in (refused, failed, lost - refused - failed)]
        losses.append(WindowLoss(window["name"], *shares))
    return losses


def print_report(path: Path) -> None:
    """Print the parts, prices and losses of one report."""
    report = json.loads(path.read_text())
    print(f"{path.name}: worth {report['G']:.3f}, served {report['served']:.3f}")
    for name, weight, value in report["parts"]:
        print(f"  part   {name:44} {value:.3f}  weight {weight}")
    for name, _, price in report["prices"]:
        if price >= MIN_PRICE:
            print(f"  price  {name:44} {price:.4f}")
    losses = window_losses(report["windows"])
    for loss in [window for window in losses if window.total >= MIN_LOSS_HUNDREDTHS]:
        parts = f"refused {loss.refused:.2f}  failed {loss.failed:.2f}  late {loss.late:.2f}"
        print(f"  from {loss.start:>3} s  {loss.total:.2f}  {parts}")
    print(f"  lost by requests, in all: {sum(loss.total for loss in losses):.2f} hundredths")


def main() -> int:
    """Print every report; return the exit code."""
    arguments = docopt(__doc__ or "")
    for name in arguments["REPORT"]:
        try:
            print_report(Path(name))
        except (OSError, ValueError, KeyError, TypeError) as error:
            print(f"{name} is no report: {error!r}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
