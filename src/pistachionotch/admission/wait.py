"""Estimate of the queue wait of new work, by list scheduling on the slots."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence


def estimate_wait_ms(
    free_slots: int, residuals_ms: Iterable[int], slots: int, ahead_ms: Sequence[int]
) -> int:
    """Return the time until a slot is free for new work, after the work ahead of it has started.

    ``residuals_ms`` are the remaining run times of the running work, ``slots`` is the number of
    slots that the new work competes for, ``ahead_ms`` are the run times of the work ahead of it.
    """
    if free_slots > len(ahead_ms):
        return 0
    busy = sorted(residuals_ms)[: max(0, slots - free_slots)]
    free_at_ms = [0] * free_slots + busy
    if not free_at_ms:
        return 0
    heapq.heapify(free_at_ms)
    for run_ms in ahead_ms:
        heapq.heapreplace(free_at_ms, free_at_ms[0] + run_ms)
    return free_at_ms[0]
