"""Values that gateways publish, by topic and origin; performs no I/O.

Load pattern: up to 330 gateways publish counts every 0.25 to 3.3 s over links that lose, repeat and
reorder messages; gateways are killed, start again and are cut off for a while. What a killed one
published still counts, and no value may replace a newer one of the same process.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Any

import attrs

from ..clock import Clock

# An own value is published again after this part of the time for which it is kept, so that an
# unchanged value of a running gateway does not expire.
REFRESH_PARTS = 3


@attrs.frozen
class Origin:
    """One process of a gateway."""

    node: str
    incarnation: str


def accept_any(_value: Any) -> None:
    """Accept each value of a topic."""


@attrs.frozen(kw_only=True)
class Topic:
    """What is known in advance of the values under one name."""

    name: str
    # Time after its publication for which a value is kept.
    keep_ms: int
    # Raises one of ``MALFORMED`` for a value that must not be merged.
    check: Callable[[Any], None] = accept_any
    # Returns what subscribers receive instead of all values; None if they receive the values.
    summarize: Callable[[Iterable[Any]], Any] | None = None


@attrs.frozen(kw_only=True)
class Entry:
    """The value of one topic and origin; it must not be changed after it was published."""

    topic: str
    origin: Origin
    # Increases with each value of this origin.
    version: int
    # Time of this process's clock at which the value was published.
    published_ms: int
    value: Any
    # Local number of the change, by which later changes are found; 0 before it is merged.
    number: int = 0
    # Gateway that this one has the value from; empty for an own value.
    source: str = ""


@attrs.define
class Board:
    """The newest value of each topic and origin."""

    local: Origin
    clock: Clock
    topics: dict[str, Topic] = attrs.field(factory=dict)
    # Ordered by the number of the change.
    entries: dict[tuple[str, Origin], Entry] = attrs.field(factory=dict)
    # Number of the last change of any entry, and of the last one by topic, evictions included.
    number: int = 0
    topic_numbers: dict[str, int] = attrs.field(factory=dict)
    versions: dict[str, int] = attrs.field(factory=dict)

    def add_topic(self, topic: Topic) -> None:
        """Accept values of a topic from now on."""
        self.topics[topic.name] = topic

    def publish(self, topic: str, value: Any) -> None:
        """Set the value of this process; raises ``KeyError`` for an unknown topic."""
        if topic not in self.topics:
            raise KeyError(topic)
        version = self.versions[topic] = self.versions.get(topic, 0) + 1
        self._set(
            Entry(
                topic=topic,
                origin=self.local,
                version=version,
                published_ms=self.clock.now_ms(),
                value=value,
            )
        )

    def merge(self, entries: Iterable[Entry], source: str = "") -> int:
        """Add what is newer than the known values; returns the number of values that changed.

        ``source`` is the gateway that sent them, which needn't be told of them again.

        Raises one of ``MALFORMED`` for a malformed value; then nothing has changed.
        """
        news = [entry for entry in entries if self._is_news(entry)]
        for entry in news:
            self.topics[entry.topic].check(entry.value)
        changed = 0
        for entry in news:
            # The same message may contain several values of one origin.
            if self._is_news(entry):
                self._set(attrs.evolve(entry, source=source))
                changed += 1
        return changed

    def _is_news(self, entry: Entry) -> bool:
        topic = self.topics.get(entry.topic)
        if topic is None or entry.origin == self.local:
            return False
        if self.clock.now_ms() - entry.published_ms >= topic.keep_ms:
            return False
        known = self.entries.get((entry.topic, entry.origin))
        return known is None or known.version < entry.version

    def _set(self, entry: Entry) -> None:
        key = (entry.topic, entry.origin)
        self.entries.pop(key, None)
        self._count_change(entry.topic)
        self.entries[key] = attrs.evolve(entry, number=self.number)

    def _count_change(self, topic: str) -> None:
        self.number += 1
        self.topic_numbers[topic] = self.number

    def since(self, cursor: int, topics: Collection[str]) -> list[Entry]:
        """Return the values of some topics that changed after the change number ``cursor``."""
        found = []
        for entry in reversed(self.entries.values()):
            if entry.number <= cursor:
                break
            if entry.topic in topics:
                found.append(entry)
        return found

    def values(self, topic: str) -> dict[Origin, Any]:
        """Return the values of a topic by origin."""
        return {
            origin: entry.value for (name, origin), entry in self.entries.items() if name == topic
        }

    def summary(self, topic: str) -> Any:
        """Return the summary of all values of a topic; raises ``KeyError`` if it has none."""
        summarize = self.topics[topic].summarize
        if summarize is None:
            raise KeyError(topic)
        return summarize(self.values(topic).values())

    def maintain(self) -> None:
        """Drop values of origins that were not heard from, and publish own ones again in time."""
        now_ms = self.clock.now_ms()
        for key, entry in list(self.entries.items()):
            age_ms = now_ms - entry.published_ms
            keep_ms = self.topics[entry.topic].keep_ms
            if entry.origin == self.local:
                if age_ms >= keep_ms // REFRESH_PARTS:
                    self.publish(entry.topic, entry.value)
            elif age_ms >= keep_ms:
                del self.entries[key]
                self._count_change(entry.topic)
