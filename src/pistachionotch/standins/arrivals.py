"""Counts the requests to a server in sliding windows and compares them with its named limit."""

from __future__ import annotations

import math
from collections import deque
from typing import Any

import attrs

WINDOW_S = 4.0
# A window may hold this many times what the limit allows, and some requests more.
TOLERANCE = 1.5
ADDITIONAL_REQUESTS = 5
# Time in which a new or lowered limit takes effect at all gateways.
EFFECT_S = 1.0


@attrs.frozen
class LimitChange:
    """A limit in requests per second that responses name from a time on; infinite if none."""

    at_s: float
    per_second: float


@attrs.define
class ArrivalWindows:
    """The recent requests to one server, and the windows that had too many of them."""

    # Times and ids of the requests.
    arrivals: deque[tuple[float, str]] = attrs.field(factory=deque)
    changes: list[LimitChange] = attrs.field(factory=lambda: [LimitChange(0.0, math.inf)])
    total: int = 0
    breaches: list[dict[str, Any]] = attrs.field(factory=list)

    def name_limit(self, per_second: float, now_s: float) -> None:
        """Record the limit that a response names."""
        if per_second != self.changes[-1].per_second:
            self.changes.append(LimitChange(now_s, per_second))

    def record(self, now_s: float, request: str = "") -> None:
        """Record a request and check the window that ends with it."""
        self.total += 1
        self.arrivals.append((now_s, request))
        while self.arrivals[0][0] < now_s - WINDOW_S:
            self.arrivals.popleft()
        allowed = self._allowed(now_s - WINDOW_S, now_s)
        if len(self.arrivals) <= allowed:
            return
        breach = {"at": now_s, "requests": len(self.arrivals), "allowed": allowed}
        self.breaches.append({**breach, "arrivals": list(self.arrivals)})

    def _allowed(self, start_s: float, end_s: float) -> float:
        """Return how many requests a window may hold."""
        points = {start_s, end_s}
        for change in self.changes:
            points |= {change.at_s, change.at_s + EFFECT_S}
        inside = sorted(point for point in points if start_s <= point <= end_s)
        requests = 0.0
        for since_s, until_s in zip(inside, inside[1:], strict=False):
            requests += self._limit_at((since_s + until_s) / 2) * (until_s - since_s)
        return requests * TOLERANCE + ADDITIONAL_REQUESTS

    def _limit_at(self, at_s: float) -> float:
        """Return the highest limit that may be in effect at a time."""
        current = self.changes[0].per_second
        recent = []
        for change in self.changes:
            if change.at_s <= at_s - EFFECT_S:
                current = change.per_second
                continue
            if change.at_s <= at_s:
                recent.append(change.per_second)
        return max([current, *recent])
