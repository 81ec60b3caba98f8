"""Admission queue of one upstream: earliest deadline first among what can still be met."""

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
# Bounds the agent's memory; deadlines bound the queue long before in ordinary operation.
MAX_QUEUED = 2_000
MIN_RESIDUAL_MS = 50
# A step is wanted when its trainer has trained on the last one, which takes about this long; its
# deadline is minutes later. Long work, with minutes of time, is served after training until then.
TRAINING_DUE_MS = 40_000
# A run that outlasts its estimate is a straggler: it counts with this share of its work so far.
OVERRUN_SHARE = 0.6


@attrs.frozen
class QueuedWork:
    """Describe one attempt that waits for a slot; ``tenant`` names the trainer, if any.

    ``continues`` says that it goes on with a stream that has left another agent.
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
    """Accept work into the queue."""

    attempt: str
    expected_wait_ms: int
    reason: str


@attrs.frozen
class RefusedWork:
    """Refuse work that was never handed out."""

    attempt: str
    reason: str
    retry_after_ms: int
    execution: Execution = Execution.NOT_RUN


@attrs.frozen
class DuplicateWork:
    """Report an attempt that is already queued or running; nothing changes for it."""

    attempt: str
    reason: str


@attrs.frozen
class ExpiredWork:
    """Return queued work that can no longer meet its deadline; it was never handed out."""

    work: QueuedWork
    reason: str
    retry_after_ms: int
    execution: Execution = Execution.NOT_RUN


@attrs.frozen
class CancelledWork:
    """Tell whether a cancelled attempt was still queued, running or not known."""

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
    """Return the time by which classes are ordered."""
    if request_class is RequestClass.TRAINING:
        return min(deadline.at_ms, arrived_ms + TRAINING_DUE_MS)
    return deadline.at_ms


def _queue_order(work: QueuedWork) -> tuple[bool, int, int, str]:
    # A continued stream has given up a slot elsewhere, and the end of its step waits for it.
    return (not work.continues, work.deadline.at_ms, work.arrived_ms, work.attempt)


class AdmissionQueue:
    """Own the queue and the slots of one upstream; not thread-safe, one task owns it."""

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
        self.versions_seen_ms = clock.now_ms()
        self.queued: dict[RequestClass, dict[str, list[QueuedWork]]] = {
            request_class: {} for request_class in RequestClass
        }
        self.queued_attempts: dict[str, QueuedWork] = {}
        self.running: dict[str, _Running] = {}
        self.running_counts: dict[RequestClass, int] = dict.fromkeys(RequestClass, 0)
        self.passes: dict[RequestClass, int] = dict.fromkeys(RequestClass, 0)
        self.served_tokens: dict[str, int] = {}
        self.tenant_work: dict[str, int] = {}

    def offer(self, work: QueuedWork) -> Admitted | RefusedWork | DuplicateWork:
        """Admit work, or refuse it at once when its deadline cannot be met."""
        if work.attempt in self.queued_attempts or work.attempt in self.running:
            return DuplicateWork(work.attempt, "attempt is already queued or running")
        wait_ms = self.expected_wait_ms(work.request_class, work.deadline)
        refusal = self._refusal(work, wait_ms)
        if refusal is not None:
            return refusal
        self._enqueue(work)
        return Admitted(work.attempt, wait_ms, f"deadline can be met after {wait_ms} ms in queue")

    def start_next(self) -> tuple[QueuedWork | None, tuple[ExpiredWork, ...]]:
        """Hand out the next work that has a slot, and return expired work to be answered now."""
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

    def finish(self, attempt: str, facts: RunResult) -> None:
        """Free the slot of a run and learn from it; an unknown attempt is ignored."""
        run = self.running.get(attempt)
        if run is None:
            return
        self.limit.observe(facts, len(self.running))
        self.speed.observe(facts, self.clock.now_ms(), run.progress.measured)
        self._charge(run.work.tenant, facts.tokens - run.work.expected_tokens)
        self._release(run)

    def record_progress(self, attempt: str, tokens: int) -> None:
        """Learn the present speed from the tokens that an open stream has produced so far."""
        run = self.running.get(attempt)
        if run is None:
            return
        now_ms = self.clock.now_ms()
        speed = run.progress.advance(tokens, now_ms)
        if speed is not None:
            self.speed.observe_progress(speed, now_ms)

    def cancel(self, attempt: str) -> CancelledWork:
        """Remove queued work; for running work, ``finish`` is still due once it has stopped."""
        work = self.queued_attempts.get(attempt)
        if work is not None:
            self._remove(work, charge=False)
            return CancelledWork(attempt, True, False, "cancelled while queued, not run")
        if attempt in self.running:
            return CancelledWork(attempt, False, True, "cancelled while running")
        return CancelledWork(attempt, False, False, "attempt is neither queued nor running")

    def drain(self) -> None:
        """Refuse all new work from now on; queued and running work goes on."""
        self.draining = True

    def observe_versions(self, versions: tuple[int, ...]) -> None:
        """Record the versions that the upstream was just seen to serve."""
        self.serving_versions = versions
        self.versions_seen_ms = self.clock.now_ms()

    def next_expiry_ms(self) -> int | None:
        """Return when to call ``next`` even if no slot frees, so that expired work is answered."""
        starts = [last_ms for last_ms, _ in self._last_starts_ms()]
        return math.floor(min(starts)) + 1 if starts else None

    def report_load(self) -> LoadReport:
        """Return the facts that the heartbeat carries."""
        now_ms = self.clock.now_ms()
        far = Deadline(now_ms + 2**40)
        return LoadReport(
            queued={name: self._queued_count(name) for name in RequestClass},
            running=dict(self.running_counts),
            expected_wait_ms={name: self.expected_wait_ms(name, far) for name in RequestClass},
            limit=self.limit.value,
            tokens_per_second=self.speed.tokens_per_second.value,
            speed_age_ms=self.speed.tokens_per_second.age_ms(now_ms),
            time_to_first_token_ms=round(self.speed.first_token_ms.value),
            first_token_age_ms=self.speed.first_token_ms.age_ms(now_ms),
            serving_versions=self.serving_versions,
            versions_age_ms=now_ms - self.versions_seen_ms,
            draining=self.draining,
        )

    def expected_wait_ms(self, request_class: RequestClass, deadline: Deadline) -> int:
        """Estimate how long work of this class and deadline would queue."""
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
        need_ms = wait_ms + self._service_ms(work)
        if need_ms <= remaining_ms:
            return None
        reason = f"needs {need_ms} ms but has {remaining_ms} ms left"
        return RefusedWork(work.attempt, reason, max(MIN_RETRY_AFTER_MS, need_ms - remaining_ms))

    def _service_ms(self, work: QueuedWork) -> int:
        first_ms, token_ms = self._trusted_speed()
        return round(first_ms + work.expected_tokens * token_ms)

    def _trusted_speed(self) -> tuple[float, float]:
        # Without a recent observation no work is refused for its run time: a run is needed to show
        # that a slowdown is over.
        if not self.speed.trusted(self.clock.now_ms()):
            return 0.0, 0.0
        return self.speed.first_token_ms.value, self.speed.ms_per_token()

    def _last_starts_ms(self) -> list[tuple[float, QueuedWork]]:
        first_ms, token_ms = self._trusted_speed()
        return [
            (work.deadline.at_ms - first_ms - work.expected_tokens * token_ms, work)
            for work in self.queued_attempts.values()
        ]

    def _expire(self) -> tuple[ExpiredWork, ...]:
        now_ms = self.clock.now_ms()
        late = [work for last_ms, work in self._last_starts_ms() if last_ms < now_ms]
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
        self._count_tenant(work.tenant, 1)
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
            self._count_tenant(work.tenant, -1)

    def _release(self, run: _Running) -> None:
        del self.running[run.work.attempt]
        self.running_counts[run.work.request_class] -= 1
        self._count_tenant(run.work.tenant, -1)

    def _count_tenant(self, tenant: str, change: int) -> None:
        active = self.tenant_work.get(tenant, 0)
        if not active:
            # A tenant that was away starts level with the least served one: no saved-up credit.
            floor = min((self.served_tokens[name] for name in self.tenant_work), default=0)
            self.served_tokens[tenant] = floor
        self.tenant_work[tenant] = active + change
        if not self.tenant_work[tenant]:
            del self.tenant_work[tenant]
            del self.served_tokens[tenant]

    def _charge(self, tenant: str, tokens: int) -> None:
        self.served_tokens[tenant] += tokens

    def _ahead_ms(self, request_class: RequestClass, deadline: Deadline) -> list[int]:
        # Background work cannot hold up short work: short work has slots of its own.
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
