"""Estimates how many events an item's text will have; does no I/O.

Load pattern: clients estimate the output tokens of an item, often badly, and each event carries
tens of tokens, a number that engines do not announce. The number of events per estimated token is
therefore learned from the items that a service has finished, and so is the number of events of
items without an estimate.
"""

from __future__ import annotations

import attrs

# Weight of one finished item in the average.
ITEM_WEIGHT = 0.1
# The estimate is raised by this factor, because a text that is longer than estimated finishes late.
SAFETY_FACTOR = 1.3
# Larger estimates count as this one: clients may send any number of digits.
MAX_EXPECTED_TOKENS = 1_000_000
# A finished item changes the average as if its ratio differed by at most this factor, so that a
# client with wrong estimates hardly affects the items of others.
MAX_DEVIATION = 4.0


@attrs.define
class ItemLengths:
    """Average numbers of events per estimated token and per item, by service."""

    events_per_token: dict[str, float] = attrs.field(factory=dict)
    events_per_item: dict[str, float] = attrs.field(factory=dict)

    def record(self, service: str, expected_tokens: int, events: int) -> None:
        """Add a finished item and what its client had estimated, 0 without an estimate."""
        if events <= 0:
            return
        _average(self.events_per_item, service, float(events))
        if expected_tokens > 0:
            ratio = events / min(expected_tokens, MAX_EXPECTED_TOKENS)
            _average(self.events_per_token, service, ratio)

    def expected_events(self, service: str, expected_tokens: int) -> float:
        """Return the estimated events of an item, 0 if there is nothing to estimate it from."""
        if expected_tokens <= 0:
            return self.events_per_item.get(service, 0.0) * SAFETY_FACTOR
        tokens = min(expected_tokens, MAX_EXPECTED_TOKENS)
        return self.events_per_token.get(service, 0.0) * tokens * SAFETY_FACTOR


def _average(averages: dict[str, float], service: str, value: float) -> None:
    """Add a value to the average of a service."""
    known = averages.get(service, value)
    value = max(known / MAX_DEVIATION, min(known * MAX_DEVIATION, value))
    averages[service] = known + ITEM_WEIGHT * (value - known)
