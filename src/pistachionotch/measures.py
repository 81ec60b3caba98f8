"""Counters and latency histograms of a process, kept as plain numbers until scraped."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter

import attrs

# Bucket upper bounds. Latency objectives of calls are 200 to 400 ms; a step is due within 7.5 s.
BOUNDS_MS = (5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 7_500, 15_000)

Key = tuple[str, str]


@attrs.define
class LatencyHistogram:
    """A histogram of durations; the last bucket has no upper bound."""

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BOUNDS_MS) + 1))
    total_ms: int = 0

    def add(self, duration_ms: int) -> None:
        """Record one duration."""
        self.counts[bisect_left(BOUNDS_MS, duration_ms)] += 1
        self.total_ms += duration_ms


@attrs.define
class Measures:
    """The counters and histograms of a process, keyed by name and kind."""

    counters: Counter[Key] = attrs.field(factory=Counter)
    latencies: dict[Key, LatencyHistogram] = attrs.field(factory=dict)

    def count(self, name: str, kind: str, number: int = 1) -> None:
        """Add to a counter."""
        self.counters[(name, kind)] += number

    def time(self, name: str, kind: str, duration_ms: int) -> None:
        """Add a duration to a histogram."""
        found = self.latencies.get((name, kind))
        if found is None:
            found = self.latencies[(name, kind)] = LatencyHistogram()
        found.add(duration_ms)
