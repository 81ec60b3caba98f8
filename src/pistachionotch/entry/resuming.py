"""Choice of the agent at which a call's slow stream is continued."""

from __future__ import annotations

import attrs

from ..routing.resume import StreamStatus, decide_resume, is_resume_candidate
from .attempt import Attempt
from .calls import Call
from .routing_state import RoutingState

# The true length is not known; a stream beyond the expected length goes on for a while.
OVERRUN_SHARE = 0.25


def remaining_tokens(call: Call, attempt: Attempt) -> int:
    """Return what the attempt is expected to produce yet."""
    return max(call.expected_tokens - attempt.tokens, round(attempt.tokens * OVERRUN_SHARE))


def choose_resume_agent(
    state: RoutingState, call: Call, attempt: Attempt, continuations: int
) -> str | None:
    """Return the agent that would end the stream clearly earlier, and log the decision."""
    tokens_per_second = attempt.link.observations.tokens_per_second.value
    status = StreamStatus(
        attempt.tokens, remaining_tokens(call, attempt), tokens_per_second, continuations
    )
    if not is_resume_candidate(status):
        return None
    # Placement costs time, so the cheap conditions come first.
    resumed = call.resumed(b"".join(attempt.assembler.parts), attempt.tokens)
    if resumed is None:
        return None
    placement = state.preview_placement(resumed, frozenset({attempt.link.member.node}))
    status = attrs.evolve(
        status,
        alternative=placement.agent,
        alternative_ms=placement.estimate_ms,
        alternative_wait_ms=placement.wait_ms,
    )
    decision = decide_resume(status)
    if decision.agent is not None:
        state.decisions.continued(call, decision.agent, decision.reason)
    return decision.agent
