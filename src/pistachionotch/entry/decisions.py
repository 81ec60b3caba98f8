"""Log of routing decisions, which also keeps those of recent requests for operators."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import attrs

from ..clock import Clock
from ..outcomes import Problem
from ..routing.placement import Placement
from ..routing.retry import RetryDecision
from .calls import Call

MAX_REQUESTS = 2000
MAX_LINES_PER_REQUEST = 40


@attrs.define
class DecisionLog:
    """Writes each decision to the log and keeps those of recent requests in memory."""

    log: Any
    clock: Clock
    recent: OrderedDict[str, list[dict[str, Any]]] = attrs.field(factory=OrderedDict)

    def placed(self, call: Call, placement: Placement) -> None:
        """Record the agent of an attempt, or why none was found."""
        self._record(
            call,
            "placed" if placement.agent else "not placed",
            agent=placement.agent,
            reason=placement.reason,
            estimate_ms=placement.estimate_ms,
            fact_age_ms=placement.report_age_ms,
        )

    def placed_by_key(self, call: Call, agent: str, reason: str) -> None:
        """Record an agent that the key of the call determines."""
        self._record(call, "placed", agent=agent, reason=reason)

    def hedged(self, call: Call, agent: str, reason: str) -> None:
        """Record a hedge, a second attempt that runs in parallel with a slow one."""
        self._record(call, "hedged", agent=agent, reason=reason)

    def moved(self, call: Call, agent: str, reason: str) -> None:
        """Record that a queued call is withdrawn to be placed at another agent."""
        self._record(call, "moving", agent=agent, reason=reason)

    def continued(self, call: Call, agent: str, reason: str) -> None:
        """Record that a slow stream is resumed at another agent."""
        self._record(call, "continued", agent=agent, reason=reason)

    def retried(self, call: Call, failure: str, decision: RetryDecision) -> None:
        """Record whether a failed attempt is retried."""
        outcome = "retrying" if decision.retry else "giving up"
        self._record(
            call, outcome, failure=failure, reason=decision.reason, wait_ms=decision.wait_ms
        )

    def resubmitted(self, call: Call, agent: str, reason: str) -> None:
        """Record that a key is sent to the same agent again to get the result."""
        self._record(call, "submitting again", agent=agent, reason=reason)

    def done(self, call: Call, agent: str) -> None:
        """Record a complete response."""
        self._record(call, "done", agent=agent)

    def failed(self, call: Call, problem: Problem) -> None:
        """Record the final answer of a call without a complete response."""
        self._record(
            call,
            "failed",
            status=problem.status,
            execution=str(problem.execution),
            reason=problem.detail,
        )

    def explain(self, request_id: str) -> list[dict[str, Any]]:
        """Return the decisions for one request, oldest first."""
        return list(self.recent.get(request_id, ()))

    def _record(self, call: Call, decision: str, **fields: Any) -> None:
        remaining_ms = call.deadline.remaining_ms(self.clock)
        self.log.info(
            decision,
            request=call.request_id,
            target=call.target,
            request_class=str(call.request_class),
            remaining_ms=remaining_ms,
            **fields,
        )
        lines = self.recent.setdefault(call.request_id, [])
        self.recent.move_to_end(call.request_id)
        if len(lines) < MAX_LINES_PER_REQUEST:
            lines.append({"decision": decision, "remaining_ms": remaining_ms, **fields})
        while len(self.recent) > MAX_REQUESTS:
            self.recent.popitem(last=False)
