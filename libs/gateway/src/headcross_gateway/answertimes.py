"""Averages how long a service's requests take from their assignment to the end of the answer."""

from typing import Final

# Weight of a new answer in the moving average. An entry completes about 20 answers per second, so
# the average follows within a second or two and a single long answer hardly changes it.
SMOOTHING_FACTOR: Final = 0.05


class AnswerTimes:
    """Moving averages of the answer times of one entry, by service."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def note(self, service: str, seconds: float) -> None:
        """Add the time of one complete answer."""
        mean = self._means.get(service, seconds)
        self._means[service] = mean + SMOOTHING_FACTOR * (seconds - mean)

    def mean(self, service: str) -> float:
        """Return the average answer time of a service in seconds, 0 before the first answer.

        >>> times = AnswerTimes()
        >>> times.note("lm", 2.0)
        >>> times.mean("lm"), times.mean("api")
        (2.0, 0.0)
        """
        return self._means.get(service, 0.0)
