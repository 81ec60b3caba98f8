"""Fake agents: a queue in front of a fake upstream, with lagging load reports."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs

from ..admission.limit import ConcurrencyLimit
from ..admission.load import LoadReport, RunResult
from ..admission.queue import (
    AdmissionQueue,
    Admitted,
    CancelledWork,
    DuplicateWork,
    ExpiredWork,
    QueuedWork,
    RefusedWork,
)
from ..admission.shares import ClassShares
from ..clock import Deadline, ManualClock
from ..outcomes import RequestClass
from ..prefixes.cache_estimate import CacheReport
from ..prefixes.reports import CacheReporter
from ..prefixes.view import PrefixCacheUsage
from .deployments import ENGINE_POOL
from .events import EventLoop
from .upstreams import PREFILL_TOKENS_PER_MS, TOKENS_PER_SECOND, FakeUpstream, stream_time_ms
from .versions import Versions
from .workload import SERVICE, Job, left_tokens

EXPIRY_TICK_MS = 100
HEARTBEAT_MS = 2_000
# Pieces arrive all the time; the fakes sum them up to keep the number of events low.
PROGRESS_MS = 500


class Queue(Protocol):
    """Give what the fake agents need from a queue."""

    def offer(self, work: QueuedWork) -> Admitted | RefusedWork | DuplicateWork:
        """Take work or refuse it."""

    def start_next(self) -> tuple[QueuedWork | None, tuple[ExpiredWork, ...]]:
        """Hand out work that has a slot."""

    def finish(self, attempt: str, facts: RunResult) -> None:
        """Free a slot."""

    def cancel(self, attempt: str) -> CancelledWork:
        """Remove queued work."""

    def report_load(self) -> LoadReport:
        """Return what the heartbeat carries."""


class FifoQueue:
    """Serve first come, first served, as an engine's own queue does; refuse nothing."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.waiting: deque[QueuedWork] = deque()
        self.running: set[str] = set()

    def offer(self, work: QueuedWork) -> Admitted | RefusedWork | DuplicateWork:
        """Take all work."""
        self.waiting.append(work)
        return Admitted(work.attempt, 0, "first come, first served")

    def start_next(self) -> tuple[QueuedWork | None, tuple[ExpiredWork, ...]]:
        """Hand out the oldest work."""
        if not self.waiting or len(self.running) >= self.slots:
            return None, ()
        work = self.waiting.popleft()
        self.running.add(work.attempt)
        return work, ()

    def finish(self, attempt: str, facts: RunResult) -> None:
        """Free a slot."""
        self.running.discard(attempt)

    def cancel(self, attempt: str) -> CancelledWork:
        """Tell only where the attempt is; the baselines cancel nothing."""
        return CancelledWork(attempt, False, attempt in self.running, "not cancelled")

    def report_load(self) -> LoadReport:
        """Return the queue length and the running count."""
        return LoadReport(
            queued={RequestClass.TRAINING: len(self.waiting)},
            running={RequestClass.TRAINING: len(self.running)},
            expected_wait_ms={},
            limit=self.slots,
        )


class Caller(Protocol):
    """Receive what becomes of an attempt."""

    def refused(self, attempt: Attempt, reason: str, retry_after_ms: int) -> None:
        """Handle a refusal; the attempt was not run."""

    def withdrawn(self, attempt: Attempt) -> None:
        """Handle an attempt given back before it started."""

    def first_token(self, attempt: Attempt) -> None:
        """Handle the first piece."""

    def progress(self, attempt: Attempt, tokens: int) -> None:
        """Handle the pieces so far."""

    def finished(self, attempt: Attempt) -> None:
        """Handle the complete response."""


@attrs.frozen
class KeptStream:
    """Hold what an entry has of a stream that another attempt continues."""

    tokens: int
    started_ms: int
    version: int


@attrs.define(eq=False)
class Attempt:
    """Carry one attempt of a job at one agent; ``hop_ms`` is the one-way delay to its entry."""

    name: str
    job: Job
    agent: str
    caller: Caller
    hop_ms: int
    number: int = 1
    version: int = 0
    started_ms: int = 0
    streaming: bool = False
    streamed_ms: float = 0.0
    cancelled: bool = False
    kept: KeptStream | None = None

    @property
    def kept_tokens(self) -> int:
        """Return the tokens of the stream that this attempt continues."""
        return 0 if self.kept is None else self.kept.tokens

    @property
    def first_started_ms(self) -> int:
        """Return when the stream started that this attempt produces or continues."""
        return self.started_ms if self.kept is None else self.kept.started_ms

    @property
    def expected_tokens(self) -> int:
        """Return what the caller expects of this attempt."""
        return left_tokens(self.job, self.kept_tokens)


class FakeAgent:
    """Queue attempts, run them on the upstream and answer after one hop."""

    def __init__(
        self, loop: EventLoop, upstream: FakeUpstream, queue: Queue, versions: Versions
    ) -> None:
        self.loop = loop
        self.upstream = upstream
        self.queue = queue
        self.versions = versions
        self.attempts: dict[str, Attempt] = {}
        self.ticking = False
        self.report = queue.report_load()
        self.reported_ms = 0
        self.cache = CacheReporter()
        # One for each entry, which takes the reports on cached prefixes.
        self.listeners: list[Callable[[CacheReport], None]] = []
        self.observer = queue if isinstance(queue, AdmissionQueue) else None

    def submit(self, attempt: Attempt) -> None:
        """Offer an attempt to the queue."""
        job = attempt.job
        work = QueuedWork(
            attempt=attempt.name,
            request_class=job.request_class,
            deadline=Deadline(job.deadline_ms),
            expected_tokens=attempt.expected_tokens,
            arrived_ms=self.loop.clock.now_ms(),
            tenant=job.tenant,
            continues=attempt.kept is not None,
        )
        answer = self.queue.offer(work)
        if isinstance(answer, RefusedWork):
            self._refuse(attempt, answer.reason, answer.retry_after_ms)
            return
        self.attempts[attempt.name] = attempt
        self.pump()

    def cancel(self, attempt: Attempt) -> None:
        """Drop an attempt, queued or running."""
        outcome = self.queue.cancel(attempt.name)
        if self.attempts.pop(attempt.name, None) is None:
            return
        attempt.cancelled = True
        if outcome.was_running:
            self.queue.finish(attempt.name, RunResult(None, 0, 0, succeeded=False))
            self.pump()

    def withdraw(self, attempt: Attempt) -> None:
        """Give back an attempt that has not started; one that has started goes on."""
        if attempt.name in self.attempts and self.queue.cancel(attempt.name).was_queued:
            del self.attempts[attempt.name]
            self.loop.after(attempt.hop_ms, attempt.caller.withdrawn, attempt)

    def pump(self) -> None:
        """Start all work that has a slot and answer expired work."""
        while True:
            work, expired = self.queue.start_next()
            for late in expired:
                attempt = self.attempts.pop(late.work.attempt)
                self._refuse(attempt, late.reason, late.retry_after_ms)
            if work is None:
                break
            self.run(self.attempts[work.attempt])
        self._tick_while_queued()

    def run(self, attempt: Attempt) -> None:
        """Start an attempt on the upstream."""
        now_ms = self.loop.clock.now_ms()
        job = attempt.job
        prefill_ms = self.upstream.prefill_ms(job.kind.prompt_tokens, job.prefix, now_ms)
        prefill_ms += attempt.kept_tokens / PREFILL_TOKENS_PER_MS
        stream_ms = max(1.0, job.stream_ms - stream_time_ms(attempt.kept_tokens))
        attempt.started_ms = now_ms
        job.note_start(now_ms)
        attempt.version = self.versions.serving(now_ms, self.upstream.name)
        if attempt.kept is not None:
            attempt.version = min(attempt.version, attempt.kept.version)
        done_ms = self.upstream.finish_ms(now_ms, prefill_ms + stream_ms)
        first_ms = done_ms
        if job.kind is not SERVICE:
            first_ms = self.upstream.finish_ms(now_ms, prefill_ms)
        self.loop.at(first_ms, self._first_token, attempt)
        self.loop.at(done_ms, self._done, attempt, first_ms - now_ms)

    def start_heartbeats(self, offset_ms: int) -> None:
        """Send a report now and then every heartbeat interval."""
        self.loop.after(offset_ms, self._heartbeat)
        if self.observer is not None and self.upstream.pool == ENGINE_POOL:
            self.loop.after(PROGRESS_MS, self._progress, self.observer)

    def _heartbeat(self) -> None:
        self.report = self.queue.report_load()
        now_ms = self.reported_ms = self.loop.clock.now_ms()
        self._report_cache(now_ms)
        self.loop.after(HEARTBEAT_MS, self._heartbeat)

    def _report_cache(self, now_ms: int) -> None:
        page = self.upstream.cache_events(now_ms)
        if page.events:
            self.cache.view.apply_page(page, now_ms)
        for number, listen in enumerate(self.listeners):
            report = self.cache.next_report(number, now_ms)
            if report is not None:
                listen(report)

    def _progress(self, observer: AdmissionQueue) -> None:
        now_ms = self.loop.clock.now_ms()
        window_ms = self.upstream.work_ms(now_ms - PROGRESS_MS, now_ms)
        for attempt in self.attempts.values():
            if not attempt.streaming:
                continue
            attempt.streamed_ms += window_ms
            tokens = round(attempt.streamed_ms * TOKENS_PER_SECOND / 1_000)
            observer.record_progress(attempt.name, tokens)
            self.loop.after(attempt.hop_ms, attempt.caller.progress, attempt, tokens)
        self.loop.after(PROGRESS_MS, self._progress, observer)

    def _first_token(self, attempt: Attempt) -> None:
        if not attempt.cancelled:
            attempt.streaming = attempt.job.kind is not SERVICE
            self.loop.after(attempt.hop_ms, attempt.caller.first_token, attempt)

    def _done(self, attempt: Attempt, first_token_ms: int) -> None:
        if attempt.cancelled:
            return
        duration_ms = self.loop.clock.now_ms() - attempt.started_ms
        job = attempt.job
        use = PrefixCacheUsage(job.prefix, job.kind.prompt_tokens, 0)
        self.cache.view.record_usage(job.prefix.encode(), use)
        tokens = max(0, job.tokens - attempt.kept_tokens)
        facts = RunResult(first_token_ms, tokens, duration_ms)
        self.queue.finish(attempt.name, facts)
        del self.attempts[attempt.name]
        self.loop.after(attempt.hop_ms, attempt.caller.finished, attempt)
        self.pump()

    def _refuse(self, attempt: Attempt, reason: str, retry_after_ms: int) -> None:
        self.loop.after(attempt.hop_ms, attempt.caller.refused, attempt, reason, retry_after_ms)

    def _tick_while_queued(self) -> None:
        if self.observer is None or self.ticking or not self.observer.queued_attempts:
            return
        self.ticking = True
        self.loop.after(EXPIRY_TICK_MS, self._tick)

    def _tick(self) -> None:
        self.ticking = False
        self.pump()


def make_queue(clock: ManualClock, upstream: FakeUpstream) -> AdmissionQueue:
    """Create the real queue with the real shares and a fixed limit."""
    return AdmissionQueue(clock, ConcurrencyLimit.fixed(upstream.slots), ClassShares())
