"""Admission queue of one upstream: earliest deadline first, without unmeetable deadlines."""

from __future__ import annotations

import math
from bisect import insort

import attrs

from ..clock import Clock, Deadline
from ..outcomes import Execution, RequestClass
from .limit import ConcurrencyLimit
from .load import LoadReport, RunResult, SpeedEstimate, StreamProgress
from .shares import SHORT_CLASSES, ClassShares
from .wait import estimate_wait_ms

MIN_RETRY_AFTER_MS = 100
# Bounds the agent's memory; in normal operation, deadlines keep the queue far shorter.
MAX_QUEUED = 2_000
MIN_RESIDUAL_MS = 50
# A trainer needs the samples of its next step when it has trained on the last one, after about this
# time; their deadline is minutes later. Until then, training work precedes long work whose deadline
# is minutes away.
TRAINING_DUE_MS = 40_000
# The remaining work of a straggler, a run beyond its estimate, is taken as this share of its work
# so far.
OVERRUN_SHARE = 0.6


@attrs.frozen
class QueuedWork:
    """An attempt that waits for a slot; ``tenant`` names the trainer, if any.

    ``continues`` says that the attempt resumes a stream of another agent.
    """

    attempt: str
    request_class: RequestClass
    deadline: Deadline
    expected_tokens: int
    arrived_ms: int
    tenant: str = ""
    continues: bool = False


@attrs.frozen
class Admitted:
    """Answer to work that was accepted into the queue."""

    attempt: str
    expected_wait_ms: int
    reason: str


@attrs.frozen
class RefusedWork:
    """Answer to work that was refused; it has not run."""

    attempt: str
    reason: str
    retry_after_ms: int
    execution: Execution = Execution.NOT_RUN


@attrs.frozen
class DuplicateWork:
    """Answer to an attempt that is already queued or running, and stays so."""

    attempt: str
    reason: str


@attrs.frozen
class ExpiredWork:
    """Queued work that can no longer meet its deadline and was removed; it has not run."""

    work: QueuedWork
    reason: str
    retry_after_ms: int
    execution: Execution = Execution.NOT_RUN


@attrs.frozen
class CancelledWork:
    """Answer to a cancellation: whether the attempt was queued, running or unknown."""

    attempt: str
    was_queued: bool
    was_running: bool
    reason: str


@attrs.frozen
class _Running:
    work: QueuedWork
    started_ms: int
    progress: StreamProgress = attrs.field(factory=StreamProgress)


def _due_ms(request_class: RequestClass, arrived_ms: int, deadline: Deadline) -> int:
    """Return the time by which work of different classes is ordered."""
    if request_class is RequestClass.TRAINING:
        return min(deadline.at_ms, arrived_ms + TRAINING_DUE_MS)
    return deadline.at_ms


def _queue_order(work: QueuedWork) -> tuple[bool, int, int, str]:
    # A resumed stream has given up a slot at another agent, and its training step waits for it.
    return (not work.continues, work.deadline.at_ms, work.arrived_ms, work.attempt)


class AdmissionQueue:
    """The queue and the slots of one upstream; not thread-safe, so only one task may use it."""

    def __init__(
        self,
        clock: Clock,
        limit: ConcurrencyLimit,
        shares: ClassShares,
        max_queued: int = MAX_QUEUED,
    ) -> None:
        self.clock = clock
        self.max_queued = max_queued
        self.limit = limit
        self.shares = shares
        self.speed = SpeedEstimate()
        self.draining = False
        self.serving_versions: tuple[int, ...] = ()
        self.versions_observed_ms = clock.now_ms()
        self.queued: dict[RequestClass, dict[str, list[QueuedWork]]] = {
            request_class: {} for request_class in RequestClass
        }
        self.queued_attempts: dict[str, QueuedWork] = {}
        self.running: dict[str, _Running] = {}
        self.running_counts: dict[RequestClass, int] = dict.fromkeys(RequestClass, 0)
        self.passes: dict[RequestClass, int] = dict.fromkeys(RequestClass, 0)
        self.served_tokens: dict[str, int] = {}
        self.tenant_work_counts: dict[str, int] = {}

    def offer(self, work: QueuedWork) -> Admitted | RefusedWork | DuplicateWork:
        """Admit work, or refuse it at once if its deadline cannot be met."""
        if work.attempt in self.queued_attempts or work.attempt in self.running:
            return DuplicateWork(work.attempt, "attempt is already queued or running")
        wait_ms = self.expected_wait_ms(work.request_class, work.deadline)
        refusal = self._refusal(work, wait_ms)
        if refusal is not None:
            return refusal
        self._enqueue(work)
        return Admitted(work.attempt, wait_ms, f"deadline can be met after {wait_ms} ms in queue")

    def start_next(self) -> tuple[QueuedWork | None, tuple[ExpiredWork, ...]]:
        """Start the next work that has a slot; also return the expired work, to be answered now."""
        expired = self._expire()
        request_class = self._choose_class()
        if request_class is None:
            return None, expired
        work = self._head(request_class)
        assert work is not None
        self._count_passes(request_class)
        self._remove(work)
        self.running[work.attempt] = _Running(work, self.clock.now_ms())
        self.running_counts[work.request_class] += 1
        return work, expired

    def finish(self, attempt: str, result: RunResult) -> None:
        """Free the slot of a run and record its measurements; ignore an unknown attempt."""
        run = self.running.get(attempt)
        if run is None:
            return
        self.limit.observe(result, len(self.running))
        self.speed.observe(result, self.clock.now_ms(), run.progress.measured)
        self._charge(run.work.tenant, result.tokens - run.work.expected_tokens)
        self._release(run)

    def record_progress(self, attempt: str, tokens: int) -> None:
        """Update the speed from the number of tokens that an open stream has produced so far."""
        run = self.running.get(attempt)
        if run is None:
            return
        now_ms = self.clock.now_ms()
        speed = run.progress.advance(tokens, now_ms)
        if speed is not None:
            self.speed.observe_progress(speed, now_ms)

    def cancel(self, attempt: str) -> CancelledWork:
        """Remove queued work; running work keeps its slot until ``finish`` is called."""
        work = self.queued_attempts.get(attempt)
        if work is not None:
            self._remove(work, charge=False)
            return CancelledWork(attempt, True, False, "cancelled while queued, not run")
        if attempt in self.running:
            return CancelledWork(attempt, False, True, "cancelled while running")
        return CancelledWork(attempt, False, False, "attempt is neither queued nor running")

    def drain(self) -> None:
        """Refuse all new work from now on; queued and running work is still served."""
        self.draining = True

    def observe_versions(self, versions: tuple[int, ...]) -> None:
        """Record the versions that the upstream serves, as observed just now."""
        self.serving_versions = versions
        self.versions_observed_ms = self.clock.now_ms()

    def next_expiry_ms(self) -> int | None:
        """Return when to call ``start_next`` for expired work, even if no slot becomes free."""
        starts = [latest_start_ms for latest_start_ms, _ in self._latest_starts_ms()]
        return math.floor(min(starts)) + 1 if starts else None

    def report_load(self) -> LoadReport:
        """Return the load report for the heartbeat."""
        now_ms = self.clock.now_ms()
        far_deadline = Deadline(now_ms + 2**40)
        return LoadReport(
            queued={name: self._queued_count(name) for name in RequestClass},
            running=dict(self.running_counts),
            expected_wait_ms={
                name: self.expected_wait_ms(name, far_deadline) for name in RequestClass
            },
            limit=self.limit.value,
            tokens_per_second=self.speed.tokens_per_second.value,
            speed_age_ms=self.speed.tokens_per_second.age_ms(now_ms),
            time_to_first_token_ms=round(self.speed.first_token_ms.value),
            first_token_age_ms=self.speed.first_token_ms.age_ms(now_ms),
            serving_versions=self.serving_versions,
            versions_age_ms=now_ms - self.versions_observed_ms,
            draining=self.draining,
        )

    def expected_wait_ms(self, request_class: RequestClass, deadline: Deadline) -> int:
        """Estimate how long work of this class and deadline would wait in the queue."""
        limit = self.limit.value
        ahead = self._ahead_ms(request_class, deadline)
        return estimate_wait_ms(
            free_slots=self.shares.free_slots(request_class, self.running_counts, limit),
            residuals_ms=self._residuals_ms(request_class),
            slots=self.shares.ceiling(request_class, limit),
            ahead_ms=ahead,
        )

    def _refusal(self, work: QueuedWork, wait_ms: int) -> RefusedWork | None:
        if self.draining:
            return RefusedWork(work.attempt, "agent is draining", MIN_RETRY_AFTER_MS)
        remaining_ms = work.deadline.remaining_ms(self.clock)
        if remaining_ms <= 0:
            return RefusedWork(
                work.attempt, "deadline has passed", max(MIN_RETRY_AFTER_MS, wait_ms)
            )
        if len(self.queued_attempts) >= self.max_queued:
            return RefusedWork(work.attempt, "queue is full", max(MIN_RETRY_AFTER_MS, wait_ms))
        required_ms = wait_ms + self._service_ms(work)
        if required_ms <= remaining_ms:
            return None
        reason = f"needs {required_ms} ms but has {remaining_ms} ms left"
        return RefusedWork(
            work.attempt, reason, max(MIN_RETRY_AFTER_MS, required_ms - remaining_ms)
        )

    def _service_ms(self, work: QueuedWork) -> int:
        first_ms, token_ms = self._recent_speed()
        return round(first_ms + work.expected_tokens * token_ms)

    def _recent_speed(self) -> tuple[float, float]:
        # Without a recent observation, no work is refused for its run time, as only a run can show
        # that a slowdown is over.
        if not self.speed.is_recent(self.clock.now_ms()):
            return 0.0, 0.0
        return self.speed.first_token_ms.value, self.speed.ms_per_token()

    def _latest_starts_ms(self) -> list[tuple[float, QueuedWork]]:
        first_ms, token_ms = self._recent_speed()
        return [
            (work.deadline.at_ms - first_ms - work.expected_tokens * token_ms, work)
            for work in self.queued_attempts.values()
        ]

    def _expire(self) -> tuple[ExpiredWork, ...]:
        now_ms = self.clock.now_ms()
        late = [
            work for latest_start_ms, work in self._latest_starts_ms() if latest_start_ms < now_ms
        ]
        expired = []
        for work in late:
            self._remove(work, charge=False)
            waited_ms = now_ms - work.arrived_ms
            retry_ms = self.expected_wait_ms(work.request_class, work.deadline)
            reason = f"deadline can no longer be met after {waited_ms} ms in queue"
            expired.append(ExpiredWork(work, reason, max(MIN_RETRY_AFTER_MS, retry_ms)))
        return tuple(expired)

    def _choose_class(self) -> RequestClass | None:
        limit = self.limit.value
        best: RequestClass | None = None
        best_order: tuple[bool, int] = (False, 0)
        for request_class in RequestClass:
            head = self._head(request_class)
            if head is None:
                continue
            if not self.shares.free_slots(request_class, self.running_counts, limit):
                continue
            overdue = self.passes[request_class] >= self.shares.max_passes
            due_ms = _due_ms(request_class, head.arrived_ms, head.deadline)
            order = (not overdue, due_ms)
            if best is None or order < best_order:
                best, best_order = request_class, order
        return best

    def _count_passes(self, chosen: RequestClass) -> None:
        for request_class in RequestClass:
            if request_class is chosen or not self.queued[request_class]:
                self.passes[request_class] = 0
            elif self.shares.free_slots(request_class, self.running_counts, self.limit.value):
                self.passes[request_class] += 1

    def _head(self, request_class: RequestClass) -> QueuedWork | None:
        tenants = self.queued[request_class]
        if not tenants:
            return None
        heads = {name: works[0] for name, works in tenants.items()}
        tenant = min(
            heads, key=lambda name: (not heads[name].continues, self.served_tokens[name], name)
        )
        return heads[tenant]

    def _enqueue(self, work: QueuedWork) -> None:
        tenants = self.queued[work.request_class]
        self._adjust_tenant_count(work.tenant, 1)
        insort(tenants.setdefault(work.tenant, []), work, key=_queue_order)
        self.queued_attempts[work.attempt] = work

    def _remove(self, work: QueuedWork, charge: bool = True) -> None:
        tenants = self.queued[work.request_class]
        tenants[work.tenant].remove(work)
        if not tenants[work.tenant]:
            del tenants[work.tenant]
        del self.queued_attempts[work.attempt]
        if charge:
            self._charge(work.tenant, work.expected_tokens)
        else:
            self._adjust_tenant_count(work.tenant, -1)

    def _release(self, run: _Running) -> None:
        del self.running[run.work.attempt]
        self.running_counts[run.work.request_class] -= 1
        self._adjust_tenant_count(run.work.tenant, -1)

    def _adjust_tenant_count(self, tenant: str, change: int) -> None:
        active = self.tenant_work_counts.get(tenant, 0)
        if not active:
            # A tenant without work gains no credit: it starts level with the least served tenant.
            floor = min((self.served_tokens[name] for name in self.tenant_work_counts), default=0)
            self.served_tokens[tenant] = floor
        self.tenant_work_counts[tenant] = active + change
        if not self.tenant_work_counts[tenant]:
            del self.tenant_work_counts[tenant]
            del self.served_tokens[tenant]

    def _charge(self, tenant: str, tokens: int) -> None:
        self.served_tokens[tenant] += tokens

    def _ahead_ms(self, request_class: RequestClass, deadline: Deadline) -> list[int]:
        # Background work does not delay short work, which has reserved slots.
        short = request_class in SHORT_CLASSES
        due_ms = _due_ms(request_class, self.clock.now_ms(), deadline)
        ahead = []
        for work in self.queued_attempts.values():
            if (work.request_class in SHORT_CLASSES) is not short:
                continue
            if _due_ms(work.request_class, work.arrived_ms, work.deadline) <= due_ms:
                ahead.append(self.speed.service_ms(work.expected_tokens))
        return ahead

    def _residuals_ms(self, request_class: RequestClass) -> list[int]:
        competing = self.shares.competing(request_class, self.running_counts, self.limit.value)
        now_ms = self.clock.now_ms()
        residuals = []
        for run in self.running.values():
            if run.work.request_class not in competing:
                continue
            residuals.append(self._residual_ms(run, now_ms))
        return residuals

    def _residual_ms(self, run: _Running, now_ms: int) -> int:
        expected = run.work.expected_tokens
        if run.progress.measured:
            tokens = run.progress.tokens
            left_tokens = max(expected - tokens, OVERRUN_SHARE * tokens)
            return max(MIN_RESIDUAL_MS, round(left_tokens * self.speed.ms_per_token()))
        elapsed_ms = now_ms - run.started_ms
        left_ms = max(self.speed.service_ms(expected) - elapsed_ms, OVERRUN_SHARE * elapsed_ms)
        return max(MIN_RESIDUAL_MS, round(left_ms))

    def _queued_count(self, request_class: RequestClass) -> int:
        return sum(len(works) for works in self.queued[request_class].values())
