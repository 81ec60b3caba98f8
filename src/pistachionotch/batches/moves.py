"""Decides which running items move to another engine; does no I/O.

Load pattern: a fault slows an engine for seconds, other processes on its machine slow it for
periods of about 600 ms, and a trainer waits for the last items of a step. A move closes the item's
connection and mostly opens another one.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from ..software.origin import Origin
from .dispatch import DEFAULT_EVENT_MS, DEFAULT_ITEM_EVENTS, EngineCandidate

# An item moves away from an engine that is this many times slower than another one. Engines that
# share their machine with others become 2.5 times slower for short periods; their average interval
# between events does not show that.
MOVE_FACTOR = 2.2
# An item stays on an engine for at least this long before it may move. This bounds its moves.
MIN_STAY_MS = 600
# A long item moves away from an engine that is slow for a short period if another one is this many
# times faster and the item has run for at least TRANSIENT_MIN_STAY_MS. Such periods last about
# 600 ms.
TRANSIENT_MOVE_FACTOR = 1.6
TRANSIENT_MIN_STAY_MS = 250
# An item without an event for this many typical intervals counts as slowed even if other items on
# its engine receive events. A shorter silence may be a delay in this process.
STALLED_INTERVALS = 3
# An item with at least this many events counts as long; most items have fewer.
LONG_ITEM_EVENTS = 15
# Time that a move takes: a new connection, processing the prompt and the text again (about half an
# interval between events), and the time until the next scheduling pass.
MOVE_MS = 60
# While slots are free, a move must save at least this much time beyond its own duration, since it
# costs a connection.
MIN_SAVING_MS = 100
# While slots are free, an item stays on a slow engine if it completes there within this share of
# the time that its step still needs: the trainer does not wait for it. The share leaves room for
# texts that become longer than expected.
STEP_SHARE = 0.3
# A short slowdown of an engine lasts about this long.
TRANSIENT_MS = 600


@attrs.frozen(kw_only=True)
class RunningItem:
    """An item that is being generated."""

    batch: str
    item: str
    instance: str
    model: str
    min_version: int
    due_ms: int
    started_ms: int
    optional: bool = False
    # Events received so far, and the time since the last one.
    events: int = 0
    silent_ms: int = 0
    # Origin of the text so far; None before the first event.
    origin: Origin | None = None
    group: str = ""
    # Estimated events of its whole text, 0 if there is nothing to estimate them from.
    expected_events: float = 0.0

    def remaining_events(self) -> float:
        """Return the number of events that are still to be expected.

        Estimates are often exceeded. Lengths have a heavy tail, so that a text of n events has
        about as many more ahead of it, whatever its estimate.
        """
        estimated = self.expected_events or DEFAULT_ITEM_EVENTS
        return max(1.0, estimated - self.events, float(self.events))

    def present_interval_ms(self, engine_ms: float, typical_ms: float) -> float:
        """Return the interval between its events now, given those of its engine and of others."""
        if self.silent_ms >= STALLED_INTERVALS * typical_ms:
            return max(engine_ms, float(self.silent_ms))
        return engine_ms


@attrs.frozen
class Move:
    """Decision to interrupt an item so that another engine resumes it after its last event."""

    item: RunningItem
    reason: str


@attrs.frozen
class MoveValue:
    """What the moves of running items are worth, given their steps and the demand for slots.

    Load pattern: half of the texts of a step have at most 14 events and a tenth 49 or more, so a
    step waits for its few long ones, and moving a short one only costs a connection.
    """

    # Interval between two events on a usual engine; None before any was measured.
    typical_ms: float | None
    # Models whose waiting items still need slots.
    waiting: Collection[str]
    # Time in which all running groups of each batch but one complete on usual engines.
    step_ms: Mapping[str, float]

    def is_worth(
        self, item: RunningItem, here_ms: float, there_ms: float, slow_ms: float = math.inf
    ) -> bool:
        """Return whether an item should move.

        ``here_ms`` and ``there_ms`` are the intervals between its events on its engine and on the
        other one, and ``slow_ms`` is the time for which its engine is expected to stay slow.
        """
        events = item.remaining_events()
        if item.model in self.waiting:
            # A slow item also holds a slot that others wait for.
            return events * here_ms > MOVE_MS
        slow_events = min(events, slow_ms / here_ms)
        lost_ms = slow_events * (here_ms - there_ms)
        late_ms = events * there_ms + lost_ms - STEP_SHARE * self.step_ms.get(item.batch, 0.0)
        return min(lost_ms - MOVE_MS, late_ms) >= MIN_SAVING_MS


def move_value(
    running: Iterable[RunningItem], engines: Sequence[EngineCandidate], waiting: Collection[str]
) -> MoveValue:
    """Return what moves are worth now; ``waiting`` has the models whose items need slots.

    Trainers need nine groups in ten, so a step does not wait for its longest group.
    """
    known_ms = sorted(engine.event_ms for engine in engines if engine.event_ms is not None)
    typical_ms = known_ms[len(known_ms) // 3] if known_ms else None
    group_ms: dict[str, dict[str, float]] = {}
    for item in running:
        item_ms = item.remaining_events() * (typical_ms or DEFAULT_EVENT_MS)
        groups = group_ms.setdefault(item.batch, {})
        groups[item.group] = max(groups.get(item.group, 0.0), item_ms)
    step_ms = {batch: sorted(groups.values())[-2:][0] for batch, groups in group_ms.items()}
    return MoveValue(typical_ms, waiting, step_ms)


def plan_moves(
    running: Collection[RunningItem],
    engines: Sequence[EngineCandidate],
    now_ms: int,
    waiting: Collection[str] = (),
) -> list[Move]:
    """Return the items to move away from engines that have become slow.

    A step waits for its last groups, and a stream on a slowed engine takes several times as long.
    Each move reserves a free slot on a faster engine, where processing prompt and text again takes
    a few milliseconds. ``waiting`` has the models whose waiting items still need slots.
    """
    moves = []
    value = move_value(running, engines, waiting)
    intervals_ms = {engine.instance: engine.event_ms for engine in engines}
    for item in sorted(running, key=lambda item: (item.optional, item.due_ms, item.item)):
        interval_ms = intervals_ms.get(item.instance)
        if interval_ms is None or now_ms - item.started_ms < MIN_STAY_MS:
            continue
        target = None
        for engine in engines:
            if engine.free_slots <= 0 or engine.event_ms is None or engine.rejects_from is not None:
                continue
            if not engine.serves(item):
                continue
            if engine.event_ms * MOVE_FACTOR > interval_ms:
                continue
            if target is None or engine.event_ms < (target.event_ms or 0.0):
                target = engine
        if target is None or not value.is_worth(item, interval_ms, target.event_ms or 0.0):
            continue
        target.free_slots -= 1
        moves.append(Move(item, f"{interval_ms:.0f} ms an event, {target.event_ms:.0f} elsewhere"))
    return moves


def plan_transient_moves(
    running: Collection[RunningItem],
    engines: Sequence[EngineCandidate],
    waiting: Collection[str],
    now_ms: int,
) -> list[Move]:
    """Return the long items to move away from engines that are slow for a short period.

    Load pattern: at the end of a step a few items run alone, each with a hundred events or more,
    and the trainer waits for the last of them, while most slots are free. Other processes on the
    same machine slow engines down for short periods, which makes such an item take a fifth longer.
    Processing its text again on another engine takes about half the interval between two events.
    ``waiting`` has the models whose waiting items still need slots.
    """
    moves = []
    intervals_ms = {engine.instance: engine.recent_event_ms for engine in engines}
    # A short slowdown is not worth one of the few requests of a rate-limited engine.
    targets = [engine for engine in engines if not (engine.suspect or engine.rate_limited)]
    value = move_value(running, engines, waiting)
    typical_ms = value.typical_ms
    for item in sorted(running, key=lambda item: (item.optional, -item.events, item.item)):
        if item.model in waiting or item.events < LONG_ITEM_EVENTS:
            continue
        if typical_ms is None or now_ms - item.started_ms < TRANSIENT_MIN_STAY_MS:
            continue
        interval_ms = item.present_interval_ms(intervals_ms.get(item.instance) or 0.0, typical_ms)
        target = None
        target_ms = interval_ms / TRANSIENT_MOVE_FACTOR
        for engine in targets:
            if engine.free_slots <= 0 or engine.instance == item.instance:
                continue
            if not engine.serves(item):
                continue
            expected_ms = max(typical_ms, engine.recent_event_ms or engine.event_ms or typical_ms)
            if expected_ms < target_ms:
                target, target_ms = engine, expected_ms
        slow_ms = max(TRANSIENT_MS, item.silent_ms)
        if target is None or not value.is_worth(item, interval_ms, target_ms, slow_ms):
            continue
        target.free_slots -= 1
        moves.append(
            Move(item, f"{interval_ms:.0f} ms since or between events, {target_ms:.0f} elsewhere")
        )
    return moves
