"""The bounds within which changes of published facts must take effect."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FactBounds:
    """The bounds within which changes must take effect, in seconds."""

    configuration: float = 2.0  # from the publication of a configuration to its use by all entries
    leaving: float = 2.0  # from the report that a replica leaves to the last request it gets
    # Both apply to a process once the store has been answering it for this long.
    reached: float = 3.0
