"""Hedged requests: a second attempt for one in the latency tail; the loser is cancelled."""

from __future__ import annotations

from collections import deque

import attrs

from .retry import RetryBudget

TAIL_SAMPLES = 256
MIN_TAIL_SAMPLES = 20
NO_ALTERNATIVE = "late, but no other agent"


@attrs.define
class LatencyTail:
    """Quantiles over the most recent latencies."""

    recent_ms: deque[int] = attrs.field(factory=lambda: deque(maxlen=TAIL_SAMPLES))
    ordered_ms: list[int] = attrs.field(factory=list)

    def observe(self, elapsed_ms: int) -> None:
        """Add one latency."""
        self.recent_ms.append(elapsed_ms)
        self.ordered_ms = []

    def quantile_ms(self, quantile: float) -> int | None:
        """Return the quantile, or None while there are too few observations."""
        if len(self.recent_ms) < MIN_TAIL_SAMPLES:
            return None
        if not self.ordered_ms:
            self.ordered_ms = sorted(self.recent_ms)
        index = min(len(self.ordered_ms) - 1, int(quantile * len(self.ordered_ms)))
        return self.ordered_ms[index]


@attrs.frozen
class HedgeContext:
    """The state of a request and its attempts, from which ``decide_hedge`` decides.

    ``projected_ms`` is the expected total time, None before the first token. ``delivered`` says
    that the caller has already received part of the response, so another attempt can't replace it.
    """

    idempotent: bool
    elapsed_ms: int
    remaining_ms: int
    attempts_open: int
    alternative: str | None
    alternative_ms: int
    projected_ms: int | None = None
    delivered: bool = False


@attrs.frozen
class HedgeDecision:
    """The agent for a second attempt, or None; ``check_again_ms`` is when to decide again."""

    agent: str | None
    reason: str
    check_again_ms: int | None = None


# An attempt above this quantile of recent latencies is in the tail.
HEDGE_QUANTILE = 0.95
# A second attempt repeats the work of a slow stream, so it must be expected to end within this
# share of the stream's projected time.
MAX_PROJECTED_SHARE = 0.8


def decide_hedge(
    context: HedgeContext,
    tail: LatencyTail,
    budget: RetryBudget,
    now_ms: int,
    quantile: float = HEDGE_QUANTILE,
) -> HedgeDecision:
    """Decide whether to send a second attempt, and charge it to the retry budget.

    Before the first token, ``tail`` holds times to first token; after it, total times. An attempt
    is in the tail if its latency exceeds the ``quantile`` of these.
    """
    ineligible = _ineligible_reason(context)
    if ineligible is not None:
        return HedgeDecision(None, ineligible)
    tail_ms = tail.quantile_ms(quantile)
    if tail_ms is None:
        return HedgeDecision(None, "too few observations to know the tail")
    latency_ms = context.elapsed_ms if context.projected_ms is None else context.projected_ms
    if latency_ms <= tail_ms:
        return HedgeDecision(None, "not in the tail yet", tail_ms - latency_ms + 1)
    if context.alternative is None:
        return HedgeDecision(None, NO_ALTERNATIVE)
    if context.alternative_ms >= context.remaining_ms:
        return HedgeDecision(None, f"{context.alternative} would miss the deadline as well")
    if not _gains_enough(context):
        return HedgeDecision(None, f"{context.alternative} would not end clearly earlier")
    if not budget.spend(now_ms):
        return HedgeDecision(None, "retry budget is spent")
    cause = (
        "no first token after" if context.projected_ms is None else "slow stream, expected to take"
    )
    return HedgeDecision(context.alternative, f"{cause} {latency_ms} ms, above {tail_ms} ms")


def _ineligible_reason(context: HedgeContext) -> str | None:
    if not context.idempotent:
        return "not idempotent"
    if context.delivered:
        return "the caller has received a part"
    if context.attempts_open != 1:
        return f"{context.attempts_open} attempts are open"
    return None


def _gains_enough(context: HedgeContext) -> bool:
    if context.projected_ms is None:
        return True
    return context.elapsed_ms + context.alternative_ms < MAX_PROJECTED_SHARE * context.projected_ms


@attrs.frozen
class RaceResult:
    """Whether an attempt won, and which attempts to cancel."""

    won: bool
    cancel: tuple[str, ...]
    reason: str


@attrs.define
class HedgeRace:
    """The concurrent attempts of one request, of which only the winner's response is used.

    The first attempt to deliver a token wins. If an attempt is started while another one already
    streams, the first attempt to complete wins instead.
    """

    open_attempts: list[str] = attrs.field(factory=list)
    winner: str | None = None
    decided_by_completion: bool = False

    def start(self, attempt: str) -> None:
        """Add an attempt."""
        if self.winner is not None:
            self.winner = None
            self.decided_by_completion = True
        self.open_attempts.append(attempt)

    def first_token(self, attempt: str) -> RaceResult:
        """Let the attempt win by its first token, unless the race is decided by completion."""
        if self.decided_by_completion:
            return RaceResult(False, (), "completion decides")
        return self._declare_winner(attempt)

    def finished(self, attempt: str) -> RaceResult:
        """Let the attempt win by completion, unless another one has won."""
        return self._declare_winner(attempt)

    def failed(self, attempt: str) -> bool:
        """Remove a failed attempt and return whether none is left."""
        self.open_attempts.remove(attempt)
        if self.winner == attempt:
            self.winner = None
        return not self.open_attempts

    def _declare_winner(self, attempt: str) -> RaceResult:
        if self.winner is not None:
            return RaceResult(attempt == self.winner, (), f"{self.winner} has won")
        self.winner = attempt
        losers = tuple(other for other in self.open_attempts if other != attempt)
        self.open_attempts = [attempt]
        return RaceResult(True, losers, f"{attempt} was first")
