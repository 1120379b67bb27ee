"""The bounds that every soak checks; the settings of its processes have the same values."""

from typing import Final

from bench.soak.record import Bounds

BOUNDS: Final = Bounds(
    weights=4.0,
    leaving=2.0,
    configuration=2.0,
    reached=3.0,
    retry_ratio=0.2,
    retry_slack=100.0,
    retry_window=10.0,
    recovery=12.0,
    loss_slack=0.2,
    told=0.5,
)
STOP_SECONDS: Final = 4.0  # from the stop signal to the exit of the process
