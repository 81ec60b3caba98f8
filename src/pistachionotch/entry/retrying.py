"""Decision about another attempt of a call, and the wait before it."""

from __future__ import annotations

from collections.abc import Collection

from ..routing.retry import FailedAttempt, decide_retry
from .calls import Call
from .routing_state import RoutingState


def wait_for_retry(
    state: RoutingState,
    call: Call,
    failed: FailedAttempt,
    reason: str,
    tried_agents: Collection[str],
) -> bool:
    """Return whether another attempt may follow, after the wait before it; log the decision."""
    serving = state.table.serving(call.target)
    untried = [link for link in serving if link.member.node not in tried_agents]
    decision = decide_retry(
        failed,
        call.deadline.remaining_ms(state.clock),
        0,
        len(untried),
        state.retry_budget(call),
        state.clock.now_ms(),
        state.rng,
    )
    state.decisions.retried(call, reason, decision)
    if decision.retry:
        state.clock.sleep_ms(decision.wait_ms)
    return decision.retry
