"""Metrics for operators as one entry measures them: trainer idle time, sample age and latency."""

from __future__ import annotations

from typing import Any

import attrs

from ..admission.shares import SHORT_CLASSES
from ..samples.delivery import SamplesDelivered
from ..samples.staleness import sample_age
from .routing_state import LatencyTails, RoutingState

TAIL_QUANTILE = 0.99


@attrs.define
class TrainerMetrics:
    """Counts how long trainers waited for samples, and the ages of the samples delivered."""

    idle_ms: dict[str, float] = attrs.field(factory=dict)
    delivered: int = 0
    age_sum: int = 0
    max_age: int = 0

    def record_idle(self, trainer: str, duration_ms: int, parts: int = 1) -> None:
        """Add the time that a pull waited without samples.

        The pulls of a step's parts run in parallel at several entries. Each adds only its share of
        the step, so that the sum over all entries never exceeds the elapsed time.
        """
        self.idle_ms[trainer] = self.idle_ms.get(trainer, 0) + duration_ms / parts

    def record_delivery(self, outcome: SamplesDelivered) -> None:
        """Record the ages, in weight versions, of the samples of one delivery."""
        for item in outcome.samples:
            age = max(0, sample_age(item.sample.spans, outcome.newest_version))
            self.delivered += 1
            self.age_sum += age
            self.max_age = max(self.max_age, age)

    def mean_age(self) -> float:
        """Return the mean age of all samples delivered so far, in weight versions."""
        return self.age_sum / self.delivered if self.delivered else 0.0


def collect_operator_metrics(trainers: TrainerMetrics, routing: RoutingState) -> dict[str, Any]:
    """Return the metrics; latencies are of recent requests, left out while there are too few."""
    return {
        "trainer_idle_ms": {name: round(idle) for name, idle in trainers.idle_ms.items()},
        "sample_age_mean": round(trainers.mean_age(), 3),
        "sample_age_max": trainers.max_age,
        "samples_delivered": trainers.delivered,
        "short_first_token_p99_ms": _quantiles(routing.first_token_tails, short_only=True),
        "latency_p99_ms": _quantiles(routing.total_tails, short_only=False),
    }


def _quantiles(tails: LatencyTails, short_only: bool) -> dict[str, int]:
    quantiles = {}
    for (target, request_class), tail in tails.items():
        if short_only and request_class not in SHORT_CLASSES:
            continue
        value = tail.quantile_ms(TAIL_QUANTILE)
        if value is not None:
            quantiles[f"{target} {request_class}"] = value
    return quantiles
