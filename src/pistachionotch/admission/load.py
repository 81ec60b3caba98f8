"""Load facts that an agent reports, and the estimates they come from."""

from __future__ import annotations

import attrs

from ..clock import MS_PER_SECOND
from ..outcomes import RequestClass

# Past this age an observed speed says little: slowdowns by neighbours last seconds to a minute.
MAX_OBSERVATION_AGE_MS = 10_000
AVERAGE_WEIGHT = 0.2
# Long enough to hold several tokens of a slowed stream, short against a slowdown.
PROGRESS_WINDOW_MS = 500


@attrs.frozen
class RunResult:
    """Describe one finished run as the agent saw it; a failed run teaches no speed.

    For a plain service the first token is the response and ``tokens`` is zero. ``overloaded`` means
    that the upstream rejected the run with 429 or 503.
    """

    time_to_first_token_ms: int | None
    tokens: int
    duration_ms: int
    succeeded: bool = True
    overloaded: bool = False


@attrs.frozen
class LoadReport:
    """Carry an agent's load in its heartbeat; ages count from the moment of sending."""

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
        """Return the facts of an agent that has not reported yet."""
        return cls(queued={}, running={}, expected_wait_ms={}, limit=1)

    def total_queued(self) -> int:
        """Return the queued work of all classes."""
        return sum(self.queued.values())

    def total_running(self) -> int:
        """Return the running work of all classes."""
        return sum(self.running.values())


@attrs.define
class MovingAverage:
    """Average recent observations with exponential weights and remember the last one's time."""

    value: float = 0.0
    seen_ms: int | None = None

    def observe(self, value: float, now_ms: int) -> None:
        """Add one observation; one after a long silence replaces the average."""
        if self.seen_ms is None or now_ms - self.seen_ms > MAX_OBSERVATION_AGE_MS:
            self.value = value
        else:
            self.value += AVERAGE_WEIGHT * (value - self.value)
        self.seen_ms = now_ms

    def age_ms(self, now_ms: int) -> int:
        """Return the age of the last observation, ``FACT_TRUST_MS`` if there is none."""
        if self.seen_ms is None:
            return MAX_OBSERVATION_AGE_MS
        return now_ms - self.seen_ms

    def trusted(self, now_ms: int) -> bool:
        """Return whether the average is recent enough to refuse work by."""
        return self.seen_ms is not None and self.age_ms(now_ms) < MAX_OBSERVATION_AGE_MS


@attrs.define
class StreamProgress:
    """Turn the token count of one open stream into speeds over short windows."""

    tokens: int = 0
    since_ms: int | None = None
    measured: bool = False

    def advance(self, tokens: int, now_ms: int) -> float | None:
        """Return the tokens per second since the last window, none until a window is over."""
        if self.since_ms is None:
            self.tokens, self.since_ms = tokens, now_ms
            return None
        elapsed_ms = now_ms - self.since_ms
        if elapsed_ms < PROGRESS_WINDOW_MS:
            return None
        speed = (tokens - self.tokens) * MS_PER_SECOND / elapsed_ms
        self.tokens, self.since_ms, self.measured = tokens, now_ms, True
        return speed


@attrs.define
class SpeedEstimate:
    """Estimate how long one request runs at this upstream."""

    first_token_ms: MovingAverage = attrs.field(factory=MovingAverage)
    tokens_per_second: MovingAverage = attrs.field(factory=MovingAverage)

    def observe(self, facts: RunResult, now_ms: int, progress_seen: bool = False) -> None:
        """Learn from one finished run; its whole stream counts only if no progress was seen."""
        if not facts.succeeded:
            return
        first_ms = facts.time_to_first_token_ms
        if first_ms is not None:
            self.first_token_ms.observe(first_ms, now_ms)
        stream_ms = facts.duration_ms - (first_ms or 0)
        if facts.tokens > 0 and stream_ms > 0 and not progress_seen:
            self.tokens_per_second.observe(facts.tokens * MS_PER_SECOND / stream_ms, now_ms)

    def observe_progress(self, speed: float, now_ms: int) -> None:
        """Learn from a window of one open stream; a stalled stream counts as one token."""
        floor = MS_PER_SECOND / MAX_OBSERVATION_AGE_MS
        self.tokens_per_second.observe(max(floor, speed), now_ms)

    def ms_per_token(self) -> float:
        """Return the expected time of one token; zero while nothing was observed."""
        speed = self.tokens_per_second.value
        return MS_PER_SECOND / speed if speed > 0 else 0.0

    def service_ms(self, tokens: int) -> int:
        """Return the expected run time of ``tokens`` tokens; zero while nothing was observed."""
        return round(self.first_token_ms.value + tokens * self.ms_per_token())

    def trusted(self, now_ms: int) -> bool:
        """Return whether an observation is recent enough to refuse work by."""
        return self.tokens_per_second.trusted(now_ms) or self.first_token_ms.trusted(now_ms)
