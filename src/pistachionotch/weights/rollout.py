"""Planning of weight roll-outs: which agents to order now, and the estimated total time."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import attrs

MS_PER_SECOND = 1000


@attrs.frozen
class AgentRolloutState:
    """An agent that serves the model; a ``version`` of None means unknown."""

    agent: str
    zone: str
    version: int | None
    capacity: int = 1
    serving: bool = True
    # Swaps after which the agent did not serve the desired version; a newer version starts at zero.
    failures: int = 0
    last_failed_ms: int | None = None


@attrs.frozen
class SwapInProgress:
    """An order that was sent and has no result yet."""

    agent: str
    version: int
    started_ms: int


@attrs.frozen
class RolloutLimits:
    """Limits of a roll-out; ``fetches_per_s`` is the holder's share of the weight store's limit."""

    fetches_per_s: float
    max_unavailable_share: float = 0.25
    max_attempts: int = 3
    retry_after_ms: int = 2_000
    swap_timeout_ms: int = 15_000
    # Zones whose agents this holder may order; None means all.
    zones: frozenset[str] | None = None

    def rate_window_ms(self) -> int:
        """Return the time over which fetches are counted, long enough to allow at least one."""
        return max(MS_PER_SECOND, math.ceil(MS_PER_SECOND / self.fetches_per_s))


@attrs.frozen
class WaveOrder:
    """An order to one agent to load the desired version."""

    agent: str
    version: int
    reason: str


@attrs.frozen
class FailedAgent:
    """An agent that failed too often and is not ordered again for this version."""

    agent: str
    version: int | None
    failures: int


@attrs.frozen
class Wave:
    """The orders that are due now, and the progress of the roll-out."""

    desired_version: int
    orders: tuple[WaveOrder, ...]
    failed: tuple[FailedAgent, ...]
    overdue: tuple[str, ...]
    waiting: int
    done: int
    reason: str

    @property
    def finished(self) -> bool:
        """Return whether no agent is left to order or to wait for."""
        return self.waiting == 0 and not self.orders


@attrs.define
class _Zone:
    total: int = 0
    unavailable: int = 0


def plan_wave(
    agents: Sequence[AgentRolloutState],
    desired_version: int,
    in_progress: Sequence[SwapInProgress],
    limits: RolloutLimits,
    now_ms: int,
    order_times_ms: Sequence[int] = (),
) -> Wave:
    """Return the orders that are due now for the agents of one model.

    ``order_times_ms`` holds the times of earlier orders, including finished ones, for the fetch
    rate.

    A running swap to an older version is not interrupted, because an agent runs one order at a
    time; the agent is ordered again when the swap has ended.
    """
    planner = _Planner(agents, desired_version, in_progress, limits, now_ms, order_times_ms)
    orders = planner.choose_orders()
    pending = [agent for agent in planner.managed_agents if not planner.is_done(agent)]
    failed = tuple(
        FailedAgent(agent.agent, agent.version, agent.failures)
        for agent in pending
        if planner.exhausted_attempts(agent)
    )
    overdue = tuple(
        swap.agent for swap in in_progress if now_ms - swap.started_ms > limits.swap_timeout_ms
    )
    waiting = len(pending) - len(failed) - len(orders)
    done = len(planner.managed_agents) - len(pending)
    return Wave(desired_version, orders, failed, overdue, waiting, done, planner.reason)


@attrs.define
class _Planner:
    agents: Sequence[AgentRolloutState]
    desired_version: int
    in_progress: Sequence[SwapInProgress]
    limits: RolloutLimits
    now_ms: int
    order_times_ms: Sequence[int]
    managed_agents: list[AgentRolloutState] = attrs.field(factory=list)
    swapping: set[str] = attrs.field(factory=set)
    zones: dict[str, _Zone] = attrs.field(factory=dict)
    reason: str = ""

    def __attrs_post_init__(self) -> None:
        known = {agent.agent: agent for agent in self.agents}
        for swap in self.in_progress:
            agent = known.get(swap.agent)
            if agent is not None and not self.is_done(agent):
                self.swapping.add(swap.agent)
        for agent in self.agents:
            zone = self.zones.setdefault(agent.zone, _Zone())
            zone.total += agent.capacity
            if self.is_unavailable(agent):
                zone.unavailable += agent.capacity
            if self.limits.zones is None or agent.zone in self.limits.zones:
                self.managed_agents.append(agent)

    def is_done(self, agent: AgentRolloutState) -> bool:
        """Return whether the agent serves the desired version or a later one."""
        return agent.version is not None and agent.version >= self.desired_version

    def is_unavailable(self, agent: AgentRolloutState) -> bool:
        """Return whether the agent's capacity counts as out of service."""
        return agent.agent in self.swapping or not agent.serving or agent.version is None

    def exhausted_attempts(self, agent: AgentRolloutState) -> bool:
        """Return whether the agent failed too often for this version."""
        return agent.failures >= self.limits.max_attempts and agent.agent not in self.swapping

    def choose_orders(self) -> tuple[WaveOrder, ...]:
        """Choose agents one by one, each from the zone with the smallest unavailable share."""
        ready = [agent for agent in self.managed_agents if self.may_be_ordered(agent)]
        ready.sort(key=lambda agent: (agent.failures, agent.agent))
        allowed_starts = self.allowed_starts()
        orders: list[WaveOrder] = []
        while ready and len(orders) < allowed_starts:
            agent = min(
                (agent for agent in ready if self.may_leave_service(agent)),
                key=lambda agent: self.unavailable_share(agent.zone),
                default=None,
            )
            if agent is None:
                self.reason = "the capacity out of service is at its limit"
                break
            ready.remove(agent)
            if agent.serving:
                self.zones[agent.zone].unavailable += agent.capacity
            orders.append(WaveOrder(agent.agent, self.desired_version, self.order_reason(agent)))
        return tuple(orders)

    def may_be_ordered(self, agent: AgentRolloutState) -> bool:
        """Return whether the agent can be ordered, regardless of capacity and fetch rate."""
        if self.is_done(agent) or agent.agent in self.swapping or self.exhausted_attempts(agent):
            return False
        if agent.last_failed_ms is None:
            return True
        return self.now_ms - agent.last_failed_ms >= self.limits.retry_after_ms

    def allowed_starts(self) -> int:
        """Return how many fetches may start now."""
        if self.version_looks_broken():
            self.reason = "no agent could load this version yet; one is tried at a time"
            return 0 if self.swapping else 1
        rate = self.limits.fetches_per_s
        window_ms = self.limits.rate_window_ms()
        allowed = int(rate * window_ms / MS_PER_SECOND)
        recent = sum(
            self.now_ms - order_time_ms < window_ms for order_time_ms in self.order_times_ms
        )
        if recent >= allowed:
            self.reason = "the fetch rate is at its limit"
        return max(0, allowed - recent)

    def version_looks_broken(self) -> bool:
        """Return whether several agents failed to load the version and none succeeded."""
        if any(self.is_done(agent) for agent in self.agents):
            return False
        return sum(agent.failures > 0 for agent in self.agents) > 1

    def may_leave_service(self, agent: AgentRolloutState) -> bool:
        """Return whether the agent may leave service.

        In a zone whose allowed share is less than one agent, agents swap one at a time. Only one
        such zone swaps at a time, unless the allowed share of all zones together permits more.
        """
        zone = self.zones[agent.zone]
        if (
            not agent.serving
            or zone.unavailable + agent.capacity <= self.limits.max_unavailable_share * zone.total
        ):
            return True
        if zone.unavailable > 0:
            return False
        unavailable = sum(zone.unavailable for zone in self.zones.values())
        total = sum(zone.total for zone in self.zones.values())
        return (
            unavailable == 0
            or unavailable + agent.capacity <= self.limits.max_unavailable_share * total
        )

    def unavailable_share(self, name: str) -> float:
        """Return the share of the zone's capacity that is out of service."""
        zone = self.zones[name]
        return zone.unavailable / max(1, zone.total)

    def order_reason(self, agent: AgentRolloutState) -> str:
        """Return the reason that is logged with the order."""
        return f"serves {agent.version}, {agent.failures} failures, zone {agent.zone}"


@attrs.frozen
class RolloutEstimate:
    """Estimated duration of a roll-out; ``bound`` names the limiting factor."""

    total_ms: int
    swap_ms: int
    rate_ms: int
    capacity_ms: int
    bound: str


def estimate_rollout(
    agents: Sequence[AgentRolloutState],
    desired_version: int,
    limits: RolloutLimits,
    measured_swaps_ms: Iterable[int],
) -> RolloutEstimate | None:
    """Estimate the duration of the whole roll-out; return None without measured swaps.

    The estimate uses the 95th percentile of the swap times and assumes that all agents have equal
    capacity.
    """
    swaps = sorted(measured_swaps_ms)
    if not swaps:
        return None
    swap_ms = swaps[min(len(swaps) - 1, int(0.95 * len(swaps)))]
    totals: dict[str, int] = {}
    pending: dict[str, int] = {}
    for agent in agents:
        totals[agent.zone] = totals.get(agent.zone, 0) + 1
        behind = agent.version is None or agent.version < desired_version
        pending[agent.zone] = pending.get(agent.zone, 0) + behind
    rounds = [
        math.ceil(count / max(1, int(limits.max_unavailable_share * totals[zone])))
        for zone, count in pending.items()
    ]
    capacity_ms = max(rounds, default=0) * swap_ms
    count = sum(pending.values())
    rate_ms = math.ceil(max(0, count - 1) / limits.fetches_per_s * MS_PER_SECOND)
    rate_ms += swap_ms if count else 0
    bound = "capacity" if capacity_ms >= rate_ms else "fetch rate"
    return RolloutEstimate(max(capacity_ms, rate_ms), swap_ms, rate_ms, capacity_ms, bound)
