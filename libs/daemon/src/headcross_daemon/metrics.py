"""Serves metrics to Prometheus, computed from the process's own counters at each scrape.

`prometheus_client` is imported on the first scrape or, in an entry, for the latency histogram, so
that an upstream daemon that is not scraped does not hold it in memory.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.core import Metric
    from prometheus_client.registry import CollectorRegistry

# Maps the name (without the prefix) and the labels of a sample to its value.
Samples = Mapping[tuple[str, tuple[tuple[str, str], ...]], float]


def sample(name: str, **labels: str) -> tuple[str, tuple[tuple[str, str], ...]]:
    """Return the key of one sample.

    >>> sample("requests_total", verdict="not-run")
    ('requests_total', (('verdict', 'not-run'),))
    """
    return name, tuple(sorted(labels.items()))


class MetricsPage:
    """Renders the metrics page; `collect` is called at each scrape."""

    def __init__(self, collect: Callable[[], Samples]) -> None:
        self._collect = collect
        self._registry: CollectorRegistry | None = None

    @property
    def registry(self) -> "CollectorRegistry":
        """The registry, created on first use."""
        if self._registry is None:
            from prometheus_client.registry import CollectorRegistry

            self._registry = CollectorRegistry(auto_describe=False)
            self._registry.register(_SamplesCollector(self._collect))
        return self._registry

    def render(self) -> bytes:
        """Return the page in the text format of Prometheus."""
        from prometheus_client.exposition import generate_latest

        return generate_latest(self.registry)


class _SamplesCollector:
    """Converts samples to metric families at each scrape."""

    def __init__(self, collect: Callable[[], Samples]) -> None:
        self._collect = collect

    def describe(self) -> Iterable["Metric"]:
        """Return nothing: the names of the samples are not known in advance."""
        return []

    def collect(self) -> Iterable["Metric"]:
        """Yield a metric for each name, with all its samples."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        families: dict[str, CounterMetricFamily | GaugeMetricFamily] = {}
        for (name, labels), value in self._collect().items():
            if name not in families:
                family = CounterMetricFamily if name.endswith("_total") else GaugeMetricFamily
                label_names = [label for label, _ in labels]
                families[name] = family(
                    f"headcross_{name}", name.replace("_", " "), labels=label_names
                )
            families[name].add_metric([text for _, text in labels], value)
        return families.values()
