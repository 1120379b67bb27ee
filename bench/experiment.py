"""Compares overload settings on a simulated replica pool under increasing load.

Usage:
  experiment FILE [--output=DIR]

FILE is a TOML file that gives the fleet, its engines, the kinds of request, the offered loads, the
seeds, and the variants to compare (see bench/experiments/overload.toml). The result of each run is
written as one line of DIR/NAME.jsonl as soon as the run ends, so that an interrupted experiment
keeps the results so far; the plot is DIR/NAME.png.

Options:
  --output=DIR  Where results go [default: out].

The exit code is 2 if FILE is not valid; one line on standard error then names the file and field.
"""

import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import msgspec
from docopt import docopt
from hdrh.histogram import HdrHistogram

from bench.pool.model import Tally, simulate
from bench.pool.specs import ExperimentSpec, SpecError, VariantSpec, read_experiment

# Range and precision of the first-event histogram: 1 ms to 60 s with two digits.
MIN_MS: Final = 1
MAX_MS: Final = 60_000
SIGNIFICANT_DIGITS: Final = 2


class RunResult(msgspec.Struct, frozen=True):
    """The outcomes of one run; the fields from in_aim to gone are shares of its callers."""

    variant: str
    offered: float
    seed: int
    callers: int
    in_aim: float
    late: float
    refused: float
    refused_again: float
    gone: float
    held_in_vain_seconds: float  # mean queueing time of a refused retry
    in_aim_per_second: float
    worth: float  # share of the possible value
    first_event_p50_ms: float
    first_event_p95_ms: float


def result_of(
    variant: VariantSpec, offered: float, seed: int, tally: Tally, counted_seconds: float
) -> RunResult:
    """Return a run's tally as shares and percentiles."""
    callers = max(1, tally.callers)
    histogram = HdrHistogram(MIN_MS, MAX_MS, SIGNIFICANT_DIGITS)
    for seconds in tally.first_event_seconds:
        histogram.record_value(max(MIN_MS, min(MAX_MS, int(seconds * 1000))))
    return RunResult(
        variant=variant.name,
        offered=offered,
        seed=seed,
        callers=tally.callers,
        in_aim=round(tally.in_aim / callers, 4),
        late=round(tally.late / callers, 4),
        refused=round(tally.refused / callers, 4),
        refused_again=round(tally.refused_again / callers, 4),
        gone=round(tally.gone / callers, 4),
        held_in_vain_seconds=round(tally.held_in_vain_seconds / max(1, tally.refused_again), 3),
        in_aim_per_second=round(tally.in_aim / counted_seconds, 1),
        worth=round(tally.worth / max(tally.owed, 1e-9), 4),
        first_event_p50_ms=histogram.get_value_at_percentile(50),
        first_event_p95_ms=histogram.get_value_at_percentile(95),
    )


def run_all(spec: ExperimentSpec, results: Path) -> list[RunResult]:
    """Simulate every run; write and print each result as soon as it is known."""
    run_results: list[RunResult] = []
    counted_seconds = spec.seconds - spec.warm_up_seconds - spec.cool_down_seconds
    runs = [(o, v, s) for o in spec.offered for v in spec.variants for s in spec.seeds]
    with results.open("wb") as file:
        for number, (offered, variant, seed) in enumerate(runs, 1):
            started_at = time.monotonic()
            tally = simulate(spec, variant.settings(), offered, seed)
            result = result_of(variant, offered, seed, tally, counted_seconds)
            run_results.append(result)
            file.write(msgspec.json.encode(result) + b"\n")
            file.flush()
            seconds = time.monotonic() - started_at
            print(
                f"{number}/{len(runs)}  offered {offered:g}, {variant.name}, seed {seed}: in aim"
                f" {result.in_aim:.3f}, late {result.late:.3f}, refused {result.refused:.3f},"
                f" worth {result.worth:.3f}  ({seconds:.0f} s)",
                flush=True,
            )
    return run_results


def plot(spec: ExperimentSpec, results: Sequence[RunResult], path: Path) -> None:
    """Plot answers per second within the target time, and the refused share, by offered load."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, 2, figsize=(10, 4))
    columns = ("in_aim_per_second", "refused")
    for variant in spec.variants:
        for axis, column in zip(axes, columns, strict=True):
            means = [_mean_of(results, variant.name, o, column) for o in spec.offered]
            axis.plot(spec.offered, means, marker="o", label=variant.name)
    axes[0].set_ylabel("answers within the aim, a second")
    axes[1].set_ylabel("refused in the end, share")
    for axis in axes:
        axis.set_xlabel("offered load")
        axis.set_ylim(bottom=0)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)


def _mean_of(results: Sequence[RunResult], variant: str, offered: float, column: str) -> float:
    values = [
        float(getattr(result, column))
        for result in results
        if result.variant == variant and result.offered == offered
    ]
    return sum(values) / len(values)


def main() -> int:
    """Run the experiment; return the exit code."""
    arguments = docopt(__doc__ or "")
    path = Path(arguments["FILE"])
    try:
        spec = read_experiment(path)
    except SpecError as error:
        print(error, file=sys.stderr)
        return 2
    output = Path(arguments["--output"])
    output.mkdir(parents=True, exist_ok=True)
    results = run_all(spec, output / f"{path.stem}.jsonl")
    plot(spec, results, output / f"{path.stem}.png")
    return 0


if __name__ == "__main__":
    sys.exit(main())
