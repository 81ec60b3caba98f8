"""Simulated engines that load weights, with failing swaps, for the roll-out tests."""

from __future__ import annotations

import attrs

from pistachionotch.weights.rollout import AgentWeights, RolloutLimits, SwapInProgress, plan_wave

TICK_MS = 250


@attrs.define
class Fleet:
    """Run ``plan_wave`` every tick and check its limits against what really runs."""

    limits: RolloutLimits
    agents: dict[str, AgentWeights]
    swap_ms: int
    fails: set[tuple[str, int]] = attrs.field(factory=set)  # agent and attempt
    desired: int = 2
    now_ms: int = 0
    swaps: dict[str, SwapInProgress] = attrs.field(factory=dict)
    starts: list[int] = attrs.field(factory=list)
    attempts: dict[str, int] = attrs.field(factory=dict)
    reported: tuple = ()

    def publish(self):
        self.desired += 1
        for name, agent in self.agents.items():
            self.agents[name] = attrs.evolve(agent, failures=0, last_failed_ms=None)

    def end_swaps(self):
        for name, swap in list(self.swaps.items()):
            if self.now_ms - swap.started_ms < self.swap_ms:
                continue
            del self.swaps[name]
            agent = self.agents[name]
            if (name, self.attempts[name]) not in self.fails:
                self.agents[name] = attrs.evolve(agent, version=swap.version)
            elif swap.version == self.desired:
                failures = agent.failures + 1
                self.agents[name] = attrs.evolve(
                    agent, failures=failures, last_failed_ms=self.now_ms
                )

    def tick(self):
        self.end_swaps()
        agents, swaps = list(self.agents.values()), list(self.swaps.values())
        wave = plan_wave(agents, self.desired, swaps, self.limits, self.now_ms)
        for order in wave.orders:
            assert order.agent not in self.swaps, "ordered twice"
            assert self.agents[order.agent].version < self.desired, "ordered without need"
            self.swaps[order.agent] = SwapInProgress(order.agent, order.version, self.now_ms)
            self.attempts[order.agent] = self.attempts.get(order.agent, 0) + 1
            agent = self.agents[order.agent]
            self.agents[order.agent] = attrs.evolve(agent, ordered_ms=self.now_ms)
            self.starts.append(self.now_ms)
        self.check()
        self.reported = wave.failed
        self.now_ms += TICK_MS
        return wave

    def check(self):
        recent = sum(self.now_ms - start < 1000 for start in self.starts)
        assert recent <= self.limits.fetches_per_s, "fetch rate exceeded"
        for zone in {agent.zone for agent in self.agents.values()}:
            members = [agent for agent in self.agents.values() if agent.zone == zone]
            out = sum(agent.agent in self.swaps for agent in members)
            allowed = max(1, int(self.limits.max_out_share * len(members)))
            assert out <= allowed, "too much capacity out of service"

    def run(self, limit_ms=300_000):
        while self.now_ms < limit_ms:
            if self.tick().finished:
                return
        raise AssertionError("the roll-out does not end")


def make_fleet(zones, per_zone, swap_ms, **limits):
    agents = [
        AgentWeights(f"{zone}-{number:03}", f"zone-{zone}", 1)
        for zone in range(zones)
        for number in range(per_zone)
    ]
    return Fleet(RolloutLimits(**limits), {agent.agent: agent for agent in agents}, swap_ms)
