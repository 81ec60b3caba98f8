"""Time since the start of 1970 that ignores steps of the machine's wall clock; performs no I/O.

Load pattern: on some machines the wall clock jumps by 2 s or more and back again after a while. The
monotonic clock does not, so the difference between the two is taken once, at the start. A process
that starts during such a step is corrected by what the other gateways' clocks show.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from statistics import median_low

import attrs

from ..clock import Clock

# Number of gateways whose median can correct this one.
MIN_GATEWAYS = 3
# Smaller differences are transfer times and clocks that are a little off.
MAX_DIFFERENCE_MS = 500
# A process whose time has agreed with the median once is only corrected if it differs for this
# long: the median of three is wrong for a moment if one of them starts during a step while a former
# time of another one still counts.
CONFIRMED_DIFFERENCE_MS = 30_000
# Messages of which the one with the shortest transfer counts, and the time for which they count.
# With 8 messages and 60 s, the time of a process before its correction still counted when the next
# one started during a step, and the median of three was wrong.
KEPT_SAMPLES = 3
SAMPLE_MEMORY_MS = 15_000


@attrs.define
class TrueTime:
    """The time since the start of 1970 as estimated here, and the clocks of other gateways."""

    clock: Clock
    # Reads the wall clock; called once.
    wall_ms: Callable[[], int]
    # Called with the correction in ms and the number of gateways that it is based on.
    corrected: Callable[[int, int], None] = lambda _by_ms, _gateways: None
    # Difference between the true time and the monotonic clock.
    offset_ms: int = attrs.field(init=False)
    # Offsets of other gateways by node, with the time of receipt.
    samples: dict[str, deque[tuple[int, int]]] = attrs.field(factory=dict)
    # Whether this process's time has been compared with that of enough gateways.
    compared: bool = False
    # Whether it has agreed with theirs, and since when it differs again.
    confirmed: bool = False
    differs_since_ms: int | None = None

    def __attrs_post_init__(self) -> None:
        self.offset_ms = self.wall_ms() - self.clock.now_ms()

    def unix_ms(self) -> int:
        """Return the time in ms since the start of 1970."""
        return self.clock.now_ms() + self.offset_ms

    def at_ms(self, monotonic_ms: int) -> int:
        """Return the time since the start of 1970 at a time of the monotonic clock."""
        return monotonic_ms + self.offset_ms

    def record(self, node: str, unix_ms: int) -> None:
        """Record what another gateway's clock showed when it sent a message received now."""
        now_ms = self.clock.now_ms()
        found = self.samples.setdefault(node, deque(maxlen=KEPT_SAMPLES))
        found.append((now_ms, unix_ms - now_ms))

    def median(self) -> tuple[int, int] | None:
        """Return the number of known clocks, this one included, and their median now."""
        now_ms = self.clock.now_ms()
        offsets = [self.offset_ms]
        for node, samples in list(self.samples.items()):
            # The transfer makes a clock look late, so the highest offset is the closest.
            recent = [offset for at_ms, offset in samples if now_ms - at_ms < SAMPLE_MEMORY_MS]
            if not recent:
                del self.samples[node]
                continue
            offsets.append(max(recent))
        return len(offsets), now_ms + median_low(offsets)

    def compare(self) -> None:
        """Compare with the clocks recorded here, as a gateway does that the others report to."""
        known = self.median()
        if known is not None:
            self.apply(*known)

    def apply(self, gateways: int, unix_ms: int) -> None:
        """Use the median of some gateways' clocks now if it differs too much from this time."""
        if gateways < MIN_GATEWAYS:
            return
        self.compared = True
        by_ms = unix_ms - self.unix_ms()
        if abs(by_ms) <= MAX_DIFFERENCE_MS:
            self.confirmed = True
            self.differs_since_ms = None
            return
        now_ms = self.clock.now_ms()
        if self.differs_since_ms is None:
            self.differs_since_ms = now_ms
        if self.confirmed and now_ms - self.differs_since_ms < CONFIRMED_DIFFERENCE_MS:
            return
        self.differs_since_ms = None
        self.offset_ms += by_ms
        self.corrected(by_ms, gateways)
