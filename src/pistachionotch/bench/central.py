"""Reference bound: one central queue that knows run times, free slots and slowdowns."""

from __future__ import annotations

import heapq

from .agents import Attempt, FakeAgent
from .upstreams import FakeUpstream
from .workload import ASSISTANT, LONG, SERVICE, TRAINING, Job
from .world import World

# Slots of the engine pool that the bound keeps for short work; with perfect knowledge few suffice.
KEPT_SLOTS = 2
# Jobs planned at each event; more do not change what starts now and cost time.
PLAN_AHEAD = 24


class CentralDispatcher:
    """Start each job where it truly ends first, short work first and the longest samples first.

    It waits for a faster slot when that ends earlier, and drops what would miss its deadline. It
    knows the present and future slowdowns and the true run times, and pays only the network delay.
    """

    def __init__(self, world: World, longest_first: bool = True) -> None:
        self.world = world
        self.longest_first = longest_first
        self.waiting: dict[str, list[tuple[tuple[int, float], int, Job]]] = {}
        self.busy_until: dict[str, dict[str, int]] = {name: {} for name in world.agents}
        self.serial = 0

    def start(self, job: Job) -> None:
        """Queue a job and dispatch what can start."""
        self.serial += 1
        queue = self.waiting.setdefault(job.kind.pool, [])
        queue.append((self._order(job), self.serial, job))
        queue.sort(key=lambda item: item[:2])
        self._dispatch(job.kind.pool)

    def refused(self, attempt: Attempt, reason: str, retry_after_ms: int) -> None:
        """Refuse to be refused: nothing is offered to a queue."""
        raise AssertionError("the central queue does not use the agents' queues")

    def first_token(self, attempt: Attempt) -> None:
        """Ignore first tokens."""

    def withdrawn(self, attempt: Attempt) -> None:
        """Ignore withdrawals; nothing is withdrawn."""

    def progress(self, attempt: Attempt, tokens: int) -> None:
        """Ignore progress."""

    def finished(self, attempt: Attempt) -> None:
        """Complete the job."""
        self.world.complete(attempt.job, attempt)

    def _order(self, job: Job) -> tuple[int, float]:
        if job.kind in (ASSISTANT, SERVICE):
            return (0, job.deadline_ms)
        if job.kind is TRAINING:
            step = int(job.name.split("-")[1])
            if not self.longest_first:
                return (1, float(step))
            return (1, step - 1.0 / (1.0 + 1.0 / job.stream_ms))
        return (1, 0.0)

    def _dispatch(self, pool: str) -> None:
        """Plan the waiting jobs in order on the slots' timelines and start those due now."""
        now_ms = self.world.loop.clock.now_ms()
        agents = self.world.pools[pool]
        slots = {agent.upstream.name: self._slot_times(agent.upstream, now_ms) for agent in agents}
        free = sum(times.count(now_ms) for times in slots.values())
        kept = []
        planned = 0
        for item in self.waiting.get(pool, []):
            job = item[2]
            if free <= self._kept_slots(job) or planned >= PLAN_AHEAD:
                kept.append(item)
                continue
            planned += 1
            agent, start_ms, done_ms = self._earliest(job, agents, slots)
            if done_ms > job.deadline_ms:
                self.world.give_up(job, 0)
                continue
            heapq.heapreplace(slots[agent.upstream.name], done_ms)
            if start_ms > now_ms:
                kept.append(item)
                continue
            free -= 1
            self._run(job, agent)
        self.waiting[pool] = kept

    def _slot_times(self, upstream: FakeUpstream, now_ms: int) -> list[int]:
        busy = list(self.busy_until[upstream.name].values())
        times = [now_ms] * (upstream.slots - len(busy)) + busy
        heapq.heapify(times)
        return times

    def _kept_slots(self, job: Job) -> int:
        return KEPT_SLOTS if job.kind in (TRAINING, LONG) else 0

    def _earliest(
        self, job: Job, agents: list[FakeAgent], slots: dict[str, list[int]]
    ) -> tuple[FakeAgent, int, int]:
        best: tuple[int, int, FakeAgent] | None = None
        for agent in agents:
            start_ms = slots[agent.upstream.name][0]
            done_ms = self._finish_ms(job, agent.upstream, start_ms)
            if best is None or done_ms < best[0]:
                best = (done_ms, start_ms, agent)
        assert best is not None
        return best[2], best[1], best[0]

    def _finish_ms(self, job: Job, upstream: FakeUpstream, start_ms: int) -> int:
        hop_ms = self.world.deployment.zone_ms
        if upstream.region != self.world.deployment.sites[job.entry].region:
            hop_ms = self.world.deployment.region_ms
        return upstream.finish_ms(start_ms + hop_ms, job.stream_ms) + hop_ms

    def _run(self, job: Job, agent: FakeAgent) -> None:
        hop_ms = self.world.hop_ms(job.entry, agent)
        upstream = agent.upstream
        attempt = Attempt(job.name, job, upstream.name, self, hop_ms)
        if upstream.region != self.world.deployment.sites[job.entry].region:
            self.world.measures.counts["region_bytes"] += job.transfer_bytes
        now_ms = self.world.loop.clock.now_ms()
        start_ms = now_ms + hop_ms
        attempt.started_ms = start_ms
        job.note_start(start_ms)
        prefill_ms = upstream.prefill_ms(job.kind.prompt_tokens, job.prefix, now_ms)
        done_ms = upstream.finish_ms(start_ms, prefill_ms + job.stream_ms)
        attempt.version = self.world.versions.serving(start_ms, upstream.name)
        self.busy_until[upstream.name][job.name] = done_ms
        self.world.loop.at(done_ms, self._release, attempt)
        self.world.loop.at(done_ms + hop_ms, self.finished, attempt)

    def _release(self, attempt: Attempt) -> None:
        del self.busy_until[attempt.agent][attempt.job.name]
        self._dispatch(attempt.job.kind.pool)
