"""Moves of queued work to an agent that is expected to complete it much earlier."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from .candidates import Candidate, Location, RoutedRequest
from .placement import RoutingCosts, estimate_all

# Load reports are up to 2 s old; with a smaller gain, work would move back and forth.
MIN_GAIN_MS = 2_000


@attrs.frozen
class MoveDecision:
    """The agent to move to, or None.

    The move starts only after the current agent has confirmed that the work did not run.
    """

    agent: str | None
    reason: str
    gain_ms: int = 0


def decide_move(
    request: RoutedRequest,
    current: str,
    candidates: Sequence[Candidate],
    location: Location,
    now_ms: int,
    costs: RoutingCosts,
) -> MoveDecision:
    """Decide whether work queued at the agent ``current`` should move to another agent."""
    estimates = estimate_all(request, candidates, location, now_ms, costs)
    at_current = [item for item in estimates if item.agent == current]
    if not at_current:
        return MoveDecision(None, f"nothing is known of {current}")
    best = estimates[0]
    gain_ms = at_current[0].total_ms - best.total_ms
    if best.agent == current or gain_ms < MIN_GAIN_MS:
        return MoveDecision(None, f"no agent is better by {MIN_GAIN_MS} ms")
    return MoveDecision(best.agent, f"ends {gain_ms} ms earlier at {best.agent}", gain_ms)
