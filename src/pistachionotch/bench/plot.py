"""Plot of a benchmark: short-work tail and trainer idle time over load."""

from __future__ import annotations

from typing import Any

from .report import Summary

PANELS = (
    ("assistant p99 while slowed, s", "assistant_slowed_ms"),
    ("service p99 while slowed, s", "service_slowed_ms"),
    ("trainer idle share, %", "idle_share"),
)


def draw(cells: dict[str, dict[int, dict[str, Summary]]], path: str) -> None:
    """Write one row of panels for each deployment; bars show the spread over seeds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(cells), len(PANELS), figsize=(14, 4 * len(cells)), squeeze=False
    )
    for row, (deployment, loads) in zip(axes, cells.items(), strict=True):
        for axis, (title, key) in zip(row, PANELS, strict=True):
            _draw_panel(axis, loads, key)
            axis.set_title(f"{deployment}: {title}")
            axis.set_xlabel("load, %")
            axis.grid(alpha=0.3)
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _draw_panel(axis: Any, loads: dict[int, dict[str, Summary]], key: str) -> None:
    names = list(next(iter(loads.values())))
    for name in names:
        points = [_point(policies[name], key) for policies in loads.values()]
        values = [point[0] for point in points]
        below = [max(0.0, value - low) for value, low, _ in points]
        above = [max(0.0, high - value) for value, _, high in points]
        axis.errorbar(list(loads), values, yerr=[below, above], label=name, capsize=3, marker="o")
    if key != "idle_share":
        axis.set_yscale("log")


def _point(summary: Summary, key: str) -> tuple[float, float, float]:
    if key == "idle_share":
        spread = summary["idle_share_by_seed"]
        return 100 * summary[key], 100 * spread["low"], 100 * spread["high"]
    latency = summary[key]
    spread = latency["p99_by_seed"]
    return latency["p99"] / 1000, spread["low"] / 1000, spread["high"] / 1000
