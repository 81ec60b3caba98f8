"""Resumption of a slow stream at another agent, from the tokens that it has produced so far."""

from __future__ import annotations

import attrs

from ..outcomes import RequestClass

# Short requests end before a continuation gains anything; they are hedged instead. Long requests
# can afford the delay; if they moved, training work would get their slow slot.
RESUMABLE_CLASSES = (RequestClass.TRAINING,)
# Estimates are seconds old and a continuation costs a prefill, so a smaller gain is not worth it.
MIN_GAIN_MS = 2_000
# The alternative must take at most this share of the time that the current agent still needs.
MAX_REMAINING_SHARE = 0.7
# Bounds the prefills that one request costs while the speeds of agents fluctuate.
MAX_CONTINUATIONS = 4


@attrs.frozen
class StreamStatus:
    """An open stream and the agent that could continue it, if there is one.

    ``left_tokens`` is the expected number of remaining tokens; ``alternative_ms`` is the time in
    which the alternative would produce them, including the prefill of the existing tokens.
    """

    tokens: int
    left_tokens: int
    tokens_per_second: float
    continuations: int
    alternative: str | None = None
    alternative_ms: int = 0
    alternative_wait_ms: int = 0

    def left_ms(self) -> int:
        """Return the time that the current agent is expected to need for the remaining tokens."""
        return round(self.left_tokens * 1_000 / self.tokens_per_second)


@attrs.frozen
class ResumeDecision:
    """The agent that continues the stream, or None if the stream stays."""

    agent: str | None
    reason: str


def is_resume_candidate(status: StreamStatus) -> bool:
    """Return whether another agent could gain enough time; checked first as placement is costly."""
    if status.tokens_per_second <= 0 or status.continuations >= MAX_CONTINUATIONS:
        return False
    return status.tokens > 0 and status.left_ms() > MIN_GAIN_MS


def decide_resume(status: StreamStatus) -> ResumeDecision:
    """Decide whether to cancel a stream and continue it at another agent.

    Unlike a hedge, a continuation generates no token twice and holds only one slot, so it is not
    charged to the retry budget.
    """
    if not is_resume_candidate(status) or status.alternative is None:
        return ResumeDecision(None, "no other agent could gain enough")
    left_ms = status.left_ms()
    if status.alternative_wait_ms > 0:
        # Taking a slot that queued work waits for gains nothing: that work would start later.
        return ResumeDecision(None, f"{status.alternative} has no free slot")
    gain_ms = left_ms - status.alternative_ms
    if gain_ms < MIN_GAIN_MS or status.alternative_ms > MAX_REMAINING_SHARE * left_ms:
        return ResumeDecision(None, f"{status.alternative} would not end clearly earlier")
    reason = f"{status.tokens_per_second:.1f} tokens/s here, ends {gain_ms} ms earlier there"
    return ResumeDecision(status.alternative, reason)
