"""Selection of the upstream for one call; performs no I/O.

Designed for three plain upstreams of different speed in different zones, a burst of short calls,
and one upstream that suddenly becomes several times slower or fails some of its calls. For this
load, the selection minimizes expected response time, including the cost of failed attempts,
instead of the number of open calls.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence

import attrs

from .upstreams import Upstream

# Assumed response time of an upstream without any measured response.
DEFAULT_RESPONSE_MS = 30.0
# Round-trip time to an upstream in another zone of the same region, and in another region.
OTHER_ZONE_RTT_MS = 2.0
OTHER_REGION_RTT_MS = 24.0
# Time lost by a failed attempt: about the timeout of an upstream that does not respond.
FAILED_ATTEMPT_COST_MS = 600.0
# Cost of a request to a rate-limited upstream: its permit, and load on a server in need. Others get
# the request unless they are much slower or their slots are taken.
RATE_LIMIT_COST_MS = 25.0
# An upstream counts as full when this process has this many open calls to it per slot.
MAX_CALLS_PER_SLOT = 2
# Retry-After when all upstreams are full: about the time until a slot becomes free.
BUSY_RETRY_MS = 250
# Retry-After when no upstream is known: about the time a listing takes to change.
NO_UPSTREAM_RETRY_MS = 1_000


@attrs.frozen
class SelectedUpstream:
    """The upstream selected for an attempt."""

    upstream: Upstream
    expected_ms: float
    reason: str


@attrs.frozen
class NoCapacity:
    """No upstream has capacity for the call now."""

    reason: str
    retry_after_ms: int
    # Number of upstreams that would be used if they were not full.
    left: int = 0


def round_trip_ms(zone: str, other: str, regions: dict[str, str]) -> float:
    """Return the round-trip time between two availability zones."""
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
    limited: Collection[str] = (),
) -> SelectedUpstream | NoCapacity:
    """Return the upstream with the lowest expected response time.

    ``limited`` has the instances that have announced a rate limit.
    """
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
        return NoCapacity("all upstreams are full", BUSY_RETRY_MS, len(untried))
    healthy = [upstream for upstream in available if upstream.backoff_until_ms <= now_ms]
    best = None
    best_ms = 0.0
    for upstream in healthy or available:
        expected_ms = _expected_ms(upstream) + round_trip_ms(zone, upstream.record.zone, regions)
        expected_ms += upstream.recent_failure_rate(now_ms) * FAILED_ATTEMPT_COST_MS
        if upstream.record.instance in limited:
            expected_ms += RATE_LIMIT_COST_MS
        # Random jitter spreads calls over equal candidates.
        expected_ms += rng.random()
        if best is None or expected_ms < best_ms:
            best, best_ms = upstream, expected_ms
    assert best is not None
    return SelectedUpstream(best, best_ms, "soonest" if healthy else "all have failed lately")


def _expected_ms(upstream: Upstream) -> float:
    work_ms = DEFAULT_RESPONSE_MS if upstream.response_ms is None else upstream.response_ms
    waiting = max(0, upstream.in_flight + 1 - upstream.record.slots)
    return work_ms * (1.0 + waiting / upstream.record.slots + upstream.in_flight * 0.05)
