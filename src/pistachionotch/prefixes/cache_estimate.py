"""What an entry knows of the prefixes that one agent's engine holds."""

from __future__ import annotations

from collections import OrderedDict

import attrs

# An entry has 80 links; more than this is seldom asked for before it is evicted.
MAX_PREFIXES = 64


@attrs.frozen
class CacheChange:
    """Report that the engine holds ``tokens`` tokens of a prefix, zero after an eviction."""

    prefix: bytes
    tokens: int
    age_ms: int


@attrs.frozen
class CacheReport:
    """Carry changes to an entry; after ``reset`` nothing that was known before counts."""

    reset: bool
    changes: tuple[CacheChange, ...] = ()


@attrs.frozen
class CachedPrefix:
    """Give the tokens that are expected in the cache, and the age of that fact."""

    tokens: int = 0
    age_ms: int = 0


@attrs.frozen
class _Fact:
    tokens: int
    seen_ms: int


@attrs.define
class PrefixCacheEstimate:
    """Learn from completed requests and from the agent's reports; the newer fact counts."""

    known: OrderedDict[bytes, _Fact] = attrs.field(factory=OrderedDict)

    def record_completion(self, prefix: bytes, tokens: int, now_ms: int) -> None:
        """Learn that the engine has just served a prompt of ``tokens`` tokens."""
        if prefix:
            self._learn(prefix, _Fact(tokens, now_ms))

    def apply(self, report: CacheReport, now_ms: int) -> None:
        """Take over an agent's report."""
        if report.reset:
            self.known.clear()
        for change in report.changes:
            self._learn(change.prefix, _Fact(change.tokens, now_ms - max(0, change.age_ms)))

    def cached(self, prefix: bytes, now_ms: int) -> CachedPrefix:
        """Return what the engine is expected to hold of a prefix."""
        fact = self.known.get(prefix)
        if fact is None or fact.tokens <= 0:
            return CachedPrefix()
        return CachedPrefix(fact.tokens, max(0, now_ms - fact.seen_ms))

    def _learn(self, prefix: bytes, fact: _Fact) -> None:
        known = self.known.get(prefix)
        if known is not None and known.seen_ms > fact.seen_ms:
            return
        self.known[prefix] = fact
        self.known.move_to_end(prefix)
        if len(self.known) > MAX_PREFIXES:
            self.known.popitem(last=False)
