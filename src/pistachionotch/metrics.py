"""Metrics of a daemon in the Prometheus text format."""

from __future__ import annotations

from typing import Any

METRICS_MEDIA_TYPE = "text/plain; version=0.0.4"


def render_metrics(status: dict[str, Any]) -> bytes:
    """Return the numbers of a daemon's status as gauges."""
    # Imported on the first scrape: the library brings asyncio, which an idle daemon does not need.
    from aioprometheus.collectors import Gauge, Registry
    from aioprometheus.renderer import render

    registry = Registry()
    for name, value in status.items():
        if not isinstance(value, (int, float)):
            continue
        gauge = Gauge(f"pistachionotch_{name}", f"Value of {name}.", registry=registry)
        gauge.set({"node": str(status["node"])}, float(value))
    content, _headers = render(registry, [])
    return content
