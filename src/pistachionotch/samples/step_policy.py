"""Policy of a step: which samples to start, hedge, restart, cancel or cut.

The input is a snapshot of the step with timestamps, the output typed actions with their reasons.
Placement selects the agent for an action; the action only lists the agents to avoid.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterator, Sequence

import attrs

from .sample import Slot


@attrs.frozen
class StragglerLimits:
    """Thresholds and limits for handling slow and failed attempts."""

    # Hedging starts in the tail of a step, when at most this share of its slots is open.
    tail_slot_share: float = 0.1
    # An attempt is slow if its speed is below this fraction of the median speed of completed ones.
    slow_speed_ratio: float = 0.4
    # The median speed is computed only from at least this many completed attempts.
    min_completed: int = 8
    # The speed of a younger attempt is not used, as prompt processing dominates it.
    min_run_ms: int = 5_000
    # An attempt that produces no token for this long has stalled.
    stall_timeout_ms: int = 10_000
    # An attempt whose last observation is older has failed; agents send a heartbeat every 2 s, so
    # this is five heartbeats.
    observation_timeout_ms: int = 10_000
    max_hedges: int = 16
    max_cut_share: float = 0.0


@attrs.frozen
class RunningAttempt:
    """Progress of one running attempt to generate a sample.

    ``started_ms`` is the start of generation, after any wait in the queue of the agent.
    """

    attempt_id: str
    slot: Slot
    agent: str
    started_ms: int
    observed_ms: int
    tokens: int = 0
    last_token_ms: int | None = None
    oldest_version: int | None = None

    def speed(self) -> float:
        """Return the tokens per second up to the last observation."""
        return self.tokens * 1000 / max(1, self.observed_ms - self.started_ms)


@attrs.frozen
class CompletedAttempt:
    """Length and duration of an attempt that completed; only recent ones are needed."""

    tokens: int
    duration_ms: int

    def speed(self) -> float:
        """Return the tokens per second over the whole attempt."""
        return self.tokens * 1000 / max(1, self.duration_ms)


@attrs.frozen
class StepSnapshot:
    """State of a step at one point in time."""

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
    """Action that starts the first attempt for a slot."""

    slot: Slot
    reason: str


@attrs.frozen
class HedgeSlot:
    """Action that starts a second attempt; the first attempt to complete fills the slot."""

    slot: Slot
    avoid_agents: tuple[str, ...]
    reason: str


@attrs.frozen
class RestartSlot:
    """Action that cancels the attempts for a slot and starts a new one."""

    slot: Slot
    attempts_to_cancel: tuple[str, ...]
    avoid_agents: tuple[str, ...]
    reason: str


@attrs.frozen
class CancelAttempt:
    """Action that cancels an attempt whose result cannot be used."""

    attempt_id: str
    reason: str


@attrs.frozen
class CutSlot:
    """Action that cuts a slot in the ledger and then cancels its attempts."""

    slot: Slot
    attempts_to_cancel: tuple[str, ...]
    reason: str


@attrs.frozen
class DeadlineMissed:
    """Notice that open slots are past the deadline but too many to be cut."""

    late_slots: int
    reason: str


StepAction = StartSlot | HedgeSlot | RestartSlot | CancelAttempt | CutSlot | DeadlineMissed


def decide_actions(
    snapshot: StepSnapshot, limits: StragglerLimits, quota: int, now_ms: int
) -> tuple[StepAction, ...]:
    """Return the actions to take now; ``quota`` limits the number of parallel attempts."""
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
    """Detects failed and slow attempts in a snapshot of a step."""

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
        """Return the actions for attempts whose result cannot be used."""
        found: list[RestartSlot | CancelAttempt] = []
        for slot in self.snapshot.open_slots:
            found.extend(self.replace_failed_in(slot, self.attempts_of(slot)))
        return found

    def find_hedges(self, available: int) -> list[HedgeSlot]:
        """Return at most ``available`` hedges, within the limit on hedges of a step."""
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
        """Cancel the failed attempts of a slot, and restart it if all of them failed."""
        reasons = {attempt.attempt_id: self.failure_reason(attempt) for attempt in attempts}
        failed = [attempt for attempt in attempts if reasons[attempt.attempt_id]]
        if not failed:
            return ()
        if len(failed) < len(attempts):
            return tuple(CancelAttempt(a.attempt_id, reasons[a.attempt_id] or "") for a in failed)
        attempts_to_cancel = tuple(attempt.attempt_id for attempt in failed)
        # Staleness is not the agent's fault, so the agent of a stale attempt may be chosen again.
        avoid_agents = tuple(a.agent for a in failed if not self.stale_reason(a))
        return (
            RestartSlot(
                slot, attempts_to_cancel, avoid_agents, reasons[attempts_to_cancel[0]] or ""
            ),
        )

    def failure_reason(self, attempt: RunningAttempt) -> str | None:
        """Return why this attempt must be replaced, or None if it is usable."""
        silent_ms = self.now_ms - attempt.observed_ms
        if silent_ms > self.limits.observation_timeout_ms:
            return f"agent {attempt.agent} has been silent for {silent_ms} ms"
        last_ms = attempt.started_ms if attempt.last_token_ms is None else attempt.last_token_ms
        if attempt.observed_ms - last_ms > self.limits.stall_timeout_ms:
            return f"no token for {attempt.observed_ms - last_ms} ms"
        return self.stale_reason(attempt)

    def stale_reason(self, attempt: RunningAttempt) -> str | None:
        """Return why this attempt exceeds or will exceed the staleness bound, or None."""
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
        """Estimate when the attempt ends, from the median length of completed ones.

        Returns the current time if there are too few completed attempts, or if this attempt is
        already longer than the median. Its end is unknown then, and an attempt is not discarded on
        the basis of a guess.
        """
        if not self.median_speed:
            return self.now_ms
        expected_tokens = statistics.median(f.tokens for f in self.snapshot.completed)
        remaining_tokens = max(0.0, expected_tokens - attempt.tokens)
        return self.now_ms + int(remaining_tokens * 1000 / max(attempt.speed(), 0.001))

    def find_hedge(self, slot: Slot) -> HedgeSlot | None:
        """Return a hedge for a slot with a single slow attempt in the tail of the step, or None.

        Only the speed is considered, not the length. Hedging a long sample that is generated at
        normal speed would save no time and would bias training towards short samples.
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
    """Cut all open slots if the allowed share of cut slots permits it, otherwise none."""
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
    """Start idle slots of groups with few open slots first, so that groups complete early."""
    open_in_group: dict[int, int] = {}
    for slot in snapshot.open_slots:
        open_in_group[slot.group] = open_in_group.get(slot.group, 0) + 1
    ranked = sorted(idle, key=lambda slot: (open_in_group[slot.group], slot))
    for slot in ranked[: max(0, available)]:
        yield StartSlot(slot, f"{open_in_group[slot.group]} open in group {slot.group}")
