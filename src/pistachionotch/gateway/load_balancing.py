"""Selection of the upstream for one call; performs no I/O.

Designed for three plain upstreams of different speed in different zones, a burst of short calls,
and one upstream that suddenly becomes several times slower or fails some of its calls. For this
load, the selection minimizes expected response time, including the cost of failed attempts,
instead of the number of open calls. Whether a call leaves its zone is decided by
``routing.zone_spill``.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence

import attrs

from ..routing.zone_spill import Distance, SpillOption, SpillRequest, ZoneSpill
from .upstreams import Upstream

# Assumed response time of an upstream without any measured response.
DEFAULT_RESPONSE_MS = 30.0
# Time constant with which a slow upstream that gets no requests is expected to have recovered. One
# request at a time then tries it; the next one follows the later, the slower the upstream is.
SLOWNESS_MEMORY_MS = 4_000
# Round-trip time to an upstream in another zone of the same region, and in another region.
OTHER_ZONE_RTT_MS = 2.0
OTHER_REGION_RTT_MS = 24.0
# Time lost by a failed attempt: about the timeout of an upstream that does not respond.
FAILED_ATTEMPT_COST_MS = 600.0
# Cost of a request to a rate-limited upstream: its permit, and load on a server in need. Others get
# the request unless they are much slower or their slots are taken.
RATE_LIMIT_COST_MS = 25.0
# An upstream with a higher failure rate, or with a rate limit, is not preferred for being in the
# home zone. A single failure counts for about a second.
TROUBLED_FAILURE_RATE = 0.15
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
    distance: Distance = Distance.HOME
    # Why the call leaves its zone; empty if it stays.
    left_because: str = ""


@attrs.frozen
class NoCapacity:
    """No upstream has capacity for the call now."""

    reason: str
    retry_after_ms: int
    # Number of upstreams that would be used if they were not full.
    left: int = 0


ROUND_TRIP_MS = {
    Distance.HOME: 0.0,
    Distance.ZONE: OTHER_ZONE_RTT_MS,
    Distance.REGION: OTHER_REGION_RTT_MS,
}


def zone_distance(zone: str, other: str, regions: Mapping[str, str]) -> Distance:
    """Return the distance between two availability zones."""
    if zone == other:
        return Distance.HOME
    return Distance.ZONE if regions.get(zone) == regions.get(other) else Distance.REGION


def select_upstream(
    candidates: Sequence[Upstream],
    tried: Collection[str],
    zone: str,
    regions: Mapping[str, str],
    now_ms: int,
    spill: ZoneSpill,
    request: SpillRequest,
    limited: Collection[str] = (),
) -> SelectedUpstream | NoCapacity:
    """Return the upstream for an attempt: the soonest one of the home zone, unless calls leave it.

    ``candidates`` belong to one service; ``limited`` has the instances that have announced a rate
    limit.
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
    options = []
    for upstream in healthy or available:
        distance = zone_distance(zone, upstream.record.zone, regions)
        failure_rate = upstream.recent_failure_rate(now_ms)
        is_limited = upstream.record.instance in limited
        # Random jitter spreads calls over equal candidates.
        expected_ms = (
            _expected_ms(upstream, now_ms, spill.enabled)
            + ROUND_TRIP_MS[distance]
            + spill.rng.random()
        )
        expected_ms += failure_rate * FAILED_ATTEMPT_COST_MS
        options.append(
            SpillOption(
                key=upstream.record.instance,
                expected_ms=expected_ms + (RATE_LIMIT_COST_MS if is_limited else 0.0),
                distance=distance,
                troubled=is_limited or failure_rate > TROUBLED_FAILURE_RATE,
                measured=upstream.response_ms is not None,
            )
        )
    home = [upstream for upstream in candidates if upstream.record.zone == zone]
    if home:
        absent = _absence(home, untried, available)
        request = attrs.evolve(request, home_absent=absent)
    choice = spill.choose(candidates[0].record.service, options, request)
    found = next(each for each in untried if each.record.instance == choice.option.key)
    return SelectedUpstream(
        found,
        choice.option.expected_ms,
        "soonest" if healthy else "all have failed lately",
        choice.option.distance,
        choice.left_because,
    )


def _absence(
    home: Sequence[Upstream], untried: Sequence[Upstream], available: Sequence[Upstream]
) -> str:
    """Return why no home upstream can be used, if that is so."""
    if any(upstream in available for upstream in home):
        return "home servers failing"
    if any(upstream in untried for upstream in home):
        return "home servers full"
    # A call that has tried a server may go anywhere; this one has not.
    return "home servers reject by rate limit"


def _expected_ms(upstream: Upstream, now_ms: int, recovers: bool) -> float:
    work_ms = DEFAULT_RESPONSE_MS
    if upstream.response_ms is not None:
        work_ms = upstream.response_ms
        if recovers and upstream.in_flight == 0 and work_ms > DEFAULT_RESPONSE_MS:
            idle_ms = max(0, now_ms - upstream.attempt_ms)
            weight = math.exp(-idle_ms / SLOWNESS_MEMORY_MS)
            work_ms = DEFAULT_RESPONSE_MS + weight * (work_ms - DEFAULT_RESPONSE_MS)
    waiting = max(0, upstream.in_flight + 1 - upstream.record.slots)
    return work_ms * (1.0 + waiting / upstream.record.slots + upstream.in_flight * 0.05)
