"""Choice of an agent at which the slow stream of a call is resumed."""

from __future__ import annotations

import attrs

from ..routing.resume import StreamStatus, decide_resume, is_resume_candidate
from .attempt import Attempt
from .calls import Call
from .routing_state import RoutingState

# The actual length is unknown. A stream that exceeds its expected length is assumed to produce at
# least this share of its tokens so far in addition.
OVERRUN_SHARE = 0.25


def remaining_tokens(call: Call, attempt: Attempt) -> int:
    """Return how many more tokens the attempt is expected to produce."""
    return max(call.expected_tokens - attempt.tokens, round(attempt.tokens * OVERRUN_SHARE))


def choose_resume_agent(
    state: RoutingState, call: Call, attempt: Attempt, continuations: int
) -> str | None:
    """Return the agent that would finish the stream clearly earlier, if any, and log the choice."""
    tokens_per_second = attempt.link.observations.tokens_per_second.value
    status = StreamStatus(
        attempt.tokens, remaining_tokens(call, attempt), tokens_per_second, continuations
    )
    # Engines that name no software version may differ in it.
    if not attempt.software or not is_resume_candidate(status):
        return None
    # Placement is expensive, so the cheap conditions are checked first.
    resumed = call.resumed(b"".join(attempt.assembler.parts), attempt.tokens)
    if resumed is None:
        return None
    # A text goes on only at the software version that began it.
    excluded = {
        node
        for node, link in state.table.links.items()
        if link is attempt.link or link.software not in (None, attempt.software)
    }
    placement = state.preview_placement(resumed, frozenset(excluded))
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
