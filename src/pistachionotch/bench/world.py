"""One benchmark run: a deployment, its load, and the policy that dispatches the work."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from ..clock import ManualClock
from .agents import Attempt, FakeAgent, Queue
from .deployments import Deployment
from .events import EventLoop
from .idle import SampleTimes
from .measures import Measures
from .trainers import Trainer
from .upstreams import FakeUpstream, make_upstreams, stream_time_ms
from .versions import make_versions
from .workload import TRAINING, Job, open_arrivals, step_period_ms

WARM_UP_MS = 30_000
DRAIN_MS = 60_000
SUBMIT_BYTES = 200


class Dispatcher(Protocol):
    """Bring jobs to agents."""

    def start(self, job: Job) -> None:
        """Take a new job."""


QueueFactory = Callable[[ManualClock, FakeUpstream], Queue]
DispatcherFactory = Callable[["World"], Dispatcher]


class World:
    """Own the fakes and the measures of one run."""

    def __init__(
        self,
        deployment: Deployment,
        load: float,
        seed: int,
        duration_ms: int,
        make_queue: QueueFactory,
        make_dispatcher: DispatcherFactory,
    ) -> None:
        self.deployment = deployment
        self.seed = seed
        self.end_ms = WARM_UP_MS + duration_ms
        self.loop = EventLoop()
        self.measures = Measures()
        last_ms = self.end_ms + DRAIN_MS
        self.upstreams = make_upstreams(deployment, random.Random(f"{seed}-slow"), last_ms)
        names = [upstream.name for upstream in self.upstreams]
        self.versions = make_versions(random.Random(f"{seed}-versions"), names, last_ms)
        self.rng = random.Random(f"{seed}-policy")
        self.agents = {
            upstream.name: FakeAgent(
                self.loop, upstream, make_queue(self.loop.clock, upstream), self.versions
            )
            for upstream in self.upstreams
        }
        self.pools: dict[str, list[FakeAgent]] = {}
        for agent in self.agents.values():
            self.pools.setdefault(agent.upstream.pool, []).append(agent)
        self.open_jobs: dict[str, Job] = {}
        self.dispatcher = make_dispatcher(self)
        arrivals = open_arrivals(deployment, load, random.Random(f"{seed}-jobs"), self.end_ms)
        for job in arrivals:
            self.loop.at(job.arrived_ms, self.start, job)
        self.trainers = self._make_trainers(step_period_ms(deployment, load))

    def run(self) -> Measures:
        """Run to the end, let open work drain, and return the measures."""
        for trainer in self.trainers.values():
            self.loop.at(0, trainer.request_step)
        self.loop.run(self.end_ms)
        for trainer in self.trainers.values():
            samples = [job for job in self.open_jobs.values() if job.tenant == trainer.name]
            trainer.account_idle(self.end_ms, samples)
        self.trainers = {}
        self.loop.run(self.end_ms + DRAIN_MS)
        for upstream in self.upstreams:
            self.measures.counts["prefix_lookups"] += upstream.lookups
            self.measures.counts["prefix_hits"] += upstream.hits
        for job in list(self.open_jobs.values()):
            self._record(job, self.end_ms + DRAIN_MS)
        return self.measures

    def start(self, job: Job) -> None:
        """Bring a job into the system."""
        job.slowed = any(
            agent.upstream.slowed(job.arrived_ms) for agent in self.pools[job.kind.pool]
        )
        self.open_jobs[job.name] = job
        if self._measured(job):
            self.measures.counts[f"{job.kind.name}_offered"] += 1
        self.dispatcher.start(job)

    def hop_ms(self, entry: int, agent: FakeAgent) -> int:
        """Return the one-way delay between an entry and an agent."""
        if agent.upstream.region != self.deployment.sites[entry].region:
            return self.deployment.region_ms
        return self.deployment.zone_ms

    def send(self, attempt: Attempt) -> None:
        """Submit an attempt; the bytes of work in another region count."""
        agent = self.agents[attempt.agent]
        self.count_control(1, SUBMIT_BYTES)
        if agent.upstream.region != self.deployment.sites[attempt.job.entry].region:
            self.measures.counts["region_bytes"] += attempt.job.transfer_bytes
        self.loop.after(attempt.hop_ms, agent.submit, attempt)

    def count_control(self, messages: int, size: int) -> None:
        """Count messages that carry no bodies, and their bytes in total."""
        self.measures.counts["control_messages"] += messages
        self.measures.counts["control_bytes"] += size

    def complete(self, job: Job, attempt: Attempt) -> None:
        """Record the complete response of a job."""
        now_ms = self.loop.clock.now_ms()
        del self.open_jobs[job.name]
        job.done = True
        if job.kind is TRAINING:
            self._count_goodput(job, now_ms)
            trainer = self.trainers.get(job.tenant)
            if trainer is not None:
                trainer.sample_done(job, attempt.version, self._sample_times(attempt, now_ms))
            return
        self._record(job, now_ms)

    def give_up(self, job: Job, retry_after_ms: int) -> None:
        """Record a final refusal; a trainer asks again, other callers do not."""
        del self.open_jobs[job.name]
        job.done = True
        if job.kind is TRAINING:
            self.measures.counts["sample_refusals"] += 1
            trainer = self.trainers.get(job.tenant)
            if trainer is not None:
                trainer.sample_refused(job, retry_after_ms)
            return
        if not self._measured(job):
            return
        self.measures.counts[f"{job.kind.name}_refused"] += 1
        # A refusal counts as the whole deadline, so that refusing cannot improve the tail.
        self.measures.record(job.kind.name, job.kind.deadline_ms, job.slowed)

    def _record(self, job: Job, now_ms: int) -> None:
        if job.kind is TRAINING or not self._measured(job):
            return
        elapsed_ms = now_ms - job.arrived_ms + 2 * self.deployment.client_ms
        self.measures.record(job.kind.name, elapsed_ms, job.slowed)
        if elapsed_ms <= job.kind.deadline_ms:
            self._count_goodput(job, now_ms)
        else:
            self.measures.counts[f"{job.kind.name}_missed"] += 1

    def _sample_times(self, attempt: Attempt, now_ms: int) -> SampleTimes:
        upstream = self.agents[attempt.agent].upstream
        work_ms = upstream.work_ms(attempt.started_ms, now_ms - attempt.hop_ms)
        work_ms += stream_time_ms(attempt.kept_tokens)
        started_ms = attempt.job.started_ms
        assert started_ms is not None
        return SampleTimes(started_ms, attempt.first_started_ms, work_ms, now_ms)

    def _count_goodput(self, job: Job, now_ms: int) -> None:
        if WARM_UP_MS <= now_ms <= self.end_ms:
            self.measures.counts["goodput_tokens"] += job.tokens

    def _measured(self, job: Job) -> bool:
        return WARM_UP_MS <= job.arrived_ms <= self.end_ms

    def _make_trainers(self, period_ms: int) -> dict[str, Trainer]:
        trainers = {}
        for number in range(self.deployment.trainers):
            name = f"trainer{number}"
            trainers[name] = Trainer(
                name=name,
                seed=self.seed,
                entry=number % len(self.deployment.sites),
                period_ms=period_ms,
                loop=self.loop,
                versions=self.versions,
                measures=self.measures,
                start=self.start,
                measured_from_ms=WARM_UP_MS,
            )
        return trainers
