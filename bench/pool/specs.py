"""Defines and reads the TOML file of an experiment on the simulated replica pool."""

import tomllib
from pathlib import Path

import msgspec
from headcross_gateway.overload import OverloadSettings

from bench.pool.engine import EngineSpec


class KindSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request: its rate, sizes, value and time limits."""

    name: str
    per_second: float  # requests at an offered load of 1
    prompt_tokens: float  # mean
    events: float  # mean
    worth: float  # value of an answer within the target time
    late_worth: float  # value of a later answer
    priority: int = 1
    aim_seconds: float = 0.405
    deadline_seconds: float = 6.0


class FleetSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The numbers of zones, entries and replicas, and the delays between them."""

    zones: int = 3
    entries: int = 13
    replicas: int = 24
    # The age of a load report when an entry receives it, and the interval between reports.
    report_lag_seconds: float = 0.1
    tell_seconds: float = 0.2
    # One-way network delay within a zone and between zones.
    way_seconds: float = 0.001
    far_way_seconds: float = 0.003


class VariantSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A named set of overload settings to compare."""

    name: str
    fresh_first: bool = True
    # Zero or less reserves no slots.
    full_reservation_share: float = 1.0
    wait_part: float = 0.1
    returning_wait_seconds: float = 1.0
    least_reserved_share: float = 0.25

    def settings(self) -> OverloadSettings:
        """Return the variant as overload settings of the gateway."""
        share = self.full_reservation_share
        return OverloadSettings(
            self.fresh_first,
            share if share > 0 else float("inf"),
            self.wait_part,
            self.returning_wait_seconds,
            self.least_reserved_share,
        )


class LoadStep(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of the offered load during a run."""

    from_second: float
    part: float  # 0 to 1


class ExperimentSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An experiment: runs each variant under each offered load with each seed."""

    kinds: tuple[KindSpec, ...]
    variants: tuple[VariantSpec, ...]
    offered: tuple[float, ...] = (1.0,)  # factors for the rates of the kinds
    seeds: tuple[int, ...] = (1,)
    seconds: float = 20.0
    # Callers that arrive during the warm-up are not counted; none arrive during the cool-down.
    warm_up_seconds: float = 4.0
    cool_down_seconds: float = 4.0
    # Changes of the load during the run; without any, the whole offered load applies.
    steps: tuple[LoadStep, ...] = ()
    fleet: FleetSpec = FleetSpec()
    engine: EngineSpec = EngineSpec()

    def load_at(self, second: float) -> float:
        """Return the fraction of the offered load at a second of the run."""
        parts = [step.part for step in self.steps if step.from_second <= second]
        return parts[-1] if parts else 1.0


class SpecError(Exception):
    """Raised for an invalid experiment file; the message names the file and the field."""


def read_experiment(path: Path) -> ExperimentSpec:
    """Read and validate an experiment file; raise SpecError if it is invalid."""
    try:
        table = tomllib.loads(path.read_text())
        spec = msgspec.convert(table, ExperimentSpec)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SpecError(f"{path}: {error}") from None
    except msgspec.ValidationError as error:
        raise SpecError(f"{path}: {error}") from None
    counted = spec.seconds - spec.warm_up_seconds - spec.cool_down_seconds
    checks = {
        "kinds: at least one is needed": spec.kinds,
        "variants: at least one is needed": spec.variants,
        "offered: positive numbers are needed": spec.offered and min(spec.offered) > 0,
        "seeds: at least one is needed": spec.seeds,
        "seconds: must exceed warm_up_seconds + cool_down_seconds": counted > 0,
        "fleet.entries: must be at least fleet.zones": spec.fleet.entries >= spec.fleet.zones > 0,
        "fleet.replicas: must be at least 1": spec.fleet.replicas > 0,
        "engine.slots: must be at least 1": spec.engine.slots > 0,
    }
    for problem, holds in checks.items():
        if not holds:
            raise SpecError(f"{path}: {problem}")
    return spec
