"""Known upstreams: their registrations and the statistics this process keeps about them."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from ..config.spec import Address

# Weight of a new sample in the moving average of response times.
RESPONSE_TIME_WEIGHT = 0.2
# After a pause of about this time, a shorter response replaces most of the average. An upstream
# that was avoided for being slow gets only a few requests that can show its recovery.
RESPONSE_TIME_DECAY_MS = 2_000
# Backoff after an upstream rejected a request because it was full.
FULL_BACKOFF_MS = 80
# If this process uses at most this share of an engine's slots and the engine still rejects a
# request, it is probably loading weights. Loading takes 0.9 s, of which a third is left on average.
LOADING_MAX_LOAD = 0.5
LOADING_BACKOFF_MS = 300
# The same for an engine with a rate limit, which counts the rejected requests too.
RATE_LIMITED_BACKOFF_MS = 800
# After a failed attempt, an upstream is only used as a last resort for this time. The backoff
# doubles with each further failure up to the maximum.
FAILURE_BACKOFF_MS = 400
MAX_FAILURE_BACKOFF_MS = 4_000
# Weight of one attempt in the failure rate: two consecutive failures make an upstream suspect, a
# single one does not.
ATTEMPT_WEIGHT = 0.2
# An upstream with a higher failure rate is suspect and gets only a few requests. Healthy upstreams
# lose a few responses in a hundred.
SUSPECT_FAILURE_RATE = 0.3
# Time constant of the failure rate's decay; a suspect upstream is retried after one or two seconds.
FAILURE_DECAY_MS = 4_000
# Maximum age of an engine's measured event interval; engines become slow for seconds at a time.
EVENT_INTERVAL_MAX_AGE_MS = 2_000
# Time constant of the average event interval. Noisy neighbours sometimes slow an engine for about
# 600 ms, too short for moving an item to pay off; faults slow it for seconds.
EVENT_INTERVAL_SMOOTHING_MS = 700
# Time constant of the recent event interval, which shows a noisy neighbour after one or two events.
RECENT_INTERVAL_SMOOTHING_MS = 100
# Time to remember that an upstream announced its leaving, after it was last listed. A stale listing
# may contain it again.
LEAVING_MEMORY_MS = 120_000
# A stream without an event for this many average intervals of its engine counts as stalled.
STALLED_AFTER_INTERVALS = 20
# Maximum age of the recent event interval.
RECENT_INTERVAL_MAX_AGE_MS = 400


@attrs.frozen(kw_only=True)
class UpstreamRecord:
    """The registration of one upstream, as listed by the platform."""

    instance: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    # Start time; an instance may restart under the same name.
    started_ms: int
    # Current weight version by model; empty for plain services.
    versions: dict[str, int]
    # Version of its software. Texts that two versions produce don't fit together.
    software: str = ""

    @property
    def incarnation(self) -> str:
        """Return an identifier that changes with each start of the instance.

        Software can't change without a start, so another version is another start too.
        """
        start = f"{self.instance}@{self.started_ms}"
        return f"{start}/{self.software}" if self.software else start


@attrs.define
class Upstream:
    """An upstream: its registration and the statistics of this process about it."""

    record: UpstreamRecord
    in_flight: int = 0
    # Moving averages; None before the first sample.
    response_ms: float | None = None
    average_interval_ms: float | None = None
    # Moving average over the last few events only.
    recent_interval_ms: float = 0.0
    last_event_ms: int = 0
    full_until_ms: int = 0
    backoff_until_ms: int = 0
    failures: int = 0
    # Moving average of failed attempts, and the time of its last update.
    failure_rate: float = 0.0
    attempt_ms: int = 0
    # Whether one of its responses announced that it is leaving.
    announced_leaving: bool = False
    # Highest weight versions seen in its responses; registrations lag behind.
    seen_versions: dict[str, int] = attrs.field(factory=dict)

    def version(self, model: str) -> int:
        """Return the newest known weight version of a model, -1 if it serves none."""
        return max(self.record.versions.get(model, -1), self.seen_versions.get(model, -1))

    def free_slots(self) -> int:
        """Return the number of slots that this process does not use."""
        return self.record.slots - self.in_flight

    def record_response(self, duration_ms: int, now_ms: int, recovers: bool = False) -> None:
        """Record a complete response and reset the backoff.

        With ``recovers``, a shorter response after a pause counts for more than usual.
        """
        weight = RESPONSE_TIME_WEIGHT
        if recovers and self.response_ms is not None and duration_ms < self.response_ms:
            since_ms = max(0, now_ms - self.attempt_ms)
            weight = max(weight, 1.0 - math.exp(-since_ms / RESPONSE_TIME_DECAY_MS))
        self.response_ms = _weighted(
            duration_ms if self.response_ms is None else self.response_ms, duration_ms, weight
        )
        self.failures = 0
        self.backoff_until_ms = 0
        self.record_attempt(True, now_ms)

    def record_attempt(self, succeeded: bool, now_ms: int) -> None:
        """Update the failure rate with the outcome of an attempt."""
        share = self.recent_failure_rate(now_ms)
        self.failure_rate = _weighted(share, 0.0 if succeeded else 1.0, ATTEMPT_WEIGHT)
        self.attempt_ms = now_ms

    def recent_failure_rate(self, now_ms: int) -> float:
        """Return the failure rate, decayed by the time since the last attempt."""
        return self.failure_rate * math.exp((self.attempt_ms - now_ms) / FAILURE_DECAY_MS)

    def is_suspect(self, now_ms: int) -> bool:
        """Return whether this upstream fails some of its requests while it answers others."""
        return self.recent_failure_rate(now_ms) > SUSPECT_FAILURE_RATE

    def record_event_gap(self, gap_ms: float, now_ms: int) -> None:
        """Record the time between two events of a stream."""
        since_ms = now_ms - self.last_event_ms
        self.last_event_ms = now_ms
        # Weighted by elapsed time, since an engine may serve a dozen streams or only one.
        weight = (
            1.0
            if since_ms > RECENT_INTERVAL_MAX_AGE_MS
            else min(1.0, since_ms / RECENT_INTERVAL_SMOOTHING_MS)
        )
        self.recent_interval_ms = _weighted(self.recent_interval_ms, gap_ms, weight)
        if self.average_interval_ms is None or since_ms > EVENT_INTERVAL_MAX_AGE_MS:
            self.average_interval_ms = gap_ms
            return
        self.average_interval_ms = _weighted(
            self.average_interval_ms, gap_ms, min(1.0, since_ms / EVENT_INTERVAL_SMOOTHING_MS)
        )

    def event_interval_ms(self, now_ms: int) -> float | None:
        """Return the average time between two events, or None if it is unknown or out of date."""
        return (
            self.average_interval_ms
            if now_ms - self.last_event_ms <= EVENT_INTERVAL_MAX_AGE_MS
            else None
        )

    def recent_event_interval_ms(self, now_ms: int) -> float | None:
        """Return the recent time between two events, or None if it is unknown or out of date."""
        fresh = (
            self.average_interval_ms is not None
            and now_ms - self.last_event_ms <= RECENT_INTERVAL_MAX_AGE_MS
        )
        return self.recent_interval_ms if fresh else None

    def event_timeout_ms(self, least_ms: int) -> int:
        """Return the time without an event after which a stream counts as stalled."""
        return max(least_ms, int((self.average_interval_ms or 0.0) * STALLED_AFTER_INTERVALS))

    def record_full(self, now_ms: int) -> None:
        """Record that the upstream rejected a request because it was full."""
        self.full_until_ms = now_ms + FULL_BACKOFF_MS

    def record_engine_refusal(self, now_ms: int, rate_limited: bool = False) -> None:
        """Record a rejection by an engine, which may be loading weights instead of being full."""
        loading = self.in_flight <= self.record.slots * LOADING_MAX_LOAD
        backoff_ms = LOADING_BACKOFF_MS if loading else FULL_BACKOFF_MS
        self.full_until_ms = now_ms + (RATE_LIMITED_BACKOFF_MS if rate_limited else backoff_ms)

    def record_failure(self, now_ms: int) -> None:
        """Record a broken or missing response; failures during a backoff do not extend it."""
        self.record_attempt(False, now_ms)
        if now_ms < self.backoff_until_ms:
            return
        pause_ms = min(MAX_FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MS << min(self.failures, 6))
        self.failures += 1
        self.backoff_until_ms = now_ms + pause_ms

    def record_version(self, model: str, version: int) -> None:
        """Record a weight version seen in a response."""
        self.seen_versions[model] = max(version, self.seen_versions.get(model, -1))


def _weighted(average: float, sample: float, weight: float) -> float:
    return average + weight * (sample - average)


class RateLimitView(Protocol):
    """The rate limits of upstreams, as far as the selection of an upstream needs them."""

    def limit(self, upstream: UpstreamRecord) -> float | None:
        """Return the limit of an upstream in requests per second, None if there is none."""

    def rejected_for_ms(self, upstream: UpstreamRecord, urgency: int) -> int:
        """Return the time for which requests of this urgency would be rejected, 0 if none."""

    def rejects_from(self, upstream: UpstreamRecord, max_wait_ms: int) -> int | None:
        """Return the urgency from which requests that wait no longer are rejected, if any."""

    def expected_permits(self, upstream: UpstreamRecord) -> int | None:
        """Return how many requests an upstream may accept now, None if it has no limit."""


class Unlimited:
    """The view of a process whose upstreams announce no limits."""

    def limit(self, upstream: UpstreamRecord) -> float | None:
        """Return None."""
        return None

    def rejected_for_ms(self, upstream: UpstreamRecord, urgency: int) -> int:
        """Return 0."""
        return 0

    def rejects_from(self, upstream: UpstreamRecord, max_wait_ms: int) -> int | None:
        """Return None."""
        return None

    def expected_permits(self, upstream: UpstreamRecord) -> int | None:
        """Return None."""
        return None


@attrs.define
class UpstreamTable:
    """All known upstreams by instance."""

    upstreams: dict[str, Upstream] = attrs.field(factory=dict)
    # Incarnations that announced their leaving and are no longer listed, with the time of removal.
    leaving_incarnations: dict[str, int] = attrs.field(factory=dict)
    # Revision of the newest applied listing.
    revision: int = -1
    rate_limits: RateLimitView = attrs.field(factory=Unlimited)
    # Whether the listing may be used; see ``ListingAge``.
    is_current: Callable[[], bool] = lambda: True

    def replace(
        self, records: Iterable[UpstreamRecord], revision: int, now_ms: int = 0
    ) -> list[UpstreamRecord]:
        """Apply a listing unless it is outdated; returns the removed registrations."""
        if revision < self.revision:
            return []
        self.revision = revision
        listed = {record.instance: record for record in records}
        gone = []
        for instance, upstream in list(self.upstreams.items()):
            record = listed.get(instance)
            if record is not None and record.incarnation == upstream.record.incarnation:
                continue
            gone.append(upstream.record)
            del self.upstreams[instance]
            if upstream.announced_leaving:
                self.leaving_incarnations[upstream.record.incarnation] = now_ms
        for record in listed.values():
            known = self.upstreams.get(record.instance)
            if known is None:
                left = self.leaving_incarnations.pop(record.incarnation, None) is not None
                self.upstreams[record.instance] = Upstream(record, announced_leaving=left)
                continue
            known.record = record
        for peer, since_ms in list(self.leaving_incarnations.items()):
            if now_ms - since_ms >= LEAVING_MEMORY_MS:
                del self.leaving_incarnations[peer]
        return gone

    def available_for(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept new requests."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.record.service == service
            and not (upstream.record.leaving or upstream.announced_leaving)
        ]

    def usable_for(self, service: str) -> list[Upstream]:
        """Return the upstreams that new requests may go to now; none by an outdated listing."""
        return self.available_for(service) if self.is_current() else []
