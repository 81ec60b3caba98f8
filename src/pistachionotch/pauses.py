"""Detection of pauses of this process, after which what it believed may be outdated."""

from __future__ import annotations

import attrs


@attrs.define
class PauseDetector:
    """Notices that nobody has looked at the clock for longer than usual; times in ms.

    It has to be told the time at intervals well below ``max_gap_ms``.
    """

    max_gap_ms: int
    # Last time at which this process was seen to run, and when its last pause was noticed.
    observed_ms: int | None = None
    resumed_ms: int | None = None
    # Duration of that pause.
    paused_ms: int = 0

    def observe(self, now_ms: int) -> bool:
        """Return whether this process was paused since the last call."""
        former_ms, self.observed_ms = self.observed_ms, now_ms
        if former_ms is None or now_ms - former_ms <= self.max_gap_ms:
            return False
        self.resumed_ms = now_ms
        self.paused_ms = now_ms - former_ms
        return True

    def covers(self, started_ms: int) -> bool:
        """Return whether nothing was paused since ``started_ms``, as of the last observation."""
        return self.resumed_ms is None or started_ms >= self.resumed_ms
