"""Decomposition of the time that a trainer waits for the last sample of a step."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import attrs

LONGEST = "longest sample"
QUEUED = "queued"
RESTARTED = "started again"
SLOWED = "slowed"
STALE = "stale"
PARTS = (LONGEST, QUEUED, RESTARTED, SLOWED, STALE)


@attrs.frozen
class SampleTimes:
    """Describe how a sample came about; ``work_ms`` is its run time at full speed.

    ``started_ms`` is the start of its first run, ``run_started_ms`` that of the run that ended.
    """

    started_ms: int
    run_started_ms: int
    work_ms: float
    done_ms: int


def split_idle(
    samples: Sequence[SampleTimes], requested_ms: int, idle_from_ms: int, done_ms: int
) -> Counter[str]:
    """Split the time from ``idle_from_ms`` to ``done_ms`` by cause.

    Each cause counts with the time by which it moves the end of the step: first every sample runs
    at full speed from the request on, then from its first start, then from the start of the run
    that ended, then at the speed that it had. What is left is the time until stale samples were
    replaced; ``samples`` are those of the first completion.
    """
    ends = (
        (LONGEST, max(requested_ms + item.work_ms for item in samples)),
        (QUEUED, max(item.started_ms + item.work_ms for item in samples)),
        (RESTARTED, max(item.run_started_ms + item.work_ms for item in samples)),
        (SLOWED, max(item.done_ms for item in samples)),
        (STALE, done_ms),
    )
    parts: Counter[str] = Counter()
    reached_ms = float(idle_from_ms)
    for cause, end_ms in ends:
        end_ms = min(float(done_ms), end_ms)
        if end_ms <= reached_ms:
            continue
        parts[cause] += round(end_ms - reached_ms)
        reached_ms = end_ms
    return parts
