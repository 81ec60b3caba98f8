"""Decides the course of a drain: when each step is due, and which late work may still begin.

Opens no sockets. All times follow from the grace period, after which the platform kills the
process.

Load pattern: in a rolling restart each gateway gets SIGTERM while clients go on to use connections
that they opened before, some until the process is gone. Most requests take a fraction of a second
and can be served to the end. One that may last longer than the process would be cut off, and a
request that may not be repeated would be lost with it; another gateway serves it at once instead.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch

import attrs

from ..clock import Clock

# The platform probes readiness once a second and removes a process after two failed probes.
READINESS_DELAY_MS = 2_500
# Timeout for handing over batches and releasing the lease through the object API.
RELEASE_TIMEOUT_MS = 1_500
# Time to read requests that are already in transit, and to write the last responses.
FINAL_READ_MS = 100
# The same as shares of a short grace period.
READINESS_SHARE = 5 / 16
RELEASE_SHARE = 3 / 16
FINAL_READ_SHARE = 1 / 80
# Share of the grace period after which requests without an answer get an error. The platform
# excuses that in the last sixth; half of it is left to send the last answers and to stop.
CUT_OFF_SHARE = 11 / 12
# Share of the grace period after which answers that are still being sent are broken off.
ANSWERS_SHARE = 23 / 24
# Expected duration of a repeatable call, as a multiple of the upstreams' usual response time.
USUAL_DURATION_FACTOR = 8
MIN_DURATION_MS = 600
# Time in which a read of a batch ends after its wait, and in which a batch is ended: the owner may
# be silent, and the batch is taken over then.
BATCH_READ_MS = 1_700
BATCH_END_MS = 3_000


@attrs.frozen
class Call:
    """A call to be forwarded; times in ms."""

    # Time until its client or its route gives it up.
    limit_ms: int
    # Whether it may be answered with an error at any time and then be sent again.
    repeatable: bool
    # Usual response time of its upstreams; None if it is not known.
    usual_ms: float | None = None


@attrs.frozen
class BatchRead:
    """A read of a batch or of an item's body; ``wait_ms`` is how long it may wait for a result."""

    wait_ms: int = 0


@attrs.frozen
class BatchEnd:
    """The end of a batch."""


@singledispatch
def time_needed_ms(work: object) -> int:
    """Return the time in ms in which a piece of work certainly has its final answer."""
    raise TypeError(type(work))


@time_needed_ms.register
def _(work: Call) -> int:
    if not work.repeatable or work.usual_ms is None:
        return work.limit_ms
    return min(work.limit_ms, max(MIN_DURATION_MS, int(work.usual_ms * USUAL_DURATION_FACTOR)))


@time_needed_ms.register
def _(work: BatchRead) -> int:
    return work.wait_ms + BATCH_READ_MS


@time_needed_ms.register
def _(work: BatchEnd) -> int:
    return BATCH_END_MS


@attrs.define
class Drain:
    """The drain of one process; does nothing until it has begun."""

    clock: Clock
    grace_ms: int = 0
    started_ms: int | None = None
    # Whether other gateways can serve what this one refuses.
    others_serve: Callable[[], bool] = lambda: True

    def begin(self, grace_ms: int) -> None:
        """Begin the drain of a process that is killed ``grace_ms`` milliseconds from now."""
        self.grace_ms = grace_ms
        self.started_ms = self.clock.now_ms()

    @property
    def readiness_delay_ms(self) -> int:
        """Return how long new connections are accepted after the readiness probe fails."""
        return min(READINESS_DELAY_MS, int(self.grace_ms * READINESS_SHARE))

    @property
    def release_timeout_ms(self) -> int:
        """Return the timeout for handing over batches and the lease."""
        return min(RELEASE_TIMEOUT_MS, int(self.grace_ms * RELEASE_SHARE))

    @property
    def final_read_ms(self) -> int:
        """Return the time to read requests in transit or to write the last responses."""
        return min(FINAL_READ_MS, int(self.grace_ms * FINAL_READ_SHARE))

    def left_ms(self) -> int | None:
        """Return the time until open requests are cut off; None if no drain has begun."""
        if self.started_ms is None:
            return None
        cut_off_ms = self.started_ms + int(self.grace_ms * CUT_OFF_SHARE)
        return max(0, cut_off_ms - self.clock.now_ms())

    def answers_left_ms(self) -> int:
        """Return the time until answers that are being sent are broken off."""
        if self.started_ms is None:
            return 0
        end_ms = self.started_ms + int(self.grace_ms * ANSWERS_SHARE)
        return max(0, end_ms - self.clock.now_ms())

    def may_begin(self, work: object) -> bool:
        """Return whether work can be finished before open requests are cut off."""
        left_ms = self.left_ms()
        return left_ms is None or time_needed_ms(work) <= left_ms

    def retry_after_ms(self) -> int:
        """Return when the client of a refused request should come back, to whichever gateway."""
        return 0 if self.others_serve() else self.left_ms() or 0

    def wait_within(self, wait_ms: int) -> int:
        """Return the part of a read's wait after which it can still be answered."""
        left_ms = self.left_ms()
        if left_ms is None:
            return wait_ms
        return max(0, min(wait_ms, left_ms - BATCH_READ_MS))
