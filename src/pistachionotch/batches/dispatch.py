"""Which items of which batch start now, and where; opens no sockets.

Load pattern: every few seconds each trainer hands in some tens of items at once, in groups that are
useful only when complete; output lengths differ by a factor of ten and more; the trainer wants nine
groups in ten and waits for the last of them. So the batch that is due first comes first, within it
the longest items, while the groups that the trainer can do without come last. Items of a group go
to one engine if it has room, which reads their common prompt once.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence

import attrs

# An engine whose events come this many times slower than the median takes only what others can't.
SLOW_FACTOR = 1.8
# An item leaves an engine that is this many times slower than another. Engines that share their
# machine with others slow down 2.5 times for moments, which the average of their pace hides.
MOVE_FACTOR = 2.2
# An item stays this long where it started before it may move, which bounds the moves of one item.
MIN_STAY_MS = 600
# A long item leaves an engine in a moment of noise if another one is this many times faster, and
# not sooner than this after its start. Moments of noise last about 600 ms.
TRANSIENT_MOVE_FACTOR = 1.6
TRANSIENT_MIN_STAY_MS = 250
# An item without an event for this many usual gaps counts as slowed even if others have events. A
# shorter silence may be a delay of this process.
STALLED_INTERVALS = 3
# An item with this many events is longer than most.
LONG_ITEM_EVENTS = 15
# Items that a suspect engine runs at once, to see whether it has recovered.
PROBE_ITEMS = 1
# Engines are tried gently only while at most this share of them is suspect; otherwise too few would
# be left for the work.
MAX_SUSPECT_SHARE = 0.5
# Cost of crossing to another region, in events of a usual stream.
CROSS_REGION_EVENTS = 1.0


@attrs.frozen(kw_only=True)
class WaitingItem:
    """Describe an item that may start."""

    batch: str
    item: str
    group: str
    due_ms: int
    model: str
    min_version: int
    expected_tokens: int
    # Whether a part of its text exists already.
    started: bool = False
    # Whether its trainer can do without its group.
    optional: bool = False
    # Engines to avoid, such as those that failed this item.
    avoid: frozenset[str] = frozenset()


@attrs.define(kw_only=True)
class EngineCandidate:
    """Describe an engine as far as placing needs; ``free`` counts down while a plan is made."""

    instance: str
    free_slots: int
    slots: int
    versions: dict[str, int]
    # Time between two events; None before any was measured.
    event_ms: float | None = None
    # The same at this moment; None without recent events.
    recent_event_ms: float | None = None
    other_region: bool = False
    # Whether it fails part of its requests although it answers others.
    suspect: bool = False


@attrs.frozen(kw_only=True)
class RunningItem:
    """Describe an item that runs."""

    batch: str
    item: str
    instance: str
    model: str
    min_version: int
    due_ms: int
    started_ms: int
    optional: bool = False
    # Events so far, and the time since the last one.
    events: int = 0
    silent_ms: int = 0


@attrs.frozen
class Move:
    """Break an item off where it runs; it goes on elsewhere after the events it has."""

    item: RunningItem
    reason: str


@attrs.frozen
class Start:
    """Start an item at an engine."""

    item: WaitingItem
    instance: str
    reason: str


def optional_groups(expected_by_group: dict[str, int], wanted: int) -> frozenset[str]:
    """Return the groups that a trainer can do without: the longest beyond those it wants.

    ``expected_by_group`` has the groups in the order of the step. Those that are carried over from
    an earlier step come first and are at most half of the wanted ones; the trainer waits for them.
    """
    spare = len(expected_by_group) - wanted
    if wanted <= 0 or spare <= 0:
        return frozenset()
    fresh = list(expected_by_group)[wanted // 2 :]
    longest = sorted(fresh, key=lambda group: (-expected_by_group[group], group))
    return frozenset(longest[:spare])


def plan_starts(
    waiting: Iterable[WaitingItem],
    engines: Sequence[EngineCandidate],
    prompt_engines: dict[tuple[str, str], str],
) -> list[Start]:
    """Return what starts now; ``homes`` names the engine that last read a group's prompt."""
    starts = []
    _limit_suspect_engines(engines)
    paces = sorted(engine.event_ms for engine in engines if engine.event_ms is not None)
    usual_ms = paces[len(paces) // 2] if paces else 1.0
    for item in sorted(waiting, key=_priority):
        engine, reason = _choose_engine(
            item, engines, prompt_engines.get((item.batch, item.group)), usual_ms
        )
        if engine is None:
            continue
        engine.free_slots -= 1
        prompt_engines[(item.batch, item.group)] = engine.instance
        starts.append(Start(item, engine.instance, reason))
    return starts


def _priority(item: WaitingItem) -> tuple[bool, int, bool, int, str, str]:
    return (
        item.optional,
        item.due_ms,
        not item.started,
        -item.expected_tokens,
        item.group,
        item.item,
    )


def _limit_suspect_engines(engines: Sequence[EngineCandidate]) -> None:
    """Leave suspect engines room for a trial only, unless most engines are suspect."""
    suspects = [engine for engine in engines if engine.suspect]
    if len(suspects) > MAX_SUSPECT_SHARE * len(engines):
        return
    for engine in suspects:
        running = engine.slots - engine.free_slots
        engine.free_slots = min(engine.free_slots, PROBE_ITEMS - running)


def _choose_engine(
    item: WaitingItem,
    engines: Sequence[EngineCandidate],
    prompt_engine: str | None,
    usual_ms: float,
) -> tuple[EngineCandidate | None, str]:
    best = None
    best_cost = math.inf
    eligible = [
        engine for engine in engines if engine.versions.get(item.model, -1) >= item.min_version
    ]
    fresh = [engine for engine in eligible if engine.instance not in item.avoid]
    for engine in fresh or eligible:
        if engine.free_slots <= 0:
            continue
        pace = 1.0 if engine.event_ms is None else engine.event_ms / usual_ms
        if item.started and engine.recent_event_ms is not None:
            pace = engine.recent_event_ms / usual_ms
        # What a long item gains at the fastest engine is more than reading its prompt again costs.
        has_prompt = engine.instance == prompt_engine and not item.started
        if has_prompt and pace < SLOW_FACTOR and not engine.suspect:
            return engine, "prompt read there"
        cost = pace * (1.0 + (engine.slots - engine.free_slots) / engine.slots)
        cost += 0.1 * CROSS_REGION_EVENTS if engine.other_region else 0.0
        if cost < best_cost:
            best, best_cost = engine, cost
    return best, "least loaded"


def plan_moves(
    running: Iterable[RunningItem], engines: Sequence[EngineCandidate], now_ms: int
) -> list[Move]:
    """Return the items to take away from engines that have turned slow.

    A step waits for its last groups, and a stream on a slowed engine takes several times as long.
    Each move has a free slot at an engine of usual speed; reading prompt and text again there takes
    a few milliseconds.
    """
    moves = []
    paces = {engine.instance: engine.event_ms for engine in engines}
    for item in sorted(running, key=lambda item: (item.optional, item.due_ms, item.item)):
        pace = paces.get(item.instance)
        if pace is None or now_ms - item.started_ms < MIN_STAY_MS:
            continue
        target = None
        for engine in engines:
            if engine.free_slots <= 0 or engine.event_ms is None:
                continue
            if engine.versions.get(item.model, -1) < item.min_version:
                continue
            if engine.event_ms * MOVE_FACTOR > pace:
                continue
            if target is None or engine.event_ms < (target.event_ms or 0.0):
                target = engine
        if target is None:
            continue
        target.free_slots -= 1
        moves.append(Move(item, f"{pace:.0f} ms an event, {target.event_ms:.0f} elsewhere"))
    return moves


def plan_transient_moves(
    running: Iterable[RunningItem],
    engines: Sequence[EngineCandidate],
    waiting: Collection[str],
    now_ms: int,
) -> list[Move]:
    """Return the long items to take away from engines in a moment of noise.

    Load pattern: at the end of a step a few items run alone, each of a hundred events and more, and
    the trainer waits for the last of them, while most slots are free. Engines are slowed by
    neighbours for moments, which adds a fifth to such an item's time. Reading its text again
    elsewhere takes about half an event. ``waiting`` names the models whose items still need slots.
    """
    moves = []
    paces = {engine.instance: engine.recent_event_ms for engine in engines}
    known = sorted(engine.event_ms for engine in engines if engine.event_ms is not None)
    usual_ms = known[len(known) // 3] if known else None
    for item in sorted(running, key=lambda item: (item.optional, -item.events, item.item)):
        if item.model in waiting or item.events < LONG_ITEM_EVENTS:
            continue
        if usual_ms is None or now_ms - item.started_ms < TRANSIENT_MIN_STAY_MS:
            continue
        pace = paces.get(item.instance) or 0.0
        if item.silent_ms >= STALLED_INTERVALS * usual_ms:
            pace = max(pace, float(item.silent_ms))
        target = None
        target_ms = pace / TRANSIENT_MOVE_FACTOR
        for engine in engines:
            if engine.free_slots <= 0 or engine.suspect or engine.instance == item.instance:
                continue
            if engine.versions.get(item.model, -1) < item.min_version:
                continue
            expected_ms = max(usual_ms, engine.recent_event_ms or engine.event_ms or usual_ms)
            if expected_ms < target_ms:
                target, target_ms = engine, expected_ms
        if target is None:
            continue
        target.free_slots -= 1
        moves.append(
            Move(item, f"{pace:.0f} ms since or between events, {target_ms:.0f} elsewhere")
        )
    return moves
