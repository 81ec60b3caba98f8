"""An agent's view of its engine's prefix cache, from cache events and completed calls."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import attrs
from returns.result import Failure, Result, Success

STORED = "stored"
EVICTED = "evicted"
MAX_TRACKED_PREFIXES = 1024


@attrs.frozen
class CacheEvent:
    """A prefix that the engine stored or evicted, identified by the engine's own name for it."""

    sequence: int
    kind: str
    prefix: str
    tokens: int


@attrs.frozen
class CacheEventPage:
    """The engine's events after a given sequence number, and the newest sequence number."""

    events: tuple[CacheEvent, ...]
    last: int


@attrs.frozen
class PrefixCacheUsage:
    """The cached tokens that a completion used, and the engine's name for its prefix."""

    engine_name: str
    prompt_tokens: int
    cached_tokens: int


@attrs.frozen
class HeldPrefix:
    """How many tokens of a prefix the engine holds, and when that was observed."""

    tokens: int
    observed_ms: int


@attrs.frozen
class ViewChange:
    """A numbered change of the view; zero tokens mean an eviction."""

    change_number: int
    tokens: int
    observed_ms: int


def parse_event_page(answer: Any) -> Result[CacheEventPage, str]:
    """Parse the engine's response to a request for cache events."""
    try:
        events = tuple(
            CacheEvent(
                int(raw_event["sequence"]),
                str(raw_event["kind"]),
                str(raw_event["prefix"]),
                int(raw_event["tokens"]),
            )
            for raw_event in answer["events"]
        )
        return Success(CacheEventPage(events, int(answer["last"])))
    except (TypeError, KeyError, ValueError) as error:
        return Failure(f"cache events not readable: {error!r}")


def parse_usage(usage: Any) -> PrefixCacheUsage | None:
    """Parse the usage of a completion; return None if the engine does not report its cache."""
    try:
        details = usage["prompt_tokens_details"]
        cached = max(0, int(details["cached_tokens"]))
        return PrefixCacheUsage(str(details.get("prefix", "")), int(usage["prompt_tokens"]), cached)
    except (TypeError, KeyError, ValueError, AttributeError):
        return None


@attrs.define
class CacheView:
    """What the engine has cached; a gap in its events clears the view.

    Events name a prefix by the engine's hash, which cannot be computed here. The first completion
    that reports a hash maps it to a prefix key; events with an unmapped hash are kept until then.
    """

    # Sequence number of the newest event that was applied.
    sequence: int = 0
    # Number of times the view was cleared.
    epoch: int = 0
    stored: OrderedDict[str, HeldPrefix] = attrs.field(factory=OrderedDict)
    prefixes_by_engine_name: OrderedDict[str, bytes] = attrs.field(factory=OrderedDict)
    # The changes to report to entries, the latest one last, and the number of that change.
    changes: OrderedDict[bytes, ViewChange] = attrs.field(factory=OrderedDict)
    change_number: int = 0

    def apply_page(self, page: CacheEventPage, now_ms: int) -> bool:
        """Apply new events; return False if some were missing and the view was cleared."""
        complete = page.last >= self.sequence
        if not complete:
            # The engine restarted its sequence numbers, so its cache is a new one as well.
            self._clear(0)
        for event in sorted(page.events, key=lambda item: item.sequence):
            if event.sequence <= self.sequence:
                continue
            if event.sequence != self.sequence + 1:
                complete = False
                self._clear(event.sequence)
            self.sequence = event.sequence
            self._apply_event(event, now_ms)
        if page.last > self.sequence:
            complete = False
            self._clear(page.last)
        return complete

    def record_usage(self, prefix: bytes, use: PrefixCacheUsage) -> None:
        """Record the engine's name for ``prefix`` from the usage of a completion."""
        if not prefix or not use.engine_name:
            return
        self.prefixes_by_engine_name[use.engine_name] = prefix
        self.prefixes_by_engine_name.move_to_end(use.engine_name)
        if len(self.prefixes_by_engine_name) > MAX_TRACKED_PREFIXES:
            self.prefixes_by_engine_name.popitem(last=False)
        held = self.stored.get(use.engine_name)
        if held is not None:
            self._record_change(prefix, held)

    def _apply_event(self, event: CacheEvent, now_ms: int) -> None:
        self.stored.pop(event.prefix, None)
        held = HeldPrefix(event.tokens if event.kind == STORED else 0, now_ms)
        if held.tokens > 0:
            self.stored[event.prefix] = held
            if len(self.stored) > MAX_TRACKED_PREFIXES:
                self.stored.popitem(last=False)
        prefix = self.prefixes_by_engine_name.get(event.prefix)
        if prefix is not None:
            self._record_change(prefix, held)

    def _record_change(self, prefix: bytes, held: HeldPrefix) -> None:
        known = self.changes.get(prefix)
        if known is not None and (known.tokens, known.observed_ms) == (
            held.tokens,
            held.observed_ms,
        ):
            return
        self.change_number += 1
        self.changes[prefix] = ViewChange(self.change_number, held.tokens, held.observed_ms)
        self.changes.move_to_end(prefix)
        if len(self.changes) > MAX_TRACKED_PREFIXES:
            self.changes.popitem(last=False)

    def _clear(self, sequence: int) -> None:
        self.sequence = sequence
        self.epoch += 1
        self.stored.clear()
        self.changes.clear()
