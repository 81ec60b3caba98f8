"""Simulated engines that load weights, with failing swaps, for the roll-out tests."""

from __future__ import annotations

import attrs

from pistachionotch.weights.rollout import RolloutLimits
from pistachionotch.weights.tracker import AgentReport, RolloutTracker

TICK_MS = 250


@attrs.define
class Fleet:
    """Plans a wave every tick and checks the limits against the swaps that are running."""

    limits: RolloutLimits
    agents: dict[str, AgentReport]
    swap_ms: int
    fails: set[tuple[str, int]] = attrs.field(factory=set)  # (agent, attempt)
    tracker: RolloutTracker = attrs.field(factory=lambda: RolloutTracker(2))
    now_ms: int = 0
    running: dict[str, tuple[int, int]] = attrs.field(factory=dict)  # (start time, version)
    starts: list[int] = attrs.field(factory=list)
    attempts: dict[str, int] = attrs.field(factory=dict)
    reported: tuple = ()

    def finish_swaps(self):
        for name, (started_ms, version) in list(self.running.items()):
            if self.now_ms - started_ms < self.swap_ms:
                continue
            del self.running[name]
            if (name, self.attempts[name]) not in self.fails:
                self.agents[name] = attrs.evolve(self.agents[name], version=version)
            self.tracker.finish(name, self.agents[name].version, self.now_ms)

    def tick(self):
        self.finish_swaps()
        wave = self.tracker.plan(self.agents.values(), self.limits, self.now_ms)
        for order in wave.orders:
            assert order.agent not in self.running, "ordered twice"
            assert self.agents[order.agent].version < order.version, "ordered without need"
            self.running[order.agent] = (self.now_ms, order.version)
            self.attempts[order.agent] = self.attempts.get(order.agent, 0) + 1
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
            out = sum(agent.agent in self.running for agent in members)
            allowed = max(1, int(self.limits.max_unavailable_share * len(members)))
            assert out <= allowed, "too much capacity out of service"

    def run(self, limit_ms=300_000):
        while self.now_ms < limit_ms:
            if self.tick().finished:
                return
        raise AssertionError("the roll-out does not end")


def make_fleet(zones, per_zone, swap_ms, **limits):
    agents = [
        AgentReport(f"{zone}-{number:03}", f"zone-{zone}", 1)
        for zone in range(zones)
        for number in range(per_zone)
    ]
    return Fleet(RolloutLimits(**limits), {agent.agent: agent for agent in agents}, swap_ms)
