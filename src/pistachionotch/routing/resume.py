"""Continuation of a slow stream at another agent, from the tokens that it has produced so far."""

from __future__ import annotations

import attrs

from ..outcomes import RequestClass

# Short work is hedged instead: it is over before a continuation gains anything. Long work has the
# time, and holds a slow slot that training would otherwise be given.
RESUMABLE_CLASSES = (RequestClass.TRAINING,)
# Estimates are seconds old and a continuation costs a prefill, so small gains are not worth it.
MIN_GAIN_MS = 2_000
# The rest of the stream must end within this share of its time at the present agent.
MAX_REMAINING_SHARE = 0.7
# Bounds the prefills that one request may cost while speeds change.
MAX_CONTINUATIONS = 4


@attrs.frozen
class StreamStatus:
    """Describe an open stream and the agent that could continue it, if there is one.

    ``left_tokens`` is what the stream is expected to produce yet; ``alternative_ms`` is the time in
    which the alternative would produce it, the prefill of what is there included.
    """

    tokens: int
    left_tokens: int
    tokens_per_second: float
    continuations: int
    alternative: str | None = None
    alternative_ms: int = 0
    alternative_wait_ms: int = 0

    def left_ms(self) -> int:
        """Return the expected time of the rest at the present agent."""
        return round(self.left_tokens * 1_000 / self.tokens_per_second)


@attrs.frozen
class ResumeDecision:
    """Name the agent that continues the stream, or none."""

    agent: str | None
    reason: str


def is_resume_candidate(status: StreamStatus) -> bool:
    """Return whether any alternative could gain enough; placement costs time."""
    if status.tokens_per_second <= 0 or status.continuations >= MAX_CONTINUATIONS:
        return False
    return status.tokens > 0 and status.left_ms() > MIN_GAIN_MS


def decide_resume(status: StreamStatus) -> ResumeDecision:
    """Decide whether a stream should be cancelled and continued elsewhere.

    Unlike a hedge it repeats no tokens and holds one slot, so it needs no budget.
    """
    if not is_resume_candidate(status) or status.alternative is None:
        return ResumeDecision(None, "no other agent could gain enough")
    left_ms = status.left_ms()
    if status.alternative_wait_ms > 0:
        # A slot that others wait for gains nothing: the work that waits would start later.
        return ResumeDecision(None, f"{status.alternative} has no free slot")
    gain_ms = left_ms - status.alternative_ms
    if gain_ms < MIN_GAIN_MS or status.alternative_ms > MAX_REMAINING_SHARE * left_ms:
        return ResumeDecision(None, f"{status.alternative} would not end clearly earlier")
    reason = f"{status.tokens_per_second:.1f} tokens/s here, ends {gain_ms} ms earlier there"
    return ResumeDecision(status.alternative, reason)
