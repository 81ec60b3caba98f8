"""Metrics of a daemon in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import attrs

METRICS_MEDIA_TYPE = "text/plain; version=0.0.4"


@attrs.frozen
class Metric:
    """Hold one metric; ``values`` are by kind, which is empty where there is only one."""

    name: str
    values: Mapping[str, float]


def collect(status: Mapping[str, Any]) -> Iterator[Metric]:
    """Yield the numbers of a daemon's status and of its measures."""
    for name, value in {**status, **status.get("measures", {})}.items():
        if isinstance(value, int | float):
            yield Metric(name, {"": float(value)})
        elif isinstance(value, Mapping) and name != "measures":
            yield Metric(name, {kind: float(number) for kind, number in value.items()})


def render_metrics(status: Mapping[str, Any]) -> bytes:
    """Return the metrics of a daemon as gauges."""
    # Imported on the first scrape: the library brings asyncio, which an idle daemon does not need.
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
    content, _headers = render(registry, [])
    return content
