"""Decides how long a process may act as the owner of a batch; does no I/O.

The log of a batch names its owner, and a takeover adds an entry to it. A process that was paused or
cut off learns of that from the object API only. It therefore starts items and answers reads only
for a limited time after a store call has shown that nobody else has taken the batch over, and not
after a pause of its own. A gateway that takes a batch over from an owner that is merely silent
lists nothing before the former owner's time is over, so reads never go backwards.

Load pattern: a few batches are open in each fleet, and most of them are written to about once a
second while their results arrive. Each write shows who the owner is, so that extra calls are needed
only while nothing is listed.
"""

from __future__ import annotations

import attrs

from ..pauses import PauseDetector

# Time after a confirmation for which a process may act as the owner. Outages of the object API
# that are shorter do not hold up a batch.
TENURE_MS = 3_000
# Added to the wait of a new owner: the clocks of two machines may run at different rates.
CLOCK_RATE_MARGIN_MS = TENURE_MS // 10
# Time after which a confirmation is renewed. Two renewals in a row may fail.
RENEWAL_INTERVAL_MS = 1_000
# Minimum time between two attempts to confirm an ownership.
ATTEMPT_INTERVAL_MS = 300
# A process that has not looked at the clock for this long was paused. Another gateway takes over
# from an owner only after a longer silence.
MAX_GAP_MS = 500
# Time for which a confirmation is valid during a handoff: the next owner may list results at any
# time then.
HANDOFF_TENURE_MS = 300


@attrs.define
class Tenure:
    """Ownership of one batch as far as this process can be sure of it; times in ms."""

    # Start of the last store call that showed no other owner; None if there is no valid one.
    confirmed_ms: int | None = None
    attempted_ms: int | None = None
    pauses: PauseDetector = attrs.field(factory=lambda: PauseDetector(MAX_GAP_MS))

    def holds(self, now_ms: int, max_age_ms: int = TENURE_MS) -> bool:
        """Return whether this process may act as the owner at ``now_ms``."""
        self._observe(now_ms)
        return self.confirmed_ms is not None and now_ms - self.confirmed_ms < max_age_ms

    def confirm(self, started_ms: int, now_ms: int) -> None:
        """Record that a store call that began at ``started_ms`` showed no other owner."""
        self._observe(now_ms)
        # A call that began before a pause says nothing about the time since then.
        if self.pauses.covers(started_ms):
            self.confirmed_ms = max(started_ms, self.confirmed_ms or started_ms)

    def renewal_due(self, now_ms: int) -> bool:
        """Return whether to confirm the ownership now."""
        return not self.holds(now_ms, RENEWAL_INTERVAL_MS) and self._may_attempt(now_ms)

    def begin_attempt(self, now_ms: int) -> bool:
        """Return whether an attempt to confirm may start now, and record it."""
        if not self._may_attempt(now_ms):
            return False
        self.attempted_ms = now_ms
        return True

    def _may_attempt(self, now_ms: int) -> bool:
        return self.attempted_ms is None or now_ms - self.attempted_ms >= ATTEMPT_INTERVAL_MS

    def _observe(self, now_ms: int) -> None:
        if self.pauses.observe(now_ms):
            self.confirmed_ms = None
            self.attempted_ms = None


def first_listing_ms(claimed_ms: int, former_silent: bool) -> int:
    """Return when a new owner may list results first.

    ``claimed_ms`` is the time at which its claim was known to be stored. A former owner that is
    merely silent may still answer reads; one whose process has ended or has given the batch up
    does not.
    """
    if not former_silent:
        return claimed_ms
    return claimed_ms + TENURE_MS + CLOCK_RATE_MARGIN_MS
