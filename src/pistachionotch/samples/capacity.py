"""Allocation of the engines' capacity for samples among the steps of several trainers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs


@attrs.frozen
class StepDemand:
    """Samples that one step still has to generate.

    ``expected_sample_ms`` is the expected duration of one sample. A step whose ``remaining_ms`` is
    None has no deadline.
    """

    step: str
    open_slot_count: int
    expected_sample_ms: int
    remaining_ms: int | None = None
    weight: int = 1

    def required_parallelism(self) -> int:
        """Return how many parallel samples meet the deadline, at most one per open slot."""
        if self.remaining_ms is None:
            return 0
        if self.remaining_ms <= 0:
            return self.open_slot_count
        return min(
            self.open_slot_count,
            -(-self.open_slot_count * self.expected_sample_ms // self.remaining_ms),
        )


def allocate_capacity(demands: Sequence[StepDemand], capacity: int) -> dict[str, int]:
    """Return the number of parallel samples for each step.

    Deadlines take precedence: every step first gets what its deadline requires. If the capacity
    does not suffice for that, it is shared by weighted max-min fairness. Capacity that remains
    afterwards is shared in the same way among the steps that have more open slots.
    """
    weights = {demand.step: max(1, demand.weight) for demand in demands}
    required = {demand.step: demand.required_parallelism() for demand in demands}
    granted = max_min_shares(required, weights, capacity)
    remaining = capacity - sum(granted.values())
    requested = {demand.step: demand.open_slot_count - granted[demand.step] for demand in demands}
    extra = max_min_shares(requested, weights, remaining)
    return {step: granted[step] + extra[step] for step in granted}


def max_min_shares(
    requested: Mapping[str, int], weights: Mapping[str, int], capacity: int
) -> dict[str, int]:
    """Share whole units by weighted max-min fairness.

    No share can grow without reducing a share that is no larger relative to its weight.
    """
    granted = dict.fromkeys(requested, 0)
    remaining = max(0, capacity)
    while remaining > 0:
        unsatisfied = [step for step in sorted(requested) if granted[step] < requested[step]]
        if not unsatisfied:
            break
        unit = remaining // sum(weights[step] for step in unsatisfied)
        for step in unsatisfied:
            share = min(requested[step] - granted[step], max(1, unit * weights[step]), remaining)
            granted[step] += share
            remaining -= share
    return granted
