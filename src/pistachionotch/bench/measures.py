"""Measures of one run and their combination over seeds."""

from __future__ import annotations

import statistics
from collections import Counter

import attrs
from hdrh.histogram import HdrHistogram

from .idle import PARTS

MAX_MS = 3_600_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (50.0, 99.0, 99.9)
KINDS = ("assistant", "service", "long")


def new_histogram() -> HdrHistogram:
    """Return an empty latency histogram in milliseconds."""
    return HdrHistogram(1, MAX_MS, SIGNIFICANT_DIGITS)


def _record(histograms: dict[str, HdrHistogram], kind: str, value: int) -> None:
    if kind not in histograms:
        histograms[kind] = new_histogram()
    histograms[kind].record_value(value)


@attrs.define
class Measures:
    """Collect what one run shows; latencies by kind of work, ``slowed`` while any was slow."""

    latency: dict[str, HdrHistogram] = attrs.field(factory=dict)
    slowed: dict[str, HdrHistogram] = attrs.field(factory=dict)
    counts: Counter[str] = attrs.field(factory=Counter)
    staleness: Counter[int] = attrs.field(factory=Counter)
    idle_ms: int = 0
    idle_parts: Counter[str] = attrs.field(factory=Counter)
    training_ms: int = 0

    def record(self, kind: str, elapsed_ms: int, slowed: bool) -> None:
        """Record one latency."""
        value = max(1, min(MAX_MS, elapsed_ms))
        _record(self.latency, kind, value)
        if slowed:
            _record(self.slowed, kind, value)

    def idle_share(self) -> float:
        """Return the share of their time that trainers waited."""
        total = self.idle_ms + self.training_ms
        return self.idle_ms / total if total else 0.0


@attrs.frozen
class Spread:
    """Give the median over seeds with the lowest and the highest value."""

    median: float
    low: float
    high: float

    @classmethod
    def of(cls, values: list[float]) -> Spread:
        """Summarise the values of all seeds."""
        return cls(statistics.median(values), min(values), max(values))


def quantiles(histograms: list[HdrHistogram]) -> dict[str, float]:
    """Return the quantiles over all seeds together."""
    total = new_histogram()
    for histogram in histograms:
        total.add(histogram)
    return {f"p{value:g}": total.get_value_at_percentile(value) for value in QUANTILES}


def summarise(runs: list[Measures], seconds: float) -> dict[str, object]:
    """Combine the runs of all seeds of one cell into plain values."""
    summary: dict[str, object] = {}
    for kind in KINDS:
        summary[f"{kind}_ms"] = _latencies([run.latency for run in runs], kind)
        summary[f"{kind}_slowed_ms"] = _latencies([run.slowed for run in runs], kind)
        offered = sum(run.counts[f"{kind}_offered"] for run in runs)
        for name in (f"{kind}_refused", f"{kind}_missed"):
            summary[f"{name}_share"] = sum(run.counts[name] for run in runs) / max(1, offered)
    summary |= _idle(runs) | _sample_ages(runs)
    for name in ("goodput_tokens", "region_bytes", "control_messages", "control_bytes"):
        rates = [run.counts[name] / seconds for run in runs]
        summary[f"{name}_per_s"] = attrs.asdict(Spread.of(rates))
    for name in ("stale_delivered", "stale_regenerated", "hedges", "retries", "moves", "steps"):
        summary[name] = sum(run.counts[name] for run in runs)
    lookups = sum(run.counts["prefix_lookups"] for run in runs)
    summary["prefix_hit_share"] = sum(run.counts["prefix_hits"] for run in runs) / max(1, lookups)
    return summary


def _latencies(runs: list[dict[str, HdrHistogram]], kind: str) -> dict[str, object]:
    parts = [run[kind] for run in runs if kind in run]
    if not parts:
        return {}
    each = [float(part.get_value_at_percentile(99.0)) for part in parts]
    return {**quantiles(parts), "p99_by_seed": attrs.asdict(Spread.of(each))}


def _idle(runs: list[Measures]) -> dict[str, object]:
    idle_ms = sum(run.idle_ms for run in runs)
    total_ms = max(1, idle_ms + sum(run.training_ms for run in runs))
    return {
        "idle_share": idle_ms / total_ms,
        "idle_parts": {
            cause: sum(run.idle_parts[cause] for run in runs) / total_ms for cause in PARTS
        },
        "idle_share_by_seed": attrs.asdict(Spread.of([run.idle_share() for run in runs])),
    }


def _sample_ages(runs: list[Measures]) -> dict[str, object]:
    ages: Counter[int] = Counter()
    for run in runs:
        ages.update(run.staleness)
    total = sum(age * count for age, count in ages.items())
    return {
        "sample_age_mean": total / max(1, sum(ages.values())),
        "sample_age_max": max(ages, default=0),
    }
