"""Trainers that request the next step while they train on the last one."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from ..outcomes import RequestClass
from .events import EventLoop
from .idle import SampleTimes, split_idle
from .measures import Measures
from .versions import STALENESS_BOUND, Versions
from .workload import SAMPLES_PER_GROUP, SAMPLES_PER_STEP, TRAINING, Job, make_engine_job


class Trainer:
    """Wait for a step's samples, train on them for a fixed time, and measure the idle time."""

    def __init__(
        self,
        name: str,
        seed: int,
        entry: int,
        period_ms: int,
        loop: EventLoop,
        versions: Versions,
        measures: Measures,
        start: Callable[[Job], None],
        measured_from_ms: int,
    ) -> None:
        self.name = name
        self.seed = seed
        self.entry = entry
        self.period_ms = period_ms
        self.loop = loop
        self.versions = versions
        self.measures = measures
        self.start = start
        self.measured_from_ms = measured_from_ms
        self.step = 0
        self.samples: dict[int, int] = {}
        self.times: dict[int, SampleTimes] = {}
        self.complete_times: tuple[SampleTimes, ...] = ()
        self.requested_ms = 0
        self.generation = 0
        self.idle_since_ms: int | None = 0

    def request_step(self) -> None:
        """Request all samples of the next step."""
        self.step += 1
        self.samples = {}
        self.times = {}
        self.complete_times = ()
        self.requested_ms = self.loop.clock.now_ms()
        for slot in range(SAMPLES_PER_STEP):
            self.request_sample(slot, 0)

    def request_sample(self, slot: int, generation: int) -> None:
        """Request one sample; sizes depend on the seed and not on the policy."""
        name = f"{self.name}-{self.step}-{slot}-{generation}"
        rng = random.Random(f"{self.seed}-{name}")
        now_ms = self.loop.clock.now_ms()
        job = make_engine_job(rng, TRAINING, RequestClass.TRAINING, name, self.entry, now_ms)
        job.prefix = f"{self.name}-{self.step}-{slot // SAMPLES_PER_GROUP}"
        job.tenant = self.name
        self.start(job)

    def sample_done(self, job: Job, version: int, times: SampleTimes) -> None:
        """Take a sample and train when the step is complete."""
        _, step, slot, _ = job.name.rsplit("-", 3)
        assert int(step) == self.step
        self.samples[int(slot)] = version
        self.times[int(slot)] = times
        if self.idle_since_ms is not None:
            self._train_if_complete()

    def sample_refused(self, job: Job, retry_after_ms: int) -> None:
        """Request a refused sample again after the time the system named."""
        _, step, slot, generation = job.name.rsplit("-", 3)
        assert int(step) == self.step
        self.loop.after(retry_after_ms, self.request_sample, int(slot), int(generation) + 1)

    def account_idle(self, until_ms: int, open_samples: Sequence[Job]) -> None:
        """Count idle time that is still open at the end of the run."""
        if self.idle_since_ms is None:
            return
        if not self.complete_times:
            cut = [_cut_off(job, until_ms) for job in open_samples]
            self.complete_times = (*self.times.values(), *cut)
        self._count_idle(until_ms)

    def _train_if_complete(self) -> None:
        if len(self.samples) < SAMPLES_PER_STEP:
            return
        if not self.complete_times:
            self.complete_times = tuple(self.times.values())
        now_ms = self.loop.clock.now_ms()
        newest = self.versions.newest(now_ms)
        stale = [s for s, v in self.samples.items() if newest - v > STALENESS_BOUND]
        if stale:
            self._regenerate(stale)
            return
        self._count_idle(now_ms)
        self.idle_since_ms = None
        if now_ms >= self.measured_from_ms:
            self._count_step(newest)
        self.loop.after(self.period_ms, self._trained)
        self.request_step()

    def _regenerate(self, slots: list[int]) -> None:
        self.measures.counts["stale_regenerated"] += len(slots)
        self.generation += 1
        for slot in slots:
            del self.samples[slot]
            self.request_sample(slot, 1_000 * self.generation)

    def _count_step(self, newest: int) -> None:
        self.measures.counts["steps"] += 1
        self.measures.training_ms += self.period_ms
        for version in self.samples.values():
            age = newest - version
            self.measures.staleness[age] += 1
            if age > STALENESS_BOUND:
                self.measures.counts["stale_delivered"] += 1

    def _count_idle(self, now_ms: int) -> None:
        assert self.idle_since_ms is not None
        since_ms = max(self.measured_from_ms, self.idle_since_ms)
        idle_ms = max(0, now_ms - since_ms)
        self.measures.idle_ms += idle_ms
        parts = split_idle(self.complete_times, self.requested_ms, since_ms, now_ms)
        self.measures.idle_parts.update(parts)

    def _trained(self) -> None:
        self.idle_since_ms = self.loop.clock.now_ms()
        self._train_if_complete()


def _cut_off(job: Job, until_ms: int) -> SampleTimes:
    started_ms = until_ms if job.started_ms is None else job.started_ms
    return SampleTimes(started_ms, started_ms, job.stream_ms, until_ms)
