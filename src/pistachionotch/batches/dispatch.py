"""Schedules batch items on engines: which ones start, and which texts begin anew; does no I/O.

Load pattern: every few seconds each trainer submits some tens of items at once, in groups that are
useful only when complete. Output lengths differ by a factor of ten and more. The trainer needs nine
groups in ten and waits for the last of them. The scheduler therefore orders items by the due time
of their batch, then by length, longest first, and starts the groups that the trainer can do without
last. Items of a group go to one engine if it has free slots, so that their common prompt is
processed once.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Protocol

import attrs

from ..routing.zone_spill import Distance
from ..software.origin import Origin
from .engine_places import SPARE_SHARE, place_cost

# An engine whose interval between events is this many times the median or more loses its preference
# for items whose prompt it has processed; they go to the least loaded engine instead.
SLOW_FACTOR = 1.8
# Items that a suspect engine runs at the same time, to probe whether it has recovered.
PROBE_ITEMS = 1
# Suspect engines are limited to PROBE_ITEMS only while at most this share of all engines is
# suspect. With more suspects, too few engines would be left for the load.
MAX_SUSPECT_SHARE = 0.5
# An item waits at least this long for an engine of the software version that began its text.
MIN_RESTART_WAIT_MS = 300
# Assumed interval between two events of an engine without a measured one.
DEFAULT_EVENT_MS = 20.0
# Assumed events of an item before its service has finished any.
DEFAULT_ITEM_EVENTS = 20.0
# Cost of a new connection, as a share of an item's time on a free engine: less than that of one
# more item on an engine with eight slots, so that it decides between engines of equal load.
CONNECT_COST = 0.02
# Items of accounts count as due at the same time within such a period: steps that trainers submit
# together differ by the milliseconds of their arrival, and are due seconds later.
SAME_DUE_MS = 250


class GeneratedItem(Protocol):
    """An item, as far as it matters which engines can generate its text."""

    @property
    def model(self) -> str:
        """Return the model that generates it."""

    @property
    def min_version(self) -> int:
        """Return the oldest weight version that may generate it."""

    @property
    def origin(self) -> Origin | None:
        """Return the origin of the text so far, None if there is none."""


@attrs.frozen(kw_only=True)
class WaitingItem:
    """An item that may start."""

    batch: str
    item: str
    group: str
    due_ms: int
    model: str
    min_version: int
    expected_tokens: int
    # Whether part of its text has been generated already.
    started: bool = False
    # Whether the trainer can do without the item's group.
    optional: bool = False
    # Priority of the batch's route; 0 is the highest.
    priority: int = 0
    # Account of the batch; empty if it has none.
    account: str = ""
    # Engines to avoid, for example those that failed this item.
    avoid: frozenset[str] = frozenset()
    # Origin of the part of its text that has been generated, the number of its events, and how long
    # the item has been waiting with it.
    origin: Origin | None = None
    events: int = 0
    waited_ms: int = 0
    # Bytes of the prompt and of the text so far, and the time left until it is due, if it is.
    moved_bytes: int = 0
    left_ms: int | None = None
    # Estimated events of its whole text, 0 if there is nothing to estimate them from.
    expected_events: float = 0.0

    def remaining_events(self) -> float:
        """Return the estimated number of events that are still to be generated."""
        return max(1.0, (self.expected_events or DEFAULT_ITEM_EVENTS) - self.events)


@attrs.define(kw_only=True)
class EngineCandidate:
    """State of an engine that scheduling uses; planning decrements ``free_slots``."""

    instance: str
    free_slots: int
    slots: int
    versions: dict[str, int]
    # Average interval between two events of a stream; None before any was measured.
    event_ms: float | None = None
    # Same interval over recent events only; None if there are none.
    recent_event_ms: float | None = None
    distance: Distance = Distance.HOME
    # Whether it fails some of its requests while it answers others.
    suspect: bool = False
    # Whether it has announced a rate limit, which then bounds ``free_slots`` too.
    rate_limited: bool = False
    # Its rate limit leaves nothing for items of this or a less urgent priority.
    rejects_from: int | None = None
    # Service and software version; None if software versions don't matter.
    origin: Origin | None = None
    # Kept connections that are not in use; planning decrements them.
    idle_connections: int = 0

    def accepts(self, priority: int) -> bool:
        """Return whether its rate limit leaves room for an item of this priority."""
        return self.rejects_from is None or priority < self.rejects_from

    def serves(self, item: GeneratedItem) -> bool:
        """Return whether the item's weights are new enough here, and its text may go on here."""
        if self.versions.get(item.model, -1) < item.min_version:
            return False
        return item.origin is None or item.origin == self.origin


@attrs.frozen
class Restart:
    """Decision to discard the text of a waiting item, which then begins anew on any engine."""

    item: WaitingItem
    reason: str


@attrs.frozen
class Start:
    """Decision to start an item on an engine."""

    item: WaitingItem
    instance: str
    reason: str
    distance: Distance = Distance.HOME
    # Why the item leaves its owner's zone; empty if it stays.
    left_because: str = ""


def optional_groups(expected_by_group: dict[str, int], wanted: int) -> frozenset[str]:
    """Return the groups that a trainer can do without: the longest of those beyond ``wanted``.

    ``expected_by_group`` has the groups in the order of the step. Groups carried over from an
    earlier step come first, make up at most half of the wanted groups, and are never optional,
    because the trainer waits for them.
    """
    surplus = len(expected_by_group) - wanted
    if wanted <= 0 or surplus <= 0:
        return frozenset()
    new_groups = list(expected_by_group)[wanted // 2 :]
    longest = sorted(new_groups, key=lambda group: (-expected_by_group[group], group))
    return frozenset(longest[:surplus])


def plan_starts(
    waiting: Iterable[WaitingItem],
    engines: Sequence[EngineCandidate],
    prompt_engines: dict[tuple[str, str], str],
    slots_in_use: Mapping[str, float] | None = None,
) -> list[Start]:
    """Return the items that start now, and where.

    ``prompt_engines`` maps a batch and group to the engine that last processed its prompt; this
    function updates it. ``slots_in_use`` has the slots that each account uses now.
    """
    starts = []
    _limit_suspect_engines(engines)
    intervals_ms = sorted(engine.event_ms for engine in engines if engine.event_ms is not None)
    median_ms = intervals_ms[len(intervals_ms) // 2] if intervals_ms else None
    for item in _by_account(sorted(waiting, key=_priority), slots_in_use or {}):
        prompt_engine = prompt_engines.get((item.batch, item.group))
        start = _choose_engine(item, engines, prompt_engine, median_ms)
        if start is None:
            continue
        engine = next(each for each in engines if each.instance == start.instance)
        engine.free_slots -= 1
        engine.idle_connections -= 1
        prompt_engines[(item.batch, item.group)] = engine.instance
        starts.append(start)
    return starts


def plan_restarts(
    waiting: Iterable[WaitingItem], engines: Sequence[EngineCandidate], listed: Collection[Origin]
) -> list[Restart]:
    """Return the waiting items whose text is to be discarded.

    Load pattern: a release replaces engines one by one or all at once while items run. A text goes
    on only at the software version that began it. While a few engines of that version are left,
    items may wait longer for them than it takes to generate their text again elsewhere.
    ``listed`` has the origins of all engines that take requests, even if they are busy now.
    """
    restarts = []
    for item in waiting:
        if item.origin is None:
            continue
        if item.origin not in listed:
            restarts.append(Restart(item, "no engine of its software version is left"))
            continue
        interval_ms = None
        for engine in engines:
            if engine.free_slots <= 0 or engine.origin == item.origin:
                continue
            if engine.versions.get(item.model, -1) < item.min_version:
                continue
            known_ms = DEFAULT_EVENT_MS if engine.event_ms is None else engine.event_ms
            interval_ms = known_ms if interval_ms is None else min(interval_ms, known_ms)
        if interval_ms is None:
            continue
        if item.waited_ms >= max(MIN_RESTART_WAIT_MS, item.events * interval_ms):
            restarts.append(Restart(item, "waiting takes longer than beginning anew"))
    return restarts


def _priority(item: WaitingItem) -> tuple[bool, int, bool, int, str, str]:
    return (
        item.optional,
        item.due_ms,
        not item.started,
        -item.expected_tokens,
        item.group,
        item.item,
    )


def _by_account(
    items: list[WaitingItem], slots_in_use: Mapping[str, float]
) -> Sequence[WaitingItem]:
    """Return sorted items in the order in which accounts share the slots.

    Load pattern: the steps of all accounts are due at once, and one account's step is many times
    larger. Among items of equal priority and due time, the account that uses the fewest slots is
    next; each of its items counts as a slot in use for those that follow.
    """
    if not any(item.account for item in items):
        return items
    used = Counter(slots_in_use)
    ranked = []
    for place, item in enumerate(items):
        due = item.due_ms // SAME_DUE_MS
        ranked.append(((item.optional, due, item.priority, used[item.account], place), item))
        used[item.account] += 1
    ranked.sort(key=lambda entry: entry[0])
    return [item for _rank, item in ranked]


def _limit_suspect_engines(engines: Sequence[EngineCandidate]) -> None:
    """Limit suspect engines to ``PROBE_ITEMS``, unless most engines are suspect."""
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
    median_ms: float | None,
) -> Start | None:
    eligible = [
        engine for engine in engines if engine.serves(item) and engine.accepts(item.priority)
    ]
    preferred = [engine for engine in eligible if engine.instance not in item.avoid]
    # Cost of each engine as a multiple of the item's usual duration.
    costs = []
    for engine in preferred or eligible:
        if engine.free_slots <= 0:
            continue
        slowness = _slowness(item, engine, median_ms)
        # A long item that was interrupted saves more time on the fastest engine than processing its
        # prompt again costs.
        has_prompt = engine.instance == prompt_engine and not item.started
        if has_prompt and slowness < SLOW_FACTOR and not engine.suspect:
            return _start(item, engine, "prompt read there", "prompt read there")
        load = (engine.slots - engine.free_slots) / engine.slots
        connect_cost = CONNECT_COST if engine.idle_connections <= 0 else 0.0
        costs.append((engine, slowness * (1.0 + load) + connect_cost))
    return _cheapest(item, costs, median_ms)


def _slowness(item: WaitingItem, engine: EngineCandidate, median_ms: float | None) -> float:
    if median_ms is None or engine.event_ms is None:
        return 1.0
    interval_ms = engine.event_ms
    if item.started and engine.recent_event_ms is not None:
        interval_ms = engine.recent_event_ms
    return interval_ms / median_ms


def _cheapest(
    item: WaitingItem, costs: Sequence[tuple[EngineCandidate, float]], median_ms: float | None
) -> Start | None:
    """Return the start on the engine with the lowest cost, including the price of its place.

    The bytes do not count for an item that only another place can finish when it is due.
    """
    if not costs:
        return None
    duration_ms = item.remaining_events() * (median_ms or DEFAULT_EVENT_MS)
    due_cost = math.inf if item.left_ms is None else item.left_ms / duration_ms
    in_time = [(engine, cost) for engine, cost in costs if cost <= due_cost]
    home = [cost for engine, cost in costs if engine.distance is Distance.HOME]
    late_at_home = bool(home and in_time) and min(home) > due_cost
    moved_bytes = 0 if late_at_home else item.moved_bytes
    has_time = bool(home) and item.left_ms is not None and min(home) <= SPARE_SHARE * due_cost
    engine, _ = min(
        in_time or costs,
        key=lambda each: each[1] + place_cost(each[0].distance, moved_bytes, duration_ms, has_time),
    )
    because = "home engines slower or fuller"
    if late_at_home:
        because = "due time missed at home"
    elif not home:
        because = "no home engine with a free slot"
    return _start(item, engine, "least loaded", because)


def _start(item: WaitingItem, engine: EngineCandidate, reason: str, because: str) -> Start:
    left = engine.distance is not Distance.HOME
    return Start(item, engine.instance, reason, engine.distance, because if left else "")
