"""The load report of an agent, and the measurements and estimates behind it."""

from __future__ import annotations

import attrs

from ..clock import MS_PER_SECOND
from ..outcomes import RequestClass

# An older measurement is outdated: slowdowns by noisy neighbours last seconds to a minute.
MAX_OBSERVATION_AGE_MS = 10_000
AVERAGE_WEIGHT = 0.2
# Spans several tokens of a slow stream, and is short compared with a slowdown.
PROGRESS_WINDOW_MS = 500


@attrs.frozen
class RunResult:
    """Measurements of one finished run; those of a failed run don't count for the speed.

    For a plain service, the first token is the response and ``tokens`` is zero. ``overloaded``
    means that the upstream rejected the run with 429 or 503.
    """

    time_to_first_token_ms: int | None
    tokens: int
    duration_ms: int
    succeeded: bool = True
    overloaded: bool = False


@attrs.frozen
class LoadReport:
    """An agent's load, as sent in its heartbeat; ages are as of the time of sending."""

    queued: dict[RequestClass, int]
    running: dict[RequestClass, int]
    expected_wait_ms: dict[RequestClass, int]
    limit: int
    tokens_per_second: float = 0.0
    speed_age_ms: int = MAX_OBSERVATION_AGE_MS
    time_to_first_token_ms: int = 0
    first_token_age_ms: int = MAX_OBSERVATION_AGE_MS
    serving_versions: tuple[int, ...] = ()
    versions_age_ms: int = 0
    draining: bool = False

    @classmethod
    def unknown(cls) -> LoadReport:
        """Return the report assumed for an agent that has not reported yet."""
        return cls(queued={}, running={}, expected_wait_ms={}, limit=1)

    def total_queued(self) -> int:
        """Return the number of queued attempts of all classes."""
        return sum(self.queued.values())

    def total_running(self) -> int:
        """Return the number of running attempts of all classes."""
        return sum(self.running.values())


@attrs.define
class MovingAverage:
    """Exponentially weighted moving average that records the time of the last observation."""

    value: float = 0.0
    last_observed_ms: int | None = None

    def observe(self, value: float, now_ms: int) -> None:
        """Add one observation; it replaces an average older than ``MAX_OBSERVATION_AGE_MS``."""
        if self.last_observed_ms is None or now_ms - self.last_observed_ms > MAX_OBSERVATION_AGE_MS:
            self.value = value
        else:
            self.value += AVERAGE_WEIGHT * (value - self.value)
        self.last_observed_ms = now_ms

    def age_ms(self, now_ms: int) -> int:
        """Return the age of the last observation, ``MAX_OBSERVATION_AGE_MS`` if there is none."""
        if self.last_observed_ms is None:
            return MAX_OBSERVATION_AGE_MS
        return now_ms - self.last_observed_ms

    def is_recent(self, now_ms: int) -> bool:
        """Return whether the average is recent enough to refuse work on its account."""
        return self.last_observed_ms is not None and self.age_ms(now_ms) < MAX_OBSERVATION_AGE_MS


@attrs.define
class StreamProgress:
    """Token rates of one open stream, measured over short windows."""

    tokens: int = 0
    window_start_ms: int | None = None
    measured: bool = False

    def advance(self, tokens: int, now_ms: int) -> float | None:
        """Return the token rate of the window that ends now, or None if it is still too short."""
        if self.window_start_ms is None:
            self.tokens, self.window_start_ms = tokens, now_ms
            return None
        elapsed_ms = now_ms - self.window_start_ms
        if elapsed_ms < PROGRESS_WINDOW_MS:
            return None
        speed = (tokens - self.tokens) * MS_PER_SECOND / elapsed_ms
        self.tokens, self.window_start_ms, self.measured = tokens, now_ms, True
        return speed


@attrs.define
class SpeedEstimate:
    """Estimate of how long a request runs at one upstream, from its recent runs."""

    first_token_ms: MovingAverage = attrs.field(factory=MovingAverage)
    tokens_per_second: MovingAverage = attrs.field(factory=MovingAverage)

    def observe(self, result: RunResult, now_ms: int, progress_seen: bool = False) -> None:
        """Add a finished run; its overall token rate counts only if none was measured before."""
        if not result.succeeded:
            return
        first_ms = result.time_to_first_token_ms
        if first_ms is not None:
            self.first_token_ms.observe(first_ms, now_ms)
        stream_ms = result.duration_ms - (first_ms or 0)
        if result.tokens > 0 and stream_ms > 0 and not progress_seen:
            self.tokens_per_second.observe(result.tokens * MS_PER_SECOND / stream_ms, now_ms)

    def observe_progress(self, speed: float, now_ms: int) -> None:
        """Add the token rate of one window; a stalled stream counts as 0.1 tokens a second."""
        floor = MS_PER_SECOND / MAX_OBSERVATION_AGE_MS
        self.tokens_per_second.observe(max(floor, speed), now_ms)

    def ms_per_token(self) -> float:
        """Return the expected time per token, or zero before the first observation."""
        speed = self.tokens_per_second.value
        return MS_PER_SECOND / speed if speed > 0 else 0.0

    def service_ms(self, tokens: int) -> int:
        """Return the expected run time for ``tokens`` tokens; zero before the first observation."""
        return round(self.first_token_ms.value + tokens * self.ms_per_token())

    def is_recent(self, now_ms: int) -> bool:
        """Return whether any observation is recent enough to refuse work on its account."""
        return self.tokens_per_second.is_recent(now_ms) or self.first_token_ms.is_recent(now_ms)
