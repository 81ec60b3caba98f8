"""Metrics of a daemon in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import accumulate
from typing import Any

import attrs

from .measures import BOUNDS_MS, Measures

METRICS_MEDIA_TYPE = "text/plain; version=0.0.4"


@attrs.frozen
class Metric:
    """A metric with its values by kind; the kind is empty for a single value."""

    name: str
    values: Mapping[str, float]


def collect(status: Mapping[str, Any]) -> Iterator[Metric]:
    """Yield the numeric values in a daemon's status and its measures."""
    for name, value in {**status, **status.get("measures", {})}.items():
        if isinstance(value, int | float):
            yield Metric(name, {"": float(value)})
        elif isinstance(value, Mapping) and name != "measures":
            yield Metric(name, {kind: float(number) for kind, number in value.items()})


def render_metrics(status: Mapping[str, Any], measures: Measures | None = None) -> bytes:
    """Return the status of a daemon as gauges, with its counters and histograms."""
    # Imported on the first scrape: the library loads asyncio, which an idle daemon does not need.
    from aioprometheus.collectors import Gauge, Registry
    from aioprometheus.renderer import render

    registry = Registry()
    node = str(status["node"])
    for metric in collect(status):
        gauge = Gauge(
            f"pistachionotch_{metric.name}", f"Value of {metric.name}.", registry=registry
        )
        for kind, value in metric.values.items():
            labels = {"node": node, "kind": kind} if kind else {"node": node}
            gauge.set(labels, value)
    if measures is not None:
        _add_counters_and_histograms(registry, node, measures)
    content, _headers = render(registry, [])
    return content


def _add_counters_and_histograms(registry: Any, node: str, measures: Measures) -> None:
    from aioprometheus.collectors import Counter, Histogram

    counters: dict[str, Any] = {}
    for (name, kind), value in measures.counters.items():
        if name not in counters:
            title = f"pistachionotch_{name}_total"
            counters[name] = Counter(title, f"Number of {name}.", registry=registry)
        counters[name].set({"node": node, "kind": kind}, value)
    histograms: dict[str, Any] = {}
    bounds = [*(float(bound) for bound in BOUNDS_MS), float("inf")]
    for (name, kind), latencies in measures.latencies.items():
        if name not in histograms:
            title = f"pistachionotch_{name}_ms"
            doc = f"Duration of {name} in milliseconds."
            histograms[name] = Histogram(title, doc, registry=registry, buckets=bounds)
        labels = {"node": node, "kind": kind}
        # An observation makes the library create the value, whose numbers are then overwritten.
        histograms[name].observe(labels, 0.0)
        value = histograms[name].get_value(labels)
        value.observations = sum(latencies.counts)
        value.sum = float(latencies.total_ms)
        for bound, number in zip(bounds, accumulate(latencies.counts), strict=True):
            value.buckets[bound] = number
