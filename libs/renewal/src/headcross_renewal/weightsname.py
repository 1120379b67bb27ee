"""The names of model versions in the swarm and in messages."""

from typing import Final

from headcross_ports.published import LoadedModel

NAME_SEPARATOR: Final = "@"


def weights_name(goal: LoadedModel) -> str:
    """Return the name of a version in the swarm.

    >>> weights_name(LoadedModel("m", 2)), parse_weights_name("m@2")
    ('m@2', LoadedModel(model='m', version=2))
    """
    return f"{goal.model}{NAME_SEPARATOR}{goal.version}"


def parse_weights_name(name: str) -> LoadedModel:
    """Return the version that a swarm name refers to; raise ValueError if it has no number."""
    model, _, version = name.rpartition(NAME_SEPARATOR)
    return LoadedModel(model, int(version))
