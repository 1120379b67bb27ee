"""The adapter of a platform for the calls that a daemon makes before trio is imported."""

from collections.abc import Callable
from dataclasses import dataclass

from headcross_ports.published import PublishedStore
from headcross_ports.replicas import StagedControl, WeightsOrigin


@dataclass(frozen=True, slots=True)
class EarlyAdapter:
    """Interfaces whose calls block the calling thread and never suspend."""

    store: PublishedStore
    origin: WeightsOrigin
    replica: StagedControl
    close: Callable[[], None]  # closes idle connections
