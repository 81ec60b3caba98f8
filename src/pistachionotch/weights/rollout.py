"""Roll-out of new weights: which agents to order now, and how long the whole takes."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import attrs

MS_PER_SECOND = 1000


@attrs.frozen
class AgentRolloutState:
    """Describe one agent that serves the model; ``version`` None means not known."""

    agent: str
    zone: str
    version: int | None
    capacity: int = 1
    serving: bool = True
    # Swaps to the desired version that failed, as read back; a newer version starts at zero.
    failures: int = 0
    last_failed_ms: int | None = None


@attrs.frozen
class SwapInProgress:
    """Describe an order that was sent and has no result yet."""

    agent: str
    version: int
    started_ms: int


@attrs.frozen
class RolloutLimits:
    """Bound a roll-out; the fetch rate is this holder's share of the weight store's limit."""

    fetches_per_s: float
    max_unavailable_share: float = 0.25
    max_attempts: int = 3
    retry_after_ms: int = 2_000
    swap_timeout_ms: int = 15_000
    # Zones that this holder may order; None means all.
    zones: frozenset[str] | None = None

    def rate_window_ms(self) -> int:
        """Return the time over which fetches are counted; it has room for at least one."""
        return max(MS_PER_SECOND, math.ceil(MS_PER_SECOND / self.fetches_per_s))


@attrs.frozen
class WaveOrder:
    """Order one agent to load the desired version."""

    agent: str
    version: int
    reason: str


@attrs.frozen
class FailedAgent:
    """Report an agent that is not ordered again for this version."""

    agent: str
    version: int | None
    failures: int


@attrs.frozen
class Wave:
    """Say what to do now and how far the roll-out is."""

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
    out: int = 0


def plan_wave(
    agents: Sequence[AgentRolloutState],
    desired_version: int,
    in_progress: Sequence[SwapInProgress],
    limits: RolloutLimits,
    now_ms: int,
    starts_ms: Sequence[int] = (),
) -> Wave:
    """Return the orders that are due now for the agents of one model.

    ``starts_ms`` are the times of earlier orders, also of ended ones, for the fetch rate.

    A swap to an older version is left to end, because an agent runs one order at a time; its agent
    is ordered again afterwards.
    """
    planner = _Planner(agents, desired_version, in_progress, limits, now_ms, starts_ms)
    orders = planner.choose()
    pending = [agent for agent in planner.mine if not planner.is_done(agent)]
    failed = tuple(
        FailedAgent(agent.agent, agent.version, agent.failures)
        for agent in pending
        if planner.gave_up(agent)
    )
    overdue = tuple(
        swap.agent for swap in in_progress if now_ms - swap.started_ms > limits.swap_timeout_ms
    )
    waiting = len(pending) - len(failed) - len(orders)
    done = len(planner.mine) - len(pending)
    return Wave(desired_version, orders, failed, overdue, waiting, done, planner.reason)


@attrs.define
class _Planner:
    agents: Sequence[AgentRolloutState]
    desired_version: int
    in_progress: Sequence[SwapInProgress]
    limits: RolloutLimits
    now_ms: int
    starts_ms: Sequence[int]
    mine: list[AgentRolloutState] = attrs.field(factory=list)
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
            if self.is_out(agent):
                zone.out += agent.capacity
            if self.limits.zones is None or agent.zone in self.limits.zones:
                self.mine.append(agent)

    def is_done(self, agent: AgentRolloutState) -> bool:
        """Return whether the agent serves the desired version or a later one."""
        return agent.version is not None and agent.version >= self.desired_version

    def is_out(self, agent: AgentRolloutState) -> bool:
        """Return whether the agent's capacity counts as out of service."""
        return agent.agent in self.swapping or not agent.serving or agent.version is None

    def gave_up(self, agent: AgentRolloutState) -> bool:
        """Return whether the agent failed too often for this version."""
        return agent.failures >= self.limits.max_attempts and agent.agent not in self.swapping

    def choose(self) -> tuple[WaveOrder, ...]:
        """Pick agents one by one, always from the zone with the smallest share out of service."""
        ready = [agent for agent in self.mine if self.is_ready(agent)]
        ready.sort(key=lambda agent: (agent.failures, agent.agent))
        room = self.room()
        orders: list[WaveOrder] = []
        while ready and len(orders) < room:
            agent = min(
                (agent for agent in ready if self.has_capacity(agent)),
                key=lambda agent: self.out_share(agent.zone),
                default=None,
            )
            if agent is None:
                self.reason = "the capacity out of service is at its limit"
                break
            ready.remove(agent)
            if agent.serving:
                self.zones[agent.zone].out += agent.capacity
            orders.append(WaveOrder(agent.agent, self.desired_version, self.order_reason(agent)))
        return tuple(orders)

    def is_ready(self, agent: AgentRolloutState) -> bool:
        """Return whether the agent can be ordered, capacity and rate aside."""
        if self.is_done(agent) or agent.agent in self.swapping or self.gave_up(agent):
            return False
        if agent.last_failed_ms is None:
            return True
        return self.now_ms - agent.last_failed_ms >= self.limits.retry_after_ms

    def room(self) -> int:
        """Return how many fetches may start now."""
        if self.looks_broken():
            self.reason = "no agent could load this version yet; one is tried at a time"
            return 0 if self.swapping else 1
        rate = self.limits.fetches_per_s
        window_ms = self.limits.rate_window_ms()
        allowed = int(rate * window_ms / MS_PER_SECOND)
        recent = sum(self.now_ms - start_ms < window_ms for start_ms in self.starts_ms)
        if recent >= allowed:
            self.reason = "the fetch rate is at its limit"
        return max(0, allowed - recent)

    def looks_broken(self) -> bool:
        """Return whether several agents failed to load the version and none succeeded."""
        if any(self.is_done(agent) for agent in self.agents):
            return False
        return sum(agent.failures > 0 for agent in self.agents) > 1

    def has_capacity(self, agent: AgentRolloutState) -> bool:
        """Return whether the agent may leave service.

        Where the share is less than one agent, a zone swaps one at a time, and only one such zone
        at a time unless the share of all zones together allows more.
        """
        zone = self.zones[agent.zone]
        if (
            not agent.serving
            or zone.out + agent.capacity <= self.limits.max_unavailable_share * zone.total
        ):
            return True
        if zone.out > 0:
            return False
        out = sum(zone.out for zone in self.zones.values())
        total = sum(zone.total for zone in self.zones.values())
        return out == 0 or out + agent.capacity <= self.limits.max_unavailable_share * total

    def out_share(self, name: str) -> float:
        """Return the share of the zone's capacity that is out of service."""
        zone = self.zones[name]
        return zone.out / max(1, zone.total)

    def order_reason(self, agent: AgentRolloutState) -> str:
        """Return the reason that is logged with the order."""
        return f"serves {agent.version}, {agent.failures} failures, zone {agent.zone}"


@attrs.frozen
class RolloutEstimate:
    """Predict a roll-out; ``bound`` names what limits it."""

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
    """Estimate the time of the whole roll-out from measured swaps; None without a measurement.

    The 95th percentile of the swap times is used, and agents count with equal capacity.
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
