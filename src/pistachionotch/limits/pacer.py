"""Spreads the requests to one rate-limited upstream over time; performs no I/O.

Load pattern: a server in need accepts one to ten requests per second from all gateways together,
while calls arrive at random and items and reward calls in bursts of up to a hundred. A short burst
passes at once, further requests wait for their turn if that comes soon, and the others are rejected
with different times to return.
"""

from __future__ import annotations

import random

import attrs

from ..clock import MS_PER_SECOND

# Unused requests that are saved up for a burst, in seconds of the limit. In four seconds an
# upstream then gets at most one and a half times its limit, which is what the platform tolerates.
BURST_S = 2.0
# Rate below which a limit is not applied. An upstream that accepts nothing still gets one request
# in five seconds, since only a response can tell that the limit has ended. The platform tolerates
# five requests beyond a limit in four seconds.
MIN_PER_SECOND = 0.2
# After a request was rejected, less urgent ones are rejected for this time, or for the time between
# two requests if that is longer.
PRECEDENCE_MS = 500
# Maximum time to return that a rejected caller is told.
MAX_RETRY_MS = 10_000
# Times to return are extended by up to this share, so that callers do not return all at once.
RETRY_JITTER = 0.1


@attrs.frozen(kw_only=True)
class PermitWant:
    """A request that needs a permit."""

    # Rank of the request; lower ranks are more urgent.
    urgency: int = 0
    # Time that the request may wait for its turn.
    max_wait_ms: int = 0
    # Number of upstreams that its caller may return to; 0 if no caller is told when to return.
    alternatives: int = 0


@attrs.frozen
class Permit:
    """Permission to send one request after ``wait_ms``."""

    wait_ms: int


@attrs.frozen(kw_only=True)
class Denial:
    """No permit is available in time."""

    # Time until the next permit is available, and time after which this caller should return.
    next_ms: int
    retry_ms: int


Verdict = Permit | Denial


@attrs.define
class RatePacer:
    """Token bucket of one upstream; it goes into debt for requests that wait for their token."""

    rng: random.Random
    per_second: float
    updated_ms: int
    tokens: float = 0.0
    # Until this time only requests of this or a higher urgency get permits.
    precedence_until_ms: int = 0
    precedence: int = 0
    # Earliest time that the next rejected caller is told to return.
    next_return_ms: float = 0.0

    def change_rate(self, per_second: float, now_ms: int) -> None:
        """Change the rate; tokens beyond the new burst are lost."""
        self._refill(now_ms)
        self.per_second = max(MIN_PER_SECOND, per_second)
        self.tokens = min(self.tokens, self._burst())

    def decide(self, want: PermitWant, now_ms: int) -> Verdict:
        """Return a permit, or the times until the next one and until the caller should return."""
        self._refill(now_ms)
        interval_ms = MS_PER_SECOND / self.per_second
        wait_ms = max(0.0, (1.0 - self.tokens) * interval_ms)
        yields = now_ms < self.precedence_until_ms and want.urgency > self.precedence
        if yields:
            wait_ms = max(wait_ms, float(self.precedence_until_ms - now_ms))
        elif wait_ms <= want.max_wait_ms:
            self.tokens -= 1.0
            return Permit(round(wait_ms))
        else:
            self._claim_precedence(want.urgency, now_ms)
        retry_ms = self._assign_return(wait_ms, interval_ms, want.alternatives, now_ms)
        return Denial(next_ms=max(1, round(wait_ms)), retry_ms=retry_ms)

    def _refill(self, now_ms: int) -> None:
        gained = max(0, now_ms - self.updated_ms) * self.per_second / MS_PER_SECOND
        self.tokens = min(self._burst(), self.tokens + gained)
        self.updated_ms = max(self.updated_ms, now_ms)

    def _burst(self) -> float:
        return max(1.0, self.per_second * BURST_S)

    def _claim_precedence(self, urgency: int, now_ms: int) -> None:
        if now_ms < self.precedence_until_ms and urgency > self.precedence:
            return
        self.precedence = urgency
        span_ms = max(PRECEDENCE_MS, round(MS_PER_SECOND / self.per_second))
        self.precedence_until_ms = now_ms + span_ms

    def _assign_return(
        self, wait_ms: float, interval_ms: float, alternatives: int, now_ms: int
    ) -> int:
        """Return the time after which a caller should return, behind those rejected before it."""
        at_ms = now_ms + wait_ms
        if alternatives > 0:
            at_ms = max(at_ms, self.next_return_ms)
            self.next_return_ms = min(
                at_ms + interval_ms / alternatives, float(now_ms + MAX_RETRY_MS)
            )
        delay_ms = (at_ms - now_ms) * (1.0 + self.rng.random() * RETRY_JITTER)
        return max(1, min(MAX_RETRY_MS, round(delay_ms)))
