"""Choice of the upstream for one call, and what to do after an attempt; opens no sockets.

Load pattern: three plain upstreams of different speed in different zones, a wave of short calls,
one upstream that turns several times slower or fails part of its calls at once. Expected time,
failed attempts included, decides, not the number of calls.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence

import attrs

from .upstreams import Upstream

# Assumed response time of an upstream that has answered nothing yet.
DEFAULT_RESPONSE_MS = 30.0
# Round trips of a call to an upstream in another zone of this region, and in another region.
OTHER_ZONE_RTT_MS = 2.0
OTHER_REGION_RTT_MS = 24.0
# Time that a failed attempt costs its call: a silent upstream is given up after about this time.
FAILED_ATTEMPT_COST_MS = 600.0
# An upstream with this many times its slots in calls of this process is full.
MAX_CALLS_PER_SLOT = 2
# Retry-After of a call that found no room: about the time in which a slot becomes free.
BUSY_RETRY_MS = 250
# Retry-After of a call without any known upstream: the time that a listing takes to change.
NO_UPSTREAM_RETRY_MS = 1_000


@attrs.frozen
class SelectedUpstream:
    """Name the upstream to try."""

    upstream: Upstream
    expected_ms: float
    reason: str


@attrs.frozen
class NoCapacity:
    """Say that no upstream can take the call now."""

    reason: str
    retry_after_ms: int


def round_trip_ms(zone: str, other: str, regions: dict[str, str]) -> float:
    """Return the round trip between two zones."""
    if zone == other:
        return 0.0
    if regions.get(zone) == regions.get(other):
        return OTHER_ZONE_RTT_MS
    return OTHER_REGION_RTT_MS


def select_upstream(
    candidates: Sequence[Upstream],
    tried: Collection[str],
    zone: str,
    regions: dict[str, str],
    now_ms: int,
    rng: random.Random,
) -> SelectedUpstream | NoCapacity:
    """Return the upstream that is expected to answer first."""
    untried = [upstream for upstream in candidates if upstream.record.instance not in tried]
    if not untried:
        return NoCapacity(
            "no upstream is left", NO_UPSTREAM_RETRY_MS if not candidates else BUSY_RETRY_MS
        )
    available = [
        upstream
        for upstream in untried
        if upstream.full_until_ms <= now_ms
        and upstream.in_flight < upstream.record.slots * MAX_CALLS_PER_SLOT
    ]
    if not available:
        return NoCapacity("all upstreams are full", BUSY_RETRY_MS)
    healthy = [upstream for upstream in available if upstream.backoff_until_ms <= now_ms]
    best = None
    best_ms = 0.0
    for upstream in healthy or available:
        expected_ms = _expected_ms(upstream) + round_trip_ms(zone, upstream.record.zone, regions)
        expected_ms += upstream.recent_failure_rate(now_ms) * FAILED_ATTEMPT_COST_MS
        # A small random part spreads equal candidates.
        expected_ms += rng.random()
        if best is None or expected_ms < best_ms:
            best, best_ms = upstream, expected_ms
    assert best is not None
    return SelectedUpstream(best, best_ms, "soonest" if healthy else "all have failed lately")


def _expected_ms(upstream: Upstream) -> float:
    work_ms = DEFAULT_RESPONSE_MS if upstream.response_ms is None else upstream.response_ms
    waiting = max(0, upstream.in_flight + 1 - upstream.record.slots)
    return work_ms * (1.0 + waiting / upstream.record.slots + upstream.in_flight * 0.05)
