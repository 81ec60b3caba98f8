"""Stand-in for an engine's prefix cache: limited capacity, and delayed events with gaps."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from typing import Any

import attrs

from ..clock import Clock

BYTES_PER_TOKEN = 4
# The engine identifies a prefix by its first tokens; prompts with the same ones share a cache
# entry.
PREFIX_TOKENS = 256
MAX_EVENTS = 256


@attrs.frozen
class _PublishedEvent:
    due_ms: int
    sequence: int
    # None if the event is lost.
    event: dict[str, Any] | None


@attrs.define
class PrefixCacheStandIn:
    """Cache the most recently used prefixes and publish what is stored and evicted."""

    clock: Clock
    capacity_tokens: int = 65_536
    event_delay_ms: int = 200
    events_to_lose: int = 0
    sequence: int = 0
    cached_prefixes: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    published: deque[_PublishedEvent] = attrs.field(factory=lambda: deque(maxlen=MAX_EVENTS))

    def process_prompt(self, prompt: str) -> dict[str, Any]:
        """Cache the prompt of a completion and return its token usage."""
        tokens = max(1, len(prompt.encode("utf-8", "surrogatepass")) // BYTES_PER_TOKEN)
        prefix = self._prefix_id(prompt)
        cached = min(tokens, self.cached_prefixes.pop(prefix, 0))
        self.cached_prefixes[prefix] = tokens
        if cached < tokens:
            self._publish("stored", prefix, tokens)
        while (
            sum(self.cached_prefixes.values()) > self.capacity_tokens
            and len(self.cached_prefixes) > 1
        ):
            self._publish("evicted", *self.cached_prefixes.popitem(last=False))
        details = {"cached_tokens": cached, "prefix": prefix}
        return {"prompt_tokens": tokens, "prompt_tokens_details": details}

    def events_after(self, after: int) -> dict[str, Any]:
        """Return the events after the sequence number ``after`` that are already visible."""
        now_ms = self.clock.now_ms()
        due = [item for item in self.published if item.due_ms <= now_ms]
        events = [item.event for item in due if item.event and item.sequence > after]
        return {"events": events, "last": due[-1].sequence if due else 0}

    def clear(self) -> None:
        """Clear the cache and restart the event sequence, as after a restart of the engine."""
        self.cached_prefixes.clear()
        self.published.clear()
        self.sequence = 0

    def _publish(self, kind: str, prefix: str, tokens: int) -> None:
        self.sequence += 1
        event: dict[str, Any] | None = None
        if self.events_to_lose > 0:
            self.events_to_lose -= 1
        else:
            event = {"sequence": self.sequence, "kind": kind, "prefix": prefix, "tokens": tokens}
        due_ms = self.clock.now_ms() + self.event_delay_ms
        self.published.append(_PublishedEvent(due_ms, self.sequence, event))

    def _prefix_id(self, prompt: str) -> str:
        named = prompt.encode("utf-8", "surrogatepass")[: PREFIX_TOKENS * BYTES_PER_TOKEN]
        return hashlib.blake2b(named, digest_size=8).hexdigest()
