"""Inputs of routing: the request, the candidate agents, and what the entry observed of them."""

from __future__ import annotations

import attrs

from ..admission.load import MAX_OBSERVATION_AGE_MS, LoadReport, MovingAverage, StreamProgress
from ..clock import MS_PER_SECOND, Deadline
from ..outcomes import RequestClass


@attrs.frozen
class Location:
    """The node, availability zone and region in which a process runs."""

    node: str
    zone: str
    region: str


@attrs.frozen
class RoutedRequest:
    """The properties of a request that routing uses; ``excluded`` names agents not to use."""

    request_id: str
    request_class: RequestClass
    deadline: Deadline
    model: str = ""
    expected_tokens: int = 0
    prompt_tokens: int = 0
    transfer_bytes: int = 0
    idempotent: bool = True
    excluded: frozenset[str] = frozenset()
    # Identifier of the prompt's prefix; empty for a request without a prompt.
    prefix: bytes = b""


@attrs.frozen
class LocalObservations:
    """Summary of this entry's own measurements of one agent; zero means no measurement.

    The time to first token is that of the request's class and includes the wait in the agent's
    queue.
    """

    time_to_first_token_ms: float = 0.0
    first_token_age_ms: int = MAX_OBSERVATION_AGE_MS
    tokens_per_second: float = 0.0
    speed_age_ms: int = MAX_OBSERVATION_AGE_MS
    # Age of the oldest attempt without a first token; reveals a slowdown before any attempt has
    # finished.
    longest_pending_ms: int = 0


@attrs.frozen
class Candidate:
    """An agent that may get a request: its load report and the entry's own measurements."""

    agent: str
    zone: str
    region: str
    load: LoadReport
    report_received_ms: int
    local_in_flight: int = 0
    sent_since_report: int = 0
    draining: bool = False
    cached_tokens: int = 0
    cached_age_ms: int = 0
    models: frozenset[str] = frozenset()
    local_observations: LocalObservations = LocalObservations()


@attrs.define
class _Attempt:
    request_class: RequestClass
    sent_ms: int
    first_token_ms: int | None = None
    progress: StreamProgress = attrs.field(factory=StreamProgress)


@attrs.define
class AgentObservations:
    """Measurements that one entry takes of one agent.

    Times to first token include the wait in the agent's queue, which differs by request class, so
    they are kept by class; token rates are common to all classes.
    """

    first_token_ms: dict[RequestClass, MovingAverage] = attrs.field(factory=dict)
    tokens_per_second: MovingAverage = attrs.field(factory=MovingAverage)
    attempts: dict[str, _Attempt] = attrs.field(factory=dict)

    def record_sent(self, attempt: str, request_class: RequestClass, now_ms: int) -> None:
        """Record that an attempt was submitted."""
        self.attempts[attempt] = _Attempt(request_class, now_ms)

    def record_first_token(self, attempt: str, now_ms: int) -> None:
        """Record that the first token of an attempt arrived."""
        open_attempt = self.attempts.get(attempt)
        if open_attempt is None or open_attempt.first_token_ms is not None:
            return
        open_attempt.first_token_ms = now_ms
        average = self.first_token_ms.setdefault(open_attempt.request_class, MovingAverage())
        average.observe(now_ms - open_attempt.sent_ms, now_ms)

    def record_progress(self, attempt: str, tokens: int, now_ms: int) -> None:
        """Record how many tokens an open stream has delivered so far."""
        open_attempt = self.attempts.get(attempt)
        if open_attempt is None:
            return
        speed = open_attempt.progress.advance(tokens, now_ms)
        if speed is not None:
            floor = MS_PER_SECOND / MAX_OBSERVATION_AGE_MS
            self.tokens_per_second.observe(max(floor, speed), now_ms)

    def record_finished(self, attempt: str, tokens: int, now_ms: int) -> None:
        """Record that an attempt completed with ``tokens`` tokens, and close it."""
        open_attempt = self.attempts.pop(attempt, None)
        if (
            open_attempt is None
            or open_attempt.first_token_ms is None
            or open_attempt.progress.measured
        ):
            return
        stream_ms = now_ms - open_attempt.first_token_ms
        if tokens > 0 and stream_ms > 0:
            self.tokens_per_second.observe(tokens * MS_PER_SECOND / stream_ms, now_ms)

    def discard(self, attempt: str) -> None:
        """Close an attempt that was refused, cancelled or lost, without a measurement."""
        self.attempts.pop(attempt, None)

    def sent_since(self, time_ms: int) -> int:
        """Return the number of open attempts that were submitted after ``time_ms``."""
        return sum(1 for open_attempt in self.attempts.values() if open_attempt.sent_ms > time_ms)

    def summary(self, request_class: RequestClass, now_ms: int) -> LocalObservations:
        """Return the measurements that placement of a request of this class uses."""
        first = self.first_token_ms.get(request_class, MovingAverage())
        return LocalObservations(
            time_to_first_token_ms=first.value,
            first_token_age_ms=first.age_ms(now_ms),
            tokens_per_second=self.tokens_per_second.value,
            speed_age_ms=self.tokens_per_second.age_ms(now_ms),
            longest_pending_ms=self._longest_pending_ms(request_class, now_ms),
        )

    def _longest_pending_ms(self, request_class: RequestClass, now_ms: int) -> int:
        longest_ms = 0
        for open_attempt in self.attempts.values():
            if open_attempt.request_class is request_class and open_attempt.first_token_ms is None:
                longest_ms = max(longest_ms, now_ms - open_attempt.sent_ms)
        return longest_ms
