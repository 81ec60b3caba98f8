"""Messages of the exchange between gateways, as CBOR."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs
import cbor2

from ..malformed import load_cbor
from .board import Entry, Origin

# Number of gateways and the median of their clocks, in ms since the start of 1970.
ClockMedian = tuple[int, int]


@attrs.frozen(kw_only=True)
class StateRequest:
    """What a gateway sends to a watcher."""

    node: str
    # Time since the start of 1970 at the sender.
    unix_ms: int
    # State last received from this watcher; empty if the whole state is wanted.
    token: str
    # Topics of which the sender wants to know, and whether it wants their values rather than the
    # summaries.
    topics: frozenset[str]
    wants_values: bool
    entries: tuple[Entry, ...]

    def to_bytes(self, now_ms: int) -> bytes:
        """Return the message as sent at ``now_ms`` of the sender's clock."""
        fields = entry_fields(self.entries, now_ms)
        topics = sorted(self.topics)
        return cbor2.dumps([self.node, self.unix_ms, self.token, topics, self.wants_values, fields])

    @classmethod
    def from_bytes(cls, body: bytes, now_ms: int) -> StateRequest:
        """Decode a message received at ``now_ms``; raises one of ``MALFORMED``."""
        node, unix_ms, token, topics, wants_values, entries = load_cbor(body)
        return cls(
            node=_text(node),
            unix_ms=_number(unix_ms),
            token=_text(token),
            topics=frozenset(_text(each) for each in topics),
            wants_values=bool(wants_values),
            entries=read_entries(entries, now_ms),
        )


@attrs.frozen(kw_only=True)
class StateReply:
    """What a watcher answers."""

    token: str
    # None if the watcher knows too few clocks.
    clocks: ClockMedian | None
    entries: tuple[Entry, ...]
    # Summaries that changed, by topic.
    summaries: dict[str, Any]

    def to_bytes(self, now_ms: int) -> bytes:
        """Return the message as sent at ``now_ms`` of the sender's clock."""
        clocks = None if self.clocks is None else list(self.clocks)
        fields = entry_fields(self.entries, now_ms)
        return cbor2.dumps([self.token, clocks, fields, self.summaries])

    @classmethod
    def from_bytes(cls, body: bytes, now_ms: int) -> StateReply:
        """Decode a message received at ``now_ms``; raises one of ``MALFORMED``."""
        token, clocks, entries, summaries = load_cbor(body)
        if clocks is not None:
            gateways, unix_ms = clocks
            clocks = (_number(gateways), _number(unix_ms))
        return cls(
            token=_text(token),
            clocks=clocks,
            entries=read_entries(entries, now_ms),
            summaries={_text(topic): value for topic, value in summaries.items()},
        )


def entry_fields(entries: Iterable[Entry], now_ms: int) -> list[Any]:
    """Return the encodable form of values, with their ages at ``now_ms``."""
    return [
        [
            entry.topic,
            entry.origin.node,
            entry.origin.incarnation,
            entry.version,
            now_ms - entry.published_ms,
            entry.value,
        ]
        for entry in entries
    ]


def read_entries(fields: Any, now_ms: int) -> tuple[Entry, ...]:
    """Return values received at ``now_ms``; raises one of ``MALFORMED``."""
    return tuple(
        Entry(
            topic=_text(topic),
            origin=Origin(_text(node), _text(incarnation)),
            version=_number(version),
            published_ms=now_ms - max(0, _number(age_ms)),
            value=value,
        )
        for topic, node, incarnation, version, age_ms, value in fields
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{type(value).__name__} instead of a text")
    return value


def _number(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{type(value).__name__} instead of a whole number")
    return value
