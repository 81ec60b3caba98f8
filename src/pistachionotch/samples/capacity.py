"""Share the engines' sample capacity among the steps of several trainers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs


@attrs.frozen
class StepDemand:
    """State what one step still has to generate; ``remaining_ms`` None means no deadline."""

    step: str
    open_slots: int
    expected_ms: int
    remaining_ms: int | None = None
    weight: int = 1

    def needed(self) -> int:
        """Return the samples in parallel that meet the deadline, at most the open slots."""
        if self.remaining_ms is None:
            return 0
        if self.remaining_ms <= 0:
            return self.open_slots
        return min(self.open_slots, -(-self.open_slots * self.expected_ms // self.remaining_ms))


def allocate_capacity(demands: Sequence[StepDemand], capacity: int) -> dict[str, int]:
    """Return the samples in parallel for each step.

    Deadlines come first: every step gets what its deadline needs, and if that is too much for all,
    the capacity is shared max-min fairly by weight. What is left is shared in the same way.
    """
    weights = {demand.step: max(1, demand.weight) for demand in demands}
    needed = {demand.step: demand.needed() for demand in demands}
    granted = max_min_shares(needed, weights, capacity)
    left = capacity - sum(granted.values())
    wishes = {demand.step: demand.open_slots - granted[demand.step] for demand in demands}
    extra = max_min_shares(wishes, weights, left)
    return {step: granted[step] + extra[step] for step in granted}


def max_min_shares(
    wishes: Mapping[str, int], weights: Mapping[str, int], capacity: int
) -> dict[str, int]:
    """Share whole units so that no wish can grow without a smaller one shrinking."""
    granted = dict.fromkeys(wishes, 0)
    left = max(0, capacity)
    while left > 0:
        unmet = [step for step in sorted(wishes) if granted[step] < wishes[step]]
        if not unmet:
            break
        unit = left // sum(weights[step] for step in unmet)
        for step in unmet:
            part = min(wishes[step] - granted[step], max(1, unit * weights[step]), left)
            granted[step] += part
            left -= part
    return granted
