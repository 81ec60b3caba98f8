"""Published weight versions and when each engine serves them."""

from __future__ import annotations

import random
from bisect import bisect_right

import attrs

PUBLISH_EVERY_MS = (40_000, 50_000)
SWAP_MS = (500, 3_000)
STALENESS_BOUND = 2


@attrs.define
class Versions:
    """Hold the publication times; each engine swaps a little later."""

    published_ms: tuple[int, ...]
    swap_ms: dict[str, int]

    def newest(self, now_ms: int) -> int:
        """Return the newest published version."""
        return bisect_right(self.published_ms, now_ms)

    def serving(self, now_ms: int, upstream: str) -> int:
        """Return the version that an upstream serves."""
        return bisect_right(self.published_ms, now_ms - self.swap_ms[upstream])


def make_versions(rng: random.Random, upstreams: list[str], until_ms: int) -> Versions:
    """Draw the publication times."""
    times = []
    now_ms = 0
    while now_ms < until_ms:
        now_ms += rng.randint(*PUBLISH_EVERY_MS)
        times.append(now_ms)
    return Versions(tuple(times), {name: rng.randint(*SWAP_MS) for name in upstreams})
