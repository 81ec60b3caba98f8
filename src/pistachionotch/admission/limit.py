"""Concurrency limit of one upstream, adapted to the upstream's own signs of overload."""

from __future__ import annotations

import attrs

from .load import RunResult

DECREASE = 0.8
# Upstreams report their load with a lag; an older report describes another load.
MAX_REPORT_AGE_MS = 5_000


@attrs.define
class ConcurrencyLimit:
    """Allow ``value`` concurrent runs, between ``minimum`` and ``maximum``.

    Response times are no sign of overload: they vary with prompts, cached prefixes and slowdowns
    by neighbours, during which fewer runs only lose capacity.
    """

    minimum: int
    maximum: int
    exact: float
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

    def observe(self, facts: RunResult, running: int) -> None:
        """Adapt to one finished run; ``running`` counts the runs in progress as it finished."""
        self.runs_to_ignore = max(0, self.runs_to_ignore - 1)
        if facts.overloaded:
            self._decrease(running)
        elif facts.succeeded and running >= self.value:
            # One more slot for each round of runs that used all slots without trouble.
            self.exact = min(self.maximum, self.exact + 1 / max(1.0, self.exact))

    def observe_report(self, running: int, waiting: int, measured_ms_ago: int) -> None:
        """Adapt to an engine's report: what waits inside it is beyond its batch."""
        if waiting <= 0 or running <= 0 or measured_ms_ago > MAX_REPORT_AGE_MS:
            return
        self.exact = float(max(self.minimum, min(self.value, running)))

    def _decrease(self, running: int) -> None:
        # One decrease per round of runs: those in progress now meet the same overload.
        if self.runs_to_ignore:
            return
        self.runs_to_ignore = running
        self.exact = max(self.minimum, self.exact * DECREASE)
