"""The size of a soak's system and the names of its parts."""

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Sizes:
    """The number of parts of each kind at the start."""

    entries: int
    models: int  # replicas with weights, each with a daemon beside it
    plain: int
    zones: int


@dataclass(frozen=True, slots=True)
class ReplicaHost:
    """A machine on which successive incarnations of a replica run, one at a time."""

    name: str
    service_seconds: float
    slots: int


def entry_names(sizes: Sizes) -> list[str]:
    """Return the names of the entries."""
    return [f"entry{index}" for index in range(sizes.entries)]


def model_names(sizes: Sizes) -> list[str]:
    """Return the names of the hosts of replicas with weights."""
    return [f"model{index}" for index in range(sizes.models)]


def plain_names(sizes: Sizes) -> list[str]:
    """Return the names of the hosts of plain replicas."""
    return [f"plain{index}" for index in range(sizes.plain)]


def daemon_of(host_name: str) -> str:
    """Return the name of the daemon on the host of a replica with weights.

    >>> daemon_of("model3")
    'daemon3'
    """
    return host_name.replace("model", "daemon")


def draw_sizes(generator: random.Random, processes: int = 0) -> Sizes:
    """Draw the sizes; `processes`, if not 0, fixes the total of entries and daemons."""
    zones = generator.randint(2, 3)
    plain = generator.randint(2, 3)
    if processes:
        entries = max(2, processes // 5)
        return Sizes(entries, processes - entries, plain, zones)
    return Sizes(generator.randint(2, 5), generator.randint(3, 10), plain, zones)
