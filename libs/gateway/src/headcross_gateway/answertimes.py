"""How long answers of a service take lately, from a place at a replica to their end."""

from typing import Final

# Weight of a new answer in the mean. An entry ends some 20 answers a second, so that the mean
# follows within a second or two and a single long answer does not move it.
GAIN: Final = 0.05


class AnswerTimes:
    """The mean times of one entry, by service."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def note(self, service: str, seconds: float) -> None:
        """Take in one answer that was given whole."""
        mean = self._means.get(service, seconds)
        self._means[service] = mean + GAIN * (seconds - mean)

    def mean(self, service: str) -> float:
        """Return the mean in seconds, 0 before the first answer.

        >>> times = AnswerTimes()
        >>> times.note("lm", 2.0)
        >>> times.mean("lm"), times.mean("api")
        (2.0, 0.0)
        """
        return self._means.get(service, 0.0)
