"""What this process knows of the upstreams: their registrations and its own experience."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from ..config.spec import Address

# Weight of a new sample in a moving average.
RESPONSE_TIME_WEIGHT = 0.2
# After a refusal for lack of room, an upstream is tried again this much later.
FULL_BACKOFF_MS = 80
# An engine that refuses while this process fills no more of it than this share probably loads
# weights, which takes 0.9 s; on average a third of that time is left.
LOADING_MAX_LOAD = 0.5
LOADING_BACKOFF_MS = 300
# After a broken exchange, an upstream is used only if no other is left, for this long; doubled by
# each further failure up to the maximum.
FAILURE_BACKOFF_MS = 400
MAX_FAILURE_BACKOFF_MS = 4_000
# Weight of one attempt in the share of failed ones: two failures in a row make an upstream suspect,
# a single one does not.
ATTEMPT_WEIGHT = 0.2
# An upstream that fails more than this share of its requests gets only a few. Sound ones lose some
# in a hundred answers.
SUSPECT_FAILURE_RATE = 0.3
# Failures fade with this time constant, so that a suspect is tried again after a second or two.
FAILURE_DECAY_MS = 4_000
# What is known of an engine's speed is out of date after this time; engines turn slow for seconds.
EVENT_INTERVAL_MAX_AGE_MS = 2_000
# Time constant of an engine's pace. Neighbours slow an engine for about 600 ms now and then, which
# is over before a move pays; faults do so for seconds.
EVENT_INTERVAL_SMOOTHING_MS = 700
# The same for the pace of this moment, which shows such a neighbour after one or two events.
RECENT_INTERVAL_SMOOTHING_MS = 100
# An upstream that said it is leaving is remembered this long after it was last listed, since a
# stale listing may name it again.
LEAVING_MEMORY_MS = 120_000
# A stream without an event for this many usual gaps of its engine has stalled.
STALLED_AFTER_INTERVALS = 20
# The pace of this moment is unknown after this time without an event.
RECENT_INTERVAL_MAX_AGE_MS = 400


@attrs.frozen(kw_only=True)
class UpstreamRecord:
    """Hold the registration of one upstream, as the platform lists it."""

    instance: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    # Time of its start; an instance may start again under the same name.
    started_ms: int
    # Weight version in use by model; empty for plain services.
    versions: dict[str, int]

    @property
    def incarnation(self) -> str:
        """Return what names one start of this upstream."""
        return f"{self.instance}@{self.started_ms}"


@attrs.define
class Upstream:
    """Join a registration with what this process saw of the upstream itself."""

    record: UpstreamRecord
    in_flight: int = 0
    # Moving averages; None before the first sample.
    response_ms: float | None = None
    average_interval_ms: float | None = None
    # The same over the last few events only.
    recent_interval_ms: float = 0.0
    last_event_ms: int = 0
    full_until_ms: int = 0
    backoff_until_ms: int = 0
    failures: int = 0
    # Moving share of failed attempts, and when it was brought up to date.
    failure_rate: float = 0.0
    attempt_ms: int = 0
    # Whether one of its own answers said that it is leaving.
    announced_leaving: bool = False
    # Highest versions that its responses named; registrations lag behind.
    seen_versions: dict[str, int] = attrs.field(factory=dict)

    def version(self, model: str) -> int:
        """Return the newest known weight version of a model, -1 if it serves none."""
        return max(self.record.versions.get(model, -1), self.seen_versions.get(model, -1))

    def free_slots(self) -> int:
        """Return how many more requests of this process run at once."""
        return self.record.slots - self.in_flight

    def record_response(self, duration_ms: int, now_ms: int) -> None:
        """Count a complete response."""
        self.response_ms = _average(self.response_ms, duration_ms)
        self.failures = 0
        self.backoff_until_ms = 0
        self.record_attempt(True, now_ms)

    def record_attempt(self, succeeded: bool, now_ms: int) -> None:
        """Count an attempt in the share of failed ones."""
        share = self.recent_failure_rate(now_ms)
        self.failure_rate = _weighted(share, 0.0 if succeeded else 1.0, ATTEMPT_WEIGHT)
        self.attempt_ms = now_ms

    def recent_failure_rate(self, now_ms: int) -> float:
        """Return the share of attempts that failed lately."""
        return self.failure_rate * math.exp((self.attempt_ms - now_ms) / FAILURE_DECAY_MS)

    def is_suspect(self, now_ms: int) -> bool:
        """Return whether this upstream fails part of its requests although it answers others."""
        return self.recent_failure_rate(now_ms) > SUSPECT_FAILURE_RATE

    def record_event_gap(self, gap_ms: float, now_ms: int) -> None:
        """Count the time between two events of a stream."""
        since_ms = now_ms - self.last_event_ms
        self.last_event_ms = now_ms
        # Weighed by time, since an engine's events come from a dozen streams or from one.
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
        """Return the usual time between two events, None if that is not known any more."""
        return (
            self.average_interval_ms
            if now_ms - self.last_event_ms <= EVENT_INTERVAL_MAX_AGE_MS
            else None
        )

    def recent_event_interval_ms(self, now_ms: int) -> float | None:
        """Return the time between two events at this moment, None if that is not known."""
        fresh = (
            self.average_interval_ms is not None
            and now_ms - self.last_event_ms <= RECENT_INTERVAL_MAX_AGE_MS
        )
        return self.recent_interval_ms if fresh else None

    def event_timeout_ms(self, least_ms: int) -> int:
        """Return how long a stream may take to its next event before it counts as stalled."""
        return max(least_ms, int((self.average_interval_ms or 0.0) * STALLED_AFTER_INTERVALS))

    def record_full(self, now_ms: int) -> None:
        """Count a refusal for lack of room."""
        self.full_until_ms = now_ms + FULL_BACKOFF_MS

    def record_engine_refusal(self, now_ms: int) -> None:
        """Count a refusal of an engine, which may load weights rather than be full."""
        loading = self.in_flight <= self.record.slots * LOADING_MAX_LOAD
        self.full_until_ms = now_ms + (LOADING_BACKOFF_MS if loading else FULL_BACKOFF_MS)

    def record_failure(self, now_ms: int) -> None:
        """Count a broken or missing response; those of one moment pause the upstream once."""
        self.record_attempt(False, now_ms)
        if now_ms < self.backoff_until_ms:
            return
        pause_ms = min(MAX_FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MS << min(self.failures, 6))
        self.failures += 1
        self.backoff_until_ms = now_ms + pause_ms

    def record_version(self, model: str, version: int) -> None:
        """Remember a version that a response named."""
        self.seen_versions[model] = max(version, self.seen_versions.get(model, -1))


def _average(average: float | None, sample: float) -> float:
    return sample if average is None else _weighted(average, sample, RESPONSE_TIME_WEIGHT)


def _weighted(average: float, sample: float, weight: float) -> float:
    return average + weight * (sample - average)


@attrs.define
class UpstreamTable:
    """Hold all upstreams by instance."""

    upstreams: dict[str, Upstream] = attrs.field(factory=dict)
    # Upstreams that left the listing after they had said that they are leaving, and when they did.
    leaving_incarnations: dict[str, int] = attrs.field(factory=dict)
    # Grows with each change of the registrations.
    revision: int = -1

    def replace(
        self, records: Iterable[UpstreamRecord], revision: int, now_ms: int = 0
    ) -> list[UpstreamRecord]:
        """Take over a newer listing; returns the registrations that are gone."""
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
        """Return the upstreams of a service that may get new work."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.record.service == service
            and not (upstream.record.leaving or upstream.announced_leaving)
        ]
