"""Concurrency limit of one upstream, adapted to rejections and to the engine's reports."""

from __future__ import annotations

import attrs

from .load import RunResult

DECREASE = 0.8
# Upstreams report their load with a delay; an older report no longer describes the present load.
MAX_REPORT_AGE_MS = 5_000


@attrs.define
class ConcurrencyLimit:
    """Limit on concurrent runs, between ``minimum`` and ``maximum``.

    Response times don't lower the limit, as they are no sign of overload: they vary with prompts,
    cached prefixes and slowdowns by noisy neighbours. During such a slowdown, a lower limit would
    only waste capacity.
    """

    minimum: int
    maximum: int
    exact_value: float
    runs_to_ignore: int = 0

    @classmethod
    def fixed(cls, value: int) -> ConcurrencyLimit:
        """Return a limit that never changes."""
        return cls(minimum=value, maximum=value, exact_value=value)

    @classmethod
    def adaptive(cls, initial: int, minimum: int, maximum: int) -> ConcurrencyLimit:
        """Return a limit that starts at ``initial``."""
        return cls(minimum=minimum, maximum=maximum, exact_value=initial)

    @property
    def value(self) -> int:
        """Return the number of concurrent runs allowed now."""
        return max(self.minimum, min(self.maximum, int(self.exact_value)))

    def observe(self, result: RunResult, running: int) -> None:
        """Adapt to a finished run; ``running`` counts the runs in progress when it finished."""
        self.runs_to_ignore = max(0, self.runs_to_ignore - 1)
        if result.overloaded:
            self._decrease(running)
        elif result.succeeded and running >= self.value:
            # Adds one slot after about ``value`` successful runs with all slots in use.
            self.exact_value = min(self.maximum, self.exact_value + 1 / max(1.0, self.exact_value))

    def observe_report(self, running: int, waiting: int, measured_ms_ago: int) -> None:
        """Lower the limit to the engine's batch if its report shows requests that wait for it."""
        if waiting <= 0 or running <= 0 or measured_ms_ago > MAX_REPORT_AGE_MS:
            return
        self.exact_value = float(max(self.minimum, min(self.value, running)))

    def _decrease(self, running: int) -> None:
        # One decrease per round of runs: those in progress now are rejected for the same overload.
        if self.runs_to_ignore:
            return
        self.runs_to_ignore = running
        self.exact_value = max(self.minimum, self.exact_value * DECREASE)
