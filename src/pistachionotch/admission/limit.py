"""Concurrency limit of one upstream, adapted to its time to first token."""

from __future__ import annotations

import attrs

from .load import RunFacts

# Batching raises the time to first token somewhat; beyond twice the floor, requests queue inside.
CONGESTED_RATIO = 2.0
DECREASE = 0.9
# The floor creeps up so that a changed model or machine is not judged by an old best value.
FLOOR_GROWTH = 1.002


@attrs.define
class ConcurrencyLimit:
    """Allow ``value`` concurrent runs, between ``minimum`` and ``maximum``."""

    minimum: int
    maximum: int
    exact: float
    floor_ms: float = 0.0
    runs_to_ignore: int = 0

    @classmethod
    def fixed(cls, value: int) -> ConcurrencyLimit:
        """Return a limit that never changes."""
        return cls(minimum=value, maximum=value, exact=value)

    @classmethod
    def adaptive(cls, initial: int, minimum: int, maximum: int) -> ConcurrencyLimit:
        """Return a limit that starts at ``initial``."""
        return cls(minimum=minimum, maximum=maximum, exact=initial)

    @property
    def value(self) -> int:
        """Return the whole number of runs allowed now."""
        return max(self.minimum, min(self.maximum, int(self.exact)))

    def observe(self, facts: RunFacts, running: int) -> None:
        """Adapt to one finished run; ``running`` counts the runs in progress as it finished."""
        first_ms = facts.time_to_first_token_ms
        if first_ms is None or not facts.succeeded:
            return
        self.runs_to_ignore = max(0, self.runs_to_ignore - 1)
        if not self.floor_ms or first_ms < self.floor_ms:
            self.floor_ms = max(1.0, first_ms)
        self.floor_ms *= FLOOR_GROWTH
        if first_ms > CONGESTED_RATIO * self.floor_ms:
            self._decrease(running)
        elif running >= self.value:
            self.exact = min(self.maximum, self.exact + 1 / self.exact)

    def _decrease(self, running: int) -> None:
        # One decrease per round of runs: those in progress now saw the same congestion.
        if self.runs_to_ignore:
            return
        self.runs_to_ignore = running
        self.exact = max(self.minimum, self.exact * DECREASE)
