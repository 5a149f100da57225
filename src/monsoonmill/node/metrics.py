"""Counters and latencies of a node in the Prometheus text format."""

from collections.abc import Mapping

from prometheus_client.core import CounterMetricFamily, SummaryMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

from monsoonmill.counters import LatencyHistogram

QUANTILES = (0.5, 0.9, 0.99, 0.999)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class NodeCollector(Collector):
    """A snapshot of a node's metrics."""

    def __init__(self, counters: Mapping[str, int], latency: LatencyHistogram):
        self._counters = counters
        self._latency = latency

    def collect(self):
        """Yield the metric families."""
        events = CounterMetricFamily(
            "monsoon_events", "Events by name.", labels=["name"]
        )
        for name, value in self._counters.items():
            events.add_metric([name], value)
        yield events
        summary = SummaryMetricFamily(
            "monsoon_call_seconds", "Time from a call's arrival to its answer."
        )
        summary.add_metric([], self._latency.count, self._latency.total_s)
        for quantile in QUANTILES:
            value = self._latency.percentile_ms(quantile * 100) / 1000
            summary.add_sample(
                "monsoon_call_seconds", {"quantile": str(quantile)}, value
            )
        yield summary


def render_metrics(counters: Mapping[str, int], latency: LatencyHistogram) -> bytes:
    """Return the current values as text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(NodeCollector(counters, latency))
    return generate_latest(registry)
