"""Event heap on a manual clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

import attrs

from ..clock import ManualClock

Event = tuple[int, int, Callable[..., None], tuple[Any, ...]]


@attrs.define
class EventLoop:
    """Run scheduled calls in the order of their time; equal times keep their order."""

    clock: ManualClock = attrs.field(factory=ManualClock)
    heap: list[Event] = attrs.field(factory=list)
    serial: int = 0

    def at(self, time_ms: int, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule ``call`` at an absolute time."""
        self.serial += 1
        heapq.heappush(self.heap, (time_ms, self.serial, call, arguments))

    def after(self, delay_ms: int, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule ``call`` after a delay."""
        self.at(self.clock.current_ms + delay_ms, call, *arguments)

    def run(self, until_ms: int) -> None:
        """Run all calls up to and including ``until_ms``."""
        while self.heap and self.heap[0][0] <= until_ms:
            time_ms, _, call, arguments = heapq.heappop(self.heap)
            self.clock.advance(time_ms - self.clock.current_ms)
            call(*arguments)
