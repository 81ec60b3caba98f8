"""An entry's estimate of the prefixes that one agent's engine has cached."""

from __future__ import annotations

from collections import OrderedDict

import attrs

# Prefixes kept per agent; an entry has links to 80 agents. Further prefixes would rarely be looked
# up before the engine evicts them.
MAX_PREFIXES = 64


@attrs.frozen
class CacheChange:
    """The number of tokens of a prefix that the engine holds, zero after an eviction."""

    prefix: bytes
    tokens: int
    age_ms: int


@attrs.frozen
class CacheReport:
    """Changes sent to an entry; with ``reset``, all earlier reports are invalid."""

    reset: bool
    changes: tuple[CacheChange, ...] = ()


@attrs.frozen
class CachedPrefix:
    """The tokens that are expected in the cache, and the age of that information."""

    tokens: int = 0
    age_ms: int = 0


@attrs.frozen
class _Observation:
    tokens: int
    observed_ms: int


@attrs.define
class PrefixCacheEstimate:
    """The prefixes that an engine is expected to hold.

    They are known from completed requests and from the agent's reports; the newer observation wins.
    """

    observations: OrderedDict[bytes, _Observation] = attrs.field(factory=OrderedDict)

    def record_completion(self, prefix: bytes, tokens: int, now_ms: int) -> None:
        """Record that the engine has just served a prompt of ``tokens`` tokens."""
        if prefix:
            self._record(prefix, _Observation(tokens, now_ms))

    def apply(self, report: CacheReport, now_ms: int) -> None:
        """Apply an agent's report."""
        if report.reset:
            self.observations.clear()
        for change in report.changes:
            self._record(change.prefix, _Observation(change.tokens, now_ms - max(0, change.age_ms)))

    def cached(self, prefix: bytes, now_ms: int) -> CachedPrefix:
        """Return the tokens of a prefix that the engine is expected to hold."""
        observation = self.observations.get(prefix)
        if observation is None or observation.tokens <= 0:
            return CachedPrefix()
        return CachedPrefix(observation.tokens, max(0, now_ms - observation.observed_ms))

    def _record(self, prefix: bytes, observation: _Observation) -> None:
        earlier = self.observations.get(prefix)
        if earlier is not None and earlier.observed_ms > observation.observed_ms:
            return
        self.observations[prefix] = observation
        self.observations.move_to_end(prefix)
        if len(self.observations) > MAX_PREFIXES:
            self.observations.popitem(last=False)
