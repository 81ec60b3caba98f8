"""What the holder of a roll-out duty remembers between waves; lost with the holder.

A new holder starts empty: agents report their versions, and the gate refuses the former holder.
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

# The estimate uses recent swaps only, since the size of the weights may change.
KEPT_SWAP_TIMES = 200


@attrs.frozen
class AgentReport:
    """Describe an agent as its last heartbeat did."""

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
    """Keep orders, results and swap times of one model's roll-out."""

    desired_version: int = 0
    swaps: dict[str, SwapInProgress] = attrs.field(factory=dict)
    attempts: dict[str, _Attempts] = attrs.field(factory=dict)
    starts_ms: list[int] = attrs.field(factory=list)
    swap_times_ms: list[int] = attrs.field(factory=list)

    def desire(self, version: int) -> bool:
        """Take over a newer desired version; failures to load an older one no longer count."""
        if version <= self.desired_version:
            return False
        self.desired_version = version
        self.attempts.clear()
        return True

    def plan(self, reports: Iterable[AgentReport], limits: RolloutLimits, now_ms: int) -> Wave:
        """Plan the orders that are due and remember them as sent."""
        agents = [self._facts(report) for report in reports]
        present = {agent.agent for agent in agents}
        for gone in [agent for agent in self.swaps if agent not in present]:
            del self.swaps[gone]
        swaps = list(self.swaps.values())
        oldest_ms = now_ms - limits.rate_window_ms()
        self.starts_ms = [start_ms for start_ms in self.starts_ms if start_ms > oldest_ms]
        wave = plan_wave(agents, self.desired_version, swaps, limits, now_ms, self.starts_ms)
        for order in wave.orders:
            self.swaps[order.agent] = SwapInProgress(order.agent, order.version, now_ms)
            self.starts_ms.append(now_ms)
        return wave

    def estimate(
        self, reports: Iterable[AgentReport], limits: RolloutLimits
    ) -> RolloutEstimate | None:
        """Estimate the time of the whole roll-out from earlier swaps; none before the first one."""
        agents = [self._facts(report) for report in reports]
        return estimate_rollout(agents, self.desired_version, limits, self.swap_times_ms)

    def finish(self, agent: str, read_back: int | None, now_ms: int) -> bool:
        """End the order of an agent; return whether it serves the ordered version.

        A version that could not be read counts as failed; the next heartbeat may correct it.
        """
        swap = self.swaps.pop(agent, None)
        if swap is None:
            return False
        if read_back == swap.version:
            self.swap_times_ms.append(now_ms - swap.started_ms)
            del self.swap_times_ms[:-KEPT_SWAP_TIMES]
            return True
        if swap.version == self.desired_version:
            self._fail(agent, now_ms)
        return False

    def discard_order(self, agent: str) -> None:
        """Forget an order that its agent refused and did not run; it is no failed swap."""
        self.swaps.pop(agent, None)

    def _fail(self, agent: str, now_ms: int) -> None:
        attempts = self.attempts.setdefault(agent, _Attempts())
        attempts.failures += 1
        attempts.last_failed_ms = now_ms

    def _facts(self, report: AgentReport) -> AgentRolloutState:
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
