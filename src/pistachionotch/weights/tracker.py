"""State of a roll-out that its lease holder keeps in memory between waves.

A new holder starts with empty state: agents report their versions, and the order gates refuse
orders of the former holder.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from .rollout import (
    AgentRolloutState,
    RolloutEstimate,
    RolloutLimits,
    SwapInProgress,
    Wave,
    estimate_rollout,
    plan_wave,
)

# Only recent swap times are kept for the estimate, since the size of the weights may change.
MAX_SWAP_TIMES = 200


@attrs.frozen
class AgentReport:
    """An agent as described by its last heartbeat."""

    agent: str
    zone: str
    version: int | None
    capacity: int = 1
    serving: bool = True


@attrs.define
class _Attempts:
    failures: int = 0
    last_failed_ms: int | None = None


@attrs.define
class RolloutTracker:
    """Tracks the orders, results and swap times of one model's roll-out."""

    desired_version: int = 0
    swaps: dict[str, SwapInProgress] = attrs.field(factory=dict)
    attempts: dict[str, _Attempts] = attrs.field(factory=dict)
    order_times_ms: list[int] = attrs.field(factory=list)
    swap_times_ms: list[int] = attrs.field(factory=list)

    def desire(self, version: int) -> bool:
        """Set a newer desired version and reset the failure counts; return whether it is newer."""
        if version <= self.desired_version:
            return False
        self.desired_version = version
        self.attempts.clear()
        return True

    def plan(self, reports: Iterable[AgentReport], limits: RolloutLimits, now_ms: int) -> Wave:
        """Plan the orders that are due and record them as sent."""
        agents = [self._rollout_state(report) for report in reports]
        present = {agent.agent for agent in agents}
        for removed in [agent for agent in self.swaps if agent not in present]:
            del self.swaps[removed]
        swaps = list(self.swaps.values())
        oldest_ms = now_ms - limits.rate_window_ms()
        self.order_times_ms = [
            order_time_ms for order_time_ms in self.order_times_ms if order_time_ms > oldest_ms
        ]
        wave = plan_wave(agents, self.desired_version, swaps, limits, now_ms, self.order_times_ms)
        for order in wave.orders:
            self.swaps[order.agent] = SwapInProgress(order.agent, order.version, now_ms)
            self.order_times_ms.append(now_ms)
        return wave

    def estimate(
        self, reports: Iterable[AgentReport], limits: RolloutLimits
    ) -> RolloutEstimate | None:
        """Estimate the duration of the whole roll-out; return None before the first swap."""
        agents = [self._rollout_state(report) for report in reports]
        return estimate_rollout(agents, self.desired_version, limits, self.swap_times_ms)

    def finish(self, agent: str, read_back: int | None, now_ms: int) -> bool:
        """End the order of an agent; return whether it serves the ordered version.

        A version that could not be read counts as a failure; the next heartbeat may correct that.
        """
        swap = self.swaps.pop(agent, None)
        if swap is None:
            return False
        if read_back == swap.version:
            self.swap_times_ms.append(now_ms - swap.started_ms)
            del self.swap_times_ms[:-MAX_SWAP_TIMES]
            return True
        if swap.version == self.desired_version:
            self._record_failure(agent, now_ms)
        return False

    def discard_order(self, agent: str) -> None:
        """Remove an order that its agent refused without running; it is not a failed swap."""
        self.swaps.pop(agent, None)

    def _record_failure(self, agent: str, now_ms: int) -> None:
        attempts = self.attempts.setdefault(agent, _Attempts())
        attempts.failures += 1
        attempts.last_failed_ms = now_ms

    def _rollout_state(self, report: AgentReport) -> AgentRolloutState:
        attempts = self.attempts.get(report.agent, _Attempts())
        return AgentRolloutState(
            report.agent,
            report.zone,
            report.version,
            report.capacity,
            report.serving,
            attempts.failures,
            attempts.last_failed_ms,
        )
