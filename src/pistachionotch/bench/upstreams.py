"""Fake upstreams with service times and slowdown episodes that no report shows at once."""

from __future__ import annotations

import random
from collections import OrderedDict

import attrs

from ..prefixes.view import EVICTED, STORED, CacheEvent, CacheEventPage
from .deployments import ENGINE_POOL, SERVICE_POOL, Deployment

ENGINE_SLOTS = 8
SERVICE_SLOTS = 2
TOKENS_PER_SECOND = 40
PREFILL_TOKENS_PER_MS = 4
CACHED_PREFIXES = 16
CACHED_PREFILL_SHARE = 0.1
# Cache events come this late, and each hundredth is lost.
EVENT_LAG_MS = 1_000
LOST_EVENT_DIVISOR = 100

EPISODE_GAP_MS = 100_000
EPISODE_MS = (8_000, 16_000)
EPISODE_FACTOR = (3.0, 6.0)


@attrs.frozen
class Episode:
    """Slow an upstream down by ``factor`` for a while."""

    start_ms: int
    end_ms: int
    factor: float


@attrs.define
class FakeUpstream:
    """Run work at full speed except during its episodes."""

    name: str
    pool: str
    zone: str
    region: str
    slots: int
    episodes: tuple[Episode, ...]
    prefixes: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    # Time and event; lost ones are missing.
    events: list[tuple[int, CacheEvent]] = attrs.field(factory=list)
    sequence: int = 0
    lookups: int = 0
    hits: int = 0

    def slowed(self, now_ms: int) -> bool:
        """Return whether an episode is in progress."""
        return any(item.start_ms <= now_ms < item.end_ms for item in self.episodes)

    def finish_ms(self, start_ms: int, work_ms: float) -> int:
        """Return when work of ``work_ms`` at full speed ends if it starts at ``start_ms``."""
        now_ms = float(start_ms)
        for item in self.episodes:
            if item.end_ms <= now_ms:
                continue
            if item.start_ms > now_ms:
                if now_ms + work_ms <= item.start_ms:
                    break
                work_ms -= item.start_ms - now_ms
                now_ms = item.start_ms
            if now_ms + work_ms * item.factor <= item.end_ms:
                return round(now_ms + work_ms * item.factor)
            work_ms -= (item.end_ms - now_ms) / item.factor
            now_ms = item.end_ms
        return round(now_ms + work_ms)

    def work_ms(self, start_ms: int, end_ms: int) -> float:
        """Return the full-speed milliseconds of work done between two times."""
        done_ms = float(end_ms - start_ms)
        for item in self.episodes:
            overlap_ms = min(end_ms, item.end_ms) - max(start_ms, item.start_ms)
            if overlap_ms > 0:
                done_ms -= overlap_ms * (1 - 1 / item.factor)
        return done_ms

    def prefill_ms(self, prompt_tokens: int, prefix: str, now_ms: int) -> float:
        """Return the prefill time at full speed and keep the prefix in the cache."""
        prefill_ms = prompt_tokens / PREFILL_TOKENS_PER_MS
        if not prefix:
            return prefill_ms
        self.lookups += 1
        if prefix in self.prefixes:
            self.hits += 1
            self.prefixes.move_to_end(prefix)
            return prefill_ms * CACHED_PREFILL_SHARE
        self.prefixes[prefix] = prompt_tokens
        self._publish(STORED, prefix, prompt_tokens, now_ms)
        if len(self.prefixes) > CACHED_PREFIXES:
            self._publish(EVICTED, *self.prefixes.popitem(last=False), now_ms)
        return prefill_ms

    def cache_events(self, now_ms: int) -> CacheEventPage:
        """Return the events that are published by now and were not returned before."""
        count = sum(1 for at_ms, _ in self.events if at_ms + EVENT_LAG_MS <= now_ms)
        due, self.events = self.events[:count], self.events[count:]
        return CacheEventPage(tuple(event for _, event in due), due[-1][1].sequence if due else 0)

    def _publish(self, kind: str, prefix: str, tokens: int, now_ms: int) -> None:
        self.sequence += 1
        if self.sequence % LOST_EVENT_DIVISOR:
            self.events.append((now_ms, CacheEvent(self.sequence, kind, prefix, tokens)))


def stream_time_ms(tokens: int) -> float:
    """Return the time of ``tokens`` tokens at full speed."""
    return tokens * 1_000 / TOKENS_PER_SECOND


def make_episodes(rng: random.Random, until_ms: int) -> tuple[Episode, ...]:
    """Draw the slowdown episodes of one upstream."""
    episodes: list[Episode] = []
    now_ms = 0
    while True:
        start_ms = now_ms + round(rng.expovariate(1 / EPISODE_GAP_MS))
        if start_ms >= until_ms:
            return tuple(episodes)
        now_ms = start_ms + rng.randint(*EPISODE_MS)
        episodes.append(Episode(start_ms, now_ms, rng.uniform(*EPISODE_FACTOR)))


def make_upstreams(deployment: Deployment, rng: random.Random, until_ms: int) -> list[FakeUpstream]:
    """Create the upstreams of a deployment with their episodes."""
    upstreams = []
    for site in deployment.sites:
        for pool, count, slots in (
            (ENGINE_POOL, site.engines, ENGINE_SLOTS),
            (SERVICE_POOL, site.services, SERVICE_SLOTS),
        ):
            for number in range(count):
                upstream = FakeUpstream(
                    name=f"{pool}-{site.zone}-{number}",
                    pool=pool,
                    zone=site.zone,
                    region=site.region,
                    slots=slots,
                    episodes=make_episodes(rng, until_ms),
                )
                upstreams.append(upstream)
    return upstreams
