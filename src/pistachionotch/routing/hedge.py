"""Hedged attempts, sent only late in the latency tail, with the loser cancelled."""

from __future__ import annotations

from collections import deque

import attrs

from .retry import RetryBudget

TAIL_SAMPLES = 256
MIN_TAIL_SAMPLES = 20


@attrs.define
class LatencyTail:
    """Remember recent times to first token and give their quantiles."""

    recent_ms: deque[int] = attrs.field(factory=lambda: deque(maxlen=TAIL_SAMPLES))
    ordered_ms: list[int] = attrs.field(factory=list)

    def observe(self, elapsed_ms: int) -> None:
        """Add one observation."""
        self.recent_ms.append(elapsed_ms)
        self.ordered_ms = []

    def quantile_ms(self, quantile: float) -> int | None:
        """Return the quantile, none while there are too few observations."""
        if len(self.recent_ms) < MIN_TAIL_SAMPLES:
            return None
        if not self.ordered_ms:
            self.ordered_ms = sorted(self.recent_ms)
        index = min(len(self.ordered_ms) - 1, int(quantile * len(self.ordered_ms)))
        return self.ordered_ms[index]


@attrs.frozen
class HedgeFacts:
    """Describe a request whose only attempt has not produced its first token."""

    idempotent: bool
    elapsed_ms: int
    remaining_ms: int
    first_token_seen: bool
    attempts_open: int
    alternative: str | None
    alternative_ms: int


@attrs.frozen
class HedgeDecision:
    """Name the agent for a second attempt, or when to decide again."""

    agent: str | None
    reason: str
    check_again_ms: int | None = None


# Above this quantile of recent times to first token an attempt counts as late.
HEDGE_QUANTILE = 0.95


def decide_hedge(
    facts: HedgeFacts, tail: LatencyTail, budget: RetryBudget, now_ms: int
) -> HedgeDecision:
    """Decide on a second attempt and take it from the budget."""
    if not facts.idempotent:
        return HedgeDecision(None, "not idempotent")
    if facts.first_token_seen:
        return HedgeDecision(None, "the first token has arrived")
    if facts.attempts_open != 1:
        return HedgeDecision(None, f"{facts.attempts_open} attempts are open")
    tail_ms = tail.quantile_ms(HEDGE_QUANTILE)
    if tail_ms is None:
        return HedgeDecision(None, "too few observations to know the tail")
    if facts.elapsed_ms <= tail_ms:
        return HedgeDecision(None, "not in the tail yet", tail_ms - facts.elapsed_ms + 1)
    if facts.alternative is None:
        return HedgeDecision(None, "no other agent")
    if facts.alternative_ms >= facts.remaining_ms:
        return HedgeDecision(None, f"{facts.alternative} would miss the deadline as well")
    if not budget.spend(now_ms):
        return HedgeDecision(None, "retry budget is spent")
    reason = f"no first token after {facts.elapsed_ms} ms, above {tail_ms} ms"
    return HedgeDecision(facts.alternative, reason)


@attrs.frozen
class RaceResult:
    """Tell whether an attempt won, and which attempts to cancel."""

    won: bool
    cancel: tuple[str, ...]
    reason: str


@attrs.define
class HedgeRace:
    """Keep the attempts of one request; the first to produce a token wins."""

    open_attempts: list[str] = attrs.field(factory=list)
    winner: str | None = None

    def start(self, attempt: str) -> None:
        """Add an attempt."""
        self.open_attempts.append(attempt)

    def first_token(self, attempt: str) -> RaceResult:
        """Settle the race by the first token; the losers are to be cancelled."""
        if self.winner is not None:
            return RaceResult(attempt == self.winner, (), f"{self.winner} has won")
        self.winner = attempt
        losers = tuple(other for other in self.open_attempts if other != attempt)
        return RaceResult(True, losers, f"{attempt} was first")

    def failed(self, attempt: str) -> bool:
        """Remove a failed attempt and return whether none is left."""
        self.open_attempts.remove(attempt)
        return not self.open_attempts
