"""Monotonic clocks and deadlines in milliseconds."""

from __future__ import annotations

import time
from typing import Protocol

import attrs

MS_PER_SECOND = 1000
# CLOCK_BOOTTIME includes the time during which the machine was suspended, CLOCK_MONOTONIC does not.
# Leases expire during a suspension too. Not every system provides CLOCK_BOOTTIME.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Provides monotonic time and sleeping, both in milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds since an arbitrary start."""

    def sleep_ms(self, duration_ms: int) -> None:
        """Block the calling greenlet for ``duration_ms`` milliseconds."""


class SystemClock:
    """The system's monotonic clock, including time spent suspended where available."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return time.clock_gettime_ns(_CLOCK_ID) // 1_000_000

    def sleep_ms(self, duration_ms: int) -> None:
        """Block the calling greenlet; yields to others once gevent has patched ``time``."""
        time.sleep(max(0, duration_ms) / MS_PER_SECOND)


@attrs.define
class ManualClock:
    """A clock that advances only on request, for tests and benchmarks."""

    current_ms: int = 0

    def now_ms(self) -> int:
        """Return the milliseconds set so far."""
        return self.current_ms

    def sleep_ms(self, duration_ms: int) -> None:
        """Advance the clock immediately instead of blocking."""
        self.advance(duration_ms)

    def advance(self, duration_ms: int) -> None:
        """Move time forward by ``duration_ms`` milliseconds."""
        if duration_ms < 0:
            raise ValueError("time does not go back")
        self.current_ms += duration_ms


@attrs.frozen
class Deadline:
    """A point in monotonic time after which a result is no longer useful."""

    at_ms: int

    @classmethod
    def after(cls, clock: Clock, duration_ms: int) -> Deadline:
        """Return the deadline ``duration_ms`` milliseconds from now."""
        return cls(clock.now_ms() + duration_ms)

    def remaining_ms(self, clock: Clock) -> int:
        """Return the remaining milliseconds, or 0 once expired."""
        return max(0, self.at_ms - clock.now_ms())

    def expired(self, clock: Clock) -> bool:
        """Return whether the deadline has passed."""
        return clock.now_ms() >= self.at_ms
