"""Decides whether the listing of upstreams may be used after a pause of this process; does no I/O.

Load pattern: a VM is suspended or held up for seconds while servers leave, and all its connections
have work waiting when it goes on. What it placed then went to servers that had left meanwhile,
since its listing was as old as the pause was long.
"""

from __future__ import annotations

import attrs

from ..clock import Clock
from ..pauses import PauseDetector

# A process that has not looked at the clock for this long was paused. A listing is up to 2 s old
# without a pause, and the platform allows a server that leaves 2.5 s until nothing new arrives.
MAX_GAP_MS = 700


@attrs.define
class ListingAge:
    """Notices pauses of this process, and the reads of a listing after them; times in ms."""

    clock: Clock
    pauses: PauseDetector = attrs.field(factory=lambda: PauseDetector(MAX_GAP_MS))
    # Start of the last read that has ended, successful or not: in an outage the listing stays.
    read_started_ms: int = 0

    def current(self) -> bool:
        """Return whether the listing was read since the last pause."""
        self.pauses.observe(self.clock.now_ms())
        return self.pauses.covers(self.read_started_ms)

    def paused_since(self, started_ms: int) -> bool:
        """Return whether this process was paused at or after a time."""
        self.pauses.observe(self.clock.now_ms())
        return not self.pauses.covers(started_ms)

    def record_read(self, started_ms: int) -> None:
        """Record the end of a read of the listing that began at ``started_ms``."""
        self.read_started_ms = started_ms
