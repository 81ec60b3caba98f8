"""An agent's view of its engine's prefix cache, from the engine's events and its own calls."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import attrs
from returns.result import Failure, Result, Success

STORED = "stored"
EVICTED = "evicted"
MAX_NAMES = 1024


@attrs.frozen
class CacheEvent:
    """Tell of one prefix that the engine stored or evicted, by the engine's own name."""

    sequence: int
    kind: str
    prefix: str
    tokens: int


@attrs.frozen
class CacheEventPage:
    """Carry the engine's events after a known one, and the newest sequence."""

    events: tuple[CacheEvent, ...]
    last: int


@attrs.frozen
class PrefixCacheUsage:
    """Tell what a completion found in the cache, and how the engine names its prefix."""

    name: str
    prompt_tokens: int
    cached_tokens: int


@attrs.frozen
class HeldPrefix:
    """State how many tokens of a prefix the engine holds, and when that became known."""

    tokens: int
    seen_ms: int


@attrs.frozen
class ViewChange:
    """Number a change of the view; zero tokens stand for an eviction."""

    number: int
    tokens: int
    seen_ms: int


def parse_event_page(answer: Any) -> Result[CacheEventPage, str]:
    """Read an engine's answer."""
    try:
        events = tuple(
            CacheEvent(
                int(item["sequence"]), str(item["kind"]), str(item["prefix"]), int(item["tokens"])
            )
            for item in answer["events"]
        )
        return Success(CacheEventPage(events, int(answer["last"])))
    except (TypeError, KeyError, ValueError) as error:
        return Failure(f"cache events not readable: {error!r}")


def parse_usage(usage: Any) -> PrefixCacheUsage | None:
    """Read the usage of a completion, none where the engine reports no cache."""
    try:
        details = usage["prompt_tokens_details"]
        cached = max(0, int(details["cached_tokens"]))
        return PrefixCacheUsage(str(details.get("prefix", "")), int(usage["prompt_tokens"]), cached)
    except (TypeError, KeyError, ValueError, AttributeError):
        return None


@attrs.define
class CacheView:
    """Hold what the engine has cached, by the names of entries; a gap drops all of it.

    The engine's hash cannot be computed here, so a prefix is known from the first completion that
    named it; events of other prefixes are kept until then.
    """

    # The newest event that was taken over.
    sequence: int = 0
    # Counts the times the view was dropped.
    epoch: int = 0
    stored: OrderedDict[str, HeldPrefix] = attrs.field(factory=OrderedDict)
    names: OrderedDict[str, bytes] = attrs.field(factory=OrderedDict)
    # What entries should hear, the latest change last, and the number of that change.
    changes: OrderedDict[bytes, ViewChange] = attrs.field(factory=OrderedDict)
    number: int = 0

    def apply_page(self, page: CacheEventPage, now_ms: int) -> bool:
        """Take over new events; false if some are missing and the view was dropped."""
        whole = page.last >= self.sequence
        if not whole:
            # The engine has counted anew: its memory is a new one as well.
            self._drop(0)
        for event in sorted(page.events, key=lambda item: item.sequence):
            if event.sequence <= self.sequence:
                continue
            if event.sequence != self.sequence + 1:
                whole = False
                self._drop(event.sequence)
            self.sequence = event.sequence
            self._apply(event, now_ms)
        if page.last > self.sequence:
            whole = False
            self._drop(page.last)
        return whole

    def record_usage(self, prefix: bytes, use: PrefixCacheUsage) -> None:
        """Learn by which name the engine tells of ``prefix``."""
        if not prefix or not use.name:
            return
        self.names[use.name] = prefix
        self.names.move_to_end(use.name)
        if len(self.names) > MAX_NAMES:
            self.names.popitem(last=False)
        held = self.stored.get(use.name)
        if held is not None:
            self._change(prefix, held)

    def _apply(self, event: CacheEvent, now_ms: int) -> None:
        self.stored.pop(event.prefix, None)
        held = HeldPrefix(event.tokens if event.kind == STORED else 0, now_ms)
        if held.tokens > 0:
            self.stored[event.prefix] = held
            if len(self.stored) > MAX_NAMES:
                self.stored.popitem(last=False)
        prefix = self.names.get(event.prefix)
        if prefix is not None:
            self._change(prefix, held)

    def _change(self, prefix: bytes, held: HeldPrefix) -> None:
        known = self.changes.get(prefix)
        if known is not None and (known.tokens, known.seen_ms) == (held.tokens, held.seen_ms):
            return
        self.number += 1
        self.changes[prefix] = ViewChange(self.number, held.tokens, held.seen_ms)
        self.changes.move_to_end(prefix)
        if len(self.changes) > MAX_NAMES:
            self.changes.popitem(last=False)

    def _drop(self, sequence: int) -> None:
        self.sequence = sequence
        self.epoch += 1
        self.stored.clear()
        self.changes.clear()
