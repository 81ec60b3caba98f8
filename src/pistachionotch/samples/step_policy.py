"""Policy of a step: which samples to start, hedge, restart elsewhere, cancel or cut.

Input are facts with their times, output are typed actions with their reasons. Which agent runs an
action is decided by placement; an action only names the agents to avoid.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterator, Sequence

import attrs

from .sample import Slot


@attrs.frozen
class StragglerLimits:
    """Bound what the policy may do about slow samples."""

    # The tail of a step: hedges are allowed once this share of its slots or less is open.
    tail_slot_share: float = 0.1
    # An attempt is slow below this share of the median speed of finished samples.
    slow_speed_ratio: float = 0.4
    # Speeds are compared only after this many samples finished.
    min_completed: int = 8
    # The speed of an attempt is meaningful after this long; before, it is mostly prompt processing.
    min_run_ms: int = 5_000
    # An attempt without a new token for this long is stalled.
    stall_timeout_ms: int = 10_000
    # Facts that an agent has not renewed for this long say nothing (five heartbeats of 2 s).
    observation_timeout_ms: int = 10_000
    max_hedges: int = 16
    max_cut_share: float = 0.0


@attrs.frozen
class RunningAttempt:
    """Describe one running production of a sample; it starts when the engine accepts it."""

    attempt_id: str
    slot: Slot
    agent: str
    started_ms: int
    observed_ms: int
    tokens: int = 0
    last_token_ms: int | None = None
    oldest_version: int | None = None

    def speed(self) -> float:
        """Return tokens per second up to the last observation."""
        return self.tokens * 1000 / max(1, self.observed_ms - self.started_ms)


@attrs.frozen
class CompletedAttempt:
    """Describe one finished production; recent ones are enough."""

    tokens: int
    duration_ms: int

    def speed(self) -> float:
        """Return tokens per second over the whole production."""
        return self.tokens * 1000 / max(1, self.duration_ms)


@attrs.frozen
class StepSnapshot:
    """Collect what is known about a step at one time."""

    slot_count: int
    open_slots: tuple[Slot, ...]
    staleness_bound: int
    newest_version: int
    attempts: tuple[RunningAttempt, ...] = ()
    completed: tuple[CompletedAttempt, ...] = ()
    cut_count: int = 0
    deadline_at_ms: int | None = None
    next_version_at_ms: int | None = None


@attrs.frozen
class StartSlot:
    """Start a first production of a slot."""

    slot: Slot
    reason: str


@attrs.frozen
class HedgeSlot:
    """Start a second production; the first one to finish fills the slot."""

    slot: Slot
    avoid_agents: tuple[str, ...]
    reason: str


@attrs.frozen
class RestartSlot:
    """Cancel the productions of a slot and start a new one."""

    slot: Slot
    attempts_to_cancel: tuple[str, ...]
    avoid_agents: tuple[str, ...]
    reason: str


@attrs.frozen
class CancelAttempt:
    """Cancel one production whose result cannot be used."""

    attempt_id: str
    reason: str


@attrs.frozen
class CutSlot:
    """Give a slot up: cut it in the ledger, then cancel its productions."""

    slot: Slot
    attempts_to_cancel: tuple[str, ...]
    reason: str


@attrs.frozen
class DeadlineMissed:
    """Report slots that are late and must not be cut."""

    late_slots: int
    reason: str


StepAction = StartSlot | HedgeSlot | RestartSlot | CancelAttempt | CutSlot | DeadlineMissed


def decide_actions(
    snapshot: StepSnapshot, limits: StragglerLimits, quota: int, now_ms: int
) -> tuple[StepAction, ...]:
    """Return the actions that are due now; ``quota`` bounds the productions in parallel."""
    actions: list[StepAction] = list(_cancel_for_closed_slots(snapshot))
    if snapshot.deadline_at_ms is not None and now_ms >= snapshot.deadline_at_ms:
        late = tuple(_handle_missed_deadline(snapshot, limits, now_ms - snapshot.deadline_at_ms))
        actions.extend(late)
        if any(isinstance(action, CutSlot) for action in late):
            return tuple(actions)
    policy = _StragglerPolicy(snapshot, limits, now_ms)
    idle = [slot for slot in snapshot.open_slots if not policy.attempts_of(slot)]
    replacements = policy.replace_failed()
    actions.extend(replacements)
    running = _count_running_after(snapshot, replacements)
    hedges = policy.find_hedges(quota - running - len(idle))
    actions.extend(hedges)
    actions.extend(_start_idle(snapshot, idle, quota - running - len(hedges)))
    return tuple(actions)


@attrs.define
class _StragglerPolicy:
    snapshot: StepSnapshot
    limits: StragglerLimits
    now_ms: int
    attempts_by_slot: dict[Slot, list[RunningAttempt]] = attrs.field(factory=dict)
    median_speed: float = 0.0

    def __attrs_post_init__(self) -> None:
        for attempt in self.snapshot.attempts:
            self.attempts_by_slot.setdefault(attempt.slot, []).append(attempt)
        if len(self.snapshot.completed) >= self.limits.min_completed:
            self.median_speed = statistics.median(f.speed() for f in self.snapshot.completed)

    def attempts_of(self, slot: Slot) -> Sequence[RunningAttempt]:
        return self.attempts_by_slot.get(slot, ())

    def replace_failed(self) -> list[RestartSlot | CancelAttempt]:
        """Return what to do about attempts whose result cannot be used."""
        found: list[RestartSlot | CancelAttempt] = []
        for slot in self.snapshot.open_slots:
            found.extend(self.replace_failed_in(slot, self.attempts_of(slot)))
        return found

    def find_hedges(self, available: int) -> list[HedgeSlot]:
        """Return hedges while starts of idle slots leave room and the limit allows."""
        available = min(available, self.limits.max_hedges - _count_hedges(self.snapshot))
        found: list[HedgeSlot] = []
        for slot in self.snapshot.open_slots:
            if len(found) >= available:
                break
            hedge = self.find_hedge(slot)
            if hedge is not None:
                found.append(hedge)
        return found

    def replace_failed_in(
        self, slot: Slot, attempts: Sequence[RunningAttempt]
    ) -> tuple[RestartSlot | CancelAttempt, ...]:
        """Cancel what cannot be used; restart if nothing usable is left."""
        reasons = {attempt.attempt_id: self.failure_reason(attempt) for attempt in attempts}
        failed = [attempt for attempt in attempts if reasons[attempt.attempt_id]]
        if not failed:
            return ()
        if len(failed) < len(attempts):
            return tuple(CancelAttempt(a.attempt_id, reasons[a.attempt_id] or "") for a in failed)
        attempts_to_cancel = tuple(attempt.attempt_id for attempt in failed)
        # A stale attempt says nothing against its agent.
        avoid_agents = tuple(a.agent for a in failed if not self.stale_reason(a))
        return (
            RestartSlot(
                slot, attempts_to_cancel, avoid_agents, reasons[attempts_to_cancel[0]] or ""
            ),
        )

    def failure_reason(self, attempt: RunningAttempt) -> str | None:
        """Return why this attempt must be replaced, or None."""
        silent_ms = self.now_ms - attempt.observed_ms
        if silent_ms > self.limits.observation_timeout_ms:
            return f"agent {attempt.agent} has been silent for {silent_ms} ms"
        last_ms = attempt.started_ms if attempt.last_token_ms is None else attempt.last_token_ms
        if attempt.observed_ms - last_ms > self.limits.stall_timeout_ms:
            return f"no token for {attempt.observed_ms - last_ms} ms"
        return self.stale_reason(attempt)

    def stale_reason(self, attempt: RunningAttempt) -> str | None:
        """Return why this attempt is or will be older than the bound, or None."""
        if attempt.oldest_version is None:
            return None
        age = self.snapshot.newest_version - attempt.oldest_version
        bound = self.snapshot.staleness_bound
        if age > bound:
            return f"{age} versions old, more than {bound}"
        due_ms = self.snapshot.next_version_at_ms
        if age == bound and due_ms is not None and self.expected_end_ms(attempt) > due_ms:
            return f"will be stale when the next version is published in {due_ms - self.now_ms} ms"
        return None

    def expected_end_ms(self, attempt: RunningAttempt) -> int:
        """Return when the attempt ends if it gets as long as the median of finished samples.

        Without finished samples, or for a longer attempt, the end is unknown and taken as now, so
        that no work is thrown away on a guess.
        """
        if not self.median_speed:
            return self.now_ms
        expected_tokens = statistics.median(f.tokens for f in self.snapshot.completed)
        remaining_tokens = max(0.0, expected_tokens - attempt.tokens)
        return self.now_ms + int(remaining_tokens * 1000 / max(attempt.speed(), 0.001))

    def find_hedge(self, slot: Slot) -> HedgeSlot | None:
        """Hedge a lone slow attempt in the tail of the step.

        Only speed counts. A long sample at normal speed is left alone, because replacing it would
        gain nothing and would favour short samples in training.
        """
        attempts = self.attempts_of(slot)
        if len(attempts) != 1 or self.failure_reason(attempts[0]) or not self.median_speed:
            return None
        if len(self.snapshot.open_slots) > self.limits.tail_slot_share * self.snapshot.slot_count:
            return None
        if attempts[0].observed_ms - attempts[0].started_ms < self.limits.min_run_ms:
            return None
        speed, min_speed = attempts[0].speed(), self.limits.slow_speed_ratio * self.median_speed
        if speed >= min_speed:
            return None
        reason = f"{speed:.1f} tokens/s, less than {min_speed:.1f}"
        return HedgeSlot(slot, (attempts[0].agent,), reason)


def _cancel_for_closed_slots(snapshot: StepSnapshot) -> Iterator[CancelAttempt]:
    open_slots = set(snapshot.open_slots)
    for attempt in snapshot.attempts:
        if attempt.slot not in open_slots:
            yield CancelAttempt(attempt.attempt_id, "the slot needs no sample any more")


def _count_hedges(snapshot: StepSnapshot) -> int:
    open_slots = set(snapshot.open_slots)
    running = [attempt.slot for attempt in snapshot.attempts if attempt.slot in open_slots]
    return len(running) - len(set(running))


def _count_running_after(
    snapshot: StepSnapshot, replacements: Sequence[RestartSlot | CancelAttempt]
) -> int:
    open_slots = set(snapshot.open_slots)
    running = sum(attempt.slot in open_slots for attempt in snapshot.attempts)
    for action in replacements:
        if isinstance(action, RestartSlot):
            running += 1 - len(action.attempts_to_cancel)
            continue
        running -= 1
    return running


def _handle_missed_deadline(
    snapshot: StepSnapshot, limits: StragglerLimits, late_ms: int
) -> Iterator[CutSlot | DeadlineMissed]:
    """Cut the open slots if that ends the step within the allowed share, else none of them."""
    if not snapshot.open_slots:
        return
    allowed = int(limits.max_cut_share * snapshot.slot_count) - snapshot.cut_count
    if len(snapshot.open_slots) > allowed:
        reason = f"late by {late_ms} ms; at most {max(0, allowed)} slots may be cut"
        yield DeadlineMissed(len(snapshot.open_slots), reason)
        return
    for slot in snapshot.open_slots:
        attempts_to_cancel = tuple(a.attempt_id for a in snapshot.attempts if a.slot == slot)
        yield CutSlot(slot, attempts_to_cancel, f"late by {late_ms} ms")


def _start_idle(
    snapshot: StepSnapshot, idle: Sequence[Slot], available: int
) -> Iterator[StartSlot]:
    """Start the groups with the fewest open slots first, so that groups complete early."""
    open_in_group: dict[int, int] = {}
    for slot in snapshot.open_slots:
        open_in_group[slot.group] = open_in_group.get(slot.group, 0) + 1
    ranked = sorted(idle, key=lambda slot: (open_in_group[slot.group], slot))
    for slot in ranked[: max(0, available)]:
        yield StartSlot(slot, f"{open_in_group[slot.group]} open in group {slot.group}")
