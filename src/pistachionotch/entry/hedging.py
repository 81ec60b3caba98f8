"""Choice of an agent for the hedge of a slow call."""

from __future__ import annotations

import attrs

from ..routing.hedge import NO_ALTERNATIVE, HedgeContext, LatencyTail, decide_hedge
from .calls import Call
from .routing_state import RoutingState


def choose_hedge_agent(
    state: RoutingState,
    call: Call,
    context: HedgeContext,
    tail: LatencyTail,
    excluded: frozenset[str],
) -> str | None:
    """Return the agent for a hedge, or ``None`` if the call is not hedged, and log a hedge."""
    hedging = state.table.policy.hedging(call.request_class)
    if hedging is None:
        return None
    quantile = hedging.after_percentile / 100
    budget = state.hedge_budget(call, hedging)
    now_ms = state.clock.now_ms()
    if decide_hedge(context, tail, budget, now_ms, quantile).reason != NO_ALTERNATIVE:
        return None
    # Placement is expensive, so the cheap conditions are checked first.
    placement = state.preview_placement(call, excluded)
    context = attrs.evolve(
        context, alternative=placement.agent, alternative_ms=placement.estimate_ms
    )
    decision = decide_hedge(context, tail, budget, now_ms, quantile)
    if decision.agent is not None:
        state.decisions.hedged(call, decision.agent, decision.reason)
    return decision.agent
